"""The leader's side of running tasks: reports in, orders and records out.

Everything that must survive a change of leader is in the replicated tables.
The state kept here is soft: it is derived from reports, and a new leader has
it again as soon as the guards have reported to it.
"""

import msgspec

from cumintack.coordination.effects import ProposeAsLeader, Send
from cumintack.coordination.runs.admission_advice import (
    AdviceState,
    discard_ticket,
    prune_inactive_steps,
)
from cumintack.coordination.runs.colocation import (
    list_observations,
)
from cumintack.coordination.runs.evacuation import list_runs_to_evacuate
from cumintack.coordination.runs.failure_tracking import (
    record_failure,
    record_success,
)
from cumintack.coordination.runs.interference_model import (
    InterferenceModel,
    fit_weights,
    prune_means,
    record_observation,
)
from cumintack.coordination.runs.placement import (
    SchedulingPass,
    create_scheduling_pass,
    place_waiting,
)
from cumintack.coordination.runs.run_ends import (
    RunEndDetector,
    get_task_and_run,
)
from cumintack.coordination.runs.run_orders import (
    OrderContext,
    create_run_orders,
)
from cumintack.coordination.runs.stall_detection import (
    ProgressMark,
    detect_stalled_runs,
)
from cumintack.coordination.runs.starvation import choose_runs_to_migrate
from cumintack.coordination.runs.unanswered_calls import MAX_CALL_DELAY_S
from cumintack.coordination.runs.worker_views import (
    WorkerView,
    add_task_usage,
    compute_usage_by_guard,
    is_schedulable,
    list_placed_runs,
)
from cumintack.protocol.run_messages import (
    RunKey,
    RunReport,
)
from cumintack.state.workflows import (
    BeginOccurrence,
    CancelWorkflow,
    RecordRuns,
    RunEnd,
    RunEndKind,
    RunStart,
    WorkflowTables,
    get_step,
    get_task,
    parse_task_id,
)

# Seconds between two scheduling passes: far below the time of a commit, so
# that events which arrive together are decided together.
PASS_INTERVAL_S = 0.01
# Seconds between two checks for silent workers and due occurrences.
SWEEP_INTERVAL_S = 0.1
# Seconds between two observations of a worker; a measurement covers half a
# second.
OBSERVATION_INTERVAL_S = 0.4
# Seconds without placements on a worker after it refused a run; by then it has
# reported its runs again.
REFUSAL_COOLDOWN_S = 0.3
# Seconds added to the end of a lease before its runs count as lost: the clocks
# of two machines may drift apart by 2% over a lease.
LEASE_MARGIN_S = 0.3
# Ms after its due time at which an occurrence begins, since the wall clock of
# another machine may be behind.
OCCURRENCE_MARGIN_MS = 20


class RunSettings(msgspec.Struct, frozen=True):
    """Durations of the leases of workers.

    Attributes:
        lease_s: Duration of a lease.
        previous_leader_grant_s: How long a previous leader may still grant
            leases after this one began to lead.
    """

    lease_s: float
    previous_leader_grant_s: float


class RunLeadership(msgspec.Struct):
    """Soft state of the leader about the workers and their runs.

    Attributes:
        settings: Durations of leases.
        term: The term of this leader.
        leading_since_s: When this leader began to lead.
        views: The workers, by name of their guard.
        orders_number: Number of the latest orders in this term.
        proposed_ends: Runs whose end is proposed and not applied yet.
        proposed_starts: Starts proposed and not applied yet, by task.
        stop_reasons: Runs that are stopped in order to be placed elsewhere,
            each with the reason.
        needs_pass: Whether a scheduling pass could place something new.
        pass_at_s: When the next scheduling pass may run.
        sweep_at_s: When the next check for silent workers is due.
        guards_to_update: Names of guards that need new orders.
        interference: The interference model of pairs of images.
        starved_since_s: Start of the starvation of each starved run.
        advice: The advice received from the external adviser.
        progress_marks: The latest progress of each run.
    """

    settings: RunSettings
    term: int
    leading_since_s: float
    views: dict[str, WorkerView] = {}
    orders_number: int = 0
    proposed_ends: set[RunKey] = set()
    proposed_starts: dict[str, RunStart] = {}
    stop_reasons: dict[RunKey, str] = {}
    needs_pass: bool = True
    pass_at_s: float = 0
    sweep_at_s: float = 0
    guards_to_update: dict[str, None] = {}
    interference: InterferenceModel = msgspec.field(
        default_factory=InterferenceModel
    )
    starved_since_s: dict[RunKey, float] = {}
    advice: AdviceState = msgspec.field(default_factory=AdviceState)
    progress_marks: dict[RunKey, ProgressMark] = {}


RunEffect = Send | ProposeAsLeader


