"""Lifecycle of a pending request: dispatch, retry, withdrawal and end."""

import heapq

from cumintack.coordination import entry_limits, guard_selection, token_bucket
from cumintack.coordination.effects import (
    Effect,
    ProposeOperation,
    RecordEvent,
    Reply,
    Send,
)
from cumintack.coordination.entry_state import (
    AttemptState,
    EntryState,
    LatencyEstimate,
    PendingRequest,
    RequestStage,
    RoutingPolicy,
    ScheduledCheck,
)
from cumintack.state.claims import RecordedAnswer
from cumintack.state.commands import SettleClaim
from cumintack.state.configuration import get_numeric_setting
from cumintack.state.requests import (
    Answer,
    Dispatch,
    Header,
    OutcomeKind,
    Withdrawal,
)

# Open attempts are withdrawn this long before the deadline, but at most this
# share of the timeout before it.
WITHDRAW_MARGIN_S = 0.05
MAX_WITHDRAW_MARGIN_SHARE = 0.2
SETTLE_TIMEOUT_S = 30.0
MAX_ATTEMPTS = 4
MIN_HEDGE_DELAY_S = 0.05
# An attempt counts as slow at this many mean deviations above the mean.
HEDGE_DEVIATIONS = 8.0
# Lowest weight of a new sample in the moving averages.
MIN_ESTIMATE_WEIGHT = 0.05
MIN_ESTIMATE_SAMPLES = 20
RETRY_AFTER_S = 1.0


def schedule_check(
    state: EntryState, pending: PendingRequest, at_s: float
) -> None:
    """Schedule the next check of a request.

    Args:
        state: The state of the entry.
        pending: The pending request.
        at_s: When to check it.
    """
    heapq.heappush(
        state.scheduled_checks, ScheduledCheck(at_s, pending.request.request_id)
    )


def pop_due_requests(state: EntryState, now_s: float) -> list[str]:
    """Remove and return the requests whose check is due.

    Args:
        state: The state of the entry.
        now_s: The current time.

    Returns:
        Identifiers of requests, some of which may have ended already.
    """
    due = []
    while state.scheduled_checks and state.scheduled_checks[0].at_s <= now_s:
        due.append(heapq.heappop(state.scheduled_checks).request_id)
    return due


def compute_withdraw_at_s(pending: PendingRequest) -> float:
    """Compute when open attempts are withdrawn.

    Args:
        pending: The pending request.

    Returns:
        A short time before the deadline.
    """
    timeout_s = pending.request.timeout_s
    margin_s = min(WITHDRAW_MARGIN_S, timeout_s * MAX_WITHDRAW_MARGIN_SHARE)
    return pending.deadline_s - margin_s


def dispatch(
    state: EntryState,
    pending: PendingRequest,
    now_s: float,
) -> list[Effect]:
    """Send the next attempt, or end the request if no guard can take it.

    Args:
        state: The state of the entry.
        pending: The pending request.
        now_s: The current time.

    Returns:
        The dispatch, the end of the request, or nothing while an earlier
        attempt is open.
    """
    request = pending.request
    tried_workers = {attempt.worker for attempt in pending.attempts.values()}
    candidates = state.guards_by_service.get(request.service, [])
    guard = _choose_guard(state, candidates, tried_workers, now_s)
    if guard is None:
        if has_open_attempt(pending):
            return []
        return finish_without_answer(state, pending, 'all upstreams are full')
    number = len(pending.attempts) + 1
    attempt = AttemptState(
        number,
        guard.status.worker,
        guard.status.incarnation,
        now_s,
    )
    pending.attempts[number] = attempt
    guard.in_flight += 1
    hedge_delay_s = compute_hedge_delay_s(state, request.service)
    schedule_check(state, pending, now_s + hedge_delay_s)
    return [
        create_dispatch(pending, attempt, now_s),
        RecordEvent('entry.dispatched', request.request_id, attempt.worker),
    ]


