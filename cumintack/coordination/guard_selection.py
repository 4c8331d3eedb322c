"""Load balancing over the guards of a service, with outlier ejection.

An entry chooses the guard with the shortest expected answer time: the recent
answer time of the upstream, scaled by its load, plus a penalty for another
data centre. A guard whose upstream is much slower than its peers is ejected,
but only up to a share of all guards. After a time an ejected guard gets one
probe request; a fast answer ends the ejection.
"""

import math
import random
import statistics

import msgspec

from cumintack.protocol.messages import GuardStatus

# A guard that was silent for this long gets no requests.
STALE_AFTER_S = 1.0
# A guard that was silent for this long is removed.
GUARD_TIMEOUT_S = 3.0
REMOTE_PENALTY_S = 0.008
# Lowest weight of a new sample in the moving average of the answer time.
MIN_LATENCY_WEIGHT = 0.05
INITIAL_LATENCY_S = 0.005
# An answer is slow above this multiple of the median answer time of the other
# guards, but never below the minimum limit.
SLOW_FACTOR = 4.0
MIN_SLOW_LIMIT_S = 0.02
# Consecutive slow or missing answers that eject a guard.
EJECTION_THRESHOLD = 3
MAX_EJECTED_SHARE = 0.34
INITIAL_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
# Bounds on the number of guards that are compared for one attempt.
MIN_SAMPLE_SIZE = 4
MAX_SAMPLE_SIZE = 16


class GuardView(msgspec.Struct):
    """What an entry records of a guard.

    Attributes:
        status: The last heartbeat.
        last_seen_at_s: When the last heartbeat or answer arrived.
        in_flight: Attempts of this entry that the guard has not answered.
        own_in_flight_at_report: Value of ``in_flight`` when the guard last
            reported its load.
        load: Attempts of all entries at the guard in that report.
        latency_s: Moving average of the upstream's answer time.
        samples: Number of answers recorded.
        ejected_until_s: When an ejected guard is due for a probe request.
        ejection_s: Length of the next ejection.
        is_ejected: Whether the guard is ejected; cleared by a probe that is
            answered fast enough.
        consecutive_slow: Consecutive attempts that were slow or not answered
            in time.
    """

    status: GuardStatus
    last_seen_at_s: float
    in_flight: int = 0
    own_in_flight_at_report: int = 0
    load: int = 0
    latency_s: float = INITIAL_LATENCY_S
    samples: int = 0
    ejected_until_s: float = 0
    ejection_s: float = INITIAL_EJECTION_S
    is_ejected: bool = False
    consecutive_slow: int = 0


def is_recently_seen(guard: GuardView, now_s: float) -> bool:
    """Return whether a guard has sent a heartbeat or answer recently.

    Args:
        guard: The guard.
        now_s: The current time.

    Returns:
        False if the link to the guard may have gone silent.
    """
    return now_s - guard.last_seen_at_s <= STALE_AFTER_S


def is_available(guard: GuardView, now_s: float) -> bool:
    """Return whether a guard may get a request.

    Args:
        guard: The guard.
        now_s: The current time.

    Returns:
        False while the guard is leaving, silent, or ejected and not due for a
        probe.
    """
    if guard.status.is_leaving or not is_recently_seen(guard, now_s):
        return False
    if guard.is_ejected:
        return now_s >= guard.ejected_until_s and not guard.in_flight
    return True


def compute_load(guard: GuardView) -> int:
    """Compute the number of attempts at a guard.

    Args:
        guard: The guard.

    Returns:
        Attempts of this entry, plus those of other entries as last reported.
    """
    others = max(0, guard.load - guard.own_in_flight_at_report)
    return guard.in_flight + others


def is_full(guard: GuardView) -> bool:
    """Return whether a guard is at its capacity.

    Args:
        guard: The guard.

    Returns:
        True if its slots and its queue are full, so that it would refuse a
        request.
    """
    capacity = guard.status.slots + guard.status.queue_limit
    return compute_load(guard) >= capacity


def compute_expected_s(guard: GuardView, data_centre: str) -> float:
    """Compute the expected answer time of a guard.

    Args:
        guard: The guard.
        data_centre: The data centre of the entry.

    Returns:
        Seconds until the answer.
    """
    slots = max(1, guard.status.slots)
    load = compute_load(guard)
    expected_s = guard.latency_s * (1 + load / slots)
    if guard.status.data_centre != data_centre:
        expected_s += REMOTE_PENALTY_S
    return expected_s


