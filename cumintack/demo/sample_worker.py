"""Simulated platform agent of one worker.

It simulates tasks by elapsed time, stops them when their lease expires, and
rejects an attempt unless its number is the highest seen for its task. Its
ledger of completed attempts is the oracle for exactly-once completion.
"""

import collections
import re
import signal
import threading
import time
import urllib.parse
from http import HTTPStatus

import click
import msgspec

from cumintack.protocol.worker_actions import HeldAttempt
from cumintack.state.resources import (
    ZERO_RESOURCES,
    Resources,
    add_resources,
    fits_within,
)
from cumintack.state.workers import WorkerSpec
from cumintack.transport.agent_client import (
    ForgetBody,
    RenewBody,
    StartBody,
    ThrottleBody,
    WorkerReport,
)
from cumintack.transport.http_server import (
    HttpRequest,
    HttpResponse,
    HttpServer,
)

THREADS = 4
MAX_BODY_BYTES = 8388608
TICK_S = 0.02
THROTTLE_FACTOR = 0.5
TASK_PATH = re.compile(r'/v1/tasks/(.+)/(\d+)/(start|stop|throttle)')
DEFAULT_RUN_MS = 200.0
DEFAULT_CORES = 32
DEFAULT_MEMORY_GB = 125


class SimulatedAttempt(msgspec.Struct):
    """An attempt held by the worker, with its progress and its lease."""

    held: HeldAttempt
    need: Resources
    run_ms: float
    done_ms: float
    lease_until_ms: int
    is_failing: bool = False
    noise: float = 0


class WorkerLedger(msgspec.Struct, frozen=True):
    """What the worker executed.

    Attributes:
        completed: Number of completed attempts by task.
        overfull: Number of starts that exceeded the worker's capacity.
        started: Number of attempts started.
        noise: Relative slowdown that running tasks cause the service there.
    """

    completed: dict[str, int]
    overfull: int
    started: int
    noise: float = 0


