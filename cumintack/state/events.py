"""Events of the time line and the clock that orders them.

The clock is hybrid: wall time, and a counter that grows when messages show
that another process is ahead. An effect therefore never sorts before its
cause, also when the clocks of two processes differ.
"""

import collections

import msgspec


class HybridTimestamp(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A point of hybrid time.

    Attributes:
        wall_ms: Wall time in ms since 1970, never going back.
        counter: Order among events of the same ``wall_ms``.
    """

    wall_ms: int = 0
    counter: int = 0


class Event(msgspec.Struct, frozen=True):
    """Something that happened in one process.

    Attributes:
        stamp: When.
        process: Where.
        name: What, such as ``entry.dispatched``.
        subject: The request, task, job or worker that it concerns.
        detail: A short sentence.
    """

    stamp: HybridTimestamp
    process: str
    name: str
    subject: str
    detail: str = ''


class EventBuffer(msgspec.Struct):
    """The latest events of a process."""

    process: str
    capacity: int
    stamp: HybridTimestamp = HybridTimestamp()
    events: collections.deque[Event] = msgspec.field(
        default_factory=collections.deque,
    )


def advance_timestamp(stamp: HybridTimestamp, wall_ms: int) -> HybridTimestamp:
    """Compute the stamp of a local event.

    Args:
        stamp: The latest stamp of the process.
        wall_ms: Wall time now.

    Returns:
        A later stamp.
    """
    if wall_ms > stamp.wall_ms:
        return HybridTimestamp(wall_ms)
    return HybridTimestamp(stamp.wall_ms, stamp.counter + 1)


def merge_timestamp(
    stamp: HybridTimestamp, received: HybridTimestamp, wall_ms: int
) -> HybridTimestamp:
    """Compute the stamp after a message.

    Args:
        stamp: The latest stamp of the process.
        received: The stamp that the message carried.
        wall_ms: Wall time now.

    Returns:
        A stamp later than both.
    """
    return advance_timestamp(max(stamp, received), wall_ms)


def record_event(
    ring: EventBuffer,
    wall_ms: int,
    name: str,
    subject: str,
    detail: str = '',
) -> Event:
    """Record an event; the oldest one goes when the ring is full.

    Args:
        ring: The ring of the process.
        wall_ms: Wall time now.
        name: What happened.
        subject: What it concerns.
        detail: A short sentence.

    Returns:
        The event.
    """
    ring.stamp = advance_timestamp(ring.stamp, wall_ms)
    event = Event(ring.stamp, ring.process, name, subject, detail)
    ring.events.append(event)
    if len(ring.events) > ring.capacity:
        ring.events.popleft()
    return event


def get_events(ring: EventBuffer, subject: str, limit: int) -> list[Event]:
    """Get events of a subject, oldest first.

    Args:
        ring: The ring of the process.
        subject: Identifier that the subject starts with; empty for all.
        limit: Most recent events to return.

    Returns:
        The events that are still held.
    """
    found = [
        event for event in ring.events if event.subject.startswith(subject)
    ]
    return found[-limit:]
