"""Measurement and mitigation of interference between batch tasks and services.

The slowdown of a service is its response time divided by its own baseline. For
each kind of task, a moving average of the slowdown is kept over the samples in
which that kind was present. Mitigation escalates in three steps: stop placing
the kind on the worker, throttle it, evict one task. A minimum interval between
steps prevents a burst of noise from causing many evictions at once.
"""

import msgspec

from cumintack.state.configuration import Configuration, get_numeric_setting

SMOOTHING_FACTOR = 0.1
MIN_STEP_INTERVAL_S = 2.0
CALM_SLOWDOWN = 1.1
BASE_TOLERANCE = 0.2
EVICTION_FACTOR = 2.0
MAX_STEP = 3
STEP_AVOID = 1
STEP_THROTTLE = 2
MIN_WEIGHT = 0.01
MAX_WEIGHT_RATIO = 5.0
CALM_FRACTION = 0.9


class WorkerSample(msgspec.Struct, frozen=True):
    """Slowdown of the service on a worker and the kinds of tasks running."""

    worker: str
    slowdown: float
    kinds: tuple[str, ...]


class MitigationThresholds(msgspec.Struct, frozen=True):
    """Slowdowns at which mitigation starts and at which it evicts.

    Attributes:
        tolerated_slowdown: Mitigation starts above this slowdown.
        eviction_slowdown: Tasks are evicted from this slowdown on.
    """

    tolerated_slowdown: float
    eviction_slowdown: float


class MitigationLevel(msgspec.Struct):
    """Current mitigation step on one worker.

    Attributes:
        step: 0 for no mitigation, up to 3 for eviction.
        changed_at_s: Time of the last change of the step.
        kind: Kind of task that is mitigated. It is remembered after the last
            task of that kind has left the worker.
    """

    step: int = 0
    changed_at_s: float = float('-inf')
    kind: str = ''


class Mitigation(msgspec.Struct, frozen=True):
    """Mitigation to apply on one worker.

    Attributes:
        avoided_kinds: Kinds of task not to be placed on the worker.
        evicted_kind: Kind of which to evict one task, or an empty string.
    """

    avoided_kinds: frozenset[str] = frozenset()
    evicted_kind: str = ''


class InterferenceState(msgspec.Struct):
    """Measured slowdowns and current mitigation, changed in place.

    Attributes:
        slowdowns: Average slowdown by kind of task.
        levels: Mitigation level by worker.
        throttled: Throttled kinds by worker.
    """

    slowdowns: dict[str, float] = {}
    levels: dict[str, MitigationLevel] = {}
    throttled: dict[str, frozenset[str]] = {}


def compute_thresholds(configuration: Configuration) -> MitigationThresholds:
    """Compute the thresholds from the configured scheduler weights.

    Args:
        configuration: The current configuration.

    Returns:
        The thresholds. A higher weight of tail latency lowers them.
    """
    latency = get_numeric_setting(
        configuration, 'scheduler.weight_tail_latency'
    )
    throughput = get_numeric_setting(
        configuration, 'scheduler.weight_throughput'
    )
    evictions = get_numeric_setting(configuration, 'scheduler.weight_evictions')
    batch_weight = max(MIN_WEIGHT, (throughput + evictions) / 2)
    batch_ratio = batch_weight / max(MIN_WEIGHT, latency)
    tolerated_slowdown = 1 + BASE_TOLERANCE * min(MAX_WEIGHT_RATIO, batch_ratio)
    eviction_ratio = max(MIN_WEIGHT, evictions) / max(MIN_WEIGHT, latency)
    eviction_slowdown = 1 + EVICTION_FACTOR * min(
        MAX_WEIGHT_RATIO, eviction_ratio
    )
    return MitigationThresholds(
        tolerated_slowdown, max(tolerated_slowdown, eviction_slowdown)
    )


def record_sample(state: InterferenceState, sample: WorkerSample) -> None:
    """Update the average slowdown of each kind present in a sample.

    Args:
        state: State to update.
        sample: The sample; one without a measured slowdown is ignored.
    """
    if sample.slowdown <= 0:
        return
    for kind in sample.kinds:
        before = state.slowdowns.get(kind, 1.0)
        change = sample.slowdown - before
        state.slowdowns[kind] = before + SMOOTHING_FACTOR * change


def compute_mitigation(
    state: InterferenceState,
    sample: WorkerSample,
    thresholds: MitigationThresholds,
    now_s: float,
) -> Mitigation:
    """Compute the mitigation for a worker from its latest sample.

    Args:
        state: State to update.
        sample: The latest sample of the worker.
        thresholds: The thresholds.
        now_s: The current time.

    Returns:
        The mitigation. Throttled kinds are recorded in the state.
    """
    level = state.levels.setdefault(sample.worker, MitigationLevel())
    _update_step(level, sample, thresholds, now_s)
    if sample.kinds:
        level.kind = _find_most_harmful_kind(state, sample.kinds)
    if not level.kind or level.step < STEP_AVOID:
        state.throttled.pop(sample.worker, None)
        return Mitigation()
    kinds = frozenset((level.kind,))
    if level.step >= STEP_THROTTLE:
        state.throttled[sample.worker] = kinds
    else:
        state.throttled.pop(sample.worker, None)
    is_evicting = level.step == MAX_STEP and level.changed_at_s == now_s
    return Mitigation(kinds, level.kind if is_evicting else '')


def _update_step(
    level: MitigationLevel,
    sample: WorkerSample,
    thresholds: MitigationThresholds,
    now_s: float,
) -> None:
    if now_s - level.changed_at_s < MIN_STEP_INTERVAL_S:
        return
    if sample.slowdown > thresholds.tolerated_slowdown and sample.kinds:
        highest = MAX_STEP
        if sample.slowdown < thresholds.eviction_slowdown:
            highest = STEP_THROTTLE
        level.step = max(level.step, min(highest, level.step + 1))
        level.changed_at_s = now_s
    elif sample.slowdown < max(
        CALM_SLOWDOWN, thresholds.tolerated_slowdown * CALM_FRACTION
    ):
        if level.step:
            level.step -= 1
            level.changed_at_s = now_s


def _find_most_harmful_kind(
    state: InterferenceState, kinds: tuple[str, ...]
) -> str:
    if not kinds:
        return ''
    return max(kinds, key=lambda kind: state.slowdowns.get(kind, 1.0))
