"""Tests of the slowdown of a service relative to its baseline."""

from cumintack.coordination.slowdown import (
    WINDOW_S,
    SlowdownMeter,
    compute_slowdown,
    record_service_time,
)


def _record_window(
    meter: SlowdownMeter, served_s: float, from_s: float
) -> None:
    for number in range(20):
        record_service_time(meter, served_s, from_s + number * WINDOW_S / 20)


def test_slowdown_is_relative_to_the_baseline() -> None:
    """Twice the baseline response time is a slowdown of two."""
    meter = SlowdownMeter()
    _record_window(meter, 0.01, 0)
    _record_window(meter, 0.02, WINDOW_S)
    record_service_time(meter, 0.02, 2 * WINDOW_S)
    assert round(compute_slowdown(meter, 2 * WINDOW_S)) == 2


def test_no_slowdown_without_recent_responses() -> None:
    """The slowdown is 0 without recent responses."""
    meter = SlowdownMeter()
    assert not compute_slowdown(meter, 0)
    _record_window(meter, 0.01, 0)
    record_service_time(meter, 0.01, WINDOW_S)
    assert not compute_slowdown(meter, 100 * WINDOW_S)
