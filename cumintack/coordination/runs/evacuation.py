"""Evacuation of draining workers.

A run that would not end before its worker leaves is stopped at once, so that
another worker resumes it from its checkpoint.
"""

from cumintack.coordination.runs.worker_views import PlacedRuns, WorkerView
from cumintack.protocol.run_messages import RunKey
from cumintack.state.workflows import StepSpec

# Progress in percent from which a run is left to finish on its worker.
NEARLY_DONE_PERCENT = 80


def list_runs_to_evacuate(
    placed_runs: PlacedRuns,
    view: WorkerView,
    now_s: float,
) -> list[RunKey]:
    """List the runs to stop on a draining worker.

    Args:
        placed_runs: The recorded runs on the worker.
        view: The worker as last reported.
        now_s: Current time of the monotonic clock, in seconds.

    Returns:
        The runs that are long-running or would not end in time.
    """
    time_left_ms = (
        view.facts.leaves_in_ms - (now_s - view.last_report_at_s) * 1000
    )
    run_keys = []
    for placed in placed_runs.values():
        run = view.running.get(placed.key)
        percent = run.percent if run else 0
        if placed.step.is_long_running or not _is_finishing_in_time(
            placed.step, percent, time_left_ms
        ):
            run_keys.append(placed.key)
    return run_keys


def _is_finishing_in_time(
    step: StepSpec, percent: float, time_left_ms: float
) -> bool:
    remaining_run_ms = step.estimate_ms * (100 - percent) / 100
    return percent >= NEARLY_DONE_PERCENT or remaining_run_ms < time_left_ms
