"""The leader's side of running tasks: reports in, orders and records out.

Everything that must survive a change of leader is in the replicated tables.
The state kept here is soft: it is derived from reports, and a new leader has
it again as soon as the guards have reported to it.
"""

import msgspec

from cumintack.coordination.effects import ProposeAsLeader, Send
from cumintack.coordination.runs.admission_advice import (
    discard_ticket,
    prune_inactive_steps,
)
from cumintack.coordination.runs.candidate_index import (
    get_placed_runs,
    mark_all_changed,
    mark_changed,
    prune_index,
    record_end,
    record_start,
    remove_proposed_start,
)
from cumintack.coordination.runs.colocation import list_observations
from cumintack.coordination.runs.crash_isolation import (
    assess_crash,
    record_loss,
    update_isolation,
)
from cumintack.coordination.runs.data_centre_evacuation import (
    list_unstarted_runs,
    update_evacuated_workers,
)
from cumintack.coordination.runs.evacuation import list_runs_to_evacuate
from cumintack.coordination.runs.failure_tracking import (
    record_failure,
    record_success,
)
from cumintack.coordination.runs.interference_model import (
    fit_weights,
    prune_means,
    record_observation,
)
from cumintack.coordination.runs.lease_expiry import (
    detect_expired_leases,
    get_latest_checkpoint,
    record_late_calls,
)
from cumintack.coordination.runs.migration import (
    choose_migrations,
    update_progress,
)
from cumintack.coordination.runs.placement import (
    SchedulingPass,
    place_migrated,
    place_waiting,
    reserve_room,
)
from cumintack.coordination.runs.run_ends import (
    RunEndDetector,
)
from cumintack.coordination.runs.run_leadership_state import (
    RunLeadership,
)
from cumintack.coordination.runs.run_orders import (
    OrderContext,
    create_run_orders,
)
from cumintack.coordination.runs.scheduling_passes import (
    create_pass,
    get_step_order,
)
from cumintack.coordination.runs.stall_detection import detect_stalled_runs
from cumintack.coordination.runs.waiting.room_reservation import (
    RESERVATION_INTERVAL_S,
    Reservations,
)
from cumintack.coordination.runs.waiting.run_time_estimates import (
    observe_run_times,
    prune_run_times,
)
from cumintack.coordination.runs.waiting.step_ranking import (
    StepRank,
    rank_waiting_steps,
)
from cumintack.coordination.runs.unanswered_calls import MAX_CALL_DELAY_S
from cumintack.coordination.runs.worker_views import (
    PlacedRun,
    PlacedRuns,
    WorkerView,
    is_schedulable,
)
from cumintack.protocol.run_messages import (
    RunKey,
    RunningRun,
    RunReport,
)
from cumintack.state.workflows import (
    BeginOccurrence,
    CancelWorkflow,
    CrashEvidence,
    RecordRuns,
    RunEnd,
    RunEndKind,
    SetEvacuation,
    WorkflowTables,
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
# Ms after its due time at which an occurrence begins, since the wall clock of
# another machine may be behind.
OCCURRENCE_MARGIN_MS = 20
# Seconds within which all guards have reported to a new leader.
FIRST_REPORTS_S = 1.0
# Kinds of run ends that may fail a workflow.
FAILING_ENDS = frozenset((RunEndKind.failed, RunEndKind.crashed))


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
    placed_runs = get_placed_runs(leadership.index, tables, guard)
    record_loss(leadership.losses, guard, report, placed_runs, now_s)
    ends = _detect_ends(leadership, tables, guard, report, now_s)
    if view is None or view.facts.lifetime != report.facts.lifetime:
        view = WorkerView(
            guard,
            report.facts,
            now_s,
            report.sent_at_s,
            up_since_s=now_s,
            accepts_from_s=_get_acceptance_time(view, report, now_s),
            earlier_running=_list_earlier_running(
                view, get_placed_runs(leadership.index, tables, guard)
            ),
        )
        leadership.views[guard] = view
    if report.needs_fence or not view.fence:
        leadership.fence_count += 1
        view.fence = leadership.fence_count
    _update_view(view, report, now_s)
    update_evacuated_workers((view,), leadership.index, tables)
    record_late_calls(leadership, report, now_s)
    _record_started_runs(placed_runs, view)
    mark_changed(leadership.index, guard)
    _find_begun_workflows(leadership, tables, placed_runs, view)
    update_isolation(view, placed_runs, now_s)
    _update_interference_model(leadership, placed_runs, view, now_s)
    _stop_stalled_runs(leadership, placed_runs, view, now_s)
    update_progress(placed_runs, view, now_s)
    if leadership.settings.is_ordered_by_work:
        observe_run_times(
            leadership.run_times, tables, placed_runs, view, now_s
        )
    leadership.needs_pass = True
    effects = _propose_ends(leadership, tables, ends, now_s)
    if not effects:
        # Orders follow anyway once the proposed ends are recorded.
        leadership.guards_to_update[guard] = None
    return effects


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


def _list_earlier_running(
    previous: WorkerView | None, placed_runs: PlacedRuns
) -> dict[RunKey, RunningRun]:
    if previous is None:
        return {}
    running = {**previous.earlier_running, **previous.running}
    return {
        placed.key: running[placed.key]
        for placed in placed_runs.values()
        if placed.key in running
    }


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
        and not _is_disconnected(report)
    )
    view.is_guard_restarted = report.is_restarted
    view.guard_incarnation = report.incarnation
    view.is_unhealthy = report.is_unhealthy
    if report.is_fenced:
        view.accepts_from_s = float('-inf')
    view.running = {run.key: run for run in report.running}
    view.runs_with_details = {
        run.key for run in report.running if run.has_details
    }
    view.ended = report.ended


