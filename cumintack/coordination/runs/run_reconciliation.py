"""What a guard does to make its worker run what the leader wants.

The orders of the leader say which runs should be there; looks at the worker
say which are. The difference becomes calls. A call without an answer may
still take effect later, so that a run counts as absent only once the worker
has answered a stop for it and a later look does not show it.
"""

import msgspec

from cumintack.coordination.runs.pacing import (
    PacingState,
    record_weights,
    update_paces,
)
from cumintack.coordination.runs.worker_run_state import (
    CallAnswer,
    PaceRun,
    PollResult,
    RunCallState,
    StartRun,
    StopRun,
    UnansweredStart,
    WorkerCall,
    WorkerRunState,
    get_ended,
    get_running,
    is_settled,
    list_unanswered_starts,
)
from cumintack.protocol.run_messages import (
    LAPSED,
    ClosedRun,
    EndedRun,
    RunningRun,
    RunOrders,
    RunReport,
    WorkerInfo,
)

# Seconds; the platform carries out orders up to 12 s after they were sent.
MAX_CALL_DELAY_S = 12.0
# Seconds until a call that got no answer is made again.
RETRY_DELAY_S = 0.3
# Seconds between two stops of a run that is still there; a stop may take
# most of a second.
STOP_RETRY_DELAY_S = 1.0
# Seconds without an answer after which a worker counts as silent; two looks
# that were due.
SILENCE_TIMEOUT_S = 2.5
# Seconds added to a bound for the rounding of clocks to milliseconds.
LEASE_END_MARGIN_S = 0.1


def record_worker_info(
    state: WorkerRunState, worker_info: WorkerInfo, now_s: float
) -> bool:
    """Take what the worker says of itself.

    Args:
        state: The runs of the worker.
        worker_info: What it announced; a former life is sorted out before.
        now_s: The time.

    Returns:
        Whether the leader should hear of it at once.
    """
    previous = state.facts
    state.facts = worker_info
    if previous is None or previous.lifetime != worker_info.lifetime:
        if previous is not None:
            _record_unanswered_starts(state, previous.worker_id, now_s)
        if previous is None or previous.worker_id != worker_info.worker_id:
            # A lease without an answer names the identifier as well.
            state.uncertain_until_s = float('-inf')
        _reset_for_new_incarnation(state, now_s)
        return True
    return previous.is_draining != worker_info.is_draining


def _record_unanswered_starts(
    state: WorkerRunState,
    worker_id: str,
    now_s: float,
) -> None:
    """Remember which starts for the life that ends may come later."""
    for key, start in list(state.unanswered_starts.items()):
        if now_s >= start.until_s:
            state.unanswered_starts.pop(key)
    for unanswered_key, call_state in state.call_states.items():
        is_uncertain = call_state.is_in_flight or not is_settled(call_state)
        if is_uncertain and call_state.started_at_s is None:
            unanswered = UnansweredStart(worker_id, now_s + MAX_CALL_DELAY_S)
            state.unanswered_starts[unanswered_key] = unanswered


def _reset_for_new_incarnation(state: WorkerRunState, now_s: float) -> None:
    state.is_gone = False
    state.last_answer_at_s = now_s
    state.settled_number = 0
    state.orders_number = 0
    state.wanted = {}
    state.stops = {}
    state.details = {}
    state.call_states = {}
    state.latest_poll = None
    state.pacing = PacingState()


def record_incarnation_end(state: WorkerRunState, lifetime: str) -> None:
    """Take note that a life of the worker is over.

    Args:
        state: The runs of the worker.
        lifetime: The life that is over.
    """
    if state.facts is not None and state.facts.lifetime == lifetime:
        state.is_gone = True


def apply_orders(
    state: WorkerRunState, orders: RunOrders, now_s: float
) -> bool:
    """Take the orders of the leader, unless later ones are known.

    Args:
        state: The runs of the worker.
        orders: The orders.
        now_s: The time.

    Returns:
        Whether they were taken.
    """
    if state.facts is None or orders.lifetime != state.facts.lifetime:
        return False
    if (orders.term, orders.number) <= (state.term, state.orders_number):
        return False
    state.term = orders.term
    state.orders_number = orders.number
    state.lease_granted_until_s = max(
        state.lease_granted_until_s,
        orders.echoed_sent_at_s + orders.lease_s,
    )
    state.settled_number = max(state.settled_number, orders.settled_number)
    state.wanted = {order.key: None for order in orders.wanted}
    state.stops = dict.fromkeys(orders.stops)
    record_weights(state.pacing, orders.weights)
    for order in orders.wanted:
        if order.details is not None:
            state.details.setdefault(order.key, order.details)
    _prune_unreferenced_runs(state)
    return True


