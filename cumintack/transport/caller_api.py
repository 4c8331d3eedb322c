"""HTTP API of callers: decodes their requests and encodes the outcomes."""

import re
import urllib.parse

import msgspec

from cumintack.state.requests import Header, OutcomeKind, Request
from cumintack.transport.http_server import HttpRequest, HttpResponse

SERVICES_PREFIX = '/services/'
TIMEOUT_HEADER = 'cumintack-timeout-ms'
TEAM_HEADER = 'cumintack-team'
KEY_HEADER = 'idempotency-key'
NOT_IDEMPOTENT_HEADER = 'cumintack-not-idempotent'
MAX_KEY_LENGTH = 256
MAX_TIMEOUT_DIGITS = 9
DEFAULT_TEAM = 'default'
IDEMPOTENT_METHODS = frozenset(
    (
        'GET',
        'HEAD',
        'PUT',
        'DELETE',
        'OPTIONS',
    )
)
NAME_PATTERN = re.compile('[a-z0-9][a-z0-9_-]{0,62}')
DROPPED_HEADERS = frozenset(
    (
        'host',
        'connection',
        'content-length',
        'transfer-encoding',
        'keep-alive',
        'upgrade',
        'te',
        'trailer',
        'proxy-connection',
        'expect',
    )
)
BOOLEANS = {'true': True, '1': True, 'false': False, '0': False}


class CallerDefaults(msgspec.Struct, frozen=True):
    """Timeouts of requests.

    Attributes:
        timeout_ms: Timeout of a request that doesn't specify one.
        max_timeout_ms: Maximum timeout that a request may specify.
    """

    timeout_ms: int
    max_timeout_ms: int


def get_service_name(path: str) -> str:
    """Get the name of the service in a path.

    Args:
        path: Path of the HTTP request.

    Returns:
        The name, empty if the path contains no valid one.
    """
    if not path.startswith(SERVICES_PREFIX):
        return ''
    service = path[len(SERVICES_PREFIX) :].partition('/')[0]
    return service if NAME_PATTERN.fullmatch(service) else ''


def read_request(
    http_request: HttpRequest,
    request_id: str,
    defaults: CallerDefaults,
) -> Request | str:
    """Decode and check the request of a caller.

    Args:
        http_request: The received HTTP request.
        request_id: The identifier to assign to the request.
        defaults: Default and maximum timeout.

    Returns:
        The request, or a description of the error.
    """
    headers = http_request.headers
    service = get_service_name(http_request.path)
    if not service:
        return 'the path must be /services/{service}/...'
    timeout = headers.get(TIMEOUT_HEADER, str(defaults.timeout_ms))
    for check in HEADER_CHECKS:
        problem = check(headers)
        if problem:
            return problem
    if not _is_valid_timeout(timeout, defaults.max_timeout_ms):
        return f'{TIMEOUT_HEADER}: must be in 1..{defaults.max_timeout_ms}'
    default_text = str(http_request.method not in IDEMPOTENT_METHODS)
    is_not_idempotent = BOOLEANS.get(
        headers.get(NOT_IDEMPOTENT_HEADER, default_text).lower()
    )
    if is_not_idempotent is None:
        return f'{NOT_IDEMPOTENT_HEADER}: must be true or false'
    return Request(
        request_id,
        service,
        headers.get(TEAM_HEADER, DEFAULT_TEAM),
        http_request.method,
        _get_upstream_path(http_request, service),
        tuple(
            Header(name, text)
            for name, text in headers.items()
            if name not in DROPPED_HEADERS
        ),
        http_request.body,
        int(timeout) / 1000,
        not is_not_idempotent,
        headers.get(KEY_HEADER, ''),
    )


def _get_upstream_path(http_request: HttpRequest, service: str) -> str:
    prefix = SERVICES_PREFIX + service
    path = urllib.parse.quote(http_request.path[len(prefix) :] or '/')
    return f'{path}?{http_request.query}' if http_request.query else path


def _is_valid_timeout(text: str, max_timeout_ms: int) -> bool:
    is_number = text.isascii() and text.isdigit()
    if not is_number or len(text) > MAX_TIMEOUT_DIGITS:
        return False
    return 1 <= int(text) <= max_timeout_ms


def _check_team(headers: dict[str, str]) -> str:
    team = headers.get(TEAM_HEADER, DEFAULT_TEAM)
    if NAME_PATTERN.fullmatch(team):
        return ''
    return f'{TEAM_HEADER}: invalid team name'


def _check_key(headers: dict[str, str]) -> str:
    key = headers.get(KEY_HEADER, '')
    if len(key) <= MAX_KEY_LENGTH and key.isprintable():
        return ''
    return (
        f'{KEY_HEADER}: must be at most {MAX_KEY_LENGTH} printable characters'
    )


HEADER_CHECKS = (_check_team, _check_key)


class CallerOutcome(msgspec.Struct, frozen=True):
    """Outcome of a request as returned to the caller.

    Attributes:
        request_id: Identifier of the request.
        kind: Kind of the outcome.
        status: HTTP status.
        reason: Why the request did not complete, empty if it did.
        headers: Headers of the upstream's answer.
        body: Body of the upstream's answer.
        retry_after_s: Delay for the Retry-After header, 0 to omit it.
    """

    request_id: str
    kind: OutcomeKind
    status: int
    reason: str = ''
    headers: tuple[Header, ...] = ()
    body: bytes = b''
    retry_after_s: float = 0


class OutcomeBody(msgspec.Struct, frozen=True):
    """JSON body of the response to a request that did not complete."""

    request_id: str
    outcome: str
    reason: str


def create_response(outcome: CallerOutcome) -> HttpResponse:
    """Create the HTTP response for an outcome.

    Args:
        outcome: The outcome.

    Returns:
        The answer of the upstream, or a JSON body with the reason why the
        request did not complete.
    """
    own_headers: tuple[Header, ...] = (
        Header('Cumintack-Request-Id', outcome.request_id),
        Header('Cumintack-Outcome', outcome.kind.value),
    )
    if outcome.kind is OutcomeKind.completed:
        return HttpResponse(
            outcome.status,
            outcome.body,
            (*outcome.headers, *own_headers),
            content_type='',
        )
    if outcome.retry_after_s:
        wait_s = max(1, round(outcome.retry_after_s))
        own_headers = (*own_headers, Header('Retry-After', str(wait_s)))
    body = OutcomeBody(
        outcome.request_id,
        outcome.kind.value,
        outcome.reason,
    )
    return HttpResponse(outcome.status, msgspec.json.encode(body), own_headers)
