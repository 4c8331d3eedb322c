"""HTTP client for upstreams, workers and the administration API.

A truncated answer is always an error: its length is checked against the
declared one, and an answer without a declared length is rejected, because
nothing distinguishes a premature close of the connection from its regular end.
"""

import errno

import msgspec
import urllib3
from result import Err, Ok, Result

from cumintack.state.errors import ErrorCode, StepError
from cumintack.state.requests import Header

BODYLESS_STATUSES = frozenset((204, 304))
CONNECT_TIMEOUT_S = 1.0
SEND_STEP = 'http.send'
# Step of a request that failed because nothing listens at the address.
REFUSED_STEP = 'http.refused'
# Failures of a request; a port out of range raises OverflowError.
SEND_ERRORS = (
    urllib3.exceptions.HTTPError,
    OSError,
    OverflowError,
    ValueError,
)
DROPPED_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'keep-alive',
        'server',
        'date',
        'transfer-encoding',
        'host',
    )
)


class HttpAnswer(msgspec.Struct, frozen=True):
    """A complete answer."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


class SendError(msgspec.Struct, frozen=True):
    """Failure of a request.

    Attributes:
        error: The error.
        is_unsent: Whether no connection was established, so that the peer
            can't have received the request.
    """

    error: StepError
    is_unsent: bool


def _read_body(
    response: urllib3.BaseHTTPResponse,
    max_bytes: int,
) -> bytes:
    """Read the body up to its end or a limit.

    urllib3 reports a truncated body only on a read past its last byte, so
    that a single read can't distinguish a complete body from a truncated one.
    """
    chunks: list[bytes] = []
    size = 0
    while size < max_bytes:
        chunk = response.read(max_bytes - size)
        if not chunk:
            break
        chunks.append(chunk)
        size += len(chunk)
    return b''.join(chunks)


def _is_refused(error: Exception) -> bool:
    cause = error.__cause__
    return isinstance(cause, OSError) and cause.errno == errno.ECONNREFUSED


class HttpClient:
    """Pool of connections to one peer; thread-safe."""

    __slots__ = ('_max_body_bytes', '_peer', '_pool')

    def __init__(
        self,
        address: str,
        connection_count: int,
        max_body_bytes: int,
    ) -> None:
        """Use at most ``connection_count`` connections to ``host:port``."""
        host, _, port = address.rpartition(':')
        self._peer = address
        self._max_body_bytes = max_body_bytes
        self._pool = urllib3.HTTPConnectionPool(
            host,
            int(port),
            maxsize=connection_count,
            block=True,
            retries=False,
        )

    def send(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        timeout_s: float,
    ) -> Result[HttpAnswer, SendError]:
        """Send a request and read the complete answer."""
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_S, timeout_s),
            total=timeout_s,
        )
        try:
            response = self._pool.request(
                method,
                path,
                body=body or None,
                headers=headers,
                timeout=timeout,
                preload_content=False,
                redirect=False,
                decode_content=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            step = REFUSED_STEP if _is_refused(error) else SEND_STEP
            return self._fail(
                ErrorCode.unavailable, error, is_unsent=True, step=step
            )
        except urllib3.exceptions.ReadTimeoutError as error:
            return self._fail(ErrorCode.timeout, error, is_unsent=False)
        except SEND_ERRORS as error:
            return self._fail(ErrorCode.unavailable, error, is_unsent=False)
        return self._read(method, response)

    def _read(
        self,
        method: str,
        response: urllib3.BaseHTTPResponse,
    ) -> Result[HttpAnswer, SendError]:
        is_bodyless = method == 'HEAD' or response.status in BODYLESS_STATUSES
        try:
            body = _read_body(response, self._max_body_bytes + 1)
            is_declared = (
                is_bodyless
                or 'content-length' in response.headers
                or 'transfer-encoding' in response.headers
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            response.close()
            return self._fail(ErrorCode.corrupt, error, is_unsent=False)
        if len(body) > self._max_body_bytes:
            response.close()
            return self._refuse(
                ErrorCode.too_large, 'the answer exceeds the size limit'
            )
        if not is_declared:
            response.close()
            return self._refuse(
                ErrorCode.corrupt,
                'the answer does not declare its length',
            )
        response.release_conn()
        headers = tuple(
            Header(name, text)
            for name, text in response.headers.items()
            if name.lower() not in DROPPED_HEADERS
        )
        return Ok(HttpAnswer(response.status, headers, body))

    def _fail(
        self,
        code: ErrorCode,
        error: Exception,
        *,
        is_unsent: bool,
        step: str = SEND_STEP,
    ) -> Err[SendError]:
        detail = f'{type(error).__name__}: {error}'
        return Err(
            SendError(
                StepError(code, step, self._peer, detail),
                is_unsent,
            ),
        )

    def _refuse(self, code: ErrorCode, detail: str) -> Err[SendError]:
        return Err(
            SendError(
                StepError(code, 'http.read', self._peer, detail),
                is_unsent=False,
            ),
        )

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()
