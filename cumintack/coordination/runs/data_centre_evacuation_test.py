"""Tests of a data centre that is evacuated while tasks wait and run."""

import msgspec

from cumintack.coordination.effects import ProposeAsLeader, Send
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
    ClosedRun,
    RunKey,
    RunningRun,
    RunOrders,
    RunReport,
    WorkerInfo,
)
from cumintack.state.commands import Command, Operation
from cumintack.state.machine import apply_command
from cumintack.state.queues import Pool, Queue, QueueConfiguration
from cumintack.state.resources import Resources
from cumintack.state.tables import ControlTables
from cumintack.state.workflows import (
    AcceptWorkflow,
    ReplaceQueues,
    SetEvacuation,
    StepSpec,
    WorkflowSpec,
)

NORTH = 'north-yard'
SOUTH = 'south-yard'
GUARDS = {'10.0.0.1': NORTH, '10.0.0.2': SOUTH}
NORTH_GUARD, SOUTH_GUARD = GUARDS
QUEUE = Queue('queue', 'host', '/queue/', 'pool', 0, 2, 2, 1000, 3000)
WORKER_CORES = 4000


class TwoDataCentres:
    """A leader, and a guard with a worker in each of two data centres."""

    def __init__(self) -> None:
        """Configure one queue; no worker has reported yet."""
        self.now_s = 0.0
        self.tables = ControlTables()
        self.orders: dict[str, RunOrders] = {}
        self.listed: dict[str, tuple[RunKey, ...]] = dict.fromkeys(GUARDS, ())
        self._workflow_count = 0
        self.elect()
        self.apply(
            ReplaceQueues(QueueConfiguration(1, (QUEUE,), (Pool('pool'),))),
        )

    def elect(self) -> None:
        """Let a new leader begin, which knows only the replicated tables."""
        self.leadership = RunLeadership(RunSettings(8, 1), 1, self.now_s)

    def submit(self, task_count: int) -> None:
        """Accept a workflow of tasks that fill one worker each."""
        self._workflow_count += 1
        workflow_id = f'{self._workflow_count:016x}'
        step = StepSpec(task_count, Resources(WORKER_CORES, 100), 1000)
        spec = WorkflowSpec('text', (step,))
        path = f'/queue/{workflow_id}'
        self.apply(AcceptWorkflow(workflow_id, 'host', path, spec))

    def apply(self, operation: Operation) -> None:
        """Apply an operation as the replicated log does."""
        index = self.tables.applied_index + 1
        outcome = apply_command(
            self.tables, index, Command('', 0, '', 0, operation)
        )
        assert outcome.error is None
        handle_applied_run_operation(
            self.leadership, self.tables.workflows, operation
        )

    def report(self, closed: tuple[ClosedRun, ...] = ()) -> None:
        """Let both guards report, and run two ticks, half a second in all."""
        for guard, data_centre in GUARDS.items():
            self.now_s += 0.2
            report = _create_report(
                self.now_s, data_centre, self.listed[guard], closed
            )
            self._run(
                handle_report(
                    self.leadership,
                    self.tables.workflows,
                    guard,
                    report,
                    self.now_s,
                ),
            )
            for _ in range(2):
                self.now_s += 0.02
                self._run(
                    handle_run_tick(
                        self.leadership, self.tables.workflows, self.now_s, 0
                    ),
                )

    def _run(self, effects: list[RunEffect]) -> None:
        for effect in effects:
            match effect:
                case Send(message=RunOrders() as orders):
                    self.orders[effect.peer] = orders
                case ProposeAsLeader(operation=operation):
                    self.apply(operation)

    def get_wanted(self, guard: str) -> tuple[RunKey, ...]:
        """Return the runs in the latest orders of a guard."""
        return tuple(order.key for order in self.orders[guard].wanted)


