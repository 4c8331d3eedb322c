"""Reconciliation of a worker's tasks with the orders of the leader.

The worker reports what is running, the leader orders what should run, and the
guard compares the two at each heartbeat. Against delayed orders, the guard
remembers the highest term received and the attempts that have ended.
"""

import collections

import msgspec

from cumintack.protocol.messages import TaskOrder, WorkerOrders
from cumintack.protocol.worker_actions import (
    ForgetAttempts,
    HeldAttempt,
    RenewAttempts,
    StartAttempt,
    StopAttempt,
    ThrottleAttempt,
    WorkerAction,
)
from cumintack.state.jobs import ReportKind, TaskReport

MAX_ENDED_TASKS = 20000


REPORT_KINDS = {
    'running': ReportKind.started,
    'stopped': ReportKind.stopped,
    'completed': ReportKind.completed,
    'failed': ReportKind.failed,
    'absent': ReportKind.vanished,
}


class WorkerTasks(msgspec.Struct):
    """State that a guard keeps of the tasks of its worker.

    Attributes:
        worker: Name of the worker.
        term: Highest term in the orders received.
        sent_at_s: Time of the latest heartbeat to the leader.
        is_answered: Whether the latest heartbeat has been answered.
        held: Attempts in the latest report of the worker.
        ended: Highest ended attempt by task, for the most recent tasks.
        recorded: Attempts whose start the leader has recorded.
        started: Attempts whose start the worker confirmed.
        vanished: Attempts that the worker has lost or refused to start, or
            that ended before the leader ordered their start.
    """

    worker: str
    term: int = 0
    sent_at_s: float = 0
    is_answered: bool = True
    held: dict[tuple[str, int], HeldAttempt] = {}
    recorded: set[tuple[str, int]] = set()
    started: set[tuple[str, int]] = set()
    vanished: set[tuple[str, int]] = set()
    ended: collections.OrderedDict[str, int] = msgspec.field(
        default_factory=collections.OrderedDict,
    )


def record_worker_report(state: WorkerTasks, held: list[HeldAttempt]) -> None:
    """Record a report of the worker.

    Args:
        state: State of the worker's tasks.
        held: All attempts that the worker holds, including ended ones.
    """
    state.held = {
        (attempt.task_id, attempt.attempt): attempt for attempt in held
    }
    for attempt in held:
        if attempt.phase != 'running':
            _record_ended(state, attempt.task_id, attempt.attempt)
    for key in state.started - state.held.keys():
        state.vanished.add(key)
        _record_ended(state, *key)
    state.started.intersection_update(state.held)


def record_start(state: WorkerTasks, key: tuple[str, int]) -> None:
    """Record that the worker started an attempt.

    If a later report does not contain the attempt, the worker has lost it.

    Args:
        state: State of the worker's tasks.
        key: Task and attempt.
    """
    state.started.add(key)


def _record_ended(state: WorkerTasks, task_id: str, attempt: int) -> None:
    highest = max(attempt, state.ended.pop(task_id, 0))
    state.ended[task_id] = highest
    if len(state.ended) > MAX_ENDED_TASKS:
        state.ended.popitem(last=False)


def record_refused_start(state: WorkerTasks, key: tuple[str, int]) -> None:
    """Record that the worker refused to start an attempt it had seen before.

    Args:
        state: State of the worker's tasks.
        key: Task and attempt.
    """
    state.vanished.add(key)
    _record_ended(state, *key)


def create_reports(state: WorkerTasks) -> tuple[TaskReport, ...]:
    """Create the reports for the leader.

    Args:
        state: State of the worker's tasks.

    Returns:
        One report for each attempt whose state the leader may not know.
    """
    reports = [
        TaskReport(
            attempt.task_id,
            attempt.attempt,
            REPORT_KINDS[attempt.phase],
            state.worker,
            attempt.checkpoint,
            attempt.detail,
        )
        for attempt in state.held.values()
        if _needs_report(state, attempt)
    ]
    reports.extend(
        TaskReport(*key, ReportKind.vanished, state.worker)
        for key in sorted(state.vanished)
    )
    return tuple(reports)


