"""Workers: their capacity and whether they accept tasks.

Capacity is replicated because the state machine itself checks reservations
against it, in addition to the scheduler that proposes them.
"""

import msgspec

from cumintack.state.resources import (
    ZERO_RESOURCES,
    Resources,
    subtract_resources,
)


class WorkerSpec(msgspec.Struct, frozen=True):
    """Description of a worker, as provided by the platform.

    Attributes:
        name: Name of the worker.
        data_centre: Data centre of the worker.
        rack: Rack of the worker.
        holds: Total capacity.
        service_reserve: Capacity reserved for latency-critical services.
    """

    name: str
    data_centre: str
    rack: str
    holds: Resources
    service_reserve: Resources = ZERO_RESOURCES


class Worker(msgspec.Struct, frozen=True):
    """A registered worker and its scheduling state."""

    spec: WorkerSpec
    is_draining: bool = False
    is_quarantined: bool = False


def get_batch_capacity(worker: Worker) -> Resources:
    """Compute the capacity of a worker for batch tasks.

    Args:
        worker: The worker.

    Returns:
        Its total capacity less what is reserved for services.
    """
    return subtract_resources(worker.spec.holds, worker.spec.service_reserve)


def is_schedulable(worker: Worker) -> bool:
    """Check whether a worker accepts new tasks.

    Args:
        worker: The worker.

    Returns:
        False while it is drained or quarantined.
    """
    return not (worker.is_draining or worker.is_quarantined)
