"""Detection of workers on which no run makes progress.

Handles workers that accept runs and look healthy, but on which no run
advances for some seconds. Such a worker is excluded from placement, and runs
that would lose little work are restarted elsewhere. Long-running, best-effort
and gang tasks are not taken as evidence, since they may rightly pause.
"""

from cumintack.coordination.runs.health_evidence import (
    UNHEALTHY_STALL_SHARE,
)
from cumintack.coordination.runs.worker_views import (
    PlacedRuns,
    ProgressMark,
    WorkerView,
)
from cumintack.protocol.run_messages import RunKey
from cumintack.state.workflows import StepSpec

# Seconds without any progress after which a worker counts as stalled: two
# reports that were due, and a restore from a checkpoint. A task of one minute
# advances by 2% in this time.
STALL_TIMEOUT_S = 1.2
# Estimated run time in ms from which a task may show no progress for so long.
LONG_ESTIMATE_MS = 60000
# Seconds without placements after the last report without progress.
COOLDOWN_S = 1.0
# Progress in percent up to which a task without checkpoints is restarted
# elsewhere: a stall of five seconds costs most tasks more than half of their
# work.
MAX_LOST_PERCENT = 50


def detect_stalled_runs(
    placed_runs: PlacedRuns,
    view: WorkerView,
    now_s: float,
) -> list[RunKey]:
    """Update the progress of the runs on a worker after a report.

    Args:
        placed_runs: The recorded runs on the worker.
        view: The worker as last reported, excluded if it is stalled.
        now_s: Current time of the monotonic clock, in seconds.

    Returns:
        The runs to restart elsewhere; empty unless the worker is stalled.
    """
    indicative = {
        placed.key: placed.step
        for placed in placed_runs.values()
        if placed.key in view.running and _is_indicative(placed.step)
    }
    progress_marks = view.progress_marks
    for tracked_key in list(progress_marks):
        if tracked_key not in indicative:
            progress_marks.pop(tracked_key)
    for indicative_key in indicative:
        percent = view.running[indicative_key].percent
        mark = progress_marks.get(indicative_key)
        if mark is None or mark.percent != percent:
            progress_marks[indicative_key] = ProgressMark(percent, now_s)
    last_progress_at_s = max(
        (progress_marks[run].at_s for run in indicative), default=now_s
    )
    timeout_s = STALL_TIMEOUT_S
    if view.is_unhealthy:
        timeout_s *= UNHEALTHY_STALL_SHARE
    if now_s - last_progress_at_s < timeout_s:
        return []
    view.excluded_until_s = max(view.excluded_until_s, now_s + COOLDOWN_S)
    return [
        key
        for key, step in indicative.items()
        if step.is_checkpointed or view.running[key].percent <= MAX_LOST_PERCENT
    ]


def _is_indicative(step: StepSpec) -> bool:
    is_exempt = step.is_long_running or step.is_best_effort or step.is_gang
    return not is_exempt and step.estimate_ms < LONG_ESTIMATE_MS
