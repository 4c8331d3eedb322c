"""Tests that a task which has failed starts again, away from where it did."""

from cumintack.coordination.effects import ProposeAsLeader
from cumintack.coordination.runs.failure_tracking import (
    COOLDOWN_S,
    RECENT_FAILURE_S,
)
from cumintack.coordination.runs.run_leadership import (
    RunEffect,
    handle_applied_run_operation,
    handle_report,
    handle_run_tick,
)
from cumintack.coordination.runs.run_leadership_state import (
    RunLeadership,
    RunSettings,
)
from cumintack.protocol.run_messages import (
    EndedRun,
    RunKey,
    RunReport,
    WorkerInfo,
)
from cumintack.state._workflow_transitions import apply_workflow_operation
from cumintack.state.queues import Pool, Queue, QueueConfiguration
from cumintack.state.resources import Resources
from cumintack.state.workflows import (
    AcceptWorkflow,
    RecordRuns,
    ReplaceQueues,
    StepSpec,
    WorkflowOperation,
    WorkflowSpec,
    WorkflowTables,
    get_task,
    parse_task_id,
)

ATTEMPTS = 3
QUEUE = Queue('queue', 'host', '/queue/', 'pool', 0, ATTEMPTS, 2, 1000, 3000)
# A task of this workflow fails; the other workflow only takes up room.
FAILING_ID = f'{1:016x}'
FILLER_ID = f'{2:016x}'
FAILING_TASK = f'{FAILING_ID}.0.0.0'
SMALL = Resources(4000, 4000)
STEP = StepSpec(1, Resources(2000, 1000), 1000)
# Fills a worker for good, and runs on workers with this label only.
FILLER = StepSpec(1, SMALL, 1000, label='full', is_long_running=True)


class FailureHarness:
    """A leader with workers that report when the test says so."""

    def __init__(self, *workers: WorkerInfo) -> None:
        """Configure a queue; the workers report for the first time."""
        self.now_s = 0.0
        self.tables = WorkflowTables()
        self.leadership = RunLeadership(RunSettings(6, 1), 1, 0)
        self._workers = workers
        self._ended: dict[str, tuple[EndedRun, ...]] = {}
        pools = (Pool('pool'), Pool('other'))
        self._apply(ReplaceQueues(QueueConfiguration(1, (QUEUE,), pools)))
        self.advance(0.1)

    def submit(self, workflow_id: str, step: StepSpec = STEP) -> None:
        """Submit a workflow of one step."""
        path = f'/queue/{workflow_id}'
        spec = WorkflowSpec('text', (step,))
        self._apply(AcceptWorkflow(workflow_id, 'host', path, spec))
        self.advance(0.1)

    def advance(self, duration_s: float) -> None:
        """Let time pass, then let all workers report."""
        self.now_s += duration_s
        for worker_info in self._workers:
            report = RunReport(
                self.now_s,
                1,
                worker_info,
                (),
                self._ended.get(worker_info.worker_id, ()),
                (),
                is_looked=True,
                is_answering=True,
                is_gone=False,
                unsure_for_s=0,
            )
            self._run(
                handle_report(
                    self.leadership,
                    self.tables,
                    worker_info.worker_id,
                    report,
                    self.now_s,
                )
            )
        for offset_s in (0, 0.02):
            now_s = self.now_s + offset_s
            self._run(handle_run_tick(self.leadership, self.tables, now_s, 0))

    def fail(self, task_id: str = FAILING_TASK) -> None:
        """Let the run of a task fail."""
        guard = self.find_guard(task_id)
        ended = self._ended.get(guard, ())
        key = RunKey(task_id, self._get_run(task_id))
        end = EndedRun(len(ended) + 1, key, 'failed', '')
        self._ended[guard] = (*ended, end)
        self.advance(0.1)

    def find_guard(self, task_id: str = FAILING_TASK) -> str:
        """Return the guard that runs a task, empty if none does."""
        return next(
            (
                guard
                for guard, placed in self.tables.index.placed.items()
                if task_id in placed
            ),
            '',
        )

    def _get_run(self, task_id: str) -> int:
        task = parse_task_id(task_id)
        record = get_task(self.tables, task) if task else None
        return record.run if record else 0

    def _apply(self, operation: WorkflowOperation) -> None:
        assert apply_workflow_operation(self.tables, operation, 0) is None
        handle_applied_run_operation(self.leadership, self.tables, operation)

    def _run(self, effects: list[RunEffect]) -> None:
        for effect in effects:
            match effect:
                case ProposeAsLeader(operation=RecordRuns() as operation):
                    self._apply(operation)


