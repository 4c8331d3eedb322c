"""Log lines and counters of the leader for workflows and runs."""

import structlog

from cumintack.coordination.effects import ProposeAsLeader
from cumintack.coordination.runs.run_leadership import RunEffect
from cumintack.coordination.runs.run_leadership_state import (
    RunLeadership,
)
from cumintack.coordination.runs.waiting.room_reservation import Reservations
from cumintack.coordination.runs.waiting.run_time_estimates import (
    RunTimeModel,
)
from cumintack.coordination.runs.waiting.step_ranking import (
    compute_objective_ms,
)
from cumintack.daemon.log_values import convert_to_ms
from cumintack.protocol.run_messages import RunKey, RunReport
from cumintack.state.workflows import (
    NO_EVACUATION,
    AcceptWorkflow,
    CancelWorkflow,
    CrashEvidence,
    RecordRuns,
    ReplaceQueues,
    RunEnd,
    RunEndKind,
    SetEvacuation,
    StepKey,
    StepSpec,
    WorkflowStatus,
    WorkflowTables,
)
from cumintack.transport.metrics import Metrics

# Keeps a line that lists runs within the longest line that is logged.
MAX_RUNS_PER_LINE = 40

logger = structlog.get_logger()


def log_operation(tables: WorkflowTables, operation: object) -> None:
    """Log an operation that was applied.

    Args:
        tables: The workflows after the operation.
        operation: The operation.
    """
    match operation:
        case AcceptWorkflow():
            _log_accepted(tables, operation)
        case CancelWorkflow():
            logger.info(
                'control: cancelled',
                workflow=operation.workflow_id,
                is_known=operation.workflow_id in tables.workflows,
            )
        case ReplaceQueues():
            logger.info(
                'control: queues replaced',
                asked=operation.configuration.version,
                in_force=tables.configuration.version,
            )
        case SetEvacuation():
            _log_evacuation(tables, operation)
        case RecordRuns():
            _log_runs(tables, operation)


def count_operation(metrics: Metrics, operation: object) -> None:
    """Count an operation that was applied.

    Args:
        metrics: The metrics of the process.
        operation: The operation.
    """
    match operation:
        case AcceptWorkflow():
            metrics.count('workflow.handed-in')
        case CancelWorkflow():
            metrics.count('workflow.cancelled')
        case SetEvacuation(is_active=True):
            metrics.count('evacuation.begun')
        case SetEvacuation():
            metrics.count('evacuation.ended')
        case RecordRuns():
            metrics.count('run.placed', len(operation.starts))
            for end in operation.ends:
                metrics.count(f'run.{end.kind.value}')


def _log_evacuation(tables: WorkflowTables, operation: SetEvacuation) -> None:
    evacuation = tables.evacuations.get(operation.data_centre, NO_EVACUATION)
    logger.info(
        'control: evacuation',
        data_centre=operation.data_centre,
        requested=operation.is_active,
        expected_revision=operation.expected_revision,
        is_active=evacuation.is_active,
        revision=evacuation.revision,
    )


def _log_accepted(tables: WorkflowTables, operation: AcceptWorkflow) -> None:
    workflow = tables.workflows.get(operation.workflow_id)
    if workflow is None:
        logger.info(
            'control: refused',
            workflow=operation.workflow_id,
            path=operation.path,
            version=tables.configuration.version,
            is_cancelled=operation.workflow_id in tables.early_cancellations,
        )
        return
    logger.info(
        'control: accepted',
        workflow=operation.workflow_id,
        queue=workflow.queue.name,
        version=tables.configuration.version,
        objective_ms=int(compute_objective_ms(workflow)),
        steps=[_render_step(step) for step in workflow.spec.steps],
    )


def _render_step(step: StepSpec) -> str:
    kind = 'lasting' if step.is_long_running else ''
    kind = 'filling' if step.is_best_effort else kind
    return (
        f'{step.task_count}x{step.need.cores_milli}m/{step.need.memory_mb}MB'
        f' {step.estimate_ms}ms {step.image} {kind}'
        f' target={step.target_ms} apart={step.max_per_worker}'
        f' after={list(step.depends_on)} saves={step.is_checkpointed}'
    )


def _log_runs(tables: WorkflowTables, operation: RecordRuns) -> None:
    if operation.starts:
        logger.info(
            'control: placed',
            runs=[
                f'{start.task_id}/{start.run} {start.lifetime} {start.guard}'
                for start in operation.starts[:MAX_RUNS_PER_LINE]
            ],
            count=len(operation.starts),
        )
    if operation.ends:
        logger.info(
            'control: ended',
            runs=[
                _render_end(end) for end in operation.ends[:MAX_RUNS_PER_LINE]
            ],
            count=len(operation.ends),
        )
    _log_finished_workflows(tables, operation)


def _render_end(end: RunEnd) -> str:
    evidence = ''
    if end.evidence is not CrashEvidence.unknown:
        evidence = f' {end.evidence.value}'
    return (
        f'{end.task_id}/{end.run} {end.kind.value} {end.checkpoint}{evidence}'
    )


# Kinds of the run end that completes or fails a workflow, by the status of the
# workflow. A cancelled workflow has none: its runs end after it.
_FINAL_RUN_ENDS = {
    WorkflowStatus.completed: frozenset((RunEndKind.done,)),
    WorkflowStatus.failed: frozenset((RunEndKind.failed, RunEndKind.crashed)),
}


