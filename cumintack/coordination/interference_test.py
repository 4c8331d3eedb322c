"""Tests of mitigation: order of steps, intervals, and configured weights."""

from hypothesis import given
from hypothesis import strategies as st

from cumintack.coordination.interference import (
    MIN_STEP_INTERVAL_S,
    InterferenceState,
    Mitigation,
    WorkerSample,
    compute_mitigation,
    compute_thresholds,
    record_sample,
)
from cumintack.state.commands import ConfigurationChange
from cumintack.state.configuration import Configuration, apply_changes

LATENCY_FIRST = (4.0, 1.0, 1.0)
THROUGHPUT_FIRST = (1.0, 3.0, 3.0)
NAMES = ('tail_latency', 'throughput', 'evictions')


def _configure(weights: tuple[float, float, float]) -> Configuration:
    changes = tuple(
        ConfigurationChange(f'scheduler.weight_{name}', weight)
        for name, weight in zip(NAMES, weights)
    )
    return apply_changes(Configuration(), changes, 1, 'test')


def _mitigate(
    weights: tuple[float, float, float],
    slowdowns: list[float],
    step_s: float,
) -> list[Mitigation]:
    state = InterferenceState()
    thresholds = compute_thresholds(_configure(weights))
    mitigations = []
    for number, slowdown in enumerate(slowdowns):
        sample = WorkerSample('w', slowdown, ('noisy', 'quiet'))
        record_sample(state, sample)
        mitigations.append(
            compute_mitigation(
                state, sample, thresholds, 100 + number * step_s
            ),
        )
    return mitigations


def test_mitigation_escalates_step_by_step() -> None:
    """The first step only avoids the kind, the second adds throttling.

    A task is evicted at the third step.
    """
    mitigations = _mitigate(
        LATENCY_FIRST, [2.0, 2.0, 2.0, 2.0], MIN_STEP_INTERVAL_S
    )
    assert mitigations[0].avoided_kinds
    assert not mitigations[0].evicted_kind
    assert not mitigations[1].evicted_kind
    assert mitigations[2].evicted_kind


def test_weights_decide_about_eviction() -> None:
    """The same slowdown evicts with one set of weights and not the other.

    The first favours tail latency, the second throughput and few evictions.
    """
    slowdowns = [1.7 for _ in range(10)]
    latency_first = _mitigate(LATENCY_FIRST, slowdowns, MIN_STEP_INTERVAL_S)
    throughput_first = _mitigate(
        THROUGHPUT_FIRST, slowdowns, MIN_STEP_INTERVAL_S
    )
    assert any(mitigation.evicted_kind for mitigation in latency_first)
    assert not any(mitigation.evicted_kind for mitigation in throughput_first)


@given(
    slowdowns=st.lists(st.floats(0, 20), min_size=1, max_size=60),
    step_s=st.sampled_from((0.1, 0.5, 1.0)),
)
def test_noise_does_not_cluster_evictions(
    slowdowns: list[float], step_s: float
) -> None:
    """Evictions keep the minimum interval for any sequence of slowdowns."""
    mitigations = _mitigate(LATENCY_FIRST, slowdowns, step_s)
    evicted_at_s = [
        number * step_s
        for number, mitigation in enumerate(mitigations)
        if mitigation.evicted_kind
    ]
    for earlier, later in zip(evicted_at_s, evicted_at_s[1:]):
        assert later - earlier >= MIN_STEP_INTERVAL_S - 0.001


def test_avoidance_outlasts_the_last_task() -> None:
    """A kind is still avoided for some time after its last task has left."""
    state = InterferenceState()
    thresholds = compute_thresholds(_configure(LATENCY_FIRST))
    noisy = WorkerSample('w', 3.0, ('noisy',))
    record_sample(state, noisy)
    assert compute_mitigation(state, noisy, thresholds, 100).avoided_kinds
    empty = WorkerSample('w', 1.0, ())
    record_sample(state, empty)
    assert compute_mitigation(state, empty, thresholds, 100.5).avoided_kinds
    assert not compute_mitigation(state, empty, thresholds, 103).avoided_kinds
