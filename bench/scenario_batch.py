"""Interference of batch tasks with service requests, for both users."""

import collections
import pathlib
import threading
import time

import msgspec

from bench.deployments import (
    AUTHORITY,
    GUILD,
    SERVICE,
    Deployment,
    DeploymentSpec,
)
from bench.harness import LoadRun, create_plans, print_table
from bench.load import LoadPlan, LoadResult, compute_percentiles_ms
from cumintack.coordination.querying import Cell
from cumintack.demo.sample_worker import WorkerLedger

WORK_MS = 50.0
REQUEST_RATE_PER_S = 150.0
NOISY_TASKS = 66
QUIET_TASKS = 110
NOISY_RUN_MS = 6000
QUIET_RUN_MS = 4000
NOISE = 0.6
COLUMNS = (
    'case',
    'completed',
    'not completed',
    'p50 ms',
    'p99 ms',
    'p99 / alone',
    'tasks done',
    'tasks/s',
    'evictions',
    'duplicates',
    'over capacity',
)


class SchedulerWeights(msgspec.Struct, frozen=True):
    """Scheduler weights of a user, as in the example settings."""

    tail_latency: float
    throughput: float
    evictions: float


CASES: dict[str, tuple[DeploymentSpec, SchedulerWeights]] = {
    'guild': (GUILD, SchedulerWeights(4, 1, 1)),
    'authority': (AUTHORITY, SchedulerWeights(1, 3, 3)),
    'no mitigation': (GUILD, SchedulerWeights(0, 100, 100)),
}


def run(folder: pathlib.Path, seconds: float) -> None:
    """Send service requests without and with batch tasks, for each user.

    Args:
        folder: Folder of logs and results.
        seconds: Duration of each load.
    """
    rows: list[tuple[Cell, ...]] = []
    for name, (spec, weights) in CASES.items():
        case_folder = folder / name.replace(' ', '-')
        case_folder.mkdir()
        case_spec = msgspec.structs.replace(
            spec,
            work_ms=WORK_MS,
            spread=0.2,
            has_agents=True,
        )
        rows.extend(_run_case(case_folder, name, case_spec, weights, seconds))
    print_table(
        f'{NOISY_TASKS} noisy and {QUIET_TASKS} quiet tasks beside '
        f'{REQUEST_RATE_PER_S:.0f} service requests/s; '
        f'a noisy task slows the service of its worker by {NOISE:.0%}',
        COLUMNS,
        rows,
    )


def _run_case(
    folder: pathlib.Path,
    name: str,
    spec: DeploymentSpec,
    weights: SchedulerWeights,
    seconds: float,
) -> list[tuple[Cell, ...]]:
    deployment = Deployment(spec, folder)
    deployment.start()
    try:
        deployment.command(
            f'set scheduler.weight_tail_latency = {weights.tail_latency}, '
            f'scheduler.weight_throughput = {weights.throughput}, '
            f'scheduler.weight_evictions = {weights.evictions}',
        )
        deployment.command('team t cores_milli = 999000 memory_mb = 999000')
        alone = _load(deployment, folder, seconds)
        submitted_at_s = time.monotonic()
        jobs = _submit(deployment)
        completed_at_s: list[float] = []
        recorder = threading.Thread(
            target=_record_completions,
            args=(deployment, jobs, completed_at_s),
        )
        recorder.start()
        beside = _load(deployment, folder, seconds)
        recorder.join()
        ledgers = deployment.fetch_worker_ledgers()
        evicted_tasks = deployment.query(
            'select task, evicted from tasks where evicted > 0 limit 9999',
        )
    finally:
        deployment.stop()
    took_s = max(completed_at_s, default=submitted_at_s) - submitted_at_s
    evictions = sum(int(str(row[1])) for row in evicted_tasks.rows)
    batch = _summarize_batch(ledgers, took_s, evictions)
    alone_ms = compute_percentiles_ms(alone.latencies_us)[1]
    empty_cells: tuple[Cell, ...] = ('', '', '', '', '')
    return [
        _create_row(f'{name}, alone', alone, alone_ms, empty_cells),
        _create_row(f'{name}, beside tasks', beside, alone_ms, batch),
    ]


def _summarize_batch(
    ledgers: list[WorkerLedger],
    took_s: float,
    evictions: int,
) -> tuple[Cell, ...]:
    runs: collections.Counter[str] = collections.Counter()
    for ledger in ledgers:
        runs.update(ledger.completed)
    duplicates = [count for count in runs.values() if count > 1]
    overfull_counts = [worker.overfull for worker in ledgers]
    return (
        len(runs),
        round(len(runs) / took_s, 2) if took_s else 0,
        evictions,
        len(duplicates),
        sum(overfull_counts),
    )


def _create_row(
    case: str,
    result: LoadResult,
    alone_ms: float,
    batch: tuple[Cell, ...],
) -> tuple[Cell, ...]:
    latencies = compute_percentiles_ms(result.latencies_us)
    return (
        case,
        result.completed,
        result.offered - result.completed,
        round(latencies[0], 1),
        round(latencies[1], 1),
        round(latencies[1] / max(0.001, alone_ms), 2),
        *batch,
    )


def _load(
    deployment: Deployment,
    folder: pathlib.Path,
    seconds: float,
) -> LoadResult:
    plan = LoadPlan(
        tuple(entry.http for entry in deployment.entries),
        f'/services/{SERVICE}/quotes',
        REQUEST_RATE_PER_S,
        seconds,
        64,
        2000,
        '',
    )
    return LoadRun(create_plans(plan, 1, folder), folder).wait(seconds + 30)


def _submit(deployment: Deployment) -> list[str]:
    return [
        deployment.command(
            f'submit noisy for t tasks = {NOISY_TASKS} cores_milli = 3000 '
            f'memory_mb = 1000 kind = noisy idempotent = false '
            f'payload = "run_ms={NOISY_RUN_MS}&noise={NOISE}"',
        ),
        deployment.command(
            f'submit quiet for t tasks = {QUIET_TASKS} cores_milli = 2000 '
            f'memory_mb = 1000 kind = quiet '
            f'payload = "run_ms={QUIET_RUN_MS}"',
        ),
    ]


def _record_completions(
    deployment: Deployment,
    jobs: list[str],
    completed_at_s: list[float],
) -> None:
    deadline_s = time.monotonic() + 120
    while len(completed_at_s) < len(jobs) and time.monotonic() < deadline_s:
        rows = deployment.query('select job from jobs where status = completed')
        while len(completed_at_s) < len(rows.rows):
            completed_at_s.append(time.monotonic())
        time.sleep(0.2)