def _needs_report(state: WorkerTasks, attempt: HeldAttempt) -> bool:
    if attempt.phase != 'running':
        return attempt.phase in REPORT_KINDS
    return (attempt.task_id, attempt.attempt) not in state.recorded


def list_held_attempts(state: WorkerTasks) -> tuple[tuple[str, int], ...]:
    """List the attempts for which the leader has to send an order.

    Args:
        state: State of the worker's tasks.

    Returns:
        Attempts that the worker holds or that have vanished.
    """
    return (*state.held, *sorted(state.vanished))


def apply_orders(
    state: WorkerTasks,
    orders: WorkerOrders,
    now_s: float,
) -> list[WorkerAction]:
    """Compare the orders of the leader with the attempts on the worker.

    Only the first answer to the latest heartbeat is applied, and none from an
    earlier term: an older answer may contain attempts that have since ended.

    Args:
        state: State of the worker's tasks.
        orders: Answer of the leader.
        now_s: The current time.

    Returns:
        Actions for the worker.
    """
    is_latest = orders.echoed_sent_at_s == state.sent_at_s
    if not is_latest or state.is_answered or orders.term < state.term:
        return []
    state.term = orders.term
    state.is_answered = True
    state.recorded = {
        (order.task_id, order.attempt)
        for order in orders.orders
        if order.is_recorded
    }
    expires_at_s = orders.echoed_sent_at_s + orders.lease_s
    wanted = {(order.task_id, order.attempt): order for order in orders.orders}
    actions: list[WorkerAction] = []
    _stop_unwanted(state, wanted, actions)
    _forget_settled(state, orders, wanted, actions)
    if expires_at_s <= now_s:
        return actions
    renewed = []
    for key, order in wanted.items():
        held = state.held.get(key)
        if held is None:
            _start_missing(state, order, expires_at_s, actions)
        elif held.phase == 'running':
            renewed.append(key)
            if order.is_throttled != held.is_throttled:
                actions.append(
                    ThrottleAttempt(*key, order.is_throttled),
                )
    if renewed:
        actions.append(RenewAttempts(tuple(renewed), expires_at_s))
    return actions


def _start_missing(
    state: WorkerTasks,
    order: TaskOrder,
    expires_at_s: float,
    actions: list[WorkerAction],
) -> None:
    has_ended = state.ended.get(order.task_id, 0) >= order.attempt
    if has_ended:
        state.vanished.add((order.task_id, order.attempt))
    elif not order.is_stop:
        actions.append(StartAttempt(order, expires_at_s))


def _stop_unwanted(
    state: WorkerTasks,
    wanted: dict[tuple[str, int], TaskOrder],
    actions: list[WorkerAction],
) -> None:
    for key, held in state.held.items():
        order = wanted.get(key)
        is_wanted = order is not None and not order.is_stop
        if held.phase == 'running' and not is_wanted:
            actions.append(StopAttempt(*key))
    for key, order in wanted.items():
        has_ended = state.ended.get(order.task_id, 0) >= order.attempt
        if order.is_stop and key not in state.held and not has_ended:
            actions.append(StopAttempt(*key))


def _forget_settled(
    state: WorkerTasks,
    orders: WorkerOrders,
    wanted: dict[tuple[str, int], TaskOrder],
    actions: list[WorkerAction],
) -> None:
    forgotten = []
    for task_id, attempt in orders.settled:
        held = state.held.get((task_id, attempt))
        _record_ended(state, task_id, attempt)
        state.vanished.discard((task_id, attempt))
        if held is not None and held.phase != 'running':
            forgotten.append((task_id, attempt))
    if forgotten:
        actions.append(ForgetAttempts(tuple(forgotten)))
