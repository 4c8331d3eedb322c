"""Limits at an entry: team rates, service limits and fair shares.

A request that would be late is refused at once, while its caller can still do
something else. When a service is near its capacity, each team with requests
in flight gets an equal share of it, so that a burst of one team doesn't
starve the others.
"""

from cumintack.coordination import guard_selection, token_bucket
from cumintack.coordination.effects import Reply
from cumintack.coordination.entry_state import EntryState, RoutingPolicy
from cumintack.state.configuration import get_numeric_setting
from cumintack.state.requests import OutcomeKind, Request

# Share of a service's capacity in use from which fair shares are enforced.
FAIR_SHARE_THRESHOLD = 0.8
RETRY_AFTER_S = 1.0


def find_refusal(
    state: EntryState,
    request: Request,
    now_s: float,
) -> Reply | None:
    """Check a request against all limits.

    Args:
        state: The state of the entry.
        request: The request.
        now_s: The current time.

    Returns:
        The refusal, or None if the request is within the limits.
    """
    if not _try_take_rate_token(state, request.team, now_s):
        return _refuse(request, 'the team is over its rate', is_over_quota=True)
    service_guards = state.guards_by_service.get(request.service, [])
    if state.policy is RoutingPolicy.round_robin and service_guards:
        return None
    available = [
        guard
        for guard in service_guards
        if guard_selection.is_available(guard, now_s)
    ]
    if not available:
        return _refuse(request, 'no upstream serves this')
    limit = get_numeric_setting(
        state.configuration,
        f'service.{request.service}.max_in_flight',
    )
    if state.in_flight.get(request.service, 0) >= limit:
        return _refuse(request, 'the service is at its limit')
    return _find_capacity_refusal(state, request, available)


def _find_capacity_refusal(
    state: EntryState,
    request: Request,
    available: list[guard_selection.GuardView],
) -> Reply | None:
    capacity = sum(
        guard.status.slots + guard.status.queue_limit for guard in available
    )
    load = sum(guard_selection.compute_load(guard) for guard in available)
    if load >= capacity:
        return _refuse(request, 'all upstreams are full')
    if load < FAIR_SHARE_THRESHOLD * capacity:
        return None
    # Capacity that requests of this entry use or may still use.
    usable_capacity = max(
        1, capacity - load + state.in_flight.get(request.service, 0)
    )
    active_teams = [
        team
        for (service, team), count in state.team_in_flight.items()
        if service == request.service and count
    ]
    team_count = len(set(active_teams) | {request.team})
    team_load = state.team_in_flight.get((request.service, request.team), 0)
    if team_count > 1 and team_load >= usable_capacity / team_count:
        return _refuse(request, 'the team is at its share')
    return None


def _try_take_rate_token(state: EntryState, team: str, now_s: float) -> bool:
    rate = get_numeric_setting(state.configuration, f'team.{team}.rate_per_s')
    bucket = state.team_buckets.get(team)
    if bucket is None:
        bucket = token_bucket.TokenBucket(max(1.0, rate), now_s)
        state.team_buckets[team] = bucket
    token_bucket.refill(bucket, rate, max(1.0, rate), now_s)
    return token_bucket.try_take(bucket)


def _refuse(
    request: Request,
    reason: str,
    *,
    is_over_quota: bool = False,
) -> Reply:
    return Reply(
        request.request_id,
        OutcomeKind.not_run,
        reason,
        is_over_quota=is_over_quota,
        retry_after_s=RETRY_AFTER_S,
    )


def add_in_flight(state: EntryState, request: Request) -> None:
    """Count a request as in flight.

    Args:
        state: The state of the entry.
        request: The request.
    """
    service = request.service
    key = (service, request.team)
    state.in_flight[service] = state.in_flight.get(service, 0) + 1
    state.team_in_flight[key] = state.team_in_flight.get(key, 0) + 1


def remove_in_flight(state: EntryState, request: Request) -> None:
    """Count a request as no longer in flight.

    Args:
        state: The state of the entry.
        request: The request.
    """
    service = request.service
    key = (service, request.team)
    state.in_flight[service] -= 1
    state.team_in_flight[key] -= 1
    if not state.team_in_flight[key]:
        state.team_in_flight.pop(key)
