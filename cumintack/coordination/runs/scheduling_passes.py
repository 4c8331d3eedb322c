"""Creates scheduling passes over the state of the leader."""

from cumintack.coordination.runs.placement import (
    MIN_ORDERED_SPEED,
    MIN_SPEED,
    SchedulingPass,
)
from cumintack.coordination.runs.run_leadership_state import RunLeadership
from cumintack.coordination.runs.waiting.step_ranking import (
    DUE_TIME_ORDER,
    RemainingWorkOrder,
    StepOrder,
)
from cumintack.state.workflows import WorkflowTables


def create_pass(
    leadership: RunLeadership,
    tables: WorkflowTables,
    now_s: float,
) -> SchedulingPass:
    """Create a pass over the waiting steps.

    Args:
        leadership: The state of the leader.
        tables: The replicated workflow tables.
        now_s: Current time of the monotonic clock, in seconds.

    Returns:
        The pass, without starts.
    """
    return SchedulingPass(
        tables,
        leadership.views,
        leadership.index,
        leadership.proposed_starts,
        leadership.interference,
        leadership.advice,
        now_s,
        min_speed=(
            MIN_ORDERED_SPEED
            if leadership.settings.is_ordered_by_work
            else MIN_SPEED
        ),
        is_packed=leadership.settings.is_packed,
        reservations=leadership.reservations,
    )


def get_step_order(leadership: RunLeadership) -> StepOrder:
    """Get the order in which waiting steps are placed.

    Args:
        leadership: The state of the leader.

    Returns:
        The order that the settings ask for.
    """
    if leadership.settings.is_ordered_by_work:
        return RemainingWorkOrder(leadership.run_times)
    return DUE_TIME_ORDER
