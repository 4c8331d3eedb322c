"""Simulated upstream that answers after a delay and counts executions.

Its ledger of the requests that it executed is the oracle for the invariants
of requests: a request that was refused as not run must not be in it.
"""

import collections
import random
import signal
import threading
import time
import urllib.parse
from http import HTTPStatus

import click
import msgspec
from result import Ok

from cumintack.demo.sample_worker import WorkerLedger
from cumintack.state.requests import Header
from cumintack.transport.http_client import HttpClient
from cumintack.transport.http_server import (
    HttpRequest,
    HttpResponse,
    HttpServer,
)
from cumintack.transport.upstream_client import (
    ANNOUNCE_PATH,
    LEAVE_PATH,
    Announcement,
    LeaveNotice,
)

ANNOUNCE_INTERVAL_S = 0.5
EXTRA_THREADS = 4
MAX_BODY_BYTES = 1048576
MAX_ANSWER_BYTES = 65536
MAX_LEDGER_BYTES = 8388608
HANG_POLL_S = 0.05
DEFAULT_WORK_MS = 5.0
JSON_HEADERS = {'Content-Type': 'application/json'}


class Behaviour(msgspec.Struct, frozen=True):
    """Behaviour of the simulated upstream.

    Attributes:
        work_ms: Mean service time of a request.
        spread: Largest random deviation, as a share of the service time.
        factor: Multiplier of the service time; 10 is ten times slower.
        is_hung: Whether it accepts requests and never answers them.
        is_short: Whether an answer has fewer bytes than it declares.
    """

    work_ms: float = 5.0
    spread: float = 0.5
    factor: float = 1.0
    is_hung: bool = False
    is_short: bool = False


class Ledger(msgspec.Struct, frozen=True):
    """What the simulated upstream executed.

    Attributes:
        total: Number of executions.
        doubled: Requests that were executed more than once here.
        most_at_once: Peak number of concurrent executions.
        runs: Number of executions by request identifier.
    """

    total: int
    doubled: int
    most_at_once: int
    runs: dict[str, int]


