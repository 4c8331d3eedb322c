"""Steps of a pending request, shared by the events that lead to them."""

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
    Due,
    EntryState,
    LatencyEstimate,
    PendingRequest,
    RequestStage,
    RoutingPolicy,
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

WITHDRAW_MARGIN_S = 0.05
WITHDRAW_SHARE = 0.2
SETTLE_TIMEOUT_S = 30.0
MAX_ATTEMPTS = 4
ATTEMPT_FLOOR_S = 0.05
DEVIATIONS = 8.0
ESTIMATE_WEIGHT = 0.05
MIN_ESTIMATE_SAMPLES = 20
RETRY_AFTER_S = 1.0


def schedule(state: EntryState, pending: PendingRequest, at_s: float) -> None:
    """Look at a request again at a time.

    Args:
        state: The entry.
        pending: The request.
        at_s: The time.
    """
    heapq.heappush(state.due, Due(at_s, pending.request.request_id))


def pop_due_requests(state: EntryState, now_s: float) -> list[str]:
    """Take the requests that are due.

    Args:
        state: The entry.
        now_s: The time.

    Returns:
        Their identifiers, which may have ended since.
    """
    due = []
    while state.due and state.due[0].at_s <= now_s:
        due.append(heapq.heappop(state.due).request_id)
    return due


def compute_withdraw_at_s(pending: PendingRequest) -> float:
    """Compute when open attempts are asked back.

    Args:
        pending: The request.

    Returns:
        A short time before the deadline.
    """
    timeout_s = pending.request.timeout_s
    margin_s = min(WITHDRAW_MARGIN_S, timeout_s * WITHDRAW_SHARE)
    return pending.deadline_s - margin_s


def dispatch(
    state: EntryState,
    pending: PendingRequest,
    now_s: float,
) -> list[Effect]:
    """Send the next attempt, or end the request if nobody can take it.

    Args:
        state: The entry.
        pending: The request.
        now_s: The time.

    Returns:
        The dispatch or the end.
    """
    request = pending.request
    used = {attempt.worker for attempt in pending.attempts.values()}
    candidates = state.guards_by_service.get(request.service, [])
    guard = _choose(state, candidates, used, now_s)
    if guard is None:
        if has_open_attempt(pending):
            return []
        return finish_unserved(state, pending, 'all upstreams are full')
    number = len(pending.attempts) + 1
    attempt = AttemptState(
        number,
        guard.status.worker,
        guard.status.incarnation,
        now_s,
    )
    pending.attempts[number] = attempt
    guard.in_flight += 1
    suspect_s = compute_suspect_s(state, request.service)
    schedule(state, pending, now_s + suspect_s)
    return [
        create_dispatch(pending, attempt, now_s),
        RecordEvent('entry.dispatched', request.request_id, attempt.worker),
    ]


def _choose(
    state: EntryState,
    candidates: list[guard_selection.GuardView],
    used: set[str],
    now_s: float,
) -> guard_selection.GuardView | None:
    match state.policy:
        case RoutingPolicy.round_robin:
            state.turn += 1
            return guard_selection.choose_round_robin(candidates, state.turn)
        case RoutingPolicy.expected_time:
            return guard_selection.choose_guard(
                candidates,
                state.data_centre,
                used,
                state.generator,
                now_s,
            )


def compute_suspect_s(state: EntryState, service: str) -> float:
    """Compute after which time an attempt is suspected to be stuck.

    Args:
        state: The entry.
        service: The service.

    Returns:
        Seconds: far beyond the usual answer time, at most the configured.
    """
    slow_s = get_numeric_setting(
        state.configuration, f'service.{service}.slow_ms'
    )
    slow_s /= 1000
    hedge_ms = get_numeric_setting(state.configuration, 'entry.hedge_after_ms')
    if hedge_ms:
        return hedge_ms / 1000
    estimate = state.latencies.get(service)
    if estimate is None or estimate.samples < MIN_ESTIMATE_SAMPLES:
        return slow_s
    usual_s = estimate.mean_s + DEVIATIONS * estimate.deviation_s
    return min(slow_s, max(ATTEMPT_FLOOR_S, usual_s))


def update_latency(state: EntryState, service: str, served_s: float) -> None:
    """Learn the usual answer time of a service.

    Args:
        state: The entry.
        service: The service.
        served_s: Time of one answer.
    """
    estimate = state.latencies.setdefault(service, LatencyEstimate())
    estimate.samples += 1
    weight = max(ESTIMATE_WEIGHT, 1 / estimate.samples)
    change_s = served_s - estimate.mean_s
    estimate.mean_s += weight * change_s
    estimate.deviation_s += weight * (abs(change_s) - estimate.deviation_s)


