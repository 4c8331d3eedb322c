"""Detection of workers on which no run makes progress.

Handles workers that accept runs and look healthy, but on which no run
advances for some seconds. Such a worker is excluded from placement, and runs
that would lose little work are restarted elsewhere. Long-running, best-effort
and gang tasks are not taken as evidence, since they may rightly pause.
"""

import msgspec

from cumintack.coordination.runs.worker_views import (
    WorkerView,
    list_runs_with_steps,
)
from cumintack.protocol.run_messages import RunKey
from cumintack.state.workflows import StepSpec, WorkflowTables

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


class ProgressMark(msgspec.Struct):
    """Progress of a run when it last advanced."""

    guard: str
    percent: float
    at_s: float


def detect_stalled_runs(
    progress_marks: dict[RunKey, ProgressMark],
    tables: WorkflowTables,
    view: WorkerView,
    now_s: float,
) -> list[RunKey]:
    """Update the progress of the runs on a worker after a report.

    Args:
        progress_marks: The latest progress of each run, changed in place.
        tables: The replicated workflow tables.
        view: The worker as last reported, excluded if it is stalled.
        now_s: Current time of the monotonic clock, in seconds.

    Returns:
        The runs to restart elsewhere; empty unless the worker is stalled.
    """
    indicative = {
        key: step
        for key, step in list_runs_with_steps(tables, view)
        if key in view.running and _is_indicative(step)
    }
    _prune_absent_runs(progress_marks, view, indicative)
    for indicative_key in indicative:
        percent = view.running[indicative_key].percent
        mark = progress_marks.get(indicative_key)
        if mark is None or mark.percent != percent:
            progress_marks[indicative_key] = ProgressMark(
                view.guard, percent, now_s
            )
    last_progress_at_s = max(
        (progress_marks[run].at_s for run in indicative), default=now_s
    )
    if now_s - last_progress_at_s < STALL_TIMEOUT_S:
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


def _prune_absent_runs(
    progress_marks: dict[RunKey, ProgressMark],
    view: WorkerView,
    indicative: dict[RunKey, StepSpec],
) -> None:
    for key, mark in list(progress_marks.items()):
        if mark.guard == view.guard and key not in indicative:
            progress_marks.pop(key)
