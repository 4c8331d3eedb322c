"""Client of the external adviser, which decides the policy of some queues."""

from http import HTTPStatus

import msgspec
from result import Err, Ok, Result

from cumintack.coordination.runs.admission_advice import Advice, AdviceRequest
from cumintack.platform._wire import (
    DECODE_ERRORS,
    WireAdviceReply,
    WireAdviceRequest,
)
from cumintack.state.errors import ErrorCode, StepError
from cumintack.transport.http_client import HttpClient

STEP = 'platform.advise'
PATH = '/v1/advise'
# The adviser takes longer for each worker in a request, and it serves up to
# 32 requests of this deployment one after the other.
TIMEOUT_S = 5.0
MAX_ANSWER_BYTES = 65536
MS_PER_S = 1000


class PlatformAdviserClient:
    """Client of the adviser; thread-safe."""

    __slots__ = ('_address', '_client')

    def __init__(self, address: str) -> None:
        """Create a client of the adviser at ``host:port``."""
        self._address = address
        self._client = HttpClient(address, 1, MAX_ANSWER_BYTES)

    def ask(self, request: AdviceRequest) -> Result[Advice, StepError]:
        """Send an advice request and wait for the reply."""
        step = request.step
        body = msgspec.json.encode(
            WireAdviceRequest(
                f'{step.workflow_id}.{step.occurrence}.{step.step}',
                tuple(request.lifetimes),
            ),
        )
        headers = {'Content-Type': 'application/json'}
        sent = self._client.send('POST', PATH, headers, body, TIMEOUT_S)
        if isinstance(sent, Err):
            return Err(sent.err_value.error)
        answer = sent.ok_value
        if answer.status != HTTPStatus.OK:
            return self._fail(ErrorCode.unavailable, f'status {answer.status}')
        try:
            reply = msgspec.json.decode(answer.body, type=WireAdviceReply)
        except DECODE_ERRORS as error:
            return self._fail(ErrorCode.invalid, str(error))
        return Ok(Advice(dict(reply.rows), reply.valid_ms / MS_PER_S))

    def _fail(self, code: ErrorCode, detail: str) -> Err[StepError]:
        return Err(StepError(code, STEP, self._address, detail))
