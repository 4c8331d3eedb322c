"""Tests of run times that callers declare wrongly."""

import math
import random

import pytest

from cumintack.coordination.runs.waiting.run_time_estimates import (
    RunTimeModel,
    estimate_run_time_s,
    extrapolate_run_time_s,
    observe_run_times,
    prune_run_times,
)
from cumintack.coordination.runs.worker_views import (
    RunProgress,
    WorkerView,
    list_placed_runs,
)
from cumintack.protocol.run_messages import RunKey, WorkerInfo
from cumintack.state._workflow_transitions import apply_workflow_operation
from cumintack.state.queues import Pool, Queue, QueueConfiguration
from cumintack.state.resources import Resources
from cumintack.state.workflows import (
    AcceptWorkflow,
    CancelWorkflow,
    RecordRuns,
    ReplaceQueues,
    RunStart,
    StepKey,
    StepSpec,
    WorkflowOperation,
    WorkflowSpec,
    WorkflowTables,
)

GUARD = '10.0.0.1'
LIFETIME = '000001.worker'
NEED = Resources(3500, 6400)
# Largest error of estimates, as a share of that of unreliable declarations.
MAX_ERROR_SHARE = 0.75
# Logarithm of the spread of the tasks of one step, which no estimate can beat.
MAX_TASK_SPREAD = 0.25
WORKER = WorkerInfo('worker', LIFETIME, 'pool', 'yard', NEED, ())


class Fleet:
    """One worker on which the first task of each workflow runs."""

    def __init__(self) -> None:
        """Configure one queue."""
        self.tables = WorkflowTables()
        self.model = RunTimeModel()
        self.now_s = 0.0
        self._count = 0
        queue = Queue('queue', 'host', '/queue/', 'pool', 2, 2, 2, 1000, 3000)
        self._apply(
            ReplaceQueues(QueueConfiguration(1, (queue,), (Pool('pool'),))),
        )

    def _apply(self, operation: WorkflowOperation) -> None:
        apply_workflow_operation(self.tables, operation, 0)

    def accept(self, declared_s: float) -> StepKey:
        """Accept a workflow of one best-effort step of two tasks."""
        self._count += 1
        workflow_id = f'{self._count:016x}'
        step = StepSpec(2, NEED, round(declared_s * 1000), is_best_effort=True)
        self._apply(
            AcceptWorkflow(
                workflow_id,
                'host',
                f'/queue/{workflow_id}',
                WorkflowSpec('text', (step,)),
            ),
        )
        return StepKey(workflow_id, 0, 0)

    def observe(self, key: StepKey, run_time_s: float) -> None:
        """Let the first task of a step run for a third of its time."""
        task_id = f'{key.workflow_id}.0.0.0'
        self._apply(RecordRuns(starts=(RunStart(task_id, 1, GUARD, LIFETIME),)))
        view = WorkerView(GUARD, WORKER, self.now_s, self.now_s)
        view.progress_by_run = {
            RunKey(task_id, 1): RunProgress(
                self.now_s, 0, 33, run_time_s * 0.33
            ),
        }
        placed_runs = list_placed_runs(self.tables, GUARD)
        observe_run_times(
            self.model, self.tables, placed_runs, view, self.now_s
        )

    def estimate(self, key: StepKey) -> float:
        """Estimate the run time of a step."""
        return estimate_run_time_s(self.model, self.tables, key)

    def end(self, key: StepKey) -> None:
        """Cancel a workflow."""
        path = f'/queue/{key.workflow_id}'
        self._apply(CancelWorkflow(key.workflow_id, 'host', path))


# Guards against a step that is ranked by a wrong declaration after its tasks
# have shown how long they take.
def test_progress_of_one_task_shows_the_run_time_of_its_step() -> None:
    """Whatever the caller has declared."""
    fleet = Fleet()
    key = fleet.accept(declared_s=0.3)
    assert fleet.estimate(key) == pytest.approx(0.3)
    fleet.observe(key, 3)
    assert fleet.estimate(key) == pytest.approx(3)


def _compute_mean_error(fleet: Fleet, spread: float) -> tuple[float, float]:
    """Return the mean errors of estimates and declarations, as logarithms."""
    generator = random.Random(1)
    errors = []
    declared_errors = []
    for number in range(80):
        run_time_s = math.exp(generator.gauss(1, 0.45))
        declared_s = run_time_s * generator.uniform(1 - spread, 1 + spread)
        key = fleet.accept(declared_s)
        if number >= 20:
            error = math.log(fleet.estimate(key) / run_time_s)
            errors.append(abs(error))
            declared_errors.append(abs(math.log(declared_s / run_time_s)))
        fleet.now_s += 1
        fleet.observe(key, run_time_s)
    return (
        sum(errors) / len(errors),
        sum(declared_errors) / len(declared_errors),
    )


# Guards against workflows that count as late, or as hopeless, because their run
# times are declared up to ten times too short.
def test_unreliable_declarations_count_little() -> None:
    """Declarations are wrong by up to 90%."""
    error, declared_error = _compute_mean_error(Fleet(), 0.9)
    assert error / declared_error <= MAX_ERROR_SHARE


# Guards against good declarations that are replaced by the mean of a queue.
def test_reliable_declarations_are_kept() -> None:
    """Declarations are wrong by up to 10%."""
    error, _declared_error = _compute_mean_error(Fleet(), 0.1)
    assert error <= MAX_TASK_SPREAD


# Guards against estimates that stay at what the work was like in the past.
def test_old_observations_are_forgotten() -> None:
    """The work of the queue becomes ten times as long."""
    fleet = Fleet()
    for _ in range(40):
        fleet.now_s += 1
        fleet.observe(fleet.accept(1), 1)
    fleet.now_s += 600
    for _ in range(10):
        fleet.now_s += 1
        fleet.observe(fleet.accept(1), 10)
    estimate_s = fleet.estimate(fleet.accept(1))
    assert round(estimate_s) >= 5


def test_observed_steps_are_pruned() -> None:
    """Only active workflows keep the run times of their tasks."""
    fleet = Fleet()
    keys = [fleet.accept(1) for _ in range(2)]
    for key in keys:
        fleet.observe(key, 2)
    fleet.end(keys[0])
    prune_run_times(fleet.model, fleet.tables)
    assert list(fleet.model.steps) == keys[1:]


@pytest.mark.parametrize(
    ('progress', 'run_time_s'),
    [
        (RunProgress(0, 0, 10, 0.5), None),
        (RunProgress(0, 40, 50, 0.5), None),
        (RunProgress(0, 0, 25, 0.5), 2),
        (RunProgress(0, 40, 90, 0.5), 1),
        (RunProgress(0, 0, 50, 0), 0.01),
    ],
)
def test_run_time_is_extrapolated_from_the_part_that_was_seen(
    progress: RunProgress, run_time_s: float | None
) -> None:
    """A run may have been resumed, or seen late by a new leader."""
    assert extrapolate_run_time_s(progress) == run_time_s
