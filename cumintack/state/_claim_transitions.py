"""State transitions of claims."""

import msgspec

from cumintack.state.claims import MAX_RECORDED_BODY_BYTES, Claim
from cumintack.state.commands import Outcome, SettleClaim
from cumintack.state.errors import ErrorCode, StepError
from cumintack.state.tables import ControlTables

CLAIM_RETENTION_MS = 86400000
MAX_EXPIRED_PER_COMMAND = 8


def claim_request(tables: ControlTables, index: int, claim: Claim) -> Outcome:
    """Claim a key, or return the claim that already holds it.

    Args:
        tables: The replicated state, modified in place.
        index: Index of the log entry.
        claim: The requested claim.

    Returns:
        The claim that holds the key after this command.
    """
    _remove_expired(tables, claim.claimed_at_ms)
    existing = tables.claims.setdefault(claim.claim_key, claim)
    return Outcome(index, claim=existing)


def _remove_expired(tables: ControlTables, now_ms: int) -> None:
    expired = []
    for claim in tables.claims.values():
        if now_ms - claim.claimed_at_ms <= CLAIM_RETENTION_MS:
            break
        expired.append(claim.claim_key)
        if len(expired) >= MAX_EXPIRED_PER_COMMAND:
            break
    for claim_key in expired:
        tables.claims.pop(claim_key)


def settle_claim(
    tables: ControlTables,
    index: int,
    operation: SettleClaim,
) -> Outcome:
    """Record the outcome of a claimed request.

    A recorded answer is never replaced.

    Args:
        tables: The replicated state, modified in place.
        index: Index of the log entry.
        operation: The outcome.

    Returns:
        An empty outcome, or an error if the request does not hold the claim.
    """
    existing = tables.claims.get(operation.claim_key)
    if existing is None or existing.request_id != operation.request_id:
        return Outcome(
            index,
            StepError(
                ErrorCode.not_found,
                'claim.settle',
                operation.request_id,
                'this request does not hold the claim',
            ),
        )
    if existing.answer is not None:
        return Outcome(index)
    if not operation.has_run:
        tables.claims.pop(operation.claim_key)
        return Outcome(index)
    updated = _apply_outcome(existing, operation)
    tables.claims[operation.claim_key] = updated
    return Outcome(index)


def _apply_outcome(existing: Claim, operation: SettleClaim) -> Claim:
    answer = operation.answer
    if answer is None:
        return msgspec.structs.replace(existing, is_unknown=True)
    if len(answer.body) > MAX_RECORDED_BODY_BYTES:
        answer = msgspec.structs.replace(
            answer,
            body=b'',
            is_body_kept=False,
        )
    return msgspec.structs.replace(existing, answer=answer, is_unknown=False)
