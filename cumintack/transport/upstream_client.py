"""HTTP exchange with an upstream: its announcements and requests to it."""

import concurrent.futures
from collections.abc import Callable
from http import HTTPStatus
from typing import Annotated

import msgspec
from result import Err, Ok

from cumintack.state.errors import ErrorCode, format_error
from cumintack.state.requests import Answer, OutcomeKind, Request
from cumintack.transport.addresses import is_address
from cumintack.transport.clock import Clock
from cumintack.transport.http_client import HttpClient, SendError
from cumintack.transport.http_server import HttpRequest, HttpResponse

ANNOUNCE_PATH = '/v1/announce'
LEAVE_PATH = '/v1/leave'


# Most requests that an upstream can say it works on.
MAX_BUSY = 1000000


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Announcement that an upstream sends periodically.

    Attributes:
        service: The service that it provides.
        address: Address on which it listens, as ``host:port``.
        slots: Maximum requests that it serves concurrently.
        busy: Requests received and not answered yet, by which the guard
            detects silent connections. None if the upstream omits it.
    """

    service: str
    address: str
    slots: int
    busy: Annotated[int, msgspec.Meta(ge=0, le=MAX_BUSY)] | None = None


class LeaveNotice(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Notice that an upstream sends before it stops."""

    service: str


class UpstreamClient:
    """Sends requests to one upstream from a pool of threads."""

    __slots__ = ('_client', '_clock', '_pool', '_worker', 'announcement')

    def __init__(
        self,
        announcement: Announcement,
        worker: str,
        connection_count: int,
        max_answer_bytes: int,
        clock: Clock,
    ) -> None:
        """Create a thread and a connection per slot, up to a maximum."""
        self.announcement = announcement
        self._worker = worker
        self._clock = clock
        count = min(announcement.slots, connection_count)
        self._client = HttpClient(
            announcement.address,
            count,
            max_answer_bytes,
        )
        self._pool = concurrent.futures.ThreadPoolExecutor(
            count,
            thread_name_prefix='upstream',
        )

    def send(
        self,
        request: Request,
        attempt: int,
        timeout_s: float,
        done: Callable[[Answer], None],
    ) -> None:
        """Send a request in a thread, which calls ``done`` with the answer."""
        self._pool.submit(self._exchange, request, attempt, timeout_s, done)

    def _exchange(
        self,
        request: Request,
        attempt: int,
        timeout_s: float,
        done: Callable[[Answer], None],
    ) -> None:
        started_at_s = self._clock.now_s()
        headers = {header.name: header.text for header in request.headers}
        headers['Cumintack-Request-Id'] = request.request_id
        headers['Cumintack-Attempt'] = str(attempt)
        try:
            sent = self._client.send(
                request.method,
                request.path,
                headers,
                request.body,
                timeout_s,
            )
        except Exception as error:  # noqa: BLE001
            done(
                Answer(
                    request.request_id,
                    attempt,
                    self._worker,
                    OutcomeKind.unknown,
                    f'{type(error).__name__}: {error}',
                ),
            )
            return
        served_s = self._clock.now_s() - started_at_s
        match sent:
            case Ok(answer):
                done(
                    Answer(
                        request.request_id,
                        attempt,
                        self._worker,
                        OutcomeKind.completed,
                        '',
                        answer.status,
                        answer.headers,
                        answer.body,
                        served_s=served_s,
                    ),
                )
            case Err(failure):
                done(self._create_failed_answer(request, attempt, failure))

    def _create_failed_answer(
        self,
        request: Request,
        attempt: int,
        failure: SendError,
    ) -> Answer:
        kind = OutcomeKind.unknown
        if failure.is_unsent:
            kind = OutcomeKind.not_run
        return Answer(
            request.request_id,
            attempt,
            self._worker,
            kind,
            format_error(failure.error),
        )

    def close(self) -> None:
        """Stop the threads once they are idle, and close the connections."""
        self._pool.shutdown(wait=False)
        self._client.close()


def read_announcement(
    request: HttpRequest,
    max_slots: int,
) -> Announcement | str:
    """Decode and check an announcement.

    Args:
        request: The HTTP request.
        max_slots: Maximum slots that may be announced.

    Returns:
        The announcement, or a description of the error.
    """
    try:
        announcement = msgspec.json.decode(request.body, type=Announcement)
    except (msgspec.DecodeError, RecursionError) as error:
        return str(error)
    if not 1 <= announcement.slots <= max_slots:
        return f'slots: must be in 1..{max_slots}'
    if not is_address(announcement.address):
        return 'address: must be host:port'
    if not announcement.service:
        return 'service: must not be empty'
    return announcement


def create_error_response(status: int, detail: str) -> HttpResponse:
    """Create an error response.

    Args:
        status: The HTTP status.
        detail: Description of the error.

    Returns:
        The response with a JSON body.
    """
    return HttpResponse(status, msgspec.json.encode({'error': detail}))


def get_error_status(code: ErrorCode) -> int:
    """Get the HTTP status for an error code.

    Args:
        code: The error code.

    Returns:
        The HTTP status.
    """
    return ERROR_STATUSES.get(code, HTTPStatus.INTERNAL_SERVER_ERROR)


ERROR_STATUSES = {
    ErrorCode.invalid: HTTPStatus.BAD_REQUEST,
    ErrorCode.conflict: HTTPStatus.CONFLICT,
    ErrorCode.not_found: HTTPStatus.NOT_FOUND,
    ErrorCode.over_quota: HTTPStatus.TOO_MANY_REQUESTS,
    ErrorCode.impossible: HTTPStatus.UNPROCESSABLE_ENTITY,
    ErrorCode.expired: HTTPStatus.GONE,
    ErrorCode.too_large: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    ErrorCode.forbidden: HTTPStatus.FORBIDDEN,
    ErrorCode.not_leader: HTTPStatus.SERVICE_UNAVAILABLE,
    ErrorCode.no_quorum: HTTPStatus.SERVICE_UNAVAILABLE,
    ErrorCode.unavailable: HTTPStatus.SERVICE_UNAVAILABLE,
    ErrorCode.timeout: HTTPStatus.GATEWAY_TIMEOUT,
}
