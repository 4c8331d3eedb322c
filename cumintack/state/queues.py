"""Queues and the pools of workers that run their tasks, as one whole.

An operator replaces the whole configuration under a rising version. It is
kept beside the keyed configuration, because here the version is chosen by
the operator and the highest one wins whatever the order of arrival.
"""

import msgspec

PATH_SEPARATOR = '/'


class AdviserLatency(msgspec.Struct, frozen=True):
    """How long the outside adviser of a queue takes.

    Attributes:
        decide_ms: Time of one question.
        each_worker_ms: Time more for each worker named in it.
        valid_ms: How long a ticket is taken by the worker.
    """

    decide_ms: int = 0
    each_worker_ms: int = 0
    valid_ms: int = 0


class Queue(msgspec.Struct, frozen=True):
    """Where callers hand workflows in.

    Attributes:
        name: Name for people.
        host: Host that callers name.
        path_prefix: Start of the paths of the queue.
        pool: The pool whose workers run the tasks.
        priority: Rank; 0 comes first.
        attempts: Failures of one task that fail the workflow.
        stretch: Objective as a multiple of the longest chain of steps.
        slack_ms: Time added to the objective.
        timeout_ms: Longest time that a request may take.
        advice: Times of the adviser, None if every worker is allowed.
    """

    name: str
    host: str
    path_prefix: str
    pool: str
    priority: int = 0
    attempts: int = 1
    stretch: float = 1
    slack_ms: int = 0
    timeout_ms: int = 0
    advice: AdviserLatency | None = None


class Pool(msgspec.Struct, frozen=True):
    """A named set of workers.

    Attributes:
        name: Name that the workers announce.
        is_capacity_checked: Whether its workers refuse what does not fit.
        is_standby: Whether its machines are switched off.
    """

    name: str
    is_capacity_checked: bool = True
    is_standby: bool = False


class QueueConfiguration(msgspec.Struct, frozen=True):
    """All queues and pools under one version.

    Attributes:
        version: Chosen by the operator; the highest one is in force.
        queues: The queues.
        pools: The pools.
        max_body_bytes: Largest body of a request, 0 for no limit of its own.
        source: The bytes that the operator sent, given back unchanged.
    """

    version: int = 0
    queues: tuple[Queue, ...] = ()
    pools: tuple[Pool, ...] = ()
    max_body_bytes: int = 0
    source: bytes = b''


def find_queue(
    configuration: QueueConfiguration,
    host: str,
    path: str,
) -> Queue | None:
    """Find the queue of a request: the longest prefix of its host.

    Args:
        configuration: The configuration in force.
        host: Host that the caller named.
        path: Path of the request.

    Returns:
        The queue, or None.
    """
    found: Queue | None = None
    for queue in configuration.queues:
        if queue.host != host or not path.startswith(queue.path_prefix):
            continue
        if found is None or len(queue.path_prefix) > len(found.path_prefix):
            found = queue
    return found


def _check_version(configuration: QueueConfiguration) -> list[str]:
    return [] if configuration.version > 0 else ['the version is not over 0']


def _check_pools(configuration: QueueConfiguration) -> list[str]:
    known = {pool.name for pool in configuration.pools}
    return [
        f'queue {queue.name!r} names the unknown pool {queue.pool!r}'
        for queue in configuration.queues
        if queue.pool not in known
    ]


def _check_places(configuration: QueueConfiguration) -> list[str]:
    problems = []
    taken: dict[tuple[str, str], str] = {}
    for queue in configuration.queues:
        place = (queue.host, queue.path_prefix)
        other = taken.get(place)
        if other is not None:
            problems.append(
                f'queues {other!r} and {queue.name!r} share '
                f'{queue.host}{queue.path_prefix}',
            )
        taken[place] = queue.name
    return problems


def _check_timeouts(configuration: QueueConfiguration) -> list[str]:
    return [
        f'queue {queue.name!r} has the timeout {queue.timeout_ms} ms'
        for queue in configuration.queues
        if queue.timeout_ms <= 0
    ]


CHECKS = (_check_version, _check_pools, _check_places, _check_timeouts)


def validate_queue_configuration(
    configuration: QueueConfiguration,
) -> list[str]:
    """Check a configuration as a whole.

    Args:
        configuration: What an operator sent.

    Returns:
        One line for each problem; empty if it may be put in force.
    """
    return [problem for check in CHECKS for problem in check(configuration)]
