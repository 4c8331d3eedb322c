"""Messages between the leader and the guards about runs of tasks.

The leader sends the desired state; the guard reconciles its worker with it
and reports the observed state. Every message carries the full state, so that
a lost message only causes a delay.
"""

from typing import Annotated

import msgspec

from cumintack.state.errors import StepError
from cumintack.state.numbers import Finite, HoldDuration
from cumintack.state.resources import Resources
from cumintack.state.workflows import Evacuation, RunEndKind

_END_KINDS = '|'.join(kind.value for kind in RunEndKind)
EndKindName = Annotated[str, msgspec.Meta(pattern=f'^({_END_KINDS})$')]


class RunKey(msgspec.Struct, frozen=True, array_like=True):
    """Identifies a run of a task."""

    task_id: str
    run: int


class RunOrder(msgspec.Struct, frozen=True, array_like=True):
    """A run that the worker should hold.

    Attributes:
        key: The run.
        details: Details for starting it; omitted once the guard has reported
            that it has them.
        is_start_past: Whether no start of it can still be carried out.
    """

    key: RunKey
    details: 'RunDetails | None' = None
    is_start_past: bool = False


class RunDetails(msgspec.Struct, frozen=True, omit_defaults=True):
    """Details of a run that the guard needs to start and pace it.

    Attributes:
        program: Text for the worker.
        checkpoint: Checkpoint to resume from, empty to start afresh.
        ticket: Admission ticket of the external adviser, empty if none.
        is_best_effort: Whether it uses only the processor time that other
            tasks leave idle.
        target_ms: Tail latency objective, 0 for none.
        image: Image that it runs; runs of one image are assumed to behave
            alike.
        need_milli: Requested milli-cores.
        is_suspected: Whether it may crash its worker when it starts.
        is_long_running: Whether it has no end of its own.
    """

    program: str
    checkpoint: str = ''
    ticket: str = ''
    is_best_effort: bool = msgspec.field(default=False, name='is_filling')
    target_ms: int = 0
    image: str = ''
    need_milli: int = 0
    is_suspected: bool = False
    is_long_running: bool = False


class PairWeight(msgspec.Struct, frozen=True, array_like=True):
    """Interference of a best-effort image with a latency-critical one.

    Attributes:
        latency_critical: The latency-critical image.
        best_effort: The best-effort image.
        weight: Share of the latency target that one core used by the
            best-effort image consumes.
    """

    latency_critical: str
    best_effort: str
    weight: Finite


class RunOrders(msgspec.Struct, frozen=True, tag=True):
    """Desired state of one worker.

    Attributes:
        term: Term of the leader.
        number: Increases with each message of the term.
        lifetime: Incarnation of the worker that the orders are for.
        echoed_sent_at_s: Send time of the answered report on the guard's
            clock; the lease starts at this time.
        lease_s: Duration of the lease.
        settled_number: Ended runs up to this number are acknowledged.
        wanted: All runs that the worker should hold.
        stops: Runs that the guard must stop or confirm to be absent.
        weights: Learned interference between the images on the worker.
        earlier: Runs recorded on earlier incarnations of the worker, for a
            guard process that does not know the calls of the previous one.
        fence: Number of the fence within the term, 0 if the leader numbers
            none. With the term it is the fencing token of calls to the worker.
        health_path: Path at which the worker answers health probes, empty if
            it is not probed.
        echoed_incarnation: The guard process whose report is answered, empty
            if it gave none. A former process of the same name may have run on
            another clock.
    """

    term: int
    number: int
    lifetime: str
    echoed_sent_at_s: Finite
    lease_s: HoldDuration
    settled_number: int
    wanted: tuple[RunOrder, ...]
    stops: tuple[RunKey, ...]
    weights: tuple[PairWeight, ...] = ()
    earlier: tuple[RunKey, ...] = ()
    fence: int = 0
    health_path: str = ''
    echoed_incarnation: str = ''


class RunningRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that the worker holds.

    Attributes:
        key: The run.
        checkpoint: Its latest checkpoint, empty if none.
        percent: Progress in percent; 100 for a long-running task that is
            working.
        measurement: Tail latency in ms of a latency-critical task, else
            used milli-cores.
        has_details: Whether the guard has the details of the run.
        has_outlived_start: Whether its start was confirmed long enough ago
            for it not to be the cause of a crash.
        is_start_settled: Whether every start of it has been answered.
    """

    key: RunKey
    checkpoint: str
    percent: Finite
    measurement: Finite
    has_details: bool
    has_outlived_start: bool = False
    is_start_settled: bool = False


class EndedRun(msgspec.Struct, frozen=True, array_like=True):
    """An ended run that the worker lists.

    Attributes:
        number: Sequence number within the incarnation of the worker.
        key: The run.
        kind: How it ended, a value of ``RunEndKind``.
        checkpoint: Its latest checkpoint.
    """

    number: int
    key: RunKey
    kind: EndKindName
    checkpoint: str


# Reason for closing a run whose lease has certainly expired on a worker that
# does not answer.
LEASE_EXPIRED = 'lapsed'
# Reason for closing a run whose worker has ended without an announcement.
WORKER_ENDED = 'worker ended'


class ClosedRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that is certainly absent and can no longer start."""

    key: RunKey
    reason: str


