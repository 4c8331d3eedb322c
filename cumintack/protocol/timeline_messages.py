"""Messages that collect the events of a timeline."""

import msgspec

from cumintack.state.events import Event


class TimelineRequest(msgspec.Struct, frozen=True, tag=True):
    """Request to a process for its events.

    Attributes:
        call_id: Number of the call.
        subject: Identifier of a request, task, job or worker; empty for all.
        limit: Maximum number of events; the most recent ones are returned.
    """

    call_id: int
    subject: str
    limit: int


class TimelineReply(msgspec.Struct, frozen=True, tag=True):
    """Events that a process still has in its buffer."""

    call_id: int
    name: str
    events: tuple[Event, ...]
