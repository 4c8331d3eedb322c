"""Scheduler without I/O at 100, 1,000 and 4,500 workers, and first fit."""

import random
import time
import tracemalloc

from bench.harness import print_table
from bench.load import compute_percentiles_ms
from cumintack.coordination.querying import Cell
from cumintack.coordination.scheduling import (
    SchedulerSettings,
    create_scheduler,
    run_scheduling_pass,
)
from cumintack.state.commands import (
    CancelJobs,
    Command,
    Operation,
    PlaceTasks,
    RegisterWorkers,
    ReportTasks,
    SetTeam,
    SubmitJob,
)
from cumintack.state.jobs import (
    JobSpec,
    Placement,
    Priority,
    ReportKind,
    TaskReport,
    TaskStatus,
)
from cumintack.state.machine import (
    apply_command,
    decode_tables,
    encode_tables,
)
from cumintack.state.resources import (
    Resources,
    fits_within,
    subtract_resources,
)
from cumintack.state.tables import ControlTables
from cumintack.state.workers import WorkerSpec

TEAM_COUNT = 610
STARTS_PER_S = 1300
PASSES_PER_S = 50
MB = 1024 * 1024
TASK_SIZES = (
    (Resources(500, 1024), 0.4),
    (Resources(1000, 2048), 0.3),
    (Resources(2000, 4096), 0.2),
    (Resources(8000, 16384), 0.07),
    (Resources(4000, 8192, 1), 0.03),
)


class SimulatedCluster:
    """State machine and scheduler of a cluster, without any process.

    Attributes:
        random: Generator of job sizes and of tasks to complete.
        tables: State of the control group.
        index: Index of the latest applied command.
        apply_s: Time spent applying commands.
        scheduler: State of the scheduler.
    """

    def __init__(self, workers: int, tasks: int, seed: int) -> None:
        """Create workers and teams, and place ``tasks`` tasks."""
        self.random = random.Random(seed)
        self.tables = ControlTables()
        self.index = 0
        self.apply_s = 0.0
        specs = [
            WorkerSpec(
                f'w{number}',
                f'dc{number % 28}',
                f'rack{number // 20}',
                Resources(32000, 128000, 4 if number % 2 else 0),
            )
            for number in range(workers)
        ]
        for first in range(0, workers, 500):
            self.commit(RegisterWorkers(tuple(specs[first : first + 500])))
        for number in range(TEAM_COUNT):
            quota = Resources(10**9, 10**9, 10**6)
            self.commit(SetTeam(f't{number}', quota))
        self.submit(tasks)
        self.scheduler = create_scheduler(SchedulerSettings(), self.tables)
        self.place_all()

    def commit(self, operation: Operation) -> None:
        """Apply an operation and add its time to ``apply_s``."""
        self.index += 1
        command = Command(
            f's{self.index // 32}',
            self.index,
            'bench',
            0,
            operation,
        )
        started_s = time.perf_counter()
        apply_command(self.tables, self.index, command)
        self.apply_s += time.perf_counter() - started_s

    def submit(self, tasks: int) -> None:
        """Submit jobs with ``tasks`` tasks in total."""
        remaining = tasks
        while remaining > 0:
            count = min(remaining, self.random.choice((1, 5, 20, 50)))
            remaining -= count
            need = self.random.choices(
                [size for size, _ in TASK_SIZES],
                [weight for _, weight in TASK_SIZES],
            )[0]
            team = f't{self.random.randrange(TEAM_COUNT)}'
            priority = self.random.choice(tuple(Priority))
            self.commit(
                SubmitJob(JobSpec('job', team, count, need, priority=priority)),
            )

    def place(self) -> int:
        """Run one scheduling pass and commit its placements.

        Returns the number of placements.
        """
        decisions = run_scheduling_pass(self.scheduler, self.tables, 0)
        placements = decisions.placements
        if placements:
            self.commit(PlaceTasks(tuple(placements)))
        return len(placements)

    def place_all(self) -> None:
        """Run scheduling passes until one places nothing."""
        placed = self.place()
        while placed:
            placed = self.place()

    def complete(self, count: int) -> None:
        """Complete ``count`` random tasks that are placed."""
        placed = [
            task
            for task in self.tables.tasks.values()
            if task.status is TaskStatus.placed
        ]
        chosen = self.random.sample(placed, min(count, len(placed)))
        reports = tuple(
            TaskReport(
                task.task_id,
                task.attempt,
                ReportKind.completed,
                task.worker,
            )
            for task in chosen
        )
        self.commit(ReportTasks(reports))