def handle_report(
    leadership: RunLeadership,
    tables: WorkflowTables,
    guard: str,
    report: RunReport,
    now_s: float,
) -> list[RunEffect]:
    """Handle a report of a guard.

    Args:
        leadership: The state of the leader, changed in place.
        tables: The replicated workflow tables.
        guard: The name of the guard.
        report: The report.
        now_s: Current time of the monotonic clock, in seconds.

    Returns:
        The proposal of detected ends, if any; orders follow with the next
        tick.
    """
    view = leadership.views.get(guard)
    if view is not None and _is_outdated(view, report):
        return []
    ends = _detect_ends(leadership, tables, guard, report)
    if view is None or view.facts.lifetime != report.facts.lifetime:
        accepts_from_s = _get_acceptance_time(view, report, now_s)
        view = WorkerView(
            guard,
            report.facts,
            now_s,
            report.sent_at_s,
            accepts_from_s=accepts_from_s,
        )
        leadership.views[guard] = view
    _update_view(view, report, now_s)
    _update_interference_model(leadership, tables, view, now_s)
    _stop_stalled_runs(leadership, tables, view, now_s)
    leadership.needs_pass = True
    leadership.guards_to_update[guard] = None
    return _propose_ends(leadership, tables, ends, now_s)


def _is_outdated(view: WorkerView, report: RunReport) -> bool:
    if report.facts.lifetime != view.facts.lifetime:
        return report.facts.lifetime < view.facts.lifetime
    return report.sent_at_s < view.sent_at_s


def _get_acceptance_time(
    previous: WorkerView | None, report: RunReport, now_s: float
) -> float:
    """Return from when a new incarnation of a worker may get runs.

    A guard process that has just started does not know whether the previous
    one left an acknowledgement unanswered. If that one still arrives, it
    removes ends of the new incarnation that nobody has read.
    """
    is_same_worker = (
        previous is not None
        and previous.facts.worker_id == report.facts.worker_id
    )
    if report.is_restarted and is_same_worker:
        return now_s + MAX_CALL_DELAY_S
    return float('-inf')


def _update_view(view: WorkerView, report: RunReport, now_s: float) -> None:
    view.facts = report.facts
    view.last_report_at_s = now_s
    view.sent_at_s = report.sent_at_s
    view.unsure_for_s = report.unsure_for_s
    view.is_usable = (
        report.is_looked
        and report.is_answering
        and report.is_accepting
        and not report.is_gone
    )
    view.is_guard_restarted = report.is_restarted
    view.running = {run.key: run for run in report.running}
    view.runs_with_details = {
        run.key for run in report.running if run.has_details
    }
    view.ended = report.ended


def _update_interference_model(
    leadership: RunLeadership,
    tables: WorkflowTables,
    view: WorkerView,
    now_s: float,
) -> None:
    if now_s - view.observed_at_s < OBSERVATION_INTERVAL_S:
        return
    view.observed_at_s = now_s
    for observation in list_observations(tables, view):
        record_observation(leadership.interference, observation, now_s)


def _stop_stalled_runs(
    leadership: RunLeadership,
    tables: WorkflowTables,
    view: WorkerView,
    now_s: float,
) -> None:
    stalled = detect_stalled_runs(
        leadership.progress_marks, tables, view, now_s
    )
    if not stalled or not _has_schedulable_alternative(leadership, view, now_s):
        return
    for key in stalled:
        leadership.stop_reasons.setdefault(key, 'its worker stands still')


def _has_schedulable_alternative(
    leadership: RunLeadership, view: WorkerView, now_s: float
) -> bool:
    return any(
        other.facts.pool == view.facts.pool and is_schedulable(other, now_s)
        for other in leadership.views.values()
        if other is not view
    )


def _detect_ends(
    leadership: RunLeadership,
    tables: WorkflowTables,
    guard: str,
    report: RunReport,
) -> list[RunEnd]:
    detector = RunEndDetector(report)
    # A guard process that has just started learns from its first orders which
    # starts its previous process may have left unanswered.
    knows_earlier_runs = (
        not report.is_restarted or report.term == leadership.term
    )
    ends = []
    for key, _task, record in list_placed_runs(tables, guard):
        is_earlier = record.lifetime < report.facts.lifetime
        if is_earlier and not knows_earlier_runs:
            continue
        end = detector.find(key, record.lifetime)
        if end is not None:
            checkpoint = end.checkpoint or _get_latest_checkpoint(
                leadership, guard, key
            )
            ends.append(msgspec.structs.replace(end, checkpoint=checkpoint))
    return ends


def _get_latest_checkpoint(
    leadership: RunLeadership, guard: str, key: RunKey
) -> str:
    view = leadership.views.get(guard)
    run = view.running.get(key) if view else None
    return run.checkpoint if run else ''


