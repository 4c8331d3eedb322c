"""Tests that a task which crashes workers is given up, and no other one.

A simulated pool of workers reports to a leader. Starting one of the crashing
tasks ends its worker at once; it is back some seconds later.
"""

import itertools

import msgspec
import pytest

from cumintack.coordination.effects import ProposeAsLeader, Send
from cumintack.coordination.runs.crash_isolation import assess_crash
from cumintack.coordination.runs.placement import MIN_UPTIME_S
from cumintack.coordination.runs.run_leadership import (
    handle_applied_run_operation,
    handle_report,
    handle_run_tick,
)
from cumintack.coordination.runs.run_leadership_state import (
    RunLeadership,
    RunSettings,
)
from cumintack.coordination.runs.worker_loss import RECENT_START_S
from cumintack.protocol.run_messages import (
    EndedRun,
    RunKey,
    RunningRun,
    RunOrders,
    RunReport,
    WorkerInfo,
    WorkerLoss,
)
from cumintack.state._workflow_transitions import (
    apply_workflow_operation,
    rebuild_index,
)
from cumintack.state.queues import Pool, Queue, QueueConfiguration
from cumintack.state.resources import Resources
from cumintack.state.workflows import (
    AcceptWorkflow,
    CrashEvidence,
    RecordRuns,
    ReplaceQueues,
    StepKey,
    StepSpec,
    TaskKey,
    TaskRecord,
    WorkflowIndex,
    WorkflowOperation,
    WorkflowSpec,
    WorkflowStatus,
    WorkflowTables,
    get_task,
)

WORKER_COUNT = 6
STEP_S = 0.1
DOWN_S = 3.0
RUN_S = 4.0
WORKER_CORES = 16
QUEUE = Queue('queue', 'host', '/queue/', 'pool', 0, 2, 2, 1000, 3000)
TASK = StepSpec(1, Resources(1000, 100), 4000)


class FakeWorker:
    """A worker with its guard."""

    def __init__(self, guard: str) -> None:
        """Start the first incarnation."""
        self.guard = guard
        self.number = 1
        self.down_until_s = float('-inf')
        self.started_at_s: dict[RunKey, float] = {}
        self.ended: dict[RunKey, EndedRun] = {}
        self.loss: WorkerLoss | None = None
        self.last_report: RunReport | None = None
        self.labels: tuple[str, ...] = ()

    def get_lifetime(self) -> str:
        """Return the current incarnation."""
        return f'{self.number:06}.{self.guard}'

    def end_incarnation(self, now_s: float, *, is_crash: bool) -> None:
        """Lose all runs; the next incarnation is there some seconds later."""
        self.loss = None
        self.last_report = None
        if is_crash:
            recent_starts = tuple(
                run.key
                for run in self._list_running(now_s)
                if run.percent < RECENT_START_S / RUN_S * 100
            )
            self.loss = WorkerLoss(
                self.get_lifetime(), now_s, now_s, True, recent_starts
            )
            self.last_report = self.create_report(now_s)
        self.number += 1
        self.down_until_s = now_s + DOWN_S
        self.started_at_s = {}
        self.ended = {}

    def list_recent_workflows(self, now_s: float) -> set[str]:
        """List the workflows of the runs that have just started."""
        return {
            key.task_id.partition('.')[0]
            for key, started_at_s in self.started_at_s.items()
            if started_at_s > now_s - RECENT_START_S
        }

    def carry_out(
        self, orders: RunOrders, crashing: set[str], now_s: float
    ) -> None:
        """Start what the orders name."""
        if orders.lifetime != self.get_lifetime():
            return
        for order in orders.wanted:
            if order.key in self.started_at_s:
                continue
            self.started_at_s[order.key] = now_s
            if order.key.task_id in crashing:
                self.end_incarnation(now_s, is_crash=True)
                return

    def _list_running(self, now_s: float) -> tuple[RunningRun, ...]:
        return tuple(
            RunningRun(key, '', 100 * (now_s - started_at_s) / RUN_S, 0, True)
            for key, started_at_s in self.started_at_s.items()
            if key not in self.ended
        )

    def report(self, now_s: float) -> RunReport | None:
        """Report; while the worker is down, what was known of it last."""
        if now_s >= self.down_until_s:
            return self.create_report(now_s)
        if self.last_report is None:
            return None
        return msgspec.structs.replace(self.last_report, sent_at_s=now_s)

    def create_report(self, now_s: float) -> RunReport:
        """Report, with the ends of runs that have done their work."""
        for key, started_at_s in self.started_at_s.items():
            if now_s - started_at_s >= RUN_S and key not in self.ended:
                ended = EndedRun(len(self.ended) + 1, key, 'done', '')
                self.ended[key] = ended
        return RunReport(
            now_s,
            1,
            WorkerInfo(
                self.guard,
                self.get_lifetime(),
                'pool',
                'north-yard',
                Resources(WORKER_CORES * 1000, 128000),
                self.labels,
            ),
            self._list_running(now_s),
            tuple(self.ended.values()),
            (),
            is_looked=True,
            is_answering=True,
            is_gone=False,
            unsure_for_s=0,
            loss=self.loss,
        )


