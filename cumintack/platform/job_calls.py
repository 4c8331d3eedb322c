"""HTTP API of requesters: submit, cancel and query jobs; count queued jobs."""

import math
import re
from http import HTTPStatus

import msgspec

from cumintack.daemon.workflow_entry_component import WorkflowGateway
from cumintack.platform._wire import DECODE_ERRORS, WireJob, WireStep
from cumintack.protocol.run_messages import WorkflowQuery
from cumintack.state.errors import ErrorCode, StepError
from cumintack.state.requests import Header
from cumintack.state.resources import Resources
from cumintack.state.workflows import (
    AcceptWorkflow,
    CancelWorkflow,
    Schedule,
    StepSpec,
    WorkflowSpec,
)
from cumintack.transport.http_server import HttpRequest, HttpResponse

# Longest wait of a call for the control group. An election takes about 1 s; a
# requester that waits longer is better served by another entry.
MAX_TIMEOUT_S = 1.5
# Share of the requester's deadline that a call may use.
TIMEOUT_SHARE = 0.8
# Retry-After value sent while there is no leader.
RETRY_AFTER_S = 1
MAX_PROGRAM_BYTES = 4000
# Most tasks of one occurrence of a job; each has a record at every replica.
MAX_TASKS = 100000
# Most digits of a deadline in ms that is read.
MAX_DEADLINE_DIGITS = 15
JOB_PATH = re.compile('(?P<prefix>.*/)(?P<job_id>[0-9a-f]{16})')
DEADLINE_HEADER = 'x-deadline-ms'
MS_PER_S = 1000

_JOBS = msgspec.json.Decoder(WireJob)
STATUS_BY_CODE = {
    ErrorCode.not_found: HTTPStatus.NOT_FOUND,
    ErrorCode.expired: HTTPStatus.GONE,
    ErrorCode.unavailable: HTTPStatus.SERVICE_UNAVAILABLE,
    ErrorCode.conflict: HTTPStatus.SERVICE_UNAVAILABLE,
    ErrorCode.timeout: HTTPStatus.GATEWAY_TIMEOUT,
}


class JobCalls:
    """Handles the requests that arrive at one entry."""

    __slots__ = ('_gateway',)

    def __init__(self, gateway: WorkflowGateway) -> None:
        """Create a handler that forwards to a gateway."""
        self._gateway = gateway

    def respond(self, request: HttpRequest) -> HttpResponse:
        """Handle a request of a requester."""
        response = self._respond(request)
        if not self._gateway.is_stopping():
            return response
        return msgspec.structs.replace(
            response,
            headers=(*response.headers, Header('Connection', 'close')),
        )

    def respond_ready(self, request: HttpRequest) -> HttpResponse:
        """Answer a readiness probe of the load balancer."""
        is_ready = self._gateway.is_ready()
        status = HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE
        return HttpResponse(status, b'{}')

    def _respond(self, request: HttpRequest) -> HttpResponse:
        host = request.headers.get('host', '').partition(':')[0]
        match = JOB_PATH.fullmatch(request.path)
        timeout_s = _compute_timeout_s(request)
        if match is None:
            if request.method != 'GET':
                return _create_error_response(
                    HTTPStatus.NOT_FOUND, 'no such path'
                )
            return self._get_pending_count(host, request.path, timeout_s)
        job_id = match['job_id']
        match request.method:
            case 'GET':
                return self._get_status(host, request.path, job_id, timeout_s)
            case 'POST':
                return self._accept(host, request, job_id, timeout_s)
            case 'DELETE':
                operation = CancelWorkflow(job_id, host, request.path)
                error = self._gateway.submit(operation, timeout_s)
                if error and error.code is ErrorCode.not_found:
                    return _create_error_response(HTTPStatus.GONE, error.detail)
                return _create_response(error)
        return _create_error_response(
            HTTPStatus.METHOD_NOT_ALLOWED, 'no such method'
        )

    def _accept(
        self,
        host: str,
        request: HttpRequest,
        job_id: str,
        timeout_s: float,
    ) -> HttpResponse:
        if self._gateway.get_recent_pause_s() >= _get_deadline_s(request):
            # Its caller has left, and may have cancelled it elsewhere.
            return _create_error_response(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'not run: the deadline passed while the process stood still',
            )
        spec = decode_job(request.body)
        if isinstance(spec, str):
            return _create_error_response(HTTPStatus.BAD_REQUEST, spec)
        operation = AcceptWorkflow(job_id, host, request.path, spec)
        return _create_response(self._gateway.submit(operation, timeout_s))

    def _get_status(
        self,
        host: str,
        path: str,
        job_id: str,
        timeout_s: float,
    ) -> HttpResponse:
        query = WorkflowQuery(0, host, path, job_id)
        reply = self._gateway.ask(query, timeout_s)
        if reply.error:
            return _create_response(reply.error)
        return _create_json_response({'state': reply.status})

    def _get_pending_count(
        self, host: str, path: str, timeout_s: float
    ) -> HttpResponse:
        reply = self._gateway.ask(WorkflowQuery(0, host, path), timeout_s)
        if reply.error:
            return _create_response(reply.error)
        return _create_json_response({'pending': reply.pending_count})


