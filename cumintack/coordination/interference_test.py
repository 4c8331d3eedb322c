"""Reactions to slowdown: steps, pauses, and the weights of the users."""

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

GUILD = (4.0, 1.0, 1.0)
AUTHORITY = (1.0, 3.0, 3.0)
NAMES = ('tail_latency', 'throughput', 'evictions')


def _configure(weights: tuple[float, float, float]) -> Configuration:
    changes = tuple(
        ConfigurationChange(f'scheduler.weight_{name}', weight)
        for name, weight in zip(NAMES, weights)
    )
    return apply_changes(Configuration(), changes, 1, 'test')


def _react(
    weights: tuple[float, float, float],
    slowdowns: list[float],
    step_s: float,
) -> list[Mitigation]:
    table = InterferenceState()
    limits = compute_thresholds(_configure(weights))
    reactions = []
    for number, slowdown in enumerate(slowdowns):
        sample = WorkerSample('w', slowdown, ('noisy', 'quiet'))
        record_sample(table, sample)
        reactions.append(
            compute_mitigation(table, sample, limits, 100 + number * step_s),
        )
    return reactions


def test_steps_come_one_after_the_other() -> None:
    """First nothing is placed, then it is throttled, then one is evicted."""
    reactions = _react(GUILD, [2.0, 2.0, 2.0, 2.0], MIN_STEP_INTERVAL_S)
    assert reactions[0].avoided
    assert not reactions[0].evicted_kind
    assert not reactions[1].evicted_kind
    assert reactions[2].evicted_kind


def test_users_decide_differently() -> None:
    """The same slowdown evicts for the Guild and not for the Authority."""
    slowdowns = [1.7 for _ in range(10)]
    guild = _react(GUILD, slowdowns, MIN_STEP_INTERVAL_S)
    authority = _react(AUTHORITY, slowdowns, MIN_STEP_INTERVAL_S)
    assert any(reaction.evicted_kind for reaction in guild)
    assert not any(reaction.evicted_kind for reaction in authority)


@given(
    slowdowns=st.lists(st.floats(0, 20), min_size=1, max_size=60),
    step_s=st.sampled_from((0.1, 0.5, 1.0)),
)
def test_noise_makes_no_storm(slowdowns: list[float], step_s: float) -> None:
    """Whatever the noise, evictions keep their distance in time."""
    reactions = _react(GUILD, slowdowns, step_s)
    evicted_at_s = [
        number * step_s
        for number, reaction in enumerate(reactions)
        if reaction.evicted_kind
    ]
    for earlier, later in zip(evicted_at_s, evicted_at_s[1:]):
        assert later - earlier >= MIN_STEP_INTERVAL_S - 0.001


def test_avoidance_outlasts_the_last_task() -> None:
    """A kind stays away for a while after its last task has gone."""
    table = InterferenceState()
    limits = compute_thresholds(_configure(GUILD))
    noisy = WorkerSample('w', 3.0, ('noisy',))
    record_sample(table, noisy)
    assert compute_mitigation(table, noisy, limits, 100).avoided
    empty = WorkerSample('w', 1.0, ())
    record_sample(table, empty)
    assert compute_mitigation(table, empty, limits, 100.5).avoided
    assert not compute_mitigation(table, empty, limits, 103).avoided
