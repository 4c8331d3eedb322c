"""A file of events, for the time line of a process that died."""

import os
import pathlib

import msgspec

from cumintack.state.events import Event
from cumintack.transport._frames import FILE_MODE


class EventFile:
    """Appends events as JSON lines; each is in the file when it returns."""

    __slots__ = ('_descriptor',)

    def __init__(self, path: pathlib.Path) -> None:
        """Open the file for appending; it is made if missing."""
        path.parent.mkdir(parents=True, exist_ok=True)
        self._descriptor = os.open(
            path,
            os.O_WRONLY | os.O_CREAT | os.O_APPEND,
            FILE_MODE,
        )

    def append(self, event: Event) -> None:
        """Append one event; a full disk loses it, not the process."""
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
        subject: Identifier that the subject starts with; empty for all.

    Returns:
        The events; a line that is cut short is left out.
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
