"""Shared code of the scenarios: load processes, ledger checks, tables."""

import collections
import pathlib
import sys
import time

import msgspec

from bench.load import (
    LoadPlan,
    LoadResult,
    compute_percentiles_ms,
    merge_results,
)
from bench.processes import BenchProcess, ProcessUsage, compute_cpu_percent
from cumintack.cli.rendering import render_rows
from cumintack.coordination.querying import Cell, QueryResult
from cumintack.demo.sample_upstream import Ledger

MAX_REASON_ROWS = 8
LOAD_COLUMNS = (
    'case',
    'offered/s',
    'offered',
    'completed',
    'on time',
    'not run',
    'unknown',
    'failed',
    'wrong',
    'late',
    'goodput/s',
    'p50 ms',
    'p99 ms',
    'p99.9 ms',
)


class LoadRun:
    """Load processes that run in parallel with the deployment."""

    __slots__ = ('_outputs', '_processes')

    def __init__(self, plans: list[LoadPlan], folder: pathlib.Path) -> None:
        """Start one process for each plan."""
        self._outputs = [pathlib.Path(plan.output) for plan in plans]
        self._processes = []
        for number, plan in enumerate(plans):
            path = folder / f'plan-{time.monotonic_ns()}-{number}.json'
            path.write_bytes(msgspec.json.encode(plan))
            self._processes.append(
                BenchProcess(
                    f'load-{number}',
                    'bench.load',
                    [str(path)],
                    folder,
                ),
            )

    def wait(self, timeout_s: float) -> LoadResult:
        """Wait for the processes and merge their results."""
        for process in self._processes:
            process.wait(timeout_s)
        process_results = [
            msgspec.json.decode(path.read_bytes(), type=LoadResult)
            for path in self._outputs
            if path.exists()
        ]
        return merge_results(process_results)


def create_plans(
    plan: LoadPlan,
    count: int,
    folder: pathlib.Path,
) -> list[LoadPlan]:
    """Split a plan over several processes.

    Args:
        plan: The load of all processes together.
        count: Number of processes.
        folder: Folder of the result files.

    Returns:
        Plans with an equal share of the rate each, and with seeds, request
        identifiers and result files of their own.
    """
    stamp = time.monotonic_ns()
    return [
        msgspec.structs.replace(
            plan,
            rate_per_s=plan.rate_per_s / count,
            seed=plan.seed * 1000 + number,
            prefix=f'{plan.prefix}{stamp}p{number}n',
            output=str(folder / f'load-{stamp}-{number}.json'),
        )
        for number in range(count)
    ]


def create_load_row(case: str, result: LoadResult) -> tuple[Cell, ...]:
    """Create a row of the load table.

    Args:
        case: Name of the case.
        result: Result of its load.

    Returns:
        Cells for ``LOAD_COLUMNS``.
    """
    elapsed_s = max(0.001, result.elapsed_s)
    latencies = compute_percentiles_ms(result.latencies_us)
    return (
        case,
        round(result.offered / elapsed_s, 1),
        result.offered,
        result.completed,
        result.on_time,
        result.not_run,
        result.unknown,
        result.failed,
        result.wrong,
        result.late_starts,
        round(result.on_time / elapsed_s, 1),
        *(round(latency, 2) for latency in latencies),
    )


def print_reasons(result: LoadResult) -> None:
    """Print the most frequent reasons why requests did not complete.

    Args:
        result: Result of a load.
    """
    by_count = sorted(result.reasons.items(), key=lambda pair: -pair[1])
    rows: list[tuple[Cell, ...]] = list(by_count[:MAX_REASON_ROWS])
    if rows:
        print_table('Not completed', ('reason', 'requests'), rows)


class LedgerCheck(msgspec.Struct, frozen=True):
    """Violations of the request invariants, found in upstream ledgers.

    Attributes:
        false_not_run: Requests reported as not run that did run.
        duplicate_executions: Requests that are not idempotent and ran more
            than once.
        upstreams_over_slots: Upstreams that ran more requests at a time than
            they have slots.
        executions: Number of executions, valid ones included.
    """

    false_not_run: int
    duplicate_executions: int
    upstreams_over_slots: int
    executions: int


def check_ledgers(
    ledgers: list[Ledger],
    result: LoadResult,
    slots: int,
) -> LedgerCheck:
    """Check the outcomes reported to callers against the ledgers.

    Args:
        ledgers: Ledgers of all upstreams.
        result: Result of the load.
        slots: Slots of each upstream.

    Returns:
        Violations by kind; each count should be zero.
    """
    runs: collections.Counter[str] = collections.Counter()
    for ledger in ledgers:
        runs.update(ledger.runs)
    false_not_run = [
        request_id for request_id in result.not_run_ids if runs[request_id]
    ]
    duplicate_executions = [
        request_id for request_id in result.once_ids if runs[request_id] > 1
    ]
    upstreams_over_slots = [
        upstream for upstream in ledgers if upstream.most_at_once > slots
    ]
    return LedgerCheck(
        len(false_not_run),
        len(duplicate_executions),
        len(upstreams_over_slots),
        runs.total(),
    )


def render_usage(
    processes: dict[str, BenchProcess],
    before: dict[str, ProcessUsage],
    after: dict[str, ProcessUsage],
) -> str:
    """Render the resource usage between two readings as a table.

    Args:
        processes: The processes.
        before: Earlier readings by name of the process.
        after: Later readings by name of the process.

    Returns:
        A table with one row for each role of a process.
    """
    usages_by_role: dict[str, list[tuple[float, float]]] = {}
    for name in processes:
        role = name.rpartition('-')[0].partition('-')[0]
        cpu = compute_cpu_percent(before[name], after[name])
        usages_by_role.setdefault(role, []).append((cpu, after[name].rss_mb))
    rows = tuple(
        (
            role,
            len(usages),
            round(sum(cpu for cpu, _ in usages) / len(usages), 2),
            round(max(cpu for cpu, _ in usages), 2),
            round(max(rss for _, rss in usages), 1),
        )
        for role, usages in usages_by_role.items()
    )
    columns = ('process', 'count', 'mean cpu %', 'max cpu %', 'max rss mb')
    return render_rows(QueryResult(columns, rows), 'table')


def print_table(
    title: str,
    columns: tuple[str, ...],
    rows: list[tuple[Cell, ...]],
) -> None:
    """Print a table with its title.

    Args:
        title: The title.
        columns: Column headings.
        rows: The rows.
    """
    sys.stdout.write(f'\n{title}\n')
    sys.stdout.write(render_rows(QueryResult(columns, tuple(rows)), 'table'))
    sys.stdout.write('\n')
    sys.stdout.flush()


def print_line(text: str) -> None:
    """Print one line.

    Args:
        text: The line.
    """
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()
