"""Callers and an operator that use the system and record their answers."""

import random
import threading
import time

import msgspec
from result import Ok

from cumintack.platform._wire import (
    WireConfiguration,
    WireJob,
    WireRoute,
    WireService,
    WireStep,
)
from cumintack.state.resources import Resources
from cumintack.state.workflows import StepSpec
from cumintack.transport.http_client import HttpAnswer, HttpClient
from soak import oracle
from soak.plan import EVACUATED
from soak.worker import POOL

HOST = 'desk.example'
PREFIX = '/queue/'
MAX_ATTEMPTS = 3
# Seconds that a caller or the operator waits for an answer.
TIMEOUT_S = 3.0
# Maximum submissions of a workflow until the answer is conclusive.
MAX_SUBMIT_TRIES = 4
OK_STATUSES = range(200, 300)
GONE = 410
MAX_BYTES = 1048576
_STATES = msgspec.json.Decoder(dict[str, str])
_CONFIGURATIONS = msgspec.json.Decoder(WireConfiguration)


class Caller:
    """Caller that submits workflows, polls them and cancels a few."""

    __slots__ = ('_clients', '_history', '_lock', '_rng', '_submitted_ids')

    def __init__(
        self,
        entries: list[str],
        history: oracle.History,
        lock: threading.RLock,
        seed: str,
    ) -> None:
        """Create a caller that sends each request to a random entry."""
        self._clients = [HttpClient(entry, 1, MAX_BYTES) for entry in entries]
        self._history = history
        self._lock = lock
        self._rng = random.Random(seed)
        self._submitted_ids: list[str] = []

    def perform_action(self) -> None:
        """Submit, poll or cancel one workflow, chosen at random."""
        action_number = self._rng.randrange(100)
        if action_number < 50 or not self._submitted_ids:
            self._submit()
        elif action_number < 94:
            self.poll_status(self._rng.choice(self._submitted_ids))
        else:
            self._cancel(self._rng.choice(self._submitted_ids))

    def _send(
        self,
        method: str,
        workflow_id: str,
        body: bytes = b'',
    ) -> HttpAnswer | None:
        headers = {'Host': HOST, 'X-Deadline-Ms': str(int(TIMEOUT_S * 1000))}
        if body:
            headers['Content-Type'] = 'application/json'
        client = self._rng.choice(self._clients)
        path = PREFIX + workflow_id
        sent = client.send(method, path, headers, body, TIMEOUT_S)
        return sent.ok_value if isinstance(sent, Ok) else None

    def _submit(self) -> None:
        workflow_id = f'{self._rng.getrandbits(64):016x}'
        seconds = self._rng.choice((0.1, 0.4, 1.2))
        program = f'{workflow_id} run_s={seconds}'
        steps = self._draw_steps()
        workflow = oracle.ObservedWorkflow(program, steps, MAX_ATTEMPTS)
        with self._lock:
            oracle.record_submission(self._history, workflow_id, workflow)
        body = msgspec.json.encode(
            WireJob(tuple(_encode_step(step) for step in steps), program),
        )
        for _ in range(MAX_SUBMIT_TRIES):
            answer = self._send('POST', workflow_id, body)
            status = answer.status if answer else None
            with self._lock:
                oracle.record_answer(self._history, workflow_id, status)
            if status is not None and status not in {502, 504}:
                break
        self._submitted_ids.append(workflow_id)

    def _draw_steps(self) -> tuple[StepSpec, ...]:
        rng = self._rng
        return tuple(
            StepSpec(
                rng.randint(1, 4),
                Resources(rng.randint(1, 4) * 1000, rng.randint(1, 4) * 1000),
                rng.randint(100, 1500),
                (position - 1,) if position else (),
                is_checkpointed=rng.choice((True, False)),
            )
            for position in range(rng.randint(1, 3))
        )

    def _cancel(self, workflow_id: str) -> None:
        workflow = self._history.workflows[workflow_id]
        workflow.is_cancel_sent = True
        answer = self._send('DELETE', workflow_id)
        if answer is not None and answer.status in OK_STATUSES:
            workflow.cancelled_at_s = time.monotonic()

    def poll_status(self, workflow_id: str) -> None:
        """Request the status of a workflow and record it."""
        answer = self._send('GET', workflow_id)
        if answer is None or answer.status not in {200, GONE}:
            return
        status = 'gone'
        if answer.status != GONE:
            status = _STATES.decode(answer.body)['state']
        with self._lock:
            oracle.record_status(self._history, workflow_id, status)

    def poll_pending(self) -> int:
        """Poll all workflows that have yet to end, and return their number."""
        pending_ids = [
            workflow_id
            for workflow_id in self._submitted_ids
            if oracle.is_pending(self._history.workflows[workflow_id])
        ]
        for workflow_id in pending_ids:
            self.poll_status(workflow_id)
        return len(pending_ids)


