"""Tests of packed placement: which workers are left to whom."""

from collections.abc import Iterable

import pytest

from cumintack.coordination.runs.admission_advice import AdviceState
from cumintack.coordination.runs.candidate_index import (
    CandidateIndex,
    mark_changed,
)
from cumintack.coordination.runs.interference_model import (
    LEARNED_STRENGTH,
    ImageStatistics,
    InterferenceModel,
)
from cumintack.coordination.runs.migration import choose_migrations
from cumintack.coordination.runs.placement import (
    SchedulingPass,
    place_waiting,
)
from cumintack.coordination.runs.waiting.step_ranking import rank_waiting_steps
from cumintack.coordination.runs.worker_views import RunProgress, WorkerView
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
    WorkflowOperation,
    WorkflowSpec,
    WorkflowTables,
)

SERVING = 'serving'
CLEAN = 'clean'
WORKERS = (CLEAN, SERVING)
RELAY = StepSpec(
    2, Resources(6000, 100), is_long_running=True, image='relay', target_ms=50
)
SMALL = StepSpec(1, Resources(1000, 10), 1000)
LEARNED = {
    ('light', 'light'): LEARNED_STRENGTH,
    ('heavy', 'heavy'): LEARNED_STRENGTH,
}
MODEL = InterferenceModel(
    {
        'relay': ImageStatistics(
            product_sums=LEARNED, weights={'light': 0.01, 'heavy': 0.1}
        ),
    }
)


class TwoWorkers:
    """A worker with two latency-critical tasks, and one without any."""

    def __init__(self) -> None:
        """Let the latency-critical tasks report a margin of four."""
        self.tables = WorkflowTables()
        self._count = 0
        queue = Queue('queue', 'host', '/queue/', 'pool', 0, 2, 2, 1000, 3000)
        self._apply(
            ReplaceQueues(QueueConfiguration(1, (queue,), (Pool('pool'),))),
        )
        self.views = {name: _create_view(name) for name in WORKERS}
        relay = self.accept(RELAY)
        for key in self.start((f'{relay}.0.0.0', f'{relay}.0.0.1'), SERVING):
            self._list(key, SERVING, 100, 12.5)

    def _apply(self, operation: WorkflowOperation) -> None:
        apply_workflow_operation(self.tables, operation, 0)

    def accept(self, step: StepSpec) -> str:
        """Accept a workflow of one step, and return its identifier."""
        self._count += 1
        workflow_id = f'{self._count:016x}'
        spec = WorkflowSpec('text', (step,))
        path = f'/queue/{workflow_id}'
        self._apply(AcceptWorkflow(workflow_id, 'host', path, spec))
        return workflow_id

    def start(self, tasks: Iterable[str], guard: str) -> list[RunKey]:
        """Record starts of tasks on a worker."""
        starts = tuple(RunStart(task, 1, guard, guard) for task in tasks)
        self._apply(RecordRuns(starts=starts))
        return [RunKey(start.task_id, 1) for start in starts]

    def _list(
        self, key: RunKey, guard: str, percent: float, measurement: float
    ) -> None:
        run = RunningRun(key, '', percent, measurement, has_details=True)
        self.views[guard].running[key] = run

    def run_slowly(self, step: StepSpec, guard: str) -> RunKey:
        """Let the task of a step run at a fifth of its speed for a while."""
        workflow_id = self.accept(step)
        key = self.start((f'{workflow_id}.0.0.0',), guard)[0]
        self._list(key, guard, 10, 800)
        self.views[guard].progress_by_run[key] = RunProgress(
            0, 0, 10, 0.4, 0.2, slow_since_s=-2
        )
        return key

    def create_pass(self, *, is_packed: bool) -> SchedulingPass:
        """Begin a scheduling pass."""
        index = CandidateIndex()
        for name in self.views:
            mark_changed(index, name)
        return SchedulingPass(
            self.tables,
            self.views,
            index,
            {},
            MODEL,
            AdviceState(),
            0,
            is_packed=is_packed,
        )

    def place(self, step: StepSpec, *, is_packed: bool) -> str:
        """Place the task of a step, and return the worker."""
        self.accept(step)
        scheduling_pass = self.create_pass(is_packed=is_packed)
        ranks = rank_waiting_steps({}, self.tables, 0)
        starts = place_waiting(scheduling_pass, ranks)
        return starts[-1].guard


def _create_view(name: str) -> WorkerView:
    worker_info = WorkerInfo(
        name, name, 'pool', 'yard', Resources(32000, 10000), ()
    )
    return WorkerView(name, worker_info, 0, 0, is_usable=True)


def _create_best_effort(image: str) -> StepSpec:
    return StepSpec(
        1, Resources(4000, 10), 4000, image=image, is_best_effort=True
    )


# Guards against a worker without latency-critical tasks that is full of tasks
# which would run as well beside them, while others run slowly there.
@pytest.mark.parametrize(
    ('image', 'guard'),
    [('light', SERVING), ('heavy', CLEAN), ('unknown', CLEAN)],
)
def test_best_effort_tasks_go_to_those_who_bear_them(
    image: str, guard: str
) -> None:
    """An image that was not observed there yet goes to the clean worker."""
    step = _create_best_effort(image)
    assert TwoWorkers().place(step, is_packed=True) == guard
    assert TwoWorkers().place(step, is_packed=False) == CLEAN


# Guards against small tasks that take the last gap for a large one.
@pytest.mark.parametrize(
    ('is_packed', 'guard'), [(True, SERVING), (False, CLEAN)]
)
def test_small_tasks_go_to_the_smallest_gap(
    guard: str, *, is_packed: bool
) -> None:
    """Twenty cores are free beside the latency-critical tasks, not 32."""
    assert TwoWorkers().place(SMALL, is_packed=is_packed) == guard


# Guards against a task that is stopped again and again, since it is soon as
# slow on the next worker as on the last one.
@pytest.mark.parametrize('is_packed', [True, False])
def test_task_moves_only_where_it_stays_fast(*, is_packed: bool) -> None:
    """The only other worker has tasks that do not bear it."""
    workers = TwoWorkers()
    workers.run_slowly(_create_best_effort('heavy'), CLEAN)
    workers.views[SERVING].facts = WorkerInfo(
        SERVING, SERVING, 'pool', 'yard', Resources(64000, 10000), ()
    )
    moves = choose_migrations(workers.create_pass(is_packed=is_packed), {})
    assert bool(moves) is not is_packed