def _record_started_runs(placed_runs: PlacedRuns, view: WorkerView) -> None:
    """Record when each run was first listed, also while a poll is missing."""
    started_by_s = {}
    for placed in placed_runs.values():
        key = placed.key
        if key in view.running and view.running[key].is_start_settled:
            started_by_s[key] = float('-inf')
        elif key in view.running or key in view.started_by_s:
            started_by_s[key] = view.started_by_s.get(key, view.sent_at_s)
    view.started_by_s = started_by_s


def _find_begun_workflows(
    leadership: RunLeadership,
    tables: WorkflowTables,
    placed_runs: PlacedRuns,
    view: WorkerView,
) -> None:
    """Find the workflows of which a run is seen for the first time.

    A start that is recorded may still be refused, or lost on its way.
    """
    for key in view.running:
        placed = placed_runs.get(key.task_id)
        if placed is None or placed.key != key:
            continue
        workflow_id = placed.task.step_key.workflow_id
        workflow = tables.workflows.get(workflow_id)
        if workflow is None or workflow.has_started:
            continue
        if workflow_id not in leadership.proposed_workflows:
            leadership.unrecorded_workflows[workflow_id] = None


def _take_begun_workflows(leadership: RunLeadership) -> tuple[str, ...]:
    """Take the begun workflows along with an operation that is proposed."""
    begun = leadership.unrecorded_workflows
    leadership.unrecorded_workflows = {}
    leadership.proposed_workflows.update(begun)
    return tuple(begun)


def _is_disconnected(report: RunReport) -> bool:
    loss = report.loss
    if loss is None or loss.lifetime != report.facts.lifetime:
        return False
    return loss.is_disconnected


def _update_interference_model(
    leadership: RunLeadership,
    placed_runs: PlacedRuns,
    view: WorkerView,
    now_s: float,
) -> None:
    if now_s - view.observed_at_s < OBSERVATION_INTERVAL_S:
        return
    view.observed_at_s = now_s
    for observation in list_observations(placed_runs, view):
        record_observation(leadership.interference, observation, now_s)


def _stop_stalled_runs(
    leadership: RunLeadership,
    placed_runs: PlacedRuns,
    view: WorkerView,
    now_s: float,
) -> None:
    stalled = detect_stalled_runs(placed_runs, view, now_s)
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
    now_s: float,
) -> list[RunEnd]:
    detector = RunEndDetector(report)
    # A guard process that has just started learns from its first orders which
    # starts its previous process may have left unanswered.
    knows_earlier_runs = (
        not report.is_restarted or report.term == leadership.term
    )
    ends = []
    placed_runs = get_placed_runs(leadership.index, tables, guard)
    for placed in _list_possibly_ended(placed_runs, report):
        lifetime = placed.record.lifetime
        is_over = report.is_gone or lifetime < report.facts.lifetime
        if is_over and not knows_earlier_runs:
            continue
        end = detector.find(placed.key, lifetime)
        if end is not None:
            checkpoint = end.checkpoint or get_latest_checkpoint(
                leadership, guard, placed.key
            )
            evidence = _assess_end(leadership, guard, report, end, now_s)
            ends.append(
                msgspec.structs.replace(
                    end, checkpoint=checkpoint, evidence=evidence
                )
            )
    return ends


def _assess_end(
    leadership: RunLeadership,
    guard: str,
    report: RunReport,
    end: RunEnd,
    now_s: float,
) -> CrashEvidence:
    if report.loss is None or end.kind is not RunEndKind.crashed:
        return CrashEvidence.unknown
    key = RunKey(end.task_id, end.run)
    evidence = assess_crash(leadership.losses, guard, report.loss, key)
    is_informed = now_s >= leadership.leading_since_s + FIRST_REPORTS_S
    if evidence is CrashEvidence.innocent or is_informed:
        return evidence
    # Guards that saw their workers crash too may not have reported yet.
    return CrashEvidence.coincident


