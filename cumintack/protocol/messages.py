"""Messages between entries, guards and control replicas.

Durations travel as time remaining, never as wall time, because clocks of
different processes are not compared.
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
from cumintack.state.requests import (
    Answer,
    Dispatch,
    Withdrawal,
)
from cumintack.state.resources import ZERO_RESOURCES, Resources
from cumintack.state.workers import WorkerSpec


class Ping(msgspec.Struct, frozen=True, tag=True):
    """Probe of a link."""

    number: int


class Pong(msgspec.Struct, frozen=True, tag=True):
    """Answer to a probe."""

    number: int


class GuardStatus(msgspec.Struct, frozen=True, tag=True):
    """Heartbeat of a guard to an entry.

    Attributes:
        worker: Name of the worker, which is also the name of the guard.
        incarnation: Changes when the guard restarts.
        data_centre: Where it stands.
        service: The service of its upstream, empty if none is announced.
        slots: Requests that the upstream serves at once.
        queue_limit: Requests that the guard keeps waiting.
        busy: Slots in use.
        queued: Requests waiting.
        is_leaving: Whether it takes no new work.
        revision: Revision of the configuration in force there.
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
    """Ask the leader to commit a command."""

    call_id: int
    command: Command


class Proposed(msgspec.Struct, frozen=True, tag=True):
    """Outcome of a proposal; an error here means it may be sent again."""

    call_id: int
    outcome: Outcome | None
    error: StepError | None = None
    leader: str = ''


class QueryRequest(msgspec.Struct, frozen=True, tag=True):
    """Ask the leader for rows of the replicated state."""

    call_id: int
    text: str
    team: str = ''


class QueryReply(msgspec.Struct, frozen=True, tag=True):
    """Rows as encoded JSON, or an error."""

    call_id: int
    rows: bytes
    error: StepError | None = None
    leader: str = ''


class ChangeReplica(msgspec.Struct, frozen=True, tag=True):
    """Ask the leader to add, replace or remove a replica."""

    call_id: int
    name: str
    address: str
    is_removal: bool


class ConfigurationPull(msgspec.Struct, frozen=True, tag=True):
    """Ask for what changed in the configuration since a revision."""

    revision: int


class ConfigurationPush(msgspec.Struct, frozen=True, tag=True):
    """What changed in the configuration since a revision.

    Attributes:
        base_revision: The revision of the process that asked.
        changed: The revision in force and the items changed since.
    """

    base_revision: int
    changed: Configuration


class NodeStatus(msgspec.Struct, frozen=True, tag=True):
    """Heartbeat of any process to the control group."""

    name: str
    roles: tuple[str, ...]
    data_centre: str
    revision: int


class NodeStatusReply(msgspec.Struct, frozen=True, tag=True):
    """Answer of the leader, or of a follower that names the leader.

    Attributes:
        revision: Revision of the configuration there.
        leader: Name of the leader, empty if unknown.
        is_leader: Whether a confirmed leader answers.
        term: Latest term known there.
        members: The committed membership from a leader; from a follower at
            most the leader.
    """

    revision: int
    leader: str
    is_leader: bool
    term: int = 0
    members: tuple[Member, ...] = ()


class WorkerStatus(msgspec.Struct, frozen=True, tag=True):
    """Heartbeat of a guard to the leader about the tasks of its worker.

    Attributes:
        worker: The worker as the platform describes it.
        incarnation: Changes when the guard restarts.
        sent_at_s: Clock of the guard, echoed in the answer.
        reports: What happened to attempts and was not acknowledged yet.
        held: Attempts present on the worker, as task and attempt.
        used: Resources in use, as measured late by the platform.
        quick_slowdown: Answer time of the service beside its own best.
        is_reachable: Whether the platform answers for this worker.
    """

    worker: WorkerSpec
    incarnation: str
    sent_at_s: float
    reports: tuple[TaskReport, ...]
    held: tuple[tuple[str, int], ...]
    used: Resources
    quick_slowdown: float
    is_reachable: bool


class TaskOrder(msgspec.Struct, frozen=True, omit_defaults=True):
    """What the leader wants of one attempt.

    An attempt that the worker holds already needs no more than its key.

    Attributes:
        task_id: The task.
        attempt: Its fencing number.
        need: Resources to give it.
        kind: Kind of work.
        payload: Text for the worker.
        checkpoint: Where to resume, empty for the start.
        is_stop: Whether to checkpoint and stop it.
        is_throttled: Whether to slow it down.
        is_recorded: Whether its start is recorded already.
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
        term: Term of the leader; a guard never goes back to an earlier one.
        echoed_sent_at_s: Clock of the guard in the heartbeat; leases count
            from it, so that no delay on the way can lengthen them.
        lease_s: Length of the leases.
        orders: Every attempt that the worker should hold.
        settled: Attempts whose reports are recorded.
    """

    term: int
    echoed_sent_at_s: float
    lease_s: float
    orders: tuple[TaskOrder, ...]
    settled: tuple[tuple[str, int], ...]


class Poke(msgspec.Struct, frozen=True, tag=True):
    """Ask a guard to send its worker heartbeat at once."""


class Goodbye(msgspec.Struct, frozen=True, tag=True):
    """Say that a process has stopped in good order."""

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
