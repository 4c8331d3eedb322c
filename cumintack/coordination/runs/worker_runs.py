"""What a guard does to make its worker run what the leader wants.

The orders of the leader say which runs should be there; looks at the worker
say which are. The difference becomes calls. A call without an answer may
still take effect later, so that a run counts as absent only once the worker
has answered a stop for it and a later look does not show it.
"""

import msgspec

from cumintack.coordination.runs.pacing import (
    PaceState,
    admit_runs,
    compute_paces,
    follow_figures,
    take_weights,
)
from cumintack.protocol.run_messages import (
    LAPSED,
    ClosedRun,
    EndedRun,
    RunDetails,
    RunKey,
    RunningRun,
    RunOrders,
    RunReport,
    WorkerFacts,
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
# Seconds of a lease that must be left for a start to be worth sending.
LEAST_LEASE_S = 0.5
# Seconds added to a bound for the rounding of clocks to milliseconds.
BOUND_MARGIN_S = 0.1


class Look(msgspec.Struct, frozen=True):
    """What a worker showed of its runs.

    Attributes:
        sent_at_s: When the look was sent.
        answered_at_s: When its answer arrived.
        lifetime: The life of the worker that answered.
        running: What it holds.
        ended: Ends not forgotten yet.
    """

    sent_at_s: float
    answered_at_s: float
    lifetime: str
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]


class StartRun(msgspec.Struct, frozen=True):
    """Start a run under a lease that ends at a time of the guard's clock."""

    key: RunKey
    details: RunDetails
    term: int
    lease_until_s: float


class StopRun(msgspec.Struct, frozen=True):
    """Stop a run, and have it refused if it arrives later."""

    key: RunKey
    term: int


class PaceRun(msgspec.Struct, frozen=True):
    """Let a run work at a share of its speed."""

    key: RunKey
    percent: int
    term: int


WorkerCall = StartRun | StopRun | PaceRun


class CallAnswer(msgspec.Struct, frozen=True):
    """How a call ended.

    Attributes:
        is_answered: Whether the worker answered; if not, the call may still
            take effect.
        is_done: Whether the worker did what was asked.
        reason: Why it did not; empty if it may be asked again as it is.
        sent_at_s: When it was sent.
        answered_at_s: When the answer arrived, or the wait was given up.
    """

    is_answered: bool
    is_done: bool
    reason: str
    sent_at_s: float
    answered_at_s: float


class RunProgress(msgspec.Struct):
    """How far the calls for one run are.

    Attributes:
        is_in_flight: Whether a call for it is on its way.
        unsure_until_s: Until when a start without an answer may take effect.
        started_at_s: When a start was confirmed.
        stopped_at_s: When a stop was confirmed.
        retry_at_s: When the next call may be made.
        refusal: Why the worker refused it, empty if it did not.
        closed: Why it is surely absent, empty if it is not.
    """

    is_in_flight: bool = False
    unsure_until_s: float = float('-inf')
    started_at_s: float | None = None
    stopped_at_s: float | None = None
    retry_at_s: float = 0
    refusal: str = ''
    closed: str = ''


class WorkerRuns(msgspec.Struct):
    """Runs of one worker as its guard knows them.

    Attributes:
        bound_s: Until when leases given to the worker may run.
        term: Term of the orders.
        number: Number of the latest orders of the term.
        facts: The worker, None until it announced itself.
        is_gone: Whether this life of the worker is over.
        heard_at_s: When it last answered.
        grant_until_s: End of the lease that the leader gave.
        settled_number: Ends up to it are recorded.
        wanted: Runs that should be there.
        stops: Runs that must be made absent.
        details: What is known of runs.
        progress: Calls for runs.
        look: The latest look in this life.
        unsure_until_s: Until when a lease without an answer may take effect.
        former_calls: Calls to a former life that are still on their way and
            may reach this one.
        pace: The pace of filling tasks.
    """

    bound_s: float
    term: int = 0
    number: int = 0
    facts: WorkerFacts | None = None
    is_gone: bool = False
    heard_at_s: float = float('-inf')
    grant_until_s: float = float('-inf')
    settled_number: int = 0
    wanted: dict[RunKey, None] = {}
    stops: dict[RunKey, None] = {}
    details: dict[RunKey, RunDetails] = {}
    progress: dict[RunKey, RunProgress] = {}
    look: Look | None = None
    unsure_until_s: float = float('-inf')
    former_calls: int = 0
    pace: PaceState = msgspec.field(default_factory=PaceState)


