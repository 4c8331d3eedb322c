"""Limits at an entry: rates of teams, caps of services, fair shares.

A request that would be late is better refused while its caller can still do
something else. When a service is nearly full, each team with requests in
flight gets an equal share of its room, so that the wave of one team doesn't
starve the others.
"""

from cumintack.coordination import guard_selection, token_bucket
from cumintack.coordination.effects import Reply
from cumintack.coordination.entry_state import EntryState, RoutingPolicy
from cumintack.state.configuration import get_numeric_setting
from cumintack.state.requests import OutcomeKind, Request

CROWDED_SHARE = 0.8
RETRY_AFTER_S = 1.0


def find_refusal(
    state: EntryState,
    request: Request,
    now_s: float,
) -> Reply | None:
    """Find the reason to refuse a request at once.

    Args:
        state: The entry.
        request: The request.
        now_s: The time.

    Returns:
        The refusal, or None.
    """
    if not _take_rate(state, request.team, now_s):
        return _refuse(request, 'the team is over its rate', is_over_quota=True)
    known = state.guards_by_service.get(request.service, [])
    if state.policy is RoutingPolicy.round_robin and known:
        return None
    usable = [guard for guard in known if guard_selection.is_open(guard, now_s)]
    if not usable:
        return _refuse(request, 'no upstream serves this')
    cap = get_numeric_setting(
        state.configuration,
        f'service.{request.service}.max_in_flight',
    )
    if state.in_flight.get(request.service, 0) >= cap:
        return _refuse(request, 'the service is at its limit')
    return _find_crowding(state, request, usable)


def _find_crowding(
    state: EntryState,
    request: Request,
    usable: list[guard_selection.GuardView],
) -> Reply | None:
    room = sum(
        guard.status.slots + guard.status.queue_limit for guard in usable
    )
    load = sum(guard_selection.compute_load(guard) for guard in usable)
    if load >= room:
        return _refuse(request, 'all upstreams are full')
    if load < CROWDED_SHARE * room:
        return None
    own_room = max(1, room - load + state.in_flight.get(request.service, 0))
    teams = [
        team
        for (service, team), count in state.team_in_flight.items()
        if service == request.service and count
    ]
    team_count = len(set(teams) | {request.team})
    used = state.team_in_flight.get((request.service, request.team), 0)
    if team_count > 1 and used >= own_room / team_count:
        return _refuse(request, 'the team is at its share')
    return None


def _take_rate(state: EntryState, team: str, now_s: float) -> bool:
    rate = get_numeric_setting(state.configuration, f'team.{team}.rate_per_s')
    bucket = state.team_buckets.get(team)
    if bucket is None:
        bucket = token_bucket.TokenBucket(max(1.0, rate), now_s)
        state.team_buckets[team] = bucket
    token_bucket.fill(bucket, rate, max(1.0, rate), now_s)
    return token_bucket.take(bucket)


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
        state: The entry.
        request: The request.
    """
    service = request.service
    key = (service, request.team)
    state.in_flight[service] = state.in_flight.get(service, 0) + 1
    state.team_in_flight[key] = state.team_in_flight.get(key, 0) + 1


def remove_in_flight(state: EntryState, request: Request) -> None:
    """Count a request as no longer in flight.

    Args:
        state: The entry.
        request: The request.
    """
    service = request.service
    key = (service, request.team)
    state.in_flight[service] -= 1
    state.team_in_flight[key] -= 1
    if not state.team_in_flight[key]:
        state.team_in_flight.pop(key)
