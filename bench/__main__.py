"""Command line of the benchmarks: ``python -m bench SCENARIO``.

Most scenarios start the real daemons as separate processes on loopback, apply
a bounded load, and stop only the processes that they started, by process id.
"""

import pathlib
import tempfile
from collections.abc import Callable

import click

from bench import (
    scenario_batch,
    scenario_control,
    scenario_cost,
    scenario_entry,
    scenario_leader_scale,
    scenario_path,
    scenario_scheduler,
    scenario_service,
    scenario_timeline,
)
from cumintack.daemon.logs import configure_logging


def _run_in_folder(action: Callable[[pathlib.Path], None]) -> None:
    with tempfile.TemporaryDirectory() as folder:
        action(pathlib.Path(folder))


@click.group()
def main() -> None:
    """Run benchmarks of the real processes on loopback."""
    configure_logging('error')


@main.command('path')
@click.option('--seconds', default=8.0)
@click.option('--work-ms', default=5.0)
def path_command(seconds: float, work_ms: float) -> None:
    """Compare requests through entry and guard with direct calls."""
    _run_in_folder(
        lambda folder: scenario_path.run(folder, seconds, work_ms),
    )


@main.command('commits')
@click.option('--seconds', default=6.0)
def commits_command(seconds: float) -> None:
    """Measure committed commands per second with 1, 8 and 64 writers."""
    _run_in_folder(
        lambda folder: scenario_control.run_commits(folder, seconds),
    )


@main.command('failover')
def failover_command() -> None:
    """Measure the write outage after the leader is killed or suspended."""
    _run_in_folder(scenario_control.run_failover)


@main.command('control-faults')
@click.option('--total', default=100000)
def control_faults_command(total: int) -> None:
    """Count commands lost or applied twice while replicas fail."""
    _run_in_folder(
        lambda folder: scenario_control.run_faults(folder, total),
    )


@main.command('repair')
def repair_command() -> None:
    """Replace a replica that lost its disk, then kill another one."""
    _run_in_folder(scenario_control.run_repair)


@main.command('restart')
@click.option('--total', default=100000)
def restart_command(total: int) -> None:
    """Measure the restart time of a replica after many commands."""
    _run_in_folder(
        lambda folder: scenario_control.run_restart(folder, total),
    )


@main.command('configuration')
@click.option('--count', default=99)
def configuration_command(count: int) -> None:
    """Measure how long a configuration change takes to reach all nodes."""
    _run_in_folder(
        lambda folder: scenario_control.run_configuration(folder, count),
    )


DEPLOYMENT_CHOICE = click.Choice(sorted(scenario_service.DEPLOYMENT_SPECS))


@main.command('overload')
@click.option('--shape', type=DEPLOYMENT_CHOICE, default='guild')
@click.option('--seconds', default=8.0)
def overload_command(shape: str, seconds: float) -> None:
    """Offer 0.5 to 3 times the capacity, compared with the baseline."""
    _run_in_folder(
        lambda folder: scenario_service.run_overload(folder, shape, seconds),
    )


@main.command('degraded')
@click.option('--shape', type=DEPLOYMENT_CHOICE, default='guild')
@click.option('--seconds', default=8.0)
def degraded_command(shape: str, seconds: float) -> None:
    """Run at half load with one fault at a time, and the baseline too."""
    _run_in_folder(
        lambda folder: scenario_service.run_degraded(folder, shape, seconds),
    )


@main.command('service-faults')
@click.option('--total', default=200000)
def service_faults_command(total: int) -> None:
    """Send all kinds of requests under faults and check the ledgers."""
    _run_in_folder(
        lambda folder: scenario_service.run_faults(folder, total),
    )


@main.command('scheduler')
@click.option('--seconds', default=4)
def scheduler_command(seconds: int) -> None:
    """Measure scheduling passes at three sizes, and first fit."""
    scenario_scheduler.run_passes(seconds)


@main.command('leader-scale')
@click.option('--seconds', default=3.0)
@click.option('--most', default=1000)
def leader_scale_command(seconds: float, most: int) -> None:
    """Measure the leader's run scheduling from 40 to 1,000 workers."""
    scenario_leader_scale.run(seconds, most)


@main.command('tables')
def tables_command() -> None:
    """Measure tables with a day of jobs, and the cost of a mass cancel."""
    scenario_scheduler.run_memory()


@main.command('cost-guard')
@click.option('--seconds', default=5.0)
def cost_guard_command(seconds: float) -> None:
    """Measure the cost of a guard when idle, with tasks, under load."""
    _run_in_folder(lambda folder: scenario_cost.run_guard(folder, seconds))


@main.command('cost-leader')
@click.option('--seconds', default=5.0)
def cost_leader_command(seconds: float) -> None:
    """Measure the cost of a leader by number of workers and tasks."""
    _run_in_folder(lambda folder: scenario_cost.run_leader(folder, seconds))


@main.command('cost-changes')
@click.option('--seconds', default=5.0)
def cost_changes_command(seconds: float) -> None:
    """Measure all roles under configuration changes, an entry under load."""
    _run_in_folder(lambda folder: scenario_cost.run_changes(folder, seconds))


@main.command('batch')
@click.option('--seconds', default=20.0)
def batch_command(seconds: float) -> None:
    """Run batch tasks beside service requests, with each user's weights."""
    _run_in_folder(lambda folder: scenario_batch.run(folder, seconds))


@main.command('entry-rate')
@click.option('--seconds', default=4.0)
def entry_rate_command(seconds: float) -> None:
    """Compare the throughput of an entry with that of a bare HTTP server."""
    _run_in_folder(lambda folder: scenario_entry.run(folder, seconds))


@main.command('stops')
@click.option('--seconds', default=6.0)
def stops_command(seconds: float) -> None:
    """Stop an entry, a guard and an upstream gracefully under load."""
    _run_in_folder(
        lambda folder: scenario_service.run_stops(folder, seconds),
    )


@main.command('timeline')
def timeline_command() -> None:
    """Kill a guard and a replica under load, then print timelines."""
    _run_in_folder(scenario_timeline.run)


if __name__ == '__main__':
    main()
