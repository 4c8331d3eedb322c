"""The bench: ``python -m bench SCENARIO``.

It starts the real daemons as separate processes on loopback, drives a
bounded load, and ends its own processes by id.
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
    """Measure the real processes on loopback."""
    configure_logging('error')


@main.command('path')
@click.option('--seconds', default=8.0)
@click.option('--work-ms', default=5.0)
def path_command(seconds: float, work_ms: float) -> None:
    """Compare the path through entry and guard with a direct call."""
    _run_in_folder(
        lambda folder: scenario_path.run(folder, seconds, work_ms),
    )


@main.command('commits')
@click.option('--seconds', default=6.0)
def commits_command(seconds: float) -> None:
    """Count committed commands a second at 1, 8 and 64 writers."""
    _run_in_folder(
        lambda folder: scenario_control.run_commits(folder, seconds),
    )


@main.command('failover')
def failover_command() -> None:
    """Time the gap after a kill and a freeze of the leader."""
    _run_in_folder(scenario_control.run_failover)


@main.command('control-faults')
@click.option('--total', default=100000)
def control_faults_command(total: int) -> None:
    """Count commands lost or doubled under kills and freezes."""
    _run_in_folder(
        lambda folder: scenario_control.run_faults(folder, total),
    )


@main.command('repair')
def repair_command() -> None:
    """Lose a disk, replace the replica, lose another one at once."""
    _run_in_folder(scenario_control.run_repair)


@main.command('restart')
@click.option('--total', default=100000)
def restart_command(total: int) -> None:
    """Time the restart of a replica after many commands."""
    _run_in_folder(
        lambda folder: scenario_control.run_restart(folder, total),
    )


@main.command('configuration')
@click.option('--count', default=99)
def configuration_command(count: int) -> None:
    """Time a change of configuration until all processes have it."""
    _run_in_folder(
        lambda folder: scenario_control.run_configuration(folder, count),
    )


DEPLOYMENT_CHOICE = click.Choice(sorted(scenario_service.DEPLOYMENT_SPECS))


@main.command('overload')
@click.option('--shape', type=DEPLOYMENT_CHOICE, default='guild')
@click.option('--seconds', default=8.0)
def overload_command(shape: str, seconds: float) -> None:
    """Load with half to three times the capacity, beside the baseline."""
    _run_in_folder(
        lambda folder: scenario_service.run_overload(folder, shape, seconds),
    )


@main.command('degraded')
@click.option('--shape', type=DEPLOYMENT_CHOICE, default='guild')
@click.option('--seconds', default=8.0)
def degraded_command(shape: str, seconds: float) -> None:
    """Run at half load with one fault at a time, beside the baseline."""
    _run_in_folder(
        lambda folder: scenario_service.run_degraded(folder, shape, seconds),
    )


@main.command('service-faults')
@click.option('--total', default=200000)
def service_faults_command(total: int) -> None:
    """Send requests of all kinds under all faults, judged by ledgers."""
    _run_in_folder(
        lambda folder: scenario_service.run_faults(folder, total),
    )


@main.command('scheduler')
@click.option('--seconds', default=4)
def scheduler_command(seconds: int) -> None:
    """Time scheduler passes at three sizes, beside first fit."""
    scenario_scheduler.run_passes(seconds)


@main.command('tables')
def tables_command() -> None:
    """Measure the memory of a day of jobs, and a wave of cancels."""
    scenario_scheduler.run_memory()


@main.command('cost-guard')
@click.option('--seconds', default=5.0)
def cost_guard_command(seconds: float) -> None:
    """Measure a guard idle, with tasks, and under requests."""
    _run_in_folder(lambda folder: scenario_cost.run_guard(folder, seconds))


@main.command('cost-leader')
@click.option('--seconds', default=5.0)
def cost_leader_command(seconds: float) -> None:
    """Measure a leader over workers and tasks."""
    _run_in_folder(lambda folder: scenario_cost.run_leader(folder, seconds))


@main.command('cost-changes')
@click.option('--seconds', default=5.0)
def cost_changes_command(seconds: float) -> None:
    """Measure all roles under changes, and an entry under requests."""
    _run_in_folder(lambda folder: scenario_cost.run_changes(folder, seconds))


@main.command('batch')
@click.option('--seconds', default=20.0)
def batch_command(seconds: float) -> None:
    """Run batch tasks beside quick requests, for both users' weights."""
    _run_in_folder(lambda folder: scenario_batch.run(folder, seconds))


@main.command('entry-rate')
@click.option('--seconds', default=4.0)
def entry_rate_command(seconds: float) -> None:
    """Compare the rate of an entry with that of a bare HTTP server."""
    _run_in_folder(lambda folder: scenario_entry.run(folder, seconds))


@main.command('stops')
@click.option('--seconds', default=6.0)
def stops_command(seconds: float) -> None:
    """Stop an entry, a guard and an upstream in good order under load."""
    _run_in_folder(
        lambda folder: scenario_service.run_stops(folder, seconds),
    )


@main.command('timeline')
def timeline_command() -> None:
    """Kill a guard and a replica under load, then show the time line."""
    _run_in_folder(scenario_timeline.run)


if __name__ == '__main__':
    main()