def _choose_guard(
    state: EntryState,
    candidates: list[guard_selection.GuardView],
    tried_workers: set[str],
    now_s: float,
) -> guard_selection.GuardView | None:
    match state.policy:
        case RoutingPolicy.round_robin:
            state.round_robin_index += 1
            return guard_selection.choose_round_robin(
                candidates, state.round_robin_index
            )
        case RoutingPolicy.expected_time:
            return guard_selection.choose_guard(
                candidates,
                state.data_centre,
                tried_workers,
                state.generator,
                now_s,
            )


def compute_hedge_delay_s(state: EntryState, service: str) -> float:
    """Compute after which time an open attempt counts as slow.

    A slow attempt counts against its guard, and an idempotent request gets
    another attempt.

    Args:
        state: The state of the entry.
        service: The service.

    Returns:
        Seconds: the configured hedge delay if there is one, else a time far
        above the recent answer times, at most the configured ``slow_ms``.
    """
    max_delay_s = get_numeric_setting(
        state.configuration, f'service.{service}.slow_ms'
    )
    max_delay_s /= 1000
    hedge_ms = get_numeric_setting(state.configuration, 'entry.hedge_after_ms')
    if hedge_ms:
        return hedge_ms / 1000
    estimate = state.latencies.get(service)
    if estimate is None or estimate.samples < MIN_ESTIMATE_SAMPLES:
        return max_delay_s
    slow_after_s = estimate.mean_s + HEDGE_DEVIATIONS * estimate.deviation_s
    return min(max_delay_s, max(MIN_HEDGE_DELAY_S, slow_after_s))


def update_latency(state: EntryState, service: str, served_s: float) -> None:
    """Update the moving averages of a service's answer time.

    Args:
        state: The state of the entry.
        service: The service.
        served_s: Time that the upstream took for one answer.
    """
    estimate = state.latencies.setdefault(service, LatencyEstimate())
    estimate.samples += 1
    weight = max(MIN_ESTIMATE_WEIGHT, 1 / estimate.samples)
    difference_s = served_s - estimate.mean_s
    estimate.mean_s += weight * difference_s
    estimate.deviation_s += weight * (abs(difference_s) - estimate.deviation_s)


def create_dispatch(
    pending: PendingRequest,
    attempt: AttemptState,
    now_s: float,
) -> Send:
    """Create the message that dispatches an attempt.

    Args:
        pending: The pending request.
        attempt: The attempt.
        now_s: The current time.

    Returns:
        The message, with the time left until the deadline.
    """
    return Send(
        attempt.worker,
        Dispatch(
            pending.request,
            attempt.number,
            attempt.incarnation,
            pending.deadline_s - now_s,
        ),
    )


def create_withdrawal(pending: PendingRequest, attempt: AttemptState) -> Send:
    """Create the message that withdraws an attempt.

    Args:
        pending: The pending request.
        attempt: The attempt.

    Returns:
        The message.
    """
    return Send(
        attempt.worker,
        Withdrawal(
            pending.request.request_id,
            attempt.number,
            attempt.incarnation,
        ),
    )


def create_content_headers(content_type: str) -> tuple[Header, ...]:
    """Create the headers of a recorded answer.

    Args:
        content_type: Media type, or empty.

    Returns:
        The content type header, or no header.
    """
    return (Header('Content-Type', content_type),) if content_type else ()


def has_open_attempt(pending: PendingRequest) -> bool:
    """Return whether an attempt may still be answered.

    Args:
        pending: The pending request.

    Returns:
        True if any attempt has not ended.
    """
    return any(not attempt.is_ended for attempt in pending.attempts.values())


