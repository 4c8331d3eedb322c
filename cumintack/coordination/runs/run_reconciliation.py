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
LATE_CALL_S = 12.0
# Seconds until a call that got no answer is made again.
RETRY_S = 0.3
# Seconds between two stops of a run that is still there; a stop may take
# most of a second.
STOP_RETRY_S = 1.0
# Seconds without an answer after which a worker counts as silent; two looks
# that were due.
SILENT_AFTER_S = 2.5
# Seconds added to a bound for the rounding of clocks to milliseconds.
BOUND_MARGIN_S = 0.1


def record_worker_info(
    runs: WorkerRunState, facts: WorkerInfo, now_s: float
) -> bool:
    """Take what the worker says of itself.

    Args:
        runs: The runs of the worker.
        facts: What it announced; a former life is sorted out before.
        now_s: The time.

    Returns:
        Whether the leader should hear of it at once.
    """
    known = runs.facts
    runs.facts = facts
    if known is None or known.lifetime != facts.lifetime:
        if known is not None:
            _remember_starts(runs, known.worker_id, now_s)
        if known is None or known.worker_id != facts.worker_id:
            # A lease without an answer names the identifier as well.
            runs.uncertain_until_s = float('-inf')
        _begin_life(runs, now_s)
        return True
    return known.is_draining != facts.is_draining


def _remember_starts(
    runs: WorkerRunState,
    worker_id: str,
    now_s: float,
) -> None:
    """Remember which starts for the life that ends may come later."""
    for key, start in list(runs.unanswered_starts.items()):
        if now_s >= start.until_s:
            runs.unanswered_starts.pop(key)
    for open_key, call_state in runs.call_states.items():
        is_unsure = call_state.is_in_flight or not is_settled(call_state)
        if is_unsure and call_state.started_at_s is None:
            unanswered = UnansweredStart(worker_id, now_s + LATE_CALL_S)
            runs.unanswered_starts[open_key] = unanswered


def _begin_life(runs: WorkerRunState, now_s: float) -> None:
    runs.is_gone = False
    runs.last_answer_at_s = now_s
    runs.settled_number = 0
    runs.orders_number = 0
    runs.wanted = {}
    runs.stops = {}
    runs.details = {}
    runs.call_states = {}
    runs.latest_poll = None
    runs.pacing = PacingState()


def record_incarnation_end(runs: WorkerRunState, lifetime: str) -> None:
    """Take note that a life of the worker is over.

    Args:
        runs: The runs of the worker.
        lifetime: The life that is over.
    """
    if runs.facts is not None and runs.facts.lifetime == lifetime:
        runs.is_gone = True


def apply_orders(runs: WorkerRunState, orders: RunOrders, now_s: float) -> bool:
    """Take the orders of the leader, unless later ones are known.

    Args:
        runs: The runs of the worker.
        orders: The orders.
        now_s: The time.

    Returns:
        Whether they were taken.
    """
    if runs.facts is None or orders.lifetime != runs.facts.lifetime:
        return False
    if (orders.term, orders.number) <= (runs.term, runs.orders_number):
        return False
    runs.term = orders.term
    runs.orders_number = orders.number
    runs.lease_granted_until_s = max(
        runs.lease_granted_until_s,
        orders.echoed_sent_at_s + orders.lease_s,
    )
    runs.settled_number = max(runs.settled_number, orders.settled_number)
    runs.wanted = {order.key: None for order in orders.wanted}
    runs.stops = dict.fromkeys(orders.stops)
    record_weights(runs.pacing, orders.weights)
    for order in orders.wanted:
        if order.details is not None:
            runs.details.setdefault(order.key, order.details)
    _forget_unmentioned(runs)
    return True


def _forget_unmentioned(runs: WorkerRunState) -> None:
    kept = set(runs.wanted) | set(runs.stops) | get_running(runs)
    for key in list(runs.details):
        if key not in kept:
            runs.details.pop(key)
    for started, call_state in list(runs.call_states.items()):
        if started not in kept and not call_state.is_in_flight:
            runs.call_states.pop(started)


def apply_poll_result(runs: WorkerRunState, poll: PollResult) -> bool:
    """Take what the worker shows.

    Args:
        runs: The runs of the worker.
        poll: The look.

    Returns:
        Whether the leader should hear of it at once.
    """
    if runs.facts is None:
        return False
    if poll.lifetime != runs.facts.lifetime:
        is_later = poll.lifetime > runs.facts.lifetime
        runs.is_gone = runs.is_gone or is_later
        return is_later
    known = runs.latest_poll
    if known is not None and poll.sent_at_s < known.sent_at_s:
        return False
    runs.last_answer_at_s = poll.answered_at_s
    runs.latest_poll = poll
    has_news = known is None or known.ended != poll.ended
    shown = get_running(runs) | get_ended(runs)
    for key, call_state in runs.call_states.items():
        if key not in shown:
            has_news = _follow_absence(call_state, poll) or has_news
    update_paces(runs.pacing, poll.running, runs.details, poll.answered_at_s)
    return has_news


def _follow_absence(call_state: RunCallState, poll: PollResult) -> bool:
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
    runs: WorkerRunState,
    call: WorkerCall,
    answer: CallAnswer,
) -> None:
    """Take how a call to a former life of the worker ended.

    Args:
        runs: The runs of the worker.
        call: The call.
        answer: How it ended; without an answer it may still take effect.
    """
    if answer.is_answered and isinstance(call, StartRun):
        runs.unanswered_starts.pop(call.key, None)


