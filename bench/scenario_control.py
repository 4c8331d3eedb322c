"""Control replicas: throughput, failover, configuration, restart."""

import os
import pathlib
import random
import shutil
import tempfile
import time

import msgspec

from bench.deployments import GUILD, Deployment
from bench.harness import print_line, print_table
from bench.load import compute_percentiles_ms
from bench.writers import WriterGroup
from cumintack.coordination.querying import Cell
from cumintack.transport.journal import Journal

DEPLOYMENT_SPEC = msgspec.structs.replace(GUILD, workers=0, entries=1)
SYNC_BLOCK_BYTES = 512
WRITE_PAUSE_S = 0.005
FAULT_ROUNDS = 5
REPAIR_ROUNDS = 3
SETTLE_S = 3.0


def measure_sync_latency_ms(count: int) -> tuple[float, float]:
    """Measure synced appends to a file, without the product.

    They are the lower bound for the latency of a committed command.

    Args:
        count: Number of appends.

    Returns:
        p50 and p99 in milliseconds.
    """
    latencies_us = []
    block = b'x' * SYNC_BLOCK_BYTES
    with tempfile.NamedTemporaryFile() as target:
        for _ in range(count):
            started_s = time.monotonic()
            os.write(target.fileno(), block)
            os.fdatasync(target.fileno())
            took_s = time.monotonic() - started_s
            latencies_us.append(int(took_s * 1000000))
    percentiles = compute_percentiles_ms(latencies_us)
    return (percentiles[0], percentiles[1])


def run_commits(folder: pathlib.Path, seconds: float) -> None:
    """Measure committed commands per second with 1, 8 and 64 writers.

    Args:
        folder: Folder of logs and data.
        seconds: Duration of each measurement.
    """
    sync_ms = measure_sync_latency_ms(300)
    print_line(
        f'lower bound: synced append p50 {sync_ms[0]} ms, p99 {sync_ms[1]} ms',
    )
    deployment = Deployment(DEPLOYMENT_SPEC, folder)
    deployment.start()
    rows: list[tuple[Cell, ...]] = []
    try:
        for count in (1, 8, 64):
            writers = WriterGroup(deployment.controls, count, 10**9)
            writers.start()
            time.sleep(1)
            commits_before = len(writers.committed_at_s)
            leader = deployment.processes[deployment.get_leader()]
            before = leader.read_usage()
            time.sleep(seconds)
            commits = len(writers.committed_at_s) - commits_before
            after = leader.read_usage()
            writers.stop()
            latencies = compute_percentiles_ms(writers.latencies_us)
            cpu_s = after.cpu_s - before.cpu_s
            rows.append(
                (
                    count,
                    round(commits / seconds, 1),
                    *latencies,
                    round(1000000 * cpu_s / max(1, commits), 1),
                    sum(writer.chain_violations for writer in writers.writers),
                ),
            )
    finally:
        deployment.stop()
    print_table(
        'Committed commands, 3 synced replicas',
        (
            'writers',
            'commands/s',
            'p50 ms',
            'p99 ms',
            'p99.9 ms',
            'leader us/command',
            'broken chains',
        ),
        rows,
    )


