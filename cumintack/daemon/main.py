"""The command ``cumintackd``."""

import pathlib
import signal
import sys

import click
import structlog
from result import Err, Ok

from cumintack.daemon.assembly import create_node
from cumintack.daemon.logs import configure_logs
from cumintack.daemon.settings import load_settings
from cumintack.transport.clock import SystemClock

EXIT_BAD_SETTINGS = 2

logger = structlog.get_logger()


@click.command()
@click.option(
    '--settings',
    'settings_path',
    required=True,
    type=click.Path(path_type=pathlib.Path),
    help='The YAML file with the settings of this process.',
)
@click.option(
    '--bootstrap',
    'is_bootstrap',
    is_flag=True,
    help='Make the data folder of a new control group if it is empty.',
)
def main(settings_path: pathlib.Path, *, is_bootstrap: bool) -> None:
    """Run one process of cumintack until it is told to stop."""
    match load_settings(settings_path):
        case Err(problems):
            for problem in problems:
                click.echo(problem, err=True)
            sys.exit(EXIT_BAD_SETTINGS)
        case Ok(settings):
            pass
    configure_logs(settings.log.level)
    node = create_node(settings, SystemClock(), is_bootstrap=is_bootstrap)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_args: node.post(node.begin_stop))
    logger.info('node: started', name=settings.name)
    node.run()


if __name__ == '__main__':
    main()
