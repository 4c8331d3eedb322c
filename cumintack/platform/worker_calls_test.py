"""Calls to a worker, against a stand-in."""

from collections.abc import Iterator

import pytest
from result import Ok

from cumintack.coordination.runs.worker_run_state import (
    PaceRun,
    PollResult,
    StartRun,
    StopRun,
)
from cumintack.platform.announcements import create_lifetime
from cumintack.platform.fake_worker_test import (
    BORN_MS,
    INSTANCE,
    FakeWorker,
)
from cumintack.platform.worker_calls import PlatformWorker
from cumintack.protocol.run_messages import RunDetails, RunKey, WorkerInfo
from cumintack.state.resources import Resources
from cumintack.transport.clock import SystemClock

KEY = RunKey('5c0e7a21d94b36f8.0.1.17', 2)
FACTS = WorkerInfo(
    INSTANCE,
    create_lifetime(INSTANCE, BORN_MS),
    'pool',
    'north-yard',
    Resources(16000, 32768),
    ('a', 'r1-3'),
)
CLOCK = SystemClock()


@pytest.fixture(name='worker')
def _worker() -> Iterator[FakeWorker]:
    worker = FakeWorker()
    yield worker
    worker.close()


def _look(client: PlatformWorker, settled_number: int = 0) -> PollResult:
    outcome = client.poll(FACTS, 7, settled_number, 0)
    assert isinstance(outcome, Ok), outcome
    return outcome.ok_value


def _start(until_s: float) -> StartRun:
    return StartRun(KEY, RunDetails('text'), 7, until_s)


def test_run_from_start_to_end(worker: FakeWorker) -> None:
    """A run is started, shown, paced, stopped, and its end is forgotten."""
    client = PlatformWorker(worker.address, 2, CLOCK)
    assert _look(client).lifetime == FACTS.lifetime
    answer = client.perform(FACTS, _start(CLOCK.now_s() + 5))
    assert answer.is_done
    assert [run.key for run in _look(client).running] == [KEY]
    assert client.perform(FACTS, PaceRun(KEY, 40, 7)).is_done
    assert worker.paces == {KEY.task_id: 40}
    assert client.perform(FACTS, StopRun(KEY, 7)).is_done
    ended = _look(client).ended
    assert [(end.key, end.kind) for end in ended] == [(KEY, 'stopped')]
    assert not _look(client, ended[0].number).ended


def test_lease_is_on_the_clock_of_the_worker(worker: FakeWorker) -> None:
    """The lease ends no later than asked, also with a slow clock."""
    client = PlatformWorker(worker.address, 2, CLOCK)
    _look(client)
    client.extend_lease(FACTS, 7, 0, CLOCK.now_s() + 5)
    left_ms = worker.lease_until_ms - worker.clock_ms
    assert left_ms <= 5000 * 0.98
    assert left_ms > 4000


@pytest.mark.parametrize(
    ('refusal', 'reason'),
    [('room', 'room'), ('old', 'old'), ('late', ''), ('fence', '')],
)
def test_refusals(worker: FakeWorker, refusal: str, reason: str) -> None:
    """What may pass by itself is tried again, the rest is final."""
    client = PlatformWorker(worker.address, 2, CLOCK)
    _look(client)
    worker.refusal = refusal
    answer = client.perform(FACTS, _start(CLOCK.now_s() + 5))
    assert answer.is_answered
    assert not answer.is_done
    assert answer.reason == reason


def test_silence_is_no_answer(worker: FakeWorker) -> None:
    """A worker that is gone leaves the outcome open."""
    client = PlatformWorker(worker.address, 2, CLOCK)
    worker.close()
    answer = client.perform(FACTS, _start(CLOCK.now_s() + 5))
    assert not answer.is_answered


def test_rows_of_another_writer_are_dropped(worker: FakeWorker) -> None:
    """Unreadable rows are dropped alone; the others hold."""
    client = PlatformWorker(worker.address, 2, CLOCK)
    worker.running[KEY.task_id] = KEY.run
    worker.extra_rows = [['x'], 5, [1, 2, 3, 4, 5], None]
    worker.ended = [[1, 't', 1, 'exploded', ''], [2, 't', 1, 'done', '']]
    poll = _look(client)
    assert [run.key for run in poll.running] == [KEY]
    assert [end.number for end in poll.ended] == [2]
