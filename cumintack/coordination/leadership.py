"""Decisions of the control group's leader: placements, leases and stops.

This state is not durable. A new leader rebuilds it from the replicated tables
and waits until the leases that the previous leader may have granted expire.
"""

import msgspec

from cumintack.coordination.effects import ProposeAsLeader, RecordEvent, Send
from cumintack.coordination.interference import (
    InterferenceState,
    WorkerSample,
    compute_mitigation,
    compute_thresholds,
    record_sample,
)
from cumintack.coordination.leases import (
    LeaseKey,
    LeaseSettings,
    LeaseTable,
    grant_lease,
    is_occupying,
    restore_leases,
    take_expired,
)
from cumintack.coordination.scheduling import (
    Scheduler,
    SchedulerSettings,
    create_scheduler,
    run_scheduling_pass,
)
from cumintack.coordination.worker_health import (
    WorkerHealth,
    record_reports,
    update_quarantine,
)
from cumintack.protocol.messages import (
    Poke,
    TaskOrder,
    WorkerOrders,
    WorkerStatus,
)
from cumintack.state.commands import (
    Operation,
    Outcome,
    PlaceTasks,
    RegisterWorkers,
    ReportTasks,
)
from cumintack.state.jobs import (
    TRANSITIONS,
    ReportKind,
    Task,
    TaskReport,
    TaskStatus,
)
from cumintack.state.tables import ControlTables

EXPIRY_CHECK_INTERVAL_S = 0.1
# Stands for the unknown guard incarnation that received a previous leader's
# order, so that a task that is not idempotent is not offered again.
PREVIOUS_LEADER = 'former leader'

LeaderEffect = Send | ProposeAsLeader | RecordEvent


class LeadershipSettings(msgspec.Struct, frozen=True):
    """Settings of a leader.

    Attributes:
        lease: Durations of leases.
        scheduler: Limits of the scheduler.
        pass_interval_s: Minimum time between two scheduling passes.
    """

    lease: LeaseSettings
    scheduler: SchedulerSettings
    pass_interval_s: float = 0.02


class Leadership(msgspec.Struct):
    """State of one term of leadership, changed in place.

    Attributes:
        settings: Settings of a leader.
        term: Number of the term.
        leases: Leases of the attempts that occupy workers.
        scheduler: Scheduler with its index over the tables.
        health: Failures by worker.
        interference: Measured slowdowns and current mitigation.
        first_offered_to: Guard incarnation that first received the order to
            start an attempt.
        proposed_reports: Reports that were proposed and not yet applied.
        proposed_registrations: Workers whose registration was proposed and
            not yet applied.
        next_pass_at_s: Time of the next scheduling pass.
        expiry_check_at_s: Time of the next check for expired leases.
    """

    settings: LeadershipSettings
    term: int
    leases: LeaseTable
    scheduler: Scheduler
    health: WorkerHealth
    interference: InterferenceState
    first_offered_to: dict[LeaseKey, str] = {}
    proposed_reports: set[TaskReport] = set()
    proposed_registrations: set[str] = set()
    next_pass_at_s: float = 0
    expiry_check_at_s: float = 0


def create_leadership(
    settings: LeadershipSettings,
    tables: ControlTables,
    term: int,
    now_s: float,
) -> Leadership:
    """Create the state of a new term from the replicated tables.

    Args:
        settings: Settings of a leader.
        tables: The replicated state.
        term: Number of the term.
        now_s: The current time.

    Returns:
        The state of the term, with a lease for each attempt that may hold one.
    """
    leases = LeaseTable(settings.lease)
    restore_leases(leases, tables, now_s)
    first_offered_to = {
        LeaseKey(task.task_id, task.attempt): PREVIOUS_LEADER
        for task in tables.tasks.values()
        if task.status is TaskStatus.placed
    }
    return Leadership(
        settings,
        term,
        leases,
        create_scheduler(settings.scheduler, tables),
        WorkerHealth(),
        InterferenceState(),
        first_offered_to,
    )


def handle_worker_status(
    leadership: Leadership,
    tables: ControlTables,
    sender: str,
    status: WorkerStatus,
    now_s: float,
) -> list[LeaderEffect]:
    """Handle the heartbeat of a worker and reply with its orders.

    Args:
        leadership: State of the term.
        tables: The replicated state.
        sender: The guard that sent the heartbeat.
        status: The heartbeat.
        now_s: The current time.

    Returns:
        The message with the orders, and operations to propose.
    """
    name = status.worker.name
    effects: list[LeaderEffect] = []
    registered = tables.workers.get(name)
    is_new = registered is None or registered.spec != status.worker
    if is_new and name not in leadership.proposed_registrations:
        leadership.proposed_registrations.add(name)
        effects.append(ProposeAsLeader(RegisterWorkers((status.worker,))))
    if not status.is_reachable:
        return effects
    effects.extend(_record_reports(leadership, tables, status, now_s))
    effects.extend(_mitigate_interference(leadership, tables, status, now_s))
    effects.append(
        Send(sender, _create_orders(leadership, tables, status, now_s))
    )
    return effects


