"""Observations and weights of the image pairs colocated on a worker."""

from cumintack.coordination.runs.interference_model import (
    MILLI_PER_CORE,
    InterferenceModel,
    Observation,
    get_weight,
    is_learned,
)
from cumintack.coordination.runs.worker_views import PlacedRuns, WorkerView
from cumintack.protocol.run_messages import PairWeight

# Smaller weights are sent as 0: with this one, a hundred cores take a tenth of
# the margin of a latency-critical task without load.
MIN_WEIGHT = 0.005
WEIGHT_DIGITS = 3


def list_observations(
    placed_runs: PlacedRuns, view: WorkerView
) -> list[Observation]:
    """List the observations that the latest report of a worker yields.

    Args:
        placed_runs: The recorded runs on the worker.
        view: The worker as last reported.

    Returns:
        One observation for each latency-critical task that is running.
    """
    cores: dict[str, float] = {}
    measured_runs = []
    for placed in placed_runs.values():
        step = placed.step
        run = view.running.get(placed.key)
        if run is None:
            continue
        if step.is_best_effort:
            used = run.measurement / MILLI_PER_CORE
            cores[step.image] = cores.get(step.image, 0) + used
        elif step.target_ms and run.measurement:
            measured_runs.append(
                (placed.key, step.image, step.target_ms / run.measurement)
            )
    return [Observation(*measured_run, cores) for measured_run in measured_runs]


def list_learned_weights(
    placed_runs: PlacedRuns,
    interference: InterferenceModel,
) -> tuple[PairWeight, ...]:
    """List the learned weights of the image pairs on a worker.

    Args:
        placed_runs: The recorded runs on the worker.
        interference: The interference model.

    Returns:
        The weight of each pair of images placed there, if it is learned.
    """
    critical_images: dict[str, None] = {}
    best_effort_images: dict[str, None] = {}
    for placed in placed_runs.values():
        step = placed.step
        if step.is_best_effort:
            best_effort_images[step.image] = None
        elif step.target_ms:
            critical_images[step.image] = None
    return tuple(
        PairWeight(
            critical_image,
            best_effort_image,
            _round_weight(
                get_weight(interference, critical_image, best_effort_image)
            ),
        )
        for critical_image in critical_images
        for best_effort_image in best_effort_images
        if is_learned(interference, critical_image, best_effort_image)
    )


def _round_weight(weight: float) -> float:
    return 0 if weight < MIN_WEIGHT else round(weight, WEIGHT_DIGITS)
