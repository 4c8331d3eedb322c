"""Tests of a large task that waits while small ones keep every gap filled."""

import pytest

from cumintack.coordination.effects import ProposeAsLeader, Send
from cumintack.coordination.runs.candidate_index import (
    TaskKind,
    create_task_kind,
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
from cumintack.coordination.runs.waiting.room_reservation import (
    MAX_RESERVED_SHARE,
    RoomForecast,
    RoomReservation,
    WaitingDemand,
    consume_spare,
    find_ready_time,
    may_use_room,
    plan_reservations,
)
from cumintack.coordination.runs.worker_views import WorkerView
from cumintack.protocol.run_messages import (
    EndedRun,
    RunKey,
    RunningRun,
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
    StepKey,
    StepSpec,
    WorkflowOperation,
    WorkflowSpec,
    WorkflowTables,
)

STEP_S = 0.1
WORKER_MILLI = 12000
WORKERS = tuple(f'10.0.0.{number}' for number in range(1, 9))
SMALL = StepSpec(16, Resources(1000, 10), 1000)
LARGE = StepSpec(1, Resources(6000, 10), is_long_running=True, target_ms=50)
QUEUES = (
    Queue('urgent', 'host', '/urgent/', 'pool', 0, 2, 2, 1000, 3000),
    Queue('batch', 'host', '/batch/', 'pool', 2, 2, 2, 1000, 3000),
)
# A large task may wait for the small ones on one worker, the longest of which
# takes 1.5 s, and for some passes.
MAX_WAIT_S = 2.0
SATURATED_S = 6.0
# All workers are full by then.
WARM_UP_S = 2.5


class SaturatedPool:
    """Eight workers, and a stream of small tasks that is never used up."""

    def __init__(self, *, is_packed: bool) -> None:
        """Start with empty workers."""
        self.now_s = 0.0
        self.tables = WorkflowTables()
        self._settings = RunSettings(8, 1, is_packed=is_packed)
        self.leadership = RunLeadership(self._settings, 1, 0)
        self.silent: set[str] = set()
        self._started_at_s: dict[RunKey, float] = {}
        self._duration_s: dict[RunKey, float] = {}
        self._runs: dict[str, dict[RunKey, None]] = {
            guard: {} for guard in WORKERS
        }
        self._ended: dict[str, list[EndedRun]] = {
            guard: [] for guard in WORKERS
        }
        self._workflow_count = 0
        configuration = QueueConfiguration(1, QUEUES, (Pool('pool'),))
        self.apply(ReplaceQueues(configuration))

    def elect(self) -> None:
        """Let a new leader begin, which knows only the replicated tables."""
        self.leadership = RunLeadership(self._settings, 2, self.now_s)

    def apply(self, operation: WorkflowOperation) -> None:
        """Apply an operation as the replicated log does."""
        apply_workflow_operation(
            self.tables, operation, round(self.now_s * 1000)
        )
        handle_applied_run_operation(self.leadership, self.tables, operation)
        if isinstance(operation, RecordRuns):
            for start in operation.starts:
                key = RunKey(start.task_id, start.run)
                self._runs[start.guard][key] = None
                self._started_at_s[key] = self.now_s
                # From 0.5 to 1.5 s, so that the gaps are scattered.
                draw = len(self._started_at_s) * 7 % 11
                self._duration_s[key] = 0.5 + draw / 10

    def accept(self, step: StepSpec, prefix: str = '/urgent/') -> str:
        """Accept a workflow of one step, and return its identifier."""
        self._workflow_count += 1
        workflow_id = f'{self._workflow_count:016x}'
        path = f'{prefix}{workflow_id}'
        spec = WorkflowSpec('text', (step,))
        self.apply(AcceptWorkflow(workflow_id, 'host', path, spec))
        return workflow_id

    def run(self, duration_s: float, *, is_accepting: bool = True) -> None:
        """Let time pass; small tasks take about one second, and all wait."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            while is_accepting and (
                len(self.tables.index.waiting) < len(WORKERS)
            ):
                self.accept(SMALL)
            self.now_s += STEP_S
            for guard in WORKERS:
                if guard not in self.silent:
                    self._report(guard)
            self._perform(
                handle_run_tick(
                    self.leadership,
                    self.tables,
                    self.now_s,
                    self.now_s * 1000,
                ),
            )

    def _report(self, guard: str) -> None:
        ended = self._ended[guard]
        running = []
        for key in list(self._runs[guard]):
            workflow_id = key.task_id.partition('.')[0]
            spec = self.tables.workflows[workflow_id].spec
            elapsed_s = self.now_s - self._started_at_s[key]
            share = min(1, elapsed_s / self._duration_s[key])
            if not spec.steps[0].is_long_running and share == 1:
                self._runs[guard].pop(key)
                ended.append(EndedRun(len(ended) + 1, key, 'done', ''))
            else:
                running.append(
                    RunningRun(key, '', 100 * share, 0, has_details=True)
                )
        worker_info = WorkerInfo(
            guard,
            f'1.{guard}',
            'pool',
            'yard',
            Resources(WORKER_MILLI, 1000),
            (),
        )
        report = RunReport(
            self.now_s,
            1,
            worker_info,
            tuple(running),
            tuple(ended[-64:]),
            (),
            True,
            True,
            False,
            0,
        )
        self._perform(
            handle_report(
                self.leadership, self.tables, guard, report, self.now_s
            ),
        )

    def _perform(self, effects: list[RunEffect]) -> None:
        for effect in effects:
            match effect:
                case ProposeAsLeader(operation=RecordRuns() as operation):
                    self.apply(operation)
                case Send() | ProposeAsLeader():
                    pass

    def measure_wait_s(self, workflow_id: str) -> float:
        """Return how long the first task of a workflow waited."""
        workflow = self.tables.workflows[workflow_id]
        started_at_s = self._started_at_s.get(RunKey(f'{workflow_id}.0.0.0', 1))
        if started_at_s is None:
            return float('inf')
        return started_at_s - workflow.accepted_at_ms / 1000


# Guards against a large task that waits for as long as small ones keep coming.
@pytest.mark.parametrize('is_packed', [True, False])
def test_large_task_starts_beside_a_stream_of_small_ones(
    *, is_packed: bool
) -> None:
    """Without reserved room it does not start while the stream lasts."""
    pool = SaturatedPool(is_packed=is_packed)
    pool.run(WARM_UP_S)
    large = pool.accept(LARGE)
    pool.run(SATURATED_S)
    has_started = pool.measure_wait_s(large) <= MAX_WAIT_S
    assert has_started is is_packed


# Guards against a large task that waits anew for each worker that is lost.
def test_room_is_kept_elsewhere_once_a_worker_is_silent() -> None:
    """The worker falls silent as soon as room is kept on it."""
    pool = SaturatedPool(is_packed=True)
    pool.run(WARM_UP_S)
    large = pool.accept(LARGE)
    pool.run(2 * STEP_S)
    assert pool.leadership.reservations
    pool.silent.update(pool.leadership.reservations)
    pool.run(SATURATED_S)
    assert pool.measure_wait_s(large) < SATURATED_S


# Guards against a large task that waits again under each new leader.
def test_new_leader_keeps_room_too() -> None:
    """The leader is replaced as soon as it has kept room."""
    pool = SaturatedPool(is_packed=True)
    pool.run(WARM_UP_S)
    large = pool.accept(LARGE)
    pool.run(2 * STEP_S)
    assert pool.leadership.reservations
    pool.elect()
    pool.run(SATURATED_S)
    assert pool.measure_wait_s(large) <= MAX_WAIT_S


# Guards against urgent small tasks that wait for a large one of batch work.
def test_no_room_is_kept_from_more_urgent_queues() -> None:
    """The large task belongs to the less urgent queue."""
    pool = SaturatedPool(is_packed=True)
    pool.run(WARM_UP_S)
    pool.accept(LARGE, '/batch/')
    pool.run(1)
    assert not pool.leadership.reservations


# Guards against a leader that ends because the queue of a waiting task was
# removed by the operator.
def test_room_is_kept_for_a_queue_that_was_removed() -> None:
    """Its workflow was accepted before."""
    pool = SaturatedPool(is_packed=True)
    pool.run(WARM_UP_S)
    large = pool.accept(LARGE)
    other = Queue('other', 'host', '/other/', 'other', 0, 2, 2, 1000, 3000)
    pool.apply(
        ReplaceQueues(QueueConfiguration(2, (other,), (Pool('other'),))),
    )
    pool.run(SATURATED_S, is_accepting=False)
    assert pool.measure_wait_s(large) <= MAX_WAIT_S


# Guards against reservations that keep workers empty after the large task has
# been cancelled or placed.
def test_no_room_is_kept_for_what_does_not_wait() -> None:
    """All room goes to the small tasks again."""
    pool = SaturatedPool(is_packed=True)
    pool.run(WARM_UP_S)
    pool.accept(LARGE)
    pool.run(SATURATED_S)
    assert not pool.leadership.reservations


def _create_kind(cores_milli: int, estimate_ms: int) -> TaskKind:
    step = StepSpec(1, Resources(cores_milli, 10), estimate_ms)
    return create_task_kind('pool', StepKey('0', 0, 0), step)


def _create_forecast(
    name: str, free_milli: int, *ends_s: float
) -> RoomForecast:
    worker_info = WorkerInfo(name, name, 'pool', 'y', Resources(8000, 1000), ())
    view = WorkerView(name, worker_info, 0, 0, is_usable=True)
    released = Resources(1000, 10)
    return RoomForecast(
        view,
        Resources(free_milli, 1000),
        [(end_s, released) for end_s in ends_s],
    )


def test_task_fits_after_enough_predicted_ends() -> None:
    """Two cores are free, and four are needed."""
    forecast = _create_forecast('worker', 2000, 1, 2, 3)
    ready = find_ready_time(forecast, Resources(4000, 10), 0)
    assert ready == (2, Resources(0, 1010))
    assert find_ready_time(forecast, Resources(6000, 10), 0) is None


# Guards against a prediction that ignores where the room will be first.
def test_room_is_kept_where_it_is_free_first() -> None:
    """On one worker for each task, and on a share of the workers only."""
    kind = _create_kind(4000, 1000)
    forecasts = [
        _create_forecast(f'w{number}', 2000, 1, 9 - number)
        for number in range(8)
    ]
    reservations = plan_reservations(
        [WaitingDemand(StepKey('0', 0, 0), kind, 5)],
        forecasts,
        lambda view, suited: True,
        0,
    )
    assert len(reservations) == len(forecasts) * MAX_RESERVED_SHARE
    assert set(reservations) == {'w7', 'w6'}


# Guards against hopeless tasks that use up the room kept for others.
def test_room_is_kept_for_tasks_behind_those_that_fit_nowhere() -> None:
    """A task that no worker can hold has no room to keep."""
    forecasts = [
        _create_forecast(f'w{number}', 2000, 1, 9 - number)
        for number in range(8)
    ]
    possible = StepKey('1', 0, 0)
    reservations = plan_reservations(
        [
            WaitingDemand(StepKey('0', 0, 0), _create_kind(200000, 1000), 5),
            WaitingDemand(possible, _create_kind(4000, 1000), 1),
        ],
        forecasts,
        lambda view, suited: True,
        0,
    )
    assert [kept.step_key for kept in reservations.values()] == [possible]


@pytest.mark.parametrize(
    ('cores_milli', 'estimate_ms', 'is_allowed'),
    [
        (2000, 9000, True),
        (3000, 900, True),
        (3000, 1100, False),
        (3000, 0, False),
    ],
)
def test_backfilled_task_does_not_delay_the_large_one(
    cores_milli: int, estimate_ms: int, *, is_allowed: bool
) -> None:
    """It fits beside, or ends in time at twice its declared run time."""
    reservation = RoomReservation(
        StepKey('0', 0, 0),
        _create_kind(6000, 5000),
        ready_at_s=2,
        spare=Resources(2000, 100),
    )
    kind = _create_kind(cores_milli, estimate_ms)
    assert may_use_room(reservation, kind, 0) is is_allowed


# Guards against several small tasks that each fit beside the kept room, and
# together do not.
def test_tasks_beside_use_up_the_spare_room() -> None:
    """Two cores are spare, and each task takes one and a half."""
    kind = _create_kind(1500, 9000)
    reservations = {
        'worker': RoomReservation(
            StepKey('0', 0, 0),
            _create_kind(6000, 5000),
            ready_at_s=2,
            spare=Resources(2000, 100),
        ),
    }
    assert may_use_room(reservations['worker'], kind, 0)
    consume_spare(reservations, 'worker', kind)
    assert not may_use_room(reservations['worker'], kind, 0)