def _create_worker(
    name: str,
    *labels: str,
    pool: str = 'pool',
    holds: Resources = SMALL,
) -> WorkerInfo:
    return WorkerInfo(name, f'000001.{name}', pool, 'yard', holds, labels)


# Guards against a task that waits for good for workers that cannot run it.
def test_failed_task_starts_again_on_the_only_worker_with_its_label() -> None:
    """Workers without the label do not count as untried."""
    harness = FailureHarness(
        _create_worker('w1', 'b'), _create_worker('w2'), _create_worker('w3')
    )
    harness.submit(FAILING_ID, StepSpec(1, STEP.need, 1000, label='b'))
    harness.fail()
    assert harness.find_guard() == 'w1'


# Guards against a task that waits for good for workers of another pool.
def test_failed_task_starts_again_on_the_only_worker_of_its_pool() -> None:
    """Workers of another pool do not count as untried."""
    harness = FailureHarness(
        _create_worker('w1'), _create_worker('w2', pool='other')
    )
    harness.submit(FAILING_ID)
    harness.fail()
    assert harness.find_guard() == 'w1'


# Guards against a task that waits for good for workers that are too small.
def test_failed_task_starts_again_on_the_only_worker_of_its_size() -> None:
    """Workers on which it never fits do not count as untried."""
    harness = FailureHarness(
        _create_worker('w1', holds=Resources(8000, 8000)), _create_worker('w2')
    )
    harness.submit(FAILING_ID, StepSpec(1, Resources(6000, 1000), 1000))
    harness.fail()
    assert harness.find_guard() == 'w1'


# Guards against attempts that one faulty worker uses up.
def test_failed_task_starts_where_it_has_not_failed() -> None:
    """Another worker with room comes first."""
    harness = FailureHarness(_create_worker('w1'), _create_worker('w2'))
    harness.submit(FAILING_ID)
    failed_on = harness.find_guard()
    harness.fail()
    assert harness.find_guard() not in {'', failed_on}


# Guards against a task that waits for good for a worker that stays full.
def test_failed_task_waits_a_moment_for_room_elsewhere() -> None:
    """Then the worker where it failed is better than none."""
    harness = FailureHarness(_create_worker('w1'), _create_worker('w2', 'full'))
    harness.submit(FILLER_ID, FILLER)
    harness.submit(FAILING_ID)
    harness.fail()
    assert not harness.find_guard()
    harness.advance(RECENT_FAILURE_S / 2)
    assert not harness.find_guard()
    harness.advance(RECENT_FAILURE_S / 2 + 0.1)
    assert harness.find_guard() == 'w1'


# Guards against a task that waits for a whole failure window.
def test_failed_task_is_the_trial_of_the_only_worker_for_it() -> None:
    """After the cooldown there is nobody else to try the worker with."""
    harness = FailureHarness(_create_worker('w1'))
    harness.submit(FAILING_ID)
    harness.fail()
    harness.fail()
    assert not harness.find_guard()
    harness.advance(COOLDOWN_S / 2)
    assert not harness.find_guard()
    harness.advance(COOLDOWN_S / 2)
    assert harness.find_guard() == 'w1'


# Guards against tasks that wait behind one of their step that has failed.
def test_failed_task_does_not_hold_up_the_others_of_its_step() -> None:
    """The worker where it failed has room for them."""
    harness = FailureHarness(
        _create_worker('w1', holds=Resources(2000, 4000)),
        _create_worker('w2', 'full'),
    )
    harness.submit(FILLER_ID, FILLER)
    harness.submit(FAILING_ID, StepSpec(2, STEP.need, 1000))
    harness.fail()
    assert harness.find_guard(f'{FAILING_ID}.0.0.1') == 'w1'
    assert not harness.find_guard()


# Guards against a gang that never fits and keeps others off a worker.
def test_gang_without_room_takes_no_trial() -> None:
    """Its first member was placed in vain, and is no trial of the worker."""
    harness = FailureHarness(_create_worker('w1'))
    harness.submit(FAILING_ID)
    harness.fail()
    harness.fail()
    harness.submit(FILLER_ID, StepSpec(3, STEP.need, 100, is_gang=True))
    harness.advance(COOLDOWN_S / 2)
    harness.advance(COOLDOWN_S / 2)
    assert harness.find_guard() == 'w1'
