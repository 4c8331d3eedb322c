"""Tests of one slow task in a step while other workers have free capacity."""

import msgspec
import pytest

from cumintack.coordination.runs.admission_advice import AdviceState
from cumintack.coordination.runs.candidate_index import (
    CandidateIndex,
    mark_changed,
)
from cumintack.coordination.runs.interference_model import InterferenceModel
from cumintack.coordination.runs.migration import (
    MIN_INTERVAL_S,
    Migration,
    choose_migrations,
    estimate_work,
    update_progress,
)
from cumintack.coordination.runs.placement import (
    SchedulingPass,
    place_migrated,
    place_waiting,
)
from cumintack.coordination.runs.waiting.step_ranking import rank_waiting_steps
from cumintack.coordination.runs.worker_views import (
    RunProgress,
    WorkerView,
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
    RunEnd,
    RunEndKind,
    RunStart,
    StepSpec,
    WorkflowSpec,
    WorkflowTables,
)

WORKFLOW_ID = '0123456789abcdef'
NEED = Resources(4000, 1000)
STEP = StepSpec(
    2, NEED, 8000, is_checkpointed=True, image='batch', is_best_effort=True
)
SLOW = 'slow'
IDLE = 'idle'
REPORT_INTERVAL_S = 0.5


class TwoWorkers:
    """A worker with two runs of one step, and another worker."""

    def __init__(self, step: StepSpec, idle_cores_milli: int = 32000) -> None:
        """Place both tasks on the first worker."""
        self.now_s = 0.0
        self.tables = WorkflowTables()
        queue = Queue('queue', 'host', '/queue/', 'pool')
        path = f'/queue/{WORKFLOW_ID}'
        starts = tuple(
            RunStart(f'{WORKFLOW_ID}.0.0.{index}', 1, SLOW, SLOW)
            for index in range(2)
        )
        for operation in (
            ReplaceQueues(QueueConfiguration(1, (queue,), (Pool('pool'),))),
            AcceptWorkflow(
                WORKFLOW_ID, 'host', path, WorkflowSpec('text', (step,))
            ),
            RecordRuns(starts=starts),
        ):
            apply_workflow_operation(self.tables, operation, 0)
        self.keys = [RunKey(start.task_id, 1) for start in starts]
        self.index = CandidateIndex()
        self.views = {
            SLOW: _create_view(SLOW, 8000),
            IDLE: _create_view(IDLE, idle_cores_milli),
        }
        self.migrated_at_s: dict[str, float] = {}
        self.report(1, 1)

    def report(self, *speeds: float, percent: float = 20) -> None:
        """Report the speeds of both runs."""
        self.now_s += REPORT_INTERVAL_S
        view = self.views[SLOW]
        view.running = {
            key: RunningRun(
                key, '', percent, speed * NEED.cores_milli, has_details=True
            )
            for key, speed in zip(self.keys, speeds, strict=True)
        }
        placed_runs = list_placed_runs(self.tables, SLOW)
        update_progress(placed_runs, view, self.now_s)
        for guard, reported in self.views.items():
            reported.last_report_at_s = self.now_s
            mark_changed(self.index, guard)

    def choose(self) -> list[Migration]:
        """Choose the migrations that are due."""
        return choose_migrations(self.create_pass(), self.migrated_at_s)

    def create_pass(self) -> SchedulingPass:
        """Create a scheduling pass at the current time."""
        return SchedulingPass(
            self.tables,
            self.views,
            self.index,
            (),
            InterferenceModel(),
            AdviceState(),
            self.now_s,
        )

    def report_and_choose(
        self, count: int, *speeds: float, percent: float = 20
    ) -> list[Migration]:
        """Report the same several times, and return the last choice."""
        chosen: list[Migration] = []
        for _ in range(count):
            self.report(*speeds, percent=percent)
            chosen = self.choose()
            if chosen:
                return chosen
        return chosen


def _create_view(guard: str, cores_milli: int) -> WorkerView:
    worker_info = WorkerInfo(
        guard, guard, 'pool', 'yard', Resources(cores_milli, 100000), ()
    )
    return WorkerView(guard, worker_info, 0, 0, is_usable=True)


def test_slow_run_migrates_and_its_fast_sibling_stays() -> None:
    """The step ends with its slowest task, at 0.3 of its speed here."""
    workers = TwoWorkers(STEP)
    assert workers.report_and_choose(8, 0.3, 1) == [
        Migration(workers.keys[0], IDLE)
    ]


