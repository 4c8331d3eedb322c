"""Records of a replica: what is durable, what is volatile, what to do."""

import enum

import msgspec

from cumintack.protocol.replication_messages import (
    HardState,
    LogEntry,
    Member,
    ReplicationMessage,
    Snapshot,
)


class Role(enum.Enum):
    """Role of a replica within the current term."""

    follower = 'follower'
    pre_candidate = 'trial-candidate'
    candidate = 'candidate'
    leader = 'leader'


class ReplicaSettings(msgspec.Struct, frozen=True):
    """Timing and limits of replication.

    Attributes:
        heartbeat_s: Interval of the heartbeats of a leader.
        election_timeout_s: Shortest silence after which a replica stands.
        max_entries_per_append: Entries in one append request.
        max_append_bytes: Payload bytes in one append request.
        snapshot_chunk_bytes: Bytes in one snapshot chunk.
        max_unsynced_entries: Proposals accepted before one is committed.
    """

    heartbeat_s: float = 0.1
    election_timeout_s: float = 0.6
    max_entries_per_append: int = 512
    max_append_bytes: int = 1048576
    snapshot_chunk_bytes: int = 262144
    max_unsynced_entries: int = 8192


class Progress(msgspec.Struct):
    """What a leader knows of another member.

    Attributes:
        next_index: Index of the next entry to send.
        match_index: Last index known to be synced there.
        acked_round: Latest round that it answered.
        heard_at_s: When it last answered.
        is_probing: Whether ``next_index`` is a guess still to be confirmed.
        snapshot_index: Last index of the snapshot being sent, 0 for none.
        snapshot_offset: Bytes of it that have arrived.
        sent_at_s: When entries or a chunk were last sent.
    """

    next_index: int
    match_index: int = 0
    acked_round: int = 0
    heard_at_s: float = 0
    is_probing: bool = True
    snapshot_index: int = 0
    snapshot_offset: int = 0
    sent_at_s: float = 0


class PendingRead(msgspec.Struct, frozen=True):
    """A read that waits until a quorum confirms the leader."""

    read_id: int
    round_number: int
    index: int


class Ready(msgspec.Struct):
    """What the driver has to do, in the order of the fields.

    Attributes:
        early_messages: To send at once, beside the write.
        hard_state: To write, if it changed.
        snapshot: A received snapshot to write and install, if any.
        entries: To write; they replace all from the first one's index on.
        messages: To send once all of the above is synced.
        reads: Reads that may be answered from the applied state.
        failed_reads: Reads to refuse, because leadership is uncertain.
    """

    early_messages: list[ReplicationMessage] = []
    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    entries: list[LogEntry] = []
    messages: list[ReplicationMessage] = []
    reads: list[int] = []
    failed_reads: list[int] = []


class Replica(msgspec.Struct):
    """State of one replica, changed in place by the functions beside it.

    Attributes:
        settings: Timing and limits.
        hard: Term, vote and identifier.
        snapshot: The latest snapshot that the log starts after.
        entries: The log after the snapshot.
        members: The membership in force: that of the last entry with one.
        role: The role in this term.
        leader_id: The leader of this term, empty if unknown.
        commit_index: Last index known to be committed.
        delivered_index: Last index handed out to be applied.
        synced_index: Last index synced to the disk of this replica.
        election_at_s: When to stand if no leader is heard.
        leader_heard_at_s: When a leader was last heard.
        quorum_heard_at_s: When a leader last had a quorum of answers.
        votes: Who granted the vote or the trial vote.
        progress: Per member, for a leader.
        round_number: Number of the latest round of heartbeats.
        heartbeat_at_s: When the next heartbeat is due.
        term_start_index: Index of the first entry of the leader's term.
        reads: Reads that wait.
        incoming: Chunks of a snapshot being received.
        incoming_index: The last index of that snapshot.
        handover_until_s: Until when a leader that stops takes no commands.
        stuck_since_s: Since when the disk has taken nothing, None if it does.
        ready: What was decided since the driver last asked.
        jitter_state: State of the pseudo-random election jitter.
    """

    settings: ReplicaSettings
    hard: HardState
    snapshot: Snapshot
    entries: list[LogEntry]
    members: tuple[Member, ...]
    jitter_state: int
    role: Role = Role.follower
    leader_id: str = ''
    commit_index: int = 0
    delivered_index: int = 0
    synced_index: int = 0
    election_at_s: float = 0
    leader_heard_at_s: float = float('-inf')
    quorum_heard_at_s: float = 0
    votes: set[str] = set()
    progress: dict[str, Progress] = {}
    round_number: int = 0
    heartbeat_at_s: float = 0
    term_start_index: int = 0
    reads: list[PendingRead] = []
    incoming: bytearray = msgspec.field(default_factory=bytearray)
    incoming_index: int = 0
    handover_until_s: float = float('-inf')
    stuck_since_s: float | None = None
    ready: Ready = msgspec.field(default_factory=Ready)
