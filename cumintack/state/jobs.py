"""Batch jobs, their tasks and the table of task transitions.

Every change of a task is one row of ``TRANSITIONS``. A report that has no
row, or that names an attempt other than the current one, changes nothing:
this is what makes completion count once whatever is repeated or late.
"""

import enum

import msgspec

from cumintack.state.resources import Resources


class Priority(enum.Enum):
    """Order of urgency of a job."""

    urgent = 'urgent'
    normal = 'normal'
    spare = 'spare'


PRIORITY_RANKS = {
    Priority.urgent: 0,
    Priority.normal: 1,
    Priority.spare: 2,
}


class JobStatus(enum.Enum):
    """Status of a whole job."""

    active = 'active'
    held = 'held'
    cancelled = 'cancelled'
    completed = 'completed'


class TaskStatus(enum.Enum):
    """Status of one task."""

    pending = 'pending'
    placed = 'placed'
    running = 'running'
    stopping = 'stopping'
    unconfirmed = 'unconfirmed'
    held = 'held'
    completed = 'completed'
    cancelled = 'cancelled'


class ReportKind(enum.Enum):
    """What a guard or the leader reports of an attempt.

    ``lapsed`` says that its lease has surely run out, ``vanished`` that the
    worker no longer knows it: either way it runs no more, and nobody can say
    whether it did its work.
    """

    started = 'started'
    stop_requested = 'stop-requested'
    stopped = 'stopped'
    completed = 'completed'
    failed = 'failed'
    lapsed = 'lapsed'
    vanished = 'vanished'


OCCUPYING_STATUSES = frozenset(
    (TaskStatus.placed, TaskStatus.running, TaskStatus.stopping),
)

FINAL_STATUSES = frozenset((TaskStatus.completed, TaskStatus.cancelled))

TRANSITIONS = {
    (TaskStatus.placed, ReportKind.started): TaskStatus.running,
    (TaskStatus.placed, ReportKind.stop_requested): TaskStatus.stopping,
    (TaskStatus.placed, ReportKind.stopped): TaskStatus.pending,
    (TaskStatus.placed, ReportKind.completed): TaskStatus.completed,
    (TaskStatus.placed, ReportKind.failed): TaskStatus.pending,
    (TaskStatus.placed, ReportKind.lapsed): TaskStatus.pending,
    (TaskStatus.placed, ReportKind.vanished): TaskStatus.pending,
    (TaskStatus.running, ReportKind.stop_requested): TaskStatus.stopping,
    (TaskStatus.running, ReportKind.stopped): TaskStatus.pending,
    (TaskStatus.running, ReportKind.completed): TaskStatus.completed,
    (TaskStatus.running, ReportKind.failed): TaskStatus.pending,
    (TaskStatus.running, ReportKind.lapsed): TaskStatus.pending,
    (TaskStatus.running, ReportKind.vanished): TaskStatus.pending,
    (TaskStatus.stopping, ReportKind.stopped): TaskStatus.pending,
    (TaskStatus.stopping, ReportKind.completed): TaskStatus.completed,
    (TaskStatus.stopping, ReportKind.failed): TaskStatus.pending,
    (TaskStatus.stopping, ReportKind.lapsed): TaskStatus.pending,
    (TaskStatus.stopping, ReportKind.vanished): TaskStatus.pending,
    (TaskStatus.unconfirmed, ReportKind.stopped): TaskStatus.pending,
    (TaskStatus.unconfirmed, ReportKind.completed): TaskStatus.completed,
    (TaskStatus.unconfirmed, ReportKind.failed): TaskStatus.pending,
}


class JobSpec(msgspec.Struct, frozen=True):
    """What a team asks for.

    Attributes:
        name: Name for people.
        team: Team that pays.
        task_count: Number of tasks.
        need: Resources declared for each task.
        run_time_s: Declared run time of one task in seconds.
        priority: Order of urgency.
        kind: Kind of work, by which interference is learned.
        is_idempotent: Whether a task may be started again after its worker
            vanished without confirming a stop.
        data_centres: Data centres allowed; empty for all.
        spread_racks: Whether tasks avoid racks that hold their siblings.
        payload: Text handed to the worker unread.
    """

    name: str
    team: str
    task_count: int
    need: Resources
    run_time_s: float = 60.0
    priority: Priority = Priority.normal
    kind: str = 'batch'
    is_idempotent: bool = True
    data_centres: tuple[str, ...] = ()
    spread_racks: bool = False
    payload: str = ''


