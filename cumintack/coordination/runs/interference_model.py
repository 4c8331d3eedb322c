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
MARGIN_NOISE = 0.25
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
MEAN_TIME_CONSTANT_S = 0.7
# Seconds after which the mean of a run that was not seen is dropped.
MEANS_TIMEOUT_S = 5.0
MILLI_PER_CORE = 1000
HALF = 0.5


class ImageStatistics(msgspec.Struct):
    """Sums over the sights of one serving image.

    Attributes:
        product_sums: Decayed sums of products of two amounts of cores.
        loss_sums: Decayed sums of an amount of cores times the loss of margin.
        weights: The latest fit, in margin for each core.
    """

    product_sums: dict[tuple[str, str], float] = {}
    loss_sums: dict[str, float] = {}
    weights: dict[str, float] = {}


class RunMeans(msgspec.Struct):
    """Running means of one serving run.

    Attributes:
        at_s: When it was last seen.
        margin: Mean of its margin.
        cores: Mean processor time beside it, by filling image.
        latest_cores: Processor time beside it when it was last seen.
    """

    at_s: float
    margin: float
    cores: dict[str, float]
    latest_cores: dict[str, float]


class InterferenceModel(msgspec.Struct):
    """What was learned, by serving image, and means by serving run."""

    images: dict[str, ImageStatistics] = {}
    means_by_run: dict[RunKey, RunMeans] = {}


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
    means = model.means_by_run.get(observation.key)
    if means is None:
        model.means_by_run[observation.key] = RunMeans(
            now_s,
            observation.margin,
            observation.cores,
            observation.cores,
        )
        return
    margin_loss = means.margin - observation.margin
    # A tail latency follows what happens beside it half a sight later.
    cores = _add_scaled(observation.cores, means.latest_cores, HALF, HALF)
    means.latest_cores = observation.cores
    deviations = _add_scaled(cores, means.cores, 1, -1)
    smoothing = 1 - math.exp((means.at_s - now_s) / MEAN_TIME_CONSTANT_S)
    means.at_s = now_s
    means.margin -= smoothing * margin_loss
    means.cores = _add_scaled(means.cores, deviations, 1, smoothing)
    statistics = model.images.setdefault(observation.image, ImageStatistics())
    _accumulate(statistics, deviations, margin_loss)


def _add_scaled(
    left: dict[str, float],
    right: dict[str, float],
    left_factor: float,
    right_factor: float,
) -> dict[str, float]:
    combined = {image: left_factor * cores for image, cores in left.items()}
    for image, cores in right.items():
        combined[image] = combined.get(image, 0) + right_factor * cores
    return combined


def _accumulate(
    statistics: ImageStatistics,
    deviations: dict[str, float],
    margin_loss: float,
) -> None:
    for summed_pair in statistics.product_sums:
        statistics.product_sums[summed_pair] *= DECAY
    for image in statistics.loss_sums:
        statistics.loss_sums[image] *= DECAY
    for left, deviation in deviations.items():
        statistics.loss_sums[left] = (
            statistics.loss_sums.get(left, 0) + deviation * margin_loss
        )
        for right, other_deviation in deviations.items():
            pair = (left, right)
            product_sum = statistics.product_sums.get(pair, 0)
            statistics.product_sums[pair] = (
                product_sum + deviation * other_deviation
            )


def prune_means(model: InterferenceModel, now_s: float) -> None:
    """Drop the means of runs that are gone.

    Args:
        model: What was learned, changed in place.
        now_s: The time.
    """
    for key, means in list(model.means_by_run.items()):
        if now_s - means.at_s > MEANS_TIMEOUT_S:
            model.means_by_run.pop(key)


def fit_weights(model: InterferenceModel) -> None:
    """Fit the weights to what was seen.

    Args:
        model: What was learned, changed in place.
    """
    for statistics in model.images.values():
        for _ in range(FIT_PASSES):
            for image in statistics.loss_sums:
                statistics.weights[image] = _fit_weight(statistics, image)


def _fit_weight(statistics: ImageStatistics, image: str) -> float:
    unexplained_loss = statistics.loss_sums[image]
    for other_image, weight in statistics.weights.items():
        if other_image != image:
            unexplained_loss -= (
                statistics.product_sums.get((image, other_image), 0) * weight
            )
    regularised_sum = statistics.product_sums[(image, image)] + PRIOR_STRENGTH
    # One standard error is taken off, so that noise is not taken for pressure.
    return (
        max(0, unexplained_loss - MARGIN_NOISE * math.sqrt(regularised_sum))
        / regularised_sum
    )


def get_weight(
    model: InterferenceModel, critical_image: str, best_effort_image: str
) -> float:
    """Get how much margin one core of an image takes.

    Args:
        model: What was learned.
        critical_image: The serving image.
        best_effort_image: The filling image.

    Returns:
        The margin for each core.
    """
    statistics = model.images.get(critical_image)
    if statistics is None:
        return PRIOR_WEIGHT
    return statistics.weights.get(best_effort_image, PRIOR_WEIGHT)


def is_learned(
    model: InterferenceModel, critical_image: str, best_effort_image: str
) -> bool:
    """Tell whether enough was seen of a pair to rely on its weight.

    Args:
        model: What was learned.
        critical_image: The serving image.
        best_effort_image: The filling image.

    Returns:
        False while the weight is mostly an assumption.
    """
    statistics = model.images.get(critical_image)
    if statistics is None:
        return False
    return (
        statistics.product_sums.get((best_effort_image, best_effort_image), 0)
        >= LEARNED_STRENGTH
    )
