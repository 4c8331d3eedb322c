"""Filling tasks give way in time, and only those that disturb."""

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

SERVING = RunKey('0123456789abcdef.0.0.0', 1)
FILLING = RunKey('0123456789abcdef.0.1.0', 1)
OTHER = RunKey('0123456789abcdef.0.1.1', 1)
DETAILS = {
    SERVING: RunDetails('', target_ms=100, image='desk', need_milli=8000),
    FILLING: RunDetails(
        '', is_best_effort=True, image='batch', need_milli=8000
    ),
    OTHER: RunDetails('', is_best_effort=True, image='report', need_milli=8000),
}
# The users allow a serving task to be over its target for 4 s on end.
MOST_OVER_S = 4.0
STEP_S = 0.5


def _show(
    latency_ms: int,
    best_effort: tuple[RunKey, ...] = (FILLING,),
    cores_milli: int = 8000,
) -> tuple[RunningRun, ...]:
    return (
        RunningRun(SERVING, '', 100, latency_ms, has_details=True),
        *(
            RunningRun(key, '', 10, cores_milli, has_details=True)
            for key in best_effort
        ),
    )


def _get_pace(state: PacingState, key: RunKey) -> int:
    return list_changed_paces(state, {key}, DETAILS).get(key, int(FULL_PERCENT))


def _create_state(*weights: PairWeight) -> PacingState:
    state = PacingState()
    record_weights(state, weights)
    return state


def test_unknown_pair_starts_slowly() -> None:
    """An image never seen beside a serving one starts at a small pace."""
    state = _create_state()
    set_initial_paces(state, _show(30, ()), DETAILS, [DETAILS[FILLING]])
    assert _get_pace(state, FILLING) == PROBE_PERCENT


def test_harmless_pair_is_at_full_speed_within_two_steps() -> None:
    """What takes no margin is let go quickly."""
    state = _create_state()
    set_initial_paces(state, _show(30, ()), DETAILS, [DETAILS[FILLING]])
    for step in (1, 2):
        update_paces(state, _show(30), DETAILS, step * STEP_S)
    assert _get_pace(state, FILLING) == FULL_PERCENT


def test_unknown_pair_that_takes_margin_is_not_raised_beyond_it() -> None:
    """The margin lost at a small pace bounds the next one."""
    state = _create_state()
    set_initial_paces(state, _show(30, ()), DETAILS, [DETAILS[FILLING]])
    # The margin falls from 3.3 to 2.0 at a quarter of the speed.
    update_paces(state, _show(50), DETAILS, STEP_S)
    assert PROBE_PERCENT < _get_pace(state, FILLING) < 2 * PROBE_PERCENT


def test_learned_light_pair_starts_at_full_speed() -> None:
    """A pair that was learned to be light is not held back."""
    state = _create_state(PairWeight('desk', 'batch', 0))
    set_initial_paces(state, _show(60, ()), DETAILS, [DETAILS[FILLING]])
    assert _get_pace(state, FILLING) == FULL_PERCENT


def test_learned_heavy_pair_starts_at_what_there_is_room_for() -> None:
    """The pace leaves the serving task its margin."""
    state = _create_state(PairWeight('desk', 'batch', 0.5))
    set_initial_paces(state, _show(40, ()), DETAILS, [DETAILS[FILLING]])
    # Margin 2.5, of which 1.15 may go, and 4 would at full speed.
    assert _get_pace(state, FILLING) in range(25, 32)


def test_only_what_disturbs_is_slowed() -> None:
    """An image learned to be light keeps its speed beside a heavy one."""
    state = _create_state(
        PairWeight('desk', 'batch', 0.3),
        PairWeight('desk', 'report', 0),
    )
    update_paces(state, _show(100, (FILLING, OTHER)), DETAILS, STEP_S)
    assert _get_pace(state, FILLING) < FULL_PERCENT
    assert _get_pace(state, OTHER) == FULL_PERCENT


def test_wrong_weights_do_not_keep_a_task_over_its_target() -> None:
    """Whatever was learned, what fills stops well before the bound."""
    state = _create_state(
        PairWeight('desk', 'batch', 0),
        PairWeight('desk', 'report', 0.3),
    )
    for step in range(1, int(MOST_OVER_S / STEP_S)):
        update_paces(state, _show(300, (FILLING, OTHER)), DETAILS, step / 2)
    assert _get_pace(state, FILLING) == 0
    assert _get_pace(state, OTHER) == 0