def _prune_unreferenced_runs(state: WorkerRunState) -> None:
    referenced = set(state.wanted) | set(state.stops) | get_running(state)
    for key in list(state.details):
        if key not in referenced:
            state.details.pop(key)
    for tracked_key, call_state in list(state.call_states.items()):
        if tracked_key not in referenced and not call_state.is_in_flight:
            state.call_states.pop(tracked_key)


def apply_poll_result(state: WorkerRunState, poll: PollResult) -> bool:
    """Take what the worker shows.

    Args:
        state: The runs of the worker.
        poll: The look.

    Returns:
        Whether the leader should hear of it at once.
    """
    if state.facts is None:
        return False
    if poll.lifetime != state.facts.lifetime:
        is_later = poll.lifetime > state.facts.lifetime
        state.is_gone = state.is_gone or is_later
        return is_later
    previous = state.latest_poll
    if previous is not None and poll.sent_at_s < previous.sent_at_s:
        return False
    state.last_answer_at_s = poll.answered_at_s
    state.latest_poll = poll
    has_news = previous is None or previous.ended != poll.ended
    shown = get_running(state) | get_ended(state)
    for key, call_state in state.call_states.items():
        if key not in shown:
            has_news = _check_absence(call_state, poll) or has_news
    update_paces(state.pacing, poll.running, state.details, poll.answered_at_s)
    return has_news


def _check_absence(call_state: RunCallState, poll: PollResult) -> bool:
    if call_state.absence_reason:
        return False
    stopped_at_s = call_state.stopped_at_s
    if stopped_at_s is not None and poll.sent_at_s > stopped_at_s:
        call_state.absence_reason = (
            call_state.refusal or 'stopped before its start'
        )
        return True
    started_at_s = call_state.started_at_s
    if started_at_s is not None and poll.sent_at_s > started_at_s:
        call_state.refusal = call_state.refusal or 'vanished'
    return False


def handle_late_start_answer(
    state: WorkerRunState,
    call: WorkerCall,
    answer: CallAnswer,
) -> None:
    """Take how a call to a former life of the worker ended.

    Args:
        state: The runs of the worker.
        call: The call.
        answer: How it ended; without an answer it may still take effect.
    """
    if answer.is_answered and isinstance(call, StartRun):
        state.unanswered_starts.pop(call.key, None)


def handle_call_answer(
    state: WorkerRunState,
    call: WorkerCall,
    answer: CallAnswer,
) -> None:
    """Take how a call ended.

    Args:
        state: The runs of the worker.
        call: The call.
        answer: How it ended.
    """
    if answer.is_answered:
        state.last_answer_at_s = max(
            state.last_answer_at_s, answer.answered_at_s
        )
    call_state = state.call_states.get(call.key)
    match call:
        case PaceRun():
            if not answer.is_done:
                state.pacing.sent_percents.pop(call.key, None)
        case StartRun() if call_state is not None:
            call_state.is_in_flight = False
            _handle_start_answer(call, call_state, answer)
        case StopRun() if call_state is not None:
            call_state.is_in_flight = False
            call_state.retry_at_s = answer.answered_at_s + RETRY_DELAY_S
            if answer.is_done:
                call_state.stopped_at_s = answer.answered_at_s
                call_state.retry_at_s = (
                    answer.answered_at_s + STOP_RETRY_DELAY_S
                )
                call_state.uncertain_until_s = float('-inf')
                state.unanswered_starts.pop(call.key, None)


def _handle_start_answer(
    call: StartRun,
    call_state: RunCallState,
    answer: CallAnswer,
) -> None:
    call_state.retry_at_s = answer.answered_at_s + RETRY_DELAY_S
    if answer.is_done:
        call_state.started_at_s = answer.answered_at_s
        call_state.uncertain_until_s = float('-inf')
    elif not answer.is_answered:
        lease_s = call.lease_until_s - answer.sent_at_s
        call_state.uncertain_until_s = (
            answer.sent_at_s + MAX_CALL_DELAY_S + lease_s
        )
    elif answer.reason:
        call_state.refusal = answer.reason
        call_state.retry_at_s = answer.answered_at_s
        if is_settled(call_state):
            call_state.absence_reason = answer.reason


