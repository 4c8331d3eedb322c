"""Tests of reconciliation: an ended attempt is never started again."""

from cumintack.coordination.worker_tasks import (
    WorkerTasks,
    apply_orders,
    create_reports,
    record_worker_report,
)
from cumintack.protocol.messages import TaskOrder, WorkerOrders
from cumintack.protocol.worker_actions import HeldAttempt
from cumintack.state.jobs import ReportKind


def test_ended_attempt_that_worker_forgot_is_reported() -> None:
    """An order for an ended attempt is reported as vanished, not started."""
    state = WorkerTasks('w0')
    record_worker_report(state, [HeldAttempt('j1/0', 1, 'stopped')])
    record_worker_report(state, [])
    state.sent_at_s = 5
    state.is_answered = False
    orders = WorkerOrders(1, 5, 10, (TaskOrder('j1/0', 1),), ())
    assert apply_orders(state, orders, 6) == []
    reports = create_reports(state)
    assert [report.kind for report in reports] == [ReportKind.vanished]
