"""Deterministic state transitions of workflows.

The end of a run is ignored unless the run is the latest of its task, so that a
repeated or late report never counts a completion twice.
"""

import msgspec

from cumintack.state._early_cancellations import (
    is_cancelled_early,
    record_early_cancellation,
)
from cumintack.state.errors import ErrorCode, StepError
from cumintack.state.queues import QueueConfiguration, find_queue
from cumintack.state.workflows import (
    AcceptWorkflow,
    BeginOccurrence,
    CancelWorkflow,
    CrashEvidence,
    RecordRuns,
    ReplaceQueues,
    RunEnd,
    RunEndKind,
    RunStart,
    StepKey,
    StepRecord,
    StepSpec,
    TaskKey,
    TaskRecord,
    WaitingTasks,
    WorkflowIndex,
    WorkflowOperation,
    WorkflowRecord,
    WorkflowStatus,
    WorkflowTables,
    format_task_id,
    get_task,
    parse_task_id,
)

# Callers may query a workflow for 120 s after its end; the rest allows for
# clock differences between leaders.
WORKFLOW_RETENTION_MS = 300000
# Ended workflows are purged when the table grows to a multiple of this number,
# so that the cost of scanning the table is spread over many workflows.
PURGE_INTERVAL = 256
# Crashes blamed on a task after which it is given up. The first makes it a
# suspect, which is started apart from others, so that the second is its own.
MAX_BLAMED_CRASHES = 2
# Crashes after which a task is given up although others may explain each.
MAX_CRASHES = 5
# Ends that do not show whether the run outlived its start.
UNOBSERVED_ENDS = frozenset(
    (RunEndKind.refused, RunEndKind.lost, RunEndKind.crashed)
)
STEP = 'workflow'
# Ends of runs that may never have begun.
UNBEGUN_KINDS = frozenset((RunEndKind.refused, RunEndKind.lost))
# Result of a transition that was not refused.
NO_ERROR: StepError | None = None


def apply_workflow_operation(
    tables: WorkflowTables,
    operation: WorkflowOperation,
    now_ms: int,
) -> StepError | None:
    """Apply a committed operation.

    Args:
        tables: The workflows, modified in place.
        operation: The operation.
        now_ms: Wall time at which the leader proposed it, in ms since 1970.

    Returns:
        Why it was refused; None if it was applied now or earlier.
    """
    match operation:
        case AcceptWorkflow():
            return _accept_workflow(tables, operation, now_ms)
        case CancelWorkflow():
            return _cancel_workflow(tables, operation, now_ms)
        case ReplaceQueues():
            return _replace_queues(tables, operation.configuration)
        case BeginOccurrence():
            return _begin_occurrence(tables, operation)
        case RecordRuns():
            return _record_runs(tables, operation, now_ms)


def _create_error(code: ErrorCode, detail: str) -> StepError:
    return StepError(code, STEP, '', detail)


def _replace_queues(
    tables: WorkflowTables,
    configuration: QueueConfiguration,
) -> StepError | None:
    if configuration.version <= tables.configuration.version:
        return NO_ERROR
    tables.configuration = configuration
    return NO_ERROR


def _accept_workflow(
    tables: WorkflowTables,
    operation: AcceptWorkflow,
    now_ms: int,
) -> StepError | None:
    if operation.workflow_id in tables.workflows:
        return NO_ERROR
    if is_cancelled_early(tables, operation.workflow_id, now_ms):
        return _create_error(
            ErrorCode.expired, 'the workflow was cancelled before'
        )
    if not tables.configuration.version:
        return _create_error(
            ErrorCode.unavailable, 'no queues are configured yet'
        )
    queue = find_queue(tables.configuration, operation.host, operation.path)
    if queue is None:
        return _create_error(ErrorCode.not_found, 'no queue has this path')
    _purge_ended(tables, now_ms)
    workflow = WorkflowRecord(
        operation.workflow_id,
        queue,
        operation.path,
        operation.spec,
        now_ms,
    )
    tables.workflows[workflow.workflow_id] = workflow
    tables.index.active[workflow.workflow_id] = None
    if operation.spec.schedule is None:
        _create_occurrence(tables, workflow, 0)
    else:
        tables.index.unbegun[workflow.workflow_id] = 0
    return NO_ERROR


