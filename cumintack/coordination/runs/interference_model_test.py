"""Tests that image pairs with strong and with weak interference are separated.

The load of the latency-critical tasks varies by itself, as that of real
services does, and best-effort tasks start and end beside them. A
latency-critical task is modelled as a queue whose latency grows without bound
as its utilisation approaches one.
"""

import math
import random

from cumintack.coordination.runs.interference_model import (
    PRIOR_WEIGHT,
    InterferenceModel,
    Observation,
    fit_weights,
    get_weight,
    is_learned,
    record_observation,
)
from cumintack.protocol.run_messages import RunKey

HEAVY = 'heavy'
LIGHT = 'light'
CRITICAL_IMAGE = 'desk'
# Load that one core of each image adds to a latency-critical task.
LOADS = {HEAVY: 0.03, LIGHT: 0.0}
CORES = 7.0
OBSERVATION_INTERVAL_S = 0.4
# Margin of an idle task, and the least margin of a full queue.
IDLE_MARGIN = 5.0
MIN_MARGIN = 0.1
# Margin that one core of the heavy image takes.
TRUE_WEIGHT = IDLE_MARGIN * LOADS[HEAVY]


class Worker:
    """A latency-critical task with best-effort tasks that start and end."""

    def __init__(self, rng: random.Random, number: int) -> None:
        """Start without best-effort tasks, at a random phase of the load."""
        self.key = RunKey(f'0123456789abcdef.0.0.{number}', 1)
        self.cores = {HEAVY: 0.0, LIGHT: 0.0}
        self.previous_cores = dict(self.cores)
        self._rng = rng
        self._phase = rng.random() * math.tau

    def step(self, now_s: float) -> Observation:
        """Start and end tasks, and return the next observation."""
        load = 0.45 * (1 + 0.5 * math.sin(now_s * math.tau / 14 + self._phase))
        load += sum(
            load_per_core * (self.cores[image] + self.previous_cores[image]) / 2
            for image, load_per_core in LOADS.items()
        )
        self.previous_cores = dict(self.cores)
        for changed_image in self.cores:
            if not self._rng.randrange(10):
                count = self._rng.randrange(3)
                self.cores[changed_image] = count * CORES
        margin = max(MIN_MARGIN, IDLE_MARGIN * (1 - load))
        margin *= self._rng.uniform(0.95, 1.05)
        return Observation(
            self.key, CRITICAL_IMAGE, margin, dict(self.previous_cores)
        )


def _learn(seed: int, seconds: float) -> InterferenceModel:
    rng = random.Random(seed)
    model = InterferenceModel()
    workers = [Worker(rng, number) for number in range(4)]
    for step in range(int(seconds / OBSERVATION_INTERVAL_S)):
        for worker in workers:
            now_s = step * OBSERVATION_INTERVAL_S
            record_observation(model, worker.step(now_s), now_s)
        fit_weights(model, step * OBSERVATION_INTERVAL_S)
    return model


def test_heavy_pair_is_distinguished_from_light_pair() -> None:
    """After 20 s of four workers a weight is right within a factor of two."""
    for seed in range(20):
        model = _learn(seed, 20)
        heavy = get_weight(model, CRITICAL_IMAGE, HEAVY)
        light = get_weight(model, CRITICAL_IMAGE, LIGHT)
        assert TRUE_WEIGHT / 2 < heavy < TRUE_WEIGHT * 2, seed
        assert light < TRUE_WEIGHT / 2, seed


def test_constant_load_is_not_learned_from() -> None:
    """A best-effort task with constant load gives no information."""
    model = InterferenceModel()
    for step in range(50):
        observation = Observation(
            RunKey('0123456789abcdef.0.0.0', 1),
            CRITICAL_IMAGE,
            2.0,
            {HEAVY: CORES},
        )
        record_observation(model, observation, step * OBSERVATION_INTERVAL_S)
    fit_weights(model, now_s=20)
    assert not is_learned(model, CRITICAL_IMAGE, HEAVY)


def test_pair_counts_as_learned_after_a_start() -> None:
    """One start beside a latency-critical task is enough to learn a pair."""
    model = InterferenceModel()
    key = RunKey('0123456789abcdef.0.0.0', 1)
    for step in range(10):
        cores = {HEAVY: CORES} if step > 4 else {}
        observation = Observation(key, CRITICAL_IMAGE, 2.0, cores)
        record_observation(model, observation, step * OBSERVATION_INTERVAL_S)
    fit_weights(model, now_s=20)
    assert is_learned(model, CRITICAL_IMAGE, HEAVY)
    assert not is_learned(model, CRITICAL_IMAGE, LIGHT)


def test_other_pair_of_an_image_gives_the_prior_of_a_new_pair() -> None:
    """What is known of an image counts beside images that are new to it."""
    model = _learn(1, 20)
    heavy = get_weight(model, 'new', HEAVY)
    assert TRUE_WEIGHT / 2 < heavy < TRUE_WEIGHT * 2
    assert get_weight(model, 'new', LIGHT) < TRUE_WEIGHT / 2
    assert not is_learned(model, 'new', HEAVY)


def test_first_observation_does_not_make_a_pair_harmless() -> None:
    """A start in a moment when the load falls by itself proves nothing."""
    model = InterferenceModel()
    key = RunKey('0123456789abcdef.0.0.0', 1)
    for step, (margin, cores) in enumerate(((2.0, 0.0), (2.0, 2.0))):
        observation = Observation(key, CRITICAL_IMAGE, margin, {HEAVY: cores})
        record_observation(model, observation, step * OBSERVATION_INTERVAL_S)
    fit_weights(model, now_s=20)
    assert get_weight(model, CRITICAL_IMAGE, HEAVY) > PRIOR_WEIGHT / 2


def test_large_fleet_remembers_an_image_that_pauses() -> None:
    """Observations of other images do not wear down what is known of one."""
    model = _learn(1, 20)
    learned = get_weight(model, CRITICAL_IMAGE, HEAVY)
    for step in range(20000):
        now_s = 20 + step / 1000
        key = RunKey('0123456789abcdef.0.1.0', step)
        idle = Observation(key, CRITICAL_IMAGE, 2.0, {})
        record_observation(model, idle, now_s)
        record_observation(model, idle, now_s + OBSERVATION_INTERVAL_S)
    fit_weights(model, now_s=40)
    assert get_weight(model, CRITICAL_IMAGE, HEAVY) > 0.9 * learned