def create_dispatch(
    pending: PendingRequest,
    attempt: AttemptState,
    now_s: float,
) -> Send:
    """Create the message of an attempt.

    Args:
        pending: The request.
        attempt: The attempt.
        now_s: The time.

    Returns:
        The message with the time that remains.
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
    """Create the message that asks an attempt back.

    Args:
        pending: The request.
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
        At most one header.
    """
    return (Header('Content-Type', content_type),) if content_type else ()


def has_open_attempt(pending: PendingRequest) -> bool:
    """Tell whether an attempt may still be answered.

    Args:
        pending: The request.

    Returns:
        True if an attempt has not ended.
    """
    return any(not attempt.is_ended for attempt in pending.attempts.values())


def complete(
    state: EntryState,
    pending: PendingRequest,
    answer: Answer,
) -> list[Effect]:
    """End a request with the answer of the upstream.

    Args:
        state: The entry.
        pending: The request.
        answer: The answer.

    Returns:
        The reply, and what follows for other attempts and the claim.
    """
    effects: list[Effect] = []
    for attempt in pending.attempts.values():
        if not attempt.is_ended:
            effects.append(create_withdrawal(pending, attempt))
            _free(state, attempt)
    forget(state, pending)
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
        recorded = RecordedAnswer(answer.status, content_type, answer.body)
        effects.append(_settle(pending, recorded, has_run=True))
    return effects


def _get_content_type(headers: tuple[Header, ...]) -> str:
    for header in headers:
        if header.name.lower() == 'content-type':
            return header.text
    return ''


def _settle(
    pending: PendingRequest,
    recorded: RecordedAnswer | None,
    *,
    has_run: bool,
) -> ProposeOperation:
    request_id = pending.request.request_id
    return ProposeOperation(
        request_id,
        SettleClaim(pending.claim_key, request_id, recorded, has_run),
        SETTLE_TIMEOUT_S,
    )


def _free(state: EntryState, attempt: AttemptState) -> None:
    attempt.is_ended = True
    guard = state.guards.get(attempt.worker)
    if guard is not None and guard.status.incarnation == attempt.incarnation:
        guard.in_flight = max(0, guard.in_flight - 1)


def forget(state: EntryState, pending: PendingRequest) -> None:
    """Forget a request that has its outcome.

    Args:
        state: The entry.
        pending: The request.
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
        state: The entry.
        pending: The request.
        kind: Not run or unknown.
        reason: Why.

    Returns:
        The reply, and the end of the claim.
    """
    for attempt in pending.attempts.values():
        if not attempt.is_ended:
            _free(state, attempt)
    forget(state, pending)
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
        effects.append(_settle(pending, None, has_run=not is_not_run))
    return effects


def finish_unserved(
    state: EntryState,
    pending: PendingRequest,
    reason: str,
) -> list[Effect]:
    """End a request whose attempts have all ended.

    Args:
        state: The entry.
        pending: The request.
        reason: Why no more attempt is made.

    Returns:
        The end: unknown if any attempt is unknown, else not run.
    """
    kind = OutcomeKind.unknown if pending.has_unknown else OutcomeKind.not_run
    return finish(state, pending, kind, reason)


def retry_or_finish(
    state: EntryState,
    pending: PendingRequest,
    reason: str,
    now_s: float,
) -> list[Effect]:
    """Try again where that is allowed, else end the request.

    Args:
        state: The entry.
        pending: The request.
        reason: How the last attempt ended.
        now_s: The time.

    Returns:
        Another dispatch, the end, or nothing while an attempt is open.
    """
    if _may_retry(state, pending, now_s):
        return dispatch(state, pending, now_s)
    if has_open_attempt(pending):
        return []
    return finish_unserved(state, pending, reason)


def _may_retry(
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
    return token_bucket.take(state.retry_budget)


def handle_due(
    state: EntryState,
    pending: PendingRequest,
    now_s: float,
) -> list[Effect]:
    """Look at a request whose time has come.

    Args:
        state: The entry.
        pending: The request.
        now_s: The time.

    Returns:
        Withdrawals, a second attempt, the end, or nothing.
    """
    if now_s >= pending.deadline_s:
        return _end_overdue(state, pending)
    if now_s >= compute_withdraw_at_s(pending):
        return _withdraw(state, pending)
    if pending.stage is RequestStage.open and has_open_attempt(pending):
        return _suspect(state, pending, now_s)
    return []


def _end_overdue(state: EntryState, pending: PendingRequest) -> list[Effect]:
    if pending.stage is RequestStage.claiming:
        return finish(
            state,
            pending,
            OutcomeKind.not_run,
            'the claim was not recorded in time',
        )
    if has_open_attempt(pending):
        pending.has_unknown = True
    return finish_unserved(state, pending, 'no answer in time')


def _withdraw(state: EntryState, pending: PendingRequest) -> list[Effect]:
    schedule(state, pending, pending.deadline_s)
    if pending.stage is not RequestStage.open:
        return []
    pending.stage = RequestStage.withdrawing
    effects: list[Effect] = []
    for attempt in pending.attempts.values():
        if not attempt.is_ended:
            attempt.is_withdrawn = True
            effects.append(create_withdrawal(pending, attempt))
    return effects


def _suspect(
    state: EntryState,
    pending: PendingRequest,
    now_s: float,
) -> list[Effect]:
    request = pending.request
    suspect_s = compute_suspect_s(state, request.service)
    open_attempts = [
        attempt for attempt in pending.attempts.values() if not attempt.is_ended
    ]
    newest = open_attempts[-1]
    if now_s - newest.sent_at_s < suspect_s:
        return []
    effects = _strike(state, pending, newest, now_s)
    if request.is_idempotent and _may_retry(state, pending, now_s):
        effects.append(
            RecordEvent('entry.hedged', request.request_id, newest.worker)
        )
        effects.extend(dispatch(state, pending, now_s))
    return effects


def _strike(
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
    if guard_selection.strike(guard, peers, now_s):
        return [RecordEvent('entry.ejected', attempt.worker, 'no answer')]
    return []


def index_guards(state: EntryState) -> None:
    """Index the guards by service again after one came, went or changed.

    Args:
        state: The entry.
    """
    state.guards_by_service = {}
    for guard in state.guards.values():
        state.guards_by_service.setdefault(guard.status.service, []).append(
            guard
        )
