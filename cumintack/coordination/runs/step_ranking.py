"""In which order waiting steps are placed.

A workflow earns by the time to its end against an objective: a multiple of
its longest chain of steps, and some slack. It earns a little up to three
times that, and nothing later.
"""

import msgspec

from cumintack.state.workflows import (
    StepKey,
    WorkflowRecord,
    WorkflowTables,
)

MS_PER_S = 1000
# A workflow earns a little until this multiple of its objective.
LATE_FACTOR = 3


class StepRank(msgspec.Struct, frozen=True, order=True):
    """Sorts waiting steps; the least comes first.

    Attributes:
        priority: Rank of the queue.
        lateness: 0 while it can be in time, 1 while it can be late, 2
            after that.
        due_ms: When it should be done.
        key: The step, to break ties.
    """

    priority: int
    lateness: int
    due_ms: float
    key: StepKey


def compute_critical_path_ms(workflow: WorkflowRecord) -> int:
    """Compute the run time of the longest chain of steps.

    Args:
        workflow: The workflow.

    Returns:
        The declared time in ms.
    """
    end_times_ms: list[int] = []
    for step in workflow.spec.steps:
        ready_ms = max(
            (end_times_ms[dependency] for dependency in step.depends_on),
            default=0,
        )
        end_times_ms.append(ready_ms + step.estimate_ms)
    return max(end_times_ms, default=0)


def compute_objective_ms(workflow: WorkflowRecord) -> float:
    """Compute within what time a workflow should be done.

    Args:
        workflow: The workflow.

    Returns:
        The time from its acceptance, in ms.
    """
    queue = workflow.queue
    return queue.stretch * compute_critical_path_ms(workflow) + queue.slack_ms


def get_objective_start_ms(workflow: WorkflowRecord, occurrence: int) -> float:
    """Get the wall time from which a workflow's objective counts.

    Args:
        workflow: The workflow.
        occurrence: The occurrence.

    Returns:
        The time in ms since 1970.
    """
    schedule = workflow.spec.schedule
    if schedule is None:
        return workflow.accepted_at_ms
    return schedule.first_at_ms + occurrence * schedule.interval_ms


def rank_step(
    tables: WorkflowTables,
    key: StepKey,
    now_ms: float,
) -> StepRank:
    """Rank a waiting step.

    Args:
        tables: The workflows.
        key: The step.
        now_ms: Wall time.

    Returns:
        Its rank.
    """
    workflow = tables.workflows[key.workflow_id]
    objective_ms = compute_objective_ms(workflow)
    start_ms = get_objective_start_ms(workflow, key.occurrence)
    due_ms = start_ms + objective_ms
    lateness = 0
    if now_ms > due_ms:
        lateness = 1
    if now_ms > start_ms + LATE_FACTOR * objective_ms:
        lateness = 2
    return StepRank(workflow.queue.priority, lateness, due_ms, key)
