"""Tests that starts follow the capacity that a worker announces."""

import msgspec

from cumintack.coordination.effects import ProposeAsLeader, Send
from cumintack.coordination.runs.run_leadership import (
    handle_applied_run_operation,
    handle_report,
    handle_run_tick,
)
from cumintack.coordination.runs.run_leadership_state import (
    RunLeadership,
    RunSettings,
)
from cumintack.coordination.runs.run_reconciliation import record_worker_info
from cumintack.coordination.runs.worker_run_state import WorkerRunState
from cumintack.protocol.run_messages import (
    EndedRun,
    RunKey,
    RunningRun,
    RunOrders,
    RunReport,
    WorkerInfo,
)
from cumintack.state._workflow_transitions import apply_workflow_operation
from cumintack.state.queues import Pool, Queue, QueueConfiguration
from cumintack.state.resources import Resources
from cumintack.state.workflows import (
    AcceptWorkflow,
    CancelWorkflow,
    RecordRuns,
    ReplaceQueues,
    StepSpec,
    WorkflowOperation,
    WorkflowSpec,
    WorkflowTables,
)

GUARD = '10.0.0.1'
FULL = Resources(4000, 4000)
SHRUNK = Resources(1000, 1000)
WORKER = WorkerInfo('worker', '000001.worker', 'pool', 'north-yard', FULL, ())
QUEUE = Queue('queue', 'host', '/queue/', 'pool', 0, 2, 2, 1000, 3000)
FIRST_ID = f'{1:016x}'
SECOND_ID = f'{2:016x}'


class CapacityHarness:
    """A leader with one worker, which carries out all starts."""

    def __init__(self) -> None:
        """Accept a workflow that takes half of the worker."""
        self.now_s = 0.0
        self.tables = WorkflowTables()
        self.leadership = RunLeadership(RunSettings(6, 1), 1, 0)
        self.running: dict[RunKey, None] = {}
        self.ended: tuple[EndedRun, ...] = ()
        configuration = QueueConfiguration(1, (QUEUE,), (Pool('pool'),))
        self._apply(ReplaceQueues(configuration))
        self.submit(FIRST_ID, 2)

    def submit(self, workflow_id: str, task_count: int) -> None:
        """Submit a workflow with tasks of one core."""
        step = StepSpec(task_count, Resources(1000, 1000), 1000)
        spec = WorkflowSpec('text', (step,))
        path = f'/queue/{workflow_id}'
        self._apply(AcceptWorkflow(workflow_id, 'host', path, spec))

    def cancel(self, workflow_id: str) -> None:
        """Cancel a workflow; its runs take a while to stop."""
        path = f'/queue/{workflow_id}'
        self._apply(CancelWorkflow(workflow_id, 'host', path))

    def end_runs(self, workflow_id: str) -> None:
        """List the runs of a workflow as stopped."""
        for key in list(self.running):
            if key.task_id.startswith(workflow_id):
                self.running.pop(key)
                ended = EndedRun(len(self.ended) + 1, key, 'stopped', '')
                self.ended = (*self.ended, ended)

    def report(self, holds: Resources) -> int:
        """Report a capacity; return how many runs the worker has then."""
        self.now_s += 0.5
        report = RunReport(
            self.now_s,
            1,
            msgspec.structs.replace(WORKER, holds=holds),
            tuple(RunningRun(key, '', 50, 0, True) for key in self.running),
            self.ended,
            (),
            is_looked=True,
            is_answering=True,
            is_gone=False,
            unsure_for_s=0,
        )
        self._run(
            handle_report(
                self.leadership, self.tables, GUARD, report, self.now_s
            )
        )
        for offset_s in (0, 0.02):
            now_s = self.now_s + offset_s
            self._run(handle_run_tick(self.leadership, self.tables, now_s, 0))
        return len(self.running)

    def _apply(self, operation: WorkflowOperation) -> None:
        assert apply_workflow_operation(self.tables, operation, 0) is None
        handle_applied_run_operation(self.leadership, self.tables, operation)

    def _run(self, effects: list[Send | ProposeAsLeader]) -> None:
        for effect in effects:
            match effect:
                case Send(message=RunOrders() as orders):
                    self.running.update(
                        (order.key, None) for order in orders.wanted
                    )
                case ProposeAsLeader(operation=RecordRuns() as operation):
                    self._apply(operation)


def test_no_start_brings_a_shrunk_worker_over_its_capacity() -> None:
    """Guards against placing by the capacity that a worker had before."""
    harness = CapacityHarness()
    assert harness.report(FULL) == 2
    harness.submit(SECOND_ID, 2)
    assert harness.report(SHRUNK) == 2
    assert harness.report(SHRUNK) == 2
    assert harness.report(FULL) == 4


def test_stopping_runs_count_on_a_shrunk_worker() -> None:
    """Guards against a start in the place of a run that still stops."""
    harness = CapacityHarness()
    harness.report(FULL)
    harness.cancel(FIRST_ID)
    harness.submit(SECOND_ID, 2)
    half = Resources(2000, 2000)
    assert harness.report(half) == 2
    harness.end_runs(FIRST_ID)
    assert harness.report(SHRUNK) == 1
    assert harness.report(half) == 2


# Guards against starts placed by a capacity that is gone.
def test_changed_capacity_is_reported_at_once() -> None:
    """Guards against starts in the half second until the next report."""
    state = WorkerRunState(10)
    record_worker_info(state, WORKER, 0)
    assert not record_worker_info(state, WORKER, 1)
    shrunk = msgspec.structs.replace(WORKER, holds=SHRUNK)
    assert record_worker_info(state, shrunk, 2)