def take_facts(runs: WorkerRuns, facts: WorkerFacts, now_s: float) -> bool:
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
        _begin_life(runs, now_s)
        return True
    return known.is_draining != facts.is_draining


def _begin_life(runs: WorkerRuns, now_s: float) -> None:
    runs.former_calls += sum(
        progress.is_in_flight for progress in runs.progress.values()
    )
    runs.is_gone = False
    runs.heard_at_s = now_s
    runs.settled_number = 0
    runs.number = 0
    runs.wanted = {}
    runs.stops = {}
    runs.details = {}
    runs.progress = {}
    runs.look = None
    runs.unsure_until_s = float('-inf')
    runs.pace = PaceState()


def take_end_of_life(runs: WorkerRuns, lifetime: str) -> None:
    """Take note that a life of the worker is over.

    Args:
        runs: The runs of the worker.
        lifetime: The life that is over.
    """
    if runs.facts is not None and runs.facts.lifetime == lifetime:
        runs.is_gone = True


def take_orders(runs: WorkerRuns, orders: RunOrders, now_s: float) -> bool:
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
    if (orders.term, orders.number) <= (runs.term, runs.number):
        return False
    runs.term = orders.term
    runs.number = orders.number
    runs.grant_until_s = max(
        runs.grant_until_s,
        orders.echoed_sent_at_s + orders.lease_s,
    )
    runs.settled_number = max(runs.settled_number, orders.settled_number)
    runs.wanted = {order.key: None for order in orders.wanted}
    runs.stops = dict.fromkeys(orders.stops)
    take_weights(runs.pace, orders.weights)
    for order in orders.wanted:
        if order.details is not None:
            runs.details.setdefault(order.key, order.details)
    _forget_unmentioned(runs)
    return True


def _forget_unmentioned(runs: WorkerRuns) -> None:
    kept = set(runs.wanted) | set(runs.stops) | _get_running(runs)
    for key in list(runs.details):
        if key not in kept:
            runs.details.pop(key)
    for started, progress in list(runs.progress.items()):
        if started not in kept and not progress.is_in_flight:
            runs.progress.pop(started)


def _get_running(runs: WorkerRuns) -> set[RunKey]:
    look = runs.look
    return {run.key for run in look.running} if look else set()


def _get_ended(runs: WorkerRuns) -> set[RunKey]:
    look = runs.look
    return {ended.key for ended in look.ended} if look else set()


def take_look(runs: WorkerRuns, look: Look) -> bool:
    """Take what the worker shows.

    Args:
        runs: The runs of the worker.
        look: The look.

    Returns:
        Whether the leader should hear of it at once.
    """
    if runs.facts is None:
        return False
    if look.lifetime != runs.facts.lifetime:
        is_later = look.lifetime > runs.facts.lifetime
        runs.is_gone = runs.is_gone or is_later
        return is_later
    known = runs.look
    if known is not None and look.sent_at_s < known.sent_at_s:
        return False
    runs.heard_at_s = look.answered_at_s
    runs.look = look
    has_news = known is None or known.ended != look.ended
    shown = _get_running(runs) | _get_ended(runs)
    for key, progress in runs.progress.items():
        if key not in shown:
            has_news = _follow_absence(progress, look) or has_news
    follow_figures(runs.pace, look.running, runs.details, look.answered_at_s)
    return has_news


