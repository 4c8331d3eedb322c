"""Durable state of a control replica, stored in files of its data folder.

A frame contains all entries of one write under one checksum, and the next
frame is written only after the previous one is synced. An invalid frame that
is followed by a valid one was therefore synced before, so it is corruption
and an error. Only an invalid last frame can be a torn write, and only it is
truncated. Because the last frame may also have been corrupted after it was
acknowledged, the truncation is recorded, and the replica takes no part in
elections until a leader has replicated the missing entries to it.
"""

import os
import pathlib

from result import Err, Ok, Result

from cumintack.protocol.replication_messages import (
    DurableState,
    HardState,
    LogEntry,
    Member,
    Snapshot,
)
from cumintack.state.errors import ErrorCode, StepError
from cumintack.transport import _frames
from cumintack.transport._frames import FatalDiskError

HARD_STATE_NAME = 'hard-state'
SNAPSHOT_NAME = 'snapshot'
LOG_NAME = 'log'

__all__ = ('FatalDiskError', 'Journal')


class Journal:
    """Writes and recovers the durable state of one replica."""

    __slots__ = (
        '_compacted_size',
        '_descriptor',
        '_folder',
        '_is_sync_trusted',
        '_size',
    )

    def __init__(
        self,
        folder: pathlib.Path,
        *,
        is_sync_trusted: bool = False,
    ) -> None:
        """Open a data folder, creating it if missing.

        If ``is_sync_trusted``, the disk is known to keep all synced data. A
        torn last frame was then never acknowledged, and truncating it loses
        nothing.
        """
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        self._is_sync_trusted = is_sync_trusted
        self._descriptor = -1
        self._size = 0
        # Size of the log when it was last replaced, 0 for one that was found.
        self._compacted_size = 0

    def is_empty(self) -> bool:
        """Return whether the folder contains no replica yet."""
        return not (self._folder / HARD_STATE_NAME).exists()

    def bootstrap(self, member_id: str, members: tuple[Member, ...]) -> None:
        """Write the initial durable state of a new control group."""
        self.write_snapshot(Snapshot(0, 0, members, b''), [])
        self.write_hard_state(HardState(0, '', member_id))

    def wipe(self) -> None:
        """Delete all files, so that a removed member can join again."""
        self.close()
        for name in (HARD_STATE_NAME, SNAPSHOT_NAME, LOG_NAME):
            (self._folder / name).unlink(missing_ok=True)
        _frames.sync_folder(self._folder)

    def recover(self) -> Result[DurableState, StepError]:
        """Read the durable state and open the log for appending.

        Returns:
            The durable state, or an error with the file and the offset.
        """
        hard = _frames.read_record(
            self._folder / HARD_STATE_NAME,
            HardState,
            HardState(),
        )
        if isinstance(hard, StepError):
            return Err(hard)
        snapshot = _frames.read_record(
            self._folder / SNAPSHOT_NAME,
            Snapshot,
            Snapshot(0, 0, (), b''),
        )
        if isinstance(snapshot, StepError):
            return Err(snapshot)
        return self._recover_log(hard, snapshot)

    def _recover_log(
        self,
        hard: HardState,
        snapshot: Snapshot,
    ) -> Result[DurableState, StepError]:
        path = self._folder / LOG_NAME
        scan = _frames.scan_frames(path)
        if scan.error is not None:
            return Err(scan.error)
        entries: list[LogEntry] = []
        for frame in scan.frames:
            first = frame[0].index
            entries = [entry for entry in entries if entry.index < first]
            entries.extend(frame)
        entries = _drop_superseded(entries, snapshot)
        if entries and entries[0].index != snapshot.last_index + 1:
            return Err(
                StepError(
                    ErrorCode.corrupt,
                    'journal.recover',
                    str(path),
                    f'the log starts at index {entries[0].index}, '
                    f'the snapshot ends at index {snapshot.last_index}',
                ),
            )
        self._open(scan.size)
        self._compacted_size = 0
        if scan.has_torn_write:
            if not self._is_sync_trusted:
                hard = HardState(
                    hard.term,
                    hard.voted_for,
                    hard.member_id,
                    is_incomplete=True,
                )
                self.write_hard_state(hard)
            os.ftruncate(self._descriptor, scan.size)
            self.sync()
        return Ok(DurableState(hard, snapshot, entries))

    def _open(self, size: int) -> None:
        if self._descriptor >= 0:
            os.close(self._descriptor)
        self._descriptor = os.open(
            self._folder / LOG_NAME,
            os.O_RDWR | os.O_CREAT,
            _frames.FILE_MODE,
        )
        self._size = size
        _frames.sync_folder(self._folder)

    def get_log_bytes(self) -> int:
        """Return the size of the log file."""
        return self._size

    def get_growth_bytes(self) -> int:
        """Return how many bytes the log has grown since the last snapshot."""
        return self._size - self._compacted_size

    def write_hard_state(self, hard: HardState) -> None:
        """Write and sync term, vote and identifier."""
        _frames.write_record(self._folder / HARD_STATE_NAME, hard)

    def append(self, entries: list[LogEntry]) -> None:
        """Append entries as one frame; they are durable only after ``sync``.

        Entries that replace earlier ones are appended without truncating the
        file: on recovery, a frame replaces all earlier entries from its first
        index on.

        Raises:
            OSError: If the write fails, for example because the disk is full;
                the file is left unchanged.
        """
        frame = _frames.encode_frame(entries)
        try:
            _frames.write_at(self._descriptor, frame, self._size)
        except OSError:
            os.ftruncate(self._descriptor, self._size)
            raise
        self._size += len(frame)

    def sync(self) -> None:
        """Sync all appended entries to the disk.

        Raises:
            FatalDiskError: If the sync fails; the process must stop.
        """
        _frames.sync_descriptor(self._descriptor)

    def write_snapshot(
        self,
        snapshot: Snapshot,
        entries: list[LogEntry],
    ) -> None:
        """Write a snapshot and start a new log with the entries after it."""
        _frames.write_record(self._folder / SNAPSHOT_NAME, snapshot)
        path = self._folder / LOG_NAME
        frame = _frames.encode_frame(entries) if entries else b''
        _frames.replace_file(path, frame)
        self._open(len(frame))
        self._compacted_size = self._size

    def close(self) -> None:
        """Close the log file."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1


def _drop_superseded(
    entries: list[LogEntry],
    snapshot: Snapshot,
) -> list[LogEntry]:
    """Drop the entries that the snapshot covers or that conflict with it.

    A crash after a received snapshot is written and before the new log is
    leaves the old log in place. If the old log has an entry of another term
    at the last index of the snapshot, its later entries belong to a different
    history, and all entries are dropped.
    """
    is_replaced = any(
        entry.index == snapshot.last_index and entry.term != snapshot.last_term
        for entry in entries
    )
    if is_replaced:
        return []
    return [later for later in entries if later.index > snapshot.last_index]
