"""How much a filling task slows the serving tasks beside it.

The slowdown differs by pair of images and is learned from what all workers
report: the tail latency of a serving task, as a share of its target, against
the processor time that filling tasks of each image use beside it. One least
squares fit for each serving image, with a decaying memory and without
negative weights, costs little and follows changes within seconds.
"""

import msgspec

# Weight that is assumed before anything is seen: share of a target for each
# core; ten cores of an unknown image take a fifth of the room.
PRIOR_WEIGHT = 0.02
# How much the assumption counts, in squared cores; about two sights of five
# cores.
PRIOR_STRENGTH = 50.0
# Share of its value that a sight loses with each later one of the image; half
# is forgotten after 350, which take 10 to 20 s.
DECAY = 0.998
# Passes over the weights at a fit, which starts from the last fit.
FIT_PASSES = 4
# Name of the constant term among the images.
CONSTANT = ''
MILLI = 1000


class ServingImage(msgspec.Struct):
    """Sums over the sights of one serving image.

    Attributes:
        products: Decayed sums of products of two amounts.
        targets: Decayed sums of an amount times the latency share.
        weights: The latest fit.
    """

    products: dict[tuple[str, str], float] = {}
    targets: dict[str, float] = {}
    weights: dict[str, float] = {}


class PressureModel(msgspec.Struct):
    """What was learned, by serving image."""

    images: dict[str, ServingImage] = {}


class Sight(msgspec.Struct, frozen=True):
    """What was seen of one serving task at one time.

    Attributes:
        image: Its image.
        share: Its tail latency as a share of its target.
        cores: Processor time of the filling tasks beside it, by image.
    """

    image: str
    share: float
    cores: dict[str, float]


def take_sight(model: PressureModel, sight: Sight) -> None:
    """Learn from a sight.

    Args:
        model: What was learned, changed in place.
        sight: What was seen.
    """
    serving = model.images.setdefault(sight.image, ServingImage())
    amounts = {CONSTANT: 1.0, **sight.cores}
    for known_pair in serving.products:
        serving.products[known_pair] *= DECAY
    for image in serving.targets:
        serving.targets[image] *= DECAY
    for left, amount in amounts.items():
        serving.targets[left] = (
            serving.targets.get(left, 0) + amount * sight.share
        )
        for right, other in amounts.items():
            pair = (left, right)
            known = serving.products.get(pair, 0)
            serving.products[pair] = known + amount * other


def fit(model: PressureModel) -> None:
    """Fit the weights to what was seen.

    Args:
        model: What was learned, changed in place.
    """
    for serving in model.images.values():
        for _ in range(FIT_PASSES):
            for image in serving.targets:
                serving.weights[image] = _fit_one(serving, image)


def _fit_one(serving: ServingImage, image: str) -> float:
    rest = serving.targets[image]
    for other, weight in serving.weights.items():
        if other != image:
            rest -= serving.products.get((image, other), 0) * weight
    strength = 0.0 if image == CONSTANT else PRIOR_STRENGTH
    rest += strength * PRIOR_WEIGHT
    square = serving.products[(image, image)] + strength
    return max(0, rest / square)


def get_weight(model: PressureModel, serving: str, filling: str) -> float:
    """Get how much of a target one core of an image takes.

    Args:
        model: What was learned.
        serving: The serving image.
        filling: The filling image.

    Returns:
        The share of the target for each core.
    """
    known = model.images.get(serving)
    if known is None:
        return PRIOR_WEIGHT
    return known.weights.get(filling, PRIOR_WEIGHT)
