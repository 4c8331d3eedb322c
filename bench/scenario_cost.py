"""What each role costs: slopes over workers, tasks, requests and changes."""

import pathlib
import time

import msgspec

from bench.deployments import GUILD, SERVICE, Deployment
from bench.emulated import EmulatedWorkers
from bench.load import LoadPlan
from bench.processes import BenchProcess, Usage, compute_cpu_percent
from bench.running import LoadRun, create_plans, print_table
from bench.sink import Sink
from bench.writers import Writers
from cumintack.coordination.querying import Cell

KB = 1024
SETTLE_S = 3.0


class Reading(msgspec.Struct, frozen=True):
    """What a process cost in a span.

    Attributes:
        cpu_percent: Share of one core.
        rss_mb: Memory resident at its end.
        sent_kb_s: KB a second sent over links.
        received_kb_s: KB a second received over links.
    """

    cpu_percent: float
    rss_mb: float
    sent_kb_s: float
    received_kb_s: float


class Meter:
    """Reads processes and the sink at the start of a span."""

    __slots__ = ('_before', '_bytes', '_process', '_sink')

    def __init__(self, process: BenchProcess, sink: Sink) -> None:
        """Begin a span."""
        self._process = process
        self._sink = sink
        self._before: Usage = process.read_usage()
        self._bytes = self._read_bytes()

    def _read_bytes(self) -> tuple[float, float]:
        prefix = f'cumintack.{self._process.name}.links'
        return (
            self._sink.gauges.get(f'{prefix}.bytes_sent', 0),
            self._sink.gauges.get(f'{prefix}.bytes_received', 0),
        )

    def read(self) -> Reading:
        """End the span."""
        after = self._process.read_usage()
        sent, received = self._read_bytes()
        passed_s = after.at_s - self._before.at_s
        return Reading(
            round(compute_cpu_percent(self._before, after), 2),
            round(after.rss_mb, 1),
            round((sent - self._bytes[0]) / KB / passed_s, 2),
            round((received - self._bytes[1]) / KB / passed_s, 2),
        )


def run_guard(folder: pathlib.Path, seconds: float) -> None:
    """Measure a guard idle, with tasks, and under requests.

    Args:
        folder: Where logs go.
        seconds: Length of each span.
    """
    sink = Sink()
    shape = msgspec.structs.replace(
        GUILD,
        workers=2,
        has_agents=True,
        work_ms=5.0,
        statsd_port=sink.port,
    )
    deployment = Deployment(shape, folder)
    deployment.start()
    rows: list[tuple[Cell, ...]] = []
    guard = deployment.processes[deployment.workers[0].name]
    try:
        deployment.command('team t cores_milli = 999000 memory_mb = 999000')
        for tasks in (0, 10, 20):
            if tasks:
                deployment.command(
                    'submit fill for t tasks = 20 cores_milli = 500 '
                    'memory_mb = 100 payload = "run_ms=900000"',
                )
            time.sleep(SETTLE_S)
            meter = Meter(guard, sink)
            time.sleep(seconds)
            rows.append(_create_row(f'idle, {tasks} tasks', meter.read()))
        for rate in (25, 50, 100):
            meter = Meter(guard, sink)
            result = _load(deployment, folder, rate * 2, seconds)
            label = f'{rate} requests/s, 20 tasks'
            rows.append(_create_row(label, meter.read()))
            if result:
                rows.append((f'  not completed: {result}', '', '', '', ''))
    finally:
        deployment.stop()
        sink.stop()
    print_table('A guard', COST_COLUMNS, rows)


COST_COLUMNS = ('case', 'cpu %', 'rss mb', 'sent KB/s', 'received KB/s')


def _create_row(case: str, reading: Reading) -> tuple[Cell, ...]:
    return (
        case,
        reading.cpu_percent,
        reading.rss_mb,
        reading.sent_kb_s,
        reading.received_kb_s,
    )


def _load(
    deployment: Deployment,
    folder: pathlib.Path,
    rate_per_s: float,
    seconds: float,
) -> int:
    plan = LoadPlan(
        tuple(entry.http for entry in deployment.entries),
        f'/services/{SERVICE}/quotes',
        rate_per_s,
        seconds,
        32,
        2000,
        '',
    )
    result = LoadRun(create_plans(plan, 1, folder), folder).wait(seconds + 20)
    return result.offered - result.completed


