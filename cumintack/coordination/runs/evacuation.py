"""Which runs leave a worker that drains.

A run that would not end before its worker leaves is stopped at once, so that
it goes on elsewhere from what it saved.
"""

from cumintack.coordination.runs.worker_views import WorkerView
from cumintack.protocol.run_messages import RunKey
from cumintack.state.workflows import (
    StepSpec,
    WorkflowTables,
    get_step,
    get_task,
)

# Percent from which a run is left to end by itself.
NEARLY_DONE_PERCENT = 80


def list_runs_to_evacuate(
    tables: WorkflowTables,
    view: WorkerView,
    now_s: float,
) -> list[RunKey]:
    """List the runs to stop on a draining worker.

    Args:
        tables: The workflows.
        view: The worker.
        now_s: The time.

    Returns:
        Runs that have begun and will not end in time.
    """
    time_left_ms = (
        view.facts.leaves_in_ms - (now_s - view.last_report_at_s) * 1000
    )
    run_keys = []
    for task_id, key in tables.index.placed.get(view.guard, {}).items():
        record = get_task(tables, key)
        if record is None:
            continue
        step = get_step(tables, key.step_key)
        run_key = RunKey(task_id, record.run)
        run = view.running.get(run_key)
        percent = run.percent if run else 0
        if step.is_long_running or not _is_finishing_in_time(
            step, percent, time_left_ms
        ):
            run_keys.append(run_key)
    return run_keys


def _is_finishing_in_time(
    step: StepSpec, percent: float, time_left_ms: float
) -> bool:
    remaining_run_ms = step.estimate_ms * (100 - percent) / 100
    return percent >= NEARLY_DONE_PERCENT or remaining_run_ms < time_left_ms
