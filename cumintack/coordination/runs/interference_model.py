"""How much a filling task slows the serving tasks beside it.

The slowdown differs by pair of images and is learned from what all workers
report. A serving task is a queue: its tail latency grows beyond bounds as its
load comes near one, and the load grows evenly with what disturbs it. Its
margin, which is the target over the tail latency, falls evenly with its load,
so that margins can be fitted by a straight line where latencies can't. The
load also swings by itself, slower than tasks come and go; only what departs
from the mean of the last second is therefore compared.
"""

import math

import msgspec

from cumintack.protocol.run_messages import RunKey

# Weight that is assumed before anything is seen, in margin for each core: a
# task of ten cores takes a fifth of the way from no load to the target.
PRIOR_WEIGHT = 0.03
# Squared cores by which a fit is pulled to zero while little was seen: the
# variance of a margin over 0.4 s (0.06) by that of the weights (0.005).
PRIOR_STRENGTH = 12.0
# Standard deviation of a margin over 0.4 s, from the swings of quiet days.
NOISE_MARGIN = 0.25
# Squared cores seen beside a serving image from which a pair counts as
# learned: one start of six cores. The error is then 0.05 for each core.
LEARNED_STRENGTH = 30.0
# Share of its value that a sight loses with each later one of the image; half
# is forgotten after 1,400, about a minute.
DECAY = 0.9995
# Passes over the weights at a fit, which starts from the last fit.
FIT_PASSES = 4
# Seconds over which a mean forgets. Weights fitted to two plays of one day
# agree best with it: correlation 0.77 to 0.84, with 3 s 0.3 to 0.6.
MEAN_S = 0.7
# Seconds after which the mean of a run that was not seen is dropped.
FORGET_S = 5.0
MILLI_PER_CORE = 1000
HALF = 0.5


class ServingImage(msgspec.Struct):
    """Sums over the sights of one serving image.

    Attributes:
        products: Decayed sums of products of two amounts of cores.
        losses: Decayed sums of an amount of cores times the loss of margin.
        weights: The latest fit, in margin for each core.
    """

    products: dict[tuple[str, str], float] = {}
    losses: dict[str, float] = {}
    weights: dict[str, float] = {}


class Mean(msgspec.Struct):
    """Running means of one serving run.

    Attributes:
        at_s: When it was last seen.
        margin: Mean of its margin.
        cores: Mean processor time beside it, by filling image.
        latest: Processor time beside it when it was last seen.
    """

    at_s: float
    margin: float
    cores: dict[str, float]
    latest: dict[str, float]


class InterferenceModel(msgspec.Struct):
    """What was learned, by serving image, and means by serving run."""

    images: dict[str, ServingImage] = {}
    means: dict[RunKey, Mean] = {}


class Observation(msgspec.Struct, frozen=True):
    """What was seen of one serving run at one time.

    Attributes:
        key: The run.
        image: Its image.
        margin: Its target over its tail latency.
        cores: Processor time of the filling tasks beside it, by image.
    """

    key: RunKey
    image: str
    margin: float
    cores: dict[str, float]


def record_observation(
    model: InterferenceModel, observation: Observation, now_s: float
) -> None:
    """Learn from a sight.

    Args:
        model: What was learned, changed in place.
        observation: What was seen.
        now_s: The time.
    """
    mean = model.means.get(observation.key)
    if mean is None:
        model.means[observation.key] = Mean(
            now_s,
            observation.margin,
            observation.cores,
            observation.cores,
        )
        return
    loss = mean.margin - observation.margin
    # A tail latency follows what happens beside it half a sight later.
    cores = _combine(observation.cores, mean.latest, HALF, HALF)
    mean.latest = observation.cores
    amounts = _combine(cores, mean.cores, 1, -1)
    gain = 1 - math.exp((mean.at_s - now_s) / MEAN_S)
    mean.at_s = now_s
    mean.margin -= gain * loss
    mean.cores = _combine(mean.cores, amounts, 1, gain)
    latency_critical = model.images.setdefault(
        observation.image, ServingImage()
    )
    _add(latency_critical, amounts, loss)


def _combine(
    left: dict[str, float],
    right: dict[str, float],
    left_factor: float,
    right_factor: float,
) -> dict[str, float]:
    combined = {image: left_factor * cores for image, cores in left.items()}
    for image, cores in right.items():
        combined[image] = combined.get(image, 0) + right_factor * cores
    return combined


def _add(
    latency_critical: ServingImage,
    amounts: dict[str, float],
    loss: float,
) -> None:
    for known_pair in latency_critical.products:
        latency_critical.products[known_pair] *= DECAY
    for image in latency_critical.losses:
        latency_critical.losses[image] *= DECAY
    for left, amount in amounts.items():
        latency_critical.losses[left] = (
            latency_critical.losses.get(left, 0) + amount * loss
        )
        for right, other in amounts.items():
            pair = (left, right)
            known = latency_critical.products.get(pair, 0)
            latency_critical.products[pair] = known + amount * other


def prune_means(model: InterferenceModel, now_s: float) -> None:
    """Drop the means of runs that are gone.

    Args:
        model: What was learned, changed in place.
        now_s: The time.
    """
    for key, mean in list(model.means.items()):
        if now_s - mean.at_s > FORGET_S:
            model.means.pop(key)


def fit_weights(model: InterferenceModel) -> None:
    """Fit the weights to what was seen.

    Args:
        model: What was learned, changed in place.
    """
    for latency_critical in model.images.values():
        for _ in range(FIT_PASSES):
            for image in latency_critical.losses:
                latency_critical.weights[image] = _fit_one(
                    latency_critical, image
                )


def _fit_one(latency_critical: ServingImage, image: str) -> float:
    rest = latency_critical.losses[image]
    for other, weight in latency_critical.weights.items():
        if other != image:
            rest -= latency_critical.products.get((image, other), 0) * weight
    square = latency_critical.products[(image, image)] + PRIOR_STRENGTH
    # One standard error is taken off, so that noise is not taken for pressure.
    return max(0, rest - NOISE_MARGIN * math.sqrt(square)) / square


def get_weight(
    model: InterferenceModel, latency_critical: str, best_effort: str
) -> float:
    """Get how much margin one core of an image takes.

    Args:
        model: What was learned.
        latency_critical: The serving image.
        best_effort: The filling image.

    Returns:
        The margin for each core.
    """
    known = model.images.get(latency_critical)
    if known is None:
        return PRIOR_WEIGHT
    return known.weights.get(best_effort, PRIOR_WEIGHT)


def is_learned(
    model: InterferenceModel, latency_critical: str, best_effort: str
) -> bool:
    """Tell whether enough was seen of a pair to rely on its weight.

    Args:
        model: What was learned.
        latency_critical: The serving image.
        best_effort: The filling image.

    Returns:
        False while the weight is mostly an assumption.
    """
    known = model.images.get(latency_critical)
    if known is None:
        return False
    return known.products.get((best_effort, best_effort), 0) >= LEARNED_STRENGTH
