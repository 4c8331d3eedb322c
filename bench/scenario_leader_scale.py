"""Cost of the leader's run scheduling by number of workers, without network.

Simulated guards report twice a second. The time spent in the leader's code is
measured; the time of the simulation itself is not.
"""

import heapq
import random
import time
from collections.abc import Callable
from typing import TypeVar

import msgspec

from bench.harness import print_table
from cumintack.coordination.effects import ProposeAsLeader, Send
from cumintack.coordination.querying import Cell
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
    RecordRuns,
    ReplaceQueues,
    StepSpec,
    WorkflowOperation,
    WorkflowSpec,
    WorkflowTables,
)

WORKER_COUNTS = (40, 160, 300, 1000)
# Starts per second and worker of the calm load, and its multiple with which a
# backlog builds up.
CALM_STARTS_PER_S = 1.3
BACKLOG_FACTOR = 8
TICK_S = 0.01
REPORT_INTERVAL_S = 0.5
RUN_TIME_S = 1.6
TASKS_PER_WORKFLOW = 12
CRITICAL_IMAGES = 8
BEST_EFFORT_IMAGES = 6
# Share of the workflows whose tasks are best-effort.
BEST_EFFORT_SHARE = 0.3
WORKER_SIZE = Resources(32000, 125000)
CRITICAL_TASK = Resources(4000, 2000)
LEASE_S = 8.0
COLUMNS = (
    'workers',
    'load',
    'report us',
    'tick ms',
    'starts/s',
    'start us',
    'waiting',
    'busy %',
)
Returned = TypeVar('Returned')


class Stopwatch:
    """Time spent in one kind of call, and the number of calls."""

    __slots__ = ('count', 'total_s')

    def __init__(self) -> None:
        """Start at zero."""
        self.total_s = 0.0
        self.count = 0

    def measure(self, action: Callable[[], Returned]) -> Returned:
        """Run an action and add its time."""
        started_s = time.perf_counter()
        returned = action()
        self.total_s += time.perf_counter() - started_s
        self.count += 1
        return returned

    def get_mean_s(self) -> float:
        """Return the mean time of a call."""
        return self.total_s / max(1, self.count)


class SimulatedGuard(msgspec.Struct):
    """A worker and its guard.

    Attributes:
        name: Name of the guard.
        worker_info: The worker.
        report_at_s: When its next report is due.
        running: Start time of each run.
        ended: Ends that the leader has not recorded.
        ended_count: Number of ends so far.
    """

    name: str
    worker_info: WorkerInfo
    report_at_s: float
    running: dict[RunKey, float] = {}
    ended: list[EndedRun] = []
    ended_count: int = 0