def _purge_ended(tables: WorkflowTables, now_ms: int) -> None:
    if len(tables.workflows) % PURGE_INTERVAL != PURGE_INTERVAL - 1:
        return
    expired = [
        workflow_id
        for workflow_id, workflow in tables.workflows.items()
        if 0 < workflow.ended_at_ms < now_ms - WORKFLOW_RETENTION_MS
    ]
    for workflow_id in expired:
        tables.workflows.pop(workflow_id)


def _begin_occurrence(
    tables: WorkflowTables,
    operation: BeginOccurrence,
) -> StepError | None:
    next_occurrence = tables.index.unbegun.get(operation.workflow_id)
    if next_occurrence != operation.occurrence:
        return NO_ERROR
    workflow = tables.workflows[operation.workflow_id]
    _create_occurrence(tables, workflow, operation.occurrence)
    _update_unbegun(tables, workflow)
    return NO_ERROR


def _update_unbegun(tables: WorkflowTables, workflow: WorkflowRecord) -> None:
    schedule = workflow.spec.schedule
    begun_count = len(workflow.occurrences)
    if schedule is not None and begun_count < schedule.repeat_count:
        tables.index.unbegun[workflow.workflow_id] = begun_count
    else:
        tables.index.unbegun.pop(workflow.workflow_id, None)


def _create_occurrence(
    tables: WorkflowTables,
    workflow: WorkflowRecord,
    occurrence: int,
) -> None:
    workflow.occurrences[occurrence] = [
        StepRecord([TaskRecord() for _ in range(step.task_count)])
        for step in workflow.spec.steps
    ]
    for position, _step in enumerate(workflow.spec.steps):
        _queue_ready_tasks(
            tables,
            workflow,
            StepKey(workflow.workflow_id, occurrence, position),
        )


def is_step_ready(workflow: WorkflowRecord, key: StepKey) -> bool:
    """Check whether the dependencies of a step are done.

    Args:
        workflow: The workflow.
        key: One of its steps.

    Returns:
        True if its tasks may start.
    """
    steps = workflow.occurrences[key.occurrence]
    return all(
        steps[earlier].done_count == len(steps[earlier].tasks)
        for earlier in workflow.spec.steps[key.step].depends_on
    )


def _queue_ready_tasks(
    tables: WorkflowTables,
    workflow: WorkflowRecord,
    key: StepKey,
) -> None:
    if not is_step_ready(workflow, key):
        return
    record = workflow.occurrences[key.occurrence][key.step]
    indexes = {
        index: None
        for index, task in enumerate(record.tasks)
        if not task.is_done and not task.guard
    }
    if indexes:
        suspects = {
            index: None for index in indexes if record.tasks[index].crashed_on
        }
        tables.index.waiting[key] = WaitingTasks(indexes, suspects)


def _cancel_workflow(
    tables: WorkflowTables,
    operation: CancelWorkflow,
    now_ms: int,
) -> StepError | None:
    workflow = tables.workflows.get(operation.workflow_id)
    if workflow is None:
        return _cancel_unknown(tables, operation.workflow_id, now_ms)
    if workflow.status is not WorkflowStatus.active:
        return NO_ERROR
    _end_workflow(tables, workflow, WorkflowStatus.cancelled, now_ms)
    return NO_ERROR


def _cancel_unknown(
    tables: WorkflowTables, workflow_id: str, now_ms: int
) -> StepError:
    if record_early_cancellation(tables, workflow_id, now_ms):
        return _create_error(ErrorCode.not_found, 'there is no such workflow')
    # A copy of the command may still be recorded once there is room.
    return _create_error(
        ErrorCode.timeout, 'too many unknown workflows were cancelled'
    )


