"""Entry point of the daemon ``cumintackd``."""

import pathlib
import signal
import sys
from collections.abc import Callable

import click
import structlog
from result import Err, Ok

from cumintack.daemon.logs import configure_logging
from cumintack.daemon.node import Component, Node
from cumintack.daemon.node_factory import create_node
from cumintack.daemon.settings import load_settings
from cumintack.transport.clock import SystemClock

EXIT_BAD_SETTINGS = 2

ComponentsFactory = Callable[[Node], list[Component]]
logger = structlog.get_logger()


@click.command()
@click.option(
    '--settings',
    'settings_path',
    required=True,
    type=click.Path(path_type=pathlib.Path),
    help='YAML file with the settings of this process.',
)
@click.option(
    '--bootstrap',
    'is_bootstrap',
    is_flag=True,
    help='Create a new control group if the data folder is empty.',
)
def main(settings_path: pathlib.Path, *, is_bootstrap: bool) -> None:
    """Run one cumintack process until a signal stops it."""
    run(settings_path, is_bootstrap=is_bootstrap)


def run(
    settings_path: pathlib.Path,
    *,
    is_bootstrap: bool,
    create_extra_components: ComponentsFactory | None = None,
) -> None:
    """Run one process until a signal stops it.

    Args:
        settings_path: The YAML file with its settings.
        is_bootstrap: Whether to initialize an empty data folder.
        create_extra_components: Creates further components, such as those
            that need an adapter to the platform.
    """
    match load_settings(settings_path):
        case Err(problems):
            for problem in problems:
                click.echo(problem, err=True)
            sys.exit(EXIT_BAD_SETTINGS)
        case Ok(settings):
            pass
    configure_logging(settings.log.level)
    node = create_node(settings, SystemClock(), is_bootstrap=is_bootstrap)
    if create_extra_components is not None:
        node.components.extend(create_extra_components(node))
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_args: node.post(node.begin_stop))
    signal.signal(
        signal.SIGHUP,
        lambda *_args: node.post(lambda: reload_settings(node, settings_path)),
    )
    node.on_leader_lost = lambda: reload_settings(node, settings_path)
    logger.info('node: started', name=settings.name, label=settings.label)
    node.run()


def reload_settings(node: Node, settings_path: pathlib.Path) -> None:
    """Read the settings file again and add new control replicas.

    All other settings are only read at the start.

    Args:
        node: The process.
        settings_path: The file; one that is invalid, such as a partly written
            one, changes nothing.
    """
    match load_settings(settings_path):
        case Err(problems):
            logger.warning('node: invalid settings ignored', problems=problems)
        case Ok(settings):
            added = node.add_control_replicas(settings.control_replicas)
            logger.info('node: settings reloaded', added=added)


if __name__ == '__main__':
    main()
