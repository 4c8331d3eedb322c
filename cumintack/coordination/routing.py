"""Routing of requests at an entry, from arrival to one of three outcomes.

An answer is matched by request identifier and attempt number only. After an
attempt that its guard reports as not run, any request may be retried at
another guard; after one with an unknown outcome, only an idempotent request.
Open attempts are withdrawn shortly before the deadline, so that the caller
gets "not run" instead of "unknown" where no attempt was run.
"""

from cumintack.coordination import _request_lifecycle as lifecycle
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
    PendingRequest,
    RequestStage,
    RoutingPolicy,
)
from cumintack.protocol.messages import GuardStatus
from cumintack.state.claims import Claim
from cumintack.state.commands import ClaimRequest, Outcome
from cumintack.state.configuration import get_numeric_setting
from cumintack.state.requests import Answer, OutcomeKind, Request

# Share of a request's timeout that its claim may take to be committed.
CLAIM_SHARE_OF_TIMEOUT = 0.5


def handle_request(
    state: EntryState,
    request: Request,
    now_s: float,
) -> list[Effect]:
    """Handle a new request of a caller.

    Args:
        state: The state of the entry.
        request: The request.
        now_s: The current time.

    Returns:
        A dispatch, a proposed claim of the idempotency key, or a refusal.
    """
    ratio = get_numeric_setting(state.configuration, 'entry.retry_ratio')
    token_bucket.add_retry_credit(state.retry_budget, ratio, now_s)
    refusal = entry_limits.find_refusal(state, request, now_s)
    if refusal is not None:
        return [
            refusal,
            RecordEvent('entry.refused', request.request_id, refusal.reason),
        ]
    pending = PendingRequest(request, now_s + request.timeout_s, now_s)
    state.pending[request.request_id] = pending
    entry_limits.add_in_flight(state, request)
    lifecycle.schedule_check(
        state, pending, lifecycle.compute_withdraw_at_s(pending)
    )
    if request.is_idempotent or not request.idempotency_key:
        return lifecycle.dispatch(state, pending, now_s)
    pending.stage = RequestStage.claiming
    claim_key = f'{request.service}:{request.team}:{request.idempotency_key}'
    pending.claim_key = claim_key
    return [
        ProposeOperation(
            request.request_id,
            ClaimRequest(claim_key, request.request_id, state.name),
            request.timeout_s * CLAIM_SHARE_OF_TIMEOUT,
        ),
    ]


def handle_claim_outcome(
    state: EntryState,
    request_id: str,
    outcome: Outcome | None,
    now_s: float,
) -> list[Effect]:
    """Handle the outcome of a proposed claim.

    Args:
        state: The state of the entry.
        request_id: The request.
        outcome: The outcome, or None if there was no quorum in time.
        now_s: The current time.

    Returns:
        The dispatch if the claim was granted, the recorded answer of an
        earlier request with the same key, or a refusal.
    """
    pending = state.pending.get(request_id)
    if pending is None or pending.stage is not RequestStage.claiming:
        return []
    claim = outcome.claim if outcome else None
    if claim is None:
        return lifecycle.finish(
            state,
            pending,
            OutcomeKind.not_run,
            'the claim was not recorded',
        )
    if claim.request_id == request_id:
        pending.is_claimed = True
        pending.stage = RequestStage.open
        return lifecycle.dispatch(state, pending, now_s)
    return _answer_from_claim(state, pending, claim)


def _answer_from_claim(
    state: EntryState,
    pending: PendingRequest,
    claim: Claim,
) -> list[Effect]:
    lifecycle.remove_pending(state, pending)
    request_id = pending.request.request_id
    event = RecordEvent('entry.repeated', request_id, claim.request_id)
    recorded_answer = claim.answer
    if recorded_answer is None or not recorded_answer.is_body_kept:
        reason = 'already under way'
        if recorded_answer is not None:
            reason = 'completed before, but the answer was too large to keep'
        elif claim.is_unknown:
            reason = 'an earlier request with this key has an unknown outcome'
        return [
            Reply(
                request_id,
                OutcomeKind.unknown,
                reason,
                is_conflict=True,
            ),
            event,
        ]
    return [
        Reply(
            request_id,
            OutcomeKind.completed,
            'recorded',
            recorded_answer.status,
            lifecycle.create_content_headers(recorded_answer.content_type),
            recorded_answer.body,
        ),
        event,
    ]


def handle_answer(
    state: EntryState,
    answer: Answer,
    now_s: float,
) -> list[Effect]:
    """Handle an answer of a guard.

    Args:
        state: The state of the entry.
        answer: The answer.
        now_s: The current time.

    Returns:
        The reply to the caller or another attempt; for a late or repeated
        answer only an event.
    """
    guard = state.guards.get(answer.worker)
    pending = state.pending.get(answer.request_id)
    attempt = pending.attempts.get(answer.attempt) if pending else None
    if pending is None or attempt is None or attempt.is_ended:
        return [RecordEvent('entry.late', answer.request_id, answer.kind.value)]
    if attempt.worker != answer.worker:
        return [
            RecordEvent('entry.mismatched', answer.request_id, answer.worker)
        ]
    attempt.is_ended = True
    effects: list[Effect] = []
    if guard is not None:
        effects.extend(_record_guard_answer(state, guard, answer, now_s))
    match answer.kind:
        case OutcomeKind.completed:
            effects.extend(lifecycle.complete(state, pending, answer))
        case OutcomeKind.not_run:
            effects.extend(
                lifecycle.retry_or_finish(state, pending, answer.reason, now_s),
            )
        case OutcomeKind.unknown:
            pending.has_unknown = True
            effects.extend(
                lifecycle.retry_or_finish(state, pending, answer.reason, now_s),
            )
    return effects


