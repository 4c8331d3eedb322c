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
STALLED_S = 1.2
# Estimate in ms from which a task may show no advance for so long.
LONG_MS = 60000
# Seconds that nothing is placed after the last report without an advance.
SHUN_S = 1.0
# Percent up to which a task without checkpoints goes on elsewhere: a spell of
# five seconds costs most tasks more than half of their work.
HALF_PERCENT = 50


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
    telling = {
        key: step
        for key, step in list_runs_with_steps(tables, view)
        if key in view.running and _is_telling(step)
    }
    _forget_absent(progress_marks, view, telling)
    for told in telling:
        percent = view.running[told].percent
        known = progress_marks.get(told)
        if known is None or known.percent != percent:
            progress_marks[told] = ProgressMark(view.guard, percent, now_s)
    latest_s = max((progress_marks[run].at_s for run in telling), default=now_s)
    if now_s - latest_s < STALLED_S:
        return []
    view.excluded_until_s = max(view.excluded_until_s, now_s + SHUN_S)
    return [
        key
        for key, step in telling.items()
        if step.is_checkpointed or view.running[key].percent <= HALF_PERCENT
    ]


def _is_telling(step: StepSpec) -> bool:
    is_still = step.is_long_running or step.is_best_effort or step.is_gang
    return not is_still and step.estimate_ms < LONG_MS


def _forget_absent(
    progress_marks: dict[RunKey, ProgressMark],
    view: WorkerView,
    telling: dict[RunKey, StepSpec],
) -> None:
    for key, known in list(progress_marks.items()):
        if known.guard == view.guard and key not in telling:
            progress_marks.pop(key)
