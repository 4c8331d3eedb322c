"""Calls to the worker without an answer, which may still take effect.

A start that was meant for one incarnation of the worker may be carried out by
a later one under the same identifier, and so may an acknowledgement of ends.
A new process of the guard does not know the calls of the previous one; the
leader, which has recorded every run, tells it which runs these may concern.
"""

import msgspec

from cumintack.coordination.runs.fencing import (
    find_fence_against,
    get_fenced_lease_end,
    is_fenced,
    require_fence,
)
from cumintack.coordination.runs.worker_run_state import (
    CallAnswer,
    FencingToken,
    RunCallState,
    SentAcknowledgement,
    SettledEnds,
    StartRun,
    UnansweredStart,
    UncertainLease,
    WorkerCall,
    WorkerRunState,
    get_ended,
    get_running,
    lists_all_ends,
)
from cumintack.protocol.run_messages import RunKey, RunOrder, WorkerInfo

# Most seconds after which a call still takes effect: the platform carries out
# calls up to 12 s after they were sent.
MAX_CALL_DELAY_S = 12.0
# Timeout of a call to the worker, which is on the same machine and usually
# answers within a few ms.
CALL_TIMEOUT_S = 1.0


def create_worker_run_state(
    started_at_s: float,
    lease_s: float,
    max_lease_s: float,
    incarnation: str = '',
) -> WorkerRunState:
    """Create the state of a guard process that has just started.

    A previous process may have granted a lease just before, and may have sent
    a lease extension that is still to be carried out.

    Args:
        started_at_s: Current time of the monotonic clock, in seconds.
        lease_s: Longest lease that a leader grants, in seconds.
        max_lease_s: Longest lease that the worker keeps, in seconds.
        incarnation: Identifies this process of the guard.

    Returns:
        The state, without a worker.
    """
    return WorkerRunState(
        started_at_s + lease_s,
        max_lease_s=max_lease_s,
        uncertain_lease=UncertainLease(
            started_at_s + MAX_CALL_DELAY_S + max(lease_s, max_lease_s),
            cause='call of a previous process',
        ),
        late_calls_until_s=started_at_s + MAX_CALL_DELAY_S,
        started_at_s=started_at_s,
        incarnation=incarnation,
    )


def record_unanswered_lease(
    state: WorkerRunState,
    until_s: float,
    now_s: float,
    token: FencingToken,
    cause: str = 'lease extension',
) -> None:
    """Record a lease extension, or a start with its lease, without an answer.

    In the incarnation that it was meant for, it sets a lease that is longer by
    its delay. The next one, which may not have announced itself yet, knows the
    deadline on its own, younger clock only, and keeps the longest lease.

    Args:
        state: The state of the runs on the worker.
        until_s: The end of the lease that it sets.
        now_s: Current time of the monotonic clock, in seconds; the call was
            sent before.
        token: The token under which it was sent.
        cause: The call, for the log.
    """
    require_fence(state, token)
    state.late_calls_until_s = max(
        state.late_calls_until_s, now_s + MAX_CALL_DELAY_S
    )
    lease_end_s = max(until_s, now_s + state.max_lease_s) + MAX_CALL_DELAY_S
    state.late_leases_until_s = max(state.late_leases_until_s, lease_end_s)
    fence = find_fence_against(state, token)
    if fence is not None:
        lease_end_s = get_fenced_lease_end(state, fence)
    _prolong_uncertain_lease(state, UncertainLease(lease_end_s, token, cause))


def _prolong_uncertain_lease(
    state: WorkerRunState, lease: UncertainLease
) -> None:
    known = state.uncertain_lease
    longest = lease if lease.until_s > known.until_s else known
    state.uncertain_lease = msgspec.structs.replace(
        longest, token=max(lease.token, known.token)
    )


def record_earlier_leases(state: WorkerRunState, now_s: float) -> None:
    """Record that a new incarnation may carry out calls to the earlier one.

    Args:
        state: The state of the runs on the worker, with the calls to the
            earlier incarnation.
        now_s: Current time of the monotonic clock, in seconds.
    """
    is_any_in_flight = any(
        call_state.is_in_flight for call_state in state.call_states.values()
    )
    is_any_late = is_any_in_flight or now_s < state.late_calls_until_s
    delay_s = MAX_CALL_DELAY_S if is_any_late else 0
    _prolong_uncertain_lease(
        state,
        UncertainLease(
            now_s + delay_s + state.max_lease_s,
            state.token,
            'call to an earlier incarnation',
        ),
    )


def is_restarted(state: WorkerRunState, now_s: float) -> bool:
    """Tell whether calls of a previous guard process may still take effect.

    Args:
        state: The state of the runs on the worker.
        now_s: Current time of the monotonic clock, in seconds.

    Returns:
        Whether this process is so young.
    """
    return now_s < state.started_at_s + MAX_CALL_DELAY_S


