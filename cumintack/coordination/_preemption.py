"""Room for jobs that fit nowhere: workers kept free, tasks evicted."""

import msgspec

from cumintack.coordination._placement_index import (
    EVICTABLE,
    Scheduler,
    SchedulingClass,
    SchedulingDecisions,
    WorkerReservation,
    is_allowed,
)
from cumintack.state.jobs import (
    PRIORITY_RANKS,
    Job,
    Priority,
    ReportKind,
    Task,
    TaskReport,
)
from cumintack.state.resources import add_resources, fits_within
from cumintack.state.tables import ControlTables
from cumintack.state.workers import get_batch_capacity

MAX_VICTIM_WORKERS = 64


def reserve_or_preempt(
    scheduler: Scheduler,
    tables: ControlTables,
    waiting: Task,
    shape: SchedulingClass,
    decisions: SchedulingDecisions,
    now_s: float,
) -> None:
    job = tables.jobs[waiting.job_id]
    if any(kept.job_id == job.job_id for kept in scheduler.kept.values()):
        return
    is_urgent = job.spec.priority is Priority.urgent
    blocked_at_s = scheduler.blocked.get(shape, now_s)
    is_old = now_s - blocked_at_s >= scheduler.settings.reserve_after_s
    if not (is_urgent or is_old):
        return
    victims = _find_victims(scheduler, tables, waiting, shape)
    if victims is None:
        return
    scheduler.kept[victims.worker] = WorkerReservation(
        victims.worker,
        job.job_id,
        now_s + scheduler.settings.reservation_s,
    )
    if is_urgent:
        for task in victims.tasks:
            request_stop(
                scheduler, task, f'makes room for {job.job_id}', decisions
            )


class Victims(msgspec.Struct, frozen=True):
    """Tasks whose stop makes room on a worker."""

    worker: str
    tasks: list[Task]


def _find_victims(
    scheduler: Scheduler,
    tables: ControlTables,
    waiting: Task,
    shape: SchedulingClass,
) -> Victims | None:
    job = tables.jobs[waiting.job_id]
    names = [
        name
        for name in _list_possible(scheduler, tables, shape)
        if name not in waiting.failed_on
    ]
    choices = [_choose_victims(scheduler, tables, job, name) for name in names]
    found = [choice for choice in choices if choice is not None]
    return min(found, key=_count_victims, default=None)


def _count_victims(victims: Victims) -> int:
    return len(victims.tasks)


def _list_possible(
    scheduler: Scheduler,
    tables: ControlTables,
    shape: SchedulingClass,
) -> list[str]:
    names: list[str] = []
    for place in reversed(scheduler.by_cores):
        worker = tables.workers[place.worker]
        is_usable = place.worker not in scheduler.kept
        is_large = fits_within(shape.need, get_batch_capacity(worker))
        if is_usable and is_large and is_allowed(worker, shape):
            names.append(place.worker)
        if len(names) >= MAX_VICTIM_WORKERS:
            break
    return names


def _choose_victims(
    scheduler: Scheduler,
    tables: ControlTables,
    job: Job,
    name: str,
) -> Victims | None:
    candidates = _list_evictable(tables, job, name)
    free = scheduler.free[name]
    tasks: list[Task] = []
    for task in candidates:
        if fits_within(job.spec.need, free):
            break
        tasks.append(task)
        free = add_resources(free, tables.jobs[task.job_id].spec.need)
    if fits_within(job.spec.need, free):
        return Victims(name, tasks)
    return None


def _list_evictable(
    tables: ControlTables,
    job: Job,
    name: str,
) -> list[Task]:
    """List what may make way for a job, least urgent and least hurt first."""
    rank = PRIORITY_RANKS[job.spec.priority]
    tasks = [
        tables.tasks[task_id]
        for task_id in tables.derived.tasks_by_worker.get(name, ())
    ]
    ranked = [
        (-PRIORITY_RANKS[tables.jobs[task.job_id].spec.priority], task)
        for task in tasks
        if task.status in EVICTABLE
    ]
    ranked.sort(key=lambda pair: (pair[0], pair[1].evicted_count))
    return [task for negative_rank, task in ranked if -negative_rank > rank]


def request_stop(
    scheduler: Scheduler,
    task: Task,
    reason: str,
    decisions: SchedulingDecisions,
) -> None:
    if task.status not in EVICTABLE or task.task_id in scheduler.stopping:
        return
    scheduler.stopping.add(task.task_id)
    decisions.stops.append(
        TaskReport(
            task.task_id,
            task.attempt,
            ReportKind.stop_requested,
            task.worker,
            detail=reason,
        ),
    )
