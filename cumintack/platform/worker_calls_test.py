"""Tests of the worker client against a fake worker."""

from collections.abc import Iterator
from http import HTTPStatus

import msgspec
import pytest
from result import Err, Ok

from cumintack.coordination.runs.worker_run_state import (
    FencingToken,
    PaceRun,
    PollResult,
    StartRun,
    StopRun,
)
from cumintack.platform.announcements import format_incarnation_id
from cumintack.platform.fake_worker_test import (
    BORN_MS,
    INSTANCE,
    FakeWorker,
)
from cumintack.platform.worker_calls import (
    MAX_LISTED_ENDS,
    PlatformWorkerClient,
)
from cumintack.protocol.run_messages import RunDetails, RunKey, WorkerInfo
from cumintack.state.resources import Resources
from cumintack.transport.clock import SystemClock

KEY = RunKey('5c0e7a21d94b36f8.0.1.17', 2)
WORKER_INFO = WorkerInfo(
    INSTANCE,
    format_incarnation_id(INSTANCE, BORN_MS),
    'pool',
    'north-yard',
    Resources(16000, 32768),
    ('a', 'r1-3'),
)
TOKEN = FencingToken(7, 2)
CLOCK = SystemClock()


@pytest.fixture(name='worker')
def _worker() -> Iterator[FakeWorker]:
    worker = FakeWorker()
    yield worker
    worker.close()


def _poll(client: PlatformWorkerClient, settled_number: int = 0) -> PollResult:
    outcome = client.poll(WORKER_INFO, TOKEN, settled_number, 0)
    assert isinstance(outcome, Ok), outcome
    return outcome.ok_value


def _start(until_s: float) -> StartRun:
    return StartRun(KEY, RunDetails('text'), TOKEN, until_s)


def test_run_from_start_to_end(worker: FakeWorker) -> None:
    """A run is started, listed, throttled, stopped, and then acknowledged."""
    client = PlatformWorkerClient(worker.address, 2, CLOCK)
    assert _poll(client).lifetime == WORKER_INFO.lifetime
    answer = client.perform(WORKER_INFO, _start(CLOCK.now_s() + 5))
    assert answer.is_done
    assert [run.key for run in _poll(client).running] == [KEY]
    assert client.perform(WORKER_INFO, PaceRun(KEY, 40, TOKEN)).is_done
    assert worker.paces == {KEY.task_id: 40}
    assert client.perform(WORKER_INFO, StopRun(KEY, TOKEN)).is_done
    ended = _poll(client).ended
    assert [(end.key, end.kind) for end in ended] == [(KEY, 'stopped')]
    assert not _poll(client, ended[0].number).ended


def test_lease_is_on_the_clock_of_the_worker(worker: FakeWorker) -> None:
    """A lease ends in time even if the worker's clock is 2% slow."""
    client = PlatformWorkerClient(worker.address, 2, CLOCK)
    _poll(client)
    client.extend_lease(WORKER_INFO, TOKEN, CLOCK.now_s() + 5)
    remaining_ms = worker.lease_until_ms - worker.clock_ms
    assert remaining_ms <= 5000 * 0.98
    assert remaining_ms > 4000


def test_lease_is_on_the_clock_of_the_polled_incarnation(
    worker: FakeWorker,
) -> None:
    """An answer of an earlier incarnation overtakes no poll of a later one."""
    client = PlatformWorkerClient(worker.address, 2, CLOCK)
    _poll(client)
    clock_ms = worker.clock_ms
    worker.clock_ms += 60000
    client.perform(WORKER_INFO, PaceRun(KEY, 40, TOKEN))
    worker.clock_ms = clock_ms
    client.extend_lease(WORKER_INFO, TOKEN, CLOCK.now_s() + 5)
    assert worker.lease_until_ms - clock_ms <= 5000


@pytest.mark.parametrize(
    ('refusal', 'reason'),
    [('room', 'room'), ('old', 'old'), ('late', ''), ('fence', '')],
)
def test_refusals(worker: FakeWorker, refusal: str, reason: str) -> None:
    """A temporary refusal has no reason and is retried; others are final."""
    client = PlatformWorkerClient(worker.address, 2, CLOCK)
    _poll(client)
    worker.refusal = refusal
    answer = client.perform(WORKER_INFO, _start(CLOCK.now_s() + 5))
    assert answer.is_answered
    assert not answer.is_done
    assert answer.reason == reason


# Guards against late calls that the worker takes for later ones.
@pytest.mark.parametrize('token', [FencingToken(7, 1), FencingToken(6, 9)])
def test_calls_under_a_lower_token_are_refused(
    worker: FakeWorker, token: FencingToken
) -> None:
    """Tokens are ordered by their term, then by the number of the fence."""
    client = PlatformWorkerClient(worker.address, 2, CLOCK)
    assert _poll(client).token == TOKEN
    stop = client.perform(WORKER_INFO, StopRun(KEY, token))
    assert stop.is_answered
    assert not stop.is_done
    assert isinstance(client.poll(WORKER_INFO, token, 0, 0), Err)


def test_unreachable_worker_gives_no_answer(worker: FakeWorker) -> None:
    """A call to a worker that accepts no connection is not sent."""
    client = PlatformWorkerClient(worker.address, 2, CLOCK)
    worker.close()
    answer = client.perform(WORKER_INFO, _start(CLOCK.now_s() + 5))
    assert not answer.is_answered
    assert not answer.is_sent


def test_undecodable_rows_are_dropped(worker: FakeWorker) -> None:
    """Invalid rows are dropped without affecting the valid ones."""
    client = PlatformWorkerClient(worker.address, 2, CLOCK)
    worker.running[KEY.task_id] = KEY.run
    worker.extra_rows = [['x'], 5, [1, 2, 3, 4, 5], None]
    worker.ended = [
        [1, 't', 1, 'exploded', ''],
        [2, 't', 1, 'done', ''],
        [3, 't', 1, 'crashed', ''],
    ]
    poll_result = _poll(client)
    assert [run.key for run in poll_result.running] == [KEY]
    assert [end.number for end in poll_result.ended] == [2]


# Guards against runs that count as absent although their end is not listed yet.
@pytest.mark.parametrize(
    ('count', 'lists_all_ends'),
    [(MAX_LISTED_ENDS - 1, True), (MAX_LISTED_ENDS, False)],
)
def test_full_list_of_ends_may_leave_out_others(
    worker: FakeWorker, count: int, *, lists_all_ends: bool
) -> None:
    """An invalid row takes up a place in the list, too."""
    client = PlatformWorkerClient(worker.address, 2, CLOCK)
    worker.ended = [
        [number, 't', number, 'done', ''] for number in range(2, count + 1)
    ]
    worker.ended.append([count + 1, 't', 1, 'exploded', ''])
    assert _poll(client).lists_all_ends is lists_all_ends


# Guards against a worker that counts as unhealthy because it does not answer,
# or because another worker answers at its address.
def test_health_is_what_the_worker_says(worker: FakeWorker) -> None:
    """A probe without an answer of this worker says nothing."""
    client = PlatformWorkerClient(worker.address, 2, CLOCK)
    assert client.probe_health(WORKER_INFO, '/health') is True
    worker.health_status = HTTPStatus.SERVICE_UNAVAILABLE
    assert client.probe_health(WORKER_INFO, '/health') is False
    other = msgspec.structs.replace(WORKER_INFO, worker_id='i-other')
    assert client.probe_health(other, '/health') is None
    worker.close()
    nowhere = PlatformWorkerClient('127.0.0.1:1', 2, CLOCK)
    assert nowhere.probe_health(WORKER_INFO, '/health') is None