def _run_size(workers: int, tasks: int, seconds: int) -> tuple[Cell, ...]:
    cluster = SimulatedCluster(workers, tasks, 1)
    occupied = sum(
        len(task_ids)
        for task_ids in cluster.tables.derived.tasks_by_worker.values()
    )
    starts_per_pass = STARTS_PER_S // PASSES_PER_S
    passes_us = []
    placed = 0
    apply_before_s = cluster.apply_s
    for _ in range(seconds * PASSES_PER_S):
        cluster.complete(starts_per_pass)
        cluster.submit(starts_per_pass)
        started_s = time.perf_counter()
        decisions = run_scheduling_pass(cluster.scheduler, cluster.tables, 0)
        passes_us.append(int((time.perf_counter() - started_s) * 1000000))
        placed += len(decisions.placements)
        if decisions.placements:
            cluster.commit(PlaceTasks(tuple(decisions.placements)))
    percentiles = compute_percentiles_ms(passes_us)
    pass_s = sum(passes_us) / 1000000
    apply_s = cluster.apply_s - apply_before_s
    core_share = (pass_s + apply_s) / seconds
    return (
        workers,
        len(cluster.tables.tasks),
        occupied,
        round(placed / seconds, 1),
        percentiles[0],
        percentiles[1],
        round(placed / (pass_s + apply_s), 1),
        round(100 * core_share, 1),
    )


def _place_first_fit(cluster: SimulatedCluster) -> int:
    """Place every pending task on the first worker with enough capacity."""
    free = {
        name: subtract_resources(
            worker.spec.holds,
            cluster.tables.derived.reserved.get(name, Resources()),
        )
        for name, worker in cluster.tables.workers.items()
    }
    placements = []
    for task in cluster.tables.tasks.values():
        if task.status is not TaskStatus.pending:
            continue
        job = cluster.tables.jobs[task.job_id]
        need = job.spec.need
        for name, remaining in free.items():
            if fits_within(need, remaining):
                free[name] = subtract_resources(remaining, need)
                placements.append(
                    Placement(task.task_id, task.attempt + 1, name),
                )
                break
    if placements:
        cluster.commit(PlaceTasks(tuple(placements)))
    return len(placements)


def run_passes(seconds: int) -> None:
    """Measure scheduling passes at three sizes, at 1,300 starts per second.

    Args:
        seconds: Simulated seconds of starts.
    """
    rows = [
        _run_size(100, 2070, seconds),
        _run_size(1000, 20700, seconds),
        _run_size(4500, 93000, seconds),
    ]
    print_table(
        f'Scheduling passes, {STARTS_PER_S} starts/s requested, '
        f'{PASSES_PER_S} passes/s',
        (
            'workers',
            'tasks',
            'placed at start',
            'starts/s',
            'pass p50 ms',
            'pass p99 ms',
            'starts/s per core',
            'core %',
        ),
        rows,
    )
    _run_first_fit()


def _run_first_fit() -> None:
    cluster = SimulatedCluster(4500, 93000, 1)
    cluster.complete(1300)
    cluster.submit(1300)
    started_s = time.perf_counter()
    placed = _place_first_fit(cluster)
    took_s = time.perf_counter() - started_s
    print_table(
        'Baseline: first fit over all workers, 4,500 workers, one pass',
        ('placed', 'pass ms', 'ms/placement'),
        [
            (
                placed,
                round(took_s * 1000, 1),
                round(took_s * 1000 / max(1, placed), 3),
            ),
        ],
    )


def run_memory() -> None:
    """Measure tables with a day of jobs, and the cost of a mass cancel."""
    rows: list[tuple[Cell, ...]] = []
    for jobs in (10000, 30000, 61000):
        tracemalloc.start()
        cluster = _create_daily_cluster(jobs)
        used, _peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        started_s = time.perf_counter()
        encoded = encode_tables(cluster.tables)
        encode_s = time.perf_counter() - started_s
        started_s = time.perf_counter()
        decode_tables(encoded)
        decode_s = time.perf_counter() - started_s
        rows.append(
            (
                jobs,
                len(cluster.tables.tasks),
                round(used / MB, 1),
                round(used / jobs),
                round(len(encoded) / MB, 1),
                round(encode_s * 1000),
                round(decode_s * 1000),
            ),
        )
    print_table(
        'Tables with the jobs of a day, two tasks each',
        (
            'jobs',
            'tasks',
            'memory mb',
            'bytes/job',
            'snapshot mb',
            'encode ms',
            'decode ms',
        ),
        rows,
    )
    _run_cancels()


def _create_daily_cluster(jobs: int) -> SimulatedCluster:
    cluster = SimulatedCluster(100, 0, 1)
    for number in range(jobs):
        team = f't{number % TEAM_COUNT}'
        cluster.commit(SubmitJob(JobSpec('job', team, 2, TASK_SIZES[0][0])))
    return cluster


def _run_cancels() -> None:
    cluster = _create_daily_cluster(20000)
    cluster.place_all()
    job_ids = tuple(list(cluster.tables.jobs)[:10000])
    started_s = time.perf_counter()
    cluster.commit(CancelJobs(job_ids))
    cancel_s = time.perf_counter() - started_s
    started_s = time.perf_counter()
    run_scheduling_pass(cluster.scheduler, cluster.tables, 0)
    pass_s = time.perf_counter() - started_s
    print_table(
        'Cancellation of 10,000 jobs at once',
        ('cancel ms', 'next pass ms'),
        [(round(cancel_s * 1000, 1), round(pass_s * 1000, 1))],
    )
