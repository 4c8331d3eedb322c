"""Orders for one worker: the complete list of runs that it should run."""

from collections.abc import Container

import msgspec

from cumintack.coordination.runs.admission_advice import (
    AdviceState,
    find_valid_ticket,
)
from cumintack.coordination.runs.colocation import list_learned_weights
from cumintack.coordination.runs.interference_model import InterferenceModel
from cumintack.coordination.runs.unanswered_calls import MAX_CALL_DELAY_S
from cumintack.coordination.runs.worker_views import (
    PlacedRun,
    PlacedRuns,
    WorkerView,
)
from cumintack.protocol.run_messages import (
    EndedRun,
    RunDetails,
    RunKey,
    RunOrder,
    RunOrders,
)
from cumintack.state.queues import get_health_path
from cumintack.state.workflows import (
    WorkflowStatus,
    WorkflowTables,
    get_task,
    parse_task_id,
)


# Seconds after a run was first listed within which a start of it may be carried
# out; the last one may have been on its way to a thread that makes it.
START_DELAY_S = MAX_CALL_DELAY_S + 1


class OrderContext(msgspec.Struct, frozen=True):
    """State of the leader from which orders are created.

    Attributes:
        term: The term of the leader.
        orders_number: Number of the orders within the term.
        lease_s: Duration of the lease that the orders grant.
        stop_reasons: Runs that are stopped in order to be placed elsewhere,
            each with the reason.
        proposed_ends: Runs whose end is proposed. It may be committed at any
            time, so that none of them may start any more.
        interference: The interference model of pairs of images.
        advice: The advice received from the external adviser.
        now_s: Current time of the monotonic clock, in seconds.
    """

    term: int
    orders_number: int
    lease_s: float
    stop_reasons: dict[RunKey, str]
    proposed_ends: Container[RunKey]
    interference: InterferenceModel
    advice: AdviceState
    now_s: float


def create_run_orders(
    context: OrderContext,
    tables: WorkflowTables,
    view: WorkerView,
    placed_runs: PlacedRuns,
) -> RunOrders:
    """Create the orders for a worker.

    Args:
        context: State of the leader.
        tables: The replicated workflow tables.
        view: The worker as last reported.
        placed_runs: The recorded runs on it.

    Returns:
        The orders, which answer the latest report of the worker.
    """
    wanted = []
    stops = []
    earlier = []
    for placed in placed_runs.values():
        key = placed.key
        if placed.record.lifetime != view.facts.lifetime:
            earlier.append(key)
            continue
        workflow = tables.workflows.get(placed.task.step_key.workflow_id)
        is_active = (
            workflow is not None and workflow.status is WorkflowStatus.active
        )
        is_ending = key in context.stop_reasons or key in context.proposed_ends
        if not is_active or is_ending:
            stops.append(key)
        else:
            details = None
            if key not in view.runs_with_details:
                details = _create_details(context, tables, placed)
            wanted.append(RunOrder(key, details, _is_start_past(view, key)))
    return RunOrders(
        context.term,
        context.orders_number,
        view.facts.lifetime,
        view.sent_at_s,
        context.lease_s,
        _get_settled_number(tables, view),
        tuple(wanted),
        tuple(stops),
        list_learned_weights(placed_runs, context.interference),
        tuple(earlier) if view.is_guard_restarted else (),
        view.fence,
        get_health_path(tables.configuration, view.facts.pool),
        view.guard_incarnation,
    )


def _is_start_past(view: WorkerView, key: RunKey) -> bool:
    """Return whether no start of a run can still be carried out.

    A guard makes no start of a run that its worker has listed.
    """
    started_by_s = view.started_by_s.get(key, float('inf'))
    return view.sent_at_s > started_by_s + START_DELAY_S


def _create_details(
    context: OrderContext,
    tables: WorkflowTables,
    placed: PlacedRun,
) -> RunDetails:
    workflow = tables.workflows[placed.task.step_key.workflow_id]
    step = placed.step
    ticket = find_valid_ticket(
        context.advice,
        placed.task.step_key,
        placed.record.lifetime,
        context.now_s,
    )
    return RunDetails(
        workflow.spec.program,
        placed.record.checkpoint if step.is_checkpointed else '',
        ticket or '',
        step.is_best_effort,
        step.target_ms,
        step.image,
        step.need.cores_milli,
        bool(placed.record.crashed_on),
        step.is_long_running,
    )


def _get_settled_number(tables: WorkflowTables, view: WorkerView) -> int:
    settled_number = 0
    for ended in sorted(view.ended, key=_get_number):
        if _is_unrecorded_run(tables, view, ended.key):
            return min(settled_number, ended.number - 1)
        settled_number = ended.number
    return settled_number


def _get_number(ended: EndedRun) -> int:
    return ended.number


def _is_unrecorded_run(
    tables: WorkflowTables,
    view: WorkerView,
    key: RunKey,
) -> bool:
    task_key = parse_task_id(key.task_id)
    record = get_task(tables, task_key) if task_key else None
    if record is None:
        return False
    # The run may be on a later incarnation than the recorded one: it may have
    # carried out a start that was meant for the previous incarnation.
    return record.run == key.run and record.guard == view.guard
