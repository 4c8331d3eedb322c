"""Tests that the threads of a guard make only the calls that are due."""

import queue
import threading
import time
from collections.abc import Callable, Iterator
from types import SimpleNamespace
from typing import cast

import pytest
from result import Ok, Result

from cumintack.coordination.runs.worker_run_state import (
    CallAnswer,
    FencingToken,
    PollResult,
    WorkerCall,
)
from cumintack.daemon.node import Node
from cumintack.daemon.settings import WorkflowGuardSettings
from cumintack.daemon.workflow_guard_component import WorkflowGuardComponent
from cumintack.protocol.run_messages import (
    RunDetails,
    RunKey,
    RunOrder,
    RunOrders,
    WorkerInfo,
)
from cumintack.state.errors import StepError
from cumintack.state.resources import Resources

WORKER = WorkerInfo(
    'worker',
    '000001.worker',
    'pool',
    'north-yard',
    Resources(32000, 128000),
    (),
)
TIMEOUT_S = 10.0
RUN_COUNT = 8
POLL_S = 0.005


class HangingClient:
    """A worker that lists no runs and answers calls only once released."""

    def __init__(self) -> None:
        """Start with no calls."""
        self.calls: list[WorkerCall] = []
        self.waits_ms: list[int] = []
        self.is_released = threading.Event()

    def poll(
        self,
        worker_info: WorkerInfo,
        token: FencingToken,
        settled_number: int,
        wait_ms: int,
    ) -> Result[PollResult, StepError]:
        """List nothing."""
        self.waits_ms.append(wait_ms)
        time.sleep(POLL_S)
        return Ok(PollResult(0, 0, worker_info.lifetime, (), ()))

    def extend_lease(
        self, worker_info: WorkerInfo, token: FencingToken, until_s: float
    ) -> Result[PollResult, StepError]:
        """List nothing."""
        return self.poll(worker_info, token, 0, 0)

    def perform(self, worker_info: WorkerInfo, call: WorkerCall) -> CallAnswer:
        """Wait, then carry out the call."""
        self.calls.append(call)
        self.is_released.wait(TIMEOUT_S)
        return CallAnswer(True, True, '', 0, 0)

    def probe_health(self, worker_info: WorkerInfo, path: str) -> bool | None:
        """Say that the worker is healthy."""
        return True


class FakeNode:
    """The parts of a node that a guard uses, with a loop run by the test."""

    def __init__(self) -> None:
        """Start with nothing posted."""
        self.posted: queue.SimpleQueue[Callable[[], object]] = (
            queue.SimpleQueue()
        )
        self.post = self.posted.put
        self.clock = SimpleNamespace(now_s=self._read_clock)
        self.calls = SimpleNamespace(leader='')
        self.incarnation = 'process'
        self.queue_version: int | None = None
        self.counts: dict[str, int] = {}
        self.metrics = SimpleNamespace(observe=self._observe, count=self._count)

    def _read_clock(self) -> float:
        return 0

    def _observe(self, name: str, observed: float) -> None:
        """Ignore a measurement."""

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

    def run_until(self, is_reached: Callable[[], bool]) -> None:
        """Run what is posted until a condition holds."""
        deadline_s = time.monotonic() + TIMEOUT_S
        while not is_reached():
            if time.monotonic() > deadline_s:
                pytest.fail(f'not reached in {TIMEOUT_S} s: {self.counts}')
            self.posted.get(timeout=TIMEOUT_S)()


@pytest.fixture
def client() -> Iterator[HangingClient]:
    """Create a worker that is released at the end."""
    hanging = HangingClient()
    yield hanging
    hanging.is_released.set()


def _create_orders(number: int, wanted: tuple[RunOrder, ...]) -> RunOrders:
    return RunOrders(1, number, WORKER.lifetime, 0, 8, 0, wanted, ())


# Guards against starts that are made seconds after their run was cancelled.
def test_waiting_starts_are_not_made_after_cancel(
    client: HangingClient,
) -> None:
    """The first starts hang, and the orders change before the others."""
    node = FakeNode()
    settings = WorkflowGuardSettings('127.0.0.1:0', '127.0.0.1:1')
    guard = WorkflowGuardComponent(cast(Node, node), settings, client)
    runs = tuple(
        RunOrder(RunKey(f'0123456789abcdef.0.0.{index}', 1), RunDetails('text'))
        for index in range(RUN_COUNT)
    )
    guard.handle_announcement(WORKER)
    node.posted.get(timeout=TIMEOUT_S)()
    guard.handle('leader', _create_orders(1, runs))
    node.run_until(lambda: len(client.calls) == settings.call_threads)
    guard.handle('leader', _create_orders(2, ()))
    client.is_released.set()
    withdrawn_count = RUN_COUNT - settings.call_threads
    node.run_until(
        lambda: node.counts.get('guard.call-withdrawn', 0) == withdrawn_count
    )
    assert len(client.calls) == settings.call_threads
    guard.close()


# Guards against a guard that polls without a pause until it is given a fence.
def test_polls_wait_while_no_fence_is_given(client: HangingClient) -> None:
    """A leader of an earlier version gives none."""
    node = FakeNode()
    settings = WorkflowGuardSettings('127.0.0.1:0', '127.0.0.1:1')
    guard = WorkflowGuardComponent(cast(Node, node), settings, client)
    run = RunOrder(RunKey('0123456789abcdef.0.0.0', 1), RunDetails('text'))
    guard.handle_announcement(WORKER)
    node.posted.get(timeout=TIMEOUT_S)()
    guard.handle('leader', _create_orders(1, (run,)))
    node.run_until(lambda: len(client.waits_ms) >= RUN_COUNT)
    guard.close()
    assert not client.waits_ms[0]
    assert set(client.waits_ms[3:]) == {settings.look_wait_ms}
