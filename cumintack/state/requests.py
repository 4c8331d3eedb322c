"""Requests of callers, attempts to serve them, and their outcomes.

There are three outcomes only. ``not_run`` is a promise that the upstream
never saw the request and never will; silence is therefore ``unknown``.
"""

import enum

import msgspec


class OutcomeKind(enum.Enum):
    """How a request or an attempt ended."""

    completed = 'completed'
    not_run = 'not-run'
    unknown = 'unknown'


class Header(msgspec.Struct, frozen=True, array_like=True):
    """One HTTP header."""

    name: str
    text: str


class Request(msgspec.Struct, frozen=True):
    """A request of a caller.

    Attributes:
        request_id: Unique over all entries.
        service: The service asked for.
        team: The team of the caller.
        method: HTTP method.
        path: Path below the service, with the query string.
        headers: Headers passed on to the upstream.
        body: The whole body.
        timeout_s: Time allowed, counted from arrival.
        is_idempotent: Whether it may run more than once.
        idempotency_key: Key under which it may be sent again, or empty.
    """

    request_id: str
    service: str
    team: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    timeout_s: float
    is_idempotent: bool = True
    idempotency_key: str = ''


class Dispatch(msgspec.Struct, frozen=True, tag=True):
    """An attempt handed to a guard.

    Attributes:
        request: The request.
        attempt: Number of the attempt, unique within the request.
        incarnation: The incarnation of the guard that it is meant for.
        remaining_s: Time left when it was sent.
    """

    request: Request
    attempt: int
    incarnation: str
    remaining_s: float


class Withdrawal(msgspec.Struct, frozen=True, tag=True):
    """Ask a guard never to hand over an attempt."""

    request_id: str
    attempt: int
    incarnation: str


class Answer(msgspec.Struct, frozen=True, tag=True):
    """How an attempt ended at a guard.

    Attributes:
        request_id: The request.
        attempt: The attempt.
        worker: The guard that answers.
        kind: How it ended.
        reason: Why, for attempts that did not complete.
        status: HTTP status of the upstream.
        headers: Headers of the upstream.
        body: The whole body.
        queued: Requests waiting at the guard.
        busy: Slots in use at the guard.
        served_s: Time that the upstream took.
    """

    request_id: str
    attempt: int
    worker: str
    kind: OutcomeKind
    reason: str = ''
    status: int = 0
    headers: tuple[Header, ...] = ()
    body: bytes = b''
    queued: int = 0
    busy: int = 0
    served_s: float = 0