def list_undecided_runs(
    leadership: RunLeadership,
    tables: WorkflowTables,
    guard: str,
    report: RunReport,
) -> list[RunKey]:
    """List the runs of earlier incarnations that a report does not end.

    Args:
        leadership: The state of the leader, after the report was handled.
        tables: The replicated workflow tables.
        guard: The name of the guard.
        report: The report.

    Returns:
        The runs, which are held until a later report decides on them.
    """
    placed_runs = get_placed_runs(leadership.index, tables, guard)
    return [
        placed.key
        for placed in placed_runs.values()
        if placed.record.lifetime < report.facts.lifetime
        and placed.key not in leadership.proposed_ends
    ]


def _list_possibly_ended(
    placed_runs: PlacedRuns, report: RunReport
) -> list[PlacedRun]:
    """List the runs of which a report may say that they have ended."""
    if report.is_gone:
        return list(placed_runs.values())
    lifetime = report.facts.lifetime
    named = {ended.key.task_id for ended in report.ended}
    named.update(closed.key.task_id for closed in report.closed)
    return [
        placed
        for task_id, placed in placed_runs.items()
        if task_id in named or placed.record.lifetime != lifetime
    ]


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
            leadership.proposed_ends[key] = _get_guard(tables, end.task_id)
            new_ends.append(end)
            _update_from_end(leadership, tables, end, now_s)
    if not new_ends:
        return []
    begun = _take_begun_workflows(leadership)
    return [
        ProposeAsLeader(
            RecordRuns(ends=tuple(new_ends), begun_workflows=begun)
        ),
    ]


def _get_guard(tables: WorkflowTables, task_id: str) -> str:
    """Return the guard of the recorded run of a task, empty if it has none."""
    task = parse_task_id(task_id)
    record = get_task(tables, task) if task else None
    return record.guard if record else ''


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
        case CancelWorkflow(workflow_id=workflow_id):
            _update_guards_of_workflow(leadership, tables, workflow_id)
        case SetEvacuation():
            update_evacuated_workers(
                leadership.views.values(), leadership.index, tables
            )
        case RecordRuns():
            _handle_recorded_ends(leadership, tables, operation)
            for begun_id in operation.begun_workflows:
                leadership.proposed_workflows.pop(begun_id, None)
            for start in operation.starts:
                leadership.proposed_starts.pop(start.task_id, None)
                record_start(leadership.index, tables, start)
                leadership.guards_to_update[start.guard] = None


def _handle_recorded_ends(
    leadership: RunLeadership, tables: WorkflowTables, operation: RecordRuns
) -> None:
    for end in operation.ends:
        key = RunKey(end.task_id, end.run)
        leadership.stop_reasons.pop(key, None)
        guard = leadership.proposed_ends.pop(key, '')
        if guard:
            record_end(leadership.index, tables, guard, end.task_id)
            leadership.guards_to_update[guard] = None
        else:
            # An earlier leader proposed it, and this one knows no guard of it.
            mark_all_changed(leadership.index)
            leadership.guards_to_update.update(dict.fromkeys(leadership.views))
        if end.kind in FAILING_ENDS:
            # The end may fail the workflow, whose other runs then stop.
            task = parse_task_id(end.task_id)
            if task is not None:
                _update_guards_of_workflow(
                    leadership, tables, task.step_key.workflow_id
                )


