"""Timeline events and the hybrid logical clock that orders them.

A timestamp combines wall time with a counter, and advances past the timestamp
of each received message. An effect therefore never sorts before its cause,
even when the wall clocks of two processes differ.
"""

import collections

import msgspec


class HybridTimestamp(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A timestamp of the hybrid logical clock.

    Attributes:
        wall_ms: Wall time in ms since 1970; it never decreases.
        counter: Order among timestamps with the same ``wall_ms``.
    """

    wall_ms: int = 0
    counter: int = 0


class Event(msgspec.Struct, frozen=True):
    """An event in one process.

    Attributes:
        stamp: Timestamp of the event.
        process: Name of the process.
        name: Name of the event, such as ``entry.dispatched``.
        subject: The request, task, job or worker that it concerns.
        detail: Short description.
    """

    stamp: HybridTimestamp
    process: str
    name: str
    subject: str
    detail: str = ''


class EventBuffer(msgspec.Struct):
    """Bounded buffer of the latest events of a process."""

    process: str
    capacity: int
    stamp: HybridTimestamp = HybridTimestamp()
    events: collections.deque[Event] = msgspec.field(
        default_factory=collections.deque,
    )


def advance_timestamp(stamp: HybridTimestamp, wall_ms: int) -> HybridTimestamp:
    """Compute the timestamp of a local event.

    Args:
        stamp: The latest timestamp of the process.
        wall_ms: Current wall time in ms since 1970.

    Returns:
        A later timestamp.
    """
    if wall_ms > stamp.wall_ms:
        return HybridTimestamp(wall_ms)
    return HybridTimestamp(stamp.wall_ms, stamp.counter + 1)


def merge_timestamp(
    stamp: HybridTimestamp, received: HybridTimestamp, wall_ms: int
) -> HybridTimestamp:
    """Compute the timestamp after receiving a message.

    Args:
        stamp: The latest timestamp of the process.
        received: The timestamp carried by the message.
        wall_ms: Current wall time in ms since 1970.

    Returns:
        A timestamp later than both.
    """
    return advance_timestamp(max(stamp, received), wall_ms)


def record_event(
    buffer: EventBuffer,
    wall_ms: int,
    name: str,
    subject: str,
    detail: str = '',
) -> Event:
    """Record an event, dropping the oldest one if the buffer is full.

    Args:
        buffer: The event buffer of the process.
        wall_ms: Current wall time in ms since 1970.
        name: Name of the event.
        subject: Identifier of the object that it concerns.
        detail: Short description.

    Returns:
        The recorded event.
    """
    buffer.stamp = advance_timestamp(buffer.stamp, wall_ms)
    event = Event(buffer.stamp, buffer.process, name, subject, detail)
    buffer.events.append(event)
    if len(buffer.events) > buffer.capacity:
        buffer.events.popleft()
    return event


def get_events(buffer: EventBuffer, subject: str, limit: int) -> list[Event]:
    """Get the latest events of a subject, oldest first.

    Args:
        buffer: The event buffer of the process.
        subject: Prefix of the subject; empty for all subjects.
        limit: Maximum number of events.

    Returns:
        The matching events that are still in the buffer.
    """
    matching = [
        event for event in buffer.events if event.subject.startswith(subject)
    ]
    return matching[-limit:]