def run_failover(folder: pathlib.Path) -> None:
    """Measure the time without commits after the leader fails.

    The leader is killed in some rounds and suspended in the others.

    Args:
        folder: Folder of logs and data.
    """
    deployment = Deployment(DEPLOYMENT_SPEC, folder)
    deployment.start()
    writers = WriterGroup(deployment.controls, 8, 10**9, WRITE_PAUSE_S)
    rows: list[tuple[Cell, ...]] = []
    try:
        writers.start()
        time.sleep(SETTLE_S)
        for fault in ('kill -9', 'SIGSTOP'):
            gaps = [
                _inject_leader_fault(deployment, writers, fault)
                for _ in range(FAULT_ROUNDS)
            ]
            gaps.sort()
            rows.append(
                (
                    fault,
                    FAULT_ROUNDS,
                    round(gaps[0], 3),
                    round(gaps[FAULT_ROUNDS // 2], 3),
                    round(gaps[-1], 3),
                ),
            )
    finally:
        writers.stop()
        deployment.stop()
    chain_violations = sum(
        writer.chain_violations for writer in writers.writers
    )
    print_table(
        f'Longest time without a commit '
        f'({len(writers.committed_at_s)} commands, '
        f'{chain_violations} broken chains)',
        ('fault of the leader', 'rounds', 'min s', 'median s', 'max s'),
        rows,
    )


def _inject_leader_fault(
    deployment: Deployment,
    writers: WriterGroup,
    fault: str,
) -> float:
    name = deployment.get_leader()
    process = deployment.processes[name]
    index = [control.name for control in deployment.controls].index(name)
    from_s = time.monotonic()
    if fault == 'SIGSTOP':
        process.pause()
    else:
        process.kill()
    time.sleep(SETTLE_S)
    until_s = time.monotonic()
    if fault == 'SIGSTOP':
        process.resume()
    else:
        deployment.start_daemon(deployment.controls[index], 'control', index)
    time.sleep(SETTLE_S)
    return writers.find_longest_gap_s(from_s, until_s)


def run_faults(folder: pathlib.Path, total: int) -> None:
    """Count commands lost or applied twice while replicas fail.

    Args:
        folder: Folder of logs and data.
        total: Number of commands to commit.
    """
    deployment = Deployment(DEPLOYMENT_SPEC, folder)
    deployment.start()
    rng = random.Random(7)
    writers = WriterGroup(deployment.controls, 64, total)
    fault_count = 0
    try:
        writers.start()
        while len(writers.committed_at_s) < total:
            writers.wait(2.0)
            _inject_random_fault(deployment, rng)
            fault_count += 1
        writers.stop()
        lost = _count_lost(deployment, writers)
    finally:
        deployment.stop()
    chain_violations = sum(
        writer.chain_violations for writer in writers.writers
    )
    unanswered = sum(writer.unanswered for writer in writers.writers)
    print_table(
        'Commands while replicas are killed and suspended',
        ('commands', 'faults', 'lost', 'broken chains', 'unanswered'),
        [
            (
                len(writers.committed_at_s),
                fault_count,
                lost,
                chain_violations,
                unanswered,
            )
        ],
    )


def _inject_random_fault(deployment: Deployment, rng: random.Random) -> None:
    index = rng.randrange(len(deployment.controls))
    control = deployment.controls[index]
    process = deployment.processes[control.name]
    if rng.randrange(2):
        process.kill()
        time.sleep(rng.random())
        deployment.start_daemon(control, 'control', index)
    else:
        process.pause()
        time.sleep(1.5 * rng.random())
        process.resume()


def _count_lost(deployment: Deployment, writers: WriterGroup) -> int:
    rows = deployment.query(
        'select key, version from config where key ~ note.r limit 100000'
    )
    versions = {str(row[0]): row[1] for row in rows.rows}
    lost_keys = 0
    for writer in writers.writers:
        stored_version = versions.get(
            f'note.{writers.prefix}w{writer.number}', 0
        )
        is_present = (
            isinstance(stored_version, int) and stored_version >= writer.version
        )
        lost_keys += int(not is_present)
    return lost_keys


def run_restart(folder: pathlib.Path, total: int) -> None:
    """Measure the restart time of a follower after many commands.

    Args:
        folder: Folder of logs and data.
        total: Number of commands before the restart.
    """
    deployment = Deployment(DEPLOYMENT_SPEC, folder)
    deployment.start()
    writers = WriterGroup(deployment.controls, 64, total)
    writers.start()
    writers.wait(total / 1000)
    writers.stop()
    leader = deployment.get_leader()
    names = [control.name for control in deployment.controls]
    index = next(number for number, name in enumerate(names) if name != leader)
    name = names[index]
    process = deployment.processes[name]
    process.terminate()
    process.wait()
    time.sleep(SETTLE_S)
    started_s = time.monotonic()
    deployment.start_daemon(deployment.controls[index], 'control', index)
    text = (
        f'select replica from replicas where replica = {name} '
        'and lag <= 0 and silent_s < 0.3'
    )
    deployment.wait_for(deployment.api, text, 1)
    caught_up_s = time.monotonic() - started_s
    deployment.stop()
    data_folder = folder / f'data-{name}'
    started_s = time.monotonic()
    journal = Journal(data_folder)
    journal.recover()
    recovered_s = time.monotonic() - started_s
    size_mb = sum(path.stat().st_size for path in data_folder.iterdir()) / 1e6
    print_table(
        f'Restart of a follower after {len(writers.committed_at_s)} commands',
        ('start to caught up s', 'reading the disk s', 'disk mb'),
        [(round(caught_up_s, 2), round(recovered_s, 3), round(size_mb, 1))],
    )


def run_repair(folder: pathlib.Path) -> None:
    """Replace a replica that lost its disk, then kill another one.

    The other follower is killed as soon as the new replica has a vote, so that
    commits depend on the new one.

    Args:
        folder: Folder of logs and data.
    """
    deployment = Deployment(DEPLOYMENT_SPEC, folder)
    deployment.start()
    writers = WriterGroup(deployment.controls, 16, 10**9)
    rows: list[tuple[Cell, ...]] = []
    try:
        writers.start()
        time.sleep(SETTLE_S)
        for number in range(REPAIR_ROUNDS):
            rows.append(_run_repair_round(folder, deployment, writers, number))
        writers.stop()
        lost = _count_lost(deployment, writers)
    finally:
        deployment.stop()
    chain_violations = sum(
        writer.chain_violations for writer in writers.writers
    )
    print_table(
        f'Loss of a disk, repair, and loss of another replica right after '
        f'({len(writers.committed_at_s)} commands, {lost} lost, '
        f'{chain_violations} broken chains)',
        ('round', 'add to voter s', 'gap after the other loss s'),
        rows,
    )


def _run_repair_round(
    folder: pathlib.Path,
    deployment: Deployment,
    writers: WriterGroup,
    number: int,
) -> tuple[Cell, ...]:
    leader = deployment.get_leader()
    followers = [
        control for control in deployment.controls if control.name != leader
    ]
    wiped_follower = followers[0]
    index = deployment.controls.index(wiped_follower)
    deployment.processes[wiped_follower.name].kill()
    shutil.rmtree(folder / f'data-{wiped_follower.name}')
    deployment.start_daemon(
        wiped_follower, 'control', index, is_bootstrap=False
    )
    time.sleep(1)
    started_s = time.monotonic()
    deployment.command(
        f'replica add {wiped_follower.name} at {wiped_follower.link}'
    )
    deployment.wait_for(
        deployment.api,
        f'select replica from replicas where replica = {wiped_follower.name} '
        'and is_voter = true',
        1,
    )
    repaired_s = time.monotonic() - started_s
    other_follower = followers[1]
    from_s = time.monotonic()
    deployment.processes[other_follower.name].kill()
    time.sleep(SETTLE_S)
    gap_s = writers.find_longest_gap_s(from_s, time.monotonic())
    other_index = deployment.controls.index(other_follower)
    deployment.start_daemon(other_follower, 'control', other_index)
    time.sleep(SETTLE_S)
    return (number, round(repaired_s, 3), round(gap_s, 3))


def run_configuration(folder: pathlib.Path, count: int) -> None:
    """Measure how long a configuration change takes to reach all nodes.

    Args:
        folder: Folder of logs and data.
        count: Number of guards.
    """
    spec = msgspec.structs.replace(DEPLOYMENT_SPEC, workers=count)
    deployment = Deployment(spec, folder)
    for index, control in enumerate(deployment.controls):
        deployment.start_daemon(control, 'control', index)
    for index, entry in enumerate(deployment.entries):
        deployment.start_daemon(entry, 'entry', index)
    for index, worker in enumerate(deployment.workers):
        deployment.start_daemon(worker, 'guard', index)
    times = []
    process_count = count + 1
    try:
        deployment.wait_for(
            deployment.api, 'select node from nodes', process_count
        )
        for number in range(10):
            started_s = time.monotonic()
            deployment.command(f'set note.round = {number}')
            _wait_until_applied(deployment, process_count)
            times.append(time.monotonic() - started_s)
            time.sleep(0.3)
    finally:
        deployment.stop()
    times.sort()
    print_table(
        f'Change of configuration until {process_count} processes report it',
        ('changes', 'min s', 'median s', 'max s'),
        [
            (
                len(times),
                round(times[0], 3),
                round(times[len(times) // 2], 3),
                round(times[-1], 3),
            ),
        ],
    )


def _wait_until_applied(deployment: Deployment, process_count: int) -> None:
    deadline_s = time.monotonic() + 30
    while time.monotonic() < deadline_s:
        rows = deployment.query(
            f'select node from nodes where lag <= 0 limit {process_count + 10}',
        )
        if len(rows.rows) >= process_count:
            return
        time.sleep(0.02)
