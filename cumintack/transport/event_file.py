"""File of events, from which the timeline of a crashed process is read."""

import os
import pathlib

import msgspec

from cumintack.state.events import Event
from cumintack.transport._frames import FILE_MODE


class EventFile:
    """Appends events as JSON lines, without buffering in the process."""

    __slots__ = ('_descriptor',)

    def __init__(self, path: pathlib.Path) -> None:
        """Open the file for appending, creating it if missing."""
        path.parent.mkdir(parents=True, exist_ok=True)
        self._descriptor = os.open(
            path,
            os.O_WRONLY | os.O_CREAT | os.O_APPEND,
            FILE_MODE,
        )

    def append(self, event: Event) -> None:
        """Append one event; if the disk is full, the event is dropped."""
        line = bytearray(msgspec.json.encode(event))
        line.extend(b'\n')
        try:
            os.write(self._descriptor, line)
        except OSError:
            return

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)


def read_events(path: pathlib.Path, subject: str) -> list[Event]:
    """Read the events of a subject from a file.

    Args:
        path: The file.
        subject: Prefix of the subjects of the events; empty for all.

    Returns:
        The events; lines that are not valid, such as torn ones, are skipped.
    """
    events = []
    for line in path.read_bytes().splitlines():
        try:
            event = msgspec.json.decode(line, type=Event)
        except msgspec.DecodeError:
            continue
        if event.subject.startswith(subject):
            events.append(event)
    return events
