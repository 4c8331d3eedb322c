"""HTTP client of the worker of a guard.

The worker expires leases by its own clock. The guard converts the end of a
lease from its own clock to the worker's by the latest poll of the worker: when
the answer arrived, the worker's clock showed at least the time in it. Answers
to other calls may overtake polls and come from an earlier incarnation, whose
clock is of no use for the current one.
"""

from collections.abc import Iterator
from http import HTTPStatus
from typing import TypeVar

import msgspec
import structlog
from result import Err, Ok, Result

from cumintack.coordination.runs.fencing import MAX_CLOCK_DRIFT
from cumintack.coordination.runs.unanswered_calls import CALL_TIMEOUT_S
from cumintack.coordination.runs.worker_run_state import (
    CallAnswer,
    FencingToken,
    PaceRun,
    PollResult,
    StartRun,
    StopRun,
    WorkerCall,
)
from cumintack.platform._wire import (
    DECODE_ERRORS,
    WireCallReply,
    WireEnded,
    WireHoldReply,
    WireHoldRequest,
    WirePace,
    WireRunKey,
    WireRunning,
    WireStart,
    WireStop,
)
from cumintack.platform.announcements import (
    format_incarnation_id,
    is_plausible_count,
)
from cumintack.protocol.run_messages import (
    EndedRun,
    RunKey,
    RunningRun,
    WorkerInfo,
)
from cumintack.state.errors import ErrorCode, StepError
from cumintack.state.workflows import RunEndKind
from cumintack.transport.clock import Clock, get_wall_ms
from cumintack.transport.http_client import HttpAnswer, HttpClient, SendError

MAX_ANSWER_BYTES = 4194304
# Most ends that a worker lists in one answer.
MAX_LISTED_ENDS = 500
MS_PER_S = 1000
# Numbers of fences in a term. The token on the wire is one number, which stays
# exact as a floating-point number for two million terms.
FENCES_PER_TERM = 4294967296
# Reasons of a refusal after which the same start may be sent again unchanged.
RETRYABLE_REASONS = frozenset(('fence', 'late'))
FULL_PERCENT = 100
# Largest latency in ms or processor use in milli-cores that is believed.
MAX_MEASUREMENT = 1000000000
MEASUREMENT_DIGITS = 3
# Longer checkpoints are dropped: they would be replicated and sent back.
MAX_CHECKPOINT_LENGTH = 65536
# Kinds of ends that a worker lists; only the leader records the others.
END_KINDS = frozenset(kind.value for kind in RunEndKind) - {
    RunEndKind.refused.value,
    RunEndKind.lost.value,
    RunEndKind.crashed.value,
}

Row = TypeVar('Row', bound=msgspec.Struct)
logger = structlog.get_logger()


class PlatformWorkerClient:
    """Client of the worker of one guard; thread-safe."""

    __slots__ = ('_client', '_clock', '_clock_reading')

    def __init__(
        self,
        address: str,
        connection_count: int,
        clock: Clock,
    ) -> None:
        """Create a client of the worker at ``host:port``."""
        self._client = HttpClient(address, connection_count, MAX_ANSWER_BYTES)
        self._clock = clock
        # The worker's clock in ms, and the time at which it was received.
        self._clock_reading = (0, 0.0)

    def poll(
        self,
        worker_info: WorkerInfo,
        token: FencingToken,
        settled_number: int,
        wait_ms: int,
    ) -> Result[PollResult, StepError]:
        """Poll the runs of the worker, waiting up to ``wait_ms`` for an end."""
        hold = WireHoldRequest(
            _encode_token(token), settled_number, wait_ms=wait_ms
        )
        timeout_s = CALL_TIMEOUT_S + wait_ms / MS_PER_S
        return self._send_hold(worker_info, token, hold, timeout_s)

    def extend_lease(
        self,
        worker_info: WorkerInfo,
        token: FencingToken,
        until_s: float,
    ) -> Result[PollResult, StepError]:
        """Extend the lease until a time of this process's clock, and poll."""
        lease_until_ms = self._convert_to_worker_ms(until_s)
        hold = WireHoldRequest(_encode_token(token), 0, lease_until_ms)
        return self._send_hold(worker_info, token, hold, CALL_TIMEOUT_S)

    def _convert_to_worker_ms(self, until_s: float) -> int:
        clock_ms, read_at_s = self._clock_reading
        remaining_s = (until_s - read_at_s) * (1 - MAX_CLOCK_DRIFT)
        return clock_ms + int(remaining_s * MS_PER_S)

    def _send_hold(
        self,
        worker_info: WorkerInfo,
        token: FencingToken,
        hold: WireHoldRequest,
        timeout_s: float,
    ) -> Result[PollResult, StepError]:
        sent_at_s = self._clock.now_s()
        sent = self._post(worker_info, '/v1/hold', hold, timeout_s)
        if isinstance(sent, Err):
            return Err(sent.err_value.error)
        answer = sent.ok_value
        if answer.status != HTTPStatus.OK:
            detail = f'status {answer.status}: {answer.body[:100]!r}'
            return _fail(ErrorCode.unavailable, worker_info, detail)
        try:
            reply = msgspec.json.decode(answer.body, type=WireHoldReply)
        except DECODE_ERRORS as error:
            return _fail(ErrorCode.invalid, worker_info, str(error))
        now_s = self._clock.now_s()
        now_ms = get_wall_ms(self._clock)
        if not is_plausible_count(reply.born_ms, 0, now_ms):
            detail = f'born {reply.born_ms}'
            return _fail(ErrorCode.invalid, worker_info, detail)
        self._clock_reading = (reply.clock_ms, now_s)
        return Ok(
            PollResult(
                sent_at_s,
                now_s,
                format_incarnation_id(worker_info.worker_id, reply.born_ms),
                tuple(_iter_running(reply)),
                tuple(_iter_ended(reply, now_ms)),
                lists_all_ends=len(reply.ended) < MAX_LISTED_ENDS,
                token=token,
            ),
        )

    def _post(
        self,
        worker_info: WorkerInfo,
        path: str,
        body: msgspec.Struct,
        timeout_s: float,
    ) -> Result[HttpAnswer, SendError]:
        headers = {
            'Content-Type': 'application/json',
            'X-Expect-Instance': worker_info.worker_id,
        }
        encoded = msgspec.json.encode(body)
        return self._client.send('POST', path, headers, encoded, timeout_s)

    def perform(self, worker_info: WorkerInfo, call: WorkerCall) -> CallAnswer:
        """Perform a call and return its outcome."""
        sent_at_s = self._clock.now_s()
        token = _encode_token(call.token)
        match call:
            case StartRun(key=key, details=details):
                path = '/v1/run-start'
                body: msgspec.Struct = WireStart(
                    key.task_id,
                    key.run,
                    details.program,
                    self._convert_to_worker_ms(call.lease_until_s),
                    token,
                    details.checkpoint,
                    details.ticket,
                )
            case StopRun(key=key):
                path = '/v1/run-stop'
                body = WireStop(key.task_id, key.run, token)
            case PaceRun(key=key):
                path = '/v1/pace'
                body = WirePace(key.task_id, key.run, call.percent, token)
        sent = self._post(worker_info, path, body, CALL_TIMEOUT_S)
        now_s = self._clock.now_s()
        if isinstance(sent, Err):
            is_sent = not sent.err_value.is_unsent
            return CallAnswer(False, False, '', sent_at_s, now_s, is_sent)
        return _decode_call_answer(sent.ok_value, sent_at_s, now_s)

    def probe_health(self, worker_info: WorkerInfo, path: str) -> bool | None:
        """Return whether the worker says it is healthy, None without answer."""
        headers = {'X-Expect-Instance': worker_info.worker_id}
        sent = self._client.send('GET', path, headers, b'', CALL_TIMEOUT_S)
        if isinstance(sent, Err):
            return None
        status = sent.ok_value.status
        if status == HTTPStatus.MISDIRECTED_REQUEST:
            return None
        return status == HTTPStatus.OK


