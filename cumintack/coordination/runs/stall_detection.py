"""Workers on which everything stands still, learned from percents.

Answers workers that take what they are given, look healthy and let nothing
advance for some seconds: nothing more goes there, and what would lose little
by it goes on elsewhere. Only tasks that are neither lasting nor filling nor
part of a gang tell: the others may rightly stand still.
"""

import msgspec

from cumintack.coordination.runs.worker_views import (
    WorkerView,
    list_runs_with_steps,
)
from cumintack.protocol.run_messages import RunKey
from cumintack.state.workflows import StepSpec, WorkflowTables

# Seconds without any advance after which a worker stands still: two reports
# that were due, and a restore. A task of a minute advances by 2% meanwhile.
STALL_TIMEOUT_S = 1.2
# Estimate in ms from which a task may show no advance for so long.
LONG_ESTIMATE_MS = 60000
# Seconds that nothing is placed after the last report without an advance.
COOLDOWN_S = 1.0
# Percent up to which a task without checkpoints goes on elsewhere: a spell of
# five seconds costs most tasks more than half of their work.
MAX_LOST_PERCENT = 50


class ProgressMark(msgspec.Struct):
    """How far a run was when it last advanced."""

    guard: str
    percent: float
    at_s: float


def detect_stalled_runs(
    progress_marks: dict[RunKey, ProgressMark],
    tables: WorkflowTables,
    view: WorkerView,
    now_s: float,
) -> list[RunKey]:
    """Follow how the runs of a worker advance, after a report of it.

    Args:
        progress_marks: The latest advance by run, changed in place.
        tables: The workflows.
        view: The worker, shunned if it stands still.
        now_s: The time.

    Returns:
        Runs that should go on elsewhere; empty if the worker works.
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
