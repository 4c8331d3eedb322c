"""Workflows: steps of tasks with dependencies, and the runs of the tasks.

A caller chooses the identifier of a workflow and may hand it in again. Each
start of a task is a run with a number that rises; the number and the worker
are recorded before the start is sent, so that no leader can start a task
that another one may have started.
"""

import enum

import msgspec

from cumintack.state.queues import Queue, QueueConfiguration
from cumintack.state.resources import Resources


class StepSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """A step: tasks that are alike.

    Attributes:
        task_count: Number of tasks.
        need: Resources of each task.
        estimate_ms: Rough run time of one task.
        depends_on: Positions of earlier steps that must be done first.
        is_checkpointed: Whether a run can resume from what it saved.
        is_gang: Whether its tasks work only together.
        is_one_rack: Whether its tasks are slower on more than one rack.
        label: Label that the worker must carry, empty for any.
        data_rack: Rack of its data, empty for none.
        max_per_worker: Most tasks of the step on one worker, 0 for any.
        is_copyable: Whether copies of a task may run side by side.
        is_long_running: Whether its tasks run until the workflow is cancelled.
        image: What the tasks run; tasks of one image behave alike.
        target_ms: Tail latency that a serving task must stay below.
        is_best_effort: Whether its processor share is what others leave unused.
        absence_limit: Tasks of a lasting step that may be away at once because
            of what the scheduler does; None for no limit.
    """

    task_count: int
    need: Resources
    estimate_ms: int = 0
    depends_on: tuple[int, ...] = ()
    is_checkpointed: bool = False
    is_gang: bool = False
    is_one_rack: bool = False
    label: str = ''
    data_rack: str = ''
    max_per_worker: int = 0
    is_copyable: bool = False
    is_long_running: bool = msgspec.field(default=False, name='is_lasting')
    image: str = ''
    target_ms: int = 0
    is_best_effort: bool = msgspec.field(default=False, name='is_filling')
    absence_limit: int | None = None


class Schedule(msgspec.Struct, frozen=True):
    """Times at which the steps run again.

    Attributes:
        repeat_count: Number of occurrences.
        first_at_ms: When the first is due, in ms since 1970.
        interval_ms: Time between two.
    """

    repeat_count: int
    first_at_ms: int
    interval_ms: int


class WorkflowSpec(msgspec.Struct, frozen=True):
    """What a caller hands in.

    Attributes:
        program: Text handed to the workers unread.
        steps: The steps.
        schedule: When to run them; None for once, at once.
    """

    program: str
    steps: tuple[StepSpec, ...]
    schedule: Schedule | None = None


class WorkflowStatus(enum.Enum):
    """Status of a workflow."""

    active = 'active'
    completed = 'completed'
    failed = 'failed'
    cancelled = 'cancelled'


class RunEndKind(enum.Enum):
    """How a run ended.

    ``refused`` says that the worker did not start it and never will;
    ``lost`` that its worker is gone or its lease has surely run out.
    """

    done = 'done'
    failed = 'failed'
    stopped = 'stopped'
    lapsed = 'lapsed'
    broken = 'broken'
    alone = 'alone'
    refused = 'refused'
    lost = 'lost'


class TaskRecord(msgspec.Struct, array_like=True):
    """State of one task, changed in place.

    Attributes:
        run: Number of the latest run, 0 before the first.
        guard: Guard beside the worker of the run in progress, empty if none.
        lifetime: The life of that worker.
        failures: Runs that ended as failed.
        checkpoint: What the next run resumes from.
        is_done: Whether it has ended as done.
        failed_on: Guards of the workers on which it failed.
    """

    run: int = 0
    guard: str = ''
    lifetime: str = ''
    failures: int = 0
    checkpoint: str = ''
    is_done: bool = False
    failed_on: tuple[str, ...] = ()


class StepRecord(msgspec.Struct, array_like=True):
    """State of one step of one occurrence."""

    tasks: list[TaskRecord]
    done_count: int = 0


class WorkflowRecord(msgspec.Struct):
    """State of a workflow.

    Attributes:
        workflow_id: Chosen by the caller.
        queue: The queue as it was when the workflow was accepted.
        path: The path under which it was handed in.
        spec: What was asked for.
        accepted_at_ms: Wall time, in ms since 1970.
        status: Status of the whole.
        ended_at_ms: Wall time of the end, 0 before.
        has_started: Whether any task was started.
        occurrences: Steps of each occurrence that has begun, by number.
    """

    workflow_id: str
    queue: Queue
    path: str
    spec: WorkflowSpec
    accepted_at_ms: int
    status: WorkflowStatus = WorkflowStatus.active
    ended_at_ms: int = 0
    has_started: bool = False
    occurrences: dict[int, list[StepRecord]] = {}


class StepKey(msgspec.Struct, frozen=True, order=True):
    """A step of an occurrence of a workflow."""

    workflow_id: str
    occurrence: int
    step: int


class TaskKey(msgspec.Struct, frozen=True, order=True):
    """A task of a step."""

    step_key: StepKey
    index: int


