"""Merges the event buffers of several processes into one timeline.

Hybrid timestamps order causes before their effects. Processes that did not
reply are listed, so that their missing events are not mistaken for inactivity.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from cumintack.protocol.timeline_messages import TimelineReply
from cumintack.state.events import Event


class Timeline(msgspec.Struct, frozen=True):
    """Events in causal order.

    Attributes:
        events: The events, oldest first.
        missing: Processes that did not reply.
    """

    events: tuple[Event, ...]
    missing: tuple[str, ...] = ()


class TimelineCollection(msgspec.Struct):
    """Collection of a timeline that is in progress.

    Attributes:
        call_id: Identifier of the call.
        expected: Processes that have not replied yet.
        deadline_s: When to stop waiting for replies.
        limit: Number of most recent events to keep.
        deliver: Called once with the finished timeline.
        events: Events received so far.
    """

    call_id: int
    expected: set[str]
    deadline_s: float
    limit: int
    deliver: Callable[[Any], None]
    events: list[Event] = []


def add_reply(collection: TimelineCollection, reply: TimelineReply) -> None:
    """Add the events of one process.

    Args:
        collection: The collection, changed in place.
        reply: Reply of the process; one that is not expected is ignored.
    """
    if reply.name in collection.expected:
        collection.expected.discard(reply.name)
        collection.events.extend(reply.events)


def is_collected(collection: TimelineCollection) -> bool:
    """Return whether every process has replied.

    Args:
        collection: The collection.

    Returns:
        True if no reply is missing.
    """
    return not collection.expected


def create_timeline(collection: TimelineCollection) -> Timeline:
    """Create the timeline of the events received so far.

    Args:
        collection: The collection.

    Returns:
        Events in causal order and the processes that did not reply.
    """
    return merge_events(
        collection.events,
        tuple(sorted(collection.expected)),
        collection.limit,
    )


def merge_events(
    events: list[Event],
    missing: tuple[str, ...],
    limit: int,
) -> Timeline:
    """Merge the events of several processes and remove duplicates.

    Args:
        events: Events in any order.
        missing: Processes that did not reply.
        limit: Number of most recent events to keep.

    Returns:
        The timeline.
    """
    unique = {
        (event.stamp, event.process, event.name, event.subject): event
        for event in events
    }
    ordered = sorted(
        unique.values(),
        key=lambda event: (event.stamp, event.process),
    )
    return Timeline(tuple(ordered[-limit:]), missing)
