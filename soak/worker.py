"""Simulated worker that runs tasks under a lease and reports their ends.

It follows the documentation of the platform, and so do its faults: it crashes
and returns as a new incarnation, leaves calls unanswered and executes them
late, stops responding, or drains and leaves.
"""

import random
import threading
import time
from http import HTTPStatus

import msgspec

from cumintack.platform._wire import (
    WireCapacity,
    WireHeartbeat,
    WireHoldRequest,
    WirePace,
    WireStart,
    WireStop,
)
from cumintack.transport.http_client import HttpClient
from cumintack.transport.http_server import (
    HttpRequest,
    HttpResponse,
    HttpServer,
    find_free_port,
)
from soak import oracle
from soak.plan import DATA_CENTRES

POOL = 'pool'
TICK_S = 0.02
HEARTBEAT_INTERVAL_S = 0.4
MAX_BYTES = 1048576
MS_PER_S = 1000
MAX_LEASE_S = 10.0
FAILURE_PROBABILITY = 0.02
CHECKPOINT_INTERVAL_S = 0.5
DRAIN_TIME_S = 4.0
# Range of the delay, in seconds, after which an unanswered call is executed.
CALL_DELAY_S = (2.0, 8.0)
CALL_DELAY_PROBABILITY = 0.5
CALL_TYPES = {
    '/v1/run-start': WireStart,
    '/v1/run-stop': WireStop,
    '/v1/hold': WireHoldRequest,
    '/v1/pace': WirePace,
}


class HeldRun(msgspec.Struct):
    """A run in progress, with its progress in seconds."""

    task_id: str
    run: int
    done_s: float
    required_s: float
    checkpoint: str


class Incarnation(msgspec.Struct):
    """State of one incarnation of the worker, lost in a crash."""

    number: int
    worker_id: str
    born_ms: int
    fencing_token: int = 0
    lease_until_s: float = 0
    held_runs: dict[str, HeldRun] = {}
    highest_runs: dict[str, int] = {}
    ended: list[tuple[int, str, int, str, str]] = []
    ended_count: int = 0
    is_draining: bool = False


