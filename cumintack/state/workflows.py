"""Workflows: steps of tasks with dependencies, and the runs of the tasks.

The caller chooses the identifier of a workflow and may submit it again. Each
start of a task is a run with an increasing number; the number and the worker
are recorded before the start is sent, so that no leader starts a task that
another leader may have started.
"""

import enum

import msgspec

from cumintack.state.errors import StepError
from cumintack.state.queues import Queue, QueueConfiguration
from cumintack.state.resources import Resources

# Most digits of the number of an occurrence, a step or a task.
MAX_PART_DIGITS = 18


class StepSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """A step: a group of identical tasks.

    Attributes:
        task_count: Number of tasks.
        need: Resources requested by each task.
        estimate_ms: Estimated run time of one task.
        depends_on: Indexes of earlier steps that must be done first.
        is_checkpointed: Whether a run can resume from a checkpoint.
        is_gang: Whether its tasks must run together (gang scheduling).
        is_one_rack: Whether its tasks run slower when spread over racks.
        label: Label that the worker must have, empty for any worker.
        data_rack: Rack that stores its input data, empty if none.
        max_per_worker: Maximum tasks of the step on one worker, 0 for no
            limit.
        is_copyable: Whether copies of a task may run concurrently.
        is_long_running: Whether its tasks run until the workflow is cancelled.
        image: Image that the tasks run; tasks of one image are assumed to
            behave alike.
        target_ms: Tail latency objective of a latency-critical task.
        is_best_effort: Whether its tasks use only the processor time that
            other tasks leave idle.
        absence_limit: Maximum tasks of a long-running step that may be down at
            the same time because of the scheduler; None for no limit.
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
    """Repeated execution of the steps.

    Attributes:
        repeat_count: Number of occurrences.
        first_at_ms: Due time of the first occurrence, in ms since 1970.
        interval_ms: Time between the due times of two occurrences.
    """

    repeat_count: int
    first_at_ms: int
    interval_ms: int


class WorkflowSpec(msgspec.Struct, frozen=True):
    """Workflow specification submitted by a caller.

    Attributes:
        program: Opaque text passed to the workers.
        steps: The steps.
        schedule: When to run them; None to run them once, immediately.
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

    ``refused`` means that the worker did not start it and never will;
    ``crashed`` that its worker ended unplanned; ``lost`` that its worker left
    or ended unobserved, or that its lease has certainly expired.
    """

    done = 'done'
    failed = 'failed'
    stopped = 'stopped'
    lapsed = 'lapsed'
    broken = 'broken'
    alone = 'alone'
    refused = 'refused'
    lost = 'lost'
    crashed = 'crashed'


class CrashEvidence(enum.Enum):
    """Whether a run may have caused the crash of its worker.

    ``unknown`` means that nothing is known; ``innocent`` that it had been
    running for some time; ``coincident`` that it had just started, but another
    worker crashed at the same time; ``possible`` that it and runs of other
    workflows had just started; ``sole`` that only runs of its own workflow had.
    """

    unknown = 'unknown'
    innocent = 'innocent'
    coincident = 'coincident'
    possible = 'possible'
    sole = 'sole'


class TaskRecord(msgspec.Struct, array_like=True):
    """State of one task, modified in place.

    Attributes:
        run: Number of the latest run, 0 before the first.
        guard: Guard of the worker of the current run, empty if none.
        lifetime: Identifier of the incarnation of that worker.
        failures: Number of failed runs.
        checkpoint: Checkpoint from which the next run resumes.
        is_done: Whether the task is done.
        failed_on: Guards of the workers on which it failed.
        crashed_on: Guards of the workers that crashed when it had just
            started, since it last outlived its start.
        blamed_crashes: Number of these crashes that nothing else explains.
    """

    run: int = 0
    guard: str = ''
    lifetime: str = ''
    failures: int = 0
    checkpoint: str = ''
    is_done: bool = False
    failed_on: tuple[str, ...] = ()
    crashed_on: tuple[str, ...] = ()
    blamed_crashes: int = 0


class StepRecord(msgspec.Struct, array_like=True):
    """State of one step in one occurrence of its workflow."""

    tasks: list[TaskRecord]
    done_count: int = 0


class WorkflowRecord(msgspec.Struct):
    """State of a workflow.

    Attributes:
        workflow_id: Chosen by the caller.
        queue: Copy of the queue as of acceptance.
        path: Request path of the submission.
        spec: The submitted specification.
        accepted_at_ms: Wall time of acceptance, in ms since 1970.
        status: Status of the workflow.
        ended_at_ms: Wall time of the end in ms since 1970, 0 before it.
        has_started: Whether a run of it is known to have begun; a recorded
            start may be refused, or lost on its way.
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
    """Key of a step in an occurrence of a workflow."""

    workflow_id: str
    occurrence: int
    step: int


