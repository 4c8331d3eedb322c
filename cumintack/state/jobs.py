"""Batch jobs, their tasks and the task state machine.

Reports change the status of a task only as listed in ``TRANSITIONS``. A report
without a transition, or for an attempt other than the current one, is ignored,
so that a repeated or late report never counts a completion twice.
"""

import enum

import msgspec

from cumintack.state.resources import Resources


class Priority(enum.Enum):
    """Scheduling priority of a job."""

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
    """Event that a guard or the leader reports for an attempt.

    ``lapsed`` means that its lease has certainly expired, ``vanished`` that
    the worker no longer knows the attempt. Either way it no longer runs, and
    whether it completed its work is unknown.
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
    """Job specification submitted by a team.

    Attributes:
        name: Display name.
        team: Team whose quota is charged.
        task_count: Number of tasks.
        need: Resources requested by each task.
        run_time_s: Declared run time of one task in seconds.
        priority: Scheduling priority.
        kind: Workload class for which interference is estimated.
        is_idempotent: Whether a task may be started again after its worker
            vanished without confirming a stop.
        data_centres: Allowed data centres; empty for all.
        spread_racks: Whether to avoid racks that run other tasks of the job.
        payload: Opaque text passed to the worker.
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
    """An accepted job.

    Attributes:
        job_id: Identifier derived from the index of its log entry.
        spec: The submitted specification.
        status: Status of the job.
        completed_count: Number of completed tasks.
        submitted_at_ms: Wall time of submission, in ms since 1970.
        reason: Why the job is held or waits for an operator, empty if
            neither.
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
        status: Status of the task.
        attempt: Number of the latest attempt, used as the fencing token; each
            placement increments it.
        worker: Worker of the attempt, empty while pending.
        checkpoint: Last recorded checkpoint, empty if none.
        resumed_count: Placements that resumed from a checkpoint.
        failed_on: Worker of each attempt that failed.
        evicted_count: Number of evictions.
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


# Failed attempts after which a task is held for an operator.
MAX_FAILURES = 3
UNKNOWN_OUTCOME_KINDS = frozenset((ReportKind.lapsed, ReportKind.vanished))


def apply_report(
    task: Task,
    report: TaskReport,
    is_idempotent: bool,
) -> Task:
    """Compute a task after a report.

    When the outcome of an attempt is unknown, an idempotent task becomes
    pending again. A task that is not idempotent becomes unconfirmed, because
    its work may have been done; a later report or an operator decides.

    Args:
        task: The task before the report.
        report: The report.
        is_idempotent: Whether the job is idempotent.

    Returns:
        The updated task, or the same object if the report does not apply.
    """
    status = TRANSITIONS.get((task.status, report.kind))
    if status is None or report.attempt != task.attempt:
        return task
    if report.kind in UNKNOWN_OUTCOME_KINDS and not is_idempotent:
        return msgspec.structs.replace(task, status=TaskStatus.unconfirmed)
    if status is TaskStatus.pending:
        return _requeue(task, report)
    return msgspec.structs.replace(task, status=status)


def _requeue(task: Task, report: TaskReport) -> Task:
    failed_on = task.failed_on
    if report.kind is ReportKind.failed:
        failed_on = (*failed_on, task.worker)
    is_held = len(failed_on) >= MAX_FAILURES
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
        The task assigned to the worker.
    """
    return msgspec.structs.replace(
        task,
        status=TaskStatus.placed,
        attempt=placement.attempt,
        worker=placement.worker,
        resumed_count=task.resumed_count + int(bool(task.checkpoint)),
    )
