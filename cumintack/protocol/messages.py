"""Messages between entries, guards and control replicas.

Deadlines are sent as the remaining duration instead of as wall time, because
the clocks of different processes are not comparable.
"""

import msgspec

from cumintack.protocol.replication_messages import (
    AppendReply,
    AppendRequest,
    Handover,
    Invitation,
    Member,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
    VoteRequest,
)
from cumintack.protocol.run_messages import (
    EvacuationQuery,
    JoinRequest,
    QueueConfigurationQuery,
    RunOrders,
    RunReport,
    WorkflowQuery,
    WorkflowReply,
)
from cumintack.protocol.timeline_messages import (
    TimelineReply,
    TimelineRequest,
)
from cumintack.state.commands import Command, Outcome
from cumintack.state.configuration import Configuration
from cumintack.state.errors import StepError
from cumintack.state.jobs import TaskReport
from cumintack.state.numbers import Finite, HoldDuration
from cumintack.state.requests import (
    Answer,
    Dispatch,
    Withdrawal,
)
from cumintack.state.resources import ZERO_RESOURCES, Resources
from cumintack.state.workers import WorkerSpec


class Ping(msgspec.Struct, frozen=True, tag=True):
    """Liveness probe of a link."""

    number: int


class Pong(msgspec.Struct, frozen=True, tag=True):
    """Answer to a liveness probe."""

    number: int


class GuardStatus(msgspec.Struct, frozen=True, tag=True):
    """Heartbeat of a guard to an entry.

    Attributes:
        worker: Name of the worker, which is also the name of the guard.
        incarnation: Changes when the guard restarts.
        data_centre: Data centre of the worker.
        service: Service of its upstream, empty if none is announced.
        slots: Maximum requests that the upstream serves concurrently.
        queue_limit: Maximum requests that the guard queues.
        busy: Slots in use.
        queued: Requests in the queue.
        is_leaving: Whether it accepts no new requests.
        revision: Revision of the guard's active configuration.
    """

    worker: str
    incarnation: str
    data_centre: str
    service: str
    slots: int
    queue_limit: int
    busy: int
    queued: int
    is_leaving: bool
    revision: int


class EntryStatus(msgspec.Struct, frozen=True, tag=True):
    """Answer of an entry to the heartbeat of a guard."""

    revision: int


class Propose(msgspec.Struct, frozen=True, tag=True):
    """Request to the leader to commit a command."""

    call_id: int
    command: Command


class Proposed(msgspec.Struct, frozen=True, tag=True):
    """Outcome of a proposal; after an error it may be sent again."""

    call_id: int
    outcome: Outcome | None
    error: StepError | None = None
    leader: str = ''


class QueryRequest(msgspec.Struct, frozen=True, tag=True):
    """Query to the leader for rows of the replicated state."""

    call_id: int
    text: str
    team: str = ''


class QueryReply(msgspec.Struct, frozen=True, tag=True):
    """Result of a query as JSON, or an error."""

    call_id: int
    rows: bytes
    error: StepError | None = None
    leader: str = ''


class ChangeReplica(msgspec.Struct, frozen=True, tag=True):
    """Request to the leader to add, replace or remove a replica."""

    call_id: int
    name: str
    address: str
    is_removal: bool


class ConfigurationPull(msgspec.Struct, frozen=True, tag=True):
    """Request for the configuration changes since a revision."""

    revision: int


class ConfigurationPush(msgspec.Struct, frozen=True, tag=True):
    """Configuration changes since a revision.

    Attributes:
        base_revision: Revision of the requesting process.
        changed: The current revision and the items changed since the base.
    """

    base_revision: int
    changed: Configuration


class NodeStatus(msgspec.Struct, frozen=True, tag=True):
    """Heartbeat of any process to the control group.

    Attributes:
        name: Name of the process.
        roles: Its roles.
        data_centre: Its data centre.
        revision: Its configuration revision.
        queue_version: Version of the queue configuration whose pools it
            knows, 0 if none; None if it needs no pools.
    """

    name: str
    roles: tuple[str, ...]
    data_centre: str
    revision: int
    queue_version: int | None = None


