"""Messages among the replicas of the control group.

All carry the term and the full member identifier of the receiver: a replica
that lost its disk has a new identifier and must not answer for the old one.
"""

import msgspec


class Member(msgspec.Struct, frozen=True):
    """A replica of the control group.

    Attributes:
        member_id: ``name.generation``; a new disk means a new generation.
        name: Name of the process.
        address: Where its link listens.
        is_voter: False while it is a learner that catches up.
    """

    member_id: str
    name: str
    address: str
    is_voter: bool = True


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log.

    Attributes:
        index: Position, starting at 1.
        term: Term of the leader that made it.
        payload: An encoded command; empty for an entry without one.
        members: The membership from this entry on, if it changes it.
    """

    index: int
    term: int
    payload: bytes = b''
    members: tuple[Member, ...] | None = None


class HardState(msgspec.Struct, frozen=True):
    """What must be synced before a vote or an answer leaves.

    Attributes:
        term: Latest term known.
        voted_for: Who got the vote in it, empty for nobody.
        member_id: Own identifier, empty on a blank disk.
        is_incomplete: Whether a bad last frame was cut off the log, so that
            acknowledged entries may be missing.
    """

    term: int = 0
    voted_for: str = ''
    member_id: str = ''
    is_incomplete: bool = False


class Snapshot(msgspec.Struct, frozen=True):
    """The state up to an index."""

    last_index: int
    last_term: int
    members: tuple[Member, ...]
    encoded: bytes


class DurableState(msgspec.Struct, frozen=True):
    """What the disk of a replica holds.

    Attributes:
        hard: Term, vote and identifier.
        snapshot: The snapshot that the log starts after.
        entries: The entries after it.
    """

    hard: HardState
    snapshot: Snapshot
    entries: list[LogEntry]


class VoteRequest(msgspec.Struct, frozen=True, tag=True):
    """Ask for a vote, or with ``is_trial`` whether one would be given.

    Attributes:
        is_handover: Whether the leader itself asked the sender to stand, so
            that hearing from that leader is no reason to refuse.
    """

    term: int
    sender: str
    receiver: str
    last_index: int
    last_term: int
    is_trial: bool
    is_handover: bool = False


class Handover(msgspec.Struct, frozen=True, tag=True):
    """A leader that stops asks the receiver to stand at once."""

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
    """Entries after a known one; without entries it is a heartbeat."""

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
        is_accepted: Whether the entries fit the log.
        match_index: Last index known to be equal and synced, if accepted;
            otherwise an index from which to try again.
        round_number: The round of the request.
    """

    term: int
    sender: str
    receiver: str
    is_accepted: bool
    match_index: int
    round_number: int


class SnapshotChunk(msgspec.Struct, frozen=True, tag=True):
    """One chunk of a snapshot for a replica that is far behind."""

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
    """How much of a snapshot has arrived."""

    term: int
    sender: str
    receiver: str
    last_index: int
    next_offset: int
    round_number: int


class Invitation(msgspec.Struct, frozen=True, tag=True):
    """Give a blank replica the identifier under which it was added."""

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
