"""The bench: ``python -m bench SCENARIO``.

It starts the real daemons as separate processes on loopback, drives a
bounded load, and ends its own processes by id.
"""

import pathlib
import tempfile

import click

from bench import scenario_path


@click.group()
def main() -> None:
    """Measure the real processes on loopback."""


@main.command('path')
@click.option('--seconds', default=8.0)
@click.option('--work-ms', default=5.0)
def path_command(seconds: float, work_ms: float) -> None:
    """Compare the path through entry and guard with a direct call."""
    with tempfile.TemporaryDirectory() as folder:
        scenario_path.run(pathlib.Path(folder), seconds, work_ms)


if __name__ == '__main__':
    main()
