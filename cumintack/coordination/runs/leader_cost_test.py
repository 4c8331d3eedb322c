"""Tests that the leader's work grows with what changes, not with the fleet.

Work is counted as evaluations of a worker for a task, so that the tests do
not depend on the speed of the machine.
"""

import pytest

from cumintack.coordination.runs.admission_advice import AdviceState
from cumintack.coordination.runs.candidate_index import (
    CandidateIndex,
    TaskKind,
    create_task_kind,
    find_best_candidate,
    mark_changed,
)
from cumintack.coordination.runs.interference_model import InterferenceModel
from cumintack.coordination.runs.placement import (
    SchedulingPass,
    place_waiting,
)
from cumintack.coordination.runs.waiting.step_ranking import rank_waiting_steps
from cumintack.coordination.runs.worker_views import WorkerUsage, WorkerView
from cumintack.protocol.run_messages import WorkerInfo
from cumintack.state._workflow_transitions import apply_workflow_operation
from cumintack.state.queues import Pool, Queue, QueueConfiguration
from cumintack.state.resources import Resources
from cumintack.state.workflows import (
    AcceptWorkflow,
    ReplaceQueues,
    StepKey,
    StepSpec,
    WorkflowSpec,
    WorkflowTables,
)

STEP = StepSpec(10, Resources(1000, 100), 1000)
KIND = create_task_kind('pool', StepKey('0', 0, 0), STEP)


class CountedIndex:
    """An index over idle workers that counts evaluations."""

    def __init__(self, worker_count: int) -> None:
        """Let every worker report once."""
        self.evaluation_count = 0
        self.index = CandidateIndex()
        self.tables = WorkflowTables()
        self.views = {
            f'g{number}': _create_view(f'g{number}')
            for number in range(worker_count)
        }
        for guard in self.views:
            mark_changed(self.index, guard)

    def find(self, kind: TaskKind) -> WorkerView | None:
        """Find the best worker for a kind of task."""

        def rate(view: WorkerView, _usage: WorkerUsage) -> float | None:
            self.evaluation_count += 1
            return 1 if view.facts.pool == kind.pool else None

        return find_best_candidate(
            self.index, kind, self.tables, self.views, rate, 0
        )


def _create_view(guard: str, cores_milli: int = 4000) -> WorkerView:
    worker_info = WorkerInfo(
        guard, guard, 'pool', 'yard', Resources(cores_milli, 10000), ()
    )
    return WorkerView(guard, worker_info, 0, 0, is_usable=True)


@pytest.mark.parametrize('worker_count', [40, 1000])
def test_choice_evaluates_changed_workers_only(worker_count: int) -> None:
    """Reports of three workers cost three evaluations in any fleet."""
    counted = CountedIndex(worker_count)
    counted.find(KIND)
    assert counted.evaluation_count == worker_count
    for guard in ('g1', 'g5', 'g9'):
        mark_changed(counted.index, guard)
    counted.find(KIND)
    counted.find(KIND)
    assert counted.evaluation_count == worker_count + 3


@pytest.mark.parametrize('worker_count', [40, 1000])
def test_kind_without_room_is_evaluated_once(worker_count: int) -> None:
    """A backlog of a kind that fits nowhere costs no further evaluation."""
    counted = CountedIndex(worker_count)
    kind = create_task_kind('other', StepKey('0', 0, 0), STEP)
    for _ in range(50):
        assert counted.find(kind) is None
    assert counted.evaluation_count == worker_count


def test_queue_stays_bounded_under_reports() -> None:
    """Outdated entries of workers that are never the best are removed."""
    counted = CountedIndex(20)
    for _ in range(200):
        mark_changed(counted.index, 'g7')
        counted.find(KIND)
    assert len(counted.index.queues[KIND].heap) <= 100


def test_backlog_fills_every_worker_to_its_capacity() -> None:
    """The tasks that fit are placed, and those behind them wait."""
    tables = WorkflowTables()
    queue = Queue('queue', 'host', '/queue/', 'pool')
    configuration = QueueConfiguration(1, (queue,), (Pool('pool'),))
    apply_workflow_operation(tables, ReplaceQueues(configuration), 0)
    for number in range(3):
        workflow_id = f'{number:016x}'
        apply_workflow_operation(
            tables,
            AcceptWorkflow(
                workflow_id,
                'host',
                f'/queue/{workflow_id}',
                WorkflowSpec('text', (STEP,)),
            ),
            0,
        )
    views = {guard: _create_view(guard) for guard in ('g1', 'g2', 'g3')}
    index = CandidateIndex()
    for guard in views:
        mark_changed(index, guard)
    scheduling_pass = SchedulingPass(
        tables, views, index, (), InterferenceModel(), AdviceState(), 0
    )
    starts = place_waiting(scheduling_pass, rank_waiting_steps({}, tables, 0))
    assert len(starts) == 12
    by_guard = [start.guard for start in starts]
    assert all(by_guard.count(guard) == 4 for guard in views)