def _create_report(
    now_s: float,
    data_centre: str,
    listed: tuple[RunKey, ...],
    closed: tuple[ClosedRun, ...],
) -> RunReport:
    worker_info = WorkerInfo(
        data_centre,
        f'000001.{data_centre}',
        'pool',
        data_centre,
        Resources(WORKER_CORES, 4000),
        ('a', 'r1-1'),
    )
    runs = tuple(RunningRun(key, '', 50, 0, has_details=True) for key in listed)
    return RunReport(
        now_s, 1, worker_info, runs, (), closed, True, True, False, 0
    )


# Guards against tasks that start in a data centre which an operator empties,
# and against a leader that forgets the request.
def test_nothing_starts_in_an_evacuated_data_centre() -> None:
    """Also under a new leader; the task starts once the evacuation ends."""
    fleet = TwoDataCentres()
    fleet.apply(SetEvacuation(NORTH, is_active=True))
    fleet.report()
    fleet.submit(2)
    fleet.report()
    assert not fleet.get_wanted(NORTH_GUARD)
    assert len(fleet.get_wanted(SOUTH_GUARD)) == 1
    fleet.listed[SOUTH_GUARD] = fleet.get_wanted(SOUTH_GUARD)
    fleet.elect()
    fleet.report()
    assert not fleet.get_wanted(NORTH_GUARD)
    fleet.apply(SetEvacuation(NORTH, is_active=False))
    fleet.report()
    assert len(fleet.get_wanted(NORTH_GUARD)) == 1


# Guards against tasks that are stopped, or taken from their users, by a request
# that asks only that nothing more be sent.
def test_listed_runs_go_on() -> None:
    """A run that the worker has listed stays in the orders."""
    fleet = TwoDataCentres()
    fleet.submit(2)
    fleet.report()
    fleet.report()
    running = fleet.get_wanted(NORTH_GUARD)
    assert running
    fleet.listed[NORTH_GUARD] = running
    fleet.report()
    fleet.apply(SetEvacuation(NORTH, is_active=True))
    fleet.report()
    assert fleet.get_wanted(NORTH_GUARD) == running


# Guards against a start that is repeated until it succeeds, seconds after the
# data centre was to get nothing more.
def test_start_without_an_answer_is_withdrawn() -> None:
    """The run is stopped first, and placed elsewhere once it is absent."""
    fleet = TwoDataCentres()
    fleet.submit(1)
    fleet.report()
    fleet.report()
    guard = next(name for name in GUARDS if fleet.get_wanted(name))
    key = fleet.get_wanted(guard)[0]
    fleet.apply(SetEvacuation(GUARDS[guard], is_active=True))
    fleet.report()
    assert fleet.orders[guard].stops == (key,)
    fleet.report((ClosedRun(key, 'stopped before its start'),))
    fleet.report()
    other = next(name for name in GUARDS if name != guard)
    assert fleet.get_wanted(other) == (RunKey(key.task_id, key.run + 1),)


# Guards against running tasks that are stopped because their guard, started
# again, has no list of the worker yet.
def test_unlisted_run_is_kept_while_the_worker_is_not_polled() -> None:
    """A new leader gets a report without a list first."""
    fleet = TwoDataCentres()
    fleet.submit(2)
    fleet.report()
    fleet.report()
    running = fleet.get_wanted(NORTH_GUARD)
    fleet.apply(SetEvacuation(NORTH, is_active=True))
    fleet.elect()
    unpolled = msgspec.structs.replace(
        _create_report(fleet.now_s, NORTH, (), ()), is_looked=False
    )
    handle_report(
        fleet.leadership,
        fleet.tables.workflows,
        NORTH_GUARD,
        unpolled,
        fleet.now_s,
    )
    effects = handle_run_tick(
        fleet.leadership, fleet.tables.workflows, fleet.now_s + 0.2, 0
    )
    assert running
    assert not fleet.leadership.stop_reasons
    assert all(not isinstance(sent, ProposeAsLeader) for sent in effects)
