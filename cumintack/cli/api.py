"""Client of the administration API that fails over between entries.

A command without an answer is retried through the next entry with the same
session and sequence number, so that it is applied only once.
"""

import secrets
from http import HTTPStatus

import msgspec
from result import Err, Ok, Result

from cumintack.coordination.querying import QueryResult
from cumintack.coordination.timeline import Timeline
from cumintack.transport.http_client import HttpAnswer, HttpClient

TIMEOUT_S = 15.0
MAX_ANSWER_BYTES = 67108864
RETRIED_STATUSES = frozenset(
    (
        HTTPStatus.BAD_GATEWAY,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.GATEWAY_TIMEOUT,
    )
)
MAX_TRIES = 4


class ApiError(msgspec.Struct, frozen=True):
    """Error returned by the API.

    Attributes:
        error: Description of the failure in one sentence.
        step: Name of the step that failed.
        peer: The process or other party involved.
        code: Error code.
        version: Current version of the key, in a version conflict.
    """

    error: str
    step: str = ''
    peer: str = ''
    code: str = ''
    version: int = 0


class AppliedCommand(msgspec.Struct, frozen=True):
    """Result of a command that was applied."""

    index: int
    names: tuple[str, ...]


class ExecuteRequest(msgspec.Struct, frozen=True):
    """Request body of ``execute``."""

    text: str
    session: str
    sequence: int


class Api:
    """Client of the API, with a list of entries to try in turn."""

    __slots__ = ('_clients', '_headers', '_sequence', '_session')

    def __init__(self, addresses: tuple[str, ...], token: str) -> None:
        """Create a client of the entries, each given as ``host:port``."""
        self._clients = [
            HttpClient(address, 1, MAX_ANSWER_BYTES) for address in addresses
        ]
        self._headers = {'Content-Type': 'application/json'}
        if token:
            self._headers['Authorization'] = f'Bearer {token}'
        self._session = secrets.token_hex(8)
        self._sequence = 0

    def execute(
        self, text: str
    ) -> Result[QueryResult | AppliedCommand, ApiError]:
        """Execute one statement."""
        self._sequence += 1
        body = msgspec.json.encode(
            ExecuteRequest(text, self._session, self._sequence),
        )
        sent = self._send('POST', '/admin/v1/execute', body)
        if isinstance(sent, Err):
            return sent
        encoded = sent.ok_value.body
        try:
            return Ok(msgspec.json.decode(encoded, type=QueryResult))
        except msgspec.ValidationError:
            return Ok(msgspec.json.decode(encoded, type=AppliedCommand))

    def fetch_timeline(
        self,
        subject: str,
        limit: int,
    ) -> Result[Timeline, ApiError]:
        """Fetch the timeline of a subject."""
        path = f'/admin/v1/timeline?subject={subject}&limit={limit}'
        sent = self._send('GET', path, b'')
        if isinstance(sent, Err):
            return sent
        return Ok(msgspec.json.decode(sent.ok_value.body, type=Timeline))

    def _send(
        self,
        method: str,
        path: str,
        body: bytes,
    ) -> Result[HttpAnswer, ApiError]:
        failure = ApiError('no entry address was given')
        for number in range(MAX_TRIES):
            client = self._clients[number % len(self._clients)]
            sent = client.send(method, path, self._headers, body, TIMEOUT_S)
            if isinstance(sent, Err):
                error = sent.err_value.error
                failure = ApiError(error.detail, error.step, error.peer)
                continue
            answer = sent.ok_value
            if answer.status == HTTPStatus.OK:
                return Ok(answer)
            failure = _read_error(answer)
            if answer.status not in RETRIED_STATUSES:
                break
        return Err(failure)


def _read_error(answer: HttpAnswer) -> ApiError:
    try:
        return msgspec.json.decode(answer.body, type=ApiError)
    except msgspec.DecodeError:
        return ApiError(f'unexpected HTTP status {answer.status}')