class TaskKey(msgspec.Struct, frozen=True, order=True):
    """Key of a task: its step and its index within the step."""

    step_key: StepKey
    index: int


class RunStart(msgspec.Struct, frozen=True, array_like=True):
    """Assign a task to a worker under a new run number."""

    task_id: str
    run: int
    guard: str
    lifetime: str


class RunEnd(msgspec.Struct, frozen=True, array_like=True):
    """Record how a run ended, with its checkpoint."""

    task_id: str
    run: int
    kind: RunEndKind
    checkpoint: str = ''
    evidence: CrashEvidence = CrashEvidence.unknown


class AcceptWorkflow(msgspec.Struct, frozen=True, tag=True):
    """Accept a workflow into the queue of its host and path."""

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
    """Replace the queue configuration if the new version is higher."""

    configuration: QueueConfiguration


class BeginOccurrence(msgspec.Struct, frozen=True, tag=True):
    """Begin an occurrence of a scheduled workflow that is due."""

    workflow_id: str
    occurrence: int


class RecordRuns(msgspec.Struct, frozen=True, tag=True):
    """Record ends and starts of runs; the ends are applied first.

    Attributes:
        ends: Ends of runs.
        starts: Starts of runs.
        begun_workflows: Workflows of which a worker has listed a run.
    """

    ends: tuple[RunEnd, ...] = ()
    starts: tuple[RunStart, ...] = ()
    begun_workflows: tuple[str, ...] = ()


WorkflowOperation = (
    AcceptWorkflow
    | CancelWorkflow
    | ReplaceQueues
    | BeginOccurrence
    | RecordRuns
)


class SetEvacuation(msgspec.Struct, frozen=True, tag=True):
    """Begin or end the evacuation of a data centre.

    Attributes:
        data_centre: The data centre.
        is_active: Whether the evacuation begins.
        expected_revision: Revision of the evacuation that the sender has read,
            0 if there was none; a command that arrives after a later change is
            refused. None for any revision.
    """

    data_centre: str
    is_active: bool
    expected_revision: int | None = None


class Evacuation(msgspec.Struct, frozen=True):
    """The latest evacuation of a data centre.

    Attributes:
        is_active: Whether no task may be started in the data centre.
        revision: Index of the log entry that began or ended it.
        changed_at_ms: Wall time of that change, in ms since 1970.
    """

    is_active: bool
    revision: int
    changed_at_ms: int


# An evacuation that was never requested.
NO_EVACUATION = Evacuation(is_active=False, revision=0, changed_at_ms=0)


class WaitingTasks(msgspec.Struct):
    """Tasks of a ready step that have no run in progress.

    Attributes:
        indexes: Their indexes within the step, in a deterministic order.
        suspects: The indexes of those that may crash their worker.
    """

    indexes: dict[int, None] = {}
    suspects: dict[int, None] = {}


