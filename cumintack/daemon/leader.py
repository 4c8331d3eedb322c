"""What only the leader of the control group does: schedule and lease."""

from collections.abc import Callable

import msgspec
import structlog

from cumintack.coordination.effects import Note
from cumintack.coordination.health import (
    WorkerHealth,
    note_reports,
    take_marks,
)
from cumintack.coordination.interference import (
    InterferenceTable,
    WorkerSample,
    compute_reaction,
    create_weights,
    take_sample,
)
from cumintack.coordination.leases import (
    LeaseKey,
    LeaseSettings,
    LeaseTable,
    grant,
    is_occupying,
    start_term,
    take_lapsed,
)
from cumintack.coordination.scheduling import (
    SchedulerSettings,
    create_scheduler,
    run_pass,
)
from cumintack.daemon.node import Node
from cumintack.daemon.settings import ControlSettings
from cumintack.protocol.messages import (
    Poke,
    TaskOrder,
    WorkerOrders,
    WorkerStatus,
)
from cumintack.state.commands import (
    Command,
    Operation,
    Outcome,
    PlaceTasks,
    RegisterWorkers,
    ReportTasks,
)
from cumintack.state.jobs import (
    OCCUPYING_STATUSES,
    TRANSITIONS,
    ReportKind,
    Task,
    TaskReport,
    TaskStatus,
)
from cumintack.state.tables import ControlTables

HELD_STATUSES = OCCUPYING_STATUSES - {TaskStatus.unconfirmed}
SESSION_SPAN = 32
LAPSE_INTERVAL_S = 0.1

logger = structlog.get_logger()


class LeaderContext(msgspec.Struct, frozen=True):
    """What a leader needs of its process."""

    node: Node
    settings: ControlSettings
    lease_settings: LeaseSettings
    propose: Callable[[Command], bool]


