"""Reconciliation of the runs on a worker with the orders of the leader.

The orders list the runs that the worker should run, and polls list the runs
that it has. The guard makes calls for the difference. An unanswered call may
still take effect later; a run therefore counts as absent only once the worker
has confirmed a stop of it and a later poll does not list it. A poll that leaves
out ends says nothing about the runs that it does not list.
"""

import msgspec

from cumintack.coordination.runs.fencing import (
    adopt_fence,
    is_fenced,
    record_fence,
)
from cumintack.coordination.runs.pacing import (
    PacingState,
    record_weights,
    update_paces,
)
from cumintack.coordination.runs.unanswered_calls import (
    MAX_CALL_DELAY_S,
    clear_unanswered_start,
    find_acknowledgeable_ends,
    get_latest_effect,
    may_begin_again,
    has_unanswered_start,
    is_accepting,
    is_restarted,
    list_possibly_started,
    list_unanswered_starts,
    may_come_late,
    may_reach_worker,
    prune_unanswered_calls,
    record_earlier_leases,
    record_earlier_runs,
    record_inherited_runs,
    record_unanswered_lease,
    record_unanswered_starts,
    record_unseen_starts,
)
from cumintack.coordination.runs.worker_loss import (
    clear_refusals,
    clear_worker_loss,
    has_ended_unannounced,
    has_outlived_start,
    record_start_before_loss,
)
from cumintack.coordination.runs.worker_run_state import (
    CallAnswer,
    PaceRun,
    PollResult,
    RunCallState,
    SettledEnds,
    StartRun,
    StopRun,
    UnansweredStart,
    UncertainLease,
    WorkerCall,
    WorkerRunState,
    get_ended,
    get_running,
    is_lost,
    is_settled,
    lists_all_ends,
)
from cumintack.protocol.run_messages import (
    LEASE_EXPIRED,
    WORKER_ENDED,
    ClosedRun,
    EndedRun,
    RunKey,
    RunningRun,
    RunOrders,
    RunReport,
    WorkerInfo,
)
from cumintack.state.workflows import RunEndKind

# Seconds until an unanswered call is repeated.
RETRY_DELAY_S = 0.3
# Seconds between two stops of a run that is still listed; a stop may take most
# of a second.
STOP_RETRY_DELAY_S = 1.0
# Seconds without an answer after which a worker counts as silent: two polls
# that were due.
SILENCE_TIMEOUT_S = 2.5
# Seconds added to the end of a lease for clocks rounded to milliseconds.
LEASE_END_MARGIN_S = 0.1


def record_worker_info(
    state: WorkerRunState, worker_info: WorkerInfo, now_s: float
) -> bool:
    """Record an announcement of the worker.

    Args:
        state: The state of the runs on the worker.
        worker_info: The announced worker info; the caller has filtered out
            previous incarnations.
        now_s: Current time of the monotonic clock, in seconds.

    Returns:
        Whether to report to the leader at once.
    """
    previous = state.facts
    state.facts = worker_info
    if previous is None or previous.lifetime != worker_info.lifetime:
        if previous is not None:
            record_unanswered_starts(state, previous, now_s)
            if previous.worker_id == worker_info.worker_id:
                record_earlier_leases(state, now_s)
            else:
                # An unanswered call names the worker identifier, so it has no
                # effect on a worker with another one.
                state.uncertain_lease = UncertainLease()
                state.late_calls_until_s = float('-inf')
        _reset_for_new_incarnation(state, now_s)
        return True
    has_drain_changed = previous.is_draining != worker_info.is_draining
    return has_drain_changed or previous.holds != worker_info.holds


def _reset_for_new_incarnation(state: WorkerRunState, now_s: float) -> None:
    state.is_gone = False
    state.needs_fence = True
    state.last_answer_at_s = now_s
    clear_refusals(state)
    state.settled = SettledEnds()
    state.acknowledgeable = SettledEnds()
    state.held_ends = {}
    state.orders_number = 0
    state.wanted = {}
    state.stops = {}
    state.details = {}
    state.call_states = {}
    state.latest_poll = None
    state.pacing = PacingState()
    state.is_unhealthy = False


