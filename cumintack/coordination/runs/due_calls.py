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
    is_sure,
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
    look = runs.look
    if look is None or runs.facts is None or runs.is_gone or not runs.term:
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
    _admit_starts(runs, look, calls)
    calls.extend(_list_paces(runs, running, ended))
    return calls


def _admit_starts(
    runs: WorkerRunState,
    look: PollResult,
    calls: list[WorkerCall],
) -> None:
    fresh = [
        call.details
        for call in calls
        if isinstance(call, StartRun) and call.details.is_best_effort
    ]
    if fresh:
        set_initial_paces(runs.pace, look.running, runs.details, fresh)


def _list_paces(
    runs: WorkerRunState,
    running: set[RunKey],
    ended: set[RunKey],
) -> list[WorkerCall]:
    started = {
        key
        for key, progress in runs.progress.items()
        if progress.started_at_s is not None and not progress.refusal
    }
    present = (running | started) - ended
    paces = list_changed_paces(runs.pace, present, runs.details)
    calls: list[WorkerCall] = []
    for key, percent in paces.items():
        if key in runs.wanted:
            runs.pace.sent[key] = percent
            calls.append(PaceRun(key, percent, runs.term))
    return calls


def _get_free_progress(
    runs: WorkerRunState,
    key: RunKey,
    now_s: float,
) -> RunCallState | None:
    progress = runs.progress.setdefault(key, RunCallState())
    is_due = now_s >= progress.retry_at_s
    if progress.is_in_flight or progress.closed or not is_due:
        return None
    return progress


def _add_stop(
    runs: WorkerRunState,
    key: RunKey,
    calls: list[WorkerCall],
    now_s: float,
) -> None:
    progress = _get_free_progress(runs, key, now_s)
    if progress is None:
        return
    progress.is_in_flight = True
    calls.append(StopRun(key, runs.term))


def _add_start(
    runs: WorkerRunState,
    key: RunKey,
    calls: list[WorkerCall],
    now_s: float,
) -> None:
    progress = _get_free_progress(runs, key, now_s)
    if progress is None:
        return
    if progress.refusal:
        _add_stop(runs, key, calls, now_s)
        return
    if progress.started_at_s is not None:
        return
    if runs.facts is not None and runs.facts.is_draining:
        progress.refusal = 'the worker is draining'
        if is_sure(progress):
            progress.closed = progress.refusal
        return
    details = runs.details.get(key)
    if details is None or runs.lease_granted_until_s - now_s <= LEAST_LEASE_S:
        return
    progress.is_in_flight = True
    runs.latest_lease_end_s = max(
        runs.latest_lease_end_s, runs.lease_granted_until_s
    )
    calls.append(StartRun(key, details, runs.term, runs.lease_granted_until_s))