def _follow_absence(progress: RunProgress, look: Look) -> bool:
    if progress.closed:
        return False
    stopped_at_s = progress.stopped_at_s
    if stopped_at_s is not None and look.sent_at_s > stopped_at_s:
        progress.closed = progress.refusal or 'stopped before its start'
        return True
    started_at_s = progress.started_at_s
    if started_at_s is not None and look.sent_at_s > started_at_s:
        progress.refusal = progress.refusal or 'vanished'
    return False


def list_calls(runs: WorkerRuns, now_s: float) -> list[WorkerCall]:
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
    running = _get_running(runs)
    ended = _get_ended(runs)
    calls: list[WorkerCall] = []
    present = (*runs.stops, *running)
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
    runs: WorkerRuns,
    look: Look,
    calls: list[WorkerCall],
) -> None:
    fresh = [
        call.details
        for call in calls
        if isinstance(call, StartRun) and call.details.is_filling
    ]
    if fresh:
        admit_runs(runs.pace, look.running, runs.details, fresh)


def _list_paces(
    runs: WorkerRuns,
    running: set[RunKey],
    ended: set[RunKey],
) -> list[WorkerCall]:
    started = {
        key
        for key, progress in runs.progress.items()
        if progress.started_at_s is not None and not progress.refusal
    }
    present = (running | started) - ended
    paces = compute_paces(runs.pace, present, runs.details)
    calls: list[WorkerCall] = []
    for key, percent in paces.items():
        if key in runs.wanted:
            runs.pace.sent[key] = percent
            calls.append(PaceRun(key, percent, runs.term))
    return calls


def _get_free_progress(
    runs: WorkerRuns,
    key: RunKey,
    now_s: float,
) -> RunProgress | None:
    progress = runs.progress.setdefault(key, RunProgress())
    is_due = now_s >= progress.retry_at_s
    if progress.is_in_flight or progress.closed or not is_due:
        return None
    return progress


