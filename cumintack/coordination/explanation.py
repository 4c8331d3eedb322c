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


def parse_log(process: str, text: str) -> tuple[list[LogLine], list[StepError]]:
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
        found, problems = parse_log(process, text)
        lines.extend(found)
        errors.extend(problems)
    named = [line for line in lines if identifier in line.text]
    if not named:
        return Explanation((), tuple(sorted(logs)), tuple(errors))
    begun = min(named).timestamp
    speaking = {known.process for known in lines if known.timestamp >= begun}
    return Explanation(
        tuple(sorted([*named, *_list_context(lines, named)])),
        tuple(sorted(set(logs) - speaking)),
        tuple(errors),
    )


def _list_context(
    lines: list[LogLine],
    named: list[LogLine],
) -> list[LogLine]:
    begun, ended = min(named).timestamp, max(named).timestamp
    own = {line.text for line in named}
    return [
        other
        for other in lines
        if other.event in CONTEXT_EVENTS
        and other.text not in own
        and begun <= other.timestamp <= ended
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