def record_inherited_runs(
    state: WorkerRunState,
    worker_info: WorkerInfo,
    wanted: tuple[RunOrder, ...],
) -> None:
    """Assume that a previous process sent a start of each run.

    A run that the first orders of a leader name may have been ordered before
    this process started. Later orders only add runs recorded after them. The
    start was unanswered unless the leader knows that it is past.

    Args:
        state: The state of the runs on the worker, with the ordered runs.
        worker_info: The worker.
        wanted: The orders for the runs that the worker should run.
    """
    for order in wanted:
        if order.is_start_past:
            state.call_states.setdefault(
                order.key, RunCallState(started_at_s=float('-inf'))
            )
    until_s = state.started_at_s + MAX_CALL_DELAY_S
    for key in (*state.wanted, *state.stops):
        if key not in state.call_states:
            state.call_states[key] = RunCallState(
                uncertain_until_s=max(until_s, state.uncertain_lease.until_s)
            )
            state.unanswered_starts[key] = UnansweredStart(
                worker_info.worker_id,
                until_s,
                worker_info.lifetime,
                is_assumed=True,
            )


def record_earlier_runs(
    state: WorkerRunState, keys: tuple[RunKey, ...]
) -> None:
    """Have the runs of earlier incarnations stopped in the current one.

    Args:
        state: The state of the runs on the worker.
        keys: Runs that the leader has recorded on earlier incarnations.
    """
    start = UnansweredStart(
        '', state.started_at_s + MAX_CALL_DELAY_S, '', is_assumed=True
    )
    for key in keys:
        state.unanswered_starts.setdefault(key, start)


def record_unanswered_starts(
    state: WorkerRunState,
    worker_info: WorkerInfo,
    now_s: float,
) -> None:
    """Keep the unanswered starts of the incarnation that ends.

    Args:
        state: The state of the runs on the worker.
        worker_info: The worker in the incarnation that ends.
        now_s: Current time of the monotonic clock, in seconds.
    """
    prune_unanswered_calls(state, now_s)
    record_unseen_starts(state, worker_info, now_s)
    for key, call_state in state.call_states.items():
        if call_state.is_in_flight and call_state.is_start:
            earlier = state.unanswered_starts.get(key)
            state.unanswered_starts[key] = UnansweredStart(
                worker_info.worker_id,
                now_s + CALL_TIMEOUT_S + MAX_CALL_DELAY_S,
                worker_info.lifetime,
                earlier.until_s if earlier else float('-inf'),
                state.token,
                is_in_flight=True,
            )


def record_unseen_starts(
    state: WorkerRunState,
    worker_info: WorkerInfo,
    now_s: float,
) -> None:
    """Keep the confirmed starts that no poll of the incarnation shows.

    The next incarnation may have confirmed them before it was known.

    Args:
        state: The state of the runs on the worker.
        worker_info: The worker in the incarnation that has ended.
        now_s: Current time of the monotonic clock, in seconds.
    """
    seen = get_running(state) | get_ended(state)
    for key, call_state in state.call_states.items():
        if call_state.started_at_s is not None and key not in seen:
            state.unanswered_starts.setdefault(
                key,
                UnansweredStart(
                    worker_info.worker_id,
                    now_s,
                    worker_info.lifetime,
                    token=state.token,
                ),
            )


def get_latest_effect(start: UnansweredStart, now_s: float) -> float:
    """Get when a start may be carried out at the latest.

    Args:
        start: The start.
        now_s: Current time of the monotonic clock, in seconds.

    Returns:
        The time of the guard's clock. While the call is in flight, which a
        process that stands still prolongs, it moves on with the present.
    """
    if not start.is_in_flight:
        return start.until_s
    return max(start.until_s, now_s + CALL_TIMEOUT_S + MAX_CALL_DELAY_S)


def may_reach_worker(start: UnansweredStart, worker_info: WorkerInfo) -> bool:
    """Tell whether a start names the identifier of a worker.

    Args:
        start: The start.
        worker_info: The worker.

    Returns:
        False if the worker refuses the start as one for another.
    """
    return start.worker_id in {'', worker_info.worker_id}


def list_unanswered_starts(state: WorkerRunState, now_s: float) -> list[RunKey]:
    """List the unanswered starts that the current incarnation may carry out.

    Args:
        state: The state of the runs on the worker.
        now_s: Current time of the monotonic clock, in seconds.

    Returns:
        The runs that must be stopped before they count as absent.
    """
    worker_info = state.facts
    if worker_info is None:
        return []
    is_polled = state.latest_poll is not None
    return [
        key
        for key, start in state.unanswered_starts.items()
        if may_reach_worker(start, worker_info)
        and start.cleared_lifetime != worker_info.lifetime
        and (start.is_in_flight or now_s < start.until_s or is_polled)
        and not (is_fenced(state, start.token) and lists_all_ends(state))
        and not _is_start_past(state, start, now_s)
    ]


