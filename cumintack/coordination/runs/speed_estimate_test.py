"""Tests of best-effort starts beside latency-critical tasks of swinging load.

A latency-critical task is modelled as a queue, whose margin falls linearly
with its load and with the interference. Its load swings by itself. Best-effort
tasks are offered all the time, more than the worker can take.
"""

import math

import msgspec
import pytest

from cumintack.coordination.runs.interference_model import (
    ImageStatistics,
    InterferenceModel,
)
from cumintack.coordination.runs.speed_estimate import estimate_speed
from cumintack.coordination.runs.worker_views import (
    WorkerUsage,
    WorkerView,
)
from cumintack.protocol.run_messages import WorkerInfo
from cumintack.state.resources import Resources
from cumintack.state.workflows import StepSpec

STEP = StepSpec(8, Resources(4000, 1000), image='heavy', is_best_effort=True)
LIGHT_STEP = msgspec.structs.replace(STEP, image='light')
WEIGHT = 0.14
MODEL = InterferenceModel(
    {'desk': ImageStatistics(weights={'heavy': WEIGHT, 'light': 0.0})}
)
CORES = 4
LOWEST_MARGIN = 1.5
HIGHEST_MARGIN = 4.5
SWING_S = 14.0
RUN_S = 3.4
REPORT_INTERVAL_S = 0.5
START_INTERVAL_S = 0.1


def _create_view(cores_milli: int = 64000) -> WorkerView:
    worker_info = WorkerInfo(
        'worker', 'worker', 'pool', 'yard', Resources(cores_milli, 100000), ()
    )
    return WorkerView('guard', worker_info, 0, 0)


def _estimate(usage: WorkerUsage, step: StepSpec = STEP) -> float:
    return estimate_speed(MODEL, _create_view(), usage, step)


class SwingingLoad:
    """A latency-critical task beside which best-effort tasks are started."""

    def __init__(self) -> None:
        """Start at the highest margin, without best-effort tasks."""
        self.ends_s: list[float] = []
        self.started_s: list[float] = []
        self.over_target_s = 0.0

    def play(self, duration_s: float) -> None:
        """Offer a task all the time, with measurements half a second old."""
        reported = self._get_margin(0)
        reported_at_s = 0.0
        for step in range(int(duration_s / START_INTERVAL_S)):
            now_s = step * START_INTERVAL_S
            self.ends_s = [end_s for end_s in self.ends_s if end_s > now_s]
            margin = self._get_margin(now_s)
            if margin < 1:
                self.over_target_s += START_INTERVAL_S
            if now_s - reported_at_s >= REPORT_INTERVAL_S:
                reported, reported_at_s = margin, now_s
            unmeasured = sum(
                started_s >= reported_at_s for started_s in self.started_s
            )
            usage = WorkerUsage(
                latency_margins=[('desk', reported)],
                unmeasured_cores={'heavy': unmeasured * CORES},
            )
            if _estimate(usage) >= 1:
                self.started_s.append(now_s)
                self.ends_s.append(now_s + RUN_S)

    def _get_margin(self, now_s: float) -> float:
        swing = (1 + math.cos(now_s * math.tau / SWING_S)) / 2
        margin = LOWEST_MARGIN + (HIGHEST_MARGIN - LOWEST_MARGIN) * swing
        return margin - len(self.ends_s) * CORES * WEIGHT


def test_starts_leave_a_swinging_load_within_its_target() -> None:
    """Also when the load rises while the tasks run, and no pace is set."""
    load = SwingingLoad()
    load.play(4 * SWING_S)
    assert load.over_target_s <= 0.05 * 4 * SWING_S
    assert len(load.started_s) >= 4 * 4


@pytest.mark.parametrize(
    ('margin', 'speed'), [(5.0, 1), (2.3, 1), (2.2, 0), (1.0, 0)]
)
def test_interfering_task_fits_only_at_full_speed(
    margin: float, speed: float
) -> None:
    """A task whose first tenth of a second overloads another one waits."""
    usage = WorkerUsage(latency_margins=[('desk', margin)])
    assert _estimate(usage) == speed


def test_harmless_task_fits_beside_a_task_without_margin() -> None:
    """An image that takes no margin may start at any time."""
    usage = WorkerUsage(latency_margins=[('desk', 0.9)])
    assert _estimate(usage, LIGHT_STEP) == 1


def test_starts_that_are_not_measured_yet_use_up_the_margin() -> None:
    """A second task must not start on the margin promised to the first."""
    usage = WorkerUsage(latency_margins=[('desk', 2.5)])
    assert _estimate(usage) == 1
    usage.unmeasured_cores['heavy'] = CORES
    assert _estimate(usage) == 0


def test_speed_is_shared_where_unused_cores_run_short() -> None:
    """The speed is the share of the requested cores that is unused."""
    usage = WorkerUsage(best_effort_milli=62000)
    assert _estimate(usage) == pytest.approx(0.5)