def record_incarnation_end(state: WorkerRunState, lifetime: str) -> None:
    """Record that an incarnation of the worker has left.

    A departure names the worker identifier only. One that arrives late may be
    that of an earlier incarnation, so it counts only if the current one has
    announced that it is about to leave.

    Args:
        state: The state of the runs on the worker.
        lifetime: The incarnation that had the identifier when it arrived.
    """
    worker_info = state.facts
    if worker_info is None or worker_info.lifetime != lifetime:
        return
    clear_worker_loss(state, lifetime)
    state.is_gone = state.is_gone or worker_info.is_draining


def apply_orders(
    state: WorkerRunState, orders: RunOrders, now_s: float
) -> bool:
    """Apply orders of the leader unless later ones were applied already.

    Args:
        state: The state of the runs on the worker.
        orders: The orders.
        now_s: Current time of the monotonic clock, in seconds.

    Returns:
        Whether the orders were applied.
    """
    if state.facts is None or orders.lifetime != state.facts.lifetime:
        return False
    if (orders.term, orders.number) <= (state.term, state.orders_number):
        return False
    if not _is_answer_to_this_process(state, orders):
        return False
    is_first_of_term = orders.term != state.term
    adopt_fence(state, orders)
    state.term = orders.term
    state.orders_number = orders.number
    state.lease_granted_until_s = max(
        state.lease_granted_until_s,
        orders.echoed_sent_at_s + orders.lease_s,
    )
    if orders.settled_number > state.settled.number:
        state.settled = SettledEnds(orders.lifetime, orders.settled_number)
    state.wanted = {order.key: None for order in orders.wanted}
    state.stops = dict.fromkeys(orders.stops)
    record_weights(state.pacing, orders.weights)
    state.health_path = orders.health_path
    state.is_unhealthy = state.is_unhealthy and bool(orders.health_path)
    for order in orders.wanted:
        if order.details is not None:
            state.details.setdefault(order.key, order.details)
    if is_restarted(state, now_s):
        if is_first_of_term:
            record_inherited_runs(state, state.facts, orders.wanted)
        record_earlier_runs(state, orders.earlier)
    _release_held_ends(state, orders)
    state.acknowledgeable = find_acknowledgeable_ends(state, now_s)
    _prune_unreferenced_runs(state)
    return True


def _release_held_ends(state: WorkerRunState, orders: RunOrders) -> None:
    """Release the held ends that orders show to be recorded."""
    for number, reported_at_s in list(state.held_ends.items()):
        if reported_at_s is None or orders.echoed_sent_at_s < reported_at_s:
            continue
        if orders.settled_number >= number:
            state.held_ends.pop(number)


def _is_answer_to_this_process(
    state: WorkerRunState, orders: RunOrders
) -> bool:
    """Return whether orders answer a report of this process of the guard.

    A leader of an earlier program version names no process.
    """
    if orders.echoed_incarnation not in {'', state.incarnation}:
        return False
    return orders.echoed_sent_at_s >= state.started_at_s


def _prune_unreferenced_runs(state: WorkerRunState) -> None:
    referenced = set(state.wanted) | set(state.stops) | get_running(state)
    for key in list(state.details):
        if key not in referenced:
            state.details.pop(key)
    for tracked_key, call_state in list(state.call_states.items()):
        if tracked_key not in referenced and not call_state.is_in_flight:
            state.call_states.pop(tracked_key)


def apply_poll_result(state: WorkerRunState, poll: PollResult) -> bool:
    """Apply the result of a poll of the worker.

    Args:
        state: The state of the runs on the worker.
        poll: The result of the poll.

    Returns:
        Whether to report to the leader at once.
    """
    if state.facts is None:
        return False
    clear_refusals(state)
    if poll.lifetime != state.facts.lifetime:
        return _apply_poll_of_other_incarnation(state, state.facts, poll)
    previous = state.latest_poll
    if previous is not None and poll.sent_at_s < previous.sent_at_s:
        return False
    state.last_answer_at_s = poll.answered_at_s
    state.latest_poll = poll
    record_fence(state, poll)
    state.acknowledgeable = find_acknowledgeable_ends(state, poll.answered_at_s)
    has_news = previous is None or previous.ended != poll.ended
    if is_lost(state):
        clear_worker_loss(state, poll.lifetime)
        has_news = True
    has_news = _check_absences(state, poll) or has_news
    update_paces(state.pacing, poll.running, state.details, poll.answered_at_s)
    return has_news


