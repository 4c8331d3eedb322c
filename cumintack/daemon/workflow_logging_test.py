"""The end of a workflow is logged in one line."""

import pytest
import structlog

from cumintack.coordination.effects import ProposeAsLeader
from cumintack.coordination.runs.run_leadership_state import (
    RunLeadership,
    RunSettings,
)
from cumintack.coordination.runs.worker_views import WorkerView
from cumintack.daemon.workflow_logging import (
    log_expired_leases,
    log_operation,
    log_reported_losses,
)
from cumintack.protocol.run_messages import RunKey, RunReport, WorkerInfo
from cumintack.state._workflow_transitions import apply_workflow_operation
from cumintack.state.queues import Pool, Queue, QueueConfiguration
from cumintack.state.resources import Resources
from cumintack.state.workflows import (
    AcceptWorkflow,
    CancelWorkflow,
    RecordRuns,
    ReplaceQueues,
    RunEnd,
    RunEndKind,
    RunStart,
    StepSpec,
    WorkflowOperation,
    WorkflowSpec,
    WorkflowTables,
)

WORKFLOW_ID = '0123456789abcdef'
FINISHED_EVENT = 'control: workflow over'
PATH = f'/queue/{WORKFLOW_ID}'
TASKS = tuple(f'{WORKFLOW_ID}.0.0.{index}' for index in range(3))


def _end(index: int, kind: RunEndKind) -> RecordRuns:
    return RecordRuns(ends=(RunEnd(TASKS[index], 1, kind),))


def _list_logged_statuses(*operations: WorkflowOperation) -> list[str]:
    queue = Queue('queue', 'host', '/queue/', 'pool', attempts=1)
    configuration = QueueConfiguration(1, (queue,), (Pool('pool'),))
    spec = WorkflowSpec('text', (StepSpec(3, Resources(1000, 100)),))
    starts = tuple(RunStart(task_id, 1, 'guard', 'life') for task_id in TASKS)
    tables = WorkflowTables()
    first = (
        ReplaceQueues(configuration),
        AcceptWorkflow(WORKFLOW_ID, 'host', PATH, spec),
        RecordRuns(starts=starts),
    )
    with structlog.testing.capture_logs() as lines:
        for operation in (*first, *operations):
            apply_workflow_operation(tables, operation, 1)
            log_operation(tables, operation)
        finished_lines = [
            line for line in lines if line['event'] == FINISHED_EVENT
        ]
    return [finished['status'] for finished in finished_lines]


@pytest.mark.parametrize(
    ('operations', 'statuses'),
    [
        ([_end(index, RunEndKind.done) for index in range(3)], ['completed']),
        (
            [
                _end(0, RunEndKind.failed),
                _end(1, RunEndKind.stopped),
                _end(2, RunEndKind.stopped),
            ],
            ['failed'],
        ),
        (
            [
                CancelWorkflow(WORKFLOW_ID, 'host', PATH),
                _end(0, RunEndKind.stopped),
                _end(1, RunEndKind.stopped),
            ],
            [],
        ),
    ],
)
def test_workflow_end_is_logged_once(
    operations: list[WorkflowOperation],
    statuses: list[str],
) -> None:
    """Run ends after the end of the workflow are not logged as its end."""
    assert _list_logged_statuses(*operations) == statuses


WORKER = WorkerInfo('w', '1.w', 'pool', 'zone', Resources(1, 1), ())
LOST = RecordRuns(ends=(RunEnd(TASKS[0], 1, RunEndKind.lost),))


# Guards against a log line that ends a leader that granted no lease yet.
def test_expired_lease_of_a_worker_without_a_grant() -> None:
    """The line tells that there is no such time."""
    leadership = RunLeadership(RunSettings(8, 8), 1, 0)
    leadership.views['guard'] = WorkerView('guard', WORKER, 1, 1)
    leadership.proposed_ends[RunKey(TASKS[0], 1)] = 'guard'
    with structlog.testing.capture_logs() as lines:
        log_expired_leases([ProposeAsLeader(LOST)], leadership, 30)
    assert lines[0]['granted_ms'] is None
    assert lines[0]['silent_ms'] == 29000


# Guards against a log line that ends a leader because of a number of a guard.
def test_reported_loss_with_a_hold_without_bound() -> None:
    """The line is logged without it."""
    report = RunReport(
        1,
        1,
        WORKER,
        (),
        (),
        (),
        is_looked=True,
        is_answering=True,
        is_gone=True,
        unsure_for_s=float('inf'),
    )
    with structlog.testing.capture_logs() as lines:
        log_reported_losses([ProposeAsLeader(LOST)], 'guard', report)
    assert lines[0]['unsure_ms'] is None
