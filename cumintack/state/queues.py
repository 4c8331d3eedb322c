"""Configuration of queues and of the worker pools that run their tasks.

An operator replaces this configuration as a whole, with a higher version. It
is separate from the keyed configuration because the operator chooses the
version, and the highest version wins regardless of the order of arrival.
"""

import msgspec

PATH_SEPARATOR = '/'


class AdviserLatency(msgspec.Struct, frozen=True):
    """Expected latency of the external adviser of a queue.

    Attributes:
        decide_ms: Base latency of one request.
        each_worker_ms: Additional latency for each worker in the request.
        valid_ms: How long a worker accepts an admission ticket.
    """

    decide_ms: int = 0
    each_worker_ms: int = 0
    valid_ms: int = 0


class Queue(msgspec.Struct, frozen=True):
    """A queue to which callers submit workflows.

    Attributes:
        name: Display name.
        host: Host name in the requests of callers.
        path_prefix: Prefix of the paths that belong to the queue.
        pool: The pool whose workers run the tasks.
        priority: Priority; 0 is the highest.
        attempts: Failures of a single task after which the workflow fails.
        stretch: Completion-time objective as a multiple of the critical path
            of the steps.
        slack_ms: Time added to the objective.
        timeout_ms: Maximum time for a request.
        advice: Latency of the adviser, None if every worker is allowed.
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
        name: Pool name announced by the workers.
        is_capacity_checked: Whether its workers refuse tasks that exceed
            their capacity.
        is_standby: Whether its machines are switched off.
        health_path: Path at which its workers answer health probes, empty if
            they are not probed.
    """

    name: str
    is_capacity_checked: bool = True
    is_standby: bool = False
    health_path: str = ''


class QueueConfiguration(msgspec.Struct, frozen=True):
    """All queues and pools of one version.

    Attributes:
        version: Chosen by the operator; the highest one is in force.
        queues: The queues.
        pools: The pools.
        max_body_bytes: Maximum size of a request body, 0 if this
            configuration sets none.
        source: The bytes sent by the operator, returned unchanged on reads.
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
    """Find the queue of a request by the longest matching path prefix.

    Args:
        configuration: The configuration in force.
        host: Host name in the request.
        path: Path of the request.

    Returns:
        The queue, or None if none matches.
    """
    longest: Queue | None = None
    for queue in configuration.queues:
        if queue.host != host or not path.startswith(queue.path_prefix):
            continue
        if longest is None or len(queue.path_prefix) > len(longest.path_prefix):
            longest = queue
    return longest


def get_health_path(configuration: QueueConfiguration, pool: str) -> str:
    """Get the path at which the workers of a pool answer health probes.

    Args:
        configuration: The configuration in force.
        pool: Name of the pool.

    Returns:
        The path, empty if they are not probed.
    """
    for configured in configuration.pools:
        if configured.name == pool:
            return configured.health_path
    return ''


def _check_version(configuration: QueueConfiguration) -> list[str]:
    return [] if configuration.version > 0 else ['version must be positive']


def _check_pools(configuration: QueueConfiguration) -> list[str]:
    pool_names = {pool.name for pool in configuration.pools}
    return [
        f'queue {queue.name!r} refers to the unknown pool {queue.pool!r}'
        for queue in configuration.queues
        if queue.pool not in pool_names
    ]


def _check_unique_paths(configuration: QueueConfiguration) -> list[str]:
    problems = []
    names_by_key: dict[tuple[str, str], str] = {}
    for queue in configuration.queues:
        queue_key = (queue.host, queue.path_prefix)
        other = names_by_key.get(queue_key)
        if other is not None:
            problems.append(
                f'queues {other!r} and {queue.name!r} share '
                f'{queue.host}{queue.path_prefix}',
            )
        names_by_key[queue_key] = queue.name
    return problems


def _check_timeouts(configuration: QueueConfiguration) -> list[str]:
    return [
        f'queue {queue.name!r}: timeout {queue.timeout_ms} ms is not positive'
        for queue in configuration.queues
        if queue.timeout_ms <= 0
    ]


CONFIGURATION_CHECKS = (
    _check_version,
    _check_pools,
    _check_unique_paths,
    _check_timeouts,
)


def validate_queue_configuration(
    configuration: QueueConfiguration,
) -> list[str]:
    """Validate a configuration.

    Args:
        configuration: The configuration sent by an operator.

    Returns:
        One text for each problem; empty if the configuration is valid.
    """
    return [
        problem
        for check in CONFIGURATION_CHECKS
        for problem in check(configuration)
    ]
