"""What is left of a workflow: its critical path and its work.

Both follow from the estimated run times of its steps and the tasks that are not
done. A running task counts as half done, since the leader does not follow the
progress of every run here.
"""

import msgspec

from cumintack.coordination.runs.waiting.run_time_estimates import (
    RunTimeModel,
    estimate_run_time_s,
)
from cumintack.state.workflows import (
    StepKey,
    StepRecord,
    StepSpec,
    WorkflowRecord,
    WorkflowTables,
    get_step,
)

RUNNING_SHARE = 0.5
MILLI_PER_CORE = 1000


class RemainingWork(msgspec.Struct, frozen=True):
    """What is left of an occurrence of a workflow.

    Attributes:
        path_s: Its critical path from now on, in seconds at full speed.
        whole_path_s: The critical path of all its steps.
        work_core_s: The work that is left, in core-seconds.
        whole_work_core_s: The work of all its steps.
    """

    path_s: float
    whole_path_s: float
    work_core_s: float
    whole_work_core_s: float


class StepRemainder(msgspec.Struct, frozen=True):
    """What is left of one step.

    Attributes:
        run_time_s: Estimated run time of a task.
        left_s: Time until the step is done if all its tasks ran now.
        work_core_s: The work that is left, in core-seconds.
        whole_work_core_s: The work of all its tasks.
    """

    run_time_s: float
    left_s: float
    work_core_s: float
    whole_work_core_s: float


def assess_remaining_work(
    model: RunTimeModel,
    tables: WorkflowTables,
    workflow: WorkflowRecord,
    occurrence: int,
) -> RemainingWork:
    """Assess what is left of an occurrence of a workflow.

    Args:
        model: The estimates of run times.
        tables: The replicated workflow tables.
        workflow: The workflow.
        occurrence: The number of the occurrence, which has begun.

    Returns:
        Its remaining path and work.
    """
    steps = workflow.spec.steps
    remainders = [
        _assess_step(
            model,
            tables,
            StepKey(workflow.workflow_id, occurrence, position),
            record,
        )
        for position, record in enumerate(workflow.occurrences[occurrence])
    ]
    return RemainingWork(
        _compute_path_s(steps, [left.left_s for left in remainders]),
        _compute_path_s(steps, [left.run_time_s for left in remainders]),
        sum(left.work_core_s for left in remainders),
        sum(left.whole_work_core_s for left in remainders),
    )


def _assess_step(
    model: RunTimeModel,
    tables: WorkflowTables,
    key: StepKey,
    record: StepRecord,
) -> StepRemainder:
    run_time_s = estimate_run_time_s(model, tables, key)
    unstarted, running = _count_left(tables, key, record)
    left_s = 0.0
    if unstarted:
        left_s = run_time_s
    elif running:
        left_s = run_time_s * RUNNING_SHARE
    cores = get_step(tables, key).need.cores_milli / MILLI_PER_CORE
    tasks_left = unstarted + running * RUNNING_SHARE
    work_core_s = cores * run_time_s
    return StepRemainder(
        run_time_s,
        left_s,
        tasks_left * work_core_s,
        len(record.tasks) * work_core_s,
    )


def _count_left(
    tables: WorkflowTables, key: StepKey, record: StepRecord
) -> tuple[int, int]:
    """Count the tasks without a run in progress, and those with one."""
    left = len(record.tasks) - record.done_count
    waiting = tables.index.waiting.get(key)
    if waiting is not None:
        return len(waiting.indexes), left - len(waiting.indexes)
    is_running = any(task.guard for task in record.tasks)
    return (0, left) if is_running else (left, 0)


def _compute_path_s(
    steps: tuple[StepSpec, ...], durations_s: list[float]
) -> float:
    """Compute the longest chain of dependent steps."""
    ends_s: list[float] = []
    for step, duration_s in zip(steps, durations_s, strict=True):
        ready_s = max(
            (ends_s[earlier] for earlier in step.depends_on), default=0
        )
        ends_s.append(ready_s + duration_s)
    return max(ends_s, default=0)
