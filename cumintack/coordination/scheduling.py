"""Batch scheduling: chooses the next task and a worker for it.

The index over the replicated tables is updated incrementally, so the cost of
a pass depends on the number of changes and not on the size of the tables.
Tasks with equal requirements form a scheduling class. A class that fits on no
worker is skipped until a suitable worker has gained free capacity.
"""

import bisect
import collections
import math
from collections.abc import Iterator

from cumintack.coordination._placement_index import (
    FreeCores,
    QueueKey,
    Scheduler,
    SchedulerSettings,
    SchedulingClass,
    SchedulingDecisions,
    adjust_amount,
    apply_table_changes,
    create_scheduler,
    is_data_centre_allowed,
    refresh_worker,
)
from cumintack.coordination._preemption import request_stop, reserve_or_preempt
from cumintack.state.jobs import (
    PRIORITY_RANKS,
    Job,
    JobSpec,
    Placement,
    Task,
)
from cumintack.state.resources import (
    ZERO_RESOURCES,
    Resources,
    add_resources,
    fits_within,
)
from cumintack.state.tables import ControlTables
from cumintack.state.workers import get_batch_capacity

__all__ = (
    'Scheduler',
    'SchedulerSettings',
    'SchedulingDecisions',
    'apply_table_changes',
    'create_scheduler',
    'run_scheduling_pass',
)


def run_scheduling_pass(
    scheduler: Scheduler,
    tables: ControlTables,
    now_s: float,
) -> SchedulingDecisions:
    """Run one scheduling pass.

    Args:
        scheduler: The scheduler; the decisions are recorded in it.
        tables: The replicated state.
        now_s: The current time.

    Returns:
        Placements and stops to propose.
    """
    apply_table_changes(scheduler, tables)
    decisions = SchedulingDecisions()
    _release_reservations(scheduler, now_s)
    _stop_tasks_on_draining_workers(scheduler, tables, decisions)
    for rank in sorted(set(PRIORITY_RANKS.values())):
        _place_rank(scheduler, tables, rank, decisions, now_s)
    return decisions


def _release_reservations(scheduler: Scheduler, now_s: float) -> None:
    if not scheduler.reservations:
        return
    waiting = {job_id for jobs in scheduler.queues.values() for job_id in jobs}
    released = [
        reservation
        for reservation in scheduler.reservations.values()
        if reservation.until_s <= now_s or reservation.job_id not in waiting
    ]
    for reservation in released:
        scheduler.reservations.pop(reservation.worker)
        scheduler.blocked_since.clear()


def _stop_tasks_on_draining_workers(
    scheduler: Scheduler,
    tables: ControlTables,
    decisions: SchedulingDecisions,
) -> None:
    for name, worker in tables.workers.items():
        if not worker.is_draining:
            continue
        for task_id in tables.derived.tasks_by_worker.get(name, ()):
            request_stop(scheduler, tables.tasks[task_id], 'drained', decisions)


def _place_rank(
    scheduler: Scheduler,
    tables: ControlTables,
    rank: int,
    decisions: SchedulingDecisions,
    now_s: float,
) -> None:
    teams = {
        key.team: collections.deque(jobs)
        for key, jobs in scheduler.queues.items()
        if key.rank == rank
    }
    dominant_shares = {
        team: _compute_dominant_share(scheduler, tables, team) for team in teams
    }
    while teams:
        if len(decisions.placements) >= scheduler.settings.max_placements:
            return
        team = min(dominant_shares, key=dominant_shares.__getitem__)
        jobs = teams[team]
        if not jobs:
            teams.pop(team)
            dominant_shares.pop(team)
            continue
        key = QueueKey(rank, team)
        job = tables.jobs[jobs[0]]
        if _place_next(scheduler, tables, key, job, decisions, now_s):
            dominant_shares[team] = _compute_dominant_share(
                scheduler, tables, team
            )
        else:
            jobs.popleft()


def _compute_dominant_share(
    scheduler: Scheduler,
    tables: ControlTables,
    team: str,
) -> float:
    """Compute the largest share of its quota in use, divided by its weight."""
    record = tables.teams.get(team)
    if record is None:
        return math.inf
    used = _get_team_usage(scheduler, tables, team)
    quota = record.quota
    ratios = [
        used.cores_milli / max(1, quota.cores_milli),
        used.memory_mb / max(1, quota.memory_mb),
        used.accelerators / max(1, quota.accelerators),
    ]
    return max(ratios) / record.share


def _get_team_usage(
    scheduler: Scheduler,
    tables: ControlTables,
    team: str,
) -> Resources:
    return add_resources(
        tables.derived.team_usage.get(team, ZERO_RESOURCES),
        scheduler.proposed_by_team.get(team, ZERO_RESOURCES),
    )


