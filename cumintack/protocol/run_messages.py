"""Messages between the leader and the guards about runs of tasks.

Both directions carry the whole of what the sender wants or sees, so that a
lost message costs nothing but time. The leader says what should run; the
guard makes it so and says what it finds.
"""

import msgspec

from cumintack.state.errors import StepError
from cumintack.state.resources import Resources


class RunKey(msgspec.Struct, frozen=True, array_like=True):
    """A run of a task."""

    task_id: str
    run: int


class RunOrder(msgspec.Struct, frozen=True, array_like=True):
    """A run that should be there.

    Attributes:
        key: The run.
        details: What the guard needs to start it; left out once the guard
            has reported that it knows them.
    """

    key: RunKey
    details: 'RunDetails | None' = None


class RunDetails(msgspec.Struct, frozen=True, omit_defaults=True):
    """What it takes to start a run and to look after it.

    Attributes:
        program: Text for the worker.
        checkpoint: What to resume from, empty for the start.
        ticket: Leave of the outside adviser, empty for none.
        is_best_effort: Whether it takes what other tasks leave unused.
        target_ms: Tail latency that it must stay below, 0 for none.
        image: What it runs; runs of one image behave alike.
        need_milli: Processor share that it asked for.
    """

    program: str
    checkpoint: str = ''
    ticket: str = ''
    is_best_effort: bool = msgspec.field(default=False, name='is_filling')
    target_ms: int = 0
    image: str = ''
    need_milli: int = 0


class PairWeight(msgspec.Struct, frozen=True, array_like=True):
    """How much a filling image slows a serving one.

    Attributes:
        latency_critical: The serving image.
        best_effort: The filling image.
        weight: Share of the latency target that one core takes.
    """

    latency_critical: str
    best_effort: str
    weight: float


class RunOrders(msgspec.Struct, frozen=True, tag=True):
    """What the leader wants of one worker.

    Attributes:
        term: Term of the leader, which fences every call to the worker.
        number: Rises with each message of the term.
        lifetime: The life of the worker that is meant.
        echoed_sent_at_s: Clock of the guard in the report that this answers;
            the lease counts from it.
        lease_s: Length of the lease.
        settled_number: Ends up to this number are recorded.
        wanted: Every run that should be there.
        stops: Runs whose absence the guard has to make sure of.
        weights: What was learned of the pairs of images on the worker.
    """

    term: int
    number: int
    lifetime: str
    echoed_sent_at_s: float
    lease_s: float
    settled_number: int
    wanted: tuple[RunOrder, ...]
    stops: tuple[RunKey, ...]
    weights: tuple[PairWeight, ...] = ()


class RunningRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that the worker holds.

    Attributes:
        key: The run.
        checkpoint: What it saved last, empty for nothing.
        percent: How far it is; 100 for a lasting task at work.
        measurement: Tail latency in ms of a latency-critical task, else
            milli-cores used.
        has_details: Whether the guard holds the details of the run.
    """

    key: RunKey
    checkpoint: str
    percent: float
    measurement: float
    has_details: bool


class EndedRun(msgspec.Struct, frozen=True, array_like=True):
    """An end that the worker lists.

    Attributes:
        number: Its number within the life of the worker.
        key: The run.
        kind: How it ended, a value of ``RunEndKind``.
        checkpoint: What it saved last.
    """

    number: int
    key: RunKey
    kind: str
    checkpoint: str


# Why a run is closed whose lease has surely run out on a silent worker.
LAPSED = 'lapsed'


class ClosedRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that is not there and never will be."""

    key: RunKey
    reason: str


class WorkerInfo(msgspec.Struct, frozen=True):
    """What a worker says of itself.

    Attributes:
        worker_id: Its identifier.
        lifetime: Names this life of the worker, also under an identifier
            used before; texts of later lives sort after earlier ones.
        pool: The pool it belongs to.
        data_centre: Where it stands.
        holds: What it holds.
        labels: Its kind and its rack.
        is_draining: Whether it will leave.
        leaves_in_ms: Least time until it leaves, while draining.
    """

    worker_id: str
    lifetime: str
    pool: str
    data_centre: str
    holds: Resources
    labels: tuple[str, ...]
    is_draining: bool = False
    leaves_in_ms: int = 0


class RunReport(msgspec.Struct, frozen=True, tag=True):
    """What a guard sees of its worker.

    Attributes:
        sent_at_s: Clock of the guard.
        term: Term of the orders it follows.
        facts: The worker.
        running: Runs that the worker holds.
        ended: Ends not yet known to be recorded.
        closed: Runs asked about that are surely absent.
        is_looked: Whether the lists come from the worker in this life.
        is_answering: Whether the worker answered lately.
        is_gone: Whether this life of the worker is over, so that nothing
            starts on it any more.
        unsure_for_s: How long calls without an answer may still take effect.
    """

    sent_at_s: float
    term: int
    facts: WorkerInfo
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]
    closed: tuple[ClosedRun, ...]
    is_looked: bool
    is_answering: bool
    is_gone: bool
    unsure_for_s: float


class WorkflowQuery(msgspec.Struct, frozen=True, tag=True):
    """Ask the leader for the status of a workflow, or about a queue.

    Attributes:
        call_id: Number of the call.
        host: Host that the caller named.
        path: Path of the request.
        workflow_id: The workflow; empty to ask about the queue.
    """

    call_id: int
    host: str
    path: str
    workflow_id: str = ''


class QueueConfigurationQuery(msgspec.Struct, frozen=True, tag=True):
    """Ask the leader for the newest configuration of queues."""

    call_id: int


class WorkflowReply(msgspec.Struct, frozen=True, tag=True):
    """Answer to a query.

    Attributes:
        call_id: Number of the call.
        status: Status of the workflow, ``queued`` before its first start.
        pending_count: Workflows of the queue without a started task.
        source: The configuration as the operator sent it.
        error: Why there is no answer.
        leader: The leader as far as known.
    """

    call_id: int
    status: str = ''
    pending_count: int = 0
    source: bytes = b''
    error: StepError | None = None
    leader: str = ''


class JoinRequest(msgspec.Struct, frozen=True, tag=True):
    """Ask the leader for a place in the control group.

    Attributes:
        name: Name of the process.
        address: Where its link listens.
        member_id: Its identifier, empty on a blank disk.
    """

    name: str
    address: str
    member_id: str