class SoakWorker:
    """Simulated worker on loopback, with one guard."""

    __slots__ = (
        '_clock_rate',
        '_heartbeat_client',
        '_incarnation',
        '_is_closed',
        '_is_delaying_calls',
        '_is_unresponsive',
        '_lock',
        '_rng',
        '_server',
        'address',
        'history',
        'name',
    )

    def __init__(
        self,
        name: str,
        guard_address: str,
        history: oracle.History,
        lock: threading.RLock,
        seed: int,
    ) -> None:
        """Start listening, sending heartbeats and advancing the runs."""
        self.name = name
        self.history = history
        self._lock = lock
        self._rng = random.Random(f'{seed}.{name}')
        # The clock of a worker may be up to 2% slow.
        self._clock_rate = self._rng.uniform(0.98, 1)
        self._is_closed = False
        self._is_delaying_calls = False
        self._is_unresponsive = False
        self._incarnation = self._create_incarnation(1)
        self._heartbeat_client = HttpClient(guard_address, 1, MAX_BYTES)
        self.address = f'127.0.0.1:{find_free_port()}'
        self._server = HttpServer(
            self.address, self._handle_request, 6, MAX_BYTES
        )
        self._server.start()
        for loop in (self._advance_periodically, self._send_heartbeats):
            threading.Thread(target=loop, daemon=True).start()

    def _create_incarnation(self, number: int) -> Incarnation:
        born_ms = int(time.time() * MS_PER_S)
        return Incarnation(number, f'i-{self.name}-{number % 2}', born_ms)

    def _now_s(self) -> float:
        return time.monotonic() * self._clock_rate

    def close(self) -> None:
        """Stop the server and the threads."""
        self._is_closed = True
        self._server.stop()

    def crash(self) -> None:
        """End this incarnation and start the next one."""
        with self._lock:
            for held in self._incarnation.held_runs.values():
                oracle.record_end(self.history, held.task_id, held.run, 'gone')
            self._incarnation = self._create_incarnation(
                self._incarnation.number + 1
            )

    def set_delaying_calls(self, *, is_delaying_calls: bool) -> None:
        """Start or stop leaving calls unanswered and executing them late."""
        self._is_delaying_calls = is_delaying_calls

    def set_unresponsive(self, *, is_unresponsive: bool) -> None:
        """Stop or resume answering calls and sending heartbeats."""
        self._is_unresponsive = is_unresponsive

    def drain(self) -> None:
        """Announce that this incarnation drains, and end it later."""
        with self._lock:
            self._incarnation.is_draining = True
        threading.Timer(DRAIN_TIME_S, self.crash).start()

    def _send_heartbeats(self) -> None:
        sequence = 0
        while not self._is_closed:
            time.sleep(HEARTBEAT_INTERVAL_S)
            sequence += 1
            with self._lock:
                incarnation = self._incarnation
                capacity = self.history.capacities[self.name]
                state = 'draining' if incarnation.is_draining else 'ready'
            heartbeat = WireHeartbeat(
                pool=POOL,
                address=self.address,
                data_centre=DATA_CENTRES[self.name],
                software='v1',
                slots=8,
                state=state,
                cold_for_ms=0,
                sequence=sequence,
                born_ms=incarnation.born_ms,
                clock_ms=int(self._now_s() * MS_PER_S),
                capacity=WireCapacity(
                    capacity.cores_milli, capacity.memory_mb, 0
                ),
                labels=('a', 'r1-1'),
                leaves_in_ms=(
                    DRAIN_TIME_S * MS_PER_S
                    if incarnation.is_draining
                    else msgspec.UNSET
                ),
            )
            path = f'/v1/instances/{incarnation.worker_id}/heartbeat'
            if not self._is_unresponsive:
                body = msgspec.json.encode(heartbeat)
                self._heartbeat_client.send('POST', path, {}, body, 1.0)

    def _advance_periodically(self) -> None:
        while not self._is_closed:
            time.sleep(TICK_S)
            with self._lock:
                self._advance(self._incarnation)

    def _advance(self, incarnation: Incarnation) -> None:
        is_lease_expired = self._now_s() > incarnation.lease_until_s
        for held in list(incarnation.held_runs.values()):
            held.done_s += TICK_S
            saved = int(held.done_s / CHECKPOINT_INTERVAL_S)
            if saved and not held.checkpoint.endswith(f'.{saved}'):
                held.checkpoint = f'{held.task_id}.{held.run}.{saved}'
                task = self._get_observed_task(held)
                task.checkpoints.add(held.checkpoint)
            if is_lease_expired:
                self._end(incarnation, held, 'lapsed')
            elif held.done_s >= held.required_s:
                is_failed = self._rng.random() < FAILURE_PROBABILITY
                self._end(incarnation, held, 'failed' if is_failed else 'done')

    def _get_observed_task(self, held: HeldRun) -> oracle.ObservedTask:
        workflow_id = held.task_id.partition('.')[0]
        workflow = self.history.workflows[workflow_id]
        return workflow.tasks[held.task_id]

    def _end(self, incarnation: Incarnation, held: HeldRun, kind: str) -> None:
        incarnation.held_runs.pop(held.task_id)
        incarnation.ended_count += 1
        highest_run = incarnation.highest_runs.get(held.task_id, 0)
        incarnation.highest_runs[held.task_id] = max(highest_run, held.run)
        row = (
            incarnation.ended_count,
            held.task_id,
            held.run,
            kind,
            held.checkpoint,
        )
        incarnation.ended.append(row)
        oracle.record_end(self.history, held.task_id, held.run, kind)

    def _handle_request(self, request: HttpRequest) -> HttpResponse:
        expected_worker_id = request.headers.get('x-expect-instance', '')
        call = msgspec.json.decode(request.body, type=CALL_TYPES[request.path])
        if self._is_unresponsive:
            time.sleep(2)
            return HttpResponse(HTTPStatus.GATEWAY_TIMEOUT, b'{}')
        with self._lock:
            if (
                self._is_delaying_calls
                and self._rng.random() < CALL_DELAY_PROBABILITY
            ):
                delay_s = self._rng.uniform(*CALL_DELAY_S)
                threading.Timer(
                    delay_s, self._execute_call, (expected_worker_id, call)
                ).start()
                wait_s = 2.0
            else:
                wait_s = 0.0
        if not wait_s:
            if isinstance(call, WireHoldRequest):
                self._wait_for_end(call)
            return self._execute_call(expected_worker_id, call)
        time.sleep(wait_s)
        return HttpResponse(HTTPStatus.GATEWAY_TIMEOUT, b'{}')

    def _wait_for_end(self, call: WireHoldRequest) -> None:
        deadline_s = time.monotonic() + call.wait_ms / MS_PER_S
        while time.monotonic() < deadline_s and not self._incarnation.ended:
            time.sleep(TICK_S)

    def _execute_call(
        self,
        expected_worker_id: str,
        call: WireStart | WireStop | WireHoldRequest | WirePace,
    ) -> HttpResponse:
        with self._lock:
            incarnation = self._incarnation
            if expected_worker_id != incarnation.worker_id:
                return self._create_response(HTTPStatus.MISDIRECTED_REQUEST)
            if call.token < incarnation.fencing_token:
                return self._create_response(
                    HTTPStatus.CONFLICT, reason='fence'
                )
            incarnation.fencing_token = call.token
            match call:
                case WireStart():
                    return self._handle_start(incarnation, call)
                case WireStop():
                    self._handle_stop(incarnation, call)
                case WireHoldRequest():
                    return self._handle_poll(incarnation, call)
            return self._create_response(HTTPStatus.OK)

    def _extend_lease(self, incarnation: Incarnation, until_ms: int) -> None:
        until_s = min(until_ms / MS_PER_S, self._now_s() + MAX_LEASE_S)
        incarnation.lease_until_s = max(incarnation.lease_until_s, until_s)

    def _handle_start(
        self, incarnation: Incarnation, call: WireStart
    ) -> HttpResponse:
        held = incarnation.held_runs.get(call.task_id)
        if held is not None and held.run == call.run:
            return self._create_response(HTTPStatus.OK)
        if call.lease_until_ms / MS_PER_S < self._now_s():
            return self._create_response(HTTPStatus.CONFLICT, reason='late')
        self._extend_lease(incarnation, call.lease_until_ms)
        if call.run <= incarnation.highest_runs.get(call.task_id, 0):
            return self._create_response(HTTPStatus.CONFLICT, reason='old')
        started = (call.task_id, call.run, call.program, call.checkpoint)
        oracle.record_start(self.history, self.name, started, time.monotonic())
        required_s = float(call.program.rpartition('=')[2])
        saved = (
            int(call.checkpoint.rpartition('.')[2] or 0) * CHECKPOINT_INTERVAL_S
        )
        incarnation.held_runs[call.task_id] = HeldRun(
            call.task_id,
            call.run,
            saved,
            required_s,
            call.checkpoint,
        )
        return self._create_response(HTTPStatus.OK)

    def _handle_stop(self, incarnation: Incarnation, call: WireStop) -> None:
        held = incarnation.held_runs.get(call.task_id)
        if held is not None and held.run <= call.run:
            self._end(incarnation, held, 'stopped')
        highest_run = incarnation.highest_runs.get(call.task_id, 0)
        incarnation.highest_runs[call.task_id] = max(highest_run, call.run)

    def _handle_poll(
        self, incarnation: Incarnation, call: WireHoldRequest
    ) -> HttpResponse:
        if call.lease_until_ms:
            self._extend_lease(incarnation, call.lease_until_ms)
        for number, task_id, run, kind, _saved in incarnation.ended:
            if number <= call.settled_number:
                oracle.record_acknowledged_end(self.history, task_id, run, kind)
        incarnation.ended = [
            row for row in incarnation.ended if row[0] > call.settled_number
        ]
        return self._create_response(
            HTTPStatus.OK,
            born=incarnation.born_ms,
            running=[
                (held.task_id, held.run, held.checkpoint, 50, 0)
                for held in incarnation.held_runs.values()
            ],
            finished=incarnation.ended,
        )

    def _create_response(
        self, status: HTTPStatus, **fields: object
    ) -> HttpResponse:
        body = {'clock_ms': int(self._now_s() * MS_PER_S), **fields}
        return HttpResponse(status, msgspec.json.encode(body))
