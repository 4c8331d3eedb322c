"""Model of how much a best-effort task slows colocated latency-critical tasks.

The slowdown differs by pair of images and is learned from the reports of all
workers. A latency-critical task is modelled as a queue: its tail latency
grows without bound as its utilisation approaches one, and the utilisation
grows linearly with the interference. Its margin, the latency target divided
by the tail latency, falls linearly with the utilisation, so that a linear
model fits margins where it does not fit latencies. A margin of 1 means that
the task is at its target. The load also varies by itself, more slowly than
tasks start and end; the model therefore compares only deviations from the
running mean of the last second.

A best-effort image that interferes with one latency-critical image mostly
interferes with others too. The observations of all latency-critical images
together therefore give the prior of each pair, which counts until there are
enough observations of the pair itself.
"""

import math

import msgspec

from cumintack.protocol.run_messages import RunKey

# Weight of an image before any observation of it, in margin per core: about the
# mean of the weights observed. A task of ten cores takes two fifths of the way
# from no load to the target.
PRIOR_WEIGHT = 0.06
# Regularisation in squared cores, which pulls a weight to its prior while there
# are few observations: the variance of a margin over 0.4 s (0.06) divided by
# the variance of the weights (0.005).
PRIOR_STRENGTH = 12.0
# Standard deviation of the margin of a task in an interval of 0.4 s.
MARGIN_NOISE = 0.25
# Standard errors subtracted from the weight of a pair, so that noise does not
# count as interference.
NOISE_ALLOWANCE = 0.5
# Sum of squared cores observed beside a latency-critical image from which a
# pair counts as learned: one start of six cores. The standard error is then
# 0.05 per core.
LEARNED_STRENGTH = 30.0
# Seconds in which the weight of an observation halves. It does not depend on
# the number of observations, of which a large fleet makes a thousand a second.
HALF_LIFE_S = 60.0
# Iterations of coordinate descent in a fit, which starts from the last fit.
FIT_PASSES = 4
# Time constant of the running means, in seconds: much shorter than the 14 s
# within which the load varies by itself, which the means must follow.
MEAN_TIME_CONSTANT_S = 0.7
# Seconds without an observation after which the means of a run are removed.
MEANS_TIMEOUT_S = 5.0
MILLI_PER_CORE = 1000
HALF = 0.5


class ImageStatistics(msgspec.Struct):
    """Sums over the observations of one latency-critical image.

    Attributes:
        product_sums: Decayed sums of the products of the deviations of two
            best-effort images, in squared cores.
        loss_sums: Decayed sums of the deviation of a best-effort image times
            the loss of margin.
        weights: Latest fitted weight by best-effort image, in margin per core.
    """

    product_sums: dict[tuple[str, str], float] = {}
    loss_sums: dict[str, float] = {}
    weights: dict[str, float] = {}


class RunMeans(msgspec.Struct):
    """Running means of one latency-critical run.

    Attributes:
        at_s: When the run was last observed.
        margin: Mean of its margin.
        cores: Mean CPU use beside it, by best-effort image.
        latest_cores: CPU use beside it in the latest observation.
    """

    at_s: float
    margin: float
    cores: dict[str, float]
    latest_cores: dict[str, float]


class InterferenceModel(msgspec.Struct):
    """Statistics of images, and means by run.

    Attributes:
        images: Statistics by latency-critical image.
        means_by_run: Means by latency-critical run.
        pooled: Statistics over all latency-critical images together.
        fitted_at_s: When the weights were last fitted, None before that.
    """

    images: dict[str, ImageStatistics] = {}
    means_by_run: dict[RunKey, RunMeans] = {}
    pooled: ImageStatistics = msgspec.field(default_factory=ImageStatistics)
    fitted_at_s: float | None = None


class Observation(msgspec.Struct, frozen=True):
    """Margin of a latency-critical run, and the load beside it, at one time.

    Attributes:
        key: The run.
        image: Its image.
        margin: Its latency target divided by its tail latency.
        cores: CPU use of the best-effort tasks beside it, by image.
    """

    key: RunKey
    image: str
    margin: float
    cores: dict[str, float]