def handle_call_answer(
    runs: WorkerRunState,
    call: WorkerCall,
    answer: CallAnswer,
) -> None:
    """Take how a call ended.

    Args:
        runs: The runs of the worker.
        call: The call.
        answer: How it ended.
    """
    if answer.is_answered:
        runs.last_answer_at_s = max(runs.last_answer_at_s, answer.answered_at_s)
    call_state = runs.call_states.get(call.key)
    match call:
        case PaceRun():
            if not answer.is_done:
                runs.pacing.sent_percents.pop(call.key, None)
        case StartRun() if call_state is not None:
            call_state.is_in_flight = False
            _take_start_answer(call, call_state, answer)
        case StopRun() if call_state is not None:
            call_state.is_in_flight = False
            call_state.retry_at_s = answer.answered_at_s + RETRY_S
            if answer.is_done:
                call_state.stopped_at_s = answer.answered_at_s
                call_state.retry_at_s = answer.answered_at_s + STOP_RETRY_S
                call_state.uncertain_until_s = float('-inf')
                runs.unanswered_starts.pop(call.key, None)


def _take_start_answer(
    call: StartRun,
    call_state: RunCallState,
    answer: CallAnswer,
) -> None:
    call_state.retry_at_s = answer.answered_at_s + RETRY_S
    if answer.is_done:
        call_state.started_at_s = answer.answered_at_s
        call_state.uncertain_until_s = float('-inf')
    elif not answer.is_answered:
        lease_s = call.lease_until_s - answer.sent_at_s
        call_state.uncertain_until_s = answer.sent_at_s + LATE_CALL_S + lease_s
    elif answer.reason:
        call_state.refusal = answer.reason
        call_state.retry_at_s = answer.answered_at_s
        if is_settled(call_state):
            call_state.absence_reason = answer.reason


def get_uncertain_until(runs: WorkerRunState) -> float:
    """Get until when calls without an answer may take effect.

    Args:
        runs: The runs of the worker.

    Returns:
        The time by the clock of the guard, minus infinity if there are none.
    """
    return max(
        (
            call_state.uncertain_until_s
            for call_state in runs.call_states.values()
        ),
        default=float('-inf'),
    )


def get_lease_to_send(
    runs: WorkerRunState, sent_until_s: float, gain_s: float
) -> float:
    """Get the end of the lease that is to be sent to the worker.

    Args:
        runs: The runs of the worker.
        sent_until_s: The end that the worker confirmed last.
        gain_s: Least gain for which a call is worth it.

    Returns:
        The end by the clock of the guard, 0 if nothing is to be sent.
    """
    poll = runs.latest_poll
    if poll is None or runs.is_gone or not poll.running:
        return 0
    if runs.lease_granted_until_s < sent_until_s + gain_s:
        return 0
    runs.latest_lease_end_s = max(
        runs.latest_lease_end_s, runs.lease_granted_until_s
    )
    return runs.lease_granted_until_s


def record_unanswered_lease(
    runs: WorkerRunState, sent_at_s: float, until_s: float
) -> None:
    """Take note of a lease that was sent and got no answer.

    Args:
        runs: The runs of the worker.
        sent_at_s: When it was sent.
        until_s: Its end.
    """
    lease_s = until_s - sent_at_s
    runs.uncertain_until_s = max(
        runs.uncertain_until_s,
        sent_at_s + LATE_CALL_S + lease_s,
    )


def is_every_lease_expired(runs: WorkerRunState, now_s: float) -> bool:
    """Tell whether every lease on a silent worker has surely run out.

    Args:
        runs: The runs of the worker.
        now_s: The time.

    Returns:
        Whether nothing that was started there runs any more.
    """
    is_silent = now_s - runs.last_answer_at_s > SILENT_AFTER_S
    if any(call_state.is_in_flight for call_state in runs.call_states.values()):
        return False
    unsure_s = max(get_uncertain_until(runs), runs.uncertain_until_s)
    latest_lease_end_s = max(runs.latest_lease_end_s, unsure_s) + BOUND_MARGIN_S
    return is_silent and now_s > latest_lease_end_s


def _close_lapsed(runs: WorkerRunState) -> None:
    """Close every run that is known; what is ordered later may still start."""
    ended = get_ended(runs)
    for key in (*runs.wanted, *runs.stops):
        if key not in ended:
            call_state = runs.call_states.setdefault(key, RunCallState())
            call_state.absence_reason = call_state.absence_reason or LAPSED
    runs.latest_poll = None


def create_report(runs: WorkerRunState, now_s: float) -> RunReport | None:
    """Create the report for the leader.

    Args:
        runs: The runs of the worker.
        now_s: The time.

    Returns:
        The report; None while no worker is known, or while a start meant for
        a former life may still take effect in this one.
    """
    facts = runs.facts
    if facts is None or list_unanswered_starts(runs, now_s):
        return None
    if not runs.is_gone and is_every_lease_expired(runs, now_s):
        _close_lapsed(runs)
    poll = runs.latest_poll
    running: tuple[RunningRun, ...] = ()
    ended: tuple[EndedRun, ...] = ()
    if poll is not None:
        running = tuple(
            msgspec.structs.replace(run, has_details=run.key in runs.details)
            for run in poll.running
        )
        ended = tuple(
            end for end in poll.ended if end.number > runs.settled_number
        )
    mentioned = [*runs.wanted, *runs.stops]
    return RunReport(
        now_s,
        runs.term,
        facts,
        running,
        ended,
        tuple(
            ClosedRun(key, runs.call_states[key].absence_reason)
            for key in mentioned
            if key in runs.call_states and runs.call_states[key].absence_reason
        ),
        poll is not None,
        now_s - runs.last_answer_at_s <= SILENT_AFTER_S,
        runs.is_gone,
        max(
            0, get_uncertain_until(runs) - now_s, runs.uncertain_until_s - now_s
        ),
    )
