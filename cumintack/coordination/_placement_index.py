"""Index of the scheduler over the replicated tables.

The index is updated incrementally from the changes of the tables, so the cost
of a scheduling pass depends on the number of changes and not on the size of
the tables.
"""

import bisect

import msgspec

from cumintack.state.jobs import (
    PRIORITY_RANKS,
    JobStatus,
    Placement,
    TaskReport,
    TaskStatus,
)
from cumintack.state.resources import (
    ZERO_RESOURCES,
    Resources,
    add_resources,
    fits_within,
    subtract_resources,
)
from cumintack.state.tables import ControlTables
from cumintack.state.workers import (
    Worker,
    get_batch_capacity,
    is_schedulable,
)

EVICTABLE_STATUSES = frozenset((TaskStatus.running,))


class SchedulerSettings(msgspec.Struct, frozen=True):
    """Limits of the scheduler.

    Attributes:
        max_placements: Maximum number of placements in one pass.
        reserve_after_s: How long a job must have fitted on no worker before a
            worker is reserved for it.
        reservation_s: Duration of a reservation. It is limited so that a job
            that cannot use its worker does not starve other jobs.
    """

    max_placements: int = 512
    reserve_after_s: float = 30.0
    reservation_s: float = 60.0


class SchedulingClass(msgspec.Struct, frozen=True):
    """Tasks with equal requirements, which the scheduler treats alike."""

    need: Resources
    data_centres: tuple[str, ...]


class QueueKey(msgspec.Struct, frozen=True, order=True):
    """Identifies the queue of a team at one priority."""

    rank: int
    team: str


class FreeCores(msgspec.Struct, frozen=True, order=True):
    """A worker with its free cores, ordered by them."""

    cores_milli: int
    worker: str


class WorkerReservation(msgspec.Struct, frozen=True):
    """A worker reserved for one job until a point in time."""

    worker: str
    job_id: str
    until_s: float


class Scheduler(msgspec.Struct):
    """State of the scheduler: an index over the tables, changed in place.

    Attributes:
        settings: Limits of the scheduler.
        queues: Pending tasks by queue and job, in order of arrival.
        free_resources: Free resources of each schedulable worker.
        by_free_cores: The same workers, sorted by free cores.
        proposed_placements: Placements proposed but not committed, by task.
        proposed_by_worker: Resources of the proposed placements, by worker.
        proposed_by_team: Resources of the proposed placements, by team.
        blocked_since: Scheduling classes that fit on no worker, with the time
            at which this was found.
        reservations: Reservations by worker.
        avoided_kinds: Kinds of task not to be placed on a worker at present.
        proposed_stops: Tasks whose stop has been proposed.
    """

    settings: SchedulerSettings
    queues: dict[QueueKey, dict[str, dict[str, None]]] = {}
    free_resources: dict[str, Resources] = {}
    by_free_cores: list[FreeCores] = []
    proposed_placements: dict[str, Placement] = {}
    proposed_by_worker: dict[str, Resources] = {}
    proposed_by_team: dict[str, Resources] = {}
    blocked_since: dict[SchedulingClass, float] = {}
    reservations: dict[str, WorkerReservation] = {}
    avoided_kinds: dict[str, frozenset[str]] = {}
    proposed_stops: set[str] = set()


class SchedulingDecisions(msgspec.Struct):
    """Placements and stops decided in one scheduling pass."""

    placements: list[Placement] = []
    stops: list[TaskReport] = []


def create_scheduler(
    settings: SchedulerSettings,
    tables: ControlTables,
) -> Scheduler:
    """Build the index from all tables at the start of a term.

    Args:
        settings: Limits of the scheduler.
        tables: The replicated state.

    Returns:
        A scheduler without any proposed placements or stops.
    """
    tables.derived.changed_tasks.update(dict.fromkeys(tables.tasks))
    tables.derived.changed_workers.update(dict.fromkeys(tables.workers))
    scheduler = Scheduler(settings)
    apply_table_changes(scheduler, tables)
    return scheduler