def _log_finished_workflows(
    tables: WorkflowTables, operation: RecordRuns
) -> None:
    """Log each workflow that ended with one of these run ends."""
    kinds = {
        (end.task_id.partition('.')[0], end.kind)
        for end in operation.ends
        if end.evidence is not CrashEvidence.innocent
    }
    for workflow_id, kind in sorted(kinds, key=str):
        workflow = tables.workflows.get(workflow_id)
        if workflow is None:
            continue
        if kind not in _FINAL_RUN_ENDS.get(workflow.status, frozenset()):
            continue
        logger.info(
            'control: workflow over',
            workflow=workflow_id,
            status=workflow.status.value,
            last_end=kind.value,
            took_ms=workflow.ended_at_ms - workflow.accepted_at_ms,
        )


def log_stop_requests(stopping: dict[RunKey, str], logged: set[RunKey]) -> None:
    """Log runs that are stopped to be resumed on other workers.

    Args:
        stopping: All such runs with the reasons.
        logged: Runs that were logged before.
    """
    for key, reason in stopping.items():
        if key not in logged:
            logger.info(
                'control: stopping',
                runs=[f'{key.task_id}/{key.run}'],
                reason=reason,
            )


def log_learned_run_times(model: RunTimeModel, metrics: Metrics) -> None:
    """Log the first observed run time of each step, and count the steps.

    Args:
        model: The estimates of run times; its observations are cleared.
        metrics: The metrics of the process.
    """
    for learned in model.learned:
        metrics.count('run-time.learned')
        step_key = learned.step_key
        logger.info(
            'control: run time learned',
            workflow=step_key.workflow_id,
            step=step_key.step,
            declared_ms=convert_to_ms(learned.declared_s),
            observed_ms=convert_to_ms(learned.observed_s),
        )
    model.learned.clear()


def log_reservations(
    reservations: Reservations, logged: set[StepKey], metrics: Metrics
) -> None:
    """Log and count each step for which room is first kept.

    Args:
        reservations: The present reservations.
        logged: Steps that were logged before; those without a reservation are
            removed.
        metrics: The metrics of the process.
    """
    reserved_steps = set()
    for guard, reservation in reservations.items():
        step_key = reservation.step_key
        reserved_steps.add(step_key)
        if step_key in logged:
            continue
        logged.add(step_key)
        metrics.count('placement.room-reserved')
        need = reservation.kind.step.need
        logger.info(
            'control: room reserved',
            workflow=step_key.workflow_id,
            step=step_key.step,
            cores_milli=need.cores_milli,
            memory_mb=need.memory_mb,
            guard=guard,
        )
    logged.intersection_update(reserved_steps)


def log_expired_leases(
    effects: list[RunEffect], leadership: RunLeadership, now_s: float
) -> None:
    """Log each guard whose runs count as lost, with the bounds that passed.

    Args:
        effects: The effects of a periodic check.
        leadership: The state of the leader.
        now_s: Current time of the monotonic clock, in seconds.
    """
    guards = {
        leadership.proposed_ends.get(RunKey(end.task_id, end.run), '')
        for end in _list_lost_runs(effects)
    }
    for guard in sorted(guards):
        view = leadership.views.get(guard)
        leading_ms = convert_to_ms(now_s - leadership.leading_since_s)
        if view is None:
            logger.info(
                'control: lease over, guard unknown',
                guard=guard,
                leading_ms=leading_ms,
            )
            continue
        silent_s = now_s - view.last_report_at_s
        logger.info(
            'control: lease over',
            guard=guard,
            lifetime=view.facts.lifetime,
            leading_ms=leading_ms,
            silent_ms=convert_to_ms(silent_s),
            granted_ms=convert_to_ms(view.granted_until_s - now_s),
            unsure_ms=convert_to_ms(view.unsure_for_s - silent_s),
        )


def log_reported_losses(
    effects: list[RunEffect], guard: str, report: RunReport
) -> None:
    """Log why a report of a guard makes runs count as lost.

    Args:
        effects: The effects of the report.
        guard: The name of the guard.
        report: The report.
    """
    lost = _list_lost_runs(effects)
    if lost:
        logger.info(
            'control: lost by report',
            guard=guard,
            lifetime=report.facts.lifetime,
            runs=[
                f'{end.task_id}/{end.run}' for end in lost[:MAX_RUNS_PER_LINE]
            ],
            count=len(lost),
            is_gone=report.is_gone,
            is_looked=report.is_looked,
            is_restarted=report.is_restarted,
            closed=len(report.closed),
            unsure_ms=convert_to_ms(report.unsure_for_s),
        )


def log_undecided_runs(
    undecided: list[RunKey], guard: str, report: RunReport
) -> None:
    """Log the runs that the first report of an incarnation does not end.

    Args:
        undecided: Runs of earlier incarnations that are held.
        guard: The name of the guard.
        report: The report.
    """
    if undecided:
        possibly_started = report.possibly_started
        logger.info(
            'control: runs undecided',
            guard=guard,
            lifetime=report.facts.lifetime,
            runs=[
                f'{key.task_id}/{key.run}'
                for key in undecided[:MAX_RUNS_PER_LINE]
            ],
            count=len(undecided),
            is_looked=report.is_looked,
            is_gone=report.is_gone,
            is_restarted=report.is_restarted,
            possibly_started=(
                None if possibly_started is None else len(possibly_started)
            ),
        )


def _list_lost_runs(effects: list[RunEffect]) -> list[RunEnd]:
    return [
        end
        for effect in effects
        if isinstance(effect, ProposeAsLeader)
        and isinstance(effect.operation, RecordRuns)
        for end in effect.operation.ends
        if end.kind is RunEndKind.lost
    ]
