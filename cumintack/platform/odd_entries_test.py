"""Tests that odd entries of other writers disturb no worker.

Announcements and lists of runs pass through the adapters, the guard, the
messages between processes, the leader, the log and a snapshot.
"""

import json
from collections.abc import Iterator
from typing import Any

import msgspec
import pytest
from hypothesis import assume, given
from hypothesis import strategies as st
from result import Err, Ok, Result

from cumintack.coordination.effects import ProposeAsLeader, Send
from cumintack.coordination.runs.run_leadership import (
    RunEffect,
    RunLeadership,
    RunSettings,
    handle_applied_run_operation,
    handle_report,
    handle_run_tick,
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
    get_task,
)
from cumintack.transport.clock import SystemClock
from cumintack.transport.http_server import HttpRequest

GUARD = '10.0.0.1'
WORKFLOW_ID = '0123456789abcdef'
PATH = f'/queue/{WORKFLOW_ID}'
TASK = TaskKey(StepKey(WORKFLOW_ID, 0, 0), 0)
CLOCK = SystemClock()
DEPTH = 20000
NESTED = b'[' * DEPTH + b']' * DEPTH
HEARTBEAT: dict[str, Any] = {
    'service': 'pool',
    'zone': 'north-yard',
    'state': 'ready',
    'sequence': 4,
    'born': BORN_MS,
    'capacity': {'cpu': 16000, 'mem_mb': 32768, 'gpu': 0},
    'labels': ['a', 'r1-3'],
}
LISTED: dict[str, Any] = {'clock_ms': 482113, 'born': BORN_MS}
OTHER_INFO = WorkerInfo(
    'i-other',
    '000001700000000000.i-other',
    'pool',
    'north-yard',
    Resources(16000, 32768),
    ('a', 'r1-4'),
)


