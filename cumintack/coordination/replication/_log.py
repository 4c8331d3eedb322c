"""Index lookups and edits of a replica's log, which follows a snapshot."""

from cumintack.coordination.replication._records import Replica
from cumintack.protocol.replication_messages import LogEntry, Member


def get_last_index(replica: Replica) -> int:
    """Get the index of the last entry.

    Args:
        replica: The replica.

    Returns:
        The index; that of the snapshot if the log is empty.
    """
    return replica.snapshot.last_index + len(replica.entries)


def get_term_at(replica: Replica, index: int) -> int | None:
    """Get the term of the entry at an index.

    Args:
        replica: The replica.
        index: The index.

    Returns:
        The term, or None if the entry was compacted or does not exist yet.
    """
    base = replica.snapshot.last_index
    if index == base:
        return replica.snapshot.last_term
    if index < base or index > get_last_index(replica):
        return None
    return replica.entries[index - base - 1].term


def get_last_term(replica: Replica) -> int:
    """Get the term of the last entry.

    Args:
        replica: The replica.

    Returns:
        The term; that of the snapshot if the log is empty.
    """
    if replica.entries:
        return replica.entries[-1].term
    return replica.snapshot.last_term


def get_slice(
    replica: Replica,
    first_index: int,
    last_index: int,
) -> list[LogEntry]:
    """Get the entries of an index range, both ends included.

    Args:
        replica: The replica.
        first_index: Index of the first entry.
        last_index: Index of the last entry.

    Returns:
        The entries of the range that exist.
    """
    base = replica.snapshot.last_index
    return replica.entries[first_index - base - 1 : last_index - base]


def append(replica: Replica, entries: list[LogEntry]) -> None:
    """Append entries in memory and schedule them to be written.

    Args:
        replica: The replica.
        entries: Entries that directly follow the last one.
    """
    replica.entries.extend(entries)
    replica.ready.entries.extend(entries)
    for entry in entries:
        if entry.members is not None:
            replica.members = entry.members


def truncate_from(replica: Replica, index: int) -> None:
    """Remove entries that conflict with those of a later leader.

    Args:
        replica: The replica.
        index: Index of the first entry to remove.
    """
    base = replica.snapshot.last_index
    del replica.entries[index - base - 1 :]
    ready = replica.ready
    ready.entries = [entry for entry in ready.entries if entry.index < index]
    replica.synced_index = min(replica.synced_index, index - 1)
    replica.members = compute_members(replica)


def compute_members(replica: Replica) -> tuple[Member, ...]:
    """Compute the membership in force from the log.

    Args:
        replica: The replica.

    Returns:
        The membership of the last entry that carries one, else that of the
        snapshot.
    """
    for entry in reversed(replica.entries):
        if entry.members is not None:
            return entry.members
    return replica.snapshot.members


def get_member(replica: Replica, member_id: str) -> Member | None:
    """Get a member by its identifier.

    Args:
        replica: The replica.
        member_id: The identifier, ``name.generation``.

    Returns:
        The member, or None if there is none.
    """
    for member in replica.members:
        if member.member_id == member_id:
            return member
    return None


def is_voter(replica: Replica) -> bool:
    """Check whether a replica is itself a voting member.

    Args:
        replica: The replica.

    Returns:
        True if it may vote and lead.
    """
    member = get_member(replica, replica.hard.member_id)
    return member is not None and member.is_voter


def get_voters(replica: Replica) -> list[Member]:
    """Get the voting members.

    Args:
        replica: The replica.

    Returns:
        The voters, this replica included if it is one.
    """
    return [member for member in replica.members if member.is_voter]


def compute_quorum(replica: Replica) -> int:
    """Compute the number of voters that make a quorum.

    Args:
        replica: The replica.

    Returns:
        The smallest majority of the voters.
    """
    return len(get_voters(replica)) // 2 + 1
