"""Unplanned losses of the worker, as its guard observes them.

A task that crashes its worker does so when it starts. The guard has confirmed
the start and sees the connections break, so it alone can tell such a task from
those that had been running for long.
"""

import msgspec

from cumintack.coordination.runs.worker_run_state import (
    CallAnswer,
    RefusalSpan,
    RunCallState,
    StartRun,
    WorkerCall,
    WorkerRunState,
    get_ended,
    get_running,
    is_lost,
    is_settled,
)
from cumintack.protocol.run_messages import RunKey, WorkerLoss

# Seconds after its start for which a run may be the cause of a crash.
RECENT_START_S = 0.5
# Seconds for which a worker must refuse connections to count as ended.
MIN_REFUSAL_S = 1.0


def record_worker_loss(
    state: WorkerRunState, now_s: float, *, is_disconnected: bool
) -> bool:
    """Record a poll that got no answer.

    Args:
        state: The state of the runs on the worker.
        now_s: Current time of the monotonic clock, in seconds.
        is_disconnected: Whether the worker closed or refused the connection.

    Returns:
        Whether to report to the leader at once: the worker was reachable
        before and its end was not planned.
    """
    worker_info = state.facts
    if worker_info is None or worker_info.is_draining or state.is_gone:
        return False
    if is_lost(state):
        return False
    alive_until_s = now_s if is_disconnected else state.last_answer_at_s
    state.loss = WorkerLoss(
        worker_info.lifetime,
        now_s,
        state.last_answer_at_s,
        is_disconnected,
        tuple(_list_recent_starts(state, alive_until_s)),
    )
    return True


def _list_recent_starts(
    state: WorkerRunState, alive_until_s: float
) -> list[RunKey]:
    listed = get_running(state)
    ended = get_ended(state)
    return [
        key
        for key, call_state in state.call_states.items()
        if key not in ended
        and _is_recent_start(call_state, alive_until_s, is_listed=key in listed)
    ]


def _is_recent_start(
    call_state: RunCallState, alive_until_s: float, *, is_listed: bool
) -> bool:
    started_at_s = call_state.started_at_s
    if started_at_s is not None:
        return started_at_s > alive_until_s - RECENT_START_S
    # An unanswered start may take effect at any time until then.
    return not is_listed and not is_settled(call_state)


def has_outlived_start(
    state: WorkerRunState, key: RunKey, now_s: float
) -> bool:
    """Tell whether a run can no longer be the cause of a crash.

    Args:
        state: The state of the runs on the worker.
        key: The run.
        now_s: Current time of the monotonic clock, in seconds.

    Returns:
        Whether its start was confirmed long enough ago, and the worker has not
        been lost.
    """
    call_state = state.call_states.get(key)
    if call_state is None or call_state.started_at_s is None or is_lost(state):
        return False
    return now_s >= call_state.started_at_s + RECENT_START_S


def has_cleared_suspect(
    state: WorkerRunState, reported_at_s: float, now_s: float
) -> bool:
    """Tell whether a suspected run has outlived its start since a report.

    Args:
        state: The state of the runs on the worker.
        reported_at_s: When the latest report was sent.
        now_s: Current time of the monotonic clock, in seconds.

    Returns:
        Whether to report to the leader at once.
    """
    return any(
        key in state.details
        and state.details[key].is_suspected
        and has_outlived_start(state, key, now_s)
        and not has_outlived_start(state, key, reported_at_s)
        for key in get_running(state)
    )


def record_start_before_loss(
    state: WorkerRunState, call: WorkerCall, answer: CallAnswer
) -> None:
    """Add a start whose outcome became known after the loss of the worker.

    Args:
        state: The state of the runs on the worker.
        call: A call to the current incarnation.
        answer: Its outcome.
    """
    loss = state.loss
    is_refused = answer.is_answered and not answer.is_done
    if loss is None or not is_lost(state) or is_refused:
        return
    if not isinstance(call, StartRun) or answer.sent_at_s > loss.at_s:
        return
    if call.key not in loss.recent_starts:
        state.loss = msgspec.structs.replace(
            loss, recent_starts=(*loss.recent_starts, call.key)
        )


def clear_worker_loss(state: WorkerRunState, lifetime: str) -> None:
    """Forget the loss of an incarnation that answered again, or that left.

    Args:
        state: The state of the runs on the worker.
        lifetime: The incarnation.
    """
    if state.loss is not None and state.loss.lifetime == lifetime:
        state.loss = None


def record_refusal(state: WorkerRunState, lifetime: str, at_s: float) -> None:
    """Record that the worker refused the connection of a poll.

    Args:
        state: The state of the runs on the worker.
        lifetime: The incarnation that was polled.
        at_s: When the poll failed, on the monotonic clock.
    """
    if state.facts is None or lifetime != state.facts.lifetime:
        return
    first = state.refusals or RefusalSpan(at_s, at_s)
    state.refusals = RefusalSpan(first.from_s, max(first.until_s, at_s))


def clear_refusals(state: WorkerRunState) -> None:
    """Record that something listens at the address of the worker, or may.

    Args:
        state: The state of the runs on the worker.
    """
    state.refusals = None


def has_ended_unannounced(state: WorkerRunState) -> bool:
    """Tell whether the process of the worker has ended.

    The worker and its guard share a machine: a cut or a pause of the worker
    leaves calls without an answer, and only a process that is gone refuses
    connections. A draining worker may close its address before it ends.

    Args:
        state: The state of the runs on the worker.

    Returns:
        Whether nothing that was started on this incarnation runs any more.
    """
    refusals = state.refusals
    if refusals is None or state.facts is None or state.facts.is_draining:
        return False
    return refusals.until_s - refusals.from_s >= MIN_REFUSAL_S