def apply_table_changes(scheduler: Scheduler, tables: ControlTables) -> None:
    """Update the index with the changes of the tables since the last call.

    Args:
        scheduler: The scheduler.
        tables: The replicated state. Its sets of changed tasks and workers are
            cleared.
    """
    derived = tables.derived
    tasks = derived.changed_tasks
    workers = derived.changed_workers
    derived.changed_tasks = {}
    derived.changed_workers = {}
    for task_id in tasks:
        affected_workers = _refresh_task(scheduler, tables, task_id)
        workers.update(dict.fromkeys(affected_workers))
    for name in workers:
        refresh_worker(scheduler, tables, name)


def _refresh_task(
    scheduler: Scheduler,
    tables: ControlTables,
    task_id: str,
) -> list[str]:
    task = tables.tasks.get(task_id)
    if task is None:
        return []
    job = tables.jobs[task.job_id]
    if task.status is not TaskStatus.running:
        scheduler.proposed_stops.discard(task_id)
    affected_workers = []
    placement = scheduler.proposed_placements.pop(task_id, None)
    if placement is not None:
        need = job.spec.need
        adjust_amount(
            scheduler.proposed_by_worker, placement.worker, need, is_added=False
        )
        adjust_amount(
            scheduler.proposed_by_team, job.spec.team, need, is_added=False
        )
        affected_workers.append(placement.worker)
    key = QueueKey(PRIORITY_RANKS[job.spec.priority], job.spec.team)
    jobs = scheduler.queues.setdefault(key, {})
    is_waiting = task.status is TaskStatus.pending
    if is_waiting and job.status is JobStatus.active:
        jobs.setdefault(job.job_id, {})[task_id] = None
        return affected_workers
    waiting = jobs.get(job.job_id)
    if waiting is not None:
        waiting.pop(task_id, None)
        if not waiting:
            jobs.pop(job.job_id)
    if not jobs:
        scheduler.queues.pop(key, None)
    return affected_workers


def adjust_amount(
    amounts: dict[str, Resources],
    name: str,
    need: Resources,
    *,
    is_added: bool,
) -> None:
    before = amounts.get(name, ZERO_RESOURCES)
    combine = add_resources if is_added else subtract_resources
    after = combine(before, need)
    if after == ZERO_RESOURCES:
        amounts.pop(name, None)
    else:
        amounts[name] = after


def refresh_worker(
    scheduler: Scheduler,
    tables: ControlTables,
    name: str,
) -> None:
    before = scheduler.free_resources.pop(name, None)
    if before is not None:
        _remove_sorted(
            scheduler.by_free_cores, FreeCores(before.cores_milli, name)
        )
    worker = tables.workers.get(name)
    if worker is None or not is_schedulable(worker):
        return
    reserved = tables.derived.reserved.get(name, ZERO_RESOURCES)
    proposed = scheduler.proposed_by_worker.get(name, ZERO_RESOURCES)
    taken = add_resources(reserved, proposed)
    free = subtract_resources(get_batch_capacity(worker), taken)
    scheduler.free_resources[name] = free
    bisect.insort(scheduler.by_free_cores, FreeCores(free.cores_milli, name))
    if before is None or not fits_within(free, before):
        _unblock_classes(scheduler, worker, free)


def _remove_sorted(workers: list[FreeCores], entry: FreeCores) -> None:
    index = bisect.bisect_left(workers, entry)
    if index < len(workers) and workers[index] == entry:
        workers.pop(index)


def _unblock_classes(
    scheduler: Scheduler, worker: Worker, free: Resources
) -> None:
    unblocked = [
        scheduling_class
        for scheduling_class in scheduler.blocked_since
        if fits_within(scheduling_class.need, free)
        and is_data_centre_allowed(worker, scheduling_class)
    ]
    for scheduling_class in unblocked:
        scheduler.blocked_since.pop(scheduling_class)


def is_data_centre_allowed(
    worker: Worker, scheduling_class: SchedulingClass
) -> bool:
    allowed = scheduling_class.data_centres
    return not allowed or worker.spec.data_centre in allowed