def run_leader(folder: pathlib.Path, seconds: float) -> None:
    """Measure a leader over workers, tasks on them, and changes.

    Args:
        folder: Where logs go.
        seconds: Length of each span.
    """
    rows: list[tuple[Cell, ...]] = []
    for workers, tasks in ((100, 0), (300, 0), (560, 0), (300, 10), (300, 20)):
        case_folder = folder / f'{workers}-{tasks}'
        case_folder.mkdir()
        rows.append(_run_leader_case(case_folder, workers, tasks, seconds))
    print_table(
        'A leader under heartbeats of emulated workers, one a second each',
        (
            'workers',
            'tasks on each',
            'heartbeats/s',
            'cpu %',
            'us a heartbeat',
            'rss mb',
            'KB/s to a worker',
            'KB/s from a worker',
        ),
        rows,
    )


def _run_leader_case(
    folder: pathlib.Path,
    workers: int,
    tasks: int,
    seconds: float,
) -> tuple[Cell, ...]:
    sink = Sink()
    shape = msgspec.structs.replace(
        GUILD,
        workers=0,
        entries=1,
        statsd_port=sink.port,
    )
    deployment = Deployment(shape, folder)
    deployment.start()
    emulated = EmulatedWorkers(deployment.controls, workers, 1.0)
    emulated.start()
    try:
        deployment.wait_for(deployment.api, 'select worker from workers', 100)
        time.sleep(SETTLE_S)
        _fill(deployment, emulated, workers * tasks)
        leader = deployment.processes[deployment.get_leader()]
        meter = Meter(leader, sink)
        sent = emulated.sent
        before = emulated.get_bytes()
        time.sleep(seconds)
        reading = meter.read()
        beats = (emulated.sent - sent) / seconds
        after = emulated.get_bytes()
    finally:
        emulated.stop()
        deployment.stop()
    sink.stop()
    span = seconds * workers * KB
    return (
        workers,
        tasks,
        round(beats, 1),
        reading.cpu_percent,
        round(reading.cpu_percent * 10000 / max(1, beats), 1),
        reading.rss_mb,
        round((after[1] - before[1]) / span, 2),
        round((after[0] - before[0]) / span, 2),
    )


def _fill(
    deployment: Deployment,
    emulated: EmulatedWorkers,
    tasks: int,
) -> None:
    if not tasks:
        return
    deployment.command('team t cores_milli = 99000000 memory_mb = 99000000')
    deployment.command(
        f'submit fill for t tasks = {tasks} cores_milli = 500 memory_mb = 100',
    )
    deadline_s = time.monotonic() + 30
    while emulated.started < tasks and time.monotonic() < deadline_s:
        time.sleep(0.1)
    time.sleep(SETTLE_S)


def run_changes(folder: pathlib.Path, seconds: float) -> None:
    """Measure all roles at a rate of changes, and entries at a rate.

    Args:
        folder: Where logs go.
        seconds: Length of each span.
    """
    sink = Sink()
    shape = msgspec.structs.replace(
        GUILD,
        workers=3,
        work_ms=5.0,
        statsd_port=sink.port,
    )
    deployment = Deployment(shape, folder)
    deployment.start()
    rows: list[tuple[Cell, ...]] = []
    try:
        for changes in (0, 5, 20):
            rows.extend(_run_change_case(deployment, sink, changes, seconds))
        entry = deployment.processes[deployment.entries[0].name]
        for rate in (50, 100, 200):
            meter = Meter(entry, sink)
            _load(deployment, folder, rate * 3, seconds)
            rows.append(_create_row(f'entry, {rate} requests/s', meter.read()))
    finally:
        deployment.stop()
        sink.stop()
    print_table('All roles under changes; an entry', COST_COLUMNS, rows)


def _run_change_case(
    deployment: Deployment,
    sink: Sink,
    changes: int,
    seconds: float,
) -> list[tuple[Cell, ...]]:
    names = [
        deployment.get_leader(),
        deployment.entries[0].name,
        deployment.workers[0].name,
    ]
    writers = None
    if changes:
        writers = Writers(deployment.controls, changes, 10**9, 1.0)
        writers.start()
    time.sleep(1.5)
    meters = [Meter(deployment.processes[name], sink) for name in names]
    time.sleep(seconds)
    readings = [meter.read() for meter in meters]
    if writers is not None:
        writers.stop()
    roles = ('leader', 'entry', 'guard')
    return [
        _create_row(f'{role}, {changes} changes/s', reading)
        for role, reading in zip(roles, readings)
    ]