def _compute_timeout_s(request: HttpRequest) -> float:
    return min(MAX_TIMEOUT_S, _get_deadline_s(request) * TIMEOUT_SHARE)


def _get_deadline_s(request: HttpRequest) -> float:
    """Get how long the requester waits, infinity if it does not say so."""
    text = request.headers.get(DEADLINE_HEADER, '')
    is_number = text.isascii() and text.isdigit()
    if not is_number or len(text) > MAX_DEADLINE_DIGITS:
        return math.inf
    return int(text) / MS_PER_S


def _create_json_response(body: dict[str, object]) -> HttpResponse:
    return HttpResponse(HTTPStatus.OK, msgspec.json.encode(body))


def _create_response(error: StepError | None) -> HttpResponse:
    if error is None:
        return HttpResponse(HTTPStatus.OK, b'{}')
    status = STATUS_BY_CODE.get(error.code, HTTPStatus.BAD_REQUEST)
    return _create_error_response(status, error.detail)


def _create_error_response(status: HTTPStatus, detail: str) -> HttpResponse:
    headers: tuple[Header, ...] = ()
    if status is HTTPStatus.SERVICE_UNAVAILABLE:
        headers = (Header('Retry-After', str(RETRY_AFTER_S)),)
    return HttpResponse(
        status,
        msgspec.json.encode({'error': detail}),
        headers,
    )


def decode_job(body: bytes) -> WorkflowSpec | str:
    """Decode and check a submitted job.

    Args:
        body: JSON body sent by the requester.

    Returns:
        The workflow, or a description of the error.
    """
    try:
        job = _JOBS.decode(body)
    except DECODE_ERRORS as error:
        return str(error)
    if len(job.program.encode()) > MAX_PROGRAM_BYTES:
        return f'spec: over {MAX_PROGRAM_BYTES} bytes'
    for position, step in enumerate(job.steps):
        if step.count <= 0 or any(
            not 0 <= earlier < position for earlier in step.depends_on
        ):
            return f'steps[{position}]: count or depends_on is out of range'
    task_count = sum(submitted.count for submitted in job.steps)
    if task_count > MAX_TASKS:
        return f'steps: {task_count} tasks, at most {MAX_TASKS} are allowed'
    schedule = None
    if job.repeat_count > 0:
        schedule = Schedule(job.repeat_count, job.first_at_ms, job.interval_ms)
    steps = tuple(_decode_step(wire_step) for wire_step in job.steps)
    return WorkflowSpec(job.program, steps, schedule)


def _decode_step(step: WireStep) -> StepSpec:
    return StepSpec(
        step.count,
        Resources(step.cores_milli, step.memory_mb, step.accelerators),
        step.estimate_ms,
        step.depends_on,
        step.is_checkpointed,
        step.is_gang,
        step.is_one_rack,
        step.label,
        step.data_rack,
        step.max_per_worker,
        step.is_copyable,
        step.is_long_running,
        step.image,
        step.target_ms,
        step.is_best_effort,
        step.may_miss,
    )