def list_possibly_started(
    state: WorkerRunState, worker_info: WorkerInfo, now_s: float
) -> tuple[RunKey, ...] | None:
    """List the runs that the current incarnation may have started unseen.

    Args:
        state: The state of the runs on the worker, without the unanswered
            starts that are resolved.
        worker_info: The worker in its current incarnation.
        now_s: Current time of the monotonic clock, in seconds.

    Returns:
        Runs meant for earlier incarnations; None while runs that the previous
        process of the guard started may still hold a lease.
    """
    if now_s < state.started_at_s + MAX_CALL_DELAY_S + state.max_lease_s:
        return None
    return tuple(
        key
        for key, start in state.unanswered_starts.items()
        if may_reach_worker(start, worker_info)
    )


def _is_start_resolved(
    state: WorkerRunState, start: UnansweredStart, now_s: float
) -> bool:
    """Return whether a start has certainly no effect that is not seen.

    Its run may have ended among the ends that the worker does not list yet. A
    worker that has left never lists them.
    """
    is_any_end_hidden = not lists_all_ends(state) and not state.is_gone
    return not is_any_end_hidden and _is_start_past(state, start, now_s)


def _is_start_past(
    state: WorkerRunState, start: UnansweredStart, now_s: float
) -> bool:
    """Return whether a run that a start may have started is not running unseen.

    Once it can no longer be carried out, the next poll lists its run; without
    a poll the run has ended when its lease has.
    """
    if start.is_in_flight:
        return False
    poll = state.latest_poll
    if (
        poll is not None
        and not state.is_gone
        and poll.sent_at_s > start.until_s
    ):
        return True
    return now_s >= start.until_s + state.max_lease_s


def has_unanswered_start(
    state: WorkerRunState, worker_info: WorkerInfo
) -> bool:
    """Tell whether a start may reach the next incarnation of the worker.

    Args:
        state: The state of the runs on the worker.
        worker_info: The worker in its current incarnation.

    Returns:
        Whether the outcome of a start of this worker identifier is unknown.
    """
    is_start_in_flight = any(
        call_state.is_in_flight and call_state.is_start
        for call_state in state.call_states.values()
    )
    return is_start_in_flight or any(
        may_reach_worker(start, worker_info)
        for start in state.unanswered_starts.values()
    )


def handle_late_start_answer(
    state: WorkerRunState,
    call: WorkerCall,
    answer: CallAnswer,
) -> None:
    """Handle the outcome of a call to a previous incarnation of the worker.

    Args:
        state: The state of the runs on the worker.
        call: The call.
        answer: The outcome; an unanswered call may still take effect.
    """
    if isinstance(call, StartRun) and answer.is_sent:
        # The current incarnation may have answered it.
        record_unanswered_lease(
            state, call.lease_until_s, answer.answered_at_s, call.token, 'start'
        )
    start = state.unanswered_starts.get(call.key)
    if start is None or not isinstance(call, StartRun):
        return
    until_s = float('-inf')
    if answer.is_done:
        until_s = answer.answered_at_s
    elif answer.is_sent and not answer.is_answered:
        until_s = answer.answered_at_s + MAX_CALL_DELAY_S
    state.unanswered_starts[call.key] = msgspec.structs.replace(
        start,
        until_s=max(until_s, start.repeated_until_s),
        is_in_flight=False,
    )


def record_repeated_start(state: WorkerRunState, key: RunKey) -> None:
    """Record that a run is started again while a start of it is unanswered.

    Args:
        state: The state of the runs on the worker.
        key: The run.
    """
    start = state.unanswered_starts.get(key)
    if start is not None:
        state.unanswered_starts[key] = msgspec.structs.replace(
            start, is_repeated=True
        )


def may_come_late(state: WorkerRunState, key: RunKey, now_s: float) -> bool:
    """Tell whether an unanswered start of a run may still be carried out.

    Args:
        state: The state of the runs on the worker.
        key: The run.
        now_s: Current time of the monotonic clock, in seconds.

    Returns:
        Whether a later incarnation, which knows nothing of the run, may begin
        it.
    """
    start = state.unanswered_starts.get(key)
    if start is None:
        return False
    return start.is_in_flight or now_s <= start.until_s


def may_begin_again(state: WorkerRunState, key: RunKey, now_s: float) -> bool:
    """Tell whether a run was started again and may begin once more.

    Args:
        state: The state of the runs on the worker.
        key: The run.
        now_s: Current time of the monotonic clock, in seconds.

    Returns:
        False if there was one start only, which a listed run has used up.
    """
    start = state.unanswered_starts.get(key)
    is_repeated = start is not None and start.is_repeated
    return is_repeated and may_come_late(state, key, now_s)


