"""The command ``cumintackd``."""

import pathlib
import signal
import sys
from collections.abc import Callable

import click
import structlog
from result import Err, Ok

from cumintack.daemon.assembly import create_node
from cumintack.daemon.logs import configure_logs
from cumintack.daemon.node import Node, Part
from cumintack.daemon.settings import load_settings
from cumintack.transport.clock import SystemClock

EXIT_BAD_SETTINGS = 2

PartsFactory = Callable[[Node], list[Part]]
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
    run(settings_path, is_bootstrap=is_bootstrap)


def run(
    settings_path: pathlib.Path,
    *,
    is_bootstrap: bool,
    create_more: PartsFactory | None = None,
) -> None:
    """Run one process until it is told to stop.

    Args:
        settings_path: The YAML file with its settings.
        is_bootstrap: Whether to make an empty data folder.
        create_more: Creates parts that an adapter adds.
    """
    match load_settings(settings_path):
        case Err(problems):
            for problem in problems:
                click.echo(problem, err=True)
            sys.exit(EXIT_BAD_SETTINGS)
        case Ok(settings):
            pass
    configure_logs(settings.log.level)
    node = create_node(settings, SystemClock(), is_bootstrap=is_bootstrap)
    if create_more is not None:
        node.parts.extend(create_more(node))
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_args: node.post(node.begin_stop))
    signal.signal(
        signal.SIGHUP,
        lambda *_args: node.post(lambda: reload_settings(node, settings_path)),
    )
    node.on_lost_leader = lambda: reload_settings(node, settings_path)
    logger.info('node: started', name=settings.name, label=settings.label)
    node.run()


def reload_settings(node: Node, settings_path: pathlib.Path) -> None:
    """Read the settings file again; only the control replicas may change.

    Args:
        node: The process.
        settings_path: The file, which may be half written.
    """
    match load_settings(settings_path):
        case Err(problems):
            logger.warning('node: settings not reloaded', problems=problems)
        case Ok(settings):
            added = node.learn_peers(settings.control_replicas)
            logger.info('node: settings reloaded', added=added)


if __name__ == '__main__':
    main()