def _apply_poll_of_other_incarnation(
    state: WorkerRunState, worker_info: WorkerInfo, poll: PollResult
) -> bool:
    is_later = poll.lifetime > worker_info.lifetime
    if is_later and not state.is_gone:
        record_unseen_starts(state, worker_info, poll.answered_at_s)
    state.is_gone = state.is_gone or is_later
    return is_later


def _check_absences(state: WorkerRunState, poll: PollResult) -> bool:
    """Mark the runs that a poll shows to be absent.

    Returns:
        Whether there are any.
    """
    if not poll.lists_all_ends:
        return False
    shown = get_running(state) | get_ended(state)
    has_news = False
    for key, call_state in state.call_states.items():
        if key in shown or _is_start_awaited(state, key, poll.answered_at_s):
            continue
        has_news = _check_absence(call_state, poll) or has_news
    return has_news


def _is_start_awaited(state: WorkerRunState, key: RunKey, now_s: float) -> bool:
    """Return whether a run must not begin elsewhere because of a late start.

    An incarnation that knows nothing of a stop might carry the start out.
    """
    start = state.unanswered_starts.get(key)
    if start is None or start.is_assumed or not _can_task_wait(state, key):
        return False
    return may_come_late(state, key, now_s)


def _can_task_wait(state: WorkerRunState, key: RunKey) -> bool:
    """Return whether a task may wait for the time of a late start.

    What a draining worker has not told when it leaves is lost, and the task
    waits for longer. A long-running task is missed while it waits.
    """
    if state.facts is None or state.facts.is_draining:
        return False
    details = state.details.get(key)
    return details is None or not details.is_long_running


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


def handle_call_answer(
    state: WorkerRunState,
    call: WorkerCall,
    answer: CallAnswer,
) -> None:
    """Handle the outcome of a call to the worker.

    Args:
        state: The state of the runs on the worker.
        call: The call.
        answer: The outcome.
    """
    if answer.is_answered:
        clear_refusals(state)
        state.last_answer_at_s = max(
            state.last_answer_at_s, answer.answered_at_s
        )
    record_start_before_loss(state, call, answer)
    call_state = state.call_states.get(call.key)
    match call:
        case PaceRun():
            if not answer.is_done:
                state.pacing.sent_percents.pop(call.key, None)
        case StartRun() if call_state is not None:
            call_state.is_in_flight = False
            _handle_start_answer(state, call, call_state, answer)
            if state.facts is not None:
                _record_open_start(state, state.facts, call, answer)
        case StopRun() if call_state is not None:
            call_state.is_in_flight = False
            call_state.retry_at_s = answer.answered_at_s + RETRY_DELAY_S
            if answer.is_done:
                call_state.stopped_at_s = answer.answered_at_s
                call_state.retry_at_s = (
                    answer.answered_at_s + STOP_RETRY_DELAY_S
                )
                call_state.uncertain_until_s = float('-inf')
                clear_unanswered_start(state, call.key)


def _record_open_start(
    state: WorkerRunState,
    worker_info: WorkerInfo,
    call: StartRun,
    answer: CallAnswer,
) -> None:
    """Record that a later incarnation may carry out a start, or has done so."""
    if state.is_gone:
        # The next incarnation may have answered it.
        record_unseen_starts(state, worker_info, answer.answered_at_s)
    if answer.is_answered or not answer.is_sent:
        return
    record_unanswered_lease(
        state, call.lease_until_s, answer.answered_at_s, call.token, 'start'
    )
    earlier = state.unanswered_starts.get(call.key)
    state.unanswered_starts[call.key] = UnansweredStart(
        worker_info.worker_id,
        answer.answered_at_s + MAX_CALL_DELAY_S,
        worker_info.lifetime,
        token=call.token,
        is_repeated=earlier is not None and earlier.is_repeated,
    )


