"""How much batch tasks slow a service down, and what is done about it.

The slowdown of a service is its answer time beside its own best. It is
learned for each kind of task from samples in which that kind was present and
samples in which it was not. The reaction goes in steps, with a pause between
two of them, so that a wave of noise doesn't become a storm of evictions:
place none of the kind there, throttle it, evict one task.
"""

import msgspec

from cumintack.state.configuration import Configuration, get_number

LEARN_WEIGHT = 0.1
STEP_PAUSE_S = 2.0
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


class Weights(msgspec.Struct, frozen=True):
    """What the users weigh.

    Attributes:
        tolerated: Slowdown from which the reaction starts.
        evicted_from: Slowdown from which tasks are evicted.
    """

    tolerated: float
    evicted_from: float


class Level(msgspec.Struct):
    """Reaction at one worker.

    Attributes:
        step: 0 for none, up to 3 for eviction.
        changed_at_s: When it last changed.
        kind: The kind that it is about, kept while no task of it is there.
    """

    step: int = 0
    changed_at_s: float = float('-inf')
    kind: str = ''


class Reaction(msgspec.Struct, frozen=True):
    """What to do at one worker.

    Attributes:
        avoided: Kinds that it gets none of.
        evicted_kind: Kind of which to evict one task, or empty.
    """

    avoided: frozenset[str] = frozenset()
    evicted_kind: str = ''


class InterferenceTable(msgspec.Struct):
    """What was learned, changed in place.

    Attributes:
        slowdowns: Learned slowdown by kind of task.
        levels: Reaction by worker.
        throttled: Kinds throttled by worker.
    """

    slowdowns: dict[str, float] = {}
    levels: dict[str, Level] = {}
    throttled: dict[str, frozenset[str]] = {}


def create_weights(configuration: Configuration) -> Weights:
    """Create the limits of reaction from the weights in force.

    Args:
        configuration: The configuration in force.

    Returns:
        Limits: the higher tail latency is weighed, the lower they are.
    """
    latency = get_number(configuration, 'scheduler.weight_tail_latency')
    throughput = get_number(configuration, 'scheduler.weight_throughput')
    evictions = get_number(configuration, 'scheduler.weight_evictions')
    batch = max(LEAST_WEIGHT, (throughput + evictions) / 2)
    balance = batch / max(LEAST_WEIGHT, latency)
    tolerated = 1 + TOLERANCE * min(MOST_BALANCE, balance)
    eviction_balance = max(LEAST_WEIGHT, evictions) / max(LEAST_WEIGHT, latency)
    evicted_from = 1 + EVICTION_FACTOR * min(MOST_BALANCE, eviction_balance)
    return Weights(tolerated, max(tolerated, evicted_from))


def take_sample(table: InterferenceTable, sample: WorkerSample) -> None:
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


def compute_reaction(
    table: InterferenceTable,
    sample: WorkerSample,
    weights: Weights,
    now_s: float,
) -> Reaction:
    """Compute what to do at a worker.

    Args:
        table: What was learned.
        sample: The latest sample of the worker.
        weights: Limits of reaction.
        now_s: The time.

    Returns:
        The reaction; throttled kinds are kept in the table.
    """
    level = table.levels.setdefault(sample.worker, Level())
    _change_step(level, sample, weights, now_s)
    if sample.kinds:
        level.kind = _find_worst(table, sample.kinds)
    if not level.kind or level.step < LEVEL_AVOID:
        table.throttled.pop(sample.worker, None)
        return Reaction()
    kinds = frozenset((level.kind,))
    if level.step >= LEVEL_THROTTLE:
        table.throttled[sample.worker] = kinds
    else:
        table.throttled.pop(sample.worker, None)
    is_evicting = level.step == MAX_LEVEL and level.changed_at_s == now_s
    return Reaction(kinds, level.kind if is_evicting else '')


def _change_step(
    level: Level,
    sample: WorkerSample,
    weights: Weights,
    now_s: float,
) -> None:
    if now_s - level.changed_at_s < STEP_PAUSE_S:
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


def _find_worst(table: InterferenceTable, kinds: tuple[str, ...]) -> str:
    if not kinds:
        return ''
    return max(kinds, key=lambda kind: table.slowdowns.get(kind, 1.0))
