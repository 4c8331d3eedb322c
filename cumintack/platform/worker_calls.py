"""Calls to the worker of a guard.

The worker keeps leases by its own clock. The end of a lease by the clock of
the guard is turned into it from the latest answer: when that arrived, the
worker's clock showed at least the time in it.
"""

from collections.abc import Iterator
from http import HTTPStatus
from typing import TypeVar

import msgspec
import structlog
from result import Err, Ok, Result

from cumintack.coordination.runs.worker_run_state import (
    CallAnswer,
    PaceRun,
    PollResult,
    StartRun,
    StopRun,
    WorkerCall,
)
from cumintack.platform._wire import (
    WireAnswer,
    WireEnded,
    WireHold,
    WireLists,
    WirePace,
    WireRunning,
    WireStart,
    WireStop,
)
from cumintack.platform.announcements import create_lifetime
from cumintack.protocol.run_messages import (
    EndedRun,
    RunKey,
    RunningRun,
    WorkerInfo,
)
from cumintack.state.errors import ErrorCode, StepError
from cumintack.state.workflows import RunEndKind
from cumintack.transport.clock import Clock
from cumintack.transport.http_client import HttpAnswer, HttpClient

# Seconds that a call on the same machine may take; it takes a few ms.
CALL_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 4194304
# Share of a lease that is kept back, since the worker's clock may be slow
# by 2%.
DRIFT_SHARE = 0.02
MS_PER_S = 1000
# Reasons after which the same start may be sent again as it is.
PASSING_REASONS = frozenset(('fence', 'late'))
END_KINDS = frozenset(kind.value for kind in RunEndKind)

Row = TypeVar('Row', bound=msgspec.Struct)
logger = structlog.get_logger()