class NodeStatusReply(msgspec.Struct, frozen=True, tag=True):
    """Answer of the leader, or of a follower that names the leader.

    Attributes:
        revision: Configuration revision of the sender.
        leader: Name of the leader, empty if unknown.
        is_leader: Whether the sender is a confirmed leader.
        term: Latest term known to the sender.
        members: The committed membership if the sender is the leader; else
            the leader, or nothing if it is unknown.
        queue_version: Version of the sender's queue configuration, 0 if it has
            none; None from a program version that names no pools.
        pools: Pools of that configuration and of active workflows, for a
            process that knows those of another version; else empty.
    """

    revision: int
    leader: str
    is_leader: bool
    term: int = 0
    members: tuple[Member, ...] = ()
    queue_version: int | None = None
    pools: tuple[str, ...] = ()


class WorkerStatus(msgspec.Struct, frozen=True, tag=True):
    """Heartbeat of a guard to the leader about the tasks of its worker.

    Attributes:
        worker: The worker as the platform describes it.
        incarnation: Changes when the guard restarts.
        sent_at_s: Send time on the guard's clock, echoed in the answer.
        reports: Unacknowledged status changes of attempts.
        held: Attempts present on the worker, as task and attempt.
        used: Resources in use; the platform measures them with a delay.
        quick_slowdown: Response time of the service as a multiple of its
            baseline.
        is_reachable: Whether the worker's platform agent answers.
    """

    worker: WorkerSpec
    incarnation: str
    sent_at_s: Finite
    reports: tuple[TaskReport, ...]
    held: tuple[tuple[str, int], ...]
    used: Resources
    quick_slowdown: Finite
    is_reachable: bool


class TaskOrder(msgspec.Struct, frozen=True, omit_defaults=True):
    """Desired state of one attempt.

    For an attempt that the worker already holds, the identifying fields are
    sufficient.

    Attributes:
        task_id: The task.
        attempt: Number of the attempt, which fences earlier ones.
        need: Resources to allocate to it.
        kind: Kind of work.
        payload: Text for the worker.
        checkpoint: Checkpoint to resume from, empty to start afresh.
        is_stop: Whether to checkpoint and stop it.
        is_throttled: Whether to throttle it.
        is_recorded: Whether its start is already recorded.
    """

    task_id: str
    attempt: int
    need: Resources = ZERO_RESOURCES
    kind: str = ''
    payload: str = ''
    checkpoint: str = ''
    is_stop: bool = False
    is_throttled: bool = False
    is_recorded: bool = False


class WorkerOrders(msgspec.Struct, frozen=True, tag=True):
    """Answer of the leader to a worker heartbeat.

    Attributes:
        term: Term of the leader; guards reject orders of earlier terms.
        echoed_sent_at_s: Send time of the heartbeat on the guard's clock.
            Leases start at this time, so that network delays can't extend
            them.
        lease_s: Duration of the leases.
        orders: All attempts that the worker should hold.
        settled: Attempts whose reports are recorded.
    """

    term: int
    echoed_sent_at_s: Finite
    lease_s: HoldDuration
    orders: tuple[TaskOrder, ...]
    settled: tuple[tuple[str, int], ...]


class Poke(msgspec.Struct, frozen=True, tag=True):
    """Request to a guard to send its worker heartbeat immediately."""


class Goodbye(msgspec.Struct, frozen=True, tag=True):
    """Notice that a process has shut down gracefully."""

    name: str


Message = (
    Ping
    | Pong
    | GuardStatus
    | EntryStatus
    | Propose
    | Proposed
    | QueryRequest
    | QueryReply
    | ChangeReplica
    | ConfigurationPull
    | ConfigurationPush
    | NodeStatus
    | NodeStatusReply
    | WorkerStatus
    | WorkerOrders
    | Poke
    | Goodbye
    | Dispatch
    | Withdrawal
    | Answer
    | TimelineRequest
    | TimelineReply
    | RunReport
    | RunOrders
    | WorkflowQuery
    | QueueConfigurationQuery
    | EvacuationQuery
    | WorkflowReply
    | JoinRequest
    | VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | Invitation
    | Handover
)