class WorkerInfo(msgspec.Struct, frozen=True):
    """Description of a worker, as announced by the worker.

    Attributes:
        worker_id: Identifier of the worker, which may be reused.
        lifetime: Identifies this incarnation of the worker; identifiers of
            later incarnations sort after those of earlier ones.
        pool: The pool to which it belongs.
        data_centre: Its data centre.
        holds: Its resources.
        labels: Labels for its kind and its rack.
        is_draining: Whether it is about to leave.
        leaves_in_ms: Minimum time until it leaves, while draining.
    """

    worker_id: str
    lifetime: str
    pool: str
    data_centre: str
    holds: Resources
    labels: tuple[str, ...]
    is_draining: bool = False
    leaves_in_ms: int = 0


class WorkerLoss(msgspec.Struct, frozen=True):
    """Unplanned loss of an incarnation of the worker, as its guard saw it.

    Attributes:
        lifetime: The incarnation.
        at_s: When the guard noticed, on the guard's clock.
        heard_at_s: When the worker last answered, on the guard's clock.
        is_disconnected: Whether the worker closed or refused connections;
            otherwise it only stopped answering, at any time since it last
            answered.
        recent_starts: Runs whose start may have taken effect just before.
    """

    lifetime: str
    at_s: Finite
    heard_at_s: Finite
    is_disconnected: bool
    recent_starts: tuple[RunKey, ...] = ()


class RunReport(msgspec.Struct, frozen=True, tag=True):
    """Observed state of a worker, reported by its guard.

    Attributes:
        sent_at_s: Send time on the guard's clock.
        term: Term of the guard's current orders.
        facts: Description of the worker.
        running: Runs that the worker holds.
        ended: Ended runs that are not acknowledged yet.
        closed: Ordered runs that are certainly absent.
        is_looked: Whether the guard has polled this incarnation.
        is_answering: Whether the worker answered recently.
        is_gone: Whether this incarnation is over, so that no run can start on
            it any more.
        unsure_for_s: How long unanswered calls may still take effect.
        is_restarted: Whether calls of a previous process of the guard may
            still take effect.
        is_accepting: Whether new runs may be placed on the worker; false while
            an acknowledgement meant for an earlier incarnation may still
            remove ends of this one.
        loss: The latest unplanned loss of the worker, in this incarnation or
            an earlier one.
        possibly_started: Runs meant for earlier incarnations that this one may
            have started since its latest poll; None if the guard cannot name
            them.
        lists_all_ends: Whether a run that is not listed has no end on the
            worker either.
        needs_fence: Whether calls that were made under the current fencing
            token, or by a previous process, may still be carried out.
        is_fenced: Whether this incarnation refuses the calls of previous
            processes of the guard and those meant for earlier incarnations.
        late_calls_for_s: How long calls like one that went unanswered here
            may prolong leases on other workers, 0 if none has.
        is_unhealthy: Whether the worker said last that it is unhealthy.
        incarnation: Changes when the guard restarts.
    """

    sent_at_s: Finite
    term: int
    facts: WorkerInfo
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]
    closed: tuple[ClosedRun, ...]
    is_looked: bool
    is_answering: bool
    is_gone: bool
    unsure_for_s: HoldDuration
    is_restarted: bool = False
    is_accepting: bool = True
    loss: WorkerLoss | None = None
    possibly_started: tuple[RunKey, ...] | None = None
    lists_all_ends: bool = True
    needs_fence: bool = False
    is_fenced: bool = False
    late_calls_for_s: HoldDuration = 0
    is_unhealthy: bool = False
    incarnation: str = ''


class WorkflowQuery(msgspec.Struct, frozen=True, tag=True):
    """Query to the leader about the status of a workflow or a queue.

    Attributes:
        call_id: Number of the call.
        host: Host in the caller's request.
        path: Path of the caller's request.
        workflow_id: The workflow; empty to query the queue.
    """

    call_id: int
    host: str
    path: str
    workflow_id: str = ''


class QueueConfigurationQuery(msgspec.Struct, frozen=True, tag=True):
    """Query to the leader for the latest queue configuration."""

    call_id: int


class EvacuationQuery(msgspec.Struct, frozen=True, tag=True):
    """Query to the leader for the evacuation of a data centre."""

    call_id: int
    data_centre: str


class WorkflowReply(msgspec.Struct, frozen=True, tag=True):
    """Answer to a query.

    Attributes:
        call_id: Number of the call.
        status: Status of the workflow, ``queued`` before its first start.
        pending_count: Workflows of the queue without a started task.
        source: The queue configuration as sent by the operator.
        error: Why the query failed, None if it succeeded.
        leader: Name of the leader, empty if unknown.
        evacuation: The evacuation of the data centre.
    """

    call_id: int
    status: str = ''
    pending_count: int = 0
    source: bytes = b''
    error: StepError | None = None
    leader: str = ''
    evacuation: Evacuation | None = None


class JoinRequest(msgspec.Struct, frozen=True, tag=True):
    """Request to the leader to join the control group.

    Attributes:
        name: Name of the process.
        address: Address on which it listens for links.
        member_id: Its member identifier, empty on an empty disk.
    """

    name: str
    address: str
    member_id: str
