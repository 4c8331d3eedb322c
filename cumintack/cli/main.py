"""The ``cumintack`` command."""

import pathlib
import sys

import click
import msgspec
from result import Err, Ok

from cumintack.cli.api import Api, ApiError, AppliedCommand
from cumintack.cli.history_rendering import encode_history, render_history
from cumintack.cli.reference import create_reference
from cumintack.cli.rendering import render_rows, render_timeline
from cumintack.coordination.explanation import (
    Explanation,
    explain,
    render_explanation,
)
from cumintack.coordination.querying import QueryResult
from cumintack.coordination.timeline import merge_events
from cumintack.coordination.workflow_history import build_history
from cumintack.daemon.settings import load_settings
from cumintack.transport.event_file import read_events
from cumintack.transport.keys import create_key_files

EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2
DEFAULT_HISTORY_LIMIT = 50
DEFAULT_EVENT_LIMIT = 500
STYLES = click.Choice(['table', 'json', 'csv'])
TIMELINE_STYLES = click.Choice(['table', 'json', 'csv', 'svg'])
PATH = click.Path(path_type=pathlib.Path)


class CommandContext:
    """State shared by all commands."""

    __slots__ = ('api', 'style')

    def __init__(self, api: Api, style: str) -> None:
        """Create a context from an API client and an output format."""
        self.api = api
        self.style = style

    def run(self, text: str) -> None:
        """Execute one statement and print its result."""
        match self.api.execute(text):
            case Ok(QueryResult() as rows):
                click.echo(render_rows(rows, self.style))
            case Ok(AppliedCommand() as applied):
                names = ', '.join(applied.names) or 'done'
                click.echo(f'{names} (revision {applied.index})')
            case Err(error):
                exit_with_error(error)


def exit_with_error(error: ApiError) -> None:
    """Print an error and exit with ``EXIT_FAILED``."""
    where = f'{error.step} ({error.peer}): ' if error.step else ''
    click.echo(f'{where}{error.error}', err=True)
    sys.exit(EXIT_FAILED)


@click.group()
@click.option(
    '--entry',
    'entries',
    multiple=True,
    default=('127.0.0.1:8080',),
    envvar='CUMINTACK_ENTRIES',
    help='Address of an entry; may be given several times.',
)
@click.option(
    '--token',
    default='',
    envvar='CUMINTACK_TOKEN',
    help='Bearer token; prefer setting it in the environment.',
)
@click.option('--format', 'style', type=STYLES, default='table')
@click.pass_context
def main(
    context: click.Context,
    entries: tuple[str, ...],
    token: str,
    style: str,
) -> None:
    """Administer cumintack through any of its entries."""
    context.obj = CommandContext(Api(entries, token), style)


@main.command()
@click.argument('text')
@click.pass_obj
def query(context: CommandContext, text: str) -> None:
    """Execute one statement of the query and command language."""
    context.run(text)


@main.command('run')
@click.argument('path', type=PATH)
@click.pass_obj
def run_file(context: CommandContext, path: pathlib.Path) -> None:
    """Execute the statements in a file, one per line, until one fails."""
    for line in path.read_text(encoding='utf-8').splitlines():
        if line.strip() and not line.startswith('#'):
            context.run(line)


@main.command()
@click.pass_obj
def shell(context: CommandContext) -> None:
    """Execute statements interactively, with line history if available."""
    try:
        import readline  # noqa: F401, PLC0415
    except ImportError:
        click.echo('line history is not available on this machine', err=True)
    while True:
        try:
            text = click.prompt('cumintack', prompt_suffix='> ')
        except click.Abort:
            click.echo()
            return
        if text.strip() in {'exit', 'quit'}:
            return
        if text.strip():
            try:
                context.run(text)
            except SystemExit:
                continue


@main.command('explain')
@click.argument('identifier')
@click.argument('logs', nargs=-1, required=True, type=PATH)
@click.option('--raw', 'is_raw', is_flag=True, help='Print the log lines.')
@click.option('--json', 'is_json', is_flag=True, help='Print JSON.')
def explain_identifier(
    identifier: str,
    logs: tuple[pathlib.Path, ...],
    *,
    is_raw: bool,
    is_json: bool,
) -> None:
    """Report from log files what happened to a workflow, a task or a run.

    Each file is the log of one process and is named after that process. A
    workflow that was accepted is summarised by step; for a task, a run or a
    request that was refused the log lines are printed.
    """
    try:
        texts = {
            path.stem: path.read_text(encoding='utf-8', errors='replace')
            for path in logs
        }
    except OSError as error:
        exit_with_error(
            ApiError(str(error.strerror), 'explain', str(error.filename))
        )
    found = explain(texts, identifier)
    for line in _render_found(
        found, identifier, is_raw=is_raw, is_json=is_json
    ):
        click.echo(line)
    if not found.lines:
        sys.exit(EXIT_FAILED)


