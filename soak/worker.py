"""A stand-in of a worker: runs tasks under a lease, keeps what it ended.

It follows the pages of the platform. Its faults are those that the pages
name: it crashes and comes back under a new life, leaves calls unanswered and
carries them out late, gives no answer at all, drains and leaves.
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

POOL = 'pool'
STEP_S = 0.02
BEAT_S = 0.4
MAX_BYTES = 1048576
MS_PER_S = 1000
MOST_HOLD_S = 10.0
FAIL_SHARE = 0.02
SAVE_S = 0.5
DRAIN_S = 4.0
# A call that gets no answer is carried out within this time.
LATE_S = (2.0, 8.0)
LATE_SHARE = 0.5
CALLS = {
    '/v1/run-start': WireStart,
    '/v1/run-stop': WireStop,
    '/v1/hold': WireHoldRequest,
    '/v1/pace': WirePace,
}


class Held(msgspec.Struct):
    """A run that the worker holds."""

    task_id: str
    run: int
    done_s: float
    needed_s: float
    checkpoint: str


class Life(msgspec.Struct):
    """What is gone after a crash."""

    number: int
    worker_id: str
    born_ms: int
    token: int = 0
    lease_until_s: float = 0
    held: dict[str, Held] = {}
    newest: dict[str, int] = {}
    ended: list[tuple[int, str, int, str, str]] = []
    ended_count: int = 0
    is_draining: bool = False


class SoakWorker:
    """One worker on loopback beside one guard."""

    __slots__ = (
        '_beats',
        '_is_closed',
        '_is_late',
        '_is_mute',
        '_life',
        '_lock',
        '_rng',
        '_server',
        '_slowness',
        'address',
        'name',
        'record',
    )

    def __init__(
        self,
        name: str,
        guard_address: str,
        record: oracle.Record,
        lock: threading.RLock,
        seed: int,
    ) -> None:
        """Listen, and let time pass."""
        self.name = name
        self.record = record
        self._lock = lock
        self._rng = random.Random(f'{seed}.{name}')
        # The clock of a worker may be 2% slow.
        self._slowness = self._rng.uniform(0.98, 1)
        self._is_closed = False
        self._is_late = False
        self._is_mute = False
        self._life = self._create_life(1)
        self._beats = HttpClient(guard_address, 1, MAX_BYTES)
        self.address = f'127.0.0.1:{find_free_port()}'
        self._server = HttpServer(self.address, self._respond, 6, MAX_BYTES)
        self._server.start()
        for loop in (self._advance_always, self._beat_always):
            threading.Thread(target=loop, daemon=True).start()

    def _create_life(self, number: int) -> Life:
        born_ms = int(time.time() * MS_PER_S)
        return Life(number, f'i-{self.name}-{number % 2}', born_ms)

    def _now_s(self) -> float:
        return time.monotonic() * self._slowness

    def close(self) -> None:
        """Stop everything."""
        self._is_closed = True
        self._server.stop()

    def crash(self) -> None:
        """End this life, and begin another one."""
        with self._lock:
            for held in self._life.held.values():
                oracle.take_end(self.record, held.task_id, held.run, 'gone')
            self._life = self._create_life(self._life.number + 1)

    def set_late(self, *, is_late: bool) -> None:
        """Leave calls unanswered, and carry them out later."""
        self._is_late = is_late

    def set_mute(self, *, is_mute: bool) -> None:
        """Give no answer and do nothing."""
        self._is_mute = is_mute

    def drain(self) -> None:
        """Announce that this life ends, and end it."""
        with self._lock:
            self._life.is_draining = True
        threading.Timer(DRAIN_S, self.crash).start()

    def _beat_always(self) -> None:
        sequence = 0
        while not self._is_closed:
            time.sleep(BEAT_S)
            sequence += 1
            with self._lock:
                life = self._life
                holds = self.record.holds[self.name]
                state = 'draining' if life.is_draining else 'ready'
            beat = WireHeartbeat(
                POOL,
                self.address,
                'north-yard',
                state,
                sequence,
                life.born_ms,
                WireCapacity(holds.cores_milli, holds.memory_mb),
                ('a', 'r1-1'),
                DRAIN_S * MS_PER_S if life.is_draining else 0,
            )
            path = f'/v1/instances/{life.worker_id}/heartbeat'
            if not self._is_mute:
                body = msgspec.json.encode(beat)
                self._beats.send('POST', path, {}, body, 1.0)

    def _advance_always(self) -> None:
        while not self._is_closed:
            time.sleep(STEP_S)
            with self._lock:
                self._advance(self._life)

    def _advance(self, life: Life) -> None:
        is_lapsed = self._now_s() > life.lease_until_s
        for held in list(life.held.values()):
            held.done_s += STEP_S
            saved = int(held.done_s / SAVE_S)
            if saved and not held.checkpoint.endswith(f'.{saved}'):
                held.checkpoint = f'{held.task_id}.{held.run}.{saved}'
                seen = self._get_seen(held)
                seen.checkpoints.add(held.checkpoint)
            if is_lapsed:
                self._end(life, held, 'lapsed')
            elif held.done_s >= held.needed_s:
                is_failed = self._rng.random() < FAIL_SHARE
                self._end(life, held, 'failed' if is_failed else 'done')

    def _get_seen(self, held: Held) -> oracle.SeenTask:
        workflow_id = held.task_id.partition('.')[0]
        workflow = self.record.workflows[workflow_id]
        return workflow.tasks[held.task_id]

    def _end(self, life: Life, held: Held, kind: str) -> None:
        life.held.pop(held.task_id)
        life.ended_count += 1
        newest = life.newest.get(held.task_id, 0)
        life.newest[held.task_id] = max(newest, held.run)
        row = (life.ended_count, held.task_id, held.run, kind, held.checkpoint)
        life.ended.append(row)
        oracle.take_end(self.record, held.task_id, held.run, kind)

    def _respond(self, request: HttpRequest) -> HttpResponse:
        wanted = request.headers.get('x-expect-instance', '')
        call = msgspec.json.decode(request.body, type=CALLS[request.path])
        if self._is_mute:
            time.sleep(2)
            return HttpResponse(HTTPStatus.GATEWAY_TIMEOUT, b'{}')
        with self._lock:
            if self._is_late and self._rng.random() < LATE_SHARE:
                late_s = self._rng.uniform(*LATE_S)
                threading.Timer(late_s, self._carry_out, (wanted, call)).start()
                wait_s = 2.0
            else:
                wait_s = 0.0
        if not wait_s:
            if isinstance(call, WireHoldRequest):
                self._wait_for_end(call)
            return self._carry_out(wanted, call)
        time.sleep(wait_s)
        return HttpResponse(HTTPStatus.GATEWAY_TIMEOUT, b'{}')

    def _wait_for_end(self, call: WireHoldRequest) -> None:
        until_s = time.monotonic() + call.wait_ms / MS_PER_S
        while time.monotonic() < until_s and not self._life.ended:
            time.sleep(STEP_S)

    def _carry_out(
        self,
        wanted: str,
        call: WireStart | WireStop | WireHoldRequest | WirePace,
    ) -> HttpResponse:
        with self._lock:
            life = self._life
            if wanted != life.worker_id:
                return self._answer(HTTPStatus.MISDIRECTED_REQUEST)
            if call.term < life.token:
                return self._answer(HTTPStatus.CONFLICT, reason='fence')
            life.token = call.term
            match call:
                case WireStart():
                    return self._start(life, call)
                case WireStop():
                    self._stop(life, call)
                case WireHoldRequest():
                    return self._show(life, call)
            return self._answer(HTTPStatus.OK)

    def _extend(self, life: Life, until_ms: int) -> None:
        until_s = min(until_ms / MS_PER_S, self._now_s() + MOST_HOLD_S)
        life.lease_until_s = max(life.lease_until_s, until_s)

    def _start(self, life: Life, call: WireStart) -> HttpResponse:
        held = life.held.get(call.task_id)
        if held is not None and held.run == call.run:
            return self._answer(HTTPStatus.OK)
        if call.lease_until_ms / MS_PER_S < self._now_s():
            return self._answer(HTTPStatus.CONFLICT, reason='late')
        self._extend(life, call.lease_until_ms)
        if call.run <= life.newest.get(call.task_id, 0):
            return self._answer(HTTPStatus.CONFLICT, reason='old')
        started = (call.task_id, call.run, call.program, call.checkpoint)
        oracle.take_start(self.record, self.name, started, time.monotonic())
        needed_s = float(call.program.rpartition('=')[2])
        saved = int(call.checkpoint.rpartition('.')[2] or 0) * SAVE_S
        life.held[call.task_id] = Held(
            call.task_id,
            call.run,
            saved,
            needed_s,
            call.checkpoint,
        )
        return self._answer(HTTPStatus.OK)

    def _stop(self, life: Life, call: WireStop) -> None:
        held = life.held.get(call.task_id)
        if held is not None and held.run <= call.run:
            self._end(life, held, 'stopped')
        newest = life.newest.get(call.task_id, 0)
        life.newest[call.task_id] = max(newest, call.run)

    def _show(self, life: Life, call: WireHoldRequest) -> HttpResponse:
        if call.lease_until_ms:
            self._extend(life, call.lease_until_ms)
        for number, task_id, run, kind, _saved in life.ended:
            if number <= call.settled_number:
                oracle.take_settled(self.record, task_id, run, kind)
        life.ended = [row for row in life.ended if row[0] > call.settled_number]
        return self._answer(
            HTTPStatus.OK,
            born=life.born_ms,
            running=[
                (held.task_id, held.run, held.checkpoint, 50, 0)
                for held in life.held.values()
            ],
            finished=life.ended,
        )

    def _answer(self, status: HTTPStatus, **fields: object) -> HttpResponse:
        body = {'clock_ms': int(self._now_s() * MS_PER_S), **fields}
        return HttpResponse(status, msgspec.json.encode(body))
