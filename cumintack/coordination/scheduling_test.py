"""Tests of scheduling: release of reservations and determinism."""

from cumintack.coordination._placement_index import WorkerReservation
from cumintack.coordination.scheduling import (
    Scheduler,
    SchedulerSettings,
    create_scheduler,
    run_scheduling_pass,
)
from cumintack.state.commands import (
    Command,
    Operation,
    PlaceTasks,
    RegisterWorkers,
    ReportTasks,
    SetTeam,
    SubmitJob,
)
from cumintack.state.jobs import (
    MAX_FAILURES,
    JobSpec,
    Placement,
    Priority,
    ReportKind,
    TaskReport,
    TaskStatus,
)
from cumintack.state.machine import apply_command
from cumintack.state.resources import Resources
from cumintack.state.tables import ControlTables
from cumintack.state.workers import WorkerSpec

CAPACITY = Resources(4000, 4000)


def _apply(tables: ControlTables, operation: Operation) -> None:
    index = tables.applied_index + 1
    command = Command(f's{index}', 1, 'test', 0, operation)
    outcome = apply_command(tables, index, command)
    assert outcome.error is None


def _create_scheduler(workers: int) -> tuple[ControlTables, Scheduler]:
    tables = ControlTables()
    specs = tuple(
        WorkerSpec(f'w{number}', 'north-yard', 'rack-1', CAPACITY)
        for number in range(workers)
    )
    _apply(tables, RegisterWorkers(specs))
    _apply(tables, SetTeam('team', Resources(99000, 99000)))
    return tables, create_scheduler(SchedulerSettings(), tables)


def _submit(tables: ControlTables, priority: Priority) -> None:
    spec = JobSpec('job', 'team', 1, CAPACITY, priority=priority)
    _apply(tables, SubmitJob(spec))


def test_reservation_of_job_without_pending_tasks_is_released() -> None:
    """A worker reserved for a job that no longer waits takes other tasks."""
    tables, scheduler = _create_scheduler(1)
    scheduler.reservations['w0'] = WorkerReservation('w0', 'gone', 1000)
    _submit(tables, Priority.normal)
    assert run_scheduling_pass(scheduler, tables, 1).placements


def test_worker_is_not_reserved_for_task_that_failed_on_it() -> None:
    """A job whose task failed on the only worker does not block other jobs."""
    tables, scheduler = _create_scheduler(1)
    _submit(tables, Priority.urgent)
    placed = run_scheduling_pass(scheduler, tables, 1).placements
    _apply(tables, PlaceTasks(tuple(placed)))
    task_id = placed[0].task_id
    _apply(
        tables,
        ReportTasks((TaskReport(task_id, 1, ReportKind.failed, 'w0'),)),
    )
    _submit(tables, Priority.normal)
    assert run_scheduling_pass(scheduler, tables, 2).placements


# Guards against a task that stays pending for good after its first failure.
def test_task_runs_again_on_the_only_worker_that_suits_it() -> None:
    """Workers that are too small for it do not count as others."""
    tables, scheduler = _create_scheduler(1)
    small = WorkerSpec('small', 'north-yard', 'rack-2', Resources(1000, 1000))
    _apply(tables, RegisterWorkers((small,)))
    _submit(tables, Priority.normal)
    for _ in range(MAX_FAILURES):
        placed = run_scheduling_pass(scheduler, tables, 1).placements
        assert [placement.worker for placement in placed] == ['w0']
        _fail(tables, placed[0])
    assert not run_scheduling_pass(scheduler, tables, 1).placements
    task = next(iter(tables.tasks.values()))
    assert task.status is TaskStatus.held


# Guards against a task that runs again where it failed beside other workers.
def test_failed_task_waits_for_another_worker_that_suits_it() -> None:
    """A worker that is full for now is still preferred."""
    tables, scheduler = _create_scheduler(2)
    _submit(tables, Priority.normal)
    first = run_scheduling_pass(scheduler, tables, 1).placements[0]
    _apply(tables, PlaceTasks((first,)))
    _submit(tables, Priority.normal)
    second = run_scheduling_pass(scheduler, tables, 1).placements[0]
    assert second.worker != first.worker
    _apply(tables, PlaceTasks((second,)))
    _report(tables, first, ReportKind.failed)
    assert not run_scheduling_pass(scheduler, tables, 1).placements
    _report(tables, second, ReportKind.completed)
    again = run_scheduling_pass(scheduler, tables, 1).placements
    assert [placement.worker for placement in again] == [second.worker]


def _fail(tables: ControlTables, placement: Placement) -> None:
    _apply(tables, PlaceTasks((placement,)))
    _report(tables, placement, ReportKind.failed)


def _report(
    tables: ControlTables, placement: Placement, kind: ReportKind
) -> None:
    report = TaskReport(
        placement.task_id, placement.attempt, kind, placement.worker
    )
    _apply(tables, ReportTasks((report,)))


def test_expired_reservation_is_released() -> None:
    """A reservation of a job that waits for its quota ends at its deadline."""
    tables, scheduler = _create_scheduler(2)
    _apply(tables, SetTeam('small', CAPACITY))
    _apply(tables, SubmitJob(JobSpec('job', 'small', 2, CAPACITY)))
    placed = run_scheduling_pass(scheduler, tables, 1).placements
    assert len(placed) == 1
    _apply(tables, PlaceTasks(tuple(placed)))
    other = 'w1' if placed[0].worker == 'w0' else 'w0'
    waiting = next(iter(tables.jobs))
    scheduler.reservations[other] = WorkerReservation(other, waiting, 10)
    _submit(tables, Priority.normal)
    assert not run_scheduling_pass(scheduler, tables, 2).placements
    assert run_scheduling_pass(scheduler, tables, 11).placements


def test_scheduling_is_deterministic() -> None:
    """Two schedulers over the same history make the same decisions."""
    decisions = []
    for _ in range(2):
        tables, scheduler = _create_scheduler(5)
        for number in range(20):
            priority = tuple(Priority)[number % 3]
            _submit(tables, priority)
        decisions.append(run_scheduling_pass(scheduler, tables, 1).placements)
    assert decisions[0] == decisions[1]
    assert len(decisions[0]) == 5
