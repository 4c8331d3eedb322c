"""Which calls to a worker are due.

The difference between what the leader wants and what the worker shows. A call
that is on its way for a run holds back every other one for it.
"""

from cumintack.coordination.runs.pacing import (
    list_changed_paces,
    set_initial_paces,
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
    is_settled,
    list_unanswered_starts,
)
from cumintack.protocol.run_messages import RunKey

# Seconds of a lease that must be left for a start to be worth sending.
LEAST_LEASE_S = 0.5


def list_due_calls(runs: WorkerRunState, now_s: float) -> list[WorkerCall]:
    """List the calls to make now; each is on its way afterwards.

    Args:
        runs: The runs of the worker.
        now_s: The time.

    Returns:
        The calls.
    """
    poll = runs.latest_poll
    if poll is None or runs.facts is None or runs.is_gone or not runs.term:
        return []
    running = get_running(runs)
    ended = get_ended(runs)
    calls: list[WorkerCall] = []
    present = (*runs.stops, *running, *list_unanswered_starts(runs, now_s))
    for key in present:
        if key not in runs.wanted and key not in ended:
            _add_stop(runs, key, calls, now_s)
    for wanted in runs.wanted:
        if wanted not in running and wanted not in ended:
            _add_start(runs, wanted, calls, now_s)
    _admit_starts(runs, poll, calls)
    calls.extend(_list_paces(runs, running, ended))
    return calls


def _admit_starts(
    runs: WorkerRunState,
    poll: PollResult,
    calls: list[WorkerCall],
) -> None:
    fresh = [
        call.details
        for call in calls
        if isinstance(call, StartRun) and call.details.is_best_effort
    ]
    if fresh:
        set_initial_paces(runs.pacing, poll.running, runs.details, fresh)


def _list_paces(
    runs: WorkerRunState,
    running: set[RunKey],
    ended: set[RunKey],
) -> list[WorkerCall]:
    started = {
        key
        for key, call_state in runs.call_states.items()
        if call_state.started_at_s is not None and not call_state.refusal
    }
    present = (running | started) - ended
    paces = list_changed_paces(runs.pacing, present, runs.details)
    calls: list[WorkerCall] = []
    for key, percent in paces.items():
        if key in runs.wanted:
            runs.pacing.sent_percents[key] = percent
            calls.append(PaceRun(key, percent, runs.term))
    return calls


def _get_free_progress(
    runs: WorkerRunState,
    key: RunKey,
    now_s: float,
) -> RunCallState | None:
    call_state = runs.call_states.setdefault(key, RunCallState())
    is_due = now_s >= call_state.retry_at_s
    if call_state.is_in_flight or call_state.absence_reason or not is_due:
        return None
    return call_state


def _add_stop(
    runs: WorkerRunState,
    key: RunKey,
    calls: list[WorkerCall],
    now_s: float,
) -> None:
    call_state = _get_free_progress(runs, key, now_s)
    if call_state is None:
        return
    call_state.is_in_flight = True
    calls.append(StopRun(key, runs.term))


def _add_start(
    runs: WorkerRunState,
    key: RunKey,
    calls: list[WorkerCall],
    now_s: float,
) -> None:
    call_state = _get_free_progress(runs, key, now_s)
    if call_state is None:
        return
    if call_state.refusal:
        _add_stop(runs, key, calls, now_s)
        return
    if call_state.started_at_s is not None:
        return
    if runs.facts is not None and runs.facts.is_draining:
        call_state.refusal = 'the worker is draining'
        if is_settled(call_state):
            call_state.absence_reason = call_state.refusal
        return
    details = runs.details.get(key)
    if details is None or runs.lease_granted_until_s - now_s <= LEAST_LEASE_S:
        return
    call_state.is_in_flight = True
    runs.latest_lease_end_s = max(
        runs.latest_lease_end_s, runs.lease_granted_until_s
    )
    calls.append(StartRun(key, details, runs.term, runs.lease_granted_until_s))
