"""The processing cycle of a replica: write, sync, send, apply.

The cycle is independent of the process around it, so that tests run the
production code over a failing disk and a lossy network.
"""

from collections.abc import Callable
from typing import Protocol

import msgspec

from cumintack.coordination.replication import _ready
from cumintack.coordination.replication._records import Ready, Replica
from cumintack.protocol.replication_messages import (
    HardState,
    LogEntry,
    ReplicationMessage,
    Snapshot,
)

Sender = Callable[[list[ReplicationMessage]], None]


class Storage(Protocol):
    """Durable files of a replica."""

    def write_hard_state(self, hard: HardState) -> None:
        """Write and sync the term, the vote and the member identifier."""

    def write_snapshot(
        self,
        snapshot: Snapshot,
        entries: list[LogEntry],
    ) -> None:
        """Write and sync a snapshot and the log after it."""

    def append(self, entries: list[LogEntry]) -> None:
        """Write entries, overwriting the log from the first one's index on."""

    def sync(self) -> None:
        """Make all appended entries durable."""


class CompactionLimits(msgspec.Struct, frozen=True):
    """Size of a log at which a snapshot replaces it.

    Attributes:
        entries: Applied entries.
        log_bytes: Bytes that were added to its file.
    """

    entries: int
    log_bytes: int


class CycleResult(msgspec.Struct):
    """Output of a cycle for the process to handle.

    Attributes:
        installed_snapshot: Received snapshot to load before entries are
            applied, None if none.
        committed_entries: Entries to apply, in order.
        reads: Reads to answer from the applied state.
        failed_reads: Reads to refuse.
        error: Error of a failed disk write, empty if all writes succeeded.
    """

    installed_snapshot: Snapshot | None = None
    committed_entries: list[LogEntry] = []
    reads: list[int] = []
    failed_reads: list[int] = []
    error: str = ''


class PendingWrites(msgspec.Struct):
    """Batches that are not written to disk yet, oldest first."""

    batches: list[Ready] = []


def run_cycle(
    replica: Replica,
    pending_writes: PendingWrites,
    storage: Storage,
    send: Sender,
    now_s: float,
) -> CycleResult:
    """Run one cycle.

    While the disk refuses writes, no message that acknowledges durable state
    is sent, but entries that a quorum has committed are still applied and
    reads are still answered.

    Args:
        replica: The replica.
        pending_writes: Batches not written yet, modified in place.
        storage: The durable files.
        send: Sends messages.
        now_s: Current monotonic time in seconds.

    Returns:
        Output for the process to handle.
    """
    ready = _ready.take_ready_batch(replica, now_s)
    result = CycleResult(reads=ready.reads, failed_reads=ready.failed_reads)
    send(ready.early_messages)
    if ready.messages or _needs_write(ready):
        pending_writes.batches.append(ready)
    while pending_writes.batches and not result.error:
        _write_oldest_batch(replica, pending_writes, storage, result)
        if not result.error:
            batch = pending_writes.batches.pop(0)
            _ready.mark_persisted(replica, batch, now_s)
            send(batch.messages)
    if not pending_writes.batches:
        replica.stuck_since_s = None
    elif replica.stuck_since_s is None:
        replica.stuck_since_s = now_s
    result.committed_entries = _ready.take_committed_entries(replica)
    return result


def _needs_write(ready: Ready) -> bool:
    has_snapshot = ready.snapshot is not None
    return bool(ready.hard_state or ready.entries) or has_snapshot


def _write_oldest_batch(
    replica: Replica,
    pending_writes: PendingWrites,
    storage: Storage,
    result: CycleResult,
) -> None:
    batch = pending_writes.batches[0]
    try:
        if batch.hard_state is not None:
            storage.write_hard_state(batch.hard_state)
        if batch.snapshot is not None:
            storage.write_snapshot(batch.snapshot, [])
            result.installed_snapshot = batch.snapshot
        if batch.entries:
            storage.append(batch.entries)
            storage.sync()
    except OSError as error:
        result.error = str(error)


def compact(
    replica: Replica,
    storage: Storage,
    encoded: bytes,
    applied_index: int,
) -> None:
    """Write a snapshot of the applied state and drop the log before it.

    Args:
        replica: The replica; unchanged if the write fails.
        storage: The durable files.
        encoded: The encoded state.
        applied_index: Last index contained in it.

    Raises:
        OSError: If the write fails, for example because the disk is full.
    """
    snapshot = _ready.create_snapshot(replica, encoded, applied_index)
    if snapshot is None:
        return
    kept_from = applied_index - replica.snapshot.last_index
    storage.write_snapshot(snapshot, replica.entries[kept_from:])
    _ready.adopt_snapshot(replica, snapshot)


def is_compaction_due(
    replica: Replica,
    limits: CompactionLimits,
    applied_index: int,
    log_growth_bytes: int,
) -> bool:
    """Tell whether the log has grown enough for a snapshot.

    Writing a snapshot costs time for the whole state, so the log may grow to
    the size of the previous one.

    Args:
        replica: The replica.
        limits: The limits of the log.
        applied_index: Index of the last applied entry.
        log_growth_bytes: Bytes added to the log since the last snapshot.

    Returns:
        Whether to write a snapshot of the applied state.
    """
    applied_count = applied_index - replica.snapshot.last_index
    allowed_bytes = max(limits.log_bytes, len(replica.snapshot.encoded))
    return applied_count > 0 and (
        applied_count >= limits.entries or log_growth_bytes >= allowed_bytes
    )
