"""Tests of the HTTP APIs of requesters and of the operator."""

import json
from typing import Any

import pytest

from cumintack.platform.job_calls import JobCalls, decode_job
from cumintack.platform.operator_calls import decode_configuration
from cumintack.protocol.run_messages import WorkflowQuery, WorkflowReply
from cumintack.state.commands import Operation
from cumintack.state.errors import ErrorCode, StepError
from cumintack.state.queues import QueueConfiguration
from cumintack.state.workflows import (
    AcceptWorkflow,
    CancelWorkflow,
    Schedule,
    WorkflowSpec,
)
from cumintack.transport.http_server import HttpRequest, HttpResponse

JOB_ID = '5c0e7a21d94b36f8'
PATH = f'/lohu930/{JOB_ID}'
JOB: dict[str, Any] = {
    'spec': 'text',
    'steps': [
        {'count': 4, 'cpu': 500, 'mem_mb': 256, 'est_runtime_ms': 900},
        {'count': 2, 'cpu': 100, 'depends_on': [0], 'fills': True},
    ],
}
ODD_STEPS: tuple[dict[str, object], ...] = (
    {'count': 10**9},
    {'count': 2**64},
    {'cpu': -1},
    {'cpu': 2**64},
    {'mem_mb': 10**300},
    {'gpu': -(2**64)},
    {'est_runtime_ms': 2**64},
    {'est_runtime_ms': 1e308},
    {'depends_on': [2**64]},
    {'max_per_server': -1},
    {'target_ms': 2**63},
    {'may_miss': 2**64},
)
ROUTE = {
    'name': 'r-1',
    'host': 'nony24.example',
    'path_prefix': '/lohu930/',
    'kind': 'unsafe',
    'timeout_ms': 3000,
    'slo_ms': 300,
    'priority': 0,
    'service': 'huvo11a',
    'attempts': 3,
    'stretch': 1.5,
}
CONFIGURATION = {
    'version': 7,
    'routes': [ROUTE],
    'services': [{'name': 'huvo11a', 'enforce_capacity': True}],
    'limits': {'max_body_bytes': 262144},
}


class FakeGateway:
    """Gateway that records operations and returns a fixed error or none."""

    def __init__(self, error: StepError | None = None) -> None:
        """Create a gateway that returns ``error``, or accepts everything."""
        self.error = error
        self.operations: list[Operation] = []
        self.stopping = False
        self.pause_s = 0.0

    def submit(
        self,
        operation: Operation,
        timeout_s: float,
    ) -> StepError | None:
        """Record an operation."""
        self.operations.append(operation)
        return self.error

    def ask(self, query: WorkflowQuery, timeout_s: float) -> WorkflowReply:
        """Return a fixed reply with the error."""
        return WorkflowReply(0, 'running', 12, error=self.error)

    def get_recent_pause_s(self) -> float:
        """Return for how long the entry has just stood still."""
        return self.pause_s

    def is_ready(self) -> bool:
        """Return whether new callers are accepted."""
        return not self.stopping

    def is_stopping(self) -> bool:
        """Return whether connections should be closed."""
        return self.stopping


def _send(
    gateway: FakeGateway,
    method: str,
    path: str = PATH,
    body: object = None,
) -> HttpResponse:
    request = HttpRequest(
        method,
        path,
        '',
        {'host': 'nony24.example', 'x-deadline-ms': '3000'},
        json.dumps(body).encode() if body else b'',
    )
    return JobCalls(gateway).respond(request)


def _failing(code: ErrorCode) -> FakeGateway:
    return FakeGateway(StepError(code, 'test'))


# Guards against a job that begins after its caller has cancelled it elsewhere.
@pytest.mark.parametrize('pause_s', [3.0, 60.0])
def test_job_is_not_handed_in_after_its_deadline(pause_s: float) -> None:
    """It may have been sent when the entry began to stand still."""
    gateway = FakeGateway()
    gateway.pause_s = pause_s
    response = _send(gateway, 'POST', body=JOB)
    assert response.status == 503
    assert 'Retry-After' in {header.name for header in response.headers}
    assert not gateway.operations


def test_job_is_handed_in_after_a_pause_within_its_deadline() -> None:
    """Its caller may still wait for the answer."""
    gateway = FakeGateway()
    gateway.pause_s = 2.9
    assert _send(gateway, 'POST', body=JOB).status == 200


def test_job_is_accepted() -> None:
    """A job becomes a workflow with the identifier that the caller chose."""
    gateway = FakeGateway()
    assert _send(gateway, 'POST', body=JOB).status == 200
    operation = gateway.operations[0]
    assert isinstance(operation, AcceptWorkflow)
    assert operation.workflow_id == JOB_ID
    assert [step.task_count for step in operation.spec.steps] == [4, 2]
    assert operation.spec.steps[1].is_best_effort


