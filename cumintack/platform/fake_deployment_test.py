"""A guard with its worker and a leader, for tests of the adapters.

Announcements and lists of runs pass through the adapters, the guard, the
messages between processes, the leader, the log and a snapshot.
"""

import json
from typing import Any

import msgspec
from result import Ok, Result

from cumintack.coordination.effects import ProposeAsLeader, Send
from cumintack.coordination.runs.run_leadership import (
    RunEffect,
    handle_applied_run_operation,
    handle_report,
    handle_run_tick,
)
from cumintack.coordination.runs.run_leadership_state import (
    RunLeadership,
    RunSettings,
)
from cumintack.coordination.runs.run_reconciliation import (
    apply_orders,
    apply_poll_result,
    create_report,
    record_incarnation_end,
    record_worker_info,
)
from cumintack.coordination.runs.unanswered_calls import (
    MAX_CALL_DELAY_S,
    create_worker_run_state,
)
from cumintack.coordination.runs.worker_run_state import (
    FencingToken,
    PollResult,
)
from cumintack.daemon.settings import WorkflowGuardSettings
from cumintack.platform.announcements import WorkerAnnouncements
from cumintack.platform.fake_worker_test import BORN_MS, INSTANCE, FakeWorker
from cumintack.platform.worker_calls import PlatformWorkerClient
from cumintack.protocol.codec import (
    PROTOCOL_VERSION,
    Envelope,
    decode_envelope,
    encode_envelope,
)
from cumintack.protocol.messages import Message
from cumintack.protocol.run_messages import (
    RunKey,
    RunningRun,
    RunOrders,
    RunReport,
    WorkerInfo,
)
from cumintack.state.commands import Command, Operation
from cumintack.state.errors import StepError
from cumintack.state.events import HybridTimestamp
from cumintack.state.machine import apply_command, decode_tables, encode_tables
from cumintack.state.queues import Pool, Queue, QueueConfiguration
from cumintack.state.resources import Resources
from cumintack.state.tables import ControlTables
from cumintack.state.workflows import (
    AcceptWorkflow,
    ReplaceQueues,
    StepKey,
    StepSpec,
    TaskKey,
    WorkflowSpec,
    list_pools,
)
from cumintack.transport.clock import SystemClock
from cumintack.transport.http_server import HttpRequest

GUARD = '10.0.0.1'
WORKFLOW_ID = '0123456789abcdef'
PATH = f'/queue/{WORKFLOW_ID}'
TASK = TaskKey(StepKey(WORKFLOW_ID, 0, 0), 0)
CLOCK = SystemClock()
HEARTBEAT: dict[str, Any] = {
    'service': 'pool',
    'zone': 'north-yard',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'cold_remaining_ms': 0,
    'sequence': 4,
    'born': BORN_MS,
    'clock_ms': 482113,
    'capacity': {'cpu': 16000, 'mem_mb': 32768, 'gpu': 0},
    'labels': ['a', 'r1-3'],
}
LISTED: dict[str, Any] = {
    'clock_ms': 482113,
    'born': BORN_MS,
    'running': [],
    'finished': [],
}
OTHER_INFO = WorkerInfo(
    'i-other',
    '000001700000000000.i-other',
    'pool',
    'north-yard',
    Resources(16000, 32768),
    ('a', 'r1-4'),
)


def render(document: object) -> bytes:
    """Render JSON without the limit of Python on the digits of integers."""
    return msgspec.json.encode(document)


def transmit(message: Message) -> Message:
    """Encode and decode a message as a link does."""
    stamp = HybridTimestamp(1, 2)
    envelope = Envelope(PROTOCOL_VERSION, GUARD, 'i1', stamp, message)
    decoded = decode_envelope(encode_envelope(envelope))
    assert isinstance(decoded, Ok), decoded
    return decoded.ok_value.message


