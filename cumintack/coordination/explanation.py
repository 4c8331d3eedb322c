"""Explains a workflow, task or run from the logs of all processes.

Selects the log lines that contain the identifier, adds the changes of leader
in between, and sorts them by time. Because the clocks of machines differ
slightly, a line may be sorted a few ms away from its cause.
"""

import msgspec

from cumintack.state.errors import ErrorCode, StepError

# Events without an identifier that can delay any workflow.
CONTEXT_EVENTS = frozenset(
    (
        'control: leading',
        'control: following',
        'control: handing over',
        'control: removing a silent member',
        'guard: follows a leader',
        'guard: worker left',
        'node: no leader known',
        'node: started',
        'node: stopping',
    ),
)
STEP = 'explain'


class LogLine(msgspec.Struct, frozen=True, order=True):
    """A line of a log.

    Attributes:
        timestamp: UTC time as text whose lexical order is the time order.
        process: Name of the process that wrote the line.
        event: Name of the event.
        text: The whole line.
    """

    timestamp: str
    process: str
    event: str
    text: str


class Explanation(msgspec.Struct, frozen=True):
    """Log lines about an identifier.

    Attributes:
        lines: Lines that contain the identifier and context lines, by time.
        silent: Processes without any log line since the first of these.
        errors: Errors for the lines that could not be parsed.
    """

    lines: tuple[LogLine, ...]
    silent: tuple[str, ...]
    errors: tuple[StepError, ...]


def parse_log_lines(
    process: str, text: str
) -> tuple[list[LogLine], list[StepError]]:
    """Parse the log of a process.

    Args:
        process: Name of the process.
        text: The log, one JSON object per line.

    Returns:
        The lines, and an error for each line that could not be parsed.
    """
    lines: list[LogLine] = []
    errors: list[StepError] = []
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip():
            continue
        try:
            fields = msgspec.json.decode(line, type=dict[str, object])
        except msgspec.DecodeError as error:
            location = f'{process}:{number}'
            errors.append(
                StepError(ErrorCode.invalid, STEP, location, str(error)),
            )
            continue
        lines.append(
            LogLine(
                str(fields.get('timestamp', '')),
                process,
                str(fields.get('event', '')),
                line,
            ),
        )
    return lines, errors


def explain(logs: dict[str, str], identifier: str) -> Explanation:
    """Explain what happened to a workflow, a task or a run.

    Args:
        logs: Log of each process, by the name of the process.
        identifier: Identifier to search for.

    Returns:
        The lines sorted by time, and the processes without any.
    """
    lines: list[LogLine] = []
    errors: list[StepError] = []
    for process, text in logs.items():
        parsed, parse_errors = parse_log_lines(process, text)
        lines.extend(parsed)
        errors.extend(parse_errors)
    matching = [line for line in lines if identifier in line.text]
    if not matching:
        return Explanation((), tuple(sorted(logs)), tuple(errors))
    first_timestamp = min(matching).timestamp
    active = {
        log_line.process
        for log_line in lines
        if log_line.timestamp >= first_timestamp
    }
    return Explanation(
        tuple(sorted([*matching, *_list_context(lines, matching)])),
        tuple(sorted(set(logs) - active)),
        tuple(errors),
    )


def _list_context(
    lines: list[LogLine],
    matching: list[LogLine],
) -> list[LogLine]:
    first_timestamp, last_timestamp = (
        min(matching).timestamp,
        max(matching).timestamp,
    )
    matching_texts = {line.text for line in matching}
    return [
        log_line
        for log_line in lines
        if log_line.event in CONTEXT_EVENTS
        and log_line.text not in matching_texts
        and first_timestamp <= log_line.timestamp <= last_timestamp
    ]


def render_explanation(explanation: Explanation, identifier: str) -> list[str]:
    """Render an explanation, with one line of text per log line.

    Args:
        explanation: The explanation.
        identifier: Identifier that was searched for.

    Returns:
        Lines of text.
    """
    rendered = [
        f'{line.timestamp} {line.process:24} {line.text}'
        for line in explanation.lines
    ]
    if not rendered:
        rendered.append(f'no log line contains {identifier}')
    for process in explanation.silent:
        rendered.append(
            f'missing: {process} wrote no log line from that time on'
        )
    for error in explanation.errors:
        rendered.append(f'unreadable: {error.peer}: {error.detail}')
    return rendered