def test_run_at_half_speed_migrates() -> None:
    """A remaining time of 13 s becomes 7 s with the cost of the migration."""
    workers = TwoWorkers(STEP)
    assert workers.report_and_choose(8, 0.5, 1)


def test_nearly_done_run_stays() -> None:
    """The remaining work takes less time than a migration."""
    workers = TwoWorkers(STEP)
    assert not workers.report_and_choose(8, 0.4, 1, percent=96)


def test_run_without_checkpoints_stays_if_its_work_would_be_lost() -> None:
    """Half of the work would have to be done again."""
    step = msgspec.structs.replace(STEP, is_checkpointed=False)
    workers = TwoWorkers(step)
    assert not workers.report_and_choose(8, 0.6, 1, percent=50)


def test_run_stays_if_no_worker_is_faster() -> None:
    """The other worker offers the speed that the run has already."""
    workers = TwoWorkers(STEP, idle_cores_milli=2000)
    assert not workers.report_and_choose(8, 0.5, 1)


def test_member_of_a_gang_stays() -> None:
    """The other members would end with it."""
    step = msgspec.structs.replace(STEP, is_gang=True)
    workers = TwoWorkers(step)
    assert not workers.report_and_choose(8, 0.3, 1)


def test_short_slowness_causes_no_migration() -> None:
    """One low measurement may be an error of measurement."""
    workers = TwoWorkers(STEP)
    assert not workers.report_and_choose(1, 0.1, 1)
    assert not workers.report_and_choose(6, 1, 1)


def test_task_is_not_migrated_again_at_once() -> None:
    """Its speed on the new worker must be measured first."""
    workers = TwoWorkers(STEP)
    assert workers.report_and_choose(8, 0.3, 1)
    assert not workers.report_and_choose(5, 0.3, 1)
    workers.now_s += MIN_INTERVAL_S
    assert workers.report_and_choose(8, 0.3, 1)


def test_places_are_reserved_for_each_migration() -> None:
    """Two runs are not promised the same free capacity of one worker."""
    workers = TwoWorkers(STEP, idle_cores_milli=4000)
    assert len(workers.report_and_choose(8, 0.3, 0.3)) == 1


def test_migrated_task_is_placed_ahead_of_waiting_ones() -> None:
    """It takes its reserved place although another task has less slack."""
    workers = TwoWorkers(STEP, idle_cores_milli=4000)
    assert workers.report_and_choose(8, 0.3, 1) == [
        Migration(workers.keys[0], IDLE)
    ]
    task_id, run = workers.keys[0].task_id, workers.keys[0].run
    stopped = RunEnd(task_id, run, RunEndKind.stopped)
    apply_workflow_operation(workers.tables, RecordRuns((stopped,)), 0)
    scheduling_pass = workers.create_pass()
    reserved_guards = {task_id: IDLE}
    place_migrated(scheduling_pass, reserved_guards)
    assert scheduling_pass.starts == [RunStart(task_id, 2, IDLE, IDLE)]
    assert not reserved_guards
    ranks = rank_waiting_steps({}, workers.tables, 0)
    assert len(place_waiting(scheduling_pass, ranks)) == 1


def test_place_of_ended_run_is_released() -> None:
    """A run that is done before its stop leaves the place to others."""
    workers = TwoWorkers(STEP, idle_cores_milli=4000)
    assert workers.report_and_choose(8, 0.3, 1)
    task_id, run = workers.keys[0].task_id, workers.keys[0].run
    done = RunEnd(task_id, run, RunEndKind.done)
    apply_workflow_operation(workers.tables, RecordRuns((done,)), 0)
    scheduling_pass = workers.create_pass()
    place_migrated(scheduling_pass, {task_id: IDLE})
    assert not scheduling_pass.starts
    assert not workers.index.proposed[IDLE]


@pytest.mark.parametrize(
    ('progress', 'remaining_s'),
    [
        (RunProgress(1, 0, 5, 0.2), 7.6),
        (RunProgress(1, 0, 50, 2.0), 2.0),
        (RunProgress(1, 40, 60, 2.0), 4.0),
    ],
)
def test_remaining_work_follows_measured_progress(
    progress: RunProgress, remaining_s: float
) -> None:
    """The declared run time counts only until there is enough progress."""
    assert estimate_work(progress, STEP) == (0, pytest.approx(remaining_s))
