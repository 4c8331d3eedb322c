"""Decides which announcements of a worker its guard follows.

Another program may announce a worker at the address of the one that the guard
has. An announcement counts only if its pool is one that the control group
knows, and if it is later than the one that is followed. An announcement that
does not count leaves the followed worker as it is, so that its next
announcement is followed again.
"""

import msgspec

from cumintack.protocol.run_messages import WorkerInfo

# Most workers whose announcements wait for the first configuration.
MAX_WAITING_WORKERS = 16


class Announcement(msgspec.Struct, frozen=True):
    """A well-formed announcement of a worker.

    Attributes:
        worker_info: Description of the worker.
        born_ms: Start of its incarnation in Unix ms.
        sequence: Increases with each announcement of an incarnation.
    """

    worker_info: WorkerInfo
    born_ms: int
    sequence: int


class Followed(msgspec.Struct, frozen=True):
    """The announcement counts, and the guard follows it."""

    worker_info: WorkerInfo


class Waiting(msgspec.Struct, frozen=True):
    """The announcement waits until a configuration is known."""


class Outdated(msgspec.Struct, frozen=True):
    """A later announcement is followed already."""


class Rejected(msgspec.Struct, frozen=True):
    """The announcement does not count.

    Attributes:
        problem: What is wrong with it.
    """

    problem: str


Registration = Followed | Waiting | Outdated | Rejected


class RegistrationState(msgspec.Struct):
    """Announcements of the worker of one guard.

    Attributes:
        pools: All pools that the control group has named to this process.
        queue_version: Version of the queue configuration for which they were
            named last, 0 while no configuration is known.
        is_pool_checked: Whether the control group names pools; its processes
            of an earlier version do not.
        followed: The latest announcement that is followed.
        waiting: The latest announcement of each worker that waits for a
            configuration, the longest unchanged one first.
    """

    pools: frozenset[str] = frozenset()
    queue_version: int = 0
    is_pool_checked: bool = True
    followed: Announcement | None = None
    waiting: dict[str, Announcement] = {}


def register(
    state: RegistrationState, announcement: Announcement
) -> Registration:
    """Decide whether to follow an announcement.

    Args:
        state: The state, changed in place.
        announcement: The announcement.

    Returns:
        The decision.
    """
    pool = announcement.worker_info.pool
    if state.is_pool_checked and pool not in state.pools:
        if state.queue_version:
            return Rejected(f'service {pool!r} is not configured')
        _add_waiting(state, announcement)
        return Waiting()
    return _follow_if_later(state, announcement)


def _add_waiting(state: RegistrationState, announcement: Announcement) -> None:
    worker_id = announcement.worker_info.worker_id
    earlier = state.waiting.pop(worker_id, announcement)
    state.waiting[worker_id] = max(earlier, announcement, key=_get_order)
    if len(state.waiting) > MAX_WAITING_WORKERS:
        state.waiting.pop(next(iter(state.waiting)))


def _get_order(announcement: Announcement) -> tuple[int, int]:
    return (announcement.born_ms, announcement.sequence)


def _follow_if_later(
    state: RegistrationState, announcement: Announcement
) -> Registration:
    followed = state.followed
    if followed is not None:
        # A delayed announcement may arrive after a later one.
        if _get_order(announcement) <= _get_order(followed):
            return Outdated()
        if _is_other_worker(followed, announcement):
            return Rejected('started with another worker')
    state.followed = announcement
    return Followed(announcement.worker_info)


def _is_other_worker(
    followed: Announcement, announcement: Announcement
) -> bool:
    """Tell whether a worker claims the start of the one that is followed.

    Two workers at one address start one after the other.
    """
    return (
        announcement.born_ms == followed.born_ms
        and announcement.worker_info.worker_id != followed.worker_info.worker_id
    )


def record_pools(
    state: RegistrationState, queue_version: int, pools: tuple[str, ...]
) -> list[Registration]:
    """Record the pools that the control group names.

    A pool that a later configuration leaves out stays known: workers of it may
    still have runs.

    Args:
        state: The state, changed in place.
        queue_version: Version of the queue configuration, which may be earlier
            than the one known.
        pools: The pools that it names, and those of active workflows.

    Returns:
        The decisions about the announcements that waited.
    """
    state.is_pool_checked = True
    state.queue_version = max(state.queue_version, queue_version)
    state.pools |= frozenset(pools)
    return _register_waiting(state)


def skip_pool_checks(state: RegistrationState) -> list[Registration]:
    """Follow announcements of any pool unless pools are known.

    For a control group of a program version that names no pools.

    Args:
        state: The state, changed in place.

    Returns:
        The decisions about the announcements that waited.
    """
    state.is_pool_checked = bool(state.queue_version)
    return _register_waiting(state)


def _register_waiting(state: RegistrationState) -> list[Registration]:
    if state.is_pool_checked and not state.queue_version:
        return []
    waiting = sorted(state.waiting.values(), key=_get_order)
    state.waiting = {}
    return [register(state, announcement) for announcement in waiting]
