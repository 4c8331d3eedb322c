"""What a guard knows of the runs of its worker, and the calls it can make."""

import msgspec

from cumintack.coordination.runs.pacing import PacingState
from cumintack.protocol.run_messages import (
    EndedRun,
    RunDetails,
    RunKey,
    RunningRun,
    WorkerInfo,
)


class PollResult(msgspec.Struct, frozen=True):
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


class RunCallState(msgspec.Struct):
    """How far the calls for one run are.

    Attributes:
        is_in_flight: Whether a call for it is on its way.
        uncertain_until_s: Until when a start without an answer may take effect.
        started_at_s: When a start was confirmed.
        stopped_at_s: When a stop was confirmed.
        retry_at_s: When the next call may be made.
        refusal: Why the worker refused it, empty if it did not.
        absence_reason: Why it is surely absent, empty if it is not.
    """

    is_in_flight: bool = False
    uncertain_until_s: float = float('-inf')
    started_at_s: float | None = None
    stopped_at_s: float | None = None
    retry_at_s: float = 0
    refusal: str = ''
    absence_reason: str = ''


class UnansweredStart(msgspec.Struct, frozen=True):
    """A start without an answer, meant for a former life.

    Attributes:
        worker_id: Identifier of the worker that it names.
        until_s: Until when it may be carried out.
    """

    worker_id: str
    until_s: float


class WorkerRunState(msgspec.Struct):
    """Runs of one worker as its guard knows them.

    Attributes:
        latest_lease_end_s: Until when leases given to the worker may run.
        term: Term of the orders.
        orders_number: Number of the latest orders of the term.
        facts: The worker, None until it announced itself.
        is_gone: Whether this life of the worker is over.
        last_answer_at_s: When it last answered.
        lease_granted_until_s: End of the lease that the leader gave.
        settled_number: Ends up to it are recorded.
        wanted: Runs that should be there.
        stops: Runs that must be made absent.
        details: What is known of runs.
        call_states: Calls for runs.
        latest_poll: The latest look in this life.
        uncertain_until_s: Until when a lease without an answer may take effect.
        unanswered_starts: Starts meant for a former life that may still
            take effect, in any later life under the same identifier.
        pacing: The pace of filling tasks.
    """

    latest_lease_end_s: float
    term: int = 0
    orders_number: int = 0
    facts: WorkerInfo | None = None
    is_gone: bool = False
    last_answer_at_s: float = float('-inf')
    lease_granted_until_s: float = float('-inf')
    settled_number: int = 0
    wanted: dict[RunKey, None] = {}
    stops: dict[RunKey, None] = {}
    details: dict[RunKey, RunDetails] = {}
    call_states: dict[RunKey, RunCallState] = {}
    latest_poll: PollResult | None = None
    uncertain_until_s: float = float('-inf')
    unanswered_starts: dict[RunKey, UnansweredStart] = {}
    pacing: PacingState = msgspec.field(default_factory=PacingState)


def get_running(state: WorkerRunState) -> set[RunKey]:
    """Get the runs that the latest look shows at work.

    Args:
        state: The runs of the worker.

    Returns:
        Their keys.
    """
    poll = state.latest_poll
    return {run.key for run in poll.running} if poll else set()


def get_ended(state: WorkerRunState) -> set[RunKey]:
    """Get the runs whose ends the latest look lists.

    Args:
        state: The runs of the worker.

    Returns:
        Their keys.
    """
    poll = state.latest_poll
    return {ended.key for ended in poll.ended} if poll else set()


def is_settled(call_state: RunCallState) -> bool:
    """Tell whether no start without an answer may still take effect.

    Args:
        call_state: Calls for a run.

    Returns:
        Whether every start of it was answered.
    """
    return call_state.uncertain_until_s == float('-inf')


def list_unanswered_starts(state: WorkerRunState, now_s: float) -> list[RunKey]:
    """List starts for former lives that the present one may carry out.

    Args:
        state: The runs of the worker.
        now_s: The time.

    Returns:
        Runs that have to be stopped here before their absence is sure.
    """
    facts = state.facts
    if facts is None:
        return []
    return [
        key
        for key, start in state.unanswered_starts.items()
        if start.worker_id == facts.worker_id and now_s < start.until_s
    ]