def _record_guard_answer(
    state: EntryState,
    guard: guard_selection.GuardView,
    answer: Answer,
    now_s: float,
) -> list[Effect]:
    guard.in_flight = max(0, guard.in_flight - 1)
    guard.load = answer.queued + answer.busy
    guard.own_in_flight_at_report = guard.in_flight
    guard.last_seen_at_s = max(guard.last_seen_at_s, now_s)
    if answer.kind is not OutcomeKind.completed:
        return []
    peers = state.guards_by_service.get(guard.status.service, [])
    lifecycle.update_latency(state, guard.status.service, answer.served_s)
    if state.policy is RoutingPolicy.round_robin:
        return []
    if guard_selection.record_answer(guard, answer.served_s, peers, now_s):
        return [RecordEvent('entry.ejected', guard.status.worker, 'slow')]
    return []


def handle_guard_status(
    state: EntryState,
    status: GuardStatus,
    now_s: float,
) -> list[Effect]:
    """Handle a heartbeat of a guard.

    Args:
        state: The state of the entry.
        status: The heartbeat.
        now_s: The current time.

    Returns:
        Events, and retries or ends of requests whose attempts were lost with
        an earlier incarnation of the guard.
    """
    guard = state.guards.get(status.worker)
    effects: list[Effect] = []
    if guard is None:
        state.known_guards.add(status.worker)
        state.guards[status.worker] = guard_selection.GuardView(status, now_s)
        lifecycle.index_guards(state)
        return [
            RecordEvent('entry.guard_joined', status.worker, status.service)
        ]
    previous = guard.status
    guard.status = status
    guard.last_seen_at_s = now_s
    guard.load = status.busy + status.queued
    guard.own_in_flight_at_report = guard.in_flight
    if previous.service != status.service:
        lifecycle.index_guards(state)
    if previous.incarnation != status.incarnation:
        effects.extend(_end_lost_attempts(state, status.worker, now_s))
        guard.in_flight = 0
        guard.own_in_flight_at_report = 0
        guard.consecutive_slow = 0
    if status.is_leaving and not previous.is_leaving:
        effects.append(RecordEvent('entry.guard_leaving', status.worker))
    return effects


def handle_guard_lost(
    state: EntryState,
    worker: str,
    now_s: float,
) -> list[Effect]:
    """Remove a guard that stopped or was silent for too long.

    Args:
        state: The state of the entry.
        worker: The worker of the guard.
        now_s: The current time.

    Returns:
        An event, and retries or ends of requests with attempts at the guard.
    """
    if state.guards.pop(worker, None) is None:
        return []
    lifecycle.index_guards(state)
    effects: list[Effect] = [RecordEvent('entry.guard_gone', worker)]
    effects.extend(_end_lost_attempts(state, worker, now_s))
    return effects


def _end_lost_attempts(
    state: EntryState,
    worker: str,
    now_s: float,
) -> list[Effect]:
    effects: list[Effect] = []
    for pending in list(state.pending.values()):
        lost = [
            attempt
            for attempt in pending.attempts.values()
            if attempt.worker == worker and not attempt.is_ended
        ]
        if not lost:
            continue
        for attempt in lost:
            attempt.is_ended = True
        pending.has_unknown = True
        effects.extend(
            lifecycle.retry_or_finish(
                state,
                pending,
                'the guard was lost',
                now_s,
            ),
        )
    return effects


def handle_peer_reconnected(
    state: EntryState,
    worker: str,
    now_s: float,
) -> list[Effect]:
    """Resend the messages of open attempts over the new link to a guard.

    The guard keeps records of attempts, so one that did arrive over the
    previous link is not started twice.

    Args:
        state: The state of the entry.
        worker: The worker of the guard.
        now_s: The current time.

    Returns:
        The dispatches and withdrawals to resend.
    """
    effects: list[Effect] = []
    for pending in state.pending.values():
        for attempt in pending.attempts.values():
            if attempt.worker != worker or attempt.is_ended:
                continue
            effects.append(_create_resent_message(pending, attempt, now_s))
    return effects


def _create_resent_message(
    pending: PendingRequest,
    attempt: AttemptState,
    now_s: float,
) -> Send:
    if attempt.is_withdrawn:
        return lifecycle.create_withdrawal(pending, attempt)
    return lifecycle.create_dispatch(pending, attempt, now_s)


def handle_tick(state: EntryState, now_s: float) -> list[Effect]:
    """Handle due checks of requests, and remove silent guards.

    Args:
        state: The state of the entry.
        now_s: The current time.

    Returns:
        Withdrawals, retries, replies and events.
    """
    effects: list[Effect] = []
    for request_id in lifecycle.pop_due_requests(state, now_s):
        pending = state.pending.get(request_id)
        if pending is not None:
            effects.extend(lifecycle.handle_due_check(state, pending, now_s))
    silent = [
        worker
        for worker, guard in state.guards.items()
        if now_s - guard.last_seen_at_s > guard_selection.GUARD_TIMEOUT_S
    ]
    for worker in silent:
        effects.extend(handle_guard_lost(state, worker, now_s))
    return effects