def record_observation(
    model: InterferenceModel, observation: Observation, now_s: float
) -> None:
    """Add an observation to the model.

    Args:
        model: The interference model, changed in place.
        observation: The observation.
        now_s: Current time of the monotonic clock, in seconds.
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
    # A tail latency reacts to the load beside it with a lag of half an
    # observation interval.
    cores = _add_scaled(observation.cores, means.latest_cores, HALF, HALF)
    means.latest_cores = observation.cores
    deviations = _add_scaled(cores, means.cores, 1, -1)
    smoothing = 1 - math.exp((means.at_s - now_s) / MEAN_TIME_CONSTANT_S)
    means.at_s = now_s
    means.margin -= smoothing * margin_loss
    means.cores = _add_scaled(means.cores, deviations, 1, smoothing)
    statistics = model.images.setdefault(observation.image, ImageStatistics())
    _accumulate(statistics, deviations, margin_loss)
    _accumulate(model.pooled, deviations, margin_loss)


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
    """Remove the means of runs that are not observed any more.

    Args:
        model: The interference model, changed in place.
        now_s: Current time of the monotonic clock, in seconds.
    """
    for key, means in list(model.means_by_run.items()):
        if now_s - means.at_s > MEANS_TIMEOUT_S:
            model.means_by_run.pop(key)


def fit_weights(model: InterferenceModel, now_s: float) -> None:
    """Fit the weights to the observations, of which later ones count more.

    Args:
        model: The interference model, changed in place.
        now_s: Current time of the monotonic clock, in seconds.
    """
    elapsed_s = 0 if model.fitted_at_s is None else now_s - model.fitted_at_s
    model.fitted_at_s = now_s
    decay = HALF ** (elapsed_s / HALF_LIFE_S)
    for decayed in (model.pooled, *model.images.values()):
        _scale_sums(decayed, decay)
    _fit_image_weights(model.pooled, {}, 0)
    noise = NOISE_ALLOWANCE * MARGIN_NOISE
    for statistics in model.images.values():
        _fit_image_weights(statistics, model.pooled.weights, noise)


def _scale_sums(statistics: ImageStatistics, factor: float) -> None:
    for summed_pair in statistics.product_sums:
        statistics.product_sums[summed_pair] *= factor
    for image in statistics.loss_sums:
        statistics.loss_sums[image] *= factor


def _fit_image_weights(
    statistics: ImageStatistics, priors: dict[str, float], noise: float
) -> None:
    for _ in range(FIT_PASSES):
        for image in statistics.loss_sums:
            product_sum = statistics.product_sums[(image, image)]
            prior_loss = PRIOR_STRENGTH * priors.get(image, PRIOR_WEIGHT)
            loss = _compute_unexplained_loss(statistics, image) - (
                noise * math.sqrt(product_sum)
            )
            statistics.weights[image] = max(0, loss + prior_loss) / (
                product_sum + PRIOR_STRENGTH
            )


def _compute_unexplained_loss(statistics: ImageStatistics, image: str) -> float:
    """Return the loss that the weights of the other images do not explain."""
    unexplained_loss = statistics.loss_sums[image]
    for other_image, weight in statistics.weights.items():
        if other_image != image:
            product_sum = statistics.product_sums.get((image, other_image), 0)
            unexplained_loss -= product_sum * weight
    return unexplained_loss


def get_weight(
    model: InterferenceModel, critical_image: str, best_effort_image: str
) -> float:
    """Get how much margin one core of a best-effort image takes.

    Args:
        model: The interference model.
        critical_image: The latency-critical image.
        best_effort_image: The best-effort image.

    Returns:
        The margin per core.
    """
    prior_weight = model.pooled.weights.get(best_effort_image, PRIOR_WEIGHT)
    statistics = model.images.get(critical_image)
    if statistics is None:
        return prior_weight
    return statistics.weights.get(best_effort_image, prior_weight)


def is_learned(
    model: InterferenceModel, critical_image: str, best_effort_image: str
) -> bool:
    """Tell whether there are enough observations of a pair for its weight.

    Args:
        model: The interference model.
        critical_image: The latency-critical image.
        best_effort_image: The best-effort image.

    Returns:
        False while the weight is mostly the prior.
    """
    statistics = model.images.get(critical_image)
    if statistics is None:
        return False
    return (
        statistics.product_sums.get((best_effort_image, best_effort_image), 0)
        >= LEARNED_STRENGTH
    )
