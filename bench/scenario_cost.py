"""Resource usage of each role by workers, tasks, requests and changes."""

import pathlib
import time

import msgspec

from bench.deployments import GUILD, SERVICE, Deployment
from bench.emulated_workers import EmulatedWorkers
from bench.harness import LoadRun, create_plans, print_table
from bench.load import LoadPlan
from bench.processes import BenchProcess, ProcessUsage, compute_cpu_percent
from bench.statsd_sink import StatsdSink
from bench.writers import WriterGroup
from cumintack.coordination.querying import Cell

KB = 1024
SETTLE_S = 3.0


class CostSample(msgspec.Struct, frozen=True):
    """Resource usage of a process over an interval.

    Attributes:
        cpu_percent: Mean processor usage in percent of one core.
        rss_mb: Resident memory at the end of the interval.
        sent_kb_s: KB per second sent over links.
        received_kb_s: KB per second received over links.
    """

    cpu_percent: float
    rss_mb: float
    sent_kb_s: float
    received_kb_s: float


class CostMeter:
    """Measures the resource usage of a process over an interval."""

    __slots__ = ('_before', '_bytes_before', '_process', '_sink')

    def __init__(self, process: BenchProcess, sink: StatsdSink) -> None:
        """Begin the interval."""
        self._process = process
        self._sink = sink
        self._before: ProcessUsage = process.read_usage()
        self._bytes_before = self._read_bytes()

    def _read_bytes(self) -> tuple[float, float]:
        prefix = f'cumintack.{self._process.name}.links'
        return (
            self._sink.gauges.get(f'{prefix}.bytes_sent', 0),
            self._sink.gauges.get(f'{prefix}.bytes_received', 0),
        )

    def read(self) -> CostSample:
        """Return the usage since the start of the interval."""
        after = self._process.read_usage()
        sent, received = self._read_bytes()
        elapsed_s = after.read_at_s - self._before.read_at_s
        return CostSample(
            round(compute_cpu_percent(self._before, after), 2),
            round(after.rss_mb, 1),
            round((sent - self._bytes_before[0]) / KB / elapsed_s, 2),
            round((received - self._bytes_before[1]) / KB / elapsed_s, 2),
        )


def run_guard(folder: pathlib.Path, seconds: float) -> None:
    """Measure a guard when idle, with tasks, and under requests.

    Args:
        folder: Folder of logs.
        seconds: Duration of each interval.
    """
    sink = StatsdSink()
    spec = msgspec.structs.replace(
        GUILD,
        workers=2,
        has_agents=True,
        work_ms=5.0,
        statsd_port=sink.port,
    )
    deployment = Deployment(spec, folder)
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
            meter = CostMeter(guard, sink)
            time.sleep(seconds)
            rows.append(_create_row(f'idle, {tasks} tasks', meter.read()))
        for rate in (25, 50, 100):
            meter = CostMeter(guard, sink)
            result = _load(deployment, folder, rate * 2, seconds)
            label = f'{rate} requests/s, 20 tasks'
            rows.append(_create_row(label, meter.read()))
            if result:
                rows.append((f'  not completed: {result}', '', '', '', ''))
    finally:
        deployment.stop()
        sink.stop()
    print_table('Guard', COST_COLUMNS, rows)


COST_COLUMNS = ('case', 'cpu %', 'rss mb', 'sent KB/s', 'received KB/s')


