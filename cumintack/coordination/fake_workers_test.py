"""A leader, guards and workers over a fake network, with an oracle.

The production code decides: leadership, the replicated tables and the guard's
state of its worker. The workers enforce leases by clocks that run at slightly
different rates and may lose their state on restart. After every step the
oracle checks what is actually running.
"""

import random

import msgspec

from cumintack.coordination.effects import ProposeAsLeader, RecordEvent, Send
from cumintack.coordination.leadership import (
    LeaderEffect,
    Leadership,
    LeadershipSettings,
    create_leadership,
    handle_applied_operation,
    handle_tick,
    handle_worker_status,
)
from cumintack.coordination.leases import LeaseSettings
from cumintack.coordination.scheduling import SchedulerSettings
from cumintack.coordination.worker_tasks import (
    WorkerTasks,
    apply_orders,
    create_reports,
    list_held_attempts,
    record_refused_start,
    record_start,
    record_worker_report,
)
from cumintack.protocol.messages import WorkerOrders, WorkerStatus
from cumintack.protocol.worker_actions import (
    ForgetAttempts,
    HeldAttempt,
    RenewAttempts,
    StartAttempt,
    StopAttempt,
    ThrottleAttempt,
    WorkerAction,
)
from cumintack.state.commands import Command, Operation, Outcome, SetTeam
from cumintack.state.jobs import FINAL_STATUSES, JobStatus, TaskStatus
from cumintack.state.machine import (
    apply_command,
    decode_tables,
    encode_tables,
)
from cumintack.state.resources import (
    ZERO_RESOURCES,
    Resources,
    add_resources,
    fits_within,
)
from cumintack.state.tables import ControlTables
from cumintack.state.workers import WorkerSpec

LEASE_SETTINGS = LeaseSettings(lease_s=4.0, drift=0.02, previous_leader_s=1.0)
CAPACITY = Resources(4000, 4000, 1)
QUOTA = Resources(16000, 16000, 8)
TEAMS = ('alpha', 'beta')


class FakeExecution(msgspec.Struct):
    """An attempt as a fake worker holds it."""

    phase: str
    need: Resources
    lease_until_s: float
    progress: int = 0
    checkpoint: str = ''


class FakeWorker:
    """A worker with its guard, and a clock that runs at its own rate."""

    def __init__(self, name: str, clock_rate: float) -> None:
        """Create a worker that holds no attempts."""
        self.name = name
        self.clock_rate = clock_rate
        self.spec = WorkerSpec(name, 'north-yard', f'rack-{name}', CAPACITY)
        self.executions: dict[tuple[str, int], FakeExecution] = {}
        self.highest_attempt: dict[str, int] = {}
        self.guard = WorkerTasks(name)
        self.starts = 0
        self.incarnation = 'i0'

    def get_clock_s(self, now_s: float) -> float:
        """Return the time by the clock of this worker."""
        return now_s * self.clock_rate

    def expire(self, now_s: float) -> None:
        """Stop the attempts whose leases have expired."""
        for execution in self.executions.values():
            is_expired = self.get_clock_s(now_s) >= execution.lease_until_s
            if execution.phase == 'running' and is_expired:
                execution.phase = 'stopped'
                execution.checkpoint = f'p{execution.progress}'

    def execute(self, action: WorkerAction, now_s: float) -> None:
        """Carry out an action that the guard requested."""
        match action:
            case StartAttempt():
                self._start(action, now_s)
            case RenewAttempts():
                for renewed in action.attempts:
                    self._renew(renewed, action.expires_at_s)
            case StopAttempt():
                key = (action.task_id, action.attempt)
                highest_attempt = self.highest_attempt.get(action.task_id, 0)
                self.highest_attempt[action.task_id] = max(
                    highest_attempt, action.attempt
                )
                execution = self.executions.setdefault(
                    key, FakeExecution('absent', CAPACITY, 0)
                )
                if execution.phase == 'running':
                    execution.phase = 'stopped'
                    execution.checkpoint = f'p{execution.progress}'
            case ForgetAttempts():
                for forgotten in action.attempts:
                    self.executions.pop(forgotten, None)
            case ThrottleAttempt():
                return

    def _renew(self, key: tuple[str, int], expires_at_s: float) -> None:
        execution = self.executions.get(key)
        if execution is not None:
            execution.lease_until_s = max(execution.lease_until_s, expires_at_s)

    def _start(self, action: StartAttempt, now_s: float) -> None:
        order = action.order
        key = (order.task_id, order.attempt)
        is_newer = order.attempt > self.highest_attempt.get(order.task_id, 0)
        if key in self.executions or not is_newer:
            return
        if self.get_clock_s(now_s) >= action.expires_at_s:
            return
        self.highest_attempt[order.task_id] = order.attempt
        self.starts += 1
        progress = int(order.checkpoint[1:] or 0) if order.checkpoint else 0
        self.executions[key] = FakeExecution(
            'running',
            order.need,
            action.expires_at_s,
            progress,
        )

    def list_held_attempts(self) -> list[HeldAttempt]:
        """Return the attempts that the worker reports."""
        return [
            HeldAttempt(key[0], key[1], execution.phase, execution.checkpoint)
            for key, execution in self.executions.items()
        ]

    def compute_usage(self) -> Resources:
        """Return the resources of the running attempts."""
        used = ZERO_RESOURCES
        for execution in self.executions.values():
            if execution.phase == 'running':
                used = add_resources(used, execution.need)
        return used


