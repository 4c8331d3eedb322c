"""Requests of callers, attempts to serve them, and their outcomes.

There are three outcomes. ``not_run`` guarantees that the upstream never
received the request and never will; a missing answer is therefore ``unknown``.
"""

import enum

import msgspec

from cumintack.state.numbers import Finite


class OutcomeKind(enum.Enum):
    """Outcome of a request or an attempt."""

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
        request_id: Identifier, unique across all entries.
        service: The requested service.
        team: The team of the caller.
        method: HTTP method.
        path: Path relative to the service, with the query string.
        headers: Headers forwarded to the upstream.
        body: The complete body.
        timeout_s: Timeout in seconds, counted from arrival.
        is_idempotent: Whether it may run more than once.
        idempotency_key: Key that identifies retries by the caller, empty if
            there is none.
    """

    request_id: str
    service: str
    team: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    timeout_s: Finite
    is_idempotent: bool = True
    idempotency_key: str = ''


class Dispatch(msgspec.Struct, frozen=True, tag=True):
    """An attempt dispatched to a guard.

    Attributes:
        request: The request.
        attempt: Number of the attempt, unique within the request.
        incarnation: Incarnation of the guard that it is addressed to.
        remaining_s: Time until the deadline, as of sending.
    """

    request: Request
    attempt: int
    incarnation: str
    remaining_s: Finite


class Withdrawal(msgspec.Struct, frozen=True, tag=True):
    """Instruct a guard never to forward an attempt to the upstream."""

    request_id: str
    attempt: int
    incarnation: str


class Answer(msgspec.Struct, frozen=True, tag=True):
    """Outcome of an attempt, reported by a guard.

    Attributes:
        request_id: Identifier of the request.
        attempt: Number of the attempt.
        worker: The worker whose guard answers.
        kind: Outcome of the attempt.
        reason: Why the attempt did not complete, empty if it did.
        status: HTTP status returned by the upstream.
        headers: HTTP headers returned by the upstream.
        body: The complete response body.
        queued: Requests queued at the guard.
        busy: Slots in use at the guard.
        served_s: Service time of the upstream in seconds.
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
    served_s: Finite = 0