class SimulatedFleet:
    """A leader with its tables, and guards that follow its orders."""

    def __init__(self, worker_count: int, starts_per_s: float) -> None:
        """Create the workers, and place latency-critical tasks on them."""
        self.random = random.Random(worker_count)
        self.now_s = 0.0
        self.starts_per_s = starts_per_s
        self.tables = WorkflowTables()
        self.leadership = RunLeadership(RunSettings(LEASE_S, 1), 1, -100)
        self.reports = Stopwatch()
        self.ticks = Stopwatch()
        self.start_count = 0
        self.workflow_count = 0
        self.submission_at_s = 0.0
        self.guards = {
            f'10.0.{number // 250}.{number % 250}': self._create_guard(number)
            for number in range(worker_count)
        }
        self.ends: list[tuple[float, RunKey, str]] = []
        queue = Queue('q', 'host', '/q/', 'pool', 0, 2, 2, 1000, 3000)
        self._apply(
            ReplaceQueues(QueueConfiguration(1, (queue,), (Pool('pool'),)))
        )
        for image in range(CRITICAL_IMAGES):
            self._submit(
                StepSpec(
                    worker_count // 2,
                    CRITICAL_TASK,
                    500,
                    is_long_running=True,
                    target_ms=100,
                    image=f'service-{image}',
                )
            )

    def _create_guard(self, number: int) -> SimulatedGuard:
        name = f'10.0.{number // 250}.{number % 250}'
        worker_info = WorkerInfo(
            f'i-{number}',
            f'000000000000001.i-{number}',
            'pool',
            f'zone-{number % 5}',
            WORKER_SIZE,
            ('a', f'r1-{number // 16}'),
        )
        return SimulatedGuard(
            name, worker_info, self.random.uniform(0, REPORT_INTERVAL_S)
        )

    def _submit(self, step: StepSpec) -> None:
        workflow_id = f'{self.workflow_count:016x}'
        self.workflow_count += 1
        spec = WorkflowSpec('text', (step,))
        self._apply(
            AcceptWorkflow(workflow_id, 'host', f'/q/{workflow_id}', spec)
        )

    def _create_batch_step(self) -> StepSpec:
        if self.random.random() < BEST_EFFORT_SHARE:
            image = f'batch-{self.random.randrange(BEST_EFFORT_IMAGES)}'
            return StepSpec(
                TASKS_PER_WORKFLOW,
                Resources(1500, 500),
                int(RUN_TIME_S * 1000),
                is_best_effort=True,
                image=image,
            )
        return StepSpec(
            TASKS_PER_WORKFLOW, Resources(1500, 500), int(RUN_TIME_S * 1000)
        )

    def _apply(self, operation: WorkflowOperation) -> None:
        apply_workflow_operation(self.tables, operation, int(self.now_s * 1000))
        self.ticks.measure(
            lambda: handle_applied_run_operation(
                self.leadership, self.tables, operation
            )
        )
        self.ticks.count -= 1

    def run(self, seconds: float) -> None:
        """Advance the simulated time."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += TICK_S
            self._submit_due_workflows()
            self._end_due_runs()
            for guard in self.guards.values():
                if self.now_s >= guard.report_at_s:
                    self._report(guard)
            self._perform(
                self.ticks.measure(
                    lambda: handle_run_tick(
                        self.leadership,
                        self.tables,
                        self.now_s,
                        self.now_s * 1000,
                    )
                )
            )

    def _submit_due_workflows(self) -> None:
        interval_s = TASKS_PER_WORKFLOW / self.starts_per_s
        while self.now_s >= self.submission_at_s:
            self.submission_at_s += interval_s
            self._submit(self._create_batch_step())

    def _end_due_runs(self) -> None:
        while self.ends and self.ends[0][0] <= self.now_s:
            _end_s, key, name = heapq.heappop(self.ends)
            guard = self.guards[name]
            if guard.running.pop(key, None) is not None:
                guard.ended_count += 1
                guard.ended.append(EndedRun(guard.ended_count, key, 'done', ''))
                guard.report_at_s = self.now_s

    def _report(self, guard: SimulatedGuard) -> None:
        guard.report_at_s = self.now_s + REPORT_INTERVAL_S
        running = tuple(
            RunningRun(
                key,
                '',
                min(100, int((self.now_s - started_at_s) / RUN_TIME_S * 100)),
                self.random.uniform(30, 60),
                has_details=True,
            )
            for key, started_at_s in guard.running.items()
        )
        report = RunReport(
            self.now_s,
            1,
            guard.worker_info,
            running,
            tuple(guard.ended),
            (),
            is_looked=True,
            is_answering=True,
            is_gone=False,
            unsure_for_s=0,
        )
        self._perform(
            self.reports.measure(
                lambda: handle_report(
                    self.leadership,
                    self.tables,
                    guard.name,
                    report,
                    self.now_s,
                )
            )
        )

    def _perform(self, effects: list[RunEffect]) -> None:
        for effect in effects:
            match effect:
                case Send(message=RunOrders() as orders):
                    self._follow(self.guards[effect.peer], orders)
                case ProposeAsLeader(operation=RecordRuns() as operation):
                    self.start_count += len(operation.starts)
                    self._apply(operation)

    def _follow(self, guard: SimulatedGuard, orders: RunOrders) -> None:
        guard.ended = [
            ended
            for ended in guard.ended
            if ended.number > orders.settled_number
        ]
        listed = {ended.key for ended in guard.ended}
        for order in orders.wanted:
            key = order.key
            if key in guard.running or key in listed:
                continue
            guard.running[key] = self.now_s
            if order.details is not None and order.details.target_ms:
                continue
            end_s = self.now_s + RUN_TIME_S * self.random.uniform(0.8, 1.2)
            heapq.heappush(self.ends, (end_s, key, guard.name))


def _measure(
    worker_count: int, factor: float, seconds: float
) -> tuple[Cell, ...]:
    starts_per_s = worker_count * CALM_STARTS_PER_S * factor
    fleet = SimulatedFleet(worker_count, starts_per_s)
    fleet.run(seconds)
    fleet.reports = Stopwatch()
    fleet.ticks = Stopwatch()
    fleet.start_count = 0
    fleet.run(seconds)
    busy_s = fleet.reports.total_s + fleet.ticks.total_s
    return (
        worker_count,
        'calm' if factor == 1 else f'{factor:.0f} times',
        round(fleet.reports.get_mean_s() * 1e6),
        round(fleet.ticks.get_mean_s() * 1e3, 2),
        round(fleet.start_count / seconds),
        round(busy_s / max(1, fleet.start_count) * 1e6),
        sum(
            len(tasks.indexes) for tasks in fleet.tables.index.waiting.values()
        ),
        round(busy_s / seconds * 100),
    )


def run(seconds: float, most: int) -> None:
    """Measure at each fleet size, calm and with a backlog.

    Args:
        seconds: Simulated time of each measurement.
        most: Largest number of workers.
    """
    rows = [
        _measure(worker_count, factor, seconds)
        for factor in (1, BACKLOG_FACTOR)
        for worker_count in WORKER_COUNTS
        if worker_count <= most
    ]
    print_table('leader, without network: share of one core', COLUMNS, rows)