def _handle_start_answer(
    state: WorkerRunState,
    call: StartRun,
    call_state: RunCallState,
    answer: CallAnswer,
) -> None:
    call_state.retry_at_s = answer.answered_at_s + RETRY_DELAY_S
    if not answer.is_sent:
        return
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
        if is_settled(call_state) and lists_all_ends(state):
            call_state.absence_reason = answer.reason


def get_uncertain_until(
    state: WorkerRunState, worker_info: WorkerInfo, now_s: float
) -> float:
    """Get until when unanswered calls may keep a run on the worker.

    Args:
        state: The state of the runs on the worker.
        worker_info: The worker in its current incarnation.
        now_s: Current time of the monotonic clock, in seconds.

    Returns:
        The time of the guard's clock, minus infinity if there are none.
    """
    keys = set(state.call_states)
    keys.update(
        key
        for key, start in state.unanswered_starts.items()
        if may_reach_worker(start, worker_info)
    )
    late_start_ends_s = [_get_late_start_end(state, key, now_s) for key in keys]
    return max((state.uncertain_lease.until_s, *late_start_ends_s))


def get_lease_to_send(
    state: WorkerRunState, sent_until_s: float, min_gain_s: float
) -> float:
    """Get the end of the lease extension to send to the worker, if any.

    Args:
        state: The state of the runs on the worker.
        sent_until_s: The lease end that the worker confirmed last.
        min_gain_s: Least extension in seconds that is worth a call.

    Returns:
        The end as a time of the guard's clock, 0 if nothing is to be sent.
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


def get_number_to_acknowledge(
    state: WorkerRunState, worker_info: WorkerInfo
) -> int:
    """Get the number up to which ends may be acknowledged to the worker.

    Args:
        state: The state of the runs on the worker.
        worker_info: The worker that the acknowledgement is for.

    Returns:
        The number, 0 if none of its ends is recorded and final.
    """
    ends = state.acknowledgeable
    return ends.number if ends.lifetime == worker_info.lifetime else 0


def is_every_lease_expired(state: WorkerRunState, now_s: float) -> bool:
    """Tell whether the worker is silent and all its leases have expired.

    Args:
        state: The state of the runs on the worker.
        now_s: Current time of the monotonic clock, in seconds.

    Returns:
        Whether none of the runs started on it can still be running, but for
        those of which a start without an answer may be carried out yet.
    """
    is_silent = now_s - state.last_answer_at_s > SILENCE_TIMEOUT_S
    if _is_any_call_in_flight(state):
        return False
    return is_silent and now_s > find_longest_hold(state).until_s


def _is_any_call_in_flight(state: WorkerRunState) -> bool:
    return any(
        call_state.is_in_flight for call_state in state.call_states.values()
    )


def find_longest_hold(state: WorkerRunState) -> UncertainLease:
    """Find what keeps the runs of a silent worker from counting as over.

    Args:
        state: The state of the runs on the worker.

    Returns:
        The lease that may last longest, until a time of the guard's clock.
    """
    lease = UncertainLease(state.latest_lease_end_s, cause='lease')
    if state.uncertain_lease.until_s > lease.until_s:
        lease = state.uncertain_lease
    return msgspec.structs.replace(
        lease, until_s=lease.until_s + LEASE_END_MARGIN_S
    )


def _close_absent_runs(state: WorkerRunState, now_s: float) -> None:
    """Close the runs of a worker that holds none any more."""
    if state.is_gone:
        return
    if has_ended_unannounced(state):
        if not _is_any_call_in_flight(state):
            _close_runs(state, now_s, WORKER_ENDED)
    elif is_every_lease_expired(state, now_s):
        _close_runs(state, now_s, LEASE_EXPIRED)


def _close_runs(state: WorkerRunState, now_s: float, reason: str) -> None:
    """Mark the ordered runs as absent; runs ordered later may still start."""
    ended = get_ended(state)
    is_any_held = False
    for key in (*state.wanted, *state.stops):
        late_end_s = _get_late_start_end(state, key, now_s)
        if now_s <= late_end_s + LEASE_END_MARGIN_S:
            is_any_held = True
        elif key not in ended:
            call_state = state.call_states.setdefault(key, RunCallState())
            call_state.absence_reason = call_state.absence_reason or reason
    if not is_any_held and not _has_unsettled_ends(state):
        state.latest_poll = None


def _list_ends_to_report(
    state: WorkerRunState, poll: PollResult, now_s: float
) -> list[EndedRun]:
    """List the ends that are not acknowledged, but for those that wait.

    A task that is not done is started again, elsewhere perhaps. It waits until
    the next incarnation can no longer begin the run that has ended, unless the
    worker lists no further ends before this one is acknowledged.
    """
    reported = []
    for end in poll.ended:
        is_held = (
            end.kind != RunEndKind.done.value
            and poll.lists_all_ends
            and _can_task_wait(state, end.key)
            and may_begin_again(state, end.key, now_s)
        )
        if is_held:
            state.held_ends[end.number] = None
        elif end.number > state.acknowledgeable.number:
            reported.append(end)
            if state.held_ends.get(end.number, now_s) is None:
                state.held_ends[end.number] = now_s
    return reported


def _has_unsettled_ends(state: WorkerRunState) -> bool:
    """Return whether the leader may not have recorded all listed ends yet."""
    poll = state.latest_poll
    return poll is not None and any(
        end.number > state.acknowledgeable.number for end in poll.ended
    )


def _is_start_settled(state: WorkerRunState, key: RunKey) -> bool:
    call_state = state.call_states.get(key)
    if call_state is None or call_state.started_at_s is None:
        return False
    is_repeated = call_state.is_in_flight and call_state.is_start
    return not is_repeated and key not in state.unanswered_starts


def _get_late_start_end(
    state: WorkerRunState, key: RunKey, now_s: float
) -> float:
    """Return until when a run may last that an unanswered start starts yet.

    The worker may have crashed and started again unseen. It then knows neither
    a fence nor that the run was stopped, and late extensions prolong its lease.
    """
    call_state = state.call_states.get(key, RunCallState())
    start = state.unanswered_starts.get(key)
    if start is None:
        return call_state.uncertain_until_s
    return max(
        call_state.uncertain_until_s,
        get_latest_effect(start, now_s) + state.max_lease_s,
        state.late_leases_until_s,
    )


def create_report(state: WorkerRunState, now_s: float) -> RunReport | None:
    """Create the next report for the leader.

    Args:
        state: The state of the runs on the worker.
        now_s: Current time of the monotonic clock, in seconds.

    Returns:
        The report. None while no worker has announced itself, or while a
        start meant for a previous incarnation may still take effect in the
        current one, or one meant for an ended incarnation in the next one.
    """
    prune_unanswered_calls(state, now_s)
    worker_info = state.facts
    if worker_info is None or list_unanswered_starts(state, now_s):
        return None
    if state.is_gone and has_unanswered_start(state, worker_info):
        return None
    _close_absent_runs(state, now_s)
    poll = state.latest_poll
    running: tuple[RunningRun, ...] = ()
    ended: tuple[EndedRun, ...] = ()
    if poll is not None:
        running = tuple(
            msgspec.structs.replace(
                run,
                has_details=run.key in state.details,
                has_outlived_start=has_outlived_start(state, run.key, now_s),
                is_start_settled=_is_start_settled(state, run.key),
            )
            for run in poll.running
        )
        ended = tuple(_list_ends_to_report(state, poll, now_s))
    ordered = [*state.wanted, *state.stops]
    return RunReport(
        now_s,
        state.term,
        worker_info,
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
        max(0, get_uncertain_until(state, worker_info, now_s) - now_s),
        is_restarted(state, now_s),
        is_accepting(state, worker_info, now_s),
        state.loss,
        list_possibly_started(state, worker_info, now_s),
        lists_all_ends(state),
        state.needs_fence,
        is_fenced(state),
        max(0, state.late_leases_until_s - now_s),
        state.is_unhealthy,
        state.incarnation,
    )
