"""Calls that bring a worker to the state that the leader ordered.

The calls follow from the difference between the ordered runs and the runs
that the worker lists. While a call for a run is in flight, no other call is
made for it.
"""

from cumintack.coordination.runs.pacing import (
    list_changed_paces,
    set_initial_paces,
)
from cumintack.coordination.runs.unanswered_calls import (
    forget_latest_start,
    list_unanswered_starts,
    may_come_late,
    record_repeated_start,
)
from cumintack.coordination.runs.worker_run_state import (
    PaceRun,
    PollResult,
    RunCallState,
    StartRun,
    StopRun,
    WorkerCall,
    WorkerRunState,
    get_ended,
    get_running,
    is_lost,
    is_settled,
    lists_all_ends,
)
from cumintack.protocol.run_messages import RunKey, WorkerInfo

# Seconds that must be left of the lease for a start to be worth sending.
MIN_LEASE_S = 0.5


def list_due_calls(state: WorkerRunState, now_s: float) -> list[WorkerCall]:
    """List the calls to make now, and record them as sent.

    Args:
        state: The state of the runs on the worker.
        now_s: Current time of the monotonic clock, in seconds.

    Returns:
        The calls.
    """
    poll = state.latest_poll
    if poll is None or state.facts is None or state.is_gone or not state.term:
        return []
    if is_lost(state):
        # Each repeated start would keep the outcome of the run uncertain.
        return []
    running = get_running(state)
    ended = get_ended(state)
    calls: list[WorkerCall] = []
    present = (*state.stops, *running, *list_unanswered_starts(state, now_s))
    for key in present:
        if key not in state.wanted and key not in ended:
            _add_stop(state, key, calls, now_s)
    for wanted in state.wanted:
        if wanted not in running and wanted not in ended:
            _add_start(state, wanted, calls, now_s)
    _pace_new_starts(state, poll, calls)
    calls.extend(_list_pace_calls(state, running, ended))
    return calls


def is_call_due(
    state: WorkerRunState, worker_info: WorkerInfo, call: WorkerCall
) -> bool:
    """Tell whether a call that waited for a thread is still to be made.

    Calls that hang keep the threads busy for seconds. Meanwhile the run may
    have been cancelled, and the worker may drain or have started again.

    Args:
        state: The state of the runs on the worker.
        worker_info: The worker as it was when the call became due.
        call: The call.

    Returns:
        Whether the state still asks for the call.
    """
    current = state.facts
    if current is None or current.lifetime != worker_info.lifetime:
        return False
    if call.token != state.token:
        # The worker may have seen the current one, and would refuse this call.
        return False
    match call:
        case StartRun(key=key):
            is_refused = current.is_draining or state.is_gone
            is_listed = key in get_running(state)
            return key in state.wanted and not is_refused and not is_listed
        case PaceRun(key=key):
            return key in state.wanted
        case StopRun(key=key):
            return key not in state.wanted or _is_refused(state, key)


def _is_refused(state: WorkerRunState, key: RunKey) -> bool:
    call_state = state.call_states.get(key)
    return call_state is not None and bool(call_state.refusal)


def withdraw_call(
    state: WorkerRunState,
    worker_info: WorkerInfo,
    call: WorkerCall,
) -> None:
    """Record that a call was not made, so that it can't take effect.

    Args:
        state: The state of the runs on the worker.
        worker_info: The worker as it was when the call became due.
        call: The call.
    """
    is_current = (
        state.facts is not None and state.facts.lifetime == worker_info.lifetime
    )
    call_state = state.call_states.get(call.key)
    match call:
        case PaceRun() if is_current:
            state.pacing.sent_percents.pop(call.key, None)
        case StartRun() if not is_current:
            forget_latest_start(state, call.key)
        case StartRun() | StopRun() if is_current and call_state is not None:
            call_state.is_in_flight = False


def _pace_new_starts(
    state: WorkerRunState,
    poll: PollResult,
    calls: list[WorkerCall],
) -> None:
    new_details = [
        call.details
        for call in calls
        if isinstance(call, StartRun) and call.details.is_best_effort
    ]
    if new_details:
        set_initial_paces(
            state.pacing, poll.running, state.details, new_details
        )


def _list_pace_calls(
    state: WorkerRunState,
    running: set[RunKey],
    ended: set[RunKey],
) -> list[WorkerCall]:
    started = {
        key
        for key, call_state in state.call_states.items()
        if call_state.started_at_s is not None and not call_state.refusal
    }
    present = (running | started) - ended
    paces = list_changed_paces(state.pacing, present, state.details)
    calls: list[WorkerCall] = []
    for key, percent in paces.items():
        if key in state.wanted:
            state.pacing.sent_percents[key] = percent
            calls.append(PaceRun(key, percent, state.token))
    return calls


def _get_idle_call_state(
    state: WorkerRunState,
    key: RunKey,
    now_s: float,
) -> RunCallState | None:
    call_state = state.call_states.setdefault(key, RunCallState())
    is_due = now_s >= call_state.retry_at_s
    if call_state.is_in_flight or call_state.absence_reason or not is_due:
        return None
    return call_state


def _add_stop(
    state: WorkerRunState,
    key: RunKey,
    calls: list[WorkerCall],
    now_s: float,
) -> None:
    call_state = _get_idle_call_state(state, key, now_s)
    if call_state is None:
        return
    call_state.is_in_flight = True
    call_state.is_start = False
    calls.append(StopRun(key, state.token))


def _add_start(
    state: WorkerRunState,
    key: RunKey,
    calls: list[WorkerCall],
    now_s: float,
) -> None:
    call_state = _get_idle_call_state(state, key, now_s)
    if call_state is None:
        return
    if call_state.refusal:
        _add_stop(state, key, calls, now_s)
        return
    if call_state.started_at_s is not None:
        return
    if state.facts is not None and state.facts.is_draining:
        call_state.refusal = 'the worker is draining'
        if is_settled(call_state) and lists_all_ends(state):
            call_state.absence_reason = call_state.refusal
        return
    details = state.details.get(key)
    if details is None or state.lease_granted_until_s - now_s <= MIN_LEASE_S:
        return
    if may_come_late(state, key, now_s):
        record_repeated_start(state, key)
    call_state.is_in_flight = True
    call_state.is_start = True
    state.latest_lease_end_s = max(
        state.latest_lease_end_s, state.lease_granted_until_s
    )
    calls.append(
        StartRun(key, details, state.token, state.lease_granted_until_s)
    )
