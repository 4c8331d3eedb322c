"""Leases of task attempts, tracked by the leader of the control group.

Renewals are not replicated. A lease starts at the guard's timestamp in its
heartbeat, which precedes the arrival at the leader, so a lease always expires
at the guard first. A new leader does not know the renewals of the previous
leader, which may have continued until that leader noticed the loss of its
quorum. It therefore waits for that time plus a full lease.
"""

import heapq

import msgspec

from cumintack.state.jobs import OCCUPYING_STATUSES
from cumintack.state.tables import ControlTables


class LeaseSettings(msgspec.Struct, frozen=True):
    """Durations of leases.

    Attributes:
        lease_s: Duration of a lease by the clock of the guard.
        drift: Maximum relative difference between the rates of two clocks.
        previous_leader_s: Maximum time for which a previous leader may still
            renew leases after it was replaced.
    """

    lease_s: float = 10.0
    drift: float = 0.01
    previous_leader_s: float = 1.0


class LeaseKey(msgspec.Struct, frozen=True, order=True):
    """Identifies an attempt of a task."""

    task_id: str
    attempt: int


class LeaseCheck(msgspec.Struct, frozen=True, order=True):
    """Time at which to check whether a lease has expired."""

    at_s: float
    key: LeaseKey


class LeaseTable(msgspec.Struct):
    """Leases of the attempts that occupy workers, changed in place.

    Attributes:
        settings: Durations of leases.
        expiry_by_key: Time by the leader's clock at which each lease has
            expired on the guard too, whatever the drift of its clock.
        checks: Heap of the times at which to check leases; a lease may have
            been renewed since its check was scheduled.
        expiring: Attempts whose expiry has been proposed; they are never
            renewed again.
    """

    settings: LeaseSettings
    expiry_by_key: dict[LeaseKey, float] = {}
    checks: list[LeaseCheck] = []
    expiring: set[LeaseKey] = set()


def compute_max_lease_s(settings: LeaseSettings) -> float:
    """Compute the time after which a lease has expired despite clock drift.

    Args:
        settings: Durations of leases.

    Returns:
        Seconds by the clock of the leader.
    """
    return settings.lease_s * (1 + settings.drift) / (1 - settings.drift)


def restore_leases(
    leases: LeaseTable, tables: ControlTables, now_s: float
) -> None:
    """Assume a lease for every attempt that may hold one from a previous term.

    Args:
        leases: The leases.
        tables: The replicated state.
        now_s: The current time.
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
        now_s: Time of arrival of the guard's heartbeat.

    Returns:
        False if the expiry of the lease has already been proposed.
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
    """Collect the attempts whose leases have expired.

    Args:
        leases: The leases.
        tables: The replicated state.
        now_s: The current time.

    Returns:
        The attempts. Their leases are not renewed again.
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
    """Return whether an attempt still occupies its worker.

    Args:
        tables: The replicated state.
        key: The attempt.

    Returns:
        False if it has ended or a later attempt has replaced it.
    """
    task = tables.tasks.get(key.task_id)
    if task is None or task.attempt != key.attempt:
        return False
    return task.status in OCCUPYING_STATUSES
