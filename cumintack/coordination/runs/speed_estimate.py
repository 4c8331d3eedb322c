"""Estimated speed of a best-effort task on a worker.

A best-effort task starts at full speed, and its first pace takes effect only a
tenth of a second later. In this time a task that interferes too strongly
overloads the latency-critical tasks beside it, whose queues then take one or
two seconds to drain. Such a task therefore fits only where its interference at
full speed fits. The margins of latency-critical tasks also swing by themselves
within seconds, while a best-effort task runs.
"""

from cumintack.coordination.runs.interference_model import (
    MILLI_PER_CORE,
    InterferenceModel,
    get_weight,
    is_learned,
)
from cumintack.coordination.runs.pacing import MIN_INTERFERENCE
from cumintack.coordination.runs.worker_views import (
    WorkerUsage,
    WorkerView,
    compute_unused_millicores,
)
from cumintack.state.workflows import StepSpec

# Margin that a task may take from a latency-critical one and still count as
# insensitive: the latter's own load takes several times as much within seconds.
MAX_SLIGHT_INTERFERENCE = 0.2
# Margin that must be left to a latency-critical task when a best-effort task
# that interferes with it starts at full speed: above the margin that pacing
# aims at, by what its own load takes during a run of some seconds.
PLACEMENT_MARGIN = 1.7


def estimate_speed(
    interference: InterferenceModel,
    view: WorkerView,
    usage: WorkerUsage,
    step: StepSpec,
) -> float:
    """Estimate the share of its full speed that a best-effort task would get.

    Args:
        interference: The interference model of pairs of images.
        view: The worker as last reported.
        usage: The usage of the worker.
        step: The specification of the step.

    Returns:
        1 at full speed, 0 or less if it should not run there.
    """
    cores = step.need.cores_milli / MILLI_PER_CORE
    for image, margin in usage.latency_margins:
        disturbance = get_weight(interference, image, step.image) * cores
        if disturbance < MIN_INTERFERENCE:
            continue
        available = margin - PLACEMENT_MARGIN
        for other_image, other_cores in usage.unmeasured_cores.items():
            weight = get_weight(interference, image, other_image)
            available -= weight * other_cores
        if available < disturbance:
            return 0
    unused = compute_unused_millicores(view, usage) / MILLI_PER_CORE
    return min(1, unused / cores) if cores else 1


def is_insensitive(
    interference: InterferenceModel, usage: WorkerUsage, step: StepSpec
) -> bool:
    """Tell whether the latency-critical tasks of a worker bear a task.

    Args:
        interference: The interference model of pairs of images.
        usage: The usage of the worker.
        step: The specification of the step of the task.

    Returns:
        Whether the learned interference with each of them is slight, so that
        the task is not slowed when their load rises; true also if there are
        none.
    """
    cores = step.need.cores_milli / MILLI_PER_CORE
    return all(
        is_learned(interference, image, step.image)
        and get_weight(interference, image, step.image) * cores
        <= MAX_SLIGHT_INTERFERENCE
        for image, _margin in usage.latency_margins
    )