def find_acknowledgeable_ends(
    state: WorkerRunState, now_s: float
) -> SettledEnds:
    """Find up to which number the recorded ends may be acknowledged.

    An end counts as final once it is acknowledged. It is not while the worker
    might begin the run again after a crash, on an earlier start of it. Ends
    that a list leaves out are listed only once others are acknowledged, which
    goes before that.

    Args:
        state: The state of the runs on the worker.
        now_s: Current time of the monotonic clock, in seconds.

    Returns:
        The ends, with the incarnation that has listed them.
    """
    settled = state.settled
    poll = state.latest_poll
    withheld = list(state.held_ends)
    if poll is not None and poll.lists_all_ends:
        withheld.extend(
            end.number
            for end in poll.ended
            if may_begin_again(state, end.key, now_s)
        )
    first_withheld = min(withheld, default=settled.number + 1)
    number = min(settled.number, first_withheld - 1)
    return SettledEnds(settled.lifetime, number)


def forget_latest_start(state: WorkerRunState, key: RunKey) -> None:
    """Forget a start for a previous incarnation, but none that preceded it.

    Args:
        state: The state of the runs on the worker.
        key: The run, whose latest start was never sent.
    """
    start = state.unanswered_starts.get(key)
    if start is not None:
        state.unanswered_starts[key] = msgspec.structs.replace(
            start, until_s=start.repeated_until_s, is_in_flight=False
        )


def clear_unanswered_start(state: WorkerRunState, key: RunKey) -> None:
    """Record that the current incarnation refuses a late start of a run.

    A later incarnation knows nothing of the stop, so the start is kept.

    Args:
        state: The state of the runs on the worker.
        key: The run of which a stop was confirmed.
    """
    start = state.unanswered_starts.get(key)
    if start is not None and state.facts is not None:
        state.unanswered_starts[key] = msgspec.structs.replace(
            start, cleared_lifetime=state.facts.lifetime
        )


def record_acknowledgement(
    state: WorkerRunState,
    worker_info: WorkerInfo,
    token: FencingToken,
    sent_at_s: float,
) -> None:
    """Record an acknowledgement of ends that is sent to the worker.

    Args:
        state: The state of the runs on the worker.
        worker_info: The worker that it is for.
        token: The token under which it is sent.
        sent_at_s: When it is sent.
    """
    state.unanswered_acknowledgements[sent_at_s] = SentAcknowledgement(
        worker_info.worker_id, worker_info.lifetime, token
    )


def record_acknowledgement_answer(
    state: WorkerRunState, sent_at_s: float
) -> None:
    """Record that an acknowledgement was carried out.

    Args:
        state: The state of the runs on the worker.
        sent_at_s: When the acknowledgement was sent.
    """
    state.unanswered_acknowledgements.pop(sent_at_s, None)


def record_unanswered_acknowledgement(
    state: WorkerRunState, sent_at_s: float, now_s: float
) -> None:
    """Record that an acknowledgement got no answer.

    Args:
        state: The state of the runs on the worker.
        sent_at_s: When the acknowledgement was sent.
        now_s: Current time of the monotonic clock, in seconds.
    """
    sent = state.unanswered_acknowledgements.get(sent_at_s)
    if sent is not None:
        require_fence(state, sent.token)
        state.unanswered_acknowledgements[sent_at_s] = msgspec.structs.replace(
            sent, until_s=now_s + MAX_CALL_DELAY_S
        )


def is_accepting(
    state: WorkerRunState, worker_info: WorkerInfo, now_s: float
) -> bool:
    """Tell whether no late acknowledgement may remove ends that are unread.

    Args:
        state: The state of the runs on the worker.
        worker_info: The worker in its current incarnation.
        now_s: Current time of the monotonic clock, in seconds.

    Returns:
        Whether the worker may get new runs.
    """
    return not any(
        sent.worker_id == worker_info.worker_id
        and sent.lifetime != worker_info.lifetime
        and now_s < sent.until_s
        and not is_fenced(state, sent.token)
        for sent in state.unanswered_acknowledgements.values()
    )


def prune_unanswered_calls(state: WorkerRunState, now_s: float) -> None:
    """Remove the calls that can no longer take effect.

    Args:
        state: The state of the runs on the worker.
        now_s: Current time of the monotonic clock, in seconds.
    """
    for key, start in list(state.unanswered_starts.items()):
        if _is_start_resolved(state, start, now_s):
            state.unanswered_starts.pop(key)
    for sent_at_s, sent in list(state.unanswered_acknowledgements.items()):
        if now_s >= sent.until_s:
            state.unanswered_acknowledgements.pop(sent_at_s)
