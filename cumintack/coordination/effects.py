"""Effects that decision code returns for the process to carry out."""

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
    """Reply to a caller.

    Attributes:
        request_id: The request.
        kind: Its outcome.
        reason: Why the request did not complete.
        status: HTTP status of the upstream, 0 if there is none.
        headers: Headers of the answer of the upstream.
        body: The complete body of that answer.
        is_over_quota: Whether the team exceeded its rate.
        is_conflict: Whether another request holds the idempotency key.
        retry_after_s: Time after which the caller may retry, 0 if not given.
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
    """Propose an operation to the control group on behalf of a request."""

    request_id: str
    operation: Operation
    timeout_s: float


class ProposeAsLeader(msgspec.Struct, frozen=True):
    """Propose an operation of the leader itself to the control group."""

    operation: Operation


class ForwardRequest(msgspec.Struct, frozen=True):
    """Forward an attempt to the upstream."""

    request: Request
    attempt: int
    timeout_s: float


class ResetConnections(msgspec.Struct, frozen=True):
    """Replace the connections to the upstream, which have gone silent."""


class RecordEvent(msgspec.Struct, frozen=True):
    """Record a timeline event and count it in the metrics."""

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

# Request identifier and attempt number.
AttemptKey = tuple[str, int]


def create_not_run_answer(
    request_id: str,
    attempt: int,
    worker: str,
    reason: str,
) -> Answer:
    """Create the answer to an attempt that was not forwarded.

    Args:
        request_id: The request.
        attempt: The attempt.
        worker: The worker of the guard that answers.
        reason: Why the attempt was not run.

    Returns:
        The answer.
    """
    return Answer(request_id, attempt, worker, OutcomeKind.not_run, reason)