def complete(
    state: EntryState,
    pending: PendingRequest,
    answer: Answer,
) -> list[Effect]:
    """End a request with the answer of the upstream.

    Args:
        state: The state of the entry.
        pending: The pending request.
        answer: The answer.

    Returns:
        The reply, withdrawals of other open attempts, and the settlement of
        the claim.
    """
    effects: list[Effect] = []
    for attempt in pending.attempts.values():
        if not attempt.is_ended:
            effects.append(create_withdrawal(pending, attempt))
            _end_attempt(state, attempt)
    remove_pending(state, pending)
    effects.append(
        Reply(
            answer.request_id,
            OutcomeKind.completed,
            '',
            answer.status,
            answer.headers,
            answer.body,
        ),
    )
    effects.append(
        RecordEvent('entry.completed', answer.request_id, answer.worker),
    )
    if pending.is_claimed:
        content_type = _get_content_type(answer.headers)
        recorded_answer = RecordedAnswer(
            answer.status, content_type, answer.body
        )
        effects.append(
            _create_settlement(pending, recorded_answer, has_run=True)
        )
    return effects


def _get_content_type(headers: tuple[Header, ...]) -> str:
    for header in headers:
        if header.name.lower() == 'content-type':
            return header.text
    return ''


def _create_settlement(
    pending: PendingRequest,
    recorded_answer: RecordedAnswer | None,
    *,
    has_run: bool,
) -> ProposeOperation:
    request_id = pending.request.request_id
    return ProposeOperation(
        request_id,
        SettleClaim(pending.claim_key, request_id, recorded_answer, has_run),
        SETTLE_TIMEOUT_S,
    )


def _end_attempt(state: EntryState, attempt: AttemptState) -> None:
    attempt.is_ended = True
    guard = state.guards.get(attempt.worker)
    if guard is not None and guard.status.incarnation == attempt.incarnation:
        guard.in_flight = max(0, guard.in_flight - 1)


def remove_pending(state: EntryState, pending: PendingRequest) -> None:
    """Remove a request that has its outcome.

    Args:
        state: The state of the entry.
        pending: The pending request.
    """
    state.pending.pop(pending.request.request_id, None)
    entry_limits.remove_in_flight(state, pending.request)


def finish(
    state: EntryState,
    pending: PendingRequest,
    kind: OutcomeKind,
    reason: str,
) -> list[Effect]:
    """End a request without an answer of the upstream.

    Args:
        state: The state of the entry.
        pending: The pending request.
        kind: Not run or unknown.
        reason: Why the request was not answered.

    Returns:
        The reply, and the settlement of the claim.
    """
    for attempt in pending.attempts.values():
        if not attempt.is_ended:
            _end_attempt(state, attempt)
    remove_pending(state, pending)
    request_id = pending.request.request_id
    is_not_run = kind is OutcomeKind.not_run
    effects: list[Effect] = [
        Reply(
            request_id,
            kind,
            reason,
            retry_after_s=RETRY_AFTER_S if is_not_run else 0,
        ),
        RecordEvent(f'entry.{kind.value}', request_id, reason),
    ]
    if pending.is_claimed:
        effects.append(
            _create_settlement(pending, None, has_run=not is_not_run)
        )
    return effects


def finish_without_answer(
    state: EntryState,
    pending: PendingRequest,
    reason: str,
) -> list[Effect]:
    """End a request that no attempt has answered.

    Args:
        state: The state of the entry.
        pending: The pending request.
        reason: Why no further attempt is made.

    Returns:
        The end of the request: unknown if any attempt is unknown, else not
        run.
    """
    kind = OutcomeKind.unknown if pending.has_unknown else OutcomeKind.not_run
    return finish(state, pending, kind, reason)


def retry_or_finish(
    state: EntryState,
    pending: PendingRequest,
    reason: str,
    now_s: float,
) -> list[Effect]:
    """Dispatch another attempt if a retry is allowed, else end the request.

    Args:
        state: The state of the entry.
        pending: The pending request.
        reason: How the last attempt ended.
        now_s: The current time.

    Returns:
        Another dispatch, the end of the request, or nothing while an attempt
        is open.
    """
    if _try_take_retry(state, pending, now_s):
        return dispatch(state, pending, now_s)
    if has_open_attempt(pending):
        return []
    return finish_without_answer(state, pending, reason)


