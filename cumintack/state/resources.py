"""Amounts of processors, memory and accelerators.

The same record describes the capacity of a worker, the request of a task and
the quota of a team, so that one comparison covers all three.
"""

import msgspec


class Resources(msgspec.Struct, frozen=True, order=True):
    """An amount of each resource that a worker can run out of."""

    cores_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0


ZERO_RESOURCES = Resources()


def add_resources(left: Resources, right: Resources) -> Resources:
    """Add two amounts.

    Args:
        left: One amount.
        right: The other amount.

    Returns:
        The sum in each dimension.
    """
    return Resources(
        left.cores_milli + right.cores_milli,
        left.memory_mb + right.memory_mb,
        left.accelerators + right.accelerators,
    )


def subtract_resources(left: Resources, right: Resources) -> Resources:
    """Subtract one amount from another.

    Args:
        left: The amount to subtract from.
        right: The amount to subtract.

    Returns:
        The difference, which may be negative in a dimension.
    """
    return Resources(
        left.cores_milli - right.cores_milli,
        left.memory_mb - right.memory_mb,
        left.accelerators - right.accelerators,
    )


def fits_within(amount: Resources, limit: Resources) -> bool:
    """Check whether an amount fits within a limit in every dimension.

    Args:
        amount: The requested amount.
        limit: The available amount.

    Returns:
        True if no dimension is exceeded.
    """
    return (
        amount.cores_milli <= limit.cores_milli
        and amount.memory_mb <= limit.memory_mb
        and amount.accelerators <= limit.accelerators
    )


def describe_shortfalls(amount: Resources, limit: Resources) -> list[str]:
    """Describe the dimensions in which an amount exceeds a limit.

    Args:
        amount: The requested amount.
        limit: The available amount.

    Returns:
        One text for each dimension that exceeds the limit.
    """
    shortfalls = []
    if amount.cores_milli > limit.cores_milli:
        shortfalls.append(
            f'cores_milli {amount.cores_milli} > {limit.cores_milli}',
        )
    if amount.memory_mb > limit.memory_mb:
        shortfalls.append(f'memory_mb {amount.memory_mb} > {limit.memory_mb}')
    if amount.accelerators > limit.accelerators:
        shortfalls.append(
            f'accelerators {amount.accelerators} > {limit.accelerators}',
        )
    return shortfalls