def _propose_ends(
    leadership: RunLeadership,
    tables: WorkflowTables,
    ends: list[RunEnd],
    now_s: float,
) -> list[RunEffect]:
    new_ends = []
    for end in ends:
        key = RunKey(end.task_id, end.run)
        if key not in leadership.proposed_ends:
            leadership.proposed_ends.add(key)
            new_ends.append(end)
            _update_from_end(leadership, tables, end, now_s)
    return (
        [ProposeAsLeader(RecordRuns(ends=tuple(new_ends)))] if new_ends else []
    )


def _update_from_end(
    leadership: RunLeadership,
    tables: WorkflowTables,
    end: RunEnd,
    now_s: float,
) -> None:
    key = parse_task_id(end.task_id)
    record = get_task(tables, key) if key else None
    view = leadership.views.get(record.guard) if record else None
    if view is None:
        return
    if end.kind is RunEndKind.failed:
        record_failure(view, now_s)
    elif end.kind is RunEndKind.done:
        record_success(view)
    elif end.kind is RunEndKind.refused:
        view.excluded_until_s = max(
            view.excluded_until_s, now_s + REFUSAL_COOLDOWN_S
        )
        if key is not None:
            discard_ticket(leadership.advice, key.step_key, view.facts.lifetime)


def handle_applied_run_operation(
    leadership: RunLeadership,
    tables: WorkflowTables,
    operation: object,
) -> None:
    """Update the state after an operation was applied.

    Args:
        leadership: The state of the leader, changed in place.
        tables: The replicated workflow tables.
        operation: The applied operation.
    """
    leadership.needs_pass = True
    match operation:
        case CancelWorkflow():
            leadership.guards_to_update.update(dict.fromkeys(leadership.views))
        case RecordRuns():
            _handle_recorded_ends(leadership, operation)
            for start in operation.starts:
                leadership.proposed_starts.pop(start.task_id, None)
                leadership.guards_to_update[start.guard] = None


def _handle_recorded_ends(
    leadership: RunLeadership, operation: RecordRuns
) -> None:
    keys = {RunKey(end.task_id, end.run) for end in operation.ends}
    for key in keys:
        leadership.proposed_ends.discard(key)
        leadership.stop_reasons.pop(key, None)
    if any(end.kind is RunEndKind.failed for end in operation.ends):
        # The failure may fail the workflow, whose other runs must then stop.
        leadership.guards_to_update.update(dict.fromkeys(leadership.views))
        return
    for guard, view in leadership.views.items():
        if any(ended.key in keys for ended in view.ended):
            leadership.guards_to_update[guard] = None


def handle_run_proposal_failure(
    leadership: RunLeadership,
    operation: RecordRuns,
) -> None:
    """Forget the ends and starts of a proposal that failed.

    Args:
        leadership: The state of the leader, changed in place.
        operation: The operation that was not proposed.
    """
    for end in operation.ends:
        leadership.proposed_ends.discard(RunKey(end.task_id, end.run))
    for start in operation.starts:
        leadership.proposed_starts.pop(start.task_id, None)


def handle_run_tick(
    leadership: RunLeadership,
    tables: WorkflowTables,
    now_s: float,
    now_ms: float,
) -> list[RunEffect]:
    """Run the periodic checks, a scheduling pass if due, and send orders.

    Args:
        leadership: The state of the leader, changed in place.
        tables: The replicated workflow tables.
        now_s: Current time of the monotonic clock, in seconds.
        now_ms: Current wall-clock time, in ms.

    Returns:
        The operations to propose and the orders to send.
    """
    effects: list[RunEffect] = []
    if now_s >= leadership.sweep_at_s:
        leadership.sweep_at_s = now_s + SWEEP_INTERVAL_S
        ends = _detect_expired_leases(leadership, tables, now_s)
        effects.extend(_propose_ends(leadership, tables, ends, now_s))
        effects.extend(_begin_due_occurrences(tables, now_ms))
        _evacuate_draining_workers(leadership, tables, now_s)
        fit_weights(leadership.interference)
        prune_means(leadership.interference, now_s)
        prune_inactive_steps(leadership.advice, tables)
        _migrate_starved_runs(leadership, tables, now_s)
        leadership.needs_pass = leadership.needs_pass or bool(
            tables.index.waiting
        )
    if leadership.needs_pass and now_s >= leadership.pass_at_s:
        leadership.pass_at_s = now_s + PASS_INTERVAL_S
        leadership.needs_pass = False
        effects.extend(_run_pass(leadership, tables, now_s, now_ms))
    effects.extend(
        _send_orders(leadership, tables, leadership.views[guard], now_s)
        for guard in leadership.guards_to_update
        if guard in leadership.views
    )
    leadership.guards_to_update.clear()
    return effects


