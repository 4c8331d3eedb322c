"""Throughput of an entry and of a bare HTTP server with as many threads."""

import pathlib
import signal
import sys
import threading
import time

import msgspec

from bench.deployments import GUILD, SERVICE, Deployment
from bench.harness import LoadRun, create_plans, print_line, print_table
from bench.load import LoadPlan
from bench.processes import BenchProcess, compute_cpu_percent, stop_all
from cumintack.coordination.querying import Cell
from cumintack.transport.http_server import (
    HttpRequest,
    HttpResponse,
    HttpServer,
    find_free_port,
)

THREADS = 192
MAX_BODY_BYTES = 1048576
LOAD_PROCESSES = 3
CALLERS = 16
ROUNDS = 3


def run(folder: pathlib.Path, seconds: float) -> None:
    """Measure the throughput of both servers in turn.

    Args:
        folder: Folder of logs and results.
        seconds: Duration of each load.
    """
    spec = msgspec.structs.replace(
        GUILD,
        workers=4,
        controls=1,
        entries=1,
        work_ms=0.0,
    )
    address = f'127.0.0.1:{find_free_port()}'
    bare_server = BenchProcess(
        'bare', 'bench.scenario_entry', [address], folder
    )
    deployment = Deployment(spec, folder)
    deployment.start()
    entry = deployment.processes[deployment.entries[0].name]
    rows: list[tuple[Cell, ...]] = []
    rates: dict[str, float] = {'bare': 0.0, 'entry': 0.0}
    try:
        for _ in range(ROUNDS):
            for name, process, target, path in (
                ('bare', bare_server, address, '/quotes'),
                (
                    'entry',
                    entry,
                    deployment.entries[0].http,
                    f'/services/{SERVICE}/quotes',
                ),
            ):
                before = process.read_usage()
                rate = _measure_rate(folder, target, path, seconds)
                cpu = compute_cpu_percent(before, process.read_usage())
                rates[name] += rate / ROUNDS
                rows.append((name, round(rate, 1), round(cpu, 1)))
    finally:
        deployment.stop()
        stop_all([bare_server])
    print_table(
        f'HTTP servers with {THREADS} threads each, '
        f'{LOAD_PROCESSES * CALLERS} callers in a closed loop',
        ('server', 'answers/s', 'cpu %'),
        rows,
    )
    print_line(f'entry / bare: {rates["entry"] / rates["bare"]:.2f}')


def _measure_rate(
    folder: pathlib.Path,
    address: str,
    path: str,
    seconds: float,
) -> float:
    plan = LoadPlan((address,), path, 0, seconds, CALLERS, 2000, '')
    plans = create_plans(plan, LOAD_PROCESSES, folder)
    result = LoadRun(plans, folder).wait(seconds + 20)
    return result.completed / max(0.001, result.elapsed_s)


def _answer(_request: HttpRequest) -> HttpResponse:
    return HttpResponse(200, b'{"answer_to":"nobody"}')


def main() -> None:
    """Serve the same small answer to every request."""
    server = HttpServer(sys.argv[1], _answer, THREADS, MAX_BODY_BYTES)
    stopped = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_args: stopped.set())
    server.start()
    while not stopped.wait(1):
        time.sleep(0)
    server.stop()


if __name__ == '__main__':
    main()