def _add_stop(
    runs: WorkerRuns,
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
    runs: WorkerRuns,
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
        if _is_sure(progress):
            progress.closed = progress.refusal
        return
    details = runs.details.get(key)
    if details is None or runs.grant_until_s - now_s <= LEAST_LEASE_S:
        return
    progress.is_in_flight = True
    runs.bound_s = max(runs.bound_s, runs.grant_until_s)
    calls.append(StartRun(key, details, runs.term, runs.grant_until_s))


def take_former_answer(runs: WorkerRuns, call: WorkerCall) -> None:
    """Take note that a call to a former life of the worker is over.

    Args:
        runs: The runs of the worker.
        call: The call.
    """
    if not isinstance(call, PaceRun):
        runs.former_calls = max(0, runs.former_calls - 1)


def take_answer(
    runs: WorkerRuns,
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
        runs.heard_at_s = max(runs.heard_at_s, answer.answered_at_s)
    progress = runs.progress.get(call.key)
    match call:
        case PaceRun():
            if not answer.is_done:
                runs.pace.sent.pop(call.key, None)
        case StartRun() if progress is not None:
            progress.is_in_flight = False
            _take_start_answer(call, progress, answer)
        case StopRun() if progress is not None:
            progress.is_in_flight = False
            progress.retry_at_s = answer.answered_at_s + RETRY_S
            if answer.is_done:
                progress.stopped_at_s = answer.answered_at_s
                progress.retry_at_s = answer.answered_at_s + STOP_RETRY_S
                progress.unsure_until_s = float('-inf')


def _take_start_answer(
    call: StartRun,
    progress: RunProgress,
    answer: CallAnswer,
) -> None:
    progress.retry_at_s = answer.answered_at_s + RETRY_S
    if answer.is_done:
        progress.started_at_s = answer.answered_at_s
        progress.unsure_until_s = float('-inf')
    elif not answer.is_answered:
        lease_s = call.lease_until_s - answer.sent_at_s
        progress.unsure_until_s = answer.sent_at_s + LATE_CALL_S + lease_s
    elif answer.reason:
        progress.refusal = answer.reason
        progress.retry_at_s = answer.answered_at_s
        if _is_sure(progress):
            progress.closed = answer.reason


def _is_sure(progress: RunProgress) -> bool:
    return progress.unsure_until_s == float('-inf')


def get_unsure_until(runs: WorkerRuns) -> float:
    """Get until when calls without an answer may take effect.

    Args:
        runs: The runs of the worker.

    Returns:
        The time by the clock of the guard, minus infinity if there are none.
    """
    return max(
        (progress.unsure_until_s for progress in runs.progress.values()),
        default=float('-inf'),
    )


def get_grant(runs: WorkerRuns, sent_until_s: float, gain_s: float) -> float:
    """Get the end of the lease that is to be sent to the worker.

    Args:
        runs: The runs of the worker.
        sent_until_s: The end that the worker confirmed last.
        gain_s: Least gain for which a call is worth it.

    Returns:
        The end by the clock of the guard, 0 if nothing is to be sent.
    """
    look = runs.look
    if look is None or runs.is_gone or not look.running:
        return 0
    if runs.grant_until_s < sent_until_s + gain_s:
        return 0
    runs.bound_s = max(runs.bound_s, runs.grant_until_s)
    return runs.grant_until_s


def take_lost_grant(runs: WorkerRuns, sent_at_s: float, until_s: float) -> None:
    """Take note of a lease that was sent and got no answer.

    Args:
        runs: The runs of the worker.
        sent_at_s: When it was sent.
        until_s: Its end.
    """
    lease_s = until_s - sent_at_s
    runs.unsure_until_s = max(
        runs.unsure_until_s,
        sent_at_s + LATE_CALL_S + lease_s,
    )


def is_lapsed(runs: WorkerRuns, now_s: float) -> bool:
    """Tell whether every lease on a silent worker has surely run out.

    Args:
        runs: The runs of the worker.
        now_s: The time.

    Returns:
        Whether nothing that was started there runs any more.
    """
    is_silent = now_s - runs.heard_at_s > SILENT_AFTER_S
    if any(progress.is_in_flight for progress in runs.progress.values()):
        return False
    unsure_s = max(get_unsure_until(runs), runs.unsure_until_s)
    bound_s = max(runs.bound_s, unsure_s) + BOUND_MARGIN_S
    return is_silent and now_s > bound_s


def _close_lapsed(runs: WorkerRuns) -> None:
    """Close every run that is known; what is ordered later may still start."""
    ended = _get_ended(runs)
    for key in (*runs.wanted, *runs.stops):
        if key not in ended:
            progress = runs.progress.setdefault(key, RunProgress())
            progress.closed = progress.closed or LAPSED
    runs.look = None


def create_report(runs: WorkerRuns, now_s: float) -> RunReport | None:
    """Create the report for the leader.

    Args:
        runs: The runs of the worker.
        now_s: The time.

    Returns:
        The report; None while no worker is known, or while a call meant for
        a former life may still start something in this one.
    """
    facts = runs.facts
    if facts is None or runs.former_calls:
        return None
    if not runs.is_gone and is_lapsed(runs, now_s):
        _close_lapsed(runs)
    look = runs.look
    running: tuple[RunningRun, ...] = ()
    ended: tuple[EndedRun, ...] = ()
    if look is not None:
        running = tuple(
            msgspec.structs.replace(run, is_known=run.key in runs.details)
            for run in look.running
        )
        ended = tuple(
            end for end in look.ended if end.number > runs.settled_number
        )
    mentioned = [*runs.wanted, *runs.stops]
    return RunReport(
        now_s,
        runs.term,
        facts,
        running,
        ended,
        tuple(
            ClosedRun(key, runs.progress[key].closed)
            for key in mentioned
            if key in runs.progress and runs.progress[key].closed
        ),
        look is not None,
        now_s - runs.heard_at_s <= SILENT_AFTER_S,
        runs.is_gone,
        max(0, get_unsure_until(runs) - now_s, runs.unsure_until_s - now_s),
    )
