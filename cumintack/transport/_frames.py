"""Frames and records with checksums, stored in files."""

import os
import pathlib
import struct
import zlib
from typing import TypeVar

import msgspec

from cumintack.protocol.replication_messages import LogEntry
from cumintack.state.errors import ErrorCode, StepError

HEADER = struct.Struct('<4sII')
FRAME_MAGIC = b'CTF1'
RECOVER_STEP = 'journal.recover'
NEW_SUFFIX = '.new'
FILE_MODE = 0o600

_DECODER = msgspec.msgpack.Decoder(list[LogEntry])
Record = TypeVar('Record')


class FatalDiskError(Exception):
    """A sync failed, so that the contents of the disk are unknown."""


class FrameScan(msgspec.Struct):
    """Result of reading a log file.

    Attributes:
        frames: Entries of each valid frame.
        size: Bytes up to the end of the last valid frame.
        has_torn_write: Whether it is followed by a torn write, which must be
            truncated.
        error: Corruption that can't be a torn write, None if there is none.
    """

    frames: list[list[LogEntry]] = []
    size: int = 0
    has_torn_write: bool = False
    error: StepError | None = None


def encode_frame(entries: list[LogEntry]) -> bytes:
    """Encode entries as one frame.

    Args:
        entries: The entries.

    Returns:
        The frame: header and body.
    """
    return _encode_body(msgspec.msgpack.encode(entries))


def _encode_body(body: bytes) -> bytes:
    return HEADER.pack(FRAME_MAGIC, len(body), zlib.crc32(body)) + body


def _decode_body(encoded: bytes, offset: int) -> bytes | None:
    if len(encoded) - offset < HEADER.size:
        return None
    magic, size, checksum = HEADER.unpack_from(encoded, offset)
    start = offset + HEADER.size
    body = encoded[start : start + size]
    is_complete = magic == FRAME_MAGIC and len(body) == size
    if not is_complete or zlib.crc32(body) != checksum:
        return None
    return body


def scan_frames(path: pathlib.Path) -> FrameScan:
    """Read the frames of a log file.

    Args:
        path: The file; a missing file is treated as empty.

    Returns:
        The valid frames, and whether invalid bytes follow them.
    """
    scan = FrameScan()
    encoded = path.read_bytes() if path.exists() else b''
    while scan.size < len(encoded):
        body = _decode_body(encoded, scan.size)
        if body is None:
            _check_tail(scan, encoded, path)
            return scan
        scan.frames.append(_DECODER.decode(body))
        scan.size += HEADER.size + len(body)
    return scan


def _check_tail(scan: FrameScan, encoded: bytes, path: pathlib.Path) -> None:
    position = encoded.find(FRAME_MAGIC, scan.size + 1)
    while position >= 0:
        if _decode_body(encoded, position) is not None:
            scan.error = StepError(
                ErrorCode.corrupt,
                RECOVER_STEP,
                str(path),
                f'bad frame at offset {scan.size}, good frame at {position}',
            )
            return
        position = encoded.find(FRAME_MAGIC, position + 1)
    scan.has_torn_write = True


def write_at(descriptor: int, encoded: bytes, offset: int) -> None:
    """Write all bytes at an offset.

    Args:
        descriptor: The open file.
        encoded: The bytes to write.
        offset: Offset of the first byte.

    Raises:
        OSError: If the write fails, for example because the disk is full.
    """
    written = 0
    while written < len(encoded):
        written += os.pwrite(descriptor, encoded[written:], offset + written)


def replace_file(path: pathlib.Path, encoded: bytes) -> None:
    """Replace a file atomically.

    The new file is synced before it is renamed, and its folder afterwards.

    Args:
        path: The file.
        encoded: Its new contents.

    Raises:
        OSError: If the write fails, for example because the disk is full;
            the file is left unchanged.
    """
    new_path = path.with_suffix(NEW_SUFFIX)
    descriptor = os.open(
        new_path,
        os.O_WRONLY | os.O_CREAT | os.O_TRUNC,
        FILE_MODE,
    )
    try:
        write_at(descriptor, encoded, 0)
        sync_descriptor(descriptor)
    except OSError:
        # What was written would take the space that the next attempt needs.
        new_path.unlink(missing_ok=True)
        raise
    finally:
        os.close(descriptor)
    new_path.replace(path)
    sync_folder(path.parent)


def sync_descriptor(descriptor: int) -> None:
    """Sync the contents of a file to the disk.

    Args:
        descriptor: The open file.

    Raises:
        FatalDiskError: If the sync fails; the process must stop.
    """
    try:
        os.fdatasync(descriptor)
    except OSError as error:
        raise FatalDiskError(str(error)) from error


def sync_folder(folder: pathlib.Path) -> None:
    """Sync the renamed and new files of a folder to the disk.

    Args:
        folder: The folder.
    """
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        sync_descriptor(descriptor)
    finally:
        os.close(descriptor)


def write_record(path: pathlib.Path, record: msgspec.Struct) -> None:
    """Write a file that contains one record, atomically.

    Args:
        path: The file.
        record: The record.
    """
    replace_file(path, _encode_body(msgspec.msgpack.encode(record)))


def read_record(
    path: pathlib.Path,
    kind: type[Record],
    default: Record,
) -> Record | StepError:
    """Read a file that contains one record.

    Args:
        path: The file.
        kind: Type of the record.
        default: Record returned if the file is missing.

    Returns:
        The record, or an error that names the file.
    """
    if not path.exists():
        return default
    body = _decode_body(path.read_bytes(), 0)
    if body is None:
        return StepError(
            ErrorCode.corrupt,
            RECOVER_STEP,
            str(path),
            'bad checksum at offset 0',
        )
    return msgspec.msgpack.decode(body, type=kind)
