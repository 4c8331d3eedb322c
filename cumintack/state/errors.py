"""Errors as records.

An error names the step and the peer at which it arose, because an operator
who reads one line of a log has to know where to look next. Errors are
returned beside the outcome and are not thrown across layers.
"""

import enum

import msgspec


class ErrorCode(enum.Enum):
    """Reasons for which a step can fail."""

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
    """An error with the step and the peer at which it arose.

    Attributes:
        code: The reason.
        step: The step that failed, such as ``config.set``.
        peer: The process or party that the step concerned.
        detail: One sentence for people.
        version: The current version, for conflicts.
    """

    code: ErrorCode
    step: str
    peer: str = ''
    detail: str = ''
    version: int = 0


def format_error(error: StepError) -> str:
    """Render an error as one line.

    Args:
        error: The error to render.

    Returns:
        A line that starts with the step.
    """
    where = f'{error.step} ({error.peer})' if error.peer else error.step
    return f'{where}: {error.code.value}: {error.detail}'
