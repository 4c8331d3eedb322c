"""Leaders, guards and workers in virtual time, for the run path.

The production code decides: the leader, the replicated tables, and the state
that a guard has of its worker. An event queue takes the place of threads,
sockets and clocks, so that a seed always gives the same course of events.
After every event the platform checks what the workers really run.
"""

import copy
import heapq
import itertools
import random

from cumintack.coordination.effects import ProposeAsLeader, Send
from cumintack.coordination.runs.fake_guard_test import (
    Action,
    GuardProcess,
    ReplyHandler,
)
from cumintack.coordination.runs.fake_worker_fleet_test import (
    CallReply,
    CallRequest,
    FakeMachine,
    FakeWorkerSettings,
    Incarnation,
    WorkerJournal,
    format_run,
    is_drawn,
)
from cumintack.coordination.runs.run_leadership import (
    RunEffect,
    handle_applied_run_operation,
    handle_report,
    handle_run_proposal_failure,
    handle_run_tick,
)
from cumintack.coordination.runs.run_leadership_state import (
    RunLeadership,
    RunSettings,
)
from cumintack.protocol.run_messages import (
    RunKey,
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
    RunEnd,
    RunEndKind,
    StepSpec,
    WorkflowOperation,
    WorkflowSpec,
    WorkflowTables,
)

LEASE_S = 8.0
ELECTION_TIMEOUT_S = 0.6
CAPACITY_MILLI = 8000
HEARTBEAT_S = 1.5
LEADER_TICK_S = 0.05
WALL_START_MS = 1_000_000_000
MIN_LATE_S = 2.0
MAX_LATE_S = 12.0
LATE_SHARE = 0.5


class FakeLeader:
    """A leader with its copy of the tables."""

    def __init__(self, term: int, tables: WorkflowTables, now_s: float) -> None:
        """Begin to lead."""
        self.tables = tables
        self.leadership = RunLeadership(
            RunSettings(LEASE_S, ELECTION_TIMEOUT_S * 2), term, now_s
        )
        self.acts_until_s = float('inf')
        self.frozen_until_s = 0.0