def _create_row(case: str, sample: CostSample) -> tuple[Cell, ...]:
    return (
        case,
        sample.cpu_percent,
        sample.rss_mb,
        sample.sent_kb_s,
        sample.received_kb_s,
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
    """Measure a leader by number of workers and of tasks on them.

    Args:
        folder: Folder of logs.
        seconds: Duration of each interval.
    """
    rows: list[tuple[Cell, ...]] = []
    for workers, tasks in ((100, 0), (300, 0), (560, 0), (300, 10), (300, 20)):
        case_folder = folder / f'{workers}-{tasks}'
        case_folder.mkdir()
        rows.append(_run_leader_case(case_folder, workers, tasks, seconds))
    print_table(
        'A leader with emulated workers, one heartbeat per second each',
        (
            'workers',
            'tasks per worker',
            'heartbeats/s',
            'cpu %',
            'us/heartbeat',
            'rss mb',
            'KB/s to each worker',
            'KB/s from each worker',
        ),
        rows,
    )


def _run_leader_case(
    folder: pathlib.Path,
    workers: int,
    tasks: int,
    seconds: float,
) -> tuple[Cell, ...]:
    sink = StatsdSink()
    spec = msgspec.structs.replace(
        GUILD,
        workers=0,
        entries=1,
        statsd_port=sink.port,
    )
    deployment = Deployment(spec, folder)
    deployment.start()
    emulated = EmulatedWorkers(deployment.controls, workers, 1.0)
    emulated.start()
    try:
        deployment.wait_for(deployment.api, 'select worker from workers', 100)
        time.sleep(SETTLE_S)
        _place_tasks(deployment, emulated, workers * tasks)
        leader = deployment.processes[deployment.get_leader()]
        meter = CostMeter(leader, sink)
        heartbeats_before = emulated.heartbeat_count
        before = emulated.get_bytes()
        time.sleep(seconds)
        sample = meter.read()
        heartbeats_per_s = (
            emulated.heartbeat_count - heartbeats_before
        ) / seconds
        after = emulated.get_bytes()
    finally:
        emulated.stop()
        deployment.stop()
    sink.stop()
    worker_kb_seconds = seconds * workers * KB
    return (
        workers,
        tasks,
        round(heartbeats_per_s, 1),
        sample.cpu_percent,
        round(sample.cpu_percent * 10000 / max(1, heartbeats_per_s), 1),
        sample.rss_mb,
        round((after[1] - before[1]) / worker_kb_seconds, 2),
        round((after[0] - before[0]) / worker_kb_seconds, 2),
    )


def _place_tasks(
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
    while emulated.started_task_count < tasks and time.monotonic() < deadline_s:
        time.sleep(0.1)
    time.sleep(SETTLE_S)


def run_changes(folder: pathlib.Path, seconds: float) -> None:
    """Measure all roles by rate of changes, and an entry by request rate.

    Args:
        folder: Folder of logs.
        seconds: Duration of each interval.
    """
    sink = StatsdSink()
    spec = msgspec.structs.replace(
        GUILD,
        workers=3,
        work_ms=5.0,
        statsd_port=sink.port,
    )
    deployment = Deployment(spec, folder)
    deployment.start()
    rows: list[tuple[Cell, ...]] = []
    try:
        for changes in (0, 5, 20):
            rows.extend(_run_change_case(deployment, sink, changes, seconds))
        entry = deployment.processes[deployment.entries[0].name]
        for rate in (50, 100, 200):
            meter = CostMeter(entry, sink)
            _load(deployment, folder, rate * 3, seconds)
            rows.append(_create_row(f'entry, {rate} requests/s', meter.read()))
    finally:
        deployment.stop()
        sink.stop()
    print_table(
        'All roles by rate of changes, an entry by request rate',
        COST_COLUMNS,
        rows,
    )


def _run_change_case(
    deployment: Deployment,
    sink: StatsdSink,
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
        writers = WriterGroup(deployment.controls, changes, 10**9, 1.0)
        writers.start()
    time.sleep(1.5)
    meters = [CostMeter(deployment.processes[name], sink) for name in names]
    time.sleep(seconds)
    samples = [meter.read() for meter in meters]
    if writers is not None:
        writers.stop()
    roles = ('leader', 'entry', 'guard')
    return [
        _create_row(f'{role}, {changes} changes/s', sample)
        for role, sample in zip(roles, samples)
    ]