def get_uncertain_until(state: WorkerRunState) -> float:
    """Get until when calls without an answer may take effect.

    Args:
        state: The runs of the worker.

    Returns:
        The time by the clock of the guard, minus infinity if there are none.
    """
    return max(
        (
            call_state.uncertain_until_s
            for call_state in state.call_states.values()
        ),
        default=float('-inf'),
    )


def get_lease_to_send(
    state: WorkerRunState, sent_until_s: float, min_gain_s: float
) -> float:
    """Get the end of the lease that is to be sent to the worker.

    Args:
        state: The runs of the worker.
        sent_until_s: The end that the worker confirmed last.
        min_gain_s: Least gain for which a call is worth it.

    Returns:
        The end by the clock of the guard, 0 if nothing is to be sent.
    """
    poll = state.latest_poll
    if poll is None or state.is_gone or not poll.running:
        return 0
    if state.lease_granted_until_s < sent_until_s + min_gain_s:
        return 0
    state.latest_lease_end_s = max(
        state.latest_lease_end_s, state.lease_granted_until_s
    )
    return state.lease_granted_until_s


def record_unanswered_lease(
    state: WorkerRunState, sent_at_s: float, until_s: float
) -> None:
    """Take note of a lease that was sent and got no answer.

    Args:
        state: The runs of the worker.
        sent_at_s: When it was sent.
        until_s: Its end.
    """
    lease_s = until_s - sent_at_s
    state.uncertain_until_s = max(
        state.uncertain_until_s,
        sent_at_s + MAX_CALL_DELAY_S + lease_s,
    )


def is_every_lease_expired(state: WorkerRunState, now_s: float) -> bool:
    """Tell whether every lease on a silent worker has surely run out.

    Args:
        state: The runs of the worker.
        now_s: The time.

    Returns:
        Whether nothing that was started there runs any more.
    """
    is_silent = now_s - state.last_answer_at_s > SILENCE_TIMEOUT_S
    if any(
        call_state.is_in_flight for call_state in state.call_states.values()
    ):
        return False
    uncertain_bound_s = max(get_uncertain_until(state), state.uncertain_until_s)
    latest_lease_end_s = (
        max(state.latest_lease_end_s, uncertain_bound_s) + LEASE_END_MARGIN_S
    )
    return is_silent and now_s > latest_lease_end_s


def _close_expired_runs(state: WorkerRunState) -> None:
    """Close every run that is known; what is ordered later may still start."""
    ended = get_ended(state)
    for key in (*state.wanted, *state.stops):
        if key not in ended:
            call_state = state.call_states.setdefault(key, RunCallState())
            call_state.absence_reason = call_state.absence_reason or LAPSED
    state.latest_poll = None


def create_report(state: WorkerRunState, now_s: float) -> RunReport | None:
    """Create the report for the leader.

    Args:
        state: The runs of the worker.
        now_s: The time.

    Returns:
        The report; None while no worker is known, or while a start meant for
        a former life may still take effect in this one.
    """
    facts = state.facts
    if facts is None or list_unanswered_starts(state, now_s):
        return None
    if not state.is_gone and is_every_lease_expired(state, now_s):
        _close_expired_runs(state)
    poll = state.latest_poll
    running: tuple[RunningRun, ...] = ()
    ended: tuple[EndedRun, ...] = ()
    if poll is not None:
        running = tuple(
            msgspec.structs.replace(run, has_details=run.key in state.details)
            for run in poll.running
        )
        ended = tuple(
            end for end in poll.ended if end.number > state.settled_number
        )
    ordered = [*state.wanted, *state.stops]
    return RunReport(
        now_s,
        state.term,
        facts,
        running,
        ended,
        tuple(
            ClosedRun(key, state.call_states[key].absence_reason)
            for key in ordered
            if key in state.call_states
            and state.call_states[key].absence_reason
        ),
        poll is not None,
        now_s - state.last_answer_at_s <= SILENCE_TIMEOUT_S,
        state.is_gone,
        max(
            0,
            get_uncertain_until(state) - now_s,
            state.uncertain_until_s - now_s,
        ),
    )
