"""State of a guard about the runs of its worker, and calls to the worker."""

import msgspec

from cumintack.coordination.runs.pacing import PacingState
from cumintack.protocol.run_messages import (
    EndedRun,
    RunDetails,
    RunKey,
    RunningRun,
    WorkerInfo,
    WorkerLoss,
)


class FencingToken(msgspec.Struct, frozen=True, order=True):
    """Token of a call; the worker refuses it once it has seen a higher one.

    Attributes:
        term: Term of the leader whose orders the call carries out.
        number: Number of the fence within the term, 0 if the leader gave none.
    """

    term: int = 0
    number: int = 0


# Lower than every token under which this process of the guard makes calls.
INHERITED_TOKEN = FencingToken()


class PollResult(msgspec.Struct, frozen=True):
    """The runs that a worker listed in answer to a poll.

    Attributes:
        sent_at_s: When the poll was sent.
        answered_at_s: When its answer arrived.
        lifetime: The incarnation of the worker that answered.
        running: The runs that are running.
        ended: Ended runs that the worker still lists.
        lists_all_ends: Whether the worker has no other ends that are not
            acknowledged.
        token: The token under which the poll was sent.
    """

    sent_at_s: float
    answered_at_s: float
    lifetime: str
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]
    lists_all_ends: bool = True
    token: FencingToken = INHERITED_TOKEN


class StartRun(msgspec.Struct, frozen=True):
    """Start a run under a lease that ends at a time of the guard's clock."""

    key: RunKey
    details: RunDetails
    token: FencingToken
    lease_until_s: float


class StopRun(msgspec.Struct, frozen=True):
    """Stop a run, and refuse any start of it that arrives later."""

    key: RunKey
    token: FencingToken


class PaceRun(msgspec.Struct, frozen=True):
    """Throttle a run to a share of its full speed."""

    key: RunKey
    percent: int
    token: FencingToken


WorkerCall = StartRun | StopRun | PaceRun


class CallAnswer(msgspec.Struct, frozen=True):
    """Outcome of a call to the worker.

    Attributes:
        is_answered: Whether the worker answered; if not, the call may still
            take effect.
        is_done: Whether the worker carried out the call.
        reason: Why the worker refused it; empty if the same call may be
            repeated.
        sent_at_s: When the call was sent.
        answered_at_s: When the answer arrived, or the call timed out.
        is_sent: Whether the worker may have received the call.
    """

    is_answered: bool
    is_done: bool
    reason: str
    sent_at_s: float
    answered_at_s: float
    is_sent: bool = True


class RunCallState(msgspec.Struct):
    """State of the calls for one run.

    Attributes:
        is_in_flight: Whether a call for the run waits for its answer.
        is_start: Whether the latest call for the run is a start.
        uncertain_until_s: Until when an unanswered start may take effect.
        started_at_s: When a start was confirmed.
        stopped_at_s: When a stop was confirmed.
        retry_at_s: When the next call may be made.
        refusal: Why the run must not be started, empty if it may be.
        absence_reason: Why the run is certain to be absent, empty while it
            is not.
    """

    is_in_flight: bool = False
    is_start: bool = False
    uncertain_until_s: float = float('-inf')
    started_at_s: float | None = None
    stopped_at_s: float | None = None
    retry_at_s: float = 0
    refusal: str = ''
    absence_reason: str = ''


class UnansweredStart(msgspec.Struct, frozen=True):
    """An unanswered start, which a later incarnation may carry out.

    Attributes:
        worker_id: Worker identifier that the start names; empty if a previous
            process of the guard sent it to an unknown one.
        until_s: Until when it may be carried out, unless it is in flight.
        cleared_lifetime: Incarnation in which it needs no stop: the one that
            it was meant for, or one that has confirmed a stop since.
        repeated_until_s: Until when an earlier start of the same run may be
            carried out, also if the latest one is answered.
        token: Highest token of the starts of the run.
        is_in_flight: Whether the call still waits for its answer.
        is_repeated: Whether the run was started again while this start could
            still be carried out, so that a run that is listed does not show
            that it was.
        is_assumed: Whether a previous process of the guard may have made it,
            and nothing shows that it has.
    """

    worker_id: str
    until_s: float
    cleared_lifetime: str
    repeated_until_s: float = float('-inf')
    token: FencingToken = INHERITED_TOKEN
    is_in_flight: bool = False
    is_repeated: bool = False
    is_assumed: bool = False


class SentAcknowledgement(msgspec.Struct, frozen=True):
    """An acknowledgement of ends that got no answer yet.

    Attributes:
        worker_id: Worker identifier that it names.
        lifetime: Incarnation whose ends it acknowledges.
        token: The token under which it was sent.
        until_s: Until when it may be carried out; unknown while it is in
            flight.
    """

    worker_id: str
    lifetime: str
    token: FencingToken
    until_s: float = float('inf')


class SettledEnds(msgspec.Struct, frozen=True):
    """Ends that may be acknowledged to one incarnation of the worker.

    Attributes:
        lifetime: The incarnation.
        number: Number up to which the leader has recorded its ends.
    """

    lifetime: str = ''
    number: int = 0


class Fence(msgspec.Struct, frozen=True):
    """A token that an incarnation of the worker has seen.

    Attributes:
        lifetime: The incarnation.
        token: The token; calls under lower ones have no effect any more.
        seen_at_s: Time by which the worker had seen it.
    """

    lifetime: str
    token: FencingToken
    seen_at_s: float


class UncertainLease(msgspec.Struct, frozen=True):
    """A lease that calls without an answer may set.

    Attributes:
        until_s: Until when it may last.
        token: Highest token of these calls.
        cause: The call that sets the end.
    """

    until_s: float = float('-inf')
    token: FencingToken = INHERITED_TOKEN
    cause: str = ''