class RunPlatform:
    """The whole run path in virtual time."""

    def __init__(
        self,
        seed: int,
        machine_count: int,
        worker_settings: FakeWorkerSettings,
    ) -> None:
        """Start a leader, and a guard and a worker on each machine."""
        self.random = random.Random(seed)
        self.journal = WorkerJournal()
        self.wall_offset_ms = 0
        self._max_lease_s = worker_settings.max_lease_s
        self.machines = {
            f'10.0.0.{number}': FakeMachine(
                f'10.0.0.{number}', worker_settings, self.journal, self.random
            )
            for number in range(1, machine_count + 1)
        }
        self.guards: dict[str, GuardProcess] = {}
        self.link_cut_until_s = dict.fromkeys(self.machines, 0.0)
        self.orders_cut_until_s = dict.fromkeys(self.machines, 0.0)
        self.links_slow_until_s = 0.0
        self.commit_delay_s = 0.0
        self.choose_late_delay_s = self._draw_late_delay_s
        self.heartbeat_delay_share = 0.1
        self._now_s = 100.0
        self._events: list[tuple[float, int, Action]] = []
        self._sequence = itertools.count()
        self._worker_numbers = itertools.count(1)
        self._workflow_numbers = itertools.count(1)
        self.leader = FakeLeader(1, WorkflowTables(), self._now_s)
        self._leader_of = dict.fromkeys(self.machines, self.leader)
        queue = Queue('queue', 'host', '/queue/', 'pool', 0, 50, 2, 1000, 3000)
        self.commit(
            self.leader,
            ReplaceQueues(QueueConfiguration(1, (queue,), (Pool('pool'),))),
        )
        self._tick_leader(self.leader)
        for name in self.machines:
            self.start_worker(name)
            self.start_guard(name)

    def read_clock_s(self) -> float:
        """Return the time."""
        return self._now_s

    def schedule(self, delay_s: float, action: Action) -> None:
        """Run an action later."""
        event = (self._now_s + max(0, delay_s), next(self._sequence), action)
        heapq.heappush(self._events, event)

    def run_until(self, end_s: float) -> None:
        """Handle all events up to a time, and check after each of them."""
        while self._events and self._events[0][0] <= end_s:
            at_s, _sequence, action = heapq.heappop(self._events)
            self._now_s = at_s
            for machine in self.machines.values():
                machine.settle(at_s)
            action()
            self._check_overlap()
        self._now_s = end_s

    def _check_overlap(self) -> None:
        owners: dict[str, RunKey] = {}
        for machine in self.machines.values():
            for key in machine.get_running_keys():
                other = owners.setdefault(key.task_id, key)
                if other is not key:
                    text = f'{format_run(key)} beside run {other.run}'
                    known = self.journal.violations
                    if not any(line.endswith(text) for line in known):
                        known.append(f'{self._now_s:.3f} {machine.name} {text}')

    def log(self, text: str) -> None:
        """Add a line to the trace."""
        self.journal.lines.append(f'{self._now_s:8.3f} {text}')

    # Workers.

    def start_worker(self, name: str, worker_id: str = '') -> None:
        """Start a worker, under an identifier that it may have had before."""
        machine = self.machines[name]
        if machine.worker is not None:
            return
        worker_id = worker_id or f'w{next(self._worker_numbers)}'
        born_ms = WALL_START_MS + self.wall_offset_ms + int(self._now_s * 1000)
        worker = Incarnation(
            worker_id,
            f'{born_ms:015d}.{worker_id}',
            self._now_s,
            self.random.choice((1.0, 0.99, 0.98)),
        )
        machine.begin(worker)
        self.log(f'{name} worker {worker.lifetime} starts')
        self._send_heartbeat(name, worker, 1)

    def _send_heartbeat(
        self, name: str, worker: Incarnation, sequence: int
    ) -> None:
        if not worker.is_up:
            return
        machine = self.machines[name]
        worker_info = WorkerInfo(
            worker.worker_id,
            worker.lifetime,
            'pool',
            'north-yard',
            Resources(CAPACITY_MILLI, 100000),
            ('a', 'r1-1'),
            machine.is_draining,
            2000 if machine.is_draining else 0,
        )
        order = (float(worker.lifetime.partition('.')[0]), sequence)

        def deliver() -> None:  # noqa: WPS430
            guard = self.guards.get(name)
            if guard is not None:
                guard.handle_heartbeat(worker_info, order)

        delay_s = 0.002
        if is_drawn(self.random, self.heartbeat_delay_share):
            delay_s = self.random.random() * 4
        cut_left_s = machine.cut_until_s - self._now_s
        if cut_left_s <= 0:
            self.schedule(delay_s, deliver)
        elif is_drawn(self.random, 0.5):
            # It may arrive after a heartbeat of the next incarnation.
            self.schedule(cut_left_s + delay_s, deliver)
        self.schedule(
            HEARTBEAT_S,
            lambda: self._send_heartbeat(name, worker, sequence + 1),
        )

    def crash_worker(self, name: str) -> str:
        """Crash the worker of a machine; return its identifier."""
        worker = self.machines[name].worker
        self.machines[name].end()
        self.log(f'{name} worker crashes')
        return worker.worker_id if worker is not None else ''

    def drain_worker(self, name: str) -> None:
        """Let a worker announce its end, and leave."""
        machine = self.machines[name]
        worker = machine.worker
        if worker is None:
            return
        machine.is_draining = True
        self._send_heartbeat(name, worker, 10000)

        def leave() -> None:  # noqa: WPS430
            if machine.worker is worker:
                machine.end()
                self.log(f'{name} worker leaves')
                guard = self.guards.get(name)
                if guard is not None:
                    guard.handle_departure(worker.lifetime)
                self.schedule(1, lambda: self.start_worker(name))

        self.schedule(3, leave)

    def call_worker(
        self, guard: str, call: CallRequest, on_reply: ReplyHandler
    ) -> None:
        """Carry a call of a guard to its worker."""
        machine = self.machines[guard]
        worker = machine.worker
        if worker is None:
            self.schedule(0.001, lambda: on_reply(CallReply(0, 0)))
            return
        if self._now_s < machine.cut_until_s:
            if is_drawn(self.random, 0.5):
                self._deliver_after_cut(machine, worker, call)
            return
        delay_s = self.choose_late_delay_s(machine, call)
        if delay_s:
            self._deliver_late(machine, call, delay_s)
            return
        self.schedule(
            0.001 + self.random.random() * 0.004,
            lambda: self._execute(machine, worker, call, on_reply),
        )

    def _deliver_after_cut(
        self, machine: FakeMachine, worker: Incarnation, call: CallRequest
    ) -> None:
        def deliver() -> None:  # noqa: WPS430
            if machine.worker is worker:
                self.log(f'{machine.name} delivers {call.kind} after the cut')
                machine.execute(call, self._now_s)

        self.schedule(machine.cut_until_s - self._now_s + 0.01, deliver)

    def _draw_late_delay_s(
        self, machine: FakeMachine, call: CallRequest
    ) -> float:
        """Return after how long a call is carried out, 0 if it is on time."""
        is_order = (
            call.kind != 'hold' or call.deadline_ms or call.settled_number
        )
        is_late = machine.late_from_s <= self._now_s < machine.late_until_s
        if is_order and is_late and is_drawn(self.random, LATE_SHARE):
            return self.random.uniform(MIN_LATE_S, MAX_LATE_S)
        return 0

    def _deliver_late(
        self, machine: FakeMachine, call: CallRequest, delay_s: float
    ) -> None:
        added_s = delay_s if machine.is_late_grant else 0

        def deliver() -> None:  # noqa: WPS430
            reply = machine.execute(call, self._now_s, added_s)
            subject = format_run(call.key) if call.key else 'lease'
            outcome = f'{reply.status} {reply.reason}' if reply else 'no worker'
            self.log(
                f'{machine.name} carries out late {call.kind} {subject}'
                f' sent {delay_s:.3f} s ago: {outcome}'
            )

        self.schedule(delay_s, deliver)

    def _execute(
        self,
        machine: FakeMachine,
        worker: Incarnation,
        call: CallRequest,
        on_reply: ReplyHandler,
    ) -> None:
        if machine.worker is not worker:
            on_reply(None)
            return
        reply = machine.execute(call, self._now_s)
        if not call.wait_s or (reply is not None and reply.ended):
            self._reply(machine, reply, on_reply)
            return
        end_s = machine.get_next_end_s()
        wait_s = max(0.001, min(call.wait_s, end_s - self._now_s + 0.001))

        def end_wait() -> None:  # noqa: WPS430
            if machine.worker is worker:
                late_reply = machine.execute(call, self._now_s)
                self._reply(machine, late_reply, on_reply)
            else:
                on_reply(None)

        self.schedule(wait_s, end_wait)

    def _reply(
        self,
        machine: FakeMachine,
        reply: CallReply | None,
        on_reply: ReplyHandler,
    ) -> None:
        if self._now_s >= machine.cut_until_s:
            delay_s = 0.001 + self.random.random() * 0.003
            self.schedule(delay_s, lambda: on_reply(reply))

    # Guards.

    def start_guard(self, name: str) -> None:
        """Start the process of a guard unless it runs."""
        if name in self.guards:
            return
        self.guards[name] = GuardProcess(name, self, LEASE_S, self._max_lease_s)
        self.log(f'{name} guard starts')

    def kill_guard(self, name: str) -> None:
        """Kill the process of a guard."""
        guard = self.guards.pop(name, None)
        if guard is not None:
            guard.is_running = False
            self.log(f'{name} guard is killed')

    def freeze_guard(self, name: str, duration_s: float) -> None:
        """Freeze the process of a guard."""
        guard = self.guards.get(name)
        if guard is not None:
            guard.frozen_until_s = self._now_s + duration_s
            self.log(f'{name} guard is frozen for {duration_s:.3f} s')

    def _get_link_delay_s(self) -> float:
        if self._now_s < self.links_slow_until_s and is_drawn(self.random, 0.3):
            return self.random.random() * 3
        return 0.001 + self.random.random() * 0.02

    def send_report(self, guard: str, report: RunReport) -> None:
        """Send a report to the leader that the guard knows."""
        if self._now_s < self.link_cut_until_s[guard]:
            return
        leader = self._leader_of[guard]
        is_repeated = self._now_s < self.links_slow_until_s and is_drawn(
            self.random, 0.1
        )
        for _ in range(1 + is_repeated):
            self._schedule_on_leader(
                leader,
                self._get_link_delay_s(),
                lambda: self._handle_report(leader, guard, report),
            )

    # Leaders.

    def _schedule_on_leader(
        self, leader: FakeLeader, delay_s: float, action: Action
    ) -> None:
        def run() -> None:  # noqa: WPS430
            if self._now_s < leader.frozen_until_s:
                self.schedule(leader.frozen_until_s - self._now_s, run)
            elif self._now_s < leader.acts_until_s:
                action()

        self.schedule(delay_s, run)

    def _handle_report(
        self, leader: FakeLeader, guard: str, report: RunReport
    ) -> None:
        effects = handle_report(
            leader.leadership, leader.tables, guard, report, self._now_s
        )
        self._perform(leader, effects)

    def _tick_leader(self, leader: FakeLeader) -> None:
        effects = handle_run_tick(
            leader.leadership,
            leader.tables,
            self._now_s,
            WALL_START_MS + self._now_s * 1000,
        )
        self._perform(leader, effects)
        self._schedule_on_leader(
            leader, LEADER_TICK_S, lambda: self._tick_leader(leader)
        )

    def _perform(self, leader: FakeLeader, effects: list[RunEffect]) -> None:
        for effect in effects:
            match effect:
                case Send(message=RunOrders() as orders):
                    self._send_orders(effect.peer, orders)
                case ProposeAsLeader(operation=operation):
                    self._propose(leader, operation)

    def _send_orders(self, guard: str, orders: RunOrders) -> None:
        cut_until_s = max(
            self.link_cut_until_s[guard], self.orders_cut_until_s[guard]
        )
        if self._now_s < cut_until_s:
            return

        def deliver() -> None:  # noqa: WPS430
            process = self.guards.get(guard)
            if process is not None:
                process.handle_orders(orders)

        self.schedule(self._get_link_delay_s(), deliver)

    def _propose(self, leader: FakeLeader, operation: object) -> None:
        assert isinstance(operation, WorkflowOperation)
        if leader is not self.leader:
            if isinstance(operation, RecordRuns):
                handle_run_proposal_failure(leader.leadership, operation)
            return

        def apply() -> None:  # noqa: WPS430
            # Entries of a leader that was replaced may be lost or not.
            if leader is self.leader or is_drawn(self.random, 0.5):
                self.commit(self.leader, operation)

        delay_s = self.commit_delay_s + 0.01 + self.random.random() * 0.02
        self.schedule(delay_s, apply)

    def commit(self, leader: FakeLeader, operation: WorkflowOperation) -> None:
        """Apply an operation to the tables."""
        if isinstance(operation, RecordRuns):
            for end in operation.ends:
                self._log_end(leader.tables, end)
            for start in operation.starts:
                self.log(
                    f'{start.guard} {start.lifetime} is assigned'
                    f' {start.task_id} run {start.run}'
                )
        apply_workflow_operation(leader.tables, operation, 0)
        handle_applied_run_operation(
            leader.leadership, leader.tables, operation
        )

    def _log_end(self, tables: WorkflowTables, end: RunEnd) -> None:
        key = RunKey(end.task_id, end.run)
        is_placed = any(
            end.task_id in placed for placed in tables.index.placed.values()
        )
        self.log(f'{format_run(key)} is recorded as {end.kind.value}')
        if end.kind is RunEndKind.done and is_placed:
            self.journal.note_done(key, self._now_s)

    def change_leader(self) -> None:
        """Elect another leader; the earlier one may act for a moment."""
        earlier = self.leader
        acts_s = self.random.random() * ELECTION_TIMEOUT_S
        tables = earlier.tables
        earlier.acts_until_s = self._now_s + acts_s
        if self._now_s < earlier.frozen_until_s:
            earlier.acts_until_s = self._now_s
        earlier.tables = copy.deepcopy(tables)
        term = earlier.leadership.term + 1
        self.leader = FakeLeader(term, tables, self._now_s)
        self.log(f'leader of term {term}')
        self._tick_leader(self.leader)
        for guard in self.machines:
            self._follow(guard, self.leader)

    def _follow(self, guard: str, leader: FakeLeader) -> None:
        cut_until_s = self.link_cut_until_s[guard]
        delay_s = max(0, cut_until_s - self._now_s) + self.random.random()

        def follow() -> None:  # noqa: WPS430
            self._leader_of[guard] = leader

        self.schedule(delay_s, follow)

    def freeze_leader(self, duration_s: float) -> None:
        """Freeze the leader."""
        self.leader.frozen_until_s = self._now_s + duration_s
        self.log(f'leader is frozen for {duration_s:.3f} s')

    # Callers.

    def submit(self, *steps: StepSpec) -> str:
        """Submit a workflow."""
        workflow_id = f'{next(self._workflow_numbers):016x}'
        self.commit(
            self.leader,
            AcceptWorkflow(
                workflow_id,
                'host',
                f'/queue/{workflow_id}',
                WorkflowSpec('text', steps),
            ),
        )
        return workflow_id

    def cancel(self, workflow_id: str) -> None:
        """Cancel a workflow."""
        path = f'/queue/{workflow_id}'
        self.commit(self.leader, CancelWorkflow(workflow_id, 'host', path))
