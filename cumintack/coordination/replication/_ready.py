"""Batches of output that a driver takes from a replica.

The driver writes and syncs a batch, reports the sync, then sends messages and
applies entries. A leader sends entries to its followers before its own sync;
messages that acknowledge durable state are sent only after it.
"""

from cumintack.coordination.replication import _leader, _log
from cumintack.coordination.replication._records import (
    Ready,
    Replica,
    Role,
)
from cumintack.protocol.replication_messages import LogEntry, Snapshot


def take_ready_batch(replica: Replica, now_s: float) -> Ready:
    """Take the output collected since the last call.

    Args:
        replica: The replica.
        now_s: Current monotonic time in seconds.

    Returns:
        The batch.
    """
    if replica.role is Role.leader:
        for member_id, progress in replica.progress.items():
            if not progress.is_probing:
                _leader.send_to(replica, member_id, now_s)
    ready = replica.ready
    replica.ready = Ready()
    return ready


def mark_persisted(replica: Replica, ready: Ready, now_s: float) -> None:
    """Record that a batch is synced.

    Args:
        replica: The replica.
        ready: The batch that was written and synced.
        now_s: Current monotonic time in seconds.
    """
    if ready.entries:
        last = ready.entries[-1]
        if _log.get_term_at(replica, last.index) == last.term:
            replica.synced_index = max(replica.synced_index, last.index)
    if replica.role is Role.leader:
        _leader.advance_commit(replica, now_s)


def take_committed_entries(replica: Replica) -> list[LogEntry]:
    """Take the entries committed since the last call.

    Entries that a quorum has synced may be applied even while the disk of
    this replica is full, because the applied state is only in memory.

    Args:
        replica: The replica.

    Returns:
        The entries to apply, in order.
    """
    committed_entries = _log.get_slice(
        replica,
        replica.delivered_index + 1,
        replica.commit_index,
    )
    replica.delivered_index = replica.commit_index
    return committed_entries


def create_snapshot(
    replica: Replica, encoded: bytes, index: int
) -> Snapshot | None:
    """Create a snapshot that can replace the log up to an applied index.

    Args:
        replica: The replica.
        encoded: The encoded state as of that index.
        index: Last index contained in the snapshot.

    Returns:
        The snapshot, None if the replica has one up to that index.
    """
    term = _log.get_term_at(replica, index)
    if term is None or index <= replica.snapshot.last_index:
        return None
    members = replica.snapshot.members
    dropped_count = index - replica.snapshot.last_index
    for entry in replica.entries[:dropped_count]:
        if entry.members is not None:
            members = entry.members
    return Snapshot(index, term, members, encoded)


def adopt_snapshot(replica: Replica, snapshot: Snapshot) -> None:
    """Replace the log up to the end of a snapshot that is on the disk.

    Args:
        replica: The replica.
        snapshot: The snapshot.
    """
    dropped_count = snapshot.last_index - replica.snapshot.last_index
    del replica.entries[:dropped_count]
    replica.snapshot = snapshot
    for progress in replica.progress.values():
        progress.snapshot_index = 0
        progress.snapshot_offset = 0