class RefusalSpan(msgspec.Struct, frozen=True):
    """Polls in succession that were all refused a connection.

    Attributes:
        from_s: When the first one failed.
        until_s: When the latest one failed.
    """

    from_s: float
    until_s: float


class WorkerRunState(msgspec.Struct):
    """State of a guard about the runs of its worker.

    Attributes:
        latest_lease_end_s: Latest end of the leases sent to the worker.
        term: Term of the orders.
        token: Fencing token of the calls to the worker. Other threads read it,
            so that the term and the number are replaced together.
        needs_fence: Whether calls that may still take effect have this token,
            or are of an earlier incarnation or process.
        fence: The latest token that the worker has certainly seen.
        orders_number: Number of the latest orders of the term.
        facts: The worker info, None until the worker announced itself.
        is_gone: Whether this incarnation of the worker has ended.
        last_answer_at_s: When the worker last answered.
        lease_granted_until_s: End of the lease that the leader granted.
        settled: The ends that the leader has recorded.
        acknowledgeable: Those of them that may be acknowledged. Other threads
            read it, so that the incarnation and the number are replaced
            together.
        held_ends: Numbers of ends that were left out of reports, each with the
            time of the first report that names it, None before. The number up
            to which the leader has recorded ends may lie above them.
        wanted: Runs that the worker should run.
        stops: Runs that must be made absent.
        details: Details of runs, as received with the orders.
        call_states: State of the calls for each run.
        latest_poll: Result of the latest poll of this incarnation.
        max_lease_s: Longest lease that the worker keeps, in seconds.
        uncertain_lease: The lease that unanswered calls may set.
        late_calls_until_s: Until when any call without an answer may be
            carried out by an incarnation that has seen no higher token.
        late_leases_until_s: Until when the calls that this process has seen
            unanswered would prolong leases without a fence.
        unanswered_starts: The latest unanswered start of each run. It may
            still take effect in any later incarnation with the same
            identifier.
        unanswered_acknowledgements: Acknowledgements without an answer, by
            the time when they were sent.
        started_at_s: When this process of the guard started. Calls of the
            previous process may take effect for some time after it.
        pacing: The pacing state of best-effort tasks.
        loss: The latest unplanned loss of the worker.
        refusals: The polls of this incarnation that were refused a connection,
            None if the latest one was not.
        health_path: Path at which the worker answers health probes, empty if
            it is not probed.
        is_unhealthy: Whether this incarnation said last that it is unhealthy.
        incarnation: Identifies this process of the guard.
    """

    latest_lease_end_s: float
    term: int = 0
    token: FencingToken = INHERITED_TOKEN
    needs_fence: bool = True
    fence: Fence | None = None
    orders_number: int = 0
    facts: WorkerInfo | None = None
    is_gone: bool = False
    last_answer_at_s: float = float('-inf')
    lease_granted_until_s: float = float('-inf')
    settled: SettledEnds = SettledEnds()
    acknowledgeable: SettledEnds = SettledEnds()
    held_ends: dict[int, float | None] = {}
    wanted: dict[RunKey, None] = {}
    stops: dict[RunKey, None] = {}
    details: dict[RunKey, RunDetails] = {}
    call_states: dict[RunKey, RunCallState] = {}
    latest_poll: PollResult | None = None
    max_lease_s: float = 0
    uncertain_lease: UncertainLease = UncertainLease()
    late_calls_until_s: float = float('-inf')
    late_leases_until_s: float = float('-inf')
    unanswered_starts: dict[RunKey, UnansweredStart] = {}
    unanswered_acknowledgements: dict[float, SentAcknowledgement] = {}
    started_at_s: float = float('-inf')
    pacing: PacingState = msgspec.field(default_factory=PacingState)
    loss: WorkerLoss | None = None
    refusals: RefusalSpan | None = None
    health_path: str = ''
    is_unhealthy: bool = False
    incarnation: str = ''


def get_running(state: WorkerRunState) -> set[RunKey]:
    """Get the runs that the latest poll lists as running.

    Args:
        state: The state of the runs on the worker.

    Returns:
        Their keys.
    """
    poll = state.latest_poll
    return {run.key for run in poll.running} if poll else set()


def get_ended(state: WorkerRunState) -> set[RunKey]:
    """Get the runs that the latest poll lists as ended.

    Args:
        state: The state of the runs on the worker.

    Returns:
        Their keys.
    """
    poll = state.latest_poll
    return {ended.key for ended in poll.ended} if poll else set()


def lists_all_ends(state: WorkerRunState) -> bool:
    """Tell whether a run that the latest poll does not list has no end there.

    Args:
        state: The state of the runs on the worker.

    Returns:
        False while the worker has more ends than it lists at a time. The
        others are listed once the leader has recorded the first ones.
    """
    poll = state.latest_poll
    return poll is None or poll.lists_all_ends


def is_lost(state: WorkerRunState) -> bool:
    """Tell whether the worker has not answered since it was lost.

    Args:
        state: The state of the runs on the worker.

    Returns:
        Whether the loss concerns its current incarnation.
    """
    loss = state.loss
    worker_info = state.facts
    if loss is None or worker_info is None:
        return False
    return loss.lifetime == worker_info.lifetime


def is_settled(call_state: RunCallState) -> bool:
    """Tell whether no unanswered start of a run may still take effect.

    Args:
        call_state: The state of the calls for the run.

    Returns:
        Whether the outcome of every start is known.
    """
    return call_state.uncertain_until_s == float('-inf')