class PlatformWorker:
    """The worker of one guard; safe to use from many threads."""

    __slots__ = ('_client', '_clock', '_reading')

    def __init__(
        self,
        address: str,
        connection_count: int,
        clock: Clock,
    ) -> None:
        """Talk to the worker at ``host:port``."""
        self._client = HttpClient(address, connection_count, MAX_ANSWER_BYTES)
        self._clock = clock
        # The worker's clock in ms, and when the answer with it arrived.
        self._reading = (0, 0.0)

    def poll(
        self,
        facts: WorkerInfo,
        term: int,
        settled_number: int,
        wait_ms: int,
    ) -> Result[PollResult, StepError]:
        """Look at the worker, waiting for an end of a run."""
        hold = WireHold(term, settled_number, wait_ms=wait_ms)
        return self._hold(facts, hold, CALL_TIMEOUT_S + wait_ms / MS_PER_S)

    def extend_lease(
        self,
        facts: WorkerInfo,
        term: int,
        settled_number: int,
        until_s: float,
    ) -> Result[PollResult, StepError]:
        """Extend the lease to a time of this process's clock, and look."""
        lease_until_ms = self._convert(until_s)
        hold = WireHold(term, settled_number, lease_until_ms)
        return self._hold(facts, hold, CALL_TIMEOUT_S)

    def _convert(self, until_s: float) -> int:
        clock_ms, read_at_s = self._reading
        left_s = (until_s - read_at_s) * (1 - DRIFT_SHARE)
        return clock_ms + int(left_s * MS_PER_S)

    def _hold(
        self,
        facts: WorkerInfo,
        hold: WireHold,
        timeout_s: float,
    ) -> Result[PollResult, StepError]:
        sent_at_s = self._clock.now_s()
        sent = self._post(facts, '/v1/hold', hold, timeout_s)
        if isinstance(sent, Err):
            return sent
        answer = sent.ok_value
        if answer.status != HTTPStatus.OK:
            detail = f'status {answer.status}: {answer.body[:100]!r}'
            return _fail(ErrorCode.unavailable, facts, detail)
        try:
            lists = msgspec.json.decode(answer.body, type=WireLists)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return _fail(ErrorCode.invalid, facts, str(error))
        now_s = self._clock.now_s()
        self._reading = (lists.clock_ms, now_s)
        return Ok(
            PollResult(
                sent_at_s,
                now_s,
                create_lifetime(facts.worker_id, lists.born_ms),
                tuple(_iter_running(lists)),
                tuple(_iter_ended(lists)),
            ),
        )

    def _post(
        self,
        facts: WorkerInfo,
        path: str,
        body: msgspec.Struct,
        timeout_s: float,
    ) -> Result[HttpAnswer, StepError]:
        headers = {
            'Content-Type': 'application/json',
            'X-Expect-Instance': facts.worker_id,
        }
        encoded = msgspec.json.encode(body)
        sent = self._client.send('POST', path, headers, encoded, timeout_s)
        return sent.map_err(lambda failure: failure.error)

    def perform(self, facts: WorkerInfo, call: WorkerCall) -> CallAnswer:
        """Make a call."""
        sent_at_s = self._clock.now_s()
        match call:
            case StartRun(key=key, details=details):
                path = '/v1/run-start'
                body: msgspec.Struct = WireStart(
                    key.task_id,
                    key.run,
                    details.program,
                    self._convert(call.lease_until_s),
                    call.term,
                    details.checkpoint,
                    details.ticket,
                )
            case StopRun(key=key):
                path = '/v1/run-stop'
                body = WireStop(key.task_id, key.run, call.term)
            case PaceRun(key=key):
                path = '/v1/pace'
                body = WirePace(key.task_id, key.run, call.percent, call.term)
        sent = self._post(facts, path, body, CALL_TIMEOUT_S)
        return self._judge(sent, sent_at_s)

    def _judge(
        self,
        sent: Result[HttpAnswer, StepError],
        sent_at_s: float,
    ) -> CallAnswer:
        now_s = self._clock.now_s()
        if isinstance(sent, Err):
            return CallAnswer(False, False, '', sent_at_s, now_s)
        answer = sent.ok_value
        reason = ''
        is_answered = True
        match answer.status:
            case HTTPStatus.OK:
                self._read_clock(answer.body, now_s)
            case HTTPStatus.CONFLICT:
                reason = self._read_clock(answer.body, now_s).reason
            case HTTPStatus.BAD_REQUEST:
                reason = 'invalid'
            case HTTPStatus.TOO_MANY_REQUESTS | HTTPStatus.SERVICE_UNAVAILABLE:
                reason = 'unhealthy'
            case HTTPStatus.MISDIRECTED_REQUEST:
                reason = ''
            case _:
                is_answered = False
        if reason in PASSING_REASONS:
            reason = ''
        is_done = answer.status == HTTPStatus.OK
        return CallAnswer(is_answered, is_done, reason, sent_at_s, now_s)

    def _read_clock(self, body: bytes, now_s: float) -> WireAnswer:
        try:
            answer = msgspec.json.decode(body, type=WireAnswer)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            logger.warning('guard: answer unreadable', error=str(error))
            return WireAnswer()
        if answer.clock_ms:
            self._reading = (answer.clock_ms, now_s)
        return answer


def _fail(
    code: ErrorCode,
    facts: WorkerInfo,
    detail: str,
) -> Err[StepError]:
    return Err(StepError(code, 'worker.hold', facts.worker_id, detail))


def _decode_rows(
    rows: tuple[msgspec.Raw, ...],
    kind: type[Row],
) -> Iterator[Row]:
    for raw in rows:
        try:
            yield msgspec.json.decode(raw, type=kind)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            logger.warning('guard: row dropped', error=str(error))


def _iter_running(lists: WireLists) -> Iterator[RunningRun]:
    for row in _decode_rows(lists.running, WireRunning):
        yield RunningRun(
            RunKey(row.task_id, row.run),
            row.checkpoint,
            row.percent,
            row.figure,
            has_details=False,
        )


def _iter_ended(lists: WireLists) -> Iterator[EndedRun]:
    for row in _decode_rows(lists.ended, WireEnded):
        if row.kind not in END_KINDS:
            logger.warning('guard: row dropped', kind=row.kind)
            continue
        yield EndedRun(
            row.number,
            RunKey(row.task_id, row.run),
            row.kind,
            row.checkpoint,
        )
