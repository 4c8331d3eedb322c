"""How much batch tasks slow a service down, and what is done about it.

The slowdown of a service is its answer time beside its own best. It is
learned for each kind of task from samples in which that kind was present and
samples in which it was not. The reaction goes in steps, with a pause between
two of them, so that a wave of noise doesn't become a storm of evictions:
place none of the kind there, throttle it, evict one task.
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
    """Slowdown of the service of a worker, with the kinds of its tasks."""

    worker: str
    slowdown: float
    kinds: tuple[str, ...]


class MitigationThresholds(msgspec.Struct, frozen=True):
    """What the users weigh.

    Attributes:
        tolerated_slowdown: Slowdown from which the reaction starts.
        eviction_slowdown: Slowdown from which tasks are evicted.
    """

    tolerated_slowdown: float
    eviction_slowdown: float


class MitigationLevel(msgspec.Struct):
    """Reaction at one worker.

    Attributes:
        step: 0 for none, up to 3 for eviction.
        changed_at_s: When it last changed.
        kind: The kind that it is about, kept while no task of it is there.
    """

    step: int = 0
    changed_at_s: float = float('-inf')
    kind: str = ''


class Mitigation(msgspec.Struct, frozen=True):
    """What to do at one worker.

    Attributes:
        avoided_kinds: Kinds that it gets none of.
        evicted_kind: Kind of which to evict one task, or empty.
    """

    avoided_kinds: frozenset[str] = frozenset()
    evicted_kind: str = ''


class InterferenceState(msgspec.Struct):
    """What was learned, changed in place.

    Attributes:
        slowdowns: Learned slowdown by kind of task.
        levels: Reaction by worker.
        throttled: Kinds throttled by worker.
    """

    slowdowns: dict[str, float] = {}
    levels: dict[str, MitigationLevel] = {}
    throttled: dict[str, frozenset[str]] = {}


def compute_thresholds(configuration: Configuration) -> MitigationThresholds:
    """Create the limits of reaction from the weights in force.

    Args:
        configuration: The configuration in force.

    Returns:
        Limits: the higher tail latency is weighed, the lower they are.
    """
    latency = get_numeric_setting(
        configuration, 'scheduler.weight_tail_latency'
    )
    throughput = get_numeric_setting(
        configuration, 'scheduler.weight_throughput'
    )
    evictions = get_numeric_setting(configuration, 'scheduler.weight_evictions')
    batch = max(MIN_WEIGHT, (throughput + evictions) / 2)
    batch_ratio = batch / max(MIN_WEIGHT, latency)
    tolerated_slowdown = 1 + BASE_TOLERANCE * min(MAX_WEIGHT_RATIO, batch_ratio)
    eviction_ratio = max(MIN_WEIGHT, evictions) / max(MIN_WEIGHT, latency)
    eviction_slowdown = 1 + EVICTION_FACTOR * min(
        MAX_WEIGHT_RATIO, eviction_ratio
    )
    return MitigationThresholds(
        tolerated_slowdown, max(tolerated_slowdown, eviction_slowdown)
    )


def record_sample(state: InterferenceState, sample: WorkerSample) -> None:
    """Learn from a sample.

    Args:
        state: What was learned so far.
        sample: Slowdown and the kinds present.
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
    """Compute what to do at a worker.

    Args:
        state: What was learned.
        sample: The latest sample of the worker.
        thresholds: Limits of reaction.
        now_s: The time.

    Returns:
        The reaction; throttled kinds are kept in the table.
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