def _detect_expired_leases(
    leadership: RunLeadership,
    tables: WorkflowTables,
    now_s: float,
) -> list[RunEnd]:
    ends = []
    for guard in tables.index.placed:
        if now_s <= _get_lease_end_bound(leadership, guard):
            continue
        for key, _task, _record in list_placed_runs(tables, guard):
            checkpoint = _get_latest_checkpoint(leadership, guard, key)
            ends.append(
                RunEnd(*get_task_and_run(key), RunEndKind.lost, checkpoint)
            )
    return ends


def _get_lease_end_bound(leadership: RunLeadership, guard: str) -> float:
    settings = leadership.settings
    previous_leader_bound_s = (
        leadership.leading_since_s
        + settings.previous_leader_grant_s
        + settings.lease_s
    )
    latest_lease_end_s = previous_leader_bound_s
    view = leadership.views.get(guard)
    if view is not None:
        uncertain_bound_s = view.last_report_at_s + view.unsure_for_s
        latest_lease_end_s = max(
            previous_leader_bound_s, view.granted_until_s, uncertain_bound_s
        )
        latest_lease_end_s = max(
            latest_lease_end_s, view.last_report_at_s + settings.lease_s
        )
    return latest_lease_end_s + LEASE_MARGIN_S


def _begin_due_occurrences(
    tables: WorkflowTables,
    now_ms: float,
) -> list[RunEffect]:
    effects: list[RunEffect] = []
    for workflow_id, occurrence in tables.index.unbegun.items():
        schedule = tables.workflows[workflow_id].spec.schedule
        if schedule is None:
            continue
        due_ms = schedule.first_at_ms + occurrence * schedule.interval_ms
        if now_ms >= due_ms + OCCURRENCE_MARGIN_MS:
            effects.append(
                ProposeAsLeader(BeginOccurrence(workflow_id, occurrence))
            )
    return effects


def _evacuate_draining_workers(
    leadership: RunLeadership,
    tables: WorkflowTables,
    now_s: float,
) -> None:
    for guard, view in leadership.views.items():
        if not view.facts.is_draining:
            continue
        for key in list_runs_to_evacuate(tables, view, now_s):
            if key not in leadership.stop_reasons:
                leadership.stop_reasons[key] = 'its worker is draining'
                leadership.guards_to_update[guard] = None


def _migrate_starved_runs(
    leadership: RunLeadership,
    tables: WorkflowTables,
    now_s: float,
) -> None:
    scheduling_pass = _create_pass(leadership, tables, now_s)
    for key in choose_runs_to_migrate(
        leadership.starved_since_s, scheduling_pass
    ):
        if key in leadership.stop_reasons:
            continue
        leadership.stop_reasons[key] = 'starved beside serving tasks'
        task = parse_task_id(key.task_id)
        record = get_task(tables, task) if task else None
        if record is not None:
            leadership.guards_to_update[record.guard] = None


def _create_pass(
    leadership: RunLeadership,
    tables: WorkflowTables,
    now_s: float,
) -> SchedulingPass:
    usage_by_guard = compute_usage_by_guard(tables, leadership.views)
    for start in leadership.proposed_starts.values():
        key = parse_task_id(start.task_id)
        if key is None or start.guard not in usage_by_guard:
            continue
        step = get_step(tables, key.step_key)
        add_task_usage(usage_by_guard[start.guard], key.step_key, step)
    return create_scheduling_pass(
        tables,
        leadership.views,
        usage_by_guard,
        set(leadership.proposed_starts),
        (leadership.interference, leadership.advice),
        now_s,
    )


def _run_pass(
    leadership: RunLeadership,
    tables: WorkflowTables,
    now_s: float,
    now_ms: float,
) -> list[RunEffect]:
    if not tables.index.waiting:
        return []
    scheduling_pass = _create_pass(leadership, tables, now_s)
    starts = place_waiting(scheduling_pass, now_ms)
    if not starts:
        return []
    for start in starts:
        leadership.proposed_starts[start.task_id] = start
    return [ProposeAsLeader(RecordRuns(starts=tuple(starts)))]


def _send_orders(
    leadership: RunLeadership,
    tables: WorkflowTables,
    view: WorkerView,
    now_s: float,
) -> Send:
    leadership.orders_number += 1
    view.granted_until_s = max(
        view.granted_until_s,
        view.last_report_at_s + leadership.settings.lease_s,
    )
    context = OrderContext(
        leadership.term,
        leadership.orders_number,
        leadership.settings.lease_s,
        leadership.stop_reasons,
        leadership.interference,
        leadership.advice,
        now_s,
    )
    return Send(view.guard, create_run_orders(context, tables, view))