class Leader:
    """State of one term of leadership; nothing of it is durable."""

    __slots__ = (
        '_context',
        '_health',
        '_interference',
        '_lapse_at_s',
        '_leases',
        '_pass_at_s',
        '_registering',
        '_reported',
        '_scheduler',
        '_sequence',
        '_tables',
        '_term',
    )

    def __init__(
        self,
        context: LeaderContext,
        tables: ControlTables,
        term: int,
        now_s: float,
    ) -> None:
        """Start a term: wait out old leases, index the tables."""
        self._context = context
        self._tables = tables
        self._term = term
        self._leases = LeaseTable(context.lease_settings)
        start_term(self._leases, tables, now_s)
        self._scheduler = create_scheduler(SchedulerSettings(), tables)
        self._health = WorkerHealth()
        self._interference = InterferenceTable()
        self._reported: set[TaskReport] = set()
        self._registering: set[str] = set()
        self._pass_at_s = 0.0
        self._lapse_at_s = 0.0
        self._sequence = 0

    def _propose(self, operation: Operation) -> bool:
        self._sequence += 1
        node = self._context.node
        span = self._sequence // SESSION_SPAN
        return self._context.propose(
            Command(
                f'{node.settings.name}.{node.incarnation}.{self._term}.{span}',
                self._sequence,
                node.settings.name,
                0,
                operation,
            ),
        )

    def handle_worker(
        self,
        sender: str,
        message: WorkerStatus,
        now_s: float,
    ) -> None:
        """Take the heartbeat of a worker and answer with its orders."""
        tables = self._tables
        name = message.worker.name
        known = tables.workers.get(name)
        is_new = known is None or known.spec != message.worker
        if is_new and name not in self._registering:
            self._registering.add(name)
            self._propose(RegisterWorkers((message.worker,)))
        if not message.is_reachable:
            return
        self._record_reports(message, now_s)
        self._weigh_interference(message, now_s)
        self._context.node.send(
            sender,
            self._create_orders(name, message, now_s),
        )

    def _record_reports(self, message: WorkerStatus, now_s: float) -> None:
        fresh = [
            report
            for report in message.reports
            if report not in self._reported and self._is_applicable(report)
        ]
        if fresh:
            self._reported.update(fresh)
            note_reports(self._health, self._tables, fresh, now_s)
            if not self._propose(ReportTasks(tuple(fresh))):
                self._reported.difference_update(fresh)

    def _is_applicable(self, report: TaskReport) -> bool:
        task = self._tables.tasks.get(report.task_id)
        if task is None or task.attempt != report.attempt:
            return False
        return (task.status, report.kind) in TRANSITIONS

    def _create_orders(
        self,
        name: str,
        message: WorkerStatus,
        now_s: float,
    ) -> WorkerOrders:
        tables = self._tables
        orders = []
        for task_id in sorted(tables.derived.tasks_by_worker.get(name, ())):
            task = tables.tasks[task_id]
            key = LeaseKey(task_id, task.attempt)
            if task.status not in HELD_STATUSES:
                continue
            if grant(self._leases, key, now_s):
                orders.append(self._create_order(task))
        settled = tuple(
            held
            for held in message.held
            if not is_occupying(tables, LeaseKey(*held))
            and not self._is_unconfirmed(*held)
        )
        return WorkerOrders(
            self._term,
            message.sent_at_s,
            self._context.lease_settings.lease_s,
            tuple(orders),
            settled,
        )

    def _is_unconfirmed(self, task_id: str, attempt: int) -> bool:
        task = self._tables.tasks.get(task_id)
        if task is None or task.attempt != attempt:
            return False
        return task.status is TaskStatus.unconfirmed

    def _create_order(self, task: Task) -> TaskOrder:
        spec = self._tables.jobs[task.job_id].spec
        throttled = self._interference.throttled.get(task.worker, frozenset())
        return TaskOrder(
            task.task_id,
            task.attempt,
            spec.need,
            spec.kind,
            spec.payload,
            task.checkpoint,
            is_stop=task.status is TaskStatus.stopping,
            is_throttled=spec.kind in throttled,
        )

    def _weigh_interference(
        self,
        message: WorkerStatus,
        now_s: float,
    ) -> None:
        tables = self._tables
        name = message.worker.name
        running = [
            tables.tasks[task_id]
            for task_id in tables.derived.tasks_by_worker.get(name, ())
        ]
        sample = WorkerSample(
            name,
            message.quick_slowdown,
            tuple(
                sorted(
                    {tables.jobs[task.job_id].spec.kind for task in running},
                ),
            ),
        )
        take_sample(self._interference, sample)
        weights = create_weights(tables.configuration)
        reaction = compute_reaction(
            self._interference,
            sample,
            weights,
            now_s,
        )
        if reaction.avoided:
            self._scheduler.avoided[name] = reaction.avoided
        elif self._scheduler.avoided.pop(name, None):
            tables.derived.changed_workers.add(name)
            self._scheduler.blocked.clear()
        self._evict_for(running, reaction.evicted_kind)

    def _evict_for(self, running: list[Task], kind: str) -> None:
        if not kind:
            return
        tables = self._tables
        candidates = [
            task
            for task in running
            if task.status is TaskStatus.running
            and tables.jobs[task.job_id].spec.kind == kind
        ]
        if not candidates:
            return
        cheapest = min(
            candidates,
            key=lambda task: (task.evicted_count, -task.attempt, task.task_id),
        )
        self._propose(
            ReportTasks(
                (
                    TaskReport(
                        cheapest.task_id,
                        cheapest.attempt,
                        ReportKind.stop_requested,
                        cheapest.worker,
                        detail='slows a service down',
                    ),
                ),
            ),
        )

    def follow(
        self,
        tables: ControlTables,
        command: Command,
        outcome: Outcome,
    ) -> None:
        """Follow a command that was applied."""
        operation = command.operation
        match operation:
            case PlaceTasks():
                workers = {place.worker for place in operation.placements}
                for worker in sorted(workers):
                    self._context.node.send(worker, Poke())
                self._note_all('control.placed', outcome.names)
            case ReportTasks():
                self._reported.difference_update(operation.reports)
                self._note_reports(operation, outcome)
            case RegisterWorkers():
                for spec in operation.workers:
                    self._registering.discard(spec.name)

    def _note_all(self, name: str, subjects: tuple[str, ...]) -> None:
        for subject in subjects:
            task = self._tables.tasks[subject]
            detail = f'attempt {task.attempt} on {task.worker}'
            self._context.node.note(Note(name, subject, detail))

    def _note_reports(self, operation: ReportTasks, outcome: Outcome) -> None:
        changed = set(outcome.names)
        for report in operation.reports:
            if report.task_id not in changed:
                continue
            self._context.node.note(
                Note(
                    f'control.{report.kind.value}',
                    report.task_id,
                    f'attempt {report.attempt} {report.detail}'.strip(),
                ),
            )
            if report.kind is ReportKind.stop_requested:
                self._context.node.send(report.worker, Poke())

    def tick(self, tables: ControlTables, now_s: float) -> None:
        """Let time pass: lapsed leases, a scheduler pass, quarantine."""
        if now_s >= self._lapse_at_s:
            self._lapse_at_s = now_s + LAPSE_INTERVAL_S
            self._report_lapsed(tables, now_s)
            for mark in take_marks(self._health, tables, now_s):
                self._propose(mark)
        if now_s < self._pass_at_s:
            return
        self._pass_at_s = now_s + self._context.settings.pass_interval_ms / 1000
        decisions = run_pass(self._scheduler, tables, now_s)
        if decisions.placements:
            self._propose(PlaceTasks(tuple(decisions.placements)))
        if decisions.stops:
            self._propose(ReportTasks(tuple(decisions.stops)))

    def _report_lapsed(self, tables: ControlTables, now_s: float) -> None:
        reports = tuple(
            TaskReport(
                key.task_id,
                key.attempt,
                ReportKind.lapsed,
                tables.tasks[key.task_id].worker,
            )
            for key in take_lapsed(self._leases, tables, now_s)
        )
        if reports:
            self._propose(ReportTasks(reports))
