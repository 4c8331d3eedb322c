"""Tests that a worker on which no run advances is excluded."""

import pytest

from cumintack.coordination.runs.stall_detection import (
    STALL_TIMEOUT_S,
    detect_stalled_runs,
)
from cumintack.coordination.runs.worker_views import (
    WorkerView,
    is_schedulable,
    list_placed_runs,
)
from cumintack.protocol.run_messages import RunKey, RunningRun, WorkerInfo
from cumintack.state._workflow_transitions import apply_workflow_operation
from cumintack.state.queues import Pool, Queue, QueueConfiguration
from cumintack.state.resources import Resources
from cumintack.state.workflows import (
    AcceptWorkflow,
    RecordRuns,
    ReplaceQueues,
    RunStart,
    StepSpec,
    WorkflowSpec,
    WorkflowTables,
)

WORKFLOW_ID = '0123456789abcdef'
GUARD = '10.0.0.1'
LIFETIME = '000001.worker'
NEED = Resources(1000, 100)
REPORT_INTERVAL_S = 0.4


class Worker:
    """A worker with two runs of one step."""

    def __init__(self, step: StepSpec) -> None:
        """Place both tasks of the step."""
        self.tables = WorkflowTables()
        queue = Queue('queue', 'host', '/queue/', 'pool')
        configuration = QueueConfiguration(1, (queue,), (Pool('pool'),))
        spec = WorkflowSpec('text', (step,))
        path = f'/queue/{WORKFLOW_ID}'
        tasks = [f'{WORKFLOW_ID}.0.0.{index}' for index in range(2)]
        starts = tuple(RunStart(task, 1, GUARD, LIFETIME) for task in tasks)
        for operation in (
            ReplaceQueues(configuration),
            AcceptWorkflow(WORKFLOW_ID, 'host', path, spec),
            RecordRuns(starts=starts),
        ):
            apply_workflow_operation(self.tables, operation, 0)
        worker_info = WorkerInfo('worker', LIFETIME, 'pool', 'yard', NEED, ())
        self.view = WorkerView(GUARD, worker_info, 0, 0, is_usable=True)
        self.keys = [RunKey(task, 1) for task in tasks]
        self.now_s = 0.0

    def report(self, *percents: float) -> list[RunKey]:
        """Report the progress of the runs, and return those to migrate."""
        self.now_s += REPORT_INTERVAL_S
        self.view.last_report_at_s = self.now_s
        self.view.running = {
            key: RunningRun(key, '', percent, 0, has_details=True)
            for key, percent in zip(self.keys, percents, strict=True)
        }
        return detect_stalled_runs(
            list_placed_runs(self.tables, GUARD),
            self.view,
            self.now_s,
        )

    def stall(self, *percents: float) -> list[RunKey]:
        """Report the same progress until the stall timeout has passed."""
        stalled: list[RunKey] = []
        for _ in range(int(STALL_TIMEOUT_S / REPORT_INTERVAL_S) + 2):
            stalled = self.report(*percents)
        return stalled

    def is_schedulable(self) -> bool:
        """Tell whether tasks could be placed on the worker."""
        return is_schedulable(self.view, self.now_s)


def test_stalled_worker_is_excluded_and_evacuated() -> None:
    """A run with little progress is restarted elsewhere; the other stays."""
    worker = Worker(StepSpec(2, NEED, 1000))
    assert worker.stall(20, 80) == [worker.keys[0]]
    assert not worker.is_schedulable()


def test_progress_of_one_run_clears_the_worker() -> None:
    """A worker on which one of two tasks advances is healthy."""
    worker = Worker(StepSpec(2, NEED, 1000))
    for percent in range(10):
        assert not worker.report(20, percent)
        assert worker.is_schedulable()


def test_resumed_worker_is_used_again() -> None:
    """The first progress ends the stall."""
    worker = Worker(StepSpec(2, NEED, 1000))
    worker.stall(20, 80)
    worker.report(30, 90)
    worker.now_s += 1
    assert not worker.report(40, 95)
    assert worker.is_schedulable()


def test_checkpointed_tasks_all_migrate() -> None:
    """A task with checkpoints loses nothing by a migration."""
    worker = Worker(StepSpec(2, NEED, 1000, is_checkpointed=True))
    assert worker.stall(20, 80) == worker.keys


@pytest.mark.parametrize(
    'step',
    [
        StepSpec(2, NEED, 1000, is_long_running=True),
        StepSpec(2, NEED, 1000, is_best_effort=True),
        StepSpec(2, NEED, 1000, is_gang=True),
        StepSpec(2, NEED, 90000),
    ],
)
def test_tasks_that_may_pause_are_ignored(step: StepSpec) -> None:
    """A worker is not excluded because of such tasks."""
    worker = Worker(step)
    assert not worker.stall(0, 0)
    assert worker.is_schedulable()
