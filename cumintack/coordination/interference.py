"""How much batch tasks slow a service down, and what is done about it.

The slowdown of a service is its answer time beside its own best. It is
learned for each kind of task from samples in which that kind was present and
samples in which it was not. The reaction goes in steps, with a pause between
two of them, so that a wave of noise doesn't become a storm of evictions:
place none of the kind there, throttle it, evict one task.
"""

import msgspec

from cumintack.state.configuration import Configuration, get_numeric_setting

LEARN_WEIGHT = 0.1
MIN_STEP_INTERVAL_S = 2.0
CALM_BELOW = 1.1
TOLERANCE = 0.2
EVICTION_FACTOR = 2.0
MAX_LEVEL = 3
LEVEL_AVOID = 1
LEVEL_THROTTLE = 2
LEAST_WEIGHT = 0.01
MOST_BALANCE = 5.0
CALM_SHARE = 0.9


class WorkerSample(msgspec.Struct, frozen=True):
    """Slowdown of the service of a worker, with the kinds of its tasks."""

    worker: str
    slowdown: float
    kinds: tuple[str, ...]


class MitigationThresholds(msgspec.Struct, frozen=True):
    """What the users weigh.

    Attributes:
        tolerated: Slowdown from which the reaction starts.
        evicted_from: Slowdown from which tasks are evicted.
    """

    tolerated: float
    evicted_from: float


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
        avoided: Kinds that it gets none of.
        evicted_kind: Kind of which to evict one task, or empty.
    """

    avoided: frozenset[str] = frozenset()
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
    batch = max(LEAST_WEIGHT, (throughput + evictions) / 2)
    balance = batch / max(LEAST_WEIGHT, latency)
    tolerated = 1 + TOLERANCE * min(MOST_BALANCE, balance)
    eviction_balance = max(LEAST_WEIGHT, evictions) / max(LEAST_WEIGHT, latency)
    evicted_from = 1 + EVICTION_FACTOR * min(MOST_BALANCE, eviction_balance)
    return MitigationThresholds(tolerated, max(tolerated, evicted_from))


def record_sample(table: InterferenceState, sample: WorkerSample) -> None:
    """Learn from a sample.

    Args:
        table: What was learned so far.
        sample: Slowdown and the kinds present.
    """
    if sample.slowdown <= 0:
        return
    for kind in sample.kinds:
        before = table.slowdowns.get(kind, 1.0)
        change = sample.slowdown - before
        table.slowdowns[kind] = before + LEARN_WEIGHT * change


def compute_mitigation(
    table: InterferenceState,
    sample: WorkerSample,
    weights: MitigationThresholds,
    now_s: float,
) -> Mitigation:
    """Compute what to do at a worker.

    Args:
        table: What was learned.
        sample: The latest sample of the worker.
        weights: Limits of reaction.
        now_s: The time.

    Returns:
        The reaction; throttled kinds are kept in the table.
    """
    level = table.levels.setdefault(sample.worker, MitigationLevel())
    _change_step(level, sample, weights, now_s)
    if sample.kinds:
        level.kind = _find_worst(table, sample.kinds)
    if not level.kind or level.step < LEVEL_AVOID:
        table.throttled.pop(sample.worker, None)
        return Mitigation()
    kinds = frozenset((level.kind,))
    if level.step >= LEVEL_THROTTLE:
        table.throttled[sample.worker] = kinds
    else:
        table.throttled.pop(sample.worker, None)
    is_evicting = level.step == MAX_LEVEL and level.changed_at_s == now_s
    return Mitigation(kinds, level.kind if is_evicting else '')


def _change_step(
    level: MitigationLevel,
    sample: WorkerSample,
    weights: MitigationThresholds,
    now_s: float,
) -> None:
    if now_s - level.changed_at_s < MIN_STEP_INTERVAL_S:
        return
    if sample.slowdown > weights.tolerated and sample.kinds:
        highest = MAX_LEVEL
        if sample.slowdown < weights.evicted_from:
            highest = LEVEL_THROTTLE
        level.step = max(level.step, min(highest, level.step + 1))
        level.changed_at_s = now_s
    elif sample.slowdown < max(CALM_BELOW, weights.tolerated * CALM_SHARE):
        if level.step:
            level.step -= 1
            level.changed_at_s = now_s


def _find_worst(table: InterferenceState, kinds: tuple[str, ...]) -> str:
    if not kinds:
        return ''
    return max(kinds, key=lambda kind: table.slowdowns.get(kind, 1.0))