class RunStart(msgspec.Struct, frozen=True, array_like=True):
    """Bind a task to a worker under a new run number."""

    task_id: str
    run: int
    guard: str
    lifetime: str


class RunEnd(msgspec.Struct, frozen=True, array_like=True):
    """Record how a run ended, with what it saved."""

    task_id: str
    run: int
    kind: RunEndKind
    checkpoint: str = ''


class AcceptWorkflow(msgspec.Struct, frozen=True, tag=True):
    """Accept a workflow under the queue of its host and path."""

    workflow_id: str
    host: str
    path: str
    spec: WorkflowSpec


class CancelWorkflow(msgspec.Struct, frozen=True, tag=True):
    """Cancel a workflow."""

    workflow_id: str
    host: str
    path: str


class ReplaceQueues(msgspec.Struct, frozen=True, tag=True):
    """Put a whole configuration of queues in force if it is newer."""

    configuration: QueueConfiguration


class BeginOccurrence(msgspec.Struct, frozen=True, tag=True):
    """Begin an occurrence that is due."""

    workflow_id: str
    occurrence: int


class RecordRuns(msgspec.Struct, frozen=True, tag=True):
    """Record ends and starts of runs; the ends come first."""

    ends: tuple[RunEnd, ...] = ()
    starts: tuple[RunStart, ...] = ()


WorkflowOperation = (
    AcceptWorkflow
    | CancelWorkflow
    | ReplaceQueues
    | BeginOccurrence
    | RecordRuns
)


class WaitingTasks(msgspec.Struct):
    """Tasks of an open step that have no run in progress.

    Attributes:
        indexes: Their positions, in a fixed order.
    """

    indexes: dict[int, None] = {}


class WorkflowIndex(msgspec.Struct):
    """What can be computed again from the records.

    Attributes:
        waiting: Tasks to place, by open step.
        placed: Tasks with a run in progress, by guard.
        active: Workflows that have not ended.
        unbegun: Occurrences to begin, by workflow.
    """

    waiting: dict[StepKey, WaitingTasks] = {}
    placed: dict[str, dict[str, TaskKey]] = {}
    active: dict[str, None] = {}
    unbegun: dict[str, int] = {}


class WorkflowTables(msgspec.Struct):
    """All workflows and the configuration of their queues.

    Attributes:
        configuration: The queues in force.
        workflows: Workflows by identifier, oldest first.
        index: What is not part of a snapshot.
    """

    configuration: QueueConfiguration = QueueConfiguration()
    workflows: dict[str, WorkflowRecord] = {}
    index: WorkflowIndex = msgspec.field(default_factory=WorkflowIndex)


def format_task_id(key: TaskKey) -> str:
    """Create the identifier of a task: its four parts joined by dots.

    Args:
        key: The task.

    Returns:
        The identifier.
    """
    step_key = key.step_key
    return (
        f'{step_key.workflow_id}.{step_key.occurrence}'
        f'.{step_key.step}.{key.index}'
    )


def parse_task_id(task_id: str) -> TaskKey | None:
    """Parse the identifier of a task.

    Args:
        task_id: The identifier, maybe of another writer.

    Returns:
        The task, or None if it is none of this system's making.
    """
    parts = task_id.rsplit('.', 3)
    if len(parts) != 4 or not all(part.isdigit() for part in parts[1:]):
        return None
    occurrence, step, index = (int(part) for part in parts[1:])
    return TaskKey(StepKey(parts[0], occurrence, step), index)


def get_task(tables: WorkflowTables, key: TaskKey) -> TaskRecord | None:
    """Get the record of a task.

    Args:
        tables: The workflows.
        key: The task.

    Returns:
        The record, or None if there is no such task.
    """
    step_key = key.step_key
    workflow = tables.workflows.get(step_key.workflow_id)
    if workflow is None:
        return None
    steps = workflow.occurrences.get(step_key.occurrence, [])
    if step_key.step >= len(steps):
        return None
    tasks = steps[step_key.step].tasks
    return tasks[key.index] if key.index < len(tasks) else None


def get_step(tables: WorkflowTables, key: StepKey) -> StepSpec:
    """Get what was asked for of a step.

    Args:
        tables: The workflows.
        key: A step of a known workflow.

    Returns:
        The step.
    """
    workflow = tables.workflows[key.workflow_id]
    return workflow.spec.steps[key.step]


def count_pending_workflows(tables: WorkflowTables, queue: Queue) -> int:
    """Count the accepted workflows of a queue without a started task.

    Args:
        tables: The workflows.
        queue: The queue.

    Returns:
        Their number.
    """
    place = (queue.host, queue.path_prefix)
    workflows = tables.workflows
    return sum(
        _is_pending(workflows[workflow_id], place)
        for workflow_id in tables.index.active
    )


def _is_pending(workflow: WorkflowRecord, place: tuple[str, str]) -> bool:
    queue = workflow.queue
    is_own = (queue.host, queue.path_prefix) == place
    return is_own and not workflow.has_started