class SampleUpstream:
    """Server that keeps a ledger and announces itself to a guard."""

    __slots__ = (
        '_agent_address',
        '_announced_address',
        '_behaviour',
        '_in_flight',
        '_interference',
        '_lock',
        '_peak_in_flight',
        '_rng',
        '_runs',
        '_server',
        '_service',
        '_slots',
        '_stopped',
        '_thread',
        'guard_address',
    )

    def __init__(
        self,
        address: str,
        guard_address: str,
        service: str,
        slots: int,
        behaviour: Behaviour,
        announced: str = '',
        agent_address: str = '',
    ) -> None:
        """Create a server at ``address``; announce it if a guard is given."""
        self.guard_address = guard_address
        self._announced_address = announced
        self._agent_address = agent_address
        self._interference = 0.0
        self._service = service
        self._slots = slots
        self._behaviour = behaviour
        self._rng = random.Random(1)
        self._lock = threading.Lock()
        self._runs: collections.Counter[str] = collections.Counter()
        self._in_flight = 0
        self._peak_in_flight = 0
        self._stopped = threading.Event()
        self._server = HttpServer(
            address,
            self._serve,
            slots + EXTRA_THREADS,
            MAX_BODY_BYTES,
        )
        self._thread = threading.Thread(target=self._announce, daemon=True)

    def start(self) -> None:
        """Start serving and sending announcements."""
        self._server.start()
        if self.guard_address:
            self._thread.start()

    def get_address(self) -> str:
        """Return the address that the server listens on."""
        return f'127.0.0.1:{self._server.get_port()}'

    def get_ledger(self) -> Ledger:
        """Return what was executed so far."""
        with self._lock:
            runs = dict(self._runs)
            most_at_once = self._peak_in_flight
        doubled = sum(1 for count in runs.values() if count > 1)
        return Ledger(sum(runs.values()), doubled, most_at_once, runs)

    def replace_behaviour(self, behaviour: Behaviour) -> None:
        """Set the behaviour for subsequent requests."""
        self._behaviour = behaviour

    def stop(self) -> None:
        """Deregister from the guard and stop serving."""
        self._stopped.set()
        if self.guard_address:
            self._thread.join(timeout=1)
            self._post(LEAVE_PATH, LeaveNotice(self._service))
        self._server.stop()

    def _post(self, path: str, body: msgspec.Struct) -> None:
        client = HttpClient(self.guard_address, 1, MAX_ANSWER_BYTES)
        client.send('POST', path, JSON_HEADERS, msgspec.json.encode(body), 1.0)
        client.close()

    def _announce(self) -> None:
        client = HttpClient(self.guard_address, 1, MAX_ANSWER_BYTES)
        is_stopped = False
        agent_client = None
        if self._agent_address:
            agent_client = HttpClient(self._agent_address, 1, MAX_LEDGER_BYTES)
        while not is_stopped:
            body = msgspec.json.encode(self._create_announcement())
            client.send('POST', ANNOUNCE_PATH, JSON_HEADERS, body, 1.0)
            if agent_client is not None:
                self._update_interference(agent_client)
            is_stopped = self._stopped.wait(ANNOUNCE_INTERVAL_S)

    def _update_interference(self, agent_client: HttpClient) -> None:
        """Read from the agent how much colocated tasks slow this service."""
        sent = agent_client.send('GET', '/v1/ledger', {}, b'', 1.0)
        if isinstance(sent, Ok):
            ledger = msgspec.json.decode(sent.ok_value.body, type=WorkerLedger)
            self._interference = ledger.noise

    def _create_announcement(self) -> Announcement:
        return Announcement(
            self._service,
            self._announced_address or self.get_address(),
            self._slots,
            self._in_flight,
        )

    def _serve(self, request: HttpRequest) -> HttpResponse:
        match request.path:
            case '/ledger':
                return HttpResponse(
                    HTTPStatus.OK, msgspec.json.encode(self.get_ledger())
                )
            case '/behaviour':
                self._behaviour = msgspec.json.decode(
                    request.body,
                    type=Behaviour,
                )
                return HttpResponse(HTTPStatus.OK, b'{}')
        return self._handle_work_request(request)

    def _handle_work_request(self, request: HttpRequest) -> HttpResponse:
        query = dict(urllib.parse.parse_qsl(request.query))
        request_id = query.get('id', '')
        if not request_id:
            request_id = request.headers.get('cumintack-request-id', '')
        with self._lock:
            self._runs[request_id] += 1
            self._in_flight += 1
            self._peak_in_flight = max(self._peak_in_flight, self._in_flight)
        try:
            self._simulate_work()
        finally:
            with self._lock:
                self._in_flight -= 1
        body = b'{"answer_to":"%s"}' % request_id.encode()
        if not self._behaviour.is_short:
            return HttpResponse(HTTPStatus.OK, body)
        declared = Header('Content-Length', str(len(body) * 2))
        return HttpResponse(
            HTTPStatus.OK,
            body,
            (declared,),
            is_length_given=True,
        )

    def _simulate_work(self) -> None:
        behaviour = self._behaviour
        while self._behaviour.is_hung and not self._stopped.is_set():
            time.sleep(HANG_POLL_S)
        variation = 1 + behaviour.spread * (2 * self._rng.random() - 1)
        factor = behaviour.factor * (1 + self._interference)
        time.sleep(behaviour.work_ms * factor * variation / 1000)


@click.command()
@click.option('--address', required=True)
@click.option('--guard', 'guard_address', default='')
@click.option('--service', default='rounds-desk')
@click.option('--slots', default=8)
@click.option('--work-ms', default=DEFAULT_WORK_MS)
@click.option('--spread', default=0.5)
@click.option('--announced', default='')
@click.option('--agent', 'agent_address', default='')
def main(
    address: str,
    guard_address: str,
    service: str,
    slots: int,
    work_ms: float,
    spread: float,
    announced: str,
    agent_address: str,
) -> None:
    """Run a simulated upstream until SIGTERM or SIGINT."""
    upstream = SampleUpstream(
        address,
        guard_address,
        service,
        slots,
        Behaviour(work_ms, spread),
        announced,
        agent_address,
    )
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_args: stopped.set())
    upstream.start()
    stopped.wait()
    upstream.stop()


if __name__ == '__main__':
    main()