class FakePlatform:
    """The leader, the workers, and the state of the oracle."""

    def __init__(self, workers: int, seed: int) -> None:
        """Start with registered workers and teams with quotas."""
        self.now_s = 100.0
        self.random = random.Random(seed)
        self.tables = ControlTables()
        self.index = 0
        self.term = 0
        self.completions: dict[str, int] = {}
        self.statuses: list[tuple[str, int, WorkerStatus]] = []
        self.orders: list[tuple[str, WorkerOrders]] = []
        self.workers = {
            f'w{number}': FakeWorker(
                f'w{number}',
                1 + self.random.uniform(-0.008, 0.008),
            )
            for number in range(workers)
        }
        self.leadership = self._create_leadership()
        for team in TEAMS:
            self.commit(SetTeam(team, QUOTA))
        for _ in range(2):
            self.heartbeat_all()

    def _create_leadership(self) -> Leadership:
        self.term += 1
        return create_leadership(
            LeadershipSettings(
                LEASE_SETTINGS,
                SchedulerSettings(reserve_after_s=5.0, reservation_s=10.0),
            ),
            self.tables,
            self.term,
            self.now_s,
        )

    def change_leader(self) -> None:
        """Create a new leader from a snapshot of the tables."""
        self.tables = decode_tables(encode_tables(self.tables))
        self.leadership = self._create_leadership()

    def commit(self, operation: Operation) -> Outcome:
        """Apply an operation and carry out the effects at the leader."""
        self.index += 1
        command = Command(f's{self.index}', 1, 'oracle', 0, operation)
        outcome = apply_command(self.tables, self.index, command)
        self.apply_effects(
            handle_applied_operation(
                self.leadership, self.tables, operation, outcome
            )
        )
        return outcome

    def apply_effects(self, effects: list[LeaderEffect]) -> None:
        """Carry out effects of the leader."""
        for effect in effects:
            match effect:
                case ProposeAsLeader():
                    self.commit(effect.operation)
                case Send():
                    if isinstance(effect.message, WorkerOrders):
                        self.orders.append((effect.peer, effect.message))
                case RecordEvent():
                    continue

    def heartbeat(self, name: str) -> None:
        """Send a heartbeat of a guard with the state of its worker."""
        worker = self.workers[name]
        worker.expire(self.now_s)
        record_worker_report(worker.guard, worker.list_held_attempts())
        sent_at_s = worker.get_clock_s(self.now_s)
        worker.guard.sent_at_s = sent_at_s
        worker.guard.is_answered = False
        self.statuses.append(
            (
                name,
                self.term,
                WorkerStatus(
                    worker.spec,
                    worker.incarnation,
                    sent_at_s,
                    create_reports(worker.guard),
                    list_held_attempts(worker.guard),
                    ZERO_RESOURCES,
                    1.0,
                    is_reachable=True,
                ),
            ),
        )

    def deliver_status(self, position: int, *, is_repeated: bool) -> None:
        """Deliver a heartbeat to the leader, and keep it if repeated."""
        name, _term, status = self.statuses[position]
        if not is_repeated:
            self.statuses.pop(position)
        self.apply_effects(
            handle_worker_status(
                self.leadership, self.tables, name, status, self.now_s
            ),
        )

    def deliver_orders(self, position: int, *, is_repeated: bool) -> None:
        """Deliver orders to a guard, and keep them if repeated."""
        name, orders = self.orders[position]
        if not is_repeated:
            self.orders.pop(position)
        worker = self.workers[name]
        clock_s = worker.get_clock_s(self.now_s)
        worker.expire(self.now_s)
        for action in apply_orders(worker.guard, orders, clock_s):
            worker.execute(action, self.now_s)
            if isinstance(action, StartAttempt):
                key = (action.order.task_id, action.order.attempt)
                if key in worker.executions:
                    record_start(worker.guard, key)
                elif worker.highest_attempt.get(key[0], 0) >= key[1]:
                    record_refused_start(worker.guard, key)
        self.check()

    def heartbeat_all(self) -> None:
        """Exchange one heartbeat between every guard and the leader."""
        for name in self.workers:
            self.heartbeat(name)
        while self.statuses:
            self.deliver_status(0, is_repeated=False)
        while self.orders:
            self.deliver_orders(0, is_repeated=False)

    def restart_worker(self, name: str, *, is_forgetful: bool) -> None:
        """Drop the running attempts of a worker.

        A forgetful worker loses the records of earlier attempts as well.
        """
        worker = self.workers[name]
        if is_forgetful:
            worker.highest_attempt = {}
            worker.executions = {}
        for key, execution in list(worker.executions.items()):
            if execution.phase == 'running':
                worker.executions.pop(key)

    def restart_guard(self, name: str) -> None:
        """Replace the state of a guard by that of a new incarnation."""
        worker = self.workers[name]
        worker.guard = WorkerTasks(name)
        worker.incarnation = f'i{self.random.getrandbits(32)}'

    def advance(self, name: str) -> None:
        """Advance the running attempts of a worker; some complete."""
        worker = self.workers[name]
        worker.expire(self.now_s)
        for key, execution in worker.executions.items():
            if execution.phase != 'running':
                continue
            execution.progress += 1
            if execution.progress >= 3:
                execution.phase = 'completed'
                count = self.completions.get(key[0], 0)
                self.completions[key[0]] = count + 1

    def fail(self, name: str) -> None:
        """Fail the running attempts of a worker."""
        worker = self.workers[name]
        worker.expire(self.now_s)
        for execution in worker.executions.values():
            if execution.phase == 'running':
                execution.phase = 'failed'

    def tick(self, passed_s: float) -> None:
        """Advance the time of all workers and of the leader."""
        self.now_s += passed_s
        for worker in self.workers.values():
            worker.expire(self.now_s)
        self.apply_effects(
            handle_tick(self.leadership, self.tables, self.now_s)
        )
        self.check()

    def check(self) -> None:
        """Check that no task runs twice and no worker exceeds its capacity."""
        running: dict[str, str] = {}
        for worker in self.workers.values():
            worker.expire(self.now_s)
            assert fits_within(worker.compute_usage(), CAPACITY), (
                'worker over capacity'
            )
            for (task_id, _attempt), execution in worker.executions.items():
                if execution.phase == 'running':
                    assert task_id not in running, f'{task_id} runs twice'
                    running[task_id] = worker.name
        for reserved in self.tables.derived.reserved.values():
            assert fits_within(reserved, CAPACITY), 'reservations over capacity'
            assert fits_within(ZERO_RESOURCES, reserved), 'negative reservation'
        for task_id, count in self.completions.items():
            task = self.tables.tasks[task_id]
            spec = self.tables.jobs[task.job_id].spec
            assert spec.is_idempotent or count <= 1, (
                f'{task_id} completed twice'
            )

    def run_until_settled(self) -> None:
        """Run without faults and check that every task ends or is held."""
        for worker in self.tables.workers.values():
            assert worker.spec.name in self.workers
        for _ in range(400):
            self.tick(0.5)
            self.heartbeat_all()
            for name in self.workers:
                self.advance(name)
            if self._is_settled():
                break
        for task in self.tables.tasks.values():
            job = self.tables.jobs[task.job_id]
            is_ended = task.status in FINAL_STATUSES
            is_held = task.status in {
                TaskStatus.held,
                TaskStatus.unconfirmed,
            }
            is_held = is_held or job.status is JobStatus.held
            assert is_ended or is_held, f'{task} of {job} never ended'

    def _is_settled(self) -> bool:
        return all(
            task.status in FINAL_STATUSES for task in self.tables.tasks.values()
        )
