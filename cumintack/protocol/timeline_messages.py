"""Events of the time line and the messages that gather them."""

import msgspec

from cumintack.state.events import Event


class TimelineRequest(msgspec.Struct, frozen=True, tag=True):
    """Ask a process for its events.

    Attributes:
        call_id: Number of the call.
        subject: Identifier of a request, task, job or worker; empty for all.
        limit: Most recent events to return.
    """

    call_id: int
    subject: str
    limit: int


class TimelineReply(msgspec.Struct, frozen=True, tag=True):
    """The events that a process still holds."""

    call_id: int
    name: str
    events: tuple[Event, ...]
