"""Requests at an entry: from arrival to one of three outcomes.

An answer is matched to its request and attempt and to nothing else. An
attempt that a guard says was not run may be tried elsewhere for any request;
one whose end is unknown only if the request is idempotent. Before the time
of a request is over its open attempts are withdrawn, so that the caller
hears "not run" where that is the truth.
"""

from cumintack.coordination import _request_lifecycle as steps
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

CLAIM_SHARE_OF_TIMEOUT = 0.5


def handle_request(
    state: EntryState,
    request: Request,
    now_s: float,
) -> list[Effect]:
    """Take a request of a caller.

    Args:
        state: The entry.
        request: The request.
        now_s: The time.

    Returns:
        A dispatch, a claim to be made first, or a refusal.
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
    steps.schedule(state, pending, steps.compute_withdraw_at_s(pending))
    if request.is_idempotent or not request.idempotency_key:
        return steps.dispatch(state, pending, now_s)
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
    """Take the outcome of a claim.

    Args:
        state: The entry.
        request_id: The request.
        outcome: The outcome, or None if there was no quorum in time.
        now_s: The time.

    Returns:
        The dispatch, the recorded answer, or a refusal.
    """
    pending = state.pending.get(request_id)
    if pending is None or pending.stage is not RequestStage.claiming:
        return []
    claim = outcome.claim if outcome else None
    if claim is None:
        return steps.finish(
            state,
            pending,
            OutcomeKind.not_run,
            'the claim was not recorded',
        )
    if claim.request_id == request_id:
        pending.is_claimed = True
        pending.stage = RequestStage.open
        return steps.dispatch(state, pending, now_s)
    return _answer_from_claim(state, pending, claim)


def _answer_from_claim(
    state: EntryState,
    pending: PendingRequest,
    claim: Claim,
) -> list[Effect]:
    steps.forget(state, pending)
    request_id = pending.request.request_id
    note = RecordEvent('entry.repeated', request_id, claim.request_id)
    recorded = claim.answer
    if recorded is None or not recorded.is_body_kept:
        reason = 'already under way'
        if recorded is not None:
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
            note,
        ]
    return [
        Reply(
            request_id,
            OutcomeKind.completed,
            'recorded',
            recorded.status,
            steps.create_content_headers(recorded.content_type),
            recorded.body,
        ),
        note,
    ]


def handle_answer(
    state: EntryState,
    answer: Answer,
    now_s: float,
) -> list[Effect]:
    """Take an answer of a guard.

    Args:
        state: The entry.
        answer: The answer.
        now_s: The time.

    Returns:
        The reply to the caller, another attempt, or nothing for an answer
        that is late or repeated.
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
        effects.extend(_release(state, guard, answer, now_s))
    match answer.kind:
        case OutcomeKind.completed:
            effects.extend(steps.complete(state, pending, answer))
        case OutcomeKind.not_run:
            effects.extend(
                steps.retry_or_finish(state, pending, answer.reason, now_s),
            )
        case OutcomeKind.unknown:
            pending.has_unknown = True
            effects.extend(
                steps.retry_or_finish(state, pending, answer.reason, now_s),
            )
    return effects


def _release(
    state: EntryState,
    guard: guard_selection.GuardView,
    answer: Answer,
    now_s: float,
) -> list[Effect]:
    guard.in_flight = max(0, guard.in_flight - 1)
    guard.load = answer.queued + answer.busy
    guard.own_in_flight_at_report = guard.in_flight
    guard.heard_at_s = max(guard.heard_at_s, now_s)
    if answer.kind is not OutcomeKind.completed:
        return []
    peers = state.guards_by_service.get(guard.status.service, [])
    steps.update_latency(state, guard.status.service, answer.served_s)
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
    """Take the heartbeat of a guard.

    Args:
        state: The entry.
        status: The heartbeat.
        now_s: The time.

    Returns:
        What follows for attempts at an earlier incarnation of the guard.
    """
    guard = state.guards.get(status.worker)
    effects: list[Effect] = []
    if guard is None:
        state.known.add(status.worker)
        state.guards[status.worker] = guard_selection.GuardView(status, now_s)
        steps.index_guards(state)
        return [
            RecordEvent('entry.guard_joined', status.worker, status.service)
        ]
    before = guard.status
    guard.status = status
    guard.heard_at_s = now_s
    guard.load = status.busy + status.queued
    guard.own_in_flight_at_report = guard.in_flight
    if before.service != status.service:
        steps.index_guards(state)
    if before.incarnation != status.incarnation:
        effects.extend(_lose_attempts(state, status.worker, now_s))
        guard.in_flight = 0
        guard.own_in_flight_at_report = 0
        guard.strikes = 0
    if status.is_leaving and not before.is_leaving:
        effects.append(RecordEvent('entry.guard_leaving', status.worker))
    return effects


def handle_guard_lost(
    state: EntryState,
    worker: str,
    now_s: float,
) -> list[Effect]:
    """Forget a guard that said goodbye or was silent for too long.

    Args:
        state: The entry.
        worker: The guard.
        now_s: The time.

    Returns:
        What follows for its attempts.
    """
    if state.guards.pop(worker, None) is None:
        return []
    steps.index_guards(state)
    effects: list[Effect] = [RecordEvent('entry.guard_gone', worker)]
    effects.extend(_lose_attempts(state, worker, now_s))
    return effects


def _lose_attempts(
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
            steps.retry_or_finish(
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
    """Send open attempts again over the new link of a guard.

    The guard remembers attempts, so that one which did arrive over the old
    link is not started twice.

    Args:
        state: The entry.
        worker: The guard that dialled anew.
        now_s: The time.

    Returns:
        The dispatches and withdrawals.
    """
    effects: list[Effect] = []
    for pending in state.pending.values():
        for attempt in pending.attempts.values():
            if attempt.worker != worker or attempt.is_ended:
                continue
            effects.append(_resend(pending, attempt, now_s))
    return effects


def _resend(
    pending: PendingRequest,
    attempt: AttemptState,
    now_s: float,
) -> Send:
    if attempt.is_withdrawn:
        return steps.create_withdrawal(pending, attempt)
    return steps.create_dispatch(pending, attempt, now_s)


def handle_tick(state: EntryState, now_s: float) -> list[Effect]:
    """Let time pass: withdrawals, deadlines, slow attempts, silent guards.

    Args:
        state: The entry.
        now_s: The time.

    Returns:
        What follows.
    """
    effects: list[Effect] = []
    for request_id in steps.pop_due_requests(state, now_s):
        pending = state.pending.get(request_id)
        if pending is not None:
            effects.extend(steps.handle_due(state, pending, now_s))
    gone = [
        worker
        for worker, guard in state.guards.items()
        if now_s - guard.heard_at_s > guard_selection.GUARD_TIMEOUT_S
    ]
    for worker in gone:
        effects.extend(handle_guard_lost(state, worker, now_s))
    return effects