def _render(document: object) -> bytes:
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

    def __init__(self, address: str) -> None:
        """Announce nothing yet; one workflow of four tasks is accepted."""
        self.now_s = MAX_CALL_DELAY_S * 3
        self.address = address
        self.runs = create_worker_run_state(0, 8, 10)
        self.leadership = RunLeadership(RunSettings(8, 1), 1, 0)
        self.tables = ControlTables()
        self.applied_index = 0
        settings = WorkflowGuardSettings('127.0.0.1:1', address)
        self._announcements = WorkerAnnouncements(settings, self, CLOCK)
        self._client = PlatformWorkerClient(address, 2, CLOCK)
        queue = Queue('queue', 'host', '/queue/', 'pool', 0, 2, 2, 1000, 3000)
        self._apply(
            ReplaceQueues(QueueConfiguration(1, (queue,), (Pool('pool'),)))
        )
        spec = WorkflowSpec('text', (StepSpec(4, Resources(9000, 10), 1000),))
        self._apply(AcceptWorkflow(WORKFLOW_ID, 'host', PATH, spec))

    def announce(self, body: bytes, worker: str = INSTANCE) -> int:
        """Deliver a heartbeat and return the status of the response."""
        path = f'/v1/instances/{worker}/heartbeat'
        response = self._announcements.respond(
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
        worker.raw_answer = raw or _render({**LISTED, **fields})
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


@pytest.fixture(name='worker', scope='module')
def _worker() -> Iterator[FakeWorker]:
    worker = FakeWorker()
    yield worker
    worker.close()


ODD_HEARTBEATS = {
    'nested': b'{"service":%b}' % NESTED,
    'nested-unknown': b'{"version":%b}' % NESTED,
    'nested-open': b'{"version":%b' % (b'[' * DEPTH),
    'empty': b'',
    'null': b'null',
    'not-utf8': b'{"service":"\xff"}',
    'surrogate': json.dumps({'service': chr(0xD800)}).encode(),
    'large': b'{"version":"%b"}' % (b'x' * 4194304),
}
ODD_FIELDS: dict[str, dict[str, object]] = {
    'capacity-over-64-bits': {'capacity': {'cpu': 2**64}},
    'capacity-over-63-bits': {'capacity': {'mem_mb': 2**63}},
    'capacity-of-300-digits': {'capacity': {'gpu': 10**300}},
    'capacity-negative': {'capacity': {'cpu': -1}},
    'sequence-over-64-bits': {'sequence': 2**64},
    'sequence-far-ahead': {'sequence': 2**53 - 1},
    'sequence-negative': {'sequence': -1},
    'born-over-64-bits': {'born': 2**64},
    'born-far-ahead': {'born': 4102444800000},
    'born-negative': {'born': -5},
    'leaves-in-1e308': {'drain_remaining_ms': 1e308},
    'leaves-in-400-digits': {'drain_remaining_ms': 10**400},
    'port-out-of-range': {'address': '127.0.0.1:99999'},
    'port-zero': {'address': '127.0.0.1:0'},
    'port-negative': {'address': '127.0.0.1:-1'},
    'port-missing': {'address': '127.0.0.1'},
    'state-unknown': {'state': 'odd'},
}


@pytest.mark.parametrize('name', ODD_HEARTBEATS)
def test_unreadable_heartbeat_is_refused(name: str, worker: FakeWorker) -> None:
    """An unreadable announcement ends nothing and hides no worker."""
    deployment = Deployment(worker.address)
    deployment.announce_good()
    status = deployment.announce(ODD_HEARTBEATS[name], 'i-odd')
    deployment.check_followed()
    assert status == 400


def test_worker_with_the_start_of_another_is_refused(
    worker: FakeWorker,
) -> None:
    """A worker with the start of the followed one doesn't take its place."""
    deployment = Deployment(worker.address)
    deployment.announce_good()
    status = deployment.announce(deployment.encode(sequence=5), 'i-odd')
    deployment.check_followed()
    assert status == 400


@pytest.mark.parametrize('worker_id', [INSTANCE, 'i-odd', 'x' * 30000])
@pytest.mark.parametrize('name', ODD_FIELDS)
def test_heartbeat_out_of_range_is_refused(
    name: str, worker_id: str, worker: FakeWorker
) -> None:
    """A number or port out of range ends no process and hides no worker."""
    deployment = Deployment(worker.address)
    deployment.announce_good()
    odd = deployment.encode(**{'sequence': 5, **ODD_FIELDS[name]})
    status = deployment.announce(odd, worker_id)
    deployment.check_followed()
    assert status == 400


ODD_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([2**53, 2**63, 2**64, -(2**63) - 1, 10**4000])
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.sampled_from([1e308, -1e308, 5e-324])
    | st.text()
    | st.sampled_from(['127.0.0.1:0', '127.0.0.1:65536', 'x' * 60000]),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
HEARTBEAT_KEYS = sorted((*HEARTBEAT, 'address', 'drain_remaining_ms', 'x'))


@given(
    odd=st.dictionaries(st.sampled_from(HEARTBEAT_KEYS), ODD_VALUES),
    depth=st.sampled_from([0, 100, DEPTH]),
    worker_id=st.sampled_from([INSTANCE, 'i-odd']) | st.text(max_size=20),
)
def test_any_heartbeat(
    odd: dict[str, object], depth: int, worker_id: str, worker: FakeWorker
) -> None:
    """No announcement of another writer hides the worker or another one."""
    # What could be a later announcement of the worker can't be told apart.
    for key in ('born', 'sequence'):
        number = odd.get(key)
        if isinstance(number, int):
            assume(not HEARTBEAT[key] < number < BORN_MS * 2)
    deployment = Deployment(worker.address)
    deployment.announce_good()
    deployment.report_other()
    fields = {'address': worker.address, **HEARTBEAT, 'sequence': 5, **odd}
    body = _render(fields)
    nested = b'[' * depth + b']' * depth or b'0'
    deployment.announce(b'{"y":%b,%b' % (nested, body[1:]), worker_id)
    deployment.check_followed()
    assert deployment.leadership.views['other'].facts == OTHER_INFO


def _follow(worker: FakeWorker) -> Deployment:
    """Create a deployment with a run that the worker lists as running."""
    deployment = Deployment(worker.address)
    deployment.announce_good()
    assert isinstance(deployment.answer_poll(worker, {}), Ok)
    return deployment


def _list_running(key: RunKey, *fields: object) -> list[object]:
    return [key.task_id, key.run, *fields]


@pytest.mark.parametrize(
    'raw',
    [
        NESTED,
        b'{"x":%b}' % NESTED,
        b'{"clock_ms":1,"born":%d,"running":[%b]}' % (BORN_MS, NESTED),
        b'{"clock_ms":1,"born":%d,"finished":[1,%b]}' % (BORN_MS, NESTED),
        _render({**LISTED, 'born': 2**64}),
        _render({**LISTED, 'born': 4102444800000}),
        _render({**LISTED, 'clock_ms': 10**300}),
        b'\xff',
    ],
)
def test_odd_answer_ends_no_incarnation(raw: bytes, worker: FakeWorker) -> None:
    """An odd answer to a poll is an error, which says nothing of the runs."""
    deployment = _follow(worker)
    assert isinstance(deployment.answer_poll(worker, {}, raw), Err)
    assert not deployment.runs.is_gone
    key = deployment.get_key()
    row = _list_running(key, '', 41, 20)
    assert isinstance(deployment.answer_poll(worker, {'running': [row]}), Ok)
    assert key in deployment.get_listed()
    deployment.check_followed()


@pytest.mark.parametrize(
    'fields',
    [
        ('', 1e308, 1e308),
        ('', -1e308, 5e-324),
        ('', 10**400, 10**400),
        ('', 41, 2**64),
        ('', None, {'x': []}),
        ('x' * 100000, 41, 20),
        ('', 41, [[]]),
        (),
    ],
)
def test_run_with_odd_numbers_is_listed(
    fields: tuple[object, ...], worker: FakeWorker
) -> None:
    """A run counts as running, whatever its row says about it."""
    deployment = _follow(worker)
    key = deployment.get_key()
    row = _list_running(key, *fields)
    assert isinstance(deployment.answer_poll(worker, {'running': [row]}), Ok)
    run = deployment.get_listed()[key]
    assert 0 <= run.percent <= 100
    assert 0 <= run.measurement <= 10**9
    assert len(run.checkpoint) <= 65536


@pytest.mark.parametrize(
    'row',
    [
        [2**53 - 1, 't.0.0.1', 1, 'done', ''],
        [2**63, 't.0.0.1', 1, 'done', ''],
        [2**64, 't.0.0.1', 1, 'done', ''],
        [-1, 't.0.0.1', 1, 'done', ''],
        [1, 't.0.0.1', 2**64, 'done', ''],
        [1, 't.0.0.\xb2', 1, 'done', ''],
        [1, f't.0.0.{"9" * 900}', 1, 'done', ''],
        [1, 't' * 100000, 1, 'done', ''],
    ],
)
def test_odd_end_hides_no_other(row: list[object], worker: FakeWorker) -> None:
    """An odd end of a run doesn't acknowledge the ends that follow."""
    deployment = _follow(worker)
    key = deployment.get_key()
    deployment.answer_poll(worker, {'finished': [row]})
    end = [2, key.task_id, key.run, 'done', '']
    deployment.answer_poll(worker, {'finished': [row, end]})
    deployment.report()
    task = get_task(deployment.tables.workflows, TASK)
    assert task is not None
    assert task.is_done
    assert deployment.runs.settled.number in {0, 2}


ODD_ROWS = st.lists(ODD_VALUES, max_size=5)
ROW_FIELDS = st.lists(ODD_VALUES, max_size=3)


@given(
    odd=st.dictionaries(
        st.sampled_from(['clock_ms', 'born', 'running', 'finished', 'x']),
        ODD_VALUES | st.lists(ODD_ROWS),
    ),
    fields=ROW_FIELDS,
    depth=st.sampled_from([0, 100, DEPTH]),
)
def test_any_answer(
    odd: dict[str, object],
    fields: list[object],
    depth: int,
    worker: FakeWorker,
) -> None:
    """No answer to a poll ends a process or loses a run that is listed."""
    deployment = _follow(worker)
    deployment.report_other()
    key = deployment.get_key()
    nested = b'[' * depth + b']' * depth or b'0'
    body = _render({**LISTED, **odd})
    deployment.answer_poll(worker, {}, b'{"y":%b,%b' % (nested, body[1:]))
    rows = [_list_running(key, *fields), ['odd', 1, '', 41, 20]]
    deployment.answer_poll(worker, {'running': rows})
    assert key in deployment.get_listed()
    assert deployment.leadership.views['other'].facts == OTHER_INFO
    deployment.check_followed()