def _encode_step(step: StepSpec) -> WireStep:
    return WireStep(
        step.task_count,
        step.need.cores_milli,
        step.need.memory_mb,
        estimate_ms=step.estimate_ms,
        depends_on=step.depends_on,
        is_checkpointed=step.is_checkpointed,
    )


class Operator:
    """Operator that replaces and reads the queues, and evacuates workers."""

    __slots__ = (
        '_clients',
        '_history',
        '_is_evacuation_open',
        '_is_evacuating',
        '_rng',
        '_version',
    )

    def __init__(
        self,
        addresses: list[str],
        history: oracle.History,
        seed: str,
    ) -> None:
        """Create an operator that sends each request to a random replica."""
        self._clients = [HttpClient(each, 1, MAX_BYTES) for each in addresses]
        self._history = history
        self._rng = random.Random(seed)
        self._version = 0
        self._is_evacuating = False
        # Whether the latest request has yet to be acknowledged.
        self._is_evacuation_open = False

    def perform_action(self) -> None:
        """Replace the queues, read them or evacuate, chosen at random."""
        is_first = not self._history.acknowledged_version
        if self._is_evacuation_open:
            self._request_evacuation()
        elif not is_first and not self._rng.randrange(12):
            self._is_evacuating = not self._is_evacuating
            self._request_evacuation()
        elif is_first or self._rng.randrange(10) < 3:
            self._replace_configuration()
        else:
            self.read_configuration()

    def _replace_configuration(self) -> None:
        self._version += self._rng.randint(1, 3)
        route = WireRoute(
            'queue',
            HOST,
            PREFIX,
            POOL,
            timeout_ms=int(TIMEOUT_S * 1000),
            attempts=MAX_ATTEMPTS,
            stretch=2,
        )
        service = WireService(POOL, is_capacity_checked=True)
        body = msgspec.json.encode(
            WireConfiguration(self._version, (route,), (service,)),
        )
        answer = self._send('POST', '/v1/config/replace', body)
        if answer is not None and answer.status in OK_STATUSES:
            self._history.acknowledged_version = self._version

    def _request_evacuation(self) -> None:
        """Begin or end the evacuation, again until it is acknowledged."""
        self._is_evacuation_open = True
        evacuated_since_s = self._history.evacuated_since_s
        if not self._is_evacuating:
            evacuated_since_s.pop(EVACUATED, None)
        change = 'start' if self._is_evacuating else 'end'
        answer = self._send('POST', f'/v1/evacuation/{EVACUATED}/{change}')
        if answer is None or answer.status not in OK_STATUSES:
            return
        self._is_evacuation_open = False
        if self._is_evacuating:
            evacuated_since_s.setdefault(EVACUATED, time.monotonic())

    def read_configuration(self) -> bool:
        """Read the queues; return whether there was an answer."""
        min_version = self._history.acknowledged_version
        answer = self._send('GET', '/v1/config/read')
        if answer is None or answer.status not in OK_STATUSES:
            return False
        version = _CONFIGURATIONS.decode(answer.body).version
        oracle.record_version_read(self._history, min_version, version)
        return True

    def _send(
        self,
        method: str,
        path: str,
        body: bytes = b'',
    ) -> HttpAnswer | None:
        client = self._rng.choice(self._clients)
        headers = {'Content-Type': 'application/json'} if body else {}
        sent = client.send(method, path, headers, body, TIMEOUT_S)
        return sent.ok_value if isinstance(sent, Ok) else None