class Job(msgspec.Struct, frozen=True):
    """A job that was accepted.

    Attributes:
        job_id: Identifier made from the index of its log entry.
        spec: What was asked for.
        status: Status of the whole.
        completed_count: Tasks that completed.
        submitted_at_ms: Wall time of submission, in ms since 1970.
        reason: Why the job is held, if it is.
    """

    job_id: str
    spec: JobSpec
    status: JobStatus = JobStatus.active
    completed_count: int = 0
    submitted_at_ms: int = 0
    reason: str = ''


class Task(msgspec.Struct, frozen=True):
    """One task of a job.

    Attributes:
        task_id: ``job_id/index``.
        job_id: The job it belongs to.
        status: Its status.
        attempt: Fencing number; it grows with each placement.
        worker: Where the attempt runs, empty while pending.
        checkpoint: Last recorded checkpoint, empty if none.
        resumed_count: Placements that resumed from a checkpoint.
        failed_on: Workers on which an attempt failed.
        evicted_count: Evictions so far.
    """

    task_id: str
    job_id: str
    status: TaskStatus = TaskStatus.pending
    attempt: int = 0
    worker: str = ''
    checkpoint: str = ''
    resumed_count: int = 0
    failed_on: tuple[str, ...] = ()
    evicted_count: int = 0


class TaskReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """A report about one attempt of a task."""

    task_id: str
    attempt: int
    kind: ReportKind
    worker: str = ''
    checkpoint: str = ''
    detail: str = ''


class Placement(msgspec.Struct, frozen=True):
    """A decision to run the next attempt of a task on a worker."""

    task_id: str
    attempt: int
    worker: str


MAX_FAILED_WORKERS = 3
DOUBTFUL_KINDS = frozenset((ReportKind.lapsed, ReportKind.vanished))


def apply_report(
    task: Task,
    report: TaskReport,
    is_idempotent: bool,
) -> Task:
    """Compute a task after a report.

    An attempt that ended in doubt returns an idempotent task to the queue.
    A task that is not idempotent is only marked unconfirmed, because its
    work may have been done; a later report or an operator decides.

    Args:
        task: The task before.
        report: The report.
        is_idempotent: Whether its job allows a second start.

    Returns:
        The task after, or the same task if the report does not apply.
    """
    status = TRANSITIONS.get((task.status, report.kind))
    if status is None or report.attempt != task.attempt:
        return task
    if report.kind in DOUBTFUL_KINDS and not is_idempotent:
        return msgspec.structs.replace(task, status=TaskStatus.unconfirmed)
    if status is TaskStatus.pending:
        return _compute_requeued(task, report)
    return msgspec.structs.replace(task, status=status)


def _compute_requeued(task: Task, report: TaskReport) -> Task:
    failed_on = task.failed_on
    if report.kind is ReportKind.failed and task.worker not in failed_on:
        failed_on = (*failed_on, task.worker)
    is_held = len(failed_on) >= MAX_FAILED_WORKERS
    is_evicted = task.status is TaskStatus.stopping
    return msgspec.structs.replace(
        task,
        status=TaskStatus.held if is_held else TaskStatus.pending,
        worker='',
        checkpoint=report.checkpoint or task.checkpoint,
        failed_on=failed_on,
        evicted_count=task.evicted_count + int(is_evicted),
    )


def apply_placement(task: Task, placement: Placement) -> Task:
    """Compute a task after its placement.

    Args:
        task: A pending task.
        placement: The placement, with the next attempt number.

    Returns:
        The task bound to the worker.
    """
    return msgspec.structs.replace(
        task,
        status=TaskStatus.placed,
        attempt=placement.attempt,
        worker=placement.worker,
        resumed_count=task.resumed_count + int(bool(task.checkpoint)),
    )
