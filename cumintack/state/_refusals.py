"""Refused commands on workflows, kept for the copies of them under way.

An accepted command has no further effect when a copy of it is applied. A
refused one might be accepted then, although its caller was told that it was
refused.
"""

from cumintack.state.commands import Command
from cumintack.state.errors import StepError
from cumintack.state.workflows import Refusal, WorkflowTables

# Ms for which a refusal is kept. Senders stop sending copies after seconds, and
# a link that holds one up for as long is closed.
REFUSAL_RETENTION_MS = 60000


def find_refusal(tables: WorkflowTables, command: Command) -> Refusal | None:
    """Find the refusal of an earlier copy of a command.

    Args:
        tables: The workflows.
        command: The command.

    Returns:
        The refusal; None if no copy was refused.
    """
    return tables.refusals.get(_get_key(command))


def record_refusal(
    tables: WorkflowTables, command: Command, index: int, error: StepError
) -> None:
    """Record that a command is refused, and forget old refusals.

    Args:
        tables: The workflows, modified in place.
        command: The command; without a session it has no copies.
        index: Index of its log entry.
        error: Why it is refused.
    """
    if not command.session:
        return
    oldest_ms = command.proposed_at_ms - REFUSAL_RETENTION_MS
    expired = []
    for key, refusal in tables.refusals.items():
        if refusal.refused_at_ms >= oldest_ms:
            break
        expired.append(key)
    for expired_key in expired:
        tables.refusals.pop(expired_key)
    tables.refusals[_get_key(command)] = Refusal(
        index, command.proposed_at_ms, error
    )


def _get_key(command: Command) -> str:
    return f'{command.session}/{command.sequence}'
