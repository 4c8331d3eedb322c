"""Leases of attempts, as the leader of the control group keeps them.

Renewals are not logged. A lease that the leader grants counts from the
clock of the guard in its heartbeat, which is before the leader hears it, so
the guard always gives up first. A new leader knows nothing of the renewals
of the former one, which may have gone on until it noticed the loss of its
quorum; it therefore waits out a full lease and that time as well.
"""

import heapq

import msgspec

from cumintack.state.jobs import OCCUPYING_STATUSES
from cumintack.state.tables import ControlTables


class LeaseSettings(msgspec.Struct, frozen=True):
    """Lengths of leases.

    Attributes:
        lease_s: Length of a lease by the clock of the guard.
        drift: Largest relative difference between the speeds of two clocks.
        previous_leader_s: Longest time that a former leader still renews.
    """

    lease_s: float = 10.0
    drift: float = 0.01
    previous_leader_s: float = 1.0


class LeaseKey(msgspec.Struct, frozen=True, order=True):
    """An attempt of a task."""

    task_id: str
    attempt: int


class LeaseCheck(msgspec.Struct, frozen=True, order=True):
    """When to look whether a lease has lapsed."""

    at_s: float
    key: LeaseKey


class LeaseTable(msgspec.Struct):
    """Leases of the attempts that occupy workers, changed in place.

    Attributes:
        settings: Lengths.
        expiry_by_key: When each lease has surely lapsed, by the leader's clock.
        checks: When to look, as a heap; a lease may have been renewed since.
        expiring: Attempts whose lapse was proposed; never renewed again.
    """

    settings: LeaseSettings
    expiry_by_key: dict[LeaseKey, float] = {}
    checks: list[LeaseCheck] = []
    expiring: set[LeaseKey] = set()


def compute_max_lease_s(settings: LeaseSettings) -> float:
    """Compute after which time a lease has surely lapsed.

    Args:
        settings: Lengths.

    Returns:
        Seconds by the clock of the leader.
    """
    return settings.lease_s * (1 + settings.drift) / (1 - settings.drift)


def restore_leases(
    leases: LeaseTable, tables: ControlTables, now_s: float
) -> None:
    """Wait out every lease that a former leader may have granted.

    Args:
        leases: The leases.
        tables: The replicated state.
        now_s: The time.
    """
    leases.expiry_by_key = {}
    leases.checks = []
    leases.expiring = set()
    extra_s = leases.settings.previous_leader_s
    at_s = now_s + compute_max_lease_s(leases.settings) + extra_s
    for task in tables.tasks.values():
        if task.status in OCCUPYING_STATUSES:
            _set_expiry(leases, LeaseKey(task.task_id, task.attempt), at_s)


def _set_expiry(leases: LeaseTable, key: LeaseKey, at_s: float) -> None:
    is_new = key not in leases.expiry_by_key
    leases.expiry_by_key[key] = max(at_s, leases.expiry_by_key.get(key, at_s))
    if is_new:
        heapq.heappush(leases.checks, LeaseCheck(at_s, key))


def grant_lease(leases: LeaseTable, key: LeaseKey, now_s: float) -> bool:
    """Grant or renew a lease.

    Args:
        leases: The leases.
        key: The attempt.
        now_s: When the heartbeat of the guard arrived.

    Returns:
        False if the lapse of the lease is already being recorded.
    """
    if key in leases.expiring:
        return False
    _set_expiry(leases, key, now_s + compute_max_lease_s(leases.settings))
    return True


def take_expired(
    leases: LeaseTable,
    tables: ControlTables,
    now_s: float,
) -> list[LeaseKey]:
    """Take the attempts whose leases have surely lapsed.

    Args:
        leases: The leases.
        tables: The replicated state.
        now_s: The time.

    Returns:
        The attempts; they are not renewed any more.
    """
    expired = []
    while leases.checks and leases.checks[0].at_s <= now_s:
        key = heapq.heappop(leases.checks).key
        if not is_occupying(tables, key):
            leases.expiry_by_key.pop(key, None)
            leases.expiring.discard(key)
            continue
        expires_at_s = leases.expiry_by_key[key]
        if expires_at_s > now_s:
            heapq.heappush(leases.checks, LeaseCheck(expires_at_s, key))
            continue
        expired.append(key)
        leases.expiring.add(key)
        retry_at_s = now_s + leases.settings.lease_s
        heapq.heappush(leases.checks, LeaseCheck(retry_at_s, key))
    return expired


def is_occupying(tables: ControlTables, key: LeaseKey) -> bool:
    """Tell whether an attempt still occupies its worker.

    Args:
        tables: The replicated state.
        key: The attempt.

    Returns:
        False if it ended or another attempt took its place.
    """
    task = tables.tasks.get(key.task_id)
    if task is None or task.attempt != key.attempt:
        return False
    return task.status in OCCUPYING_STATUSES
