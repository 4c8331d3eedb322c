"""What an entry knows of the guards, and which one it chooses.

The choice is by the answer time to be expected: recent time of the upstream,
longer by what already waits there, and by the way to another data centre. A
slow upstream is treated like a dead one, but only up to a share of them all,
and it gets a single request from time to time to show that it is better.
"""

import math
import random
import statistics

import msgspec

from cumintack.protocol.messages import GuardStatus

STALE_AFTER_S = 1.0
GUARD_TIMEOUT_S = 3.0
REMOTE_PENALTY_S = 0.008
LATENCY_WEIGHT = 0.05
FIRST_LATENCY_S = 0.005
SLOW_FACTOR = 4.0
SLOW_FLOOR_S = 0.02
MIN_SAMPLES = 3
MAX_EJECTED_SHARE = 0.34
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
LEAST_SAMPLED = 4
MOST_SAMPLED = 16


class GuardView(msgspec.Struct):
    """A guard as an entry sees it.

    Attributes:
        status: Its last heartbeat.
        heard_at_s: When that arrived.
        in_flight: Attempts of this entry that it has not answered.
        own_in_flight_at_report: The same at the time of the last report of its
            load.
        load: Attempts of all entries there at that report.
        latency_s: Recent time of its upstream.
        samples: Answers that this time is made from.
        ejected_until_s: No request before this time, if slow.
        ejection_s: Length of the next ejection.
        is_on_trial: Whether one request may go there to try it.
        strikes: Attempts in a row that were slow or unknown.
    """

    status: GuardStatus
    heard_at_s: float
    in_flight: int = 0
    own_in_flight_at_report: int = 0
    load: int = 0
    latency_s: float = FIRST_LATENCY_S
    samples: int = 0
    ejected_until_s: float = 0
    ejection_s: float = FIRST_EJECTION_S
    is_on_trial: bool = False
    strikes: int = 0


def is_fresh(guard: GuardView, now_s: float) -> bool:
    """Tell whether a guard was heard a short time ago.

    Args:
        guard: The guard.
        now_s: The time.

    Returns:
        False if its link may have gone silent.
    """
    return now_s - guard.heard_at_s <= STALE_AFTER_S


def is_open(guard: GuardView, now_s: float) -> bool:
    """Tell whether a guard may get a request.

    Args:
        guard: The guard.
        now_s: The time.

    Returns:
        False while it leaves, is silent, or is ejected.
    """
    if guard.status.is_leaving or not is_fresh(guard, now_s):
        return False
    if guard.is_on_trial:
        return now_s >= guard.ejected_until_s and not guard.in_flight
    return True


def compute_load(guard: GuardView) -> int:
    """Compute the attempts at a guard.

    Args:
        guard: The guard.

    Returns:
        Those of this entry and, as last reported, those of the others.
    """
    others = max(0, guard.load - guard.own_in_flight_at_report)
    return guard.in_flight + others


def is_full(guard: GuardView) -> bool:
    """Tell whether a guard would refuse a request.

    Args:
        guard: The guard.

    Returns:
        True if its slots and its queue are full.
    """
    room = guard.status.slots + guard.status.queue_limit
    return compute_load(guard) >= room


def compute_expected_s(guard: GuardView, data_centre: str) -> float:
    """Compute the answer time to be expected.

    Args:
        guard: The guard.
        data_centre: Where the entry stands.

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
        data_centre: Where the entry stands.
        excluded: Workers that already had an attempt of the request.
        generator: Draws the half of the guards that is compared, so that
            entries with the same late reports don't all choose alike.
        now_s: The time.

    Returns:
        The guard with the shortest answer time to be expected, or None.
    """
    candidates = [
        guard for guard in guards if _is_candidate(guard, excluded, now_s)
    ]
    half = max(LEAST_SAMPLED, len(candidates) // 2)
    sampled = min(len(candidates), half, MOST_SAMPLED)
    best = None
    best_s = math.inf
    for guard in generator.sample(candidates, sampled):
        expected_s = compute_expected_s(guard, data_centre)
        if guard.is_on_trial:
            return guard
        if expected_s < best_s:
            best = guard
            best_s = expected_s
    return best


def choose_round_robin(guards: list[GuardView], turn: int) -> GuardView | None:
    """Choose a guard in turn, whatever its state.

    Args:
        guards: The guards of the service.
        turn: Number of the turn.

    Returns:
        A guard that is not leaving, or None.
    """
    staying = [guard for guard in guards if not guard.status.is_leaving]
    return staying[turn % len(staying)] if staying else None


def _is_candidate(
    guard: GuardView,
    excluded: set[str],
    now_s: float,
) -> bool:
    if guard.status.worker in excluded or is_full(guard):
        return False
    return is_open(guard, now_s)


def record_answer(
    guard: GuardView,
    served_s: float,
    peers: list[GuardView],
    now_s: float,
) -> bool:
    """Take note of an answer and judge the guard by its time.

    Args:
        guard: The guard.
        served_s: Time of the upstream for the attempt.
        peers: All guards of the service, this one included.
        now_s: The time.

    Returns:
        Whether the guard was ejected just now.
    """
    guard.samples += 1
    weight = max(LATENCY_WEIGHT, 1 / guard.samples)
    guard.latency_s += weight * (served_s - guard.latency_s)
    limit_s = _compute_limit_s(guard, peers)
    if guard.is_on_trial and served_s <= limit_s:
        guard.is_on_trial = False
        guard.latency_s = served_s
        guard.ejection_s = FIRST_EJECTION_S
    guard.strikes = guard.strikes + 1 if served_s > limit_s else 0
    if guard.strikes < MIN_SAMPLES and not guard.is_on_trial:
        return False
    return eject(guard, peers, now_s)


def _compute_limit_s(guard: GuardView, peers: list[GuardView]) -> float:
    others = [
        peer.latency_s
        for peer in peers
        if peer is not guard and peer.samples and not peer.is_on_trial
    ]
    if not others:
        return math.inf
    median_s = statistics.median(others)
    return max(SLOW_FLOOR_S, SLOW_FACTOR * median_s)


def strike(guard: GuardView, peers: list[GuardView], now_s: float) -> bool:
    """Take note of an attempt without an answer in time.

    Args:
        guard: The guard.
        peers: All guards of the service, this one included.
        now_s: The time.

    Returns:
        Whether the guard was ejected just now.
    """
    guard.strikes += 1
    if guard.strikes < MIN_SAMPLES and not guard.is_on_trial:
        return False
    return eject(guard, peers, now_s)


def eject(guard: GuardView, peers: list[GuardView], now_s: float) -> bool:
    """Eject a slow guard for a while, if not too many are ejected.

    Args:
        guard: The guard.
        peers: All guards of the service, this one included.
        now_s: The time.

    Returns:
        Whether it was ejected.
    """
    ejected = sum(1 for peer in peers if peer.is_on_trial and peer is not guard)
    if ejected + 1 > MAX_EJECTED_SHARE * len(peers):
        return False
    guard.is_on_trial = True
    guard.strikes = 0
    guard.ejected_until_s = now_s + guard.ejection_s
    guard.ejection_s = min(MAX_EJECTION_S, guard.ejection_s * 2)
    return True
