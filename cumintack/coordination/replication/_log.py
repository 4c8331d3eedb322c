"""Arithmetic over the log of a replica: entries after a snapshot."""

from cumintack.coordination.replication._records import Replica
from cumintack.protocol.replication_messages import LogEntry, Member


def get_last_index(replica: Replica) -> int:
    """Get the index of the last entry.

    Args:
        replica: The replica.

    Returns:
        The index, that of the snapshot if the log is empty.
    """
    return replica.snapshot.last_index + len(replica.entries)


def get_term_at(replica: Replica, index: int) -> int | None:
    """Get the term of the entry at an index.

    Args:
        replica: The replica.
        index: The index.

    Returns:
        The term, or None if the entry is not there any more or not yet.
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
        The term.
    """
    if replica.entries:
        return replica.entries[-1].term
    return replica.snapshot.last_term


def get_slice(
    replica: Replica,
    first_index: int,
    last_index: int,
) -> list[LogEntry]:
    """Get entries by index, both ends included.

    Args:
        replica: The replica.
        first_index: Index of the first entry.
        last_index: Index of the last entry.

    Returns:
        The entries that are there.
    """
    base = replica.snapshot.last_index
    return replica.entries[first_index - base - 1 : last_index - base]


def append(replica: Replica, entries: list[LogEntry]) -> None:
    """Append entries in memory and note them for the disk.

    Args:
        replica: The replica.
        entries: Entries that follow the last one.
    """
    replica.entries.extend(entries)
    replica.ready.entries.extend(entries)
    for entry in entries:
        if entry.members is not None:
            replica.members = entry.members


def truncate_from(replica: Replica, index: int) -> None:
    """Cut off entries that a leader of a later term replaced.

    Args:
        replica: The replica.
        index: Index of the first entry to cut off.
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
        The membership of the last entry with one, else of the snapshot.
    """
    for entry in reversed(replica.entries):
        if entry.members is not None:
            return entry.members
    return replica.snapshot.members


def get_member(replica: Replica, member_id: str) -> Member | None:
    """Get a member by its identifier.

    Args:
        replica: The replica.
        member_id: The full identifier.

    Returns:
        The member, or None.
    """
    for member in replica.members:
        if member.member_id == member_id:
            return member
    return None


def is_voter(replica: Replica) -> bool:
    """Tell whether a replica itself may vote and lead.

    Args:
        replica: The replica.

    Returns:
        True for a voting member.
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
        More than half of the voters.
    """
    return len(get_voters(replica)) // 2 + 1
