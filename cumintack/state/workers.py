"""Workers: what each holds and what keeps work away from it.

Capacity is a replicated fact because a reservation is checked against it
inside the state machine and not only by the scheduler that proposed it.
"""

import msgspec

from cumintack.state.resources import (
    ZERO_RESOURCES,
    Resources,
    subtract_resources,
)


class WorkerSpec(msgspec.Struct, frozen=True):
    """What the platform says of a worker.

    Attributes:
        name: Name of the worker.
        data_centre: Data centre it stands in.
        rack: Rack it stands in.
        holds: All that it holds.
        service_reserve: Room kept for the latency-critical services on it.
    """

    name: str
    data_centre: str
    rack: str
    holds: Resources
    service_reserve: Resources = ZERO_RESOURCES


class Worker(msgspec.Struct, frozen=True):
    """A worker as the system knows it."""

    spec: WorkerSpec
    is_draining: bool = False
    is_quarantined: bool = False


def get_batch_capacity(worker: Worker) -> Resources:
    """Compute what a worker holds for batch tasks.

    Args:
        worker: The worker.

    Returns:
        What it holds less the room kept for services.
    """
    return subtract_resources(worker.spec.holds, worker.spec.service_reserve)


def is_schedulable(worker: Worker) -> bool:
    """Tell whether a worker takes new tasks.

    Args:
        worker: The worker.

    Returns:
        False while it is drained or quarantined.
    """
    return not (worker.is_draining or worker.is_quarantined)
