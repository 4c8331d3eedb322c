"""Expiry of the leases of workers whose guards are silent.

The runs of a silent guard are placed again once every lease that it may hold
has certainly expired, and no call that it left unanswered can prolong one.
"""

from cumintack.coordination.runs.candidate_index import get_placed_runs
from cumintack.coordination.runs.run_ends import get_task_and_run
from cumintack.coordination.runs.run_leadership_state import RunLeadership
from cumintack.coordination.runs.unanswered_calls import MAX_CALL_DELAY_S
from cumintack.protocol.run_messages import RunKey, RunReport
from cumintack.state.workflows import RunEnd, RunEndKind, WorkflowTables

# Seconds added to the end of a lease before its runs count as lost: the clocks
# of two machines may drift apart by 2% over a lease.
LEASE_MARGIN_S = 0.3


def detect_expired_leases(
    leadership: RunLeadership, tables: WorkflowTables, now_s: float
) -> list[RunEnd]:
    """Find the runs of silent guards whose leases have certainly expired.

    Args:
        leadership: The state of the leader.
        tables: The replicated workflow tables.
        now_s: Current time of the monotonic clock, in seconds.

    Returns:
        Their ends as lost runs, with their latest checkpoints.
    """
    ends = []
    is_any_call_late = now_s < leadership.late_calls_until_s
    delay_s = MAX_CALL_DELAY_S if is_any_call_late else 0
    for guard in tables.index.placed:
        if now_s <= _get_lease_end_bound(leadership, guard, delay_s):
            continue
        for placed in get_placed_runs(leadership.index, tables, guard).values():
            key = placed.key
            checkpoint = get_latest_checkpoint(leadership, guard, key)
            ends.append(
                RunEnd(*get_task_and_run(key), RunEndKind.lost, checkpoint)
            )
    return ends


def get_latest_checkpoint(
    leadership: RunLeadership, guard: str, key: RunKey
) -> str:
    """Get the latest checkpoint of a run that its worker has listed.

    Args:
        leadership: The state of the leader.
        guard: The name of the guard of the worker.
        key: The run.

    Returns:
        The checkpoint, empty if there is none.
    """
    view = leadership.views.get(guard)
    if view is None:
        return ''
    run = view.running.get(key) or view.earlier_running.get(key)
    return run.checkpoint if run else ''


def record_late_calls(
    leadership: RunLeadership, report: RunReport, now_s: float
) -> None:
    """Record that a worker has left a call unanswered of late.

    After a restart of a worker or of a guard the guard assumes a lease that
    nobody else knows of; only an unanswered call adds its delay to a lease.

    Args:
        leadership: The state of the leader, changed in place.
        report: The report of the guard.
        now_s: Current time of the monotonic clock, in seconds.
    """
    late_for_s = report.late_calls_for_s
    is_observed = not report.is_restarted
    if is_observed and report.unsure_for_s > MAX_CALL_DELAY_S:
        late_for_s = max(late_for_s, report.unsure_for_s)
    if late_for_s:
        leadership.late_calls_until_s = max(
            leadership.late_calls_until_s, now_s + late_for_s
        )


def _get_lease_end_bound(
    leadership: RunLeadership, guard: str, delay_s: float
) -> float:
    """Return until when runs on the worker of a silent guard may go on.

    The guard may have left a call unanswered after its last report. Where calls
    are carried out late, it may hold a whole lease from that moment on.
    """
    settings = leadership.settings
    latest_lease_end_s = (
        leadership.leading_since_s
        + settings.previous_leader_grant_s
        + settings.lease_s
    )
    uncertain_bound_s = float('-inf')
    view = leadership.views.get(guard)
    if view is not None:
        uncertain_bound_s = view.last_report_at_s + view.unsure_for_s
        latest_lease_end_s = max(
            latest_lease_end_s,
            view.granted_until_s,
            view.last_report_at_s + settings.lease_s,
        )
    return LEASE_MARGIN_S + max(uncertain_bound_s, latest_lease_end_s + delay_s)