def _record_reports(
    leadership: Leadership,
    tables: ControlTables,
    status: WorkerStatus,
    now_s: float,
) -> list[LeaderEffect]:
    new_reports = [
        report
        for report in status.reports
        if report not in leadership.proposed_reports
        and _is_applicable(tables, report)
    ]
    if not new_reports:
        return []
    leadership.proposed_reports.update(new_reports)
    record_reports(leadership.health, tables, new_reports, now_s)
    return [ProposeAsLeader(ReportTasks(tuple(new_reports)))]


def _is_applicable(tables: ControlTables, report: TaskReport) -> bool:
    task = tables.tasks.get(report.task_id)
    if task is None or task.attempt != report.attempt:
        return False
    return (task.status, report.kind) in TRANSITIONS


def _create_orders(
    leadership: Leadership,
    tables: ControlTables,
    status: WorkerStatus,
    now_s: float,
) -> WorkerOrders:
    orders = []
    held = set(status.held)
    task_ids = tables.derived.tasks_by_worker.get(status.worker.name, ())
    for task_id in sorted(task_ids):
        task = tables.tasks[task_id]
        key = LeaseKey(task_id, task.attempt)
        if _may_hold_lease(leadership, tables, task, status, held):
            if grant_lease(leadership.leases, key, now_s):
                is_held = (task_id, task.attempt) in held
                orders.append(_create_order(leadership, tables, task, is_held))
        elif task.status is TaskStatus.stopping:
            orders.append(
                _create_order(leadership, tables, task, is_held=False)
            )
    settled = tuple(
        held_attempt
        for held_attempt in status.held
        if _is_settled(tables, LeaseKey(*held_attempt))
    )
    return WorkerOrders(
        leadership.term,
        status.sent_at_s,
        leadership.settings.lease.lease_s,
        tuple(orders),
        settled,
    )


def _may_hold_lease(
    leadership: Leadership,
    tables: ControlTables,
    task: Task,
    status: WorkerStatus,
    held: set[tuple[str, int]],
) -> bool:
    """Return whether a worker may start an attempt or continue to run it.

    An attempt that has run and is no longer held gets no further lease, even
    while its stop is requested: the stop may never be confirmed, so the lease
    has to expire. A task that is not idempotent is offered to only one
    incarnation of a guard, because an earlier incarnation may have started it
    without reporting that.
    """
    if (task.task_id, task.attempt) in held:
        return True
    if task.status is not TaskStatus.placed:
        return False
    key = LeaseKey(task.task_id, task.attempt)
    first_incarnation = leadership.first_offered_to.setdefault(
        key, status.incarnation
    )
    is_idempotent = tables.jobs[task.job_id].spec.is_idempotent
    return is_idempotent or first_incarnation == status.incarnation


def _is_settled(tables: ControlTables, key: LeaseKey) -> bool:
    if is_occupying(tables, key):
        return False
    task = tables.tasks.get(key.task_id)
    if task is None or task.attempt != key.attempt:
        return True
    return task.status is not TaskStatus.unconfirmed


def _create_order(
    leadership: Leadership,
    tables: ControlTables,
    task: Task,
    is_held: bool,
) -> TaskOrder:
    spec = tables.jobs[task.job_id].spec
    throttled = leadership.interference.throttled.get(task.worker, frozenset())
    if is_held:
        return TaskOrder(
            task.task_id,
            task.attempt,
            is_stop=task.status is TaskStatus.stopping,
            is_throttled=spec.kind in throttled,
            is_recorded=task.status is not TaskStatus.placed,
        )
    return TaskOrder(
        task.task_id,
        task.attempt,
        spec.need,
        spec.kind,
        spec.payload,
        task.checkpoint,
        is_stop=task.status is TaskStatus.stopping,
        is_throttled=spec.kind in throttled,
    )


def _mitigate_interference(
    leadership: Leadership,
    tables: ControlTables,
    status: WorkerStatus,
    now_s: float,
) -> list[LeaderEffect]:
    name = status.worker.name
    assigned = [
        tables.tasks[task_id]
        for task_id in tables.derived.tasks_by_worker.get(name, ())
    ]
    kinds = {tables.jobs[task.job_id].spec.kind for task in assigned}
    sample = WorkerSample(name, status.quick_slowdown, tuple(sorted(kinds)))
    record_sample(leadership.interference, sample)
    thresholds = compute_thresholds(tables.configuration)
    mitigation = compute_mitigation(
        leadership.interference, sample, thresholds, now_s
    )
    if mitigation.avoided_kinds:
        leadership.scheduler.avoided_kinds[name] = mitigation.avoided_kinds
    elif leadership.scheduler.avoided_kinds.pop(name, None):
        tables.derived.changed_workers[name] = None
        leadership.scheduler.blocked_since.clear()
    return _evict_task_of_kind(tables, assigned, mitigation.evicted_kind)