def _end_workflow(
    tables: WorkflowTables,
    workflow: WorkflowRecord,
    status: WorkflowStatus,
    now_ms: int,
) -> None:
    workflow.status = status
    workflow.ended_at_ms = now_ms
    # No task of it starts again, so the program text is no longer needed.
    workflow.spec = msgspec.structs.replace(workflow.spec, program='')
    index = tables.index
    index.active.pop(workflow.workflow_id, None)
    index.unbegun.pop(workflow.workflow_id, None)
    for occurrence in workflow.occurrences:
        for position, _step in enumerate(workflow.spec.steps):
            key = StepKey(workflow.workflow_id, occurrence, position)
            index.waiting.pop(key, None)


def _record_runs(
    tables: WorkflowTables,
    operation: RecordRuns,
    now_ms: int,
) -> StepError | None:
    for end in operation.ends:
        _record_end(tables, end, now_ms)
    for start in operation.starts:
        _record_start(tables, start)
    for workflow_id in operation.begun_workflows:
        workflow = tables.workflows.get(workflow_id)
        if workflow is not None:
            workflow.has_started = True
    return NO_ERROR


def _record_start(tables: WorkflowTables, start: RunStart) -> None:
    key = parse_task_id(start.task_id)
    if key is None:
        return
    waiting = tables.index.waiting.get(key.step_key)
    task = get_task(tables, key)
    if task is None or waiting is None or key.index not in waiting.indexes:
        return
    if start.run <= task.run:
        return
    waiting.indexes.pop(key.index)
    waiting.suspects.pop(key.index, None)
    if not waiting.indexes:
        tables.index.waiting.pop(key.step_key)
    task.run = start.run
    task.guard = start.guard
    task.lifetime = start.lifetime
    tables.index.placed.setdefault(start.guard, {})[start.task_id] = key


def _record_end(tables: WorkflowTables, end: RunEnd, now_ms: int) -> None:
    key = parse_task_id(end.task_id)
    task = get_task(tables, key) if key else None
    if key is None or task is None or task.run != end.run or not task.guard:
        return
    tables.index.placed[task.guard].pop(end.task_id)
    workflow = tables.workflows[key.step_key.workflow_id]
    workflow.has_started |= end.kind not in UNBEGUN_KINDS
    step = workflow.spec.steps[key.step_key.step]
    if end.checkpoint:
        task.checkpoint = end.checkpoint
    if end.kind is RunEndKind.failed:
        task.failures += 1
        task.failed_on = (*task.failed_on, task.guard)
    _count_crash(task, end)
    task.guard = ''
    task.lifetime = ''
    if end.kind is RunEndKind.done and not step.is_long_running:
        _complete_task(tables, workflow, key, now_ms)
    elif workflow.status is WorkflowStatus.active:
        _requeue_or_fail(tables, workflow, key, now_ms)


def _count_crash(task: TaskRecord, end: RunEnd) -> None:
    match end.evidence:
        case CrashEvidence.unknown if end.kind in UNOBSERVED_ENDS:
            return
        case CrashEvidence.unknown | CrashEvidence.innocent:
            task.crashed_on = ()
            task.blamed_crashes = 0
            return
        case CrashEvidence.coincident if task.crashed_on:
            return
        case CrashEvidence.sole if task.guard not in task.crashed_on:
            task.blamed_crashes += 1
        case CrashEvidence.possible | CrashEvidence.sole:
            # A worker that crashes again may do so by itself.
            task.blamed_crashes = max(task.blamed_crashes, 1)
    task.crashed_on = (*task.crashed_on, task.guard)