def _try_take_retry(
    state: EntryState,
    pending: PendingRequest,
    now_s: float,
) -> bool:
    is_baseline = state.policy is RoutingPolicy.round_robin
    if pending.stage is not RequestStage.open or is_baseline:
        return False
    if pending.has_unknown and not pending.request.is_idempotent:
        return False
    if len(pending.attempts) >= MAX_ATTEMPTS:
        return False
    if now_s >= compute_withdraw_at_s(pending):
        return False
    return token_bucket.try_take(state.retry_budget)


def handle_due_check(
    state: EntryState,
    pending: PendingRequest,
    now_s: float,
) -> list[Effect]:
    """Check a request against its deadline and its hedge delay.

    Args:
        state: The state of the entry.
        pending: The pending request.
        now_s: The current time.

    Returns:
        Withdrawals, a hedged attempt, the end of the request, or nothing.
    """
    if now_s >= pending.deadline_s:
        return _finish_overdue(state, pending)
    if now_s >= compute_withdraw_at_s(pending):
        return _withdraw_open_attempts(state, pending)
    if pending.stage is RequestStage.open and has_open_attempt(pending):
        return _hedge_slow_attempt(state, pending, now_s)
    return []


def _finish_overdue(state: EntryState, pending: PendingRequest) -> list[Effect]:
    if pending.stage is RequestStage.claiming:
        return finish(
            state,
            pending,
            OutcomeKind.not_run,
            'the claim was not recorded in time',
        )
    if has_open_attempt(pending):
        pending.has_unknown = True
    return finish_without_answer(state, pending, 'no answer in time')


def _withdraw_open_attempts(
    state: EntryState, pending: PendingRequest
) -> list[Effect]:
    schedule_check(state, pending, pending.deadline_s)
    if pending.stage is not RequestStage.open:
        return []
    pending.stage = RequestStage.withdrawing
    effects: list[Effect] = []
    for attempt in pending.attempts.values():
        if not attempt.is_ended:
            attempt.is_withdrawn = True
            effects.append(create_withdrawal(pending, attempt))
    return effects


def _hedge_slow_attempt(
    state: EntryState,
    pending: PendingRequest,
    now_s: float,
) -> list[Effect]:
    request = pending.request
    hedge_delay_s = compute_hedge_delay_s(state, request.service)
    open_attempts = [
        attempt for attempt in pending.attempts.values() if not attempt.is_ended
    ]
    newest = open_attempts[-1]
    if now_s - newest.sent_at_s < hedge_delay_s:
        return []
    effects = _record_timeout(state, pending, newest, now_s)
    if request.is_idempotent and _try_take_retry(state, pending, now_s):
        effects.append(
            RecordEvent('entry.hedged', request.request_id, newest.worker)
        )
        effects.extend(dispatch(state, pending, now_s))
    return effects


def _record_timeout(
    state: EntryState,
    pending: PendingRequest,
    attempt: AttemptState,
    now_s: float,
) -> list[Effect]:
    guard = state.guards.get(attempt.worker)
    is_baseline = state.policy is RoutingPolicy.round_robin
    if guard is None or pending.is_timeout_recorded or is_baseline:
        return []
    pending.is_timeout_recorded = True
    peers = state.guards_by_service.get(guard.status.service, [])
    if guard_selection.record_timeout(guard, peers, now_s):
        return [RecordEvent('entry.ejected', attempt.worker, 'no answer')]
    return []


def index_guards(state: EntryState) -> None:
    """Rebuild the index of guards by service.

    Args:
        state: The state of the entry.
    """
    state.guards_by_service = {}
    for guard in state.guards.values():
        state.guards_by_service.setdefault(guard.status.service, []).append(
            guard
        )
