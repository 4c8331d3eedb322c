"""From the identifier of a workflow or a run to what became of it.

Reads the log lines of all processes, keeps those that name the identifier,
and those that tell who led meanwhile, in the order of their times. Clocks of
machines differ by little, so that a line may stand a few ms from its cause.
"""

import msgspec

from cumintack.state.errors import ErrorCode, StepError

# Events without an identifier that explain delays of everything.
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
        timestamp: Wall time in UTC, as text that sorts.
        process: The process that wrote it.
        event: What happened.
        text: The whole line.
    """

    timestamp: str
    process: str
    event: str
    text: str


class Explanation(msgspec.Struct, frozen=True):
    """What the logs say of an identifier.

    Attributes:
        lines: The lines that name it and those of context, in order.
        silent: Processes whose logs hold nothing of that time.
        errors: Lines that could not be read, as typed errors.
    """

    lines: tuple[LogLine, ...]
    silent: tuple[str, ...]
    errors: tuple[StepError, ...]


def parse_log_lines(
    process: str, text: str
) -> tuple[list[LogLine], list[StepError]]:
    """Parse the log of a process.

    Args:
        process: Its name.
        text: The log, one JSON object a line.

    Returns:
        The lines, and an error for each that is no log line.
    """
    lines: list[LogLine] = []
    errors: list[StepError] = []
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip():
            continue
        try:
            fields = msgspec.json.decode(line, type=dict[str, object])
        except msgspec.DecodeError as error:
            place = f'{process}:{number}'
            errors.append(
                StepError(ErrorCode.invalid, STEP, place, str(error)),
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
    """Explain what became of a workflow, a task or a run.

    Args:
        logs: The log of each process, by its name.
        identifier: What to look for.

    Returns:
        The lines in order, with the processes that say nothing.
    """
    lines: list[LogLine] = []
    errors: list[StepError] = []
    for process, text in logs.items():
        found, parse_errors = parse_log_lines(process, text)
        lines.extend(found)
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
    """Render an explanation, one line of text for each line of a log.

    Args:
        explanation: What was found.
        identifier: What was looked for.

    Returns:
        The text.
    """
    rendered = [
        f'{line.timestamp} {line.process:24} {line.text}'
        for line in explanation.lines
    ]
    if not rendered:
        rendered.append(f'no line names {identifier}')
    for process in explanation.silent:
        rendered.append(f'missing: {process} wrote nothing from then on')
    for error in explanation.errors:
        rendered.append(f'unreadable: {error.peer}: {error.detail}')
    return rendered
