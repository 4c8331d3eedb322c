"""HTTP client of a worker's platform agent.

The agent expires leases by its own clock. The guard converts the end of a
lease from its own clock to the agent's by the latest answer of the agent:
when the answer arrived, the agent's clock showed at least the time in it.
"""

import urllib.parse
from http import HTTPStatus

import msgspec
from result import Err, Ok, Result

from cumintack.protocol.worker_actions import (
    ForgetAttempts,
    HeldAttempt,
    RenewAttempts,
    StartAttempt,
    StopAttempt,
    ThrottleAttempt,
    WorkerAction,
)
from cumintack.state.errors import ErrorCode, StepError
from cumintack.state.resources import Resources
from cumintack.state.workers import WorkerSpec
from cumintack.transport.clock import Clock
from cumintack.transport.http_client import HttpClient

TIMEOUT_S = 2.0
MAX_REPORT_BYTES = 8388608
# Share by which leases are shortened, in case the agent's clock is slow.
MAX_CLOCK_DRIFT = 0.01
MS_PER_S = 1000
JSON_HEADERS = {'Content-Type': 'application/json'}


class WorkerReport(msgspec.Struct, frozen=True):
    """Report of a worker's agent.

    Attributes:
        clock_ms: Monotonic clock of the agent.
        worker: Description of the worker by the platform.
        used: Resources in use, measured with a delay.
        attempts: All attempts that the worker holds, including ended ones.
    """

    clock_ms: int
    worker: WorkerSpec
    used: Resources
    attempts: list[HeldAttempt]


class StartBody(msgspec.Struct, frozen=True):
    """Body of a request to start an attempt."""

    need: Resources
    kind: str
    payload: str
    checkpoint: str
    lease_until_ms: int


class RenewBody(msgspec.Struct, frozen=True):
    """Body of a request to renew leases."""

    attempts: list[tuple[str, int]]
    lease_until_ms: int


class ThrottleBody(msgspec.Struct, frozen=True):
    """Body of a request to throttle an attempt."""

    is_throttled: bool


class ForgetBody(msgspec.Struct, frozen=True):
    """Body of a request to forget ended attempts."""

    attempts: list[tuple[str, int]]


class AgentClient:
    """Client of the agent of one worker; not thread-safe."""

    __slots__ = ('_agent_clock_ms', '_client', '_clock', '_clock_read_at_s')

    def __init__(self, address: str, clock: Clock) -> None:
        """Create a client of the agent at ``host:port``."""
        self._client = HttpClient(address, 1, MAX_REPORT_BYTES)
        self._clock = clock
        self._agent_clock_ms = 0
        self._clock_read_at_s = 0.0

    def fetch_report(self) -> Result[WorkerReport, StepError]:
        """Fetch the report of the worker."""
        sent = self._client.send('GET', '/v1/report', {}, b'', TIMEOUT_S)
        if isinstance(sent, Err):
            return Err(sent.err_value.error)
        answer = sent.ok_value
        try:
            report = msgspec.json.decode(answer.body, type=WorkerReport)
            # What does not fit a message to the leader is not believed.
            msgspec.msgpack.encode(report)
        except (msgspec.DecodeError, OverflowError, RecursionError) as error:
            return Err(
                StepError(
                    ErrorCode.invalid,
                    'platform.report',
                    '',
                    str(error),
                ),
            )
        self._clock_read_at_s = self._clock.now_s()
        self._agent_clock_ms = report.clock_ms
        return Ok(report)

    def perform(self, action: WorkerAction) -> StepError | None:
        """Request an action from the agent; actions are idempotent."""
        match action:
            case StartAttempt():
                order = action.order
                return self._post(
                    _get_path(order.task_id, order.attempt, 'start'),
                    StartBody(
                        order.need,
                        order.kind,
                        order.payload,
                        order.checkpoint,
                        self._convert_to_agent_ms(action.expires_at_s),
                    ),
                )
            case RenewAttempts():
                return self._post(
                    '/v1/renew',
                    RenewBody(
                        list(action.attempts),
                        self._convert_to_agent_ms(action.expires_at_s),
                    ),
                )
            case StopAttempt():
                path = _get_path(action.task_id, action.attempt, 'stop')
                return self._post(path, None)
            case ThrottleAttempt():
                path = _get_path(action.task_id, action.attempt, 'throttle')
                return self._post(path, ThrottleBody(action.is_throttled))
            case ForgetAttempts():
                return self._post(
                    '/v1/forget',
                    ForgetBody(list(action.attempts)),
                )

    def _convert_to_agent_ms(self, expires_at_s: float) -> int:
        remaining_s = (expires_at_s - self._clock_read_at_s) * (
            1 - MAX_CLOCK_DRIFT
        )
        return self._agent_clock_ms + int(remaining_s * MS_PER_S)

    def _post(
        self,
        path: str,
        body: msgspec.Struct | None,
    ) -> StepError | None:
        encoded = msgspec.json.encode(body) if body is not None else b'{}'
        sent = self._client.send('POST', path, JSON_HEADERS, encoded, TIMEOUT_S)
        if isinstance(sent, Err):
            return sent.err_value.error
        answer = sent.ok_value
        if answer.status == HTTPStatus.OK:
            return None
        code = ErrorCode.invalid
        if answer.status == HTTPStatus.CONFLICT:
            code = ErrorCode.conflict
        return StepError(
            code,
            'platform.act',
            path,
            f'status {answer.status}',
        )

    def close(self) -> None:
        """Close the connection."""
        self._client.close()


def _get_path(task_id: str, attempt: int, verb: str) -> str:
    quoted = urllib.parse.quote(task_id, safe='')
    return f'/v1/tasks/{quoted}/{attempt}/{verb}'