def _is_given_up(task: TaskRecord) -> bool:
    return (
        task.blamed_crashes >= MAX_BLAMED_CRASHES
        or len(task.crashed_on) >= MAX_CRASHES
    )


def _requeue_or_fail(
    tables: WorkflowTables,
    workflow: WorkflowRecord,
    key: TaskKey,
    now_ms: int,
) -> None:
    step_key = key.step_key
    step = workflow.spec.steps[step_key.step]
    record = workflow.occurrences[step_key.occurrence][step_key.step]
    task = record.tasks[key.index]
    is_out_of_attempts = task.failures >= workflow.queue.attempts
    is_failed = is_out_of_attempts and not step.is_long_running
    if is_failed or _is_given_up(task):
        _end_workflow(tables, workflow, WorkflowStatus.failed, now_ms)
        return
    if task.is_done:
        return
    waiting = tables.index.waiting.setdefault(step_key, WaitingTasks())
    waiting.indexes[key.index] = None
    if task.crashed_on:
        waiting.suspects[key.index] = None


def _complete_task(
    tables: WorkflowTables,
    workflow: WorkflowRecord,
    key: TaskKey,
    now_ms: int,
) -> None:
    step_key = key.step_key
    record = workflow.occurrences[step_key.occurrence][step_key.step]
    step = workflow.spec.steps[step_key.step]
    done_tasks = record.tasks if step.is_gang else [record.tasks[key.index]]
    for task in done_tasks:
        record.done_count += not task.is_done
        task.is_done = True
    if step.is_gang:
        tables.index.waiting.pop(step_key, None)
    if workflow.status is not WorkflowStatus.active:
        return
    if record.done_count == len(record.tasks):
        _queue_dependent_steps(tables, workflow, step_key, now_ms)


def _queue_dependent_steps(
    tables: WorkflowTables,
    workflow: WorkflowRecord,
    done_key: StepKey,
    now_ms: int,
) -> None:
    for position, step in enumerate(workflow.spec.steps):
        if done_key.step in step.depends_on:
            key = StepKey(done_key.workflow_id, done_key.occurrence, position)
            _queue_ready_tasks(tables, workflow, key)
    if _is_complete(workflow):
        _end_workflow(tables, workflow, WorkflowStatus.completed, now_ms)


def _is_step_done(record: StepRecord, step: StepSpec) -> bool:
    return not step.is_long_running and record.done_count == len(record.tasks)


def _is_complete(workflow: WorkflowRecord) -> bool:
    schedule = workflow.spec.schedule
    expected_count = schedule.repeat_count if schedule else 1
    if len(workflow.occurrences) < expected_count:
        return False
    return all(
        _is_step_done(record, step)
        for steps in workflow.occurrences.values()
        for record, step in zip(steps, workflow.spec.steps, strict=True)
    )


def rebuild_index(tables: WorkflowTables) -> None:
    """Rebuild the derived indexes from the workflow records.

    Args:
        tables: The workflows, whose indexes are replaced.
    """
    tables.index = WorkflowIndex()
    for workflow in tables.workflows.values():
        _index_placed_runs(tables, workflow)
        if workflow.status is not WorkflowStatus.active:
            continue
        tables.index.active[workflow.workflow_id] = None
        _update_unbegun(tables, workflow)
        for occurrence in workflow.occurrences:
            for position, _step in enumerate(workflow.spec.steps):
                key = StepKey(workflow.workflow_id, occurrence, position)
                _queue_ready_tasks(tables, workflow, key)


def _index_placed_runs(
    tables: WorkflowTables, workflow: WorkflowRecord
) -> None:
    for occurrence, steps in workflow.occurrences.items():
        for position, record in enumerate(steps):
            step_key = StepKey(workflow.workflow_id, occurrence, position)
            for index, task in enumerate(record.tasks):
                if task.guard:
                    placed = tables.index.placed.setdefault(task.guard, {})
                    key = TaskKey(step_key, index)
                    placed[format_task_id(key)] = key