class Cluster:
    """A leader and a pool of workers."""

    def __init__(self) -> None:
        """Create the workers, all of them idle."""
        self.now_s = 0.0
        self.workers = {
            f'10.0.0.{number}': FakeWorker(f'10.0.0.{number}')
            for number in range(WORKER_COUNT)
        }
        self.crashing: set[str] = set()
        self.tables = WorkflowTables()
        self.leadership = RunLeadership(RunSettings(8, 1), 1, 0)
        self._ids = itertools.count(1)
        self._apply(
            ReplaceQueues(QueueConfiguration(1, (QUEUE,), (Pool('pool'),)))
        )

    def submit(self, step: StepSpec = TASK) -> str:
        """Submit a workflow of one step."""
        workflow_id = f'{next(self._ids):016x}'
        path = f'/queue/{workflow_id}'
        self._apply(
            AcceptWorkflow(
                workflow_id, 'host', path, WorkflowSpec('text', (step,))
            )
        )
        return workflow_id

    def submit_crashing(self, step: StepSpec = TASK) -> str:
        """Submit a workflow whose first task crashes its workers."""
        workflow_id = self.submit(step)
        self.crashing.add(f'{workflow_id}.0.0.0')
        return workflow_id

    def change_leader(self) -> None:
        """Continue with a leader that restores the tables of a snapshot."""
        stored = msgspec.structs.replace(self.tables, index=WorkflowIndex())
        encoded = msgspec.msgpack.encode(stored)
        self.tables = msgspec.msgpack.decode(encoded, type=WorkflowTables)
        rebuild_index(self.tables)
        self.leadership = RunLeadership(RunSettings(8, 1), 1, self.now_s)

    def run(self, duration_s: float) -> None:
        """Let time pass."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += STEP_S
            for worker in self.workers.values():
                report = worker.report(self.now_s)
                if report is not None:
                    self._perform(self._handle(worker.guard, report))
            for offset_s in (0, 0.02):
                self._perform(
                    handle_run_tick(
                        self.leadership, self.tables, self.now_s + offset_s, 0
                    )
                )

    def _handle(
        self, guard: str, report: RunReport
    ) -> list[Send | ProposeAsLeader]:
        return handle_report(
            self.leadership, self.tables, guard, report, self.now_s
        )

    def _break_gangs(self) -> None:
        """End the runs of gangs of which a member has crashed its worker."""
        for worker in self.workers.values():
            for key in worker.started_at_s:
                workflow_id = key.task_id.partition('.')[0]
                spec = self.tables.workflows[workflow_id].spec
                if spec.steps[0].is_gang and key not in worker.ended:
                    ended = EndedRun(len(worker.ended) + 1, key, 'broken', '')
                    worker.ended[key] = ended

    def get_status(self, workflow_id: str) -> WorkflowStatus:
        """Return the status of a workflow."""
        return self.tables.workflows[workflow_id].status

    def get_task(self, workflow_id: str) -> TaskRecord:
        """Return the first task of a workflow."""
        step_key = StepKey(workflow_id, 0, 0)
        task = get_task(self.tables, TaskKey(step_key, 0))
        assert task is not None
        return task

    def get_run_count(self, workflow_id: str) -> int:
        """Return how often the first task of a workflow was started."""
        return self.get_task(workflow_id).run

    def _apply(self, operation: WorkflowOperation) -> None:
        assert apply_workflow_operation(self.tables, operation, 0) is None
        handle_applied_run_operation(self.leadership, self.tables, operation)

    def _perform(self, effects: list[Send | ProposeAsLeader]) -> None:
        for effect in effects:
            match effect:
                case Send(message=RunOrders() as orders):
                    worker = self.workers[effect.peer]
                    if self.now_s >= worker.down_until_s:
                        worker.carry_out(orders, self.crashing, self.now_s)
                    if self.now_s < worker.down_until_s:
                        self._break_gangs()
                case ProposeAsLeader(operation=RecordRuns() as operation):
                    self._apply(operation)


# Guards against a task that crashes one worker after another.
@pytest.mark.parametrize(
    'step',
    [
        TASK,
        msgspec.structs.replace(TASK, task_count=3),
        msgspec.structs.replace(TASK, task_count=3, is_gang=True),
        msgspec.structs.replace(TASK, is_long_running=True),
    ],
)
def test_crashing_task_is_given_up_across_leaders(step: StepSpec) -> None:
    """Guards against starting a task that crashes every worker for ever."""
    cluster = Cluster()
    workflow_id = cluster.submit_crashing(step)
    for _ in range(12):
        cluster.run(2)
        cluster.change_leader()
    assert cluster.get_status(workflow_id) is WorkflowStatus.failed
    assert cluster.get_run_count(workflow_id) <= 3


# Guards against workflows failed for crashes of other tasks.
def test_bystanders_of_crashes_are_never_given_up() -> None:
    """Guards against failing tasks that began beside one that crashes."""
    cluster = Cluster()
    bystanders: list[str] = []
    crashing: list[str] = []
    for _ in range(8):
        bystanders.extend(cluster.submit() for _ in range(10))
        crashing.append(cluster.submit_crashing())
        cluster.run(1)
    cluster.run(60)
    assert {cluster.get_status(name) for name in bystanders} == {
        WorkflowStatus.completed
    }
    assert {cluster.get_status(name) for name in crashing} == {
        WorkflowStatus.failed
    }
    assert max(map(cluster.get_run_count, crashing)) <= 3


def test_evidence_is_against_a_single_workflow_only() -> None:
    """Guards against blaming one of several workflows that just started."""
    first = RunKey('0000000000000001.0.0.0', 1)
    sibling = RunKey('0000000000000001.0.0.1', 1)
    other = RunKey('0000000000000002.0.0.0', 1)
    alone = WorkerLoss('lifetime', 1, 1, True, (first, sibling))
    beside = WorkerLoss('lifetime', 1, 1, True, (first, other))
    assert assess_crash({}, 'guard', alone, first) is CrashEvidence.sole
    assert assess_crash({}, 'guard', beside, first) is CrashEvidence.possible
    assert assess_crash({}, 'guard', alone, other) is CrashEvidence.innocent


def test_nothing_starts_beside_a_suspect() -> None:
    """Guards against a second crash that does not show which task causes it."""
    cluster = Cluster()
    suspect_count = 0
    for step in range(200):
        cluster.submit()
        if step % 40 == 0:
            cluster.submit_crashing()
        cluster.run(STEP_S)
        for worker in cluster.workers.values():
            recent = worker.list_recent_workflows(cluster.now_s)
            suspects = [
                name for name in recent if cluster.get_task(name).crashed_on
            ]
            suspect_count += len(suspects)
            assert not suspects or len(recent) == 1
    assert suspect_count


def test_many_bystanders_wait_only_briefly() -> None:
    """Guards against holding up all that began beside a crash."""
    cluster = Cluster()
    bystanders = [cluster.submit() for _ in range(30)]
    cluster.submit_crashing()
    cluster.run(DOWN_S + 25)
    assert {cluster.get_status(name) for name in bystanders} == {
        WorkflowStatus.completed
    }


@pytest.mark.parametrize('is_crash', [True, False])
@pytest.mark.parametrize('crashed_count', [1, 3, WORKER_COUNT])
def test_other_losses_of_workers_give_up_nothing(
    crashed_count: int, *, is_crash: bool
) -> None:
    """Guards against blaming tasks for racks and workers that go away."""
    cluster = Cluster()
    workflows = [cluster.submit() for _ in range(40)]
    for _ in range(8):
        cluster.run(DOWN_S + 0.5)
        for worker in list(cluster.workers.values())[:crashed_count]:
            worker.end_incarnation(cluster.now_s, is_crash=is_crash)
    cluster.run(60)
    assert {cluster.get_status(name) for name in workflows} == {
        WorkflowStatus.completed
    }


# Guards against workflows failed for a worker that crashes.
def test_worker_that_crashes_by_itself_gives_up_nothing() -> None:
    """Guards against blaming each task that starts on a worker that flaps."""
    cluster = Cluster()
    flapping = cluster.workers['10.0.0.0']
    workflows = []
    for _ in range(30):
        workflows.append(cluster.submit())
        cluster.run(1)
        if cluster.now_s >= flapping.down_until_s and flapping.started_at_s:
            flapping.end_incarnation(cluster.now_s, is_crash=True)
    cluster.run(60)
    assert {cluster.get_status(name) for name in workflows} == {
        WorkflowStatus.completed
    }


# Guards against starts repeated for ever to a lost worker.
def test_nothing_starts_on_a_worker_that_is_down() -> None:
    """Guards against a task that waits for a worker that has just crashed."""
    cluster = Cluster()
    cluster.run(1)
    down = cluster.workers['10.0.0.0']
    down.end_incarnation(cluster.now_s, is_crash=True)
    cluster.run(0.1)
    workflows = [cluster.submit() for _ in range(10)]
    cluster.run(0.1)
    for workflow_id in workflows:
        assert cluster.get_task(workflow_id).guard not in {'', down.guard}


# Guards against crashing tasks that excuse each other.
def test_crashing_tasks_that_start_together_are_given_up() -> None:
    """Guards against taking crashes at one moment for a loss of power."""
    cluster = Cluster()
    crashing = [
        cluster.submit_crashing(
            msgspec.structs.replace(
                TASK, need=Resources(WORKER_CORES * 1000, 100)
            )
        )
        for _ in range(WORKER_COUNT)
    ]
    cluster.run(120)
    assert {cluster.get_status(name) for name in crashing} == {
        WorkflowStatus.failed
    }
    assert max(map(cluster.get_run_count, crashing)) <= 5


# Guards against a suspect that waits for good for workers that cannot run it.
def test_suspect_starts_again_on_the_only_worker_with_its_label() -> None:
    """Workers without the label do not count as untried."""
    cluster = Cluster()
    labelled = cluster.workers['10.0.0.0']
    labelled.labels = ('b',)
    cluster.run(1)
    workflow_id = cluster.submit(msgspec.structs.replace(TASK, label='b'))
    cluster.run(2 * STEP_S)
    labelled.end_incarnation(cluster.now_s, is_crash=True)
    cluster.run(DOWN_S + 2 * STEP_S)
    assert cluster.get_task(workflow_id).crashed_on == (labelled.guard,)
    assert cluster.get_task(workflow_id).guard == labelled.guard
    cluster.run(RUN_S + 1)
    assert cluster.get_status(workflow_id) is WorkflowStatus.completed


# Guards against a suspect that waits for good for a worker that stays full.
def test_suspect_waits_a_moment_for_room_elsewhere() -> None:
    """Then the worker that crashed under it has been up for long enough."""
    cluster = Cluster()
    first, other = list(cluster.workers.values())[:2]
    first.labels = ('b',)
    other.labels = ('b', 'full')
    cluster.run(1)
    cluster.submit(
        StepSpec(
            1,
            Resources(WORKER_CORES * 1000, 100),
            4000,
            label='full',
            is_long_running=True,
        )
    )
    cluster.run(1)
    workflow_id = cluster.submit(msgspec.structs.replace(TASK, label='b'))
    cluster.run(2 * STEP_S)
    first.end_incarnation(cluster.now_s, is_crash=True)
    cluster.run(DOWN_S + MIN_UPTIME_S / 2)
    assert not cluster.get_task(workflow_id).guard
    cluster.run(MIN_UPTIME_S / 2 + 3 * STEP_S)
    assert cluster.get_task(workflow_id).guard == first.guard