def choose_guard(
    guards: list[GuardView],
    data_centre: str,
    excluded: set[str],
    generator: random.Random,
    now_s: float,
) -> GuardView | None:
    """Choose a guard for an attempt.

    Args:
        guards: The guards of the service.
        data_centre: The data centre of the entry.
        excluded: Workers that already had an attempt of the request.
        generator: Draws the sample of guards that is compared, so that
            entries with the same outdated reports don't all choose the same
            guard.
        now_s: The current time.

    Returns:
        An ejected guard in the sample that is due for a probe, else the guard
        with the shortest expected answer time, or None.
    """
    candidates = [
        guard for guard in guards if _is_candidate(guard, excluded, now_s)
    ]
    wanted_size = max(MIN_SAMPLE_SIZE, len(candidates) // 2)
    sample_size = min(len(candidates), wanted_size, MAX_SAMPLE_SIZE)
    best = None
    best_expected_s = math.inf
    for guard in generator.sample(candidates, sample_size):
        expected_s = compute_expected_s(guard, data_centre)
        if guard.is_ejected:
            return guard
        if expected_s < best_expected_s:
            best = guard
            best_expected_s = expected_s
    return best


def choose_round_robin(
    guards: list[GuardView], round_robin_index: int
) -> GuardView | None:
    """Choose a guard by round robin, regardless of its load and latency.

    Args:
        guards: The guards of the service.
        round_robin_index: Counter that advances with every choice.

    Returns:
        A guard that is not leaving, or None.
    """
    remaining = [guard for guard in guards if not guard.status.is_leaving]
    return remaining[round_robin_index % len(remaining)] if remaining else None


def _is_candidate(
    guard: GuardView,
    excluded: set[str],
    now_s: float,
) -> bool:
    if guard.status.worker in excluded or is_full(guard):
        return False
    return is_available(guard, now_s)


def record_answer(
    guard: GuardView,
    served_s: float,
    peers: list[GuardView],
    now_s: float,
) -> bool:
    """Record an answer, and eject the guard if it was repeatedly slow.

    Args:
        guard: The guard.
        served_s: Time that the upstream took for the attempt.
        peers: All guards of the service, this one included.
        now_s: The current time.

    Returns:
        Whether this answer ejected the guard.
    """
    guard.samples += 1
    weight = max(MIN_LATENCY_WEIGHT, 1 / guard.samples)
    guard.latency_s += weight * (served_s - guard.latency_s)
    slow_limit_s = _compute_slow_limit_s(guard, peers)
    if guard.is_ejected and served_s <= slow_limit_s:
        guard.is_ejected = False
        guard.latency_s = served_s
        guard.ejection_s = INITIAL_EJECTION_S
    guard.consecutive_slow = (
        guard.consecutive_slow + 1 if served_s > slow_limit_s else 0
    )
    if guard.consecutive_slow < EJECTION_THRESHOLD and not guard.is_ejected:
        return False
    return eject(guard, peers, now_s)


def _compute_slow_limit_s(guard: GuardView, peers: list[GuardView]) -> float:
    others = [
        peer.latency_s
        for peer in peers
        if peer is not guard and peer.samples and not peer.is_ejected
    ]
    if not others:
        return math.inf
    median_s = statistics.median(others)
    return max(MIN_SLOW_LIMIT_S, SLOW_FACTOR * median_s)


def record_timeout(
    guard: GuardView, peers: list[GuardView], now_s: float
) -> bool:
    """Record an attempt that was not answered in time.

    Args:
        guard: The guard.
        peers: All guards of the service, this one included.
        now_s: The current time.

    Returns:
        Whether this timeout ejected the guard.
    """
    guard.consecutive_slow += 1
    if guard.consecutive_slow < EJECTION_THRESHOLD and not guard.is_ejected:
        return False
    return eject(guard, peers, now_s)


def eject(guard: GuardView, peers: list[GuardView], now_s: float) -> bool:
    """Eject a slow guard for a time, unless too many are ejected already.

    Args:
        guard: The guard.
        peers: All guards of the service, this one included.
        now_s: The current time.

    Returns:
        Whether it was ejected.
    """
    ejected = sum(1 for peer in peers if peer.is_ejected and peer is not guard)
    if ejected + 1 > MAX_EJECTED_SHARE * len(peers):
        return False
    guard.is_ejected = True
    guard.consecutive_slow = 0
    guard.ejected_until_s = now_s + guard.ejection_s
    guard.ejection_s = min(MAX_EJECTION_S, guard.ejection_s * 2)
    return True
