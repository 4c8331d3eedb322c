"""HTTP client for upstreams, workers and the administration API.

An answer is whole or it is an error: the declared length is checked, and an
answer without one is refused, because a connection that ends early looks
the same as one that ends in time.
"""

import msgspec
import urllib3
from result import Err, Ok, Result

from cumintack.state.errors import ErrorCode, StepError
from cumintack.state.requests import Header

BODYLESS_STATUSES = frozenset((204, 304))
CONNECT_TIMEOUT_S = 1.0
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
    """A whole answer."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


class SendError(msgspec.Struct, frozen=True):
    """A failed exchange.

    Attributes:
        error: What went wrong.
        is_unsent: Whether no connection was made, so that the peer can't
            have seen the request.
    """

    error: StepError
    is_unsent: bool


def _read_body(
    response: urllib3.BaseHTTPResponse,
    max_bytes: int,
) -> bytes:
    """Read to the end of the body, or up to a limit.

    The library reports bytes that are missing only when it is asked to read
    past them, so that one read alone can't tell a whole body from a part.
    """
    parts: list[bytes] = []
    size = 0
    while size < max_bytes:
        part = response.read(max_bytes - size)
        if not part:
            break
        parts.append(part)
        size += len(part)
    return b''.join(parts)


class HttpClient:
    """Connections to one peer; safe to use from many threads."""

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
        """Send a request and read the whole answer."""
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
            return self._fail(ErrorCode.unavailable, error, is_unsent=True)
        except urllib3.exceptions.ReadTimeoutError as error:
            return self._fail(ErrorCode.timeout, error, is_unsent=False)
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
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
            return self._refuse(ErrorCode.too_large, 'the answer is too large')
        if not is_declared:
            response.close()
            return self._refuse(
                ErrorCode.corrupt,
                'the answer declares no length',
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
    ) -> Err[SendError]:
        detail = f'{type(error).__name__}: {error}'
        return Err(
            SendError(
                StepError(code, 'http.send', self._peer, detail),
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
