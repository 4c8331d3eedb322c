"""Effects: what decision code asks the process around it to do."""

import msgspec

from cumintack.protocol.messages import Message
from cumintack.state.commands import Operation
from cumintack.state.requests import (
    Answer,
    Header,
    OutcomeKind,
    Request,
)


class Send(msgspec.Struct, frozen=True):
    """Send a message to a process."""

    peer: str
    message: Message


class Reply(msgspec.Struct, frozen=True):
    """Answer a caller.

    Attributes:
        request_id: The request.
        kind: Its outcome.
        reason: Why it did not complete.
        status: HTTP status of the upstream, 0 if there is none.
        headers: Headers of the upstream.
        body: The whole body.
        is_over_quota: Whether the team asked for more than its rate.
        is_conflict: Whether another request holds the idempotency key.
        retry_after_s: When to try again.
    """

    request_id: str
    kind: OutcomeKind
    reason: str = ''
    status: int = 0
    headers: tuple[Header, ...] = ()
    body: bytes = b''
    is_over_quota: bool = False
    is_conflict: bool = False
    retry_after_s: float = 0


class ProposeOperation(msgspec.Struct, frozen=True):
    """Have the control group commit an operation for a request."""

    request_id: str
    operation: Operation
    timeout_s: float


class ProposeAsLeader(msgspec.Struct, frozen=True):
    """Have the control group commit an operation of the leader itself."""

    operation: Operation


class ForwardRequest(msgspec.Struct, frozen=True):
    """Hand an attempt to the upstream."""

    request: Request
    attempt: int
    timeout_s: float


class ResetConnections(msgspec.Struct, frozen=True):
    """Open new connections to the upstream; the present ones are dead."""


class RecordEvent(msgspec.Struct, frozen=True):
    """Record an event of the time line, and count it."""

    name: str
    subject: str
    detail: str = ''


Effect = (
    Send
    | Reply
    | ProposeOperation
    | ForwardRequest
    | ResetConnections
    | RecordEvent
)

AttemptKey = tuple[str, int]


def create_not_run_answer(
    request_id: str,
    attempt: int,
    worker: str,
    reason: str,
) -> Answer:
    """Create the answer for an attempt that the upstream never saw.

    Args:
        request_id: The request.
        attempt: The attempt.
        worker: The guard that answers.
        reason: Why it did not run.

    Returns:
        The answer.
    """
    return Answer(request_id, attempt, worker, OutcomeKind.not_run, reason)
