"""One line of events out of the rings of many processes.

The hybrid clock orders causes before effects. A process that gave no answer
is named, because a gap must not look like silence.
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
        missing: Processes that did not answer.
    """

    events: tuple[Event, ...]
    missing: tuple[str, ...] = ()


class TimelineCollection(msgspec.Struct):
    """A time line being gathered.

    Attributes:
        call_id: Its number.
        expected: Processes that have not answered yet.
        deadline_s: When to stop waiting.
        limit: Most recent events to keep.
        deliver: Called once with what was gathered.
        events: Events so far.
    """

    call_id: int
    expected: set[str]
    deadline_s: float
    limit: int
    deliver: Callable[[Any], None]
    events: list[Event] = []


def add_reply(collection: TimelineCollection, reply: TimelineReply) -> None:
    """Take the events of one process.

    Args:
        collection: The gathering, changed in place.
        reply: The events.
    """
    if reply.name in collection.expected:
        collection.expected.discard(reply.name)
        collection.events.extend(reply.events)


def is_collected(collection: TimelineCollection) -> bool:
    """Tell whether every process has answered.

    Args:
        collection: The gathering.

    Returns:
        True if nothing is missing.
    """
    return not collection.expected


def create_timeline(collection: TimelineCollection) -> Timeline:
    """Create the time line of what was gathered.

    Args:
        collection: The gathering.

    Returns:
        Events in causal order and the processes that are missing.
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
    """Merge events of several processes, each event once.

    Args:
        events: Events in any order.
        missing: Processes that did not answer.
        limit: Most recent events to keep.

    Returns:
        The time line.
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