def _update_guards_of_workflow(
    leadership: RunLeadership, tables: WorkflowTables, workflow_id: str
) -> None:
    """Send new orders to the guards that run tasks of a workflow."""
    workflow = tables.workflows.get(workflow_id)
    if workflow is None:
        return
    for steps in workflow.occurrences.values():
        for step in steps:
            leadership.guards_to_update.update(
                (task.guard, None) for task in step.tasks if task.guard
            )


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
        leadership.proposed_ends.pop(RunKey(end.task_id, end.run), None)
    for begun_id in operation.begun_workflows:
        leadership.proposed_workflows.pop(begun_id, None)
    for start in operation.starts:
        leadership.proposed_starts.pop(start.task_id, None)
        remove_proposed_start(leadership.index, start.guard, start.task_id)


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
    is_sweep_due = now_s >= leadership.sweep_at_s
    if is_sweep_due:
        leadership.sweep_at_s = now_s + SWEEP_INTERVAL_S
        ends = detect_expired_leases(leadership, tables, now_s)
        effects.extend(_propose_ends(leadership, tables, ends, now_s))
        effects.extend(_begin_due_occurrences(tables, now_ms))
        _evacuate_draining_workers(leadership, tables, now_s)
        _withdraw_unstarted_runs(leadership, tables)
        fit_weights(leadership.interference, now_s)
        prune_means(leadership.interference, now_s)
        prune_inactive_steps(leadership.advice, tables)
        prune_index(leadership.index, tables, now_s)
        prune_run_times(leadership.run_times, tables)
        _migrate_slow_runs(leadership, tables, now_s)
        leadership.needs_pass = leadership.needs_pass or bool(
            tables.index.waiting
        )
    if leadership.needs_pass and now_s >= leadership.pass_at_s:
        leadership.pass_at_s = now_s + PASS_INTERVAL_S
        leadership.needs_pass = False
        effects.extend(_run_pass(leadership, tables, now_s, now_ms))
    if is_sweep_due and leadership.unrecorded_workflows:
        # No other operation took them along since the last sweep.
        begun = _take_begun_workflows(leadership)
        effects.append(ProposeAsLeader(RecordRuns(begun_workflows=begun)))
    effects.extend(
        _send_orders(leadership, tables, leadership.views[guard], now_s)
        for guard in leadership.guards_to_update
        if guard in leadership.views
    )
    leadership.guards_to_update.clear()
    return effects


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
        placed_runs = get_placed_runs(leadership.index, tables, guard)
        for key in list_runs_to_evacuate(placed_runs, view, now_s):
            if key not in leadership.stop_reasons:
                leadership.stop_reasons[key] = 'its worker is draining'
                leadership.guards_to_update[guard] = None


def _withdraw_unstarted_runs(
    leadership: RunLeadership, tables: WorkflowTables
) -> None:
    for guard, view in leadership.views.items():
        if not view.is_evacuated:
            continue
        placed_runs = get_placed_runs(leadership.index, tables, guard)
        for key in list_unstarted_runs(placed_runs, view):
            if key not in leadership.stop_reasons:
                leadership.stop_reasons[key] = 'its data centre is evacuated'
                leadership.guards_to_update[guard] = None


def _migrate_slow_runs(
    leadership: RunLeadership,
    tables: WorkflowTables,
    now_s: float,
) -> None:
    scheduling_pass = create_pass(leadership, tables, now_s)
    for migration in choose_migrations(
        scheduling_pass, leadership.migrated_at_s
    ):
        key = migration.key
        leadership.stop_reasons[key] = 'slower than on another worker'
        leadership.reserved_guards[key.task_id] = migration.target
        leadership.guards_to_update[_get_guard(tables, key.task_id)] = None


def _run_pass(
    leadership: RunLeadership,
    tables: WorkflowTables,
    now_s: float,
    now_ms: float,
) -> list[RunEffect]:
    if not tables.index.waiting and not leadership.reserved_guards:
        _replace_reservations(leadership, {})
        return []
    scheduling_pass = create_pass(leadership, tables, now_s)
    place_migrated(scheduling_pass, leadership.reserved_guards)
    ranks = rank_waiting_steps(
        leadership.cached_ranks, tables, now_ms, get_step_order(leadership)
    )
    starts = place_waiting(scheduling_pass, ranks)
    _update_reservations(leadership, scheduling_pass, ranks)
    if not starts:
        return []
    for start in starts:
        leadership.proposed_starts[start.task_id] = start
    begun = _take_begun_workflows(leadership)
    return [
        ProposeAsLeader(
            RecordRuns(starts=tuple(starts), begun_workflows=begun)
        ),
    ]


def _update_reservations(
    leadership: RunLeadership,
    scheduling_pass: SchedulingPass,
    ranks: list[StepRank],
) -> None:
    now_s = scheduling_pass.now_s
    is_reserving = leadership.settings.is_packed
    if not is_reserving or now_s < leadership.reserve_at_s:
        return
    leadership.reserve_at_s = now_s + RESERVATION_INTERVAL_S
    _replace_reservations(leadership, reserve_room(scheduling_pass, ranks))


def _replace_reservations(
    leadership: RunLeadership, reservations: Reservations
) -> None:
    changed = dict.fromkeys(leadership.reservations)
    changed.update(dict.fromkeys(reservations))
    leadership.reservations = reservations
    for guard in changed:
        mark_changed(leadership.index, guard)


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
        leadership.proposed_ends,
        leadership.interference,
        leadership.advice,
        now_s,
    )
    placed_runs = get_placed_runs(leadership.index, tables, view.guard)
    orders = create_run_orders(context, tables, view, placed_runs)
    return Send(view.guard, orders)
