"""Cancellations of unknown workflows, kept for submissions under way.

A submission may be delivered after the cancellation of its workflow: an entry
stood still before it read the request, or its link was cut. The caller was told
that there is no such workflow, so that it must not begin then.
"""

from cumintack.state.workflows import WorkflowTables

# Ms for which a cancellation is kept: twice the age at which a replica drops a
# submission, since the clocks of two leaders differ.
CANCELLATION_RETENTION_MS = 120000
# Most cancellations that are kept, about 1 MB. A further one is refused, so
# that no cancellation that a caller relies on is forgotten.
MAX_CANCELLATIONS = 20000


def record_early_cancellation(
    tables: WorkflowTables, workflow_id: str, now_ms: int
) -> bool:
    """Record that an unknown workflow is cancelled, and forget old ones.

    Args:
        tables: The workflows, modified in place.
        workflow_id: The workflow.
        now_ms: Wall time at which the leader proposed it, in ms since 1970.

    Returns:
        Whether it is recorded; false if too many are kept already.
    """
    cancellations = tables.early_cancellations
    expired = []
    for cancelled_id, cancelled_at_ms in cancellations.items():
        if not _is_expired(cancelled_at_ms, now_ms):
            break
        expired.append(cancelled_id)
    for expired_id in expired:
        cancellations.pop(expired_id)
    cancellations.pop(workflow_id, None)
    if len(cancellations) >= MAX_CANCELLATIONS:
        return False
    cancellations[workflow_id] = now_ms
    return True


def is_cancelled_early(
    tables: WorkflowTables, workflow_id: str, now_ms: int
) -> bool:
    """Tell whether a workflow was cancelled before its submission arrived.

    Args:
        tables: The workflows.
        workflow_id: The workflow.
        now_ms: Wall time at which the leader proposed the submission, in ms
            since 1970.

    Returns:
        Whether it must not be accepted any more.
    """
    cancelled_at_ms = tables.early_cancellations.get(workflow_id)
    if cancelled_at_ms is None:
        return False
    return not _is_expired(cancelled_at_ms, now_ms)


def _is_expired(cancelled_at_ms: int, now_ms: int) -> bool:
    return cancelled_at_ms < now_ms - CANCELLATION_RETENTION_MS
