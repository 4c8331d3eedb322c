"""Deterministic state transitions of the evacuations of data centres."""

from cumintack.state.commands import Outcome
from cumintack.state.errors import ErrorCode, StepError
from cumintack.state.workflows import (
    NO_EVACUATION,
    Evacuation,
    SetEvacuation,
    WorkflowTables,
)

STEP = 'evacuation.set'
# Data centres whose evacuations are kept. Deployments have a few; the limit
# keeps a sender that invents names from filling the tables.
MAX_DATA_CENTRES = 256


def set_evacuation(
    tables: WorkflowTables,
    index: int,
    operation: SetEvacuation,
    now_ms: int,
) -> Outcome:
    """Begin or end an evacuation unless it has changed since it was read.

    The sender may have given up on a command that is still under way, and the
    operator may have changed the evacuation since through another process. The
    expected revision keeps such a command from undoing the later change.

    Args:
        tables: The workflows, modified in place.
        index: Index of the log entry.
        operation: The operation.
        now_ms: Wall time at which the leader proposed it, in ms since 1970.

    Returns:
        The outcome; a conflict names the current revision.
    """
    data_centre = operation.data_centre
    current = tables.evacuations.get(data_centre, NO_EVACUATION)
    if operation.expected_revision not in {None, current.revision}:
        error = StepError(
            ErrorCode.conflict,
            STEP,
            data_centre,
            f'the evacuation is at revision {current.revision}',
            current.revision,
        )
        return Outcome(index, error)
    is_new = data_centre not in tables.evacuations
    if is_new and len(tables.evacuations) >= MAX_DATA_CENTRES:
        error = StepError(
            ErrorCode.invalid,
            STEP,
            data_centre,
            f'more than {MAX_DATA_CENTRES} data centres',
        )
        return Outcome(index, error)
    tables.evacuations[data_centre] = Evacuation(
        operation.is_active, index, now_ms
    )
    return Outcome(index)