def _place_next(
    scheduler: Scheduler,
    tables: ControlTables,
    key: QueueKey,
    job: Job,
    decisions: SchedulingDecisions,
    now_s: float,
) -> bool:
    waiting = scheduler.queues.get(key, {}).get(job.job_id)
    if not waiting:
        return False
    spec = job.spec
    used = _get_team_usage(scheduler, tables, spec.team)
    quota = tables.teams[spec.team].quota
    if not fits_within(add_resources(used, spec.need), quota):
        return False
    scheduling_class = SchedulingClass(spec.need, spec.data_centres)
    task = tables.tasks[next(iter(waiting))]
    if scheduling_class in scheduler.blocked_since:
        reserve_or_preempt(
            scheduler, tables, task, scheduling_class, decisions, now_s
        )
        return False
    name = _find_worker(scheduler, tables, job, task, scheduling_class)
    if name is None:
        if not task.failed_on and not spec.spread_racks:
            scheduler.blocked_since[scheduling_class] = now_s
        reserve_or_preempt(
            scheduler, tables, task, scheduling_class, decisions, now_s
        )
        return False
    placement = Placement(task.task_id, task.attempt + 1, name)
    waiting.pop(task.task_id)
    _record_placement(scheduler, tables, spec, placement)
    decisions.placements.append(placement)
    return True


def _record_placement(
    scheduler: Scheduler,
    tables: ControlTables,
    spec: JobSpec,
    placement: Placement,
) -> None:
    scheduler.proposed_placements[placement.task_id] = placement
    adjust_amount(
        scheduler.proposed_by_worker,
        placement.worker,
        spec.need,
        is_added=True,
    )
    adjust_amount(
        scheduler.proposed_by_team, spec.team, spec.need, is_added=True
    )
    reservation = scheduler.reservations.get(placement.worker)
    if reservation is not None and placement.task_id.startswith(
        f'{reservation.job_id}/'
    ):
        scheduler.reservations.pop(placement.worker)
    refresh_worker(scheduler, tables, placement.worker)


def _find_worker(
    scheduler: Scheduler,
    tables: ControlTables,
    job: Job,
    task: Task,
    scheduling_class: SchedulingClass,
) -> str | None:
    """Find a worker with free capacity for a task.

    One on which the task has failed is used only if no other suits the task.
    """
    racks = _get_sibling_racks(tables, job) if job.spec.spread_racks else set()
    fallback: str | None = None
    for name in _iter_free_workers(scheduler, tables, scheduling_class):
        is_on_other_rack = tables.workers[name].spec.rack not in racks
        if not is_on_other_rack or not _is_available(scheduler, job, name):
            continue
        if name not in task.failed_on:
            return name
        fallback = fallback or name
    if fallback is None or _is_any_untried(
        scheduler, tables, task, scheduling_class, racks
    ):
        return None
    return fallback


def _is_any_untried(
    scheduler: Scheduler,
    tables: ControlTables,
    task: Task,
    scheduling_class: SchedulingClass,
    excluded_racks: set[str],
) -> bool:
    """Return whether a task could run where it has not failed, given room."""
    kind = tables.jobs[task.job_id].spec.kind
    for name in scheduler.free_resources:
        worker = tables.workers[name]
        is_excluded = (
            name in task.failed_on
            or worker.spec.rack in excluded_racks
            or kind in scheduler.avoided_kinds.get(name, ())
        )
        has_capacity = fits_within(
            scheduling_class.need, get_batch_capacity(worker)
        )
        if has_capacity and not is_excluded:
            if is_data_centre_allowed(worker, scheduling_class):
                return True
    return False


def _iter_free_workers(
    scheduler: Scheduler,
    tables: ControlTables,
    scheduling_class: SchedulingClass,
) -> Iterator[str]:
    start = bisect.bisect_left(
        scheduler.by_free_cores,
        FreeCores(scheduling_class.need.cores_milli, ''),
    )
    for candidate in scheduler.by_free_cores[start:]:
        name = candidate.worker
        has_capacity = fits_within(
            scheduling_class.need, scheduler.free_resources[name]
        )
        if has_capacity and is_data_centre_allowed(
            tables.workers[name], scheduling_class
        ):
            yield name


def _is_available(scheduler: Scheduler, job: Job, name: str) -> bool:
    reservation = scheduler.reservations.get(name)
    if reservation is not None and reservation.job_id != job.job_id:
        return False
    return job.spec.kind not in scheduler.avoided_kinds.get(name, ())


def _get_sibling_racks(tables: ControlTables, job: Job) -> set[str]:
    racks = set()
    for number in range(job.spec.task_count):
        task = tables.tasks[f'{job.job_id}/{number}']
        if task.worker and task.worker in tables.workers:
            racks.add(tables.workers[task.worker].spec.rack)
    return racks