def _render_found(
    found: Explanation, identifier: str, *, is_raw: bool, is_json: bool
) -> list[str]:
    history = None if is_raw else build_history(found.lines)
    is_workflow = history is not None and history.workflow_id == identifier
    if history is not None and is_workflow and is_json:
        return [encode_history(history)]
    if history is not None and is_workflow:
        return render_history(history, found.lines)
    if is_json:
        return [msgspec.json.encode(found).decode()]
    return render_explanation(found, identifier)


@main.group()
def config() -> None:
    """Show and change the configuration."""


@config.command('show')
@click.pass_obj
def config_show(context: CommandContext) -> None:
    """Show the configuration keys that are set."""
    context.run('select * from config order by key')


@config.command('set')
@click.argument('key')
@click.argument('setting')
@click.option('--version', type=int, default=None)
@click.pass_obj
def config_set(
    context: CommandContext,
    key: str,
    setting: str,
    version: int | None,
) -> None:
    """Set a key; with --version, only if the key is at that version."""
    condition = '' if version is None else f' if version {version}'
    quoted = f'"{setting}"' if ' ' in setting else setting
    context.run(f'set {key} = {quoted}{condition}')


@config.command('history')
@click.option('--limit', default=DEFAULT_HISTORY_LIMIT)
@click.pass_obj
def config_history(context: CommandContext, limit: int) -> None:
    """Show configuration changes and their authors, latest first."""
    context.run(f'select * from history order by revision desc limit {limit}')


@config.command('diff')
@click.argument('revision', type=int)
@click.pass_obj
def config_diff(context: CommandContext, revision: int) -> None:
    """Show the configuration changes made after REVISION."""
    context.run(
        f'select * from history where revision > {revision} order by revision',
    )


@config.command('status')
@click.pass_obj
def config_status(context: CommandContext) -> None:
    """Show the configuration revision of each process."""
    context.run('select node, roles, revision, lag, silent_s from nodes')


@main.command()
@click.option(
    '--subject', default='', help='Identifier of a request, task or worker.'
)
@click.option('--limit', default=DEFAULT_EVENT_LIMIT)
@click.option('--format', 'style', type=TIMELINE_STYLES, default='table')
@click.option('--output', type=PATH, default=None)
@click.option(
    '--file',
    'paths',
    type=PATH,
    multiple=True,
    help='Event file of a stopped process; may be given several times.',
)
@click.pass_obj
def timeline(
    context: CommandContext,
    subject: str,
    limit: int,
    style: str,
    output: pathlib.Path | None,
    paths: tuple[pathlib.Path, ...],
) -> None:
    """Show the events of all processes in causal order."""
    match context.api.fetch_timeline(subject, limit):
        case Err(error):
            exit_with_error(error)
        case Ok(found):
            events = list(found.events)
            for path in paths:
                events.extend(read_events(path, subject))
            found = merge_events(events, found.missing, limit)
            if output is not None and output.suffix == '.svg':
                style = 'svg'
            text = render_timeline(found, style)
            if output is None:
                click.echo(text)
            else:
                output.write_text(text, encoding='utf-8')


@main.command('check-settings')
@click.argument('path', type=PATH)
def check_settings(path: pathlib.Path) -> None:
    """Validate the settings file of a process."""
    match load_settings(path):
        case Err(problems):
            for problem in problems:
                click.echo(problem, err=True)
            sys.exit(EXIT_BAD_SETTINGS)
        case Ok(settings):
            click.echo(f'{path}: valid settings of {settings.name}')


@main.command()
def reference() -> None:
    """Print the reference of settings, configuration keys and metrics."""
    click.echo(create_reference(), nl=False)


@main.command()
@click.argument('folder', type=PATH)
def keys(folder: pathlib.Path) -> None:
    """Create the key pair of a deployment in FOLDER."""
    click.echo(f'secret key: {create_key_files(folder)}')


if __name__ == '__main__':
    main()