def _encode_token(token: FencingToken) -> int:
    return token.term * FENCES_PER_TERM + token.number


def _decode_call_answer(
    answer: HttpAnswer, sent_at_s: float, now_s: float
) -> CallAnswer:
    reason = ''
    is_answered = True
    match answer.status:
        case HTTPStatus.OK | HTTPStatus.MISDIRECTED_REQUEST:
            reason = ''
        case HTTPStatus.CONFLICT:
            reason = _decode_reply(answer.body).reason
        case HTTPStatus.BAD_REQUEST:
            reason = 'invalid'
        case HTTPStatus.TOO_MANY_REQUESTS | HTTPStatus.SERVICE_UNAVAILABLE:
            reason = 'unhealthy'
        case _:
            is_answered = False
    if reason in RETRYABLE_REASONS:
        reason = ''
    is_done = answer.status == HTTPStatus.OK
    return CallAnswer(is_answered, is_done, reason, sent_at_s, now_s)


def _decode_reply(body: bytes) -> WireCallReply:
    try:
        return msgspec.json.decode(body, type=WireCallReply)
    except DECODE_ERRORS as error:
        logger.warning('guard: invalid answer', error=str(error))
        return WireCallReply()


def _fail(
    code: ErrorCode,
    worker_info: WorkerInfo,
    detail: str,
) -> Err[StepError]:
    return Err(StepError(code, 'worker.hold', worker_info.worker_id, detail))


def _decode_row(raw: msgspec.Raw, kind: type[Row]) -> Row | None:
    try:
        return msgspec.json.decode(raw, type=kind)
    except DECODE_ERRORS as error:
        logger.warning('guard: invalid row', error=str(error))
        return None


def _iter_running(reply: WireHoldReply) -> Iterator[RunningRun]:
    for raw in reply.running:
        row = _decode_row(raw, WireRunning)
        if row is not None:
            yield _create_running_run(row)
            continue
        # The run is there, even if the rest of its row is unreadable.
        key = _decode_row(raw, WireRunKey)
        if key is not None:
            yield _create_running_run(
                WireRunning(key.task_id, key.run, '', 0),
            )


def _create_running_run(row: WireRunning) -> RunningRun:
    return RunningRun(
        RunKey(row.task_id, row.run),
        _limit_checkpoint(row.checkpoint),
        min(max(row.percent, 0), FULL_PERCENT),
        round(
            min(max(row.measurement, 0), MAX_MEASUREMENT), MEASUREMENT_DIGITS
        ),
        has_details=False,
    )


def _limit_checkpoint(checkpoint: str) -> str:
    return checkpoint if len(checkpoint) <= MAX_CHECKPOINT_LENGTH else ''


def _iter_ended(reply: WireHoldReply, now_ms: int) -> Iterator[EndedRun]:
    for raw in reply.ended:
        row = _decode_row(raw, WireEnded)
        if row is None:
            continue
        is_plausible = is_plausible_count(reply.born_ms, row.number, now_ms)
        if row.kind not in END_KINDS or not is_plausible:
            logger.warning(
                'guard: row dropped', kind=row.kind, number=row.number
            )
            continue
        yield EndedRun(
            row.number,
            RunKey(row.task_id, row.run),
            row.kind,
            _limit_checkpoint(row.checkpoint),
        )
