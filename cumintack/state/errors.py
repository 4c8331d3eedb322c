"""Errors as values.

An error names the step that failed and the peer involved, so that a single
log line tells an operator where to look next. Errors are returned, not raised
across layers.
"""

import enum

import msgspec


class ErrorCode(enum.Enum):
    """Reason for which a step failed."""

    invalid = 'invalid'
    conflict = 'conflict'
    not_found = 'not-found'
    not_leader = 'not-leader'
    no_quorum = 'no-quorum'
    over_quota = 'over-quota'
    impossible = 'impossible'
    expired = 'expired'
    too_large = 'too-large'
    corrupt = 'corrupt'
    forbidden = 'forbidden'
    unavailable = 'unavailable'
    timeout = 'timeout'


class StepError(msgspec.Struct, frozen=True):
    """An error with the step that failed and the peer involved.

    Attributes:
        code: The reason.
        step: The step that failed, such as ``config.set``.
        peer: The process, object or person that the error concerns.
        detail: Human-readable description.
        version: The current version, for version conflicts.
    """

    code: ErrorCode
    step: str
    peer: str = ''
    detail: str = ''
    version: int = 0


def format_error(error: StepError) -> str:
    """Format an error as one line.

    Args:
        error: The error to format.

    Returns:
        A line that starts with the step.
    """
    where = f'{error.step} ({error.peer})' if error.peer else error.step
    return f'{where}: {error.code.value}: {error.detail}'
