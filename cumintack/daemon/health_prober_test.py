"""Tests of the thread that probes the health of a worker."""

import queue

import pytest

from cumintack.daemon import health_prober
from cumintack.daemon.health_prober import HealthProber, HealthTarget
from cumintack.protocol.run_messages import WorkerInfo
from cumintack.state.resources import Resources

WORKER = WorkerInfo('i-1', '1.i-1', 'pool', 'yard', Resources(1, 1), ())
TARGET = HealthTarget(WORKER, '/health')
TIMEOUT_S = 10.0


# Guards against a guard that stops probing after an unexpected error, and
# against answers that nobody gave.
def test_probes_go_on_after_errors(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without a target, an answer, or after an error nothing is recorded."""
    monkeypatch.setattr(health_prober, 'PROBE_INTERVAL_S', 0.001)
    monkeypatch.setattr(health_prober, 'NO_ANSWER_INTERVAL_S', 0.001)
    targets = [None, TARGET, TARGET, TARGET, TARGET]
    answers: list[bool | None] = [None, False, True]
    is_failing = True
    recorded: queue.SimpleQueue[bool] = queue.SimpleQueue()

    def probe(worker_info: WorkerInfo, path: str) -> bool | None:
        nonlocal is_failing
        assert path == TARGET.path
        if is_failing:
            is_failing = False
            raise RecursionError
        return answers.pop(0)

    prober = HealthProber(
        lambda: targets.pop(0) if targets else None,
        probe,
        lambda worker_info, is_healthy: recorded.put(is_healthy),
    )
    assert [recorded.get(timeout=TIMEOUT_S) for _ in range(2)] == [False, True]
    prober.close()
    assert not answers
