"""Tests that best-effort tasks are throttled in time, if they interfere."""

from cumintack.coordination.runs.pacing import (
    FULL_PERCENT,
    PROBE_PERCENT,
    PacingState,
    list_changed_paces,
    record_weights,
    set_initial_paces,
    update_paces,
)
from cumintack.protocol.run_messages import (
    PairWeight,
    RunDetails,
    RunKey,
    RunningRun,
)

CRITICAL = RunKey('0123456789abcdef.0.0.0', 1)
BEST_EFFORT = RunKey('0123456789abcdef.0.1.0', 1)
OTHER = RunKey('0123456789abcdef.0.1.1', 1)
DETAILS = {
    CRITICAL: RunDetails('', target_ms=100, image='desk', need_milli=8000),
    BEST_EFFORT: RunDetails(
        '', is_best_effort=True, image='batch', need_milli=8000
    ),
    OTHER: RunDetails('', is_best_effort=True, image='report', need_milli=8000),
}
# Users allow a latency-critical task to be over its target for 4 s in a row.
ALLOWED_OVER_TARGET_S = 4.0
STEP_INTERVAL_S = 0.5


def _create_running(
    latency_ms: int,
    best_effort_keys: tuple[RunKey, ...] = (BEST_EFFORT,),
    cores_milli: int = 8000,
) -> tuple[RunningRun, ...]:
    return (
        RunningRun(CRITICAL, '', 100, latency_ms, has_details=True),
        *(
            RunningRun(key, '', 10, cores_milli, has_details=True)
            for key in best_effort_keys
        ),
    )


def _get_pace(state: PacingState, key: RunKey) -> int:
    return list_changed_paces(state, {key}, DETAILS).get(key, int(FULL_PERCENT))


def _create_state(*weights: PairWeight) -> PacingState:
    state = PacingState()
    record_weights(state, weights)
    return state


def test_unknown_pair_starts_slowly() -> None:
    """An image not observed yet beside a latency-critical one starts slowly."""
    state = _create_state()
    set_initial_paces(
        state, _create_running(30, ()), DETAILS, [DETAILS[BEST_EFFORT]]
    )
    assert _get_pace(state, BEST_EFFORT) == PROBE_PERCENT


def test_harmless_pair_is_at_full_speed_within_two_steps() -> None:
    """An image that takes no margin is sped up quickly."""
    state = _create_state()
    set_initial_paces(
        state, _create_running(30, ()), DETAILS, [DETAILS[BEST_EFFORT]]
    )
    for step in (1, 2):
        update_paces(
            state, _create_running(30), DETAILS, step * STEP_INTERVAL_S
        )
    assert _get_pace(state, BEST_EFFORT) == FULL_PERCENT


def test_unknown_pair_is_raised_within_its_remaining_margin() -> None:
    """The margin lost at the initial pace bounds the next pace."""
    state = _create_state()
    set_initial_paces(
        state, _create_running(30, ()), DETAILS, [DETAILS[BEST_EFFORT]]
    )
    # The margin falls from 3.3 to 2.0 at a quarter of the speed.
    update_paces(state, _create_running(50), DETAILS, STEP_INTERVAL_S)
    assert PROBE_PERCENT < _get_pace(state, BEST_EFFORT) < 2 * PROBE_PERCENT


def test_learned_light_pair_starts_at_full_speed() -> None:
    """A pair with a learned weight of zero is not throttled."""
    state = _create_state(PairWeight('desk', 'batch', 0))
    set_initial_paces(
        state, _create_running(60, ()), DETAILS, [DETAILS[BEST_EFFORT]]
    )
    assert _get_pace(state, BEST_EFFORT) == FULL_PERCENT


def test_learned_heavy_pair_starts_within_the_margin() -> None:
    """The initial pace leaves the latency-critical task its target margin."""
    state = _create_state(PairWeight('desk', 'batch', 0.5))
    set_initial_paces(
        state, _create_running(40, ()), DETAILS, [DETAILS[BEST_EFFORT]]
    )
    # The margin is 2.5, of which 1.15 may be taken; full speed would take 4.
    assert _get_pace(state, BEST_EFFORT) in range(25, 32)


def test_only_interfering_image_is_slowed() -> None:
    """An image with a weight of zero keeps its pace beside a heavy one."""
    state = _create_state(
        PairWeight('desk', 'batch', 0.3),
        PairWeight('desk', 'report', 0),
    )
    update_paces(
        state,
        _create_running(100, (BEST_EFFORT, OTHER)),
        DETAILS,
        STEP_INTERVAL_S,
    )
    assert _get_pace(state, BEST_EFFORT) < FULL_PERCENT
    assert _get_pace(state, OTHER) == FULL_PERCENT


def test_wrong_weights_do_not_keep_a_task_over_its_target() -> None:
    """Even with wrong weights all images stop well before the bound."""
    state = _create_state(
        PairWeight('desk', 'batch', 0),
        PairWeight('desk', 'report', 0.3),
    )
    for step in range(1, int(ALLOWED_OVER_TARGET_S / STEP_INTERVAL_S)):
        update_paces(
            state, _create_running(300, (BEST_EFFORT, OTHER)), DETAILS, step / 2
        )
    assert _get_pace(state, BEST_EFFORT) == 0
    assert _get_pace(state, OTHER) == 0
