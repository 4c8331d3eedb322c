"""Latency of the path through entry and guard, and of a direct call."""

import pathlib

import msgspec

from bench.deployments import GUILD, SERVICE, Deployment
from bench.harness import (
    LOAD_COLUMNS,
    LoadRun,
    create_load_row,
    create_plans,
    print_line,
    print_table,
    render_usage,
)
from bench.load import LoadPlan, compute_percentiles_ms

CALLERS = 8
ROUNDS = 3


def run(folder: pathlib.Path, duration_s: float, work_ms: float) -> None:
    """Compare both latencies in alternating loads.

    Args:
        folder: Folder of logs and results.
        duration_s: Duration of each load.
        work_ms: Service time of the upstream.
    """
    spec = msgspec.structs.replace(
        GUILD,
        workers=1,
        controls=1,
        entries=1,
        work_ms=work_ms,
    )
    deployment = Deployment(spec, folder)
    deployment.start()
    rows = []
    latencies: dict[str, list[int]] = {'direct': [], 'path': []}
    try:
        for number in range(ROUNDS):
            for case in ('direct', 'path'):
                plan = _create_plan(deployment, case, duration_s)
                result = LoadRun(create_plans(plan, 1, folder), folder).wait(
                    duration_s + 20,
                )
                latencies[case].extend(result.latencies_us)
                rows.append(create_load_row(f'{case} {number}', result))
        processes = deployment.processes
        before = {name: item.read_usage() for name, item in processes.items()}
        plan = _create_plan(deployment, 'path', duration_s)
        LoadRun(create_plans(plan, 1, folder), folder).wait(duration_s + 20)
        after = {name: item.read_usage() for name, item in processes.items()}
    finally:
        deployment.stop()
    print_table(
        f'Path and direct call, {CALLERS} callers, {work_ms} ms of work',
        LOAD_COLUMNS,
        rows,
    )
    direct = compute_percentiles_ms(latencies['direct'])
    path = compute_percentiles_ms(latencies['path'])
    for name, direct_ms, path_ms in zip(('p50', 'p99', 'p99.9'), direct, path):
        ratio = path_ms / direct_ms
        print_line(
            f'{name}: direct {direct_ms} ms, path {path_ms} ms, x{ratio:.2f}'
        )
    print_line(render_usage(processes, before, after))


def _create_plan(
    deployment: Deployment,
    case: str,
    duration_s: float,
) -> LoadPlan:
    address = deployment.entries[0].http
    path = f'/services/{SERVICE}/quotes'
    if case == 'direct':
        address = deployment.workers[0].upstream
        path = '/quotes'
    return LoadPlan(
        (address,),
        path,
        0,
        duration_s,
        CALLERS,
        2000,
        '',
        prefix=case,
    )