class Deployment:
    """A guard with its worker, and a leader that also knows another worker."""

    def __init__(self, address: str, *, names_pools: bool = True) -> None:
        """Announce nothing yet; one workflow of four tasks is accepted.

        Args:
            address: Address of the worker.
            names_pools: Whether the guard knows the configured pools.
        """
        self.now_s = MAX_CALL_DELAY_S * 3
        self.address = address
        self.runs = create_worker_run_state(0, 8, 10)
        self.leadership = RunLeadership(RunSettings(8, 1), 1, 0)
        self.tables = ControlTables()
        self.applied_index = 0
        settings = WorkflowGuardSettings('127.0.0.1:1', address)
        self.announcements = WorkerAnnouncements(settings, self, CLOCK)
        self._client = PlatformWorkerClient(address, 2, CLOCK)
        queue = Queue('queue', 'host', '/queue/', 'pool', 0, 2, 2, 1000, 3000)
        self._apply(
            ReplaceQueues(QueueConfiguration(1, (queue,), (Pool('pool'),)))
        )
        spec = WorkflowSpec('text', (StepSpec(4, Resources(9000, 10), 1000),))
        self._apply(AcceptWorkflow(WORKFLOW_ID, 'host', PATH, spec))
        if names_pools:
            self.name_pools()

    def name_pools(self) -> None:
        """Let the guard know the configured pools."""
        workflows = self.tables.workflows
        version = workflows.configuration.version
        self.announcements.update_pools(version, list_pools(workflows))

    def announce(self, body: bytes, worker: str = INSTANCE) -> int:
        """Deliver a heartbeat and return the status of the response."""
        return self._deliver(f'/v1/instances/{worker}/heartbeat', body)

    def leave(self, body: bytes = b'', worker: str = INSTANCE) -> int:
        """Deliver a departure and return the status of the response."""
        return self._deliver(f'/v1/instances/{worker}/leave', body)

    def _deliver(self, path: str, body: bytes) -> int:
        response = self.announcements.respond(
            HttpRequest('POST', path, '', {}, body)
        )
        self.report()
        return response.status

    def announce_good(self, **changes: object) -> int:
        """Deliver a heartbeat of the worker."""
        return self.announce(self.encode(**changes))

    def encode(self, **changes: object) -> bytes:
        """Encode a heartbeat of the worker with some fields changed."""
        fields = {'address': self.address, **HEARTBEAT, **changes}
        if fields['state'] == 'draining':
            fields.setdefault('drain_remaining_ms', 3000)
        return json.dumps(fields).encode()

    def handle_announcement(self, worker_info: WorkerInfo) -> None:
        """Handle an announcement as the guard does."""
        record_worker_info(self.runs, worker_info, self.now_s)

    def handle_departure(self, lifetime: str) -> None:
        """Handle the end of an incarnation as the guard does."""
        record_incarnation_end(self.runs, lifetime)

    def poll(self) -> Result[PollResult, StepError]:
        """Poll the worker and report what it lists."""
        assert self.runs.facts is not None
        outcome = self._client.poll(self.runs.facts, FencingToken(1), 0, 0)
        if isinstance(outcome, Ok):
            apply_poll_result(self.runs, outcome.ok_value)
        self.report()
        return outcome

    def get_key(self) -> RunKey:
        """Return the run that the worker should hold."""
        return next(iter(self.runs.wanted))

    def get_listed(self) -> dict[RunKey, RunningRun]:
        """Return the runs of the worker that the leader knows as running."""
        return self.leadership.views[GUARD].running

    def answer_poll(
        self, worker: FakeWorker, fields: dict[str, object], raw: bytes = b''
    ) -> Result[PollResult, StepError]:
        """Poll the worker, which answers with other fields or raw bytes."""
        worker.raw_answer = raw or render({**LISTED, **fields})
        outcome = self.poll()
        worker.raw_answer = b''
        return outcome

    def report(self) -> None:
        """Report to the leader over a link, and receive its orders."""
        self.now_s += 0.1
        report = create_report(self.runs, self.now_s)
        if report is None:
            return
        received = transmit(report)
        assert isinstance(received, RunReport)
        self._run(
            handle_report(
                self.leadership,
                self.tables.workflows,
                GUARD,
                received,
                self.now_s,
            ),
        )
        for _ in range(2):
            self.now_s += 0.02
            effects = handle_run_tick(
                self.leadership, self.tables.workflows, self.now_s, 0
            )
            self._run(effects)

    def report_other(self) -> None:
        """Report another worker, which lists no runs."""
        report = RunReport(
            self.now_s, 0, OTHER_INFO, (), (), (), True, True, False, 0
        )
        self._run(
            handle_report(
                self.leadership,
                self.tables.workflows,
                'other',
                report,
                self.now_s,
            ),
        )

    def _run(self, effects: list[RunEffect]) -> None:
        for effect in effects:
            match effect:
                case Send(peer=peer, message=message):
                    orders = transmit(message)
                    assert isinstance(orders, RunOrders)
                    if peer == GUARD:
                        apply_orders(self.runs, orders, self.now_s)
                case ProposeAsLeader(operation=operation):
                    self._apply(operation)

    def _apply(self, operation: Operation) -> None:
        payload = msgspec.msgpack.encode(Command('', 0, 'name', 1, operation))
        command = msgspec.msgpack.decode(payload, type=Command)
        self.applied_index += 1
        apply_command(self.tables, self.applied_index, command)
        handle_applied_run_operation(
            self.leadership, self.tables.workflows, command.operation
        )
        encoded = encode_tables(self.tables)
        assert encode_tables(decode_tables(encoded)) == encoded

    def check_followed(self, sequence: int = 1000) -> None:
        """Check that the next heartbeat of the worker is followed."""
        self.announce_good(sequence=sequence)
        self.announce_good(sequence=sequence + 1, state='draining')
        followed = self.runs.facts
        assert followed is not None
        assert followed.worker_id == INSTANCE
        assert followed.is_draining
        assert self.leadership.views[GUARD].facts == followed
