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
        former_leader_s: Longest time that a former leader still renews.
    """

    lease_s: float = 10.0
    drift: float = 0.01
    former_leader_s: float = 1.0


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
        expires: When each lease has surely lapsed, by the leader's clock.
        due: When to look, as a heap; a lease may have been renewed since.
        lapsing: Attempts whose lapse was proposed; never renewed again.
    """

    settings: LeaseSettings
    expires: dict[LeaseKey, float] = {}
    due: list[LeaseCheck] = []
    lapsing: set[LeaseKey] = set()


def compute_max_lease_s(settings: LeaseSettings) -> float:
    """Compute after which time a lease has surely lapsed.

    Args:
        settings: Lengths.

    Returns:
        Seconds by the clock of the leader.
    """
    return settings.lease_s * (1 + settings.drift) / (1 - settings.drift)


def restore_leases(
    table: LeaseTable, tables: ControlTables, now_s: float
) -> None:
    """Wait out every lease that a former leader may have granted.

    Args:
        table: The leases.
        tables: The replicated state.
        now_s: The time.
    """
    table.expires = {}
    table.due = []
    table.lapsing = set()
    former_s = table.settings.former_leader_s
    at_s = now_s + compute_max_lease_s(table.settings) + former_s
    for task in tables.tasks.values():
        if task.status in OCCUPYING_STATUSES:
            _set(table, LeaseKey(task.task_id, task.attempt), at_s)


def _set(table: LeaseTable, key: LeaseKey, at_s: float) -> None:
    is_new = key not in table.expires
    table.expires[key] = max(at_s, table.expires.get(key, at_s))
    if is_new:
        heapq.heappush(table.due, LeaseCheck(at_s, key))


def grant(table: LeaseTable, key: LeaseKey, now_s: float) -> bool:
    """Grant or renew a lease.

    Args:
        table: The leases.
        key: The attempt.
        now_s: When the heartbeat of the guard arrived.

    Returns:
        False if the lapse of the lease is already being recorded.
    """
    if key in table.lapsing:
        return False
    _set(table, key, now_s + compute_max_lease_s(table.settings))
    return True


def take_expired(
    table: LeaseTable,
    tables: ControlTables,
    now_s: float,
) -> list[LeaseKey]:
    """Take the attempts whose leases have surely lapsed.

    Args:
        table: The leases.
        tables: The replicated state.
        now_s: The time.

    Returns:
        The attempts; they are not renewed any more.
    """
    lapsed = []
    while table.due and table.due[0].at_s <= now_s:
        key = heapq.heappop(table.due).key
        if not is_occupying(tables, key):
            table.expires.pop(key, None)
            table.lapsing.discard(key)
            continue
        expires_at_s = table.expires[key]
        if expires_at_s > now_s:
            heapq.heappush(table.due, LeaseCheck(expires_at_s, key))
            continue
        lapsed.append(key)
        table.lapsing.add(key)
        retry_at_s = now_s + table.settings.lease_s
        heapq.heappush(table.due, LeaseCheck(retry_at_s, key))
    return lapsed


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