class WorkflowIndex(msgspec.Struct):
    """Indexes derived from the workflow records; not part of a snapshot.

    Attributes:
        waiting: Tasks to place, by ready step.
        placed: Tasks with a run in progress, by guard and task identifier.
        active: Identifiers of the workflows that have not ended.
        unbegun: Number of the next occurrence to begin, by workflow.
    """

    waiting: dict[StepKey, WaitingTasks] = {}
    placed: dict[str, dict[str, TaskKey]] = {}
    active: dict[str, None] = {}
    unbegun: dict[str, int] = {}


class Refusal(msgspec.Struct, frozen=True):
    """Refusal of a command of which copies may be under way.

    Attributes:
        index: Index of the log entry that was refused.
        refused_at_ms: Wall time at which the leader proposed the command, in
            ms since 1970.
        error: Why it was refused.
    """

    index: int
    refused_at_ms: int
    error: StepError


class WorkflowTables(msgspec.Struct):
    """All workflows and the configuration of their queues.

    Attributes:
        configuration: The queues in force.
        workflows: Workflows by identifier, oldest first.
        index: Indexes derived from the workflows.
        refusals: Latest refused commands by session and sequence, oldest first.
        evacuations: The latest evacuation of each data centre that had one.
        early_cancellations: When unknown workflows were cancelled, by
            identifier, in ms since 1970; oldest first.
    """

    configuration: QueueConfiguration = QueueConfiguration()
    workflows: dict[str, WorkflowRecord] = {}
    index: WorkflowIndex = msgspec.field(default_factory=WorkflowIndex)
    refusals: dict[str, Refusal] = {}
    evacuations: dict[str, Evacuation] = {}
    early_cancellations: dict[str, int] = {}


def format_task_id(key: TaskKey) -> str:
    """Format the identifier of a task: its four parts joined by dots.

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
        task_id: The identifier, which may come from another system.

    Returns:
        The task, or None if the identifier has another format.
    """
    parts = task_id.rsplit('.', 3)
    if len(parts) != 4 or not all(_is_number(part) for part in parts[1:]):
        return None
    occurrence, step, index = (int(part) for part in parts[1:])
    return TaskKey(StepKey(parts[0], occurrence, step), index)


def _is_number(part: str) -> bool:
    is_decimal = part.isascii() and part.isdigit()
    return (
        is_decimal and len(part) <= MAX_PART_DIGITS and str(int(part)) == part
    )


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
    """Get the specification of a step.

    Args:
        tables: The workflows.
        key: A step of a known workflow.

    Returns:
        The specification.
    """
    workflow = tables.workflows[key.workflow_id]
    return workflow.spec.steps[key.step]


def is_evacuated(tables: WorkflowTables, data_centre: str) -> bool:
    """Tell whether a data centre is being evacuated.

    Args:
        tables: The workflows.
        data_centre: The data centre.

    Returns:
        Whether no task may be started in it.
    """
    evacuation = tables.evacuations.get(data_centre)
    return evacuation is not None and evacuation.is_active


def list_pools(tables: WorkflowTables) -> tuple[str, ...]:
    """List the pools whose workers may run tasks.

    Args:
        tables: The workflows and the configuration of their queues.

    Returns:
        Names of the configured pools, and of those that active workflows were
        accepted for under an earlier configuration, in order.
    """
    configured = {pool.name for pool in tables.configuration.pools}
    in_use = {
        tables.workflows[workflow_id].queue.pool
        for workflow_id in tables.index.active
    }
    return tuple(sorted(configured | in_use))


def count_pending_workflows(tables: WorkflowTables, queue: Queue) -> int:
    """Count the active workflows of a queue of which no run has begun.

    Args:
        tables: The workflows.
        queue: The queue.

    Returns:
        Their number.
    """
    queue_key = (queue.host, queue.path_prefix)
    workflows = tables.workflows
    return sum(
        _is_pending_in_queue(workflows[workflow_id], queue_key)
        for workflow_id in tables.index.active
    )


def _is_pending_in_queue(
    workflow: WorkflowRecord, queue_key: tuple[str, str]
) -> bool:
    queue = workflow.queue
    is_in_queue = (queue.host, queue.path_prefix) == queue_key
    return is_in_queue and not workflow.has_started
