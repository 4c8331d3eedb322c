"""Reservations and preemption for jobs that fit on no worker."""

import msgspec

from cumintack.coordination._placement_index import (
    EVICTABLE_STATUSES,
    Scheduler,
    SchedulingClass,
    SchedulingDecisions,
    WorkerReservation,
    is_data_centre_allowed,
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

MAX_PREEMPTION_CANDIDATES = 64


def reserve_or_preempt(
    scheduler: Scheduler,
    tables: ControlTables,
    waiting: Task,
    scheduling_class: SchedulingClass,
    decisions: SchedulingDecisions,
    now_s: float,
) -> None:
    """Reserve a worker for a blocked job; for an urgent one, preempt tasks."""
    job = tables.jobs[waiting.job_id]
    if any(
        reservation.job_id == job.job_id
        for reservation in scheduler.reservations.values()
    ):
        return
    is_urgent = job.spec.priority is Priority.urgent
    blocked_at_s = scheduler.blocked_since.get(scheduling_class, now_s)
    is_overdue = now_s - blocked_at_s >= scheduler.settings.reserve_after_s
    if not (is_urgent or is_overdue):
        return
    victims = _find_victims(scheduler, tables, waiting, scheduling_class)
    if victims is None:
        return
    scheduler.reservations[victims.worker] = WorkerReservation(
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
    """Tasks to preempt on a worker so that a waiting task fits there."""

    worker: str
    tasks: list[Task]


def _find_victims(
    scheduler: Scheduler,
    tables: ControlTables,
    waiting: Task,
    scheduling_class: SchedulingClass,
) -> Victims | None:
    job = tables.jobs[waiting.job_id]
    names = [
        name
        for name in _list_candidate_workers(scheduler, tables, scheduling_class)
        if name not in waiting.failed_on
    ]
    choices = [_choose_victims(scheduler, tables, job, name) for name in names]
    feasible = [choice for choice in choices if choice is not None]
    return min(feasible, key=_count_victims, default=None)


def _count_victims(victims: Victims) -> int:
    return len(victims.tasks)


def _list_candidate_workers(
    scheduler: Scheduler,
    tables: ControlTables,
    scheduling_class: SchedulingClass,
) -> list[str]:
    names: list[str] = []
    for candidate in reversed(scheduler.by_free_cores):
        worker = tables.workers[candidate.worker]
        is_unreserved = candidate.worker not in scheduler.reservations
        has_capacity = fits_within(
            scheduling_class.need, get_batch_capacity(worker)
        )
        if (
            is_unreserved
            and has_capacity
            and is_data_centre_allowed(worker, scheduling_class)
        ):
            names.append(candidate.worker)
        if len(names) >= MAX_PREEMPTION_CANDIDATES:
            break
    return names


def _choose_victims(
    scheduler: Scheduler,
    tables: ControlTables,
    job: Job,
    name: str,
) -> Victims | None:
    candidates = _list_evictable_tasks(tables, job, name)
    free = scheduler.free_resources[name]
    tasks: list[Task] = []
    for task in candidates:
        if fits_within(job.spec.need, free):
            break
        tasks.append(task)
        free = add_resources(free, tables.jobs[task.job_id].spec.need)
    if fits_within(job.spec.need, free):
        return Victims(name, tasks)
    return None


def _list_evictable_tasks(
    tables: ControlTables,
    job: Job,
    name: str,
) -> list[Task]:
    """List the tasks that a job may preempt.

    The lowest priority comes first, then the task evicted least often.
    """
    rank = PRIORITY_RANKS[job.spec.priority]
    tasks = [
        tables.tasks[task_id]
        for task_id in tables.derived.tasks_by_worker.get(name, ())
    ]
    ranked = [
        (-PRIORITY_RANKS[tables.jobs[task.job_id].spec.priority], task)
        for task in tasks
        if task.status in EVICTABLE_STATUSES
    ]
    ranked.sort(key=lambda pair: (pair[0], pair[1].evicted_count))
    return [task for negative_rank, task in ranked if -negative_rank > rank]


def request_stop(
    scheduler: Scheduler,
    task: Task,
    reason: str,
    decisions: SchedulingDecisions,
) -> None:
    if (
        task.status not in EVICTABLE_STATUSES
        or task.task_id in scheduler.proposed_stops
    ):
        return
    scheduler.proposed_stops.add(task.task_id)
    decisions.stops.append(
        TaskReport(
            task.task_id,
            task.attempt,
            ReportKind.stop_requested,
            task.worker,
            detail=reason,
        ),
    )