class SampleWorker:
    """Server of the agent, and a thread that advances the tasks."""

    __slots__ = (
        '_attempts',
        '_completed',
        '_highest_attempts',
        '_is_failing',
        '_lock',
        '_overload_count',
        '_server',
        '_spec',
        '_started_count',
        '_stopped',
        '_thread',
    )

    def __init__(self, address: str, spec: WorkerSpec) -> None:
        """Create an agent that listens at ``address``."""
        self._spec = spec
        self._lock = threading.Lock()
        self._attempts: dict[tuple[str, int], SimulatedAttempt] = {}
        self._highest_attempts: dict[str, int] = {}
        self._completed: collections.Counter[str] = collections.Counter()
        self._overload_count = 0
        self._started_count = 0
        self._is_failing = False
        self._stopped = threading.Event()
        self._server = HttpServer(address, self._serve, THREADS, MAX_BODY_BYTES)
        self._thread = threading.Thread(target=self._advance, daemon=True)

    def start(self) -> None:
        """Start serving and advancing tasks."""
        self._server.start()
        self._thread.start()

    def get_address(self) -> str:
        """Return the address that the server listens on."""
        return f'127.0.0.1:{self._server.get_port()}'

    def get_ledger(self) -> WorkerLedger:
        """Return what was executed so far."""
        with self._lock:
            return WorkerLedger(
                dict(self._completed),
                self._overload_count,
                self._started_count,
                self._compute_interference(),
            )

    def stop(self) -> None:
        """Stop the server and the thread."""
        self._stopped.set()
        self._server.stop()

    def _advance(self) -> None:
        previous_s = time.monotonic()
        while not self._stopped.wait(TICK_S):
            now_s = time.monotonic()
            elapsed_ms = (now_s - previous_s) * 1000
            previous_s = now_s
            with self._lock:
                for key, attempt in self._attempts.items():
                    self._advance_attempt(key[0], attempt, elapsed_ms)

    def _advance_attempt(
        self,
        task_id: str,
        attempt: SimulatedAttempt,
        elapsed_ms: float,
    ) -> None:
        held = attempt.held
        if held.phase != 'running':
            return
        attempt.done_ms += elapsed_ms * _get_pace(attempt)
        checkpoint = f'done_ms={attempt.done_ms:.0f}'
        phase = 'running'
        if attempt.is_failing:
            phase = 'failed'
        elif attempt.done_ms >= attempt.run_ms:
            phase = 'completed'
            self._completed[task_id] += 1
        elif _read_clock_ms() >= attempt.lease_until_ms:
            phase = 'stopped'
        attempt.held = msgspec.structs.replace(
            held,
            phase=phase,
            checkpoint=checkpoint,
        )

    def _serve(self, request: HttpRequest) -> HttpResponse:
        match (request.method, request.path):
            case ('GET', '/v1/report'):
                return HttpResponse(
                    HTTPStatus.OK, msgspec.json.encode(self._report())
                )
            case ('GET', '/v1/ledger'):
                return HttpResponse(
                    HTTPStatus.OK, msgspec.json.encode(self.get_ledger())
                )
            case ('POST', '/v1/renew'):
                self._renew_leases(
                    msgspec.json.decode(request.body, type=RenewBody)
                )
            case ('POST', '/v1/forget'):
                body = msgspec.json.decode(request.body, type=ForgetBody)
                with self._lock:
                    for task_id, number in body.attempts:
                        self._attempts.pop((task_id, number), None)
            case ('POST', '/v1/failing'):
                self._is_failing = request.body == b'true'
            case _:
                return self._serve_task(request)
        return HttpResponse(HTTPStatus.OK, b'{}')

    def _serve_task(self, request: HttpRequest) -> HttpResponse:
        found = TASK_PATH.fullmatch(request.path)
        if found is None:
            return HttpResponse(HTTPStatus.NOT_FOUND, b'{}')
        task_id = urllib.parse.unquote(found[1])
        key = (task_id, int(found[2]))
        with self._lock:
            match found[3]:
                case 'start':
                    body = msgspec.json.decode(request.body, type=StartBody)
                    return self._start_attempt(key, body)
                case 'stop':
                    self._stop_attempt(key)
                case _:
                    throttle = msgspec.json.decode(
                        request.body,
                        type=ThrottleBody,
                    )
                    self._throttle_attempt(key, throttle)
        return HttpResponse(HTTPStatus.OK, b'{}')

    def _start_attempt(
        self, key: tuple[str, int], body: StartBody
    ) -> HttpResponse:
        if key in self._attempts:
            return HttpResponse(HTTPStatus.OK, b'{}')
        is_newer = key[1] > self._highest_attempts.get(key[0], 0)
        if _read_clock_ms() >= body.lease_until_ms:
            return HttpResponse(HTTPStatus.GONE, b'{"error":"lease over"}')
        if not is_newer:
            return HttpResponse(HTTPStatus.CONFLICT, b'{"error":"fenced"}')
        self._highest_attempts[key[0]] = key[1]
        options = dict(urllib.parse.parse_qsl(body.payload))
        resumed = dict(urllib.parse.parse_qsl(body.checkpoint))
        self._started_count += 1
        self._attempts[key] = SimulatedAttempt(
            HeldAttempt(key[0], key[1], 'running'),
            body.need,
            float(options.get('run_ms', DEFAULT_RUN_MS)),
            float(resumed.get('done_ms', 0)),
            body.lease_until_ms,
            self._is_failing or 'fail' in options,
            float(options.get('noise', 0)),
        )
        if not fits_within(self._compute_usage(), self._spec.holds):
            self._overload_count += 1
        return HttpResponse(HTTPStatus.OK, b'{}')

    def _stop_attempt(self, key: tuple[str, int]) -> None:
        attempt = self._attempts.get(key)
        if attempt is None:
            self._highest_attempts[key[0]] = max(
                key[1], self._highest_attempts.get(key[0], 0)
            )
            attempt = SimulatedAttempt(
                HeldAttempt(key[0], key[1], 'absent'),
                ZERO_RESOURCES,
                0,
                0,
                0,
            )
            self._attempts[key] = attempt
        if attempt.held.phase == 'running':
            attempt.held = msgspec.structs.replace(
                attempt.held,
                phase='stopped',
                checkpoint=f'done_ms={attempt.done_ms:.0f}',
            )

    def _throttle_attempt(
        self, key: tuple[str, int], body: ThrottleBody
    ) -> None:
        attempt = self._attempts.get(key)
        if attempt is not None:
            attempt.held = msgspec.structs.replace(
                attempt.held,
                is_throttled=body.is_throttled,
            )

    def _renew_leases(self, body: RenewBody) -> None:
        with self._lock:
            for task_id, number in body.attempts:
                attempt = self._attempts.get((task_id, number))
                if attempt is not None:
                    attempt.lease_until_ms = max(
                        attempt.lease_until_ms,
                        body.lease_until_ms,
                    )

    def _compute_usage(self) -> Resources:
        usage = ZERO_RESOURCES
        for attempt in self._attempts.values():
            if attempt.held.phase == 'running':
                usage = add_resources(usage, attempt.need)
        return usage

    def _compute_interference(self) -> float:
        return sum(
            attempt.noise * _get_pace(attempt)
            for attempt in self._attempts.values()
            if attempt.held.phase == 'running'
        )

    def _report(self) -> WorkerReport:
        with self._lock:
            return WorkerReport(
                _read_clock_ms(),
                self._spec,
                self._compute_usage(),
                [attempt.held for attempt in self._attempts.values()],
            )


def _get_pace(attempt: SimulatedAttempt) -> float:
    return THROTTLE_FACTOR if attempt.held.is_throttled else 1.0


def _read_clock_ms() -> int:
    return int(time.monotonic() * 1000)


@click.command()
@click.option('--address', required=True)
@click.option('--name', required=True)
@click.option('--data-centre', required=True)
@click.option('--rack', default='rack-1')
@click.option('--cores', default=DEFAULT_CORES)
@click.option('--memory-gb', default=DEFAULT_MEMORY_GB)
@click.option('--accelerators', default=0)
def main(
    address: str,
    name: str,
    data_centre: str,
    rack: str,
    cores: int,
    memory_gb: int,
    accelerators: int,
) -> None:
    """Run a simulated worker agent until SIGTERM or SIGINT."""
    holds = Resources(cores * 1000, memory_gb * 1024, accelerators)
    worker = SampleWorker(
        address,
        WorkerSpec(name, data_centre, rack, holds),
    )
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_args: stopped.set())
    worker.start()
    stopped.wait()
    worker.stop()


if __name__ == '__main__':
    main()
