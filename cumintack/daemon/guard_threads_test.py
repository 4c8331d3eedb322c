"""Tests that the threads of a guard outlive unexpected errors."""

import time
from collections.abc import Callable, Iterator

import pytest
from result import Err, Ok, Result

from cumintack.coordination.runs.worker_run_state import (
    CallAnswer,
    FencingToken,
    PollResult,
    StartRun,
    WorkerCall,
)
from cumintack.daemon.node import Node
from cumintack.daemon.settings import (
    PeerSettings,
    Settings,
    WorkflowGuardSettings,
)
from cumintack.daemon.workflow_guard_component import WorkflowGuardComponent
from cumintack.protocol.run_messages import (
    RunDetails,
    RunKey,
    RunOrder,
    RunOrders,
    WorkerInfo,
)
from cumintack.state.errors import ErrorCode, StepError
from cumintack.state.resources import Resources
from cumintack.transport.clock import SystemClock

WAIT_S = 10.0
# Time that the worker takes to answer a poll.
POLL_S = 0.01
KEY = RunKey('0123456789abcdef.0.0.0', 1)
WORKER_INFO = WorkerInfo(
    'i-1', '1.i-1', 'pool', 'north-yard', Resources(16000, 32768), ()
)
NO_ANSWER = Err(StepError(ErrorCode.timeout, 'test'))


class FailingClient:
    """Client whose first calls raise an error that nobody expects."""

    def __init__(self) -> None:
        """Record no calls yet."""
        self.failures = {'poll': 2, 'start': 5}
        self.polls = 0
        self.calls: list[WorkerCall] = []

    def poll(
        self,
        worker_info: WorkerInfo,
        token: FencingToken,
        settled_number: int,
        wait_ms: int,
    ) -> Result[PollResult, StepError]:
        """List nothing."""
        self.polls += 1
        self._fail('poll')
        time.sleep(POLL_S)
        now_s = time.monotonic()
        return Ok(PollResult(now_s, now_s, worker_info.lifetime, (), ()))

    def extend_lease(
        self, worker_info: WorkerInfo, token: FencingToken, until_s: float
    ) -> Result[PollResult, StepError]:
        """Give no answer."""
        return NO_ANSWER

    def perform(self, worker_info: WorkerInfo, call: WorkerCall) -> CallAnswer:
        """Carry out a call."""
        self.calls.append(call)
        self._fail('start')
        now_s = time.monotonic()
        return CallAnswer(True, True, '', now_s, now_s)

    def probe_health(self, worker_info: WorkerInfo, path: str) -> bool | None:
        """Say that the worker is healthy."""
        return True

    def _fail(self, name: str) -> None:
        self.failures[name] -= 1
        if self.failures[name] >= 0:
            raise RecursionError(name)


class LoopNode(Node):
    """A process whose loop is run by the test."""

    def run_until(self, is_done: Callable[[], object]) -> None:
        """Run the posted actions until a condition holds."""
        deadline_s = time.monotonic() + WAIT_S
        while not is_done() and time.monotonic() < deadline_s:
            posted = len(self._posted_actions)
            for _ in range(posted):
                self._posted_actions.popleft()()
            for component in self.components:
                component.tick(self.clock.now_s())
            time.sleep(0.01)
        assert is_done()


@pytest.fixture(name='node')
def _node() -> Iterator[LoopNode]:
    settings = Settings(
        'guard', 'north-yard', '127.0.0.1:1', (PeerSettings('a', 'b:1'),)
    )
    node = LoopNode(settings, SystemClock(), None)
    yield node
    for component in node.components:
        component.close()
    node.links.close(0)


# A guard polled nothing more after one body that was nested too deeply.
def test_threads_outlive_unexpected_errors(node: LoopNode) -> None:
    """Polls go on, and a call that failed is unanswered and repeated."""
    client = FailingClient()
    guard_settings = WorkflowGuardSettings('127.0.0.1:1', '127.0.0.1:2')
    guard = WorkflowGuardComponent(node, guard_settings, client)
    node.components.append(guard)
    guard.handle_announcement(WORKER_INFO)
    node.run_until(lambda: not node._posted_actions)  # noqa: SLF001
    orders = RunOrders(
        1,
        1,
        WORKER_INFO.lifetime,
        node.clock.now_s(),
        60,
        0,
        (RunOrder(KEY, RunDetails('text')),),
        (),
    )
    assert guard.handle('leader', orders)
    node.run_until(lambda: client.polls > 2)
    node.run_until(lambda: client.failures['start'] < 0)
    assert {type(call) for call in client.calls} == {StartRun}
