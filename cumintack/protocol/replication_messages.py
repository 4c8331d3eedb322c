"""Messages between the replicas of the control group.

All of them carry the term and the full member identifier of the receiver,
because a replica that lost its disk gets a new identifier and must not answer
messages to the old one.
"""

import msgspec


class Member(msgspec.Struct, frozen=True):
    """A replica of the control group.

    Attributes:
        member_id: ``name.generation``; an empty disk gets a new generation.
        name: Name of the process.
        address: Address on which it listens for links.
        is_voter: False while it is a learner that is catching up.
    """

    member_id: str
    name: str
    address: str
    is_voter: bool = True


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log.

    Attributes:
        index: Position in the log, starting at 1.
        term: Term of the leader that created it.
        payload: Encoded command, empty if there is none.
        members: Membership from this entry on, None if unchanged.
    """

    index: int
    term: int
    payload: bytes = b''
    members: tuple[Member, ...] | None = None


class HardState(msgspec.Struct, frozen=True):
    """State that must be synced before a vote or an answer is sent.

    Attributes:
        term: Latest known term.
        voted_for: Candidate voted for in this term, empty if none.
        member_id: Own identifier, empty on an empty disk.
        is_incomplete: Whether a corrupt last frame was truncated from the
            log, so that acknowledged entries may be missing.
    """

    term: int = 0
    voted_for: str = ''
    member_id: str = ''
    is_incomplete: bool = False


class Snapshot(msgspec.Struct, frozen=True):
    """The replicated state up to a log index."""

    last_index: int
    last_term: int
    members: tuple[Member, ...]
    encoded: bytes


class DurableState(msgspec.Struct, frozen=True):
    """State recovered from the disk of a replica.

    Attributes:
        hard: Term, vote and identifier.
        snapshot: The latest snapshot.
        entries: The log entries after the snapshot.
    """

    hard: HardState
    snapshot: Snapshot
    entries: list[LogEntry]


class VoteRequest(msgspec.Struct, frozen=True, tag=True):
    """Request for a vote.

    Attributes:
        is_trial: Whether this is a pre-vote, which asks only whether the vote
            would be granted.
        is_handover: Whether the leader transfers its leadership to the
            sender. Recent messages from that leader are then no reason for
            the receiver to refuse the vote.
    """

    term: int
    sender: str
    receiver: str
    last_index: int
    last_term: int
    is_trial: bool
    is_handover: bool = False


class Handover(msgspec.Struct, frozen=True, tag=True):
    """Leadership transfer: asks the receiver to start an election now."""

    term: int
    sender: str
    receiver: str


class VoteReply(msgspec.Struct, frozen=True, tag=True):
    """Answer to a vote request."""

    term: int
    sender: str
    receiver: str
    is_granted: bool
    is_trial: bool


class AppendRequest(msgspec.Struct, frozen=True, tag=True):
    """Entries to append after a previous one; a heartbeat if empty."""

    term: int
    sender: str
    receiver: str
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    round_number: int


class AppendReply(msgspec.Struct, frozen=True, tag=True):
    """Answer to an append request.

    Attributes:
        is_accepted: Whether the entries match the log.
        match_index: If accepted, the last index that matches the leader's
            log and is synced; otherwise an index from which to retry.
        round_number: Round number of the request.
    """

    term: int
    sender: str
    receiver: str
    is_accepted: bool
    match_index: int
    round_number: int


class SnapshotChunk(msgspec.Struct, frozen=True, tag=True):
    """Chunk of a snapshot, sent to a replica that is far behind."""

    term: int
    sender: str
    receiver: str
    last_index: int
    last_term: int
    members: tuple[Member, ...]
    offset: int
    total_bytes: int
    chunk: bytes
    round_number: int


class SnapshotReply(msgspec.Struct, frozen=True, tag=True):
    """Acknowledgement of the received bytes of a snapshot."""

    term: int
    sender: str
    receiver: str
    last_index: int
    next_offset: int
    round_number: int


class Invitation(msgspec.Struct, frozen=True, tag=True):
    """Assigns a replica with an empty disk the identifier it was added with."""

    term: int
    sender: str
    receiver: str


ReplicationMessage = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | Invitation
    | Handover
)