def _evict_task_of_kind(
    tables: ControlTables,
    assigned: list[Task],
    kind: str,
) -> list[LeaderEffect]:
    candidates = [
        task
        for task in assigned
        if task.status is TaskStatus.running
        and tables.jobs[task.job_id].spec.kind == kind
    ]
    if not candidates:
        return []
    victim = min(candidates, key=_get_eviction_cost)
    report = TaskReport(
        victim.task_id,
        victim.attempt,
        ReportKind.stop_requested,
        victim.worker,
        detail='slows a service down',
    )
    return [ProposeAsLeader(ReportTasks((report,)))]


def _get_eviction_cost(task: Task) -> tuple[int, int]:
    return (task.evicted_count, -task.attempt)


def handle_applied_operation(
    leadership: Leadership,
    tables: ControlTables,
    operation: Operation,
    outcome: Outcome,
) -> list[LeaderEffect]:
    """Update the state of the term after an operation was applied.

    Args:
        leadership: State of the term.
        tables: The replicated state after the operation.
        operation: The operation.
        outcome: Outcome of the operation.

    Returns:
        Notifications to guards with new orders, and events to record.
    """
    match operation:
        case PlaceTasks():
            workers = {placement.worker for placement in operation.placements}
            pokes = [Send(worker, Poke()) for worker in sorted(workers)]
            return [*pokes, *_record_placed_tasks(tables, outcome.names)]
        case ReportTasks():
            leadership.proposed_reports.difference_update(operation.reports)
            for report in operation.reports:
                key = LeaseKey(report.task_id, report.attempt)
                leadership.first_offered_to.pop(key, None)
            return _handle_applied_reports(operation, outcome)
        case RegisterWorkers():
            for spec in operation.workers:
                leadership.proposed_registrations.discard(spec.name)
    return []


def _record_placed_tasks(
    tables: ControlTables,
    task_ids: tuple[str, ...],
) -> list[LeaderEffect]:
    events: list[LeaderEffect] = []
    for task_id in task_ids:
        task = tables.tasks[task_id]
        detail = f'attempt {task.attempt} on {task.worker}'
        events.append(RecordEvent('control.placed', task_id, detail))
    return events


def _handle_applied_reports(
    operation: ReportTasks,
    outcome: Outcome,
) -> list[LeaderEffect]:
    changed = set(outcome.names)
    effects: list[LeaderEffect] = []
    for report in operation.reports:
        if report.task_id not in changed:
            continue
        detail = f'attempt {report.attempt} {report.detail}'.strip()
        name = f'control.{report.kind.value}'
        effects.append(RecordEvent(name, report.task_id, detail))
        if report.kind is ReportKind.stop_requested:
            effects.append(Send(report.worker, Poke()))
    return effects


def handle_tick(
    leadership: Leadership,
    tables: ControlTables,
    now_s: float,
) -> list[LeaderEffect]:
    """Do the work that is due: expired leases, quarantine, a scheduling pass.

    Args:
        leadership: State of the term.
        tables: The replicated state.
        now_s: The current time.

    Returns:
        Operations to propose.
    """
    effects: list[LeaderEffect] = []
    if now_s >= leadership.expiry_check_at_s:
        leadership.expiry_check_at_s = now_s + EXPIRY_CHECK_INTERVAL_S
        effects.extend(_report_expired_leases(leadership, tables, now_s))
        marks = update_quarantine(leadership.health, tables, now_s)
        effects.extend(ProposeAsLeader(mark) for mark in marks)
    if now_s < leadership.next_pass_at_s:
        return effects
    leadership.next_pass_at_s = now_s + leadership.settings.pass_interval_s
    decisions = run_scheduling_pass(leadership.scheduler, tables, now_s)
    if decisions.placements:
        effects.append(ProposeAsLeader(PlaceTasks(tuple(decisions.placements))))
    if decisions.stops:
        effects.append(ProposeAsLeader(ReportTasks(tuple(decisions.stops))))
    return effects


def _report_expired_leases(
    leadership: Leadership,
    tables: ControlTables,
    now_s: float,
) -> list[LeaderEffect]:
    reports = tuple(
        TaskReport(
            key.task_id,
            key.attempt,
            ReportKind.lapsed,
            tables.tasks[key.task_id].worker,
        )
        for key in take_expired(leadership.leases, tables, now_s)
    )
    return [ProposeAsLeader(ReportTasks(reports))] if reports else []


def handle_proposal_failure(
    leadership: Leadership, operation: Operation
) -> None:
    """Forget an operation that could not be proposed, so that it is retried.

    Args:
        leadership: State of the term.
        operation: The operation.
    """
    match operation:
        case ReportTasks():
            leadership.proposed_reports.difference_update(operation.reports)
        case RegisterWorkers():
            for spec in operation.workers:
                leadership.proposed_registrations.discard(spec.name)