@pytest.mark.parametrize(
    ('code', 'status'),
    [
        (ErrorCode.not_found, 404),
        (ErrorCode.unavailable, 503),
        (ErrorCode.timeout, 504),
    ],
)
def test_error_statuses(code: ErrorCode, status: int) -> None:
    """Only a 503, sent if the job certainly did not run, has Retry-After."""
    response = _send(_failing(code), 'POST', body=JOB)
    assert response.status == status
    names = {header.name for header in response.headers}
    assert ('Retry-After' in names) == (status == 503)


def test_get_and_delete() -> None:
    """Requests for a state, a count and a cancellation, and their errors."""
    assert json.loads(_send(FakeGateway(), 'GET').body) == {'state': 'running'}
    counted = _send(FakeGateway(), 'GET', '/lohu930/')
    assert json.loads(counted.body) == {'pending': 12}
    gateway = FakeGateway()
    assert _send(gateway, 'DELETE').status == 200
    assert isinstance(gateway.operations[0], CancelWorkflow)
    assert _send(_failing(ErrorCode.not_found), 'DELETE').status == 410
    assert _send(_failing(ErrorCode.expired), 'GET').status == 410
    assert _send(_failing(ErrorCode.not_found), 'GET', '/x/').status == 404


def test_stopping_entry_closes_connections() -> None:
    """While the entry stops, every response closes its connection."""
    gateway = FakeGateway()
    gateway.stopping = True
    response = _send(gateway, 'GET')
    assert response.status == 200
    assert ('Connection', 'close') in [
        (header.name, header.text) for header in response.headers
    ]


def test_job_schedule() -> None:
    """The times of a repeated job become its schedule."""
    body = {
        **JOB,
        'repeat_count': 3,
        'initial_delay_ms': 1700000000000,
        'interval_ms': 5000,
    }
    spec = decode_job(json.dumps(body).encode())
    assert isinstance(spec, WorkflowSpec)
    assert spec.schedule == Schedule(3, 1700000000000, 5000)


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'{',
        b'[]',
        b'\xff',
        b'{"steps":5}',
        b'{"steps":[{"count":"4"}]}',
        b'{"steps":[{"count":0}]}',
        b'{"steps":[{"count":1,"depends_on":[0]}]}',
        json.dumps({**JOB, 'spec': 'x' * 4001}).encode(),
        json.dumps({**JOB, 'spec': chr(0xD800)}).encode(),
        b'{"x":%b' % (b'[' * 20000),
        b'{"steps":[{"count":%b}]}' % (b'9' * 5000),
        *(
            json.dumps({'steps': [{**JOB['steps'][0], **odd}]}).encode()
            for odd in ODD_STEPS
        ),
        json.dumps({**JOB, 'repeat_count': 2**64}).encode(),
        json.dumps(
            {**JOB, 'repeat_count': 1, 'initial_delay_ms': 2**64}
        ).encode(),
        json.dumps({'steps': [{'count': 60000}, {'count': 60000}]}).encode(),
    ],
)
def test_invalid_jobs(body: bytes) -> None:
    """An invalid job is rejected with a description of the error."""
    assert isinstance(decode_job(body), str)


def _encode(**changes: object) -> bytes:
    return json.dumps({**CONFIGURATION, **changes}).encode()


def test_configuration() -> None:
    """A decoded configuration retains the bytes of the request body."""
    configuration = decode_configuration(_encode())
    assert isinstance(configuration, QueueConfiguration)
    assert configuration.version == 7
    assert configuration.queues[0].slack_ms == 300
    assert configuration.source == _encode()


@pytest.mark.parametrize(
    'body',
    [
        _encode()[:-20],
        _encode(version='7'),
        _encode(services=[]),
        _encode(routes=[ROUTE, {**ROUTE, 'name': 'r-2'}]),
        _encode(routes=[{**ROUTE, 'timeout_ms': 0}]),
        _encode(routes=[{**ROUTE, 'host': None}]),
        _encode(version=2**64),
        _encode(routes=[{**ROUTE, 'slo_ms': 2**64}]),
        _encode(routes=[{**ROUTE, 'stretch': 1e308}]),
        _encode(routes=[{**ROUTE, 'priority': -(10**300)}]),
        _encode(routes=[{**ROUTE, 'host': chr(0xD800)}]),
        _encode(limits={'max_body_bytes': 2**64}),
        b'{"x":%b' % (b'[' * 20000),
        b'',
    ],
)
def test_invalid_configurations(body: bytes) -> None:
    """Every kind of invalid configuration is rejected."""
    assert isinstance(decode_configuration(body), str)


@pytest.mark.parametrize(
    'deadline', ['\xb2', '9' * 5000, '-1', '1e400', '', '\u0663']
)
def test_odd_deadline_is_ignored(deadline: str) -> None:
    """A caller's deadline that is no number doesn't break off its channel."""
    request = HttpRequest(
        'GET', PATH, '', {'host': 'a', 'x-deadline-ms': deadline}, b''
    )
    assert JobCalls(FakeGateway()).respond(request).status == 200
