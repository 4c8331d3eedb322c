"""Records of a replica: settings, Raft state and pending output."""

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
        heartbeat_s: Interval between the heartbeats of a leader.
        election_timeout_s: Minimum time without a leader before a replica
            starts an election; jitter is added to it.
        max_entries_per_append: Maximum entries in one append request.
        max_append_bytes: Maximum payload bytes in one append request.
        snapshot_chunk_bytes: Maximum bytes in one snapshot chunk.
        max_unsynced_entries: Maximum uncommitted entries in the log of a
            leader before it refuses proposals.
    """

    heartbeat_s: float = 0.1
    election_timeout_s: float = 0.6
    max_entries_per_append: int = 512
    max_append_bytes: int = 1048576
    snapshot_chunk_bytes: int = 262144
    max_unsynced_entries: int = 8192


class Progress(msgspec.Struct):
    """Replication progress of another member, as the leader knows it.

    Attributes:
        next_index: Index of the next entry to send.
        match_index: Last index known to be synced on the member.
        acked_round: Latest heartbeat round that it acknowledged.
        heard_at_s: Time of its last reply.
        is_probing: Whether ``next_index`` is an unconfirmed guess.
        snapshot_index: Last index of the snapshot being sent, 0 for none.
        snapshot_offset: Bytes of that snapshot acknowledged so far.
        sent_at_s: Time at which entries or a chunk were last sent.
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
    """A linearizable read waiting for a quorum to confirm the leader."""

    read_id: int
    round_number: int
    index: int


class Ready(msgspec.Struct):
    """Output for the driver to process, in the order of the fields.

    Attributes:
        early_messages: Messages to send immediately, before the write.
        hard_state: Hard state to write, None if unchanged.
        snapshot: Received snapshot to write and install, None if none.
        entries: Entries to write; they overwrite the log from the index of
            the first one on.
        messages: Messages to send after all of the above is synced.
        reads: Reads that may be answered from the applied state.
        failed_reads: Reads to refuse because leadership was lost.
    """

    early_messages: list[ReplicationMessage] = []
    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    entries: list[LogEntry] = []
    messages: list[ReplicationMessage] = []
    reads: list[int] = []
    failed_reads: list[int] = []


class Replica(msgspec.Struct):
    """State of one replica, modified in place by this package.

    Attributes:
        settings: Timing and limits.
        hard: Term, vote and member identifier.
        snapshot: The latest snapshot; the log starts after it.
        entries: The log entries after the snapshot.
        members: The membership in force, set by the latest log entry that
            carries one, even if it is not committed.
        role: The role in this term.
        leader_id: The leader of this term, empty if unknown.
        commit_index: Last index known to be committed.
        delivered_index: Last index returned to the driver for application.
        synced_index: Last index synced to the disk of this replica.
        election_at_s: When to start an election unless a leader is heard.
        leader_heard_at_s: When a message from a leader last arrived.
        quorum_heard_at_s: When this leader last had replies from a quorum.
        votes: Members that granted the vote or the pre-vote.
        progress: Replication progress by member, on a leader.
        round_number: Number of the latest heartbeat round.
        heartbeat_at_s: When the next heartbeat is due.
        term_start_index: Index of the first entry of the leader's term.
        reads: Reads waiting for a heartbeat round to be confirmed.
        incoming: Received bytes of a partial snapshot.
        incoming_index: Last index of that snapshot.
        handover_until_s: End of the period in which a leader refuses
            commands because it is transferring leadership.
        stuck_since_s: Start of the current disk stall, None while writes
            succeed.
        ready: Output collected since the driver last took it.
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
