"""Tasks of one worker, as its guard keeps them in step with the leader.

The worker knows what runs, the leader knows what should run, and the guard
compares the two at each heartbeat. It keeps only what protects against late
orders: the highest term heard and the attempts that have ended.
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
    """What a guard remembers of the tasks of its worker.

    Attributes:
        worker: Name of the worker.
        term: Highest term of a leader heard.
        sent_at_s: Time of the latest heartbeat to the leader.
        is_answered: Whether that heartbeat was answered.
        held: Attempts as the worker last reported them.
        ended: Highest attempt known to have ended, by task.
        recorded: Attempts whose start the leader has recorded.
        started: Attempts that the worker said it started.
        vanished: Of these, those that it no longer reports.
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
    """Take what the worker reports.

    Args:
        state: The guard's memory.
        held: Everything that the worker holds, ended attempts included.
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
    """Take note that the worker started an attempt.

    A report that the worker made later and that lacks the attempt shows that
    the worker lost it.

    Args:
        state: The guard's memory.
        key: Task and attempt.
    """
    state.started.add(key)


def _record_ended(state: WorkerTasks, task_id: str, attempt: int) -> None:
    highest = max(attempt, state.ended.pop(task_id, 0))
    state.ended[task_id] = highest
    if len(state.ended) > MAX_ENDED_TASKS:
        state.ended.popitem(last=False)


def record_refused_start(state: WorkerTasks, key: tuple[str, int]) -> None:
    """Take note that the worker refused a start, having seen the attempt.

    Args:
        state: The guard's memory.
        key: Task and attempt.
    """
    state.vanished.add(key)
    _record_ended(state, *key)


def create_reports(state: WorkerTasks) -> tuple[TaskReport, ...]:
    """Create the reports for the leader.

    Args:
        state: The guard's memory.

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
    """List the attempts about which the leader should decide.

    Args:
        state: The guard's memory.

    Returns:
        Attempts that the worker holds or has lost.
    """
    return (*state.held, *sorted(state.vanished))


def apply_orders(
    state: WorkerTasks,
    orders: WorkerOrders,
    now_s: float,
) -> list[WorkerAction]:
    """Compare what should run with what runs.

    Only the first answer to the latest heartbeat counts, and none of an
    earlier term: an older one may name attempts that have ended since.

    Args:
        state: The guard's memory.
        orders: The answer of the leader.
        now_s: The time.

    Returns:
        What the worker has to do.
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
