"""Multi-threaded HTTP server with limits against malicious clients."""

import itertools
import secrets
import socket
import threading
from collections.abc import Callable, Iterator
from http import HTTPStatus

import msgspec
from cheroot import wsgi

from cumintack.state.requests import Header

MAX_HEADER_BYTES = 32768
READ_TIMEOUT_S = 10
BACKLOG = 512
MAX_KEEP_ALIVE_CONNECTIONS = 4096
MIN_PORT = 10000
MAX_PORT = 30000


class HttpRequest(msgspec.Struct, frozen=True):
    """A received request.

    Attributes:
        method: Method in upper case.
        path: Decoded path.
        query: Query string without the question mark.
        headers: Headers by lower-case name.
        body: The complete body.
        peer: IP address of the client.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    peer: str = ''


class HttpResponse(msgspec.Struct, frozen=True):
    """A response to send.

    Attributes:
        status: HTTP status.
        body: The body.
        headers: Headers besides Content-Type and Content-Length.
        content_type: Media type, empty if ``headers`` contains it.
        is_length_given: Whether ``headers`` contains Content-Length.
    """

    status: int
    body: bytes = b''
    headers: tuple[Header, ...] = ()
    content_type: str = 'application/json'
    is_length_given: bool = False


HttpHandler = Callable[[HttpRequest], HttpResponse]
WsgiEnvironment = dict[str, object]


class HttpServer:
    """Server on one address with a thread pool."""

    __slots__ = ('_respond_to', '_max_body_bytes', '_server', '_thread')

    def __init__(
        self,
        address: str,
        respond_to: HttpHandler,
        thread_count: int,
        max_body_bytes: int,
    ) -> None:
        """Create a server for ``host:port``; ``start`` makes it listen."""
        host, port = split_address(address)
        self._respond_to = respond_to
        self._max_body_bytes = max_body_bytes
        self._server = wsgi.Server(
            (host, port),
            self._serve,
            numthreads=thread_count,
            max=thread_count,
            request_queue_size=BACKLOG,
            timeout=READ_TIMEOUT_S,
        )
        self._server.max_request_header_size = MAX_HEADER_BYTES
        self._server.max_request_body_size = max_body_bytes
        self._server.keep_alive_conn_limit = MAX_KEEP_ALIVE_CONNECTIONS
        self._server.server_name = 'cumintack'
        self._thread = threading.Thread(
            target=self._server.serve,
            name=f'http-{port}',
            daemon=True,
        )

    def start(self) -> None:
        """Start to accept requests."""
        self._server.prepare()
        self._thread.start()

    def get_port(self) -> int:
        """Return the bound port, which the system chooses for port 0."""
        return int(self._server.bind_addr[1])

    def stop(self) -> None:
        """Stop accepting requests and let open ones finish."""
        self._server.stop()
        self._thread.join(timeout=1)

    def _serve(
        self,
        environment: WsgiEnvironment,
        start_response: Callable[[str, list[tuple[str, str]]], object],
    ) -> Iterator[bytes]:
        response = self._respond(environment)
        phrase = get_phrase(response.status)
        headers = [(header.name, header.text) for header in response.headers]
        if response.content_type:
            headers.append(('Content-Type', response.content_type))
        if not response.is_length_given:
            headers.append(('Content-Length', str(len(response.body))))
        start_response(f'{response.status} {phrase}', headers)
        yield response.body

    def _respond(self, environment: WsgiEnvironment) -> HttpResponse:
        stream = environment['wsgi.input']
        try:
            body = stream.read()  # type: ignore[attr-defined]
        except (OSError, ValueError, TimeoutError):
            return HttpResponse(
                HTTPStatus.BAD_REQUEST, b'{"error":"the body is not whole"}'
            )
        declared = str(environment.get('CONTENT_LENGTH') or '')
        if declared and declared != str(len(body)):
            return HttpResponse(
                HTTPStatus.BAD_REQUEST, b'{"error":"the body is not whole"}'
            )
        if len(body) > self._max_body_bytes:
            return HttpResponse(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                b'{"error":"the body is too large"}',
            )
        return self._respond_to(_read_request(environment, body))


def _read_request(environment: WsgiEnvironment, body: bytes) -> HttpRequest:
    headers = {
        name[5:].replace('_', '-').lower(): str(text)
        for name, text in environment.items()
        if name.startswith('HTTP_')
    }
    content_type = str(environment.get('CONTENT_TYPE') or '')
    if content_type:
        headers['content-type'] = content_type
    return HttpRequest(
        str(environment['REQUEST_METHOD']),
        str(environment['PATH_INFO']),
        str(environment.get('QUERY_STRING') or ''),
        headers,
        body,
        str(environment.get('REMOTE_ADDR') or ''),
    )


def get_phrase(status: int) -> str:
    """Get the reason phrase of a status.

    Args:
        status: The status, which may be a non-standard one.

    Returns:
        The phrase.
    """
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return 'Unknown'


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port``.

    Args:
        address: The address.

    Returns:
        Host and port.
    """
    host, _, port = address.rpartition(':')
    return host, int(port)


def is_loopback(peer: str) -> bool:
    """Return whether a peer is on this machine.

    Args:
        peer: IP address of the peer.

    Returns:
        True for a loopback address.
    """
    return peer.startswith('127.') or peer == '::1'


def _list_ports() -> list[int]:
    """List all ports of the range once, starting at a random one."""
    ports = list(range(MIN_PORT, MAX_PORT))
    first = secrets.randbelow(len(ports))
    return ports[first:] + ports[:first]


_PORT_CYCLE = itertools.cycle(_list_ports())


def find_free_port() -> int:
    """Find a port that is currently free on loopback.

    The range lies below the system's ephemeral ports, because an outgoing
    connection could take a port found there before it is bound. A process
    reuses a port only after it has returned all others.

    Returns:
        The port.
    """
    while True:
        port = next(_PORT_CYCLE)
        with socket.socket() as probe:
            if probe.connect_ex(('127.0.0.1', port)) != 0:
                return port
