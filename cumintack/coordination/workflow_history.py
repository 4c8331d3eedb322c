"""History of a workflow: what each step did, and what its time was spent on.

Built from the log lines of the leader. The time of a workflow is attributed
along its critical chain: the step that ended last, the step for which that one
waited, and so on to the first; in each step the task that ended last.
"""

import datetime
import re

import msgspec

from cumintack.coordination.explanation import LogLine

MS_PER_S = 1000
# A run as logged: task identifier and number, then further words.
RUN_PATTERN = re.compile(
    r'(?P<task>[0-9a-f]{16}\.\d+\.(?P<step>\d+)\.\d+)/(?P<number>\d+)'
)
STEP_PATTERN = re.compile(
    r'(?P<count>\d+)x(?P<cores_milli>\d+)m/\d+MB (?P<declared_ms>\d+)ms'
    r'.* after=\[(?P<after>[\d, ]*)\]'
)
CAUSE_WAITED = 'waited for a first start'
CAUSE_RAN = 'ran for its declared time'
CAUSE_SLOWED = 'ran longer than declared'
CAUSE_REPEATED = 'work of runs that failed or were lost'
CAUSE_MOVED = 'waited for a start after a stop or an end'


class RunHistory(msgspec.Struct):
    """A run of a task.

    Attributes:
        number: Number of the run.
        guard: Name of the guard that was ordered to start it.
        started_at_s: When its start was recorded.
        ended_at_s: When its end was recorded, None if it was not.
        end_kind: How it ended, empty if it did not.
        stop_reason: Why it was stopped to go on elsewhere, empty if not.
    """

    number: int
    guard: str
    started_at_s: float
    ended_at_s: float | None = None
    end_kind: str = ''
    stop_reason: str = ''


class StepHistory(msgspec.Struct):
    """A step of a workflow.

    Attributes:
        position: Position in the workflow.
        task_count: Number of tasks.
        declared_s: Declared run time of a task.
        depends_on: Positions of the steps that must be done first.
        runs: Runs by task identifier, in the order of their starts.
    """

    position: int
    task_count: int
    declared_s: float
    depends_on: tuple[int, ...]
    runs: dict[str, list[RunHistory]] = {}


class WorkflowHistory(msgspec.Struct):
    """A workflow from its acceptance on; times in seconds since 1970.

    Attributes:
        workflow_id: Identifier of the workflow.
        accepted_at_s: When it was accepted.
        objective_s: Time within which it should be complete.
        steps: Its steps.
        status: How it ended, empty if the logs do not tell.
        ended_at_s: When it ended, None if the logs do not tell.
        last_line_at_s: Time of the last log line about it.
    """

    workflow_id: str
    accepted_at_s: float
    objective_s: float
    steps: list[StepHistory]
    status: str = ''
    ended_at_s: float | None = None
    last_line_at_s: float = 0


class TimeShare(msgspec.Struct, frozen=True):
    """Time that the critical chain of a workflow spent on one cause."""

    step: int
    task_id: str
    cause: str
    duration_s: float


def build_history(lines: tuple[LogLine, ...]) -> WorkflowHistory | None:
    """Build the history of a workflow from its log lines.

    Args:
        lines: Log lines about the workflow, sorted by time.

    Returns:
        The history, None if no line tells that the workflow was accepted.
    """
    history: WorkflowHistory | None = None
    for line in lines:
        fields = msgspec.json.decode(line.text, type=dict[str, object])
        at_s = _parse_time(line.timestamp)
        if history is None and line.event == 'control: accepted':
            history = _create_history(fields, at_s)
        elif history is not None:
            history.last_line_at_s = at_s
            _add_line(history, line.event, fields, at_s)
    return history


def _parse_time(timestamp: str) -> float:
    return datetime.datetime.fromisoformat(timestamp).timestamp()


def _create_history(fields: dict[str, object], at_s: float) -> WorkflowHistory:
    history = WorkflowHistory(
        str(fields['workflow']),
        at_s,
        float(str(fields['objective_ms'])) / MS_PER_S,
        [],
        last_line_at_s=at_s,
    )
    for position, text in enumerate(_get_texts(fields, 'steps')):
        match = STEP_PATTERN.match(text)
        if match is not None:
            history.steps.append(
                StepHistory(
                    position,
                    int(match['count']),
                    int(match['declared_ms']) / MS_PER_S,
                    tuple(
                        int(step) for step in match['after'].split(',') if step
                    ),
                )
            )
    return history


def _get_texts(fields: dict[str, object], name: str) -> list[str]:
    texts = fields.get(name)
    return [str(text) for text in texts] if isinstance(texts, list) else []


def _add_line(
    history: WorkflowHistory, event: str, fields: dict[str, object], at_s: float
) -> None:
    if event in {'control: workflow over', 'control: cancelled'}:
        history.status = str(fields.get('status', 'cancelled'))
        history.ended_at_s = at_s
        return
    for text in _get_texts(fields, 'runs'):
        match = RUN_PATTERN.match(text)
        if match is None or not text.startswith(history.workflow_id):
            continue
        position = int(match['step'])
        if position < len(history.steps):
            task_runs = history.steps[position].runs
            runs = task_runs.setdefault(match['task'], [])
            reason = str(fields.get('reason', ''))
            _add_run_line(runs, event, text.split(' '), reason, at_s)


def _add_run_line(
    runs: list[RunHistory],
    event: str,
    words: list[str],
    reason: str,
    at_s: float,
) -> None:
    number = int(words[0].rpartition('/')[-1])
    if event == 'control: placed':
        runs.append(RunHistory(number, words[-1], at_s))
        return
    for run in runs:
        if run.number != number:
            continue
        if event == 'control: ended':
            run.ended_at_s = at_s
            run.end_kind = words[1]
        elif event == 'control: stopping':
            run.stop_reason = reason


def list_time_shares(history: WorkflowHistory) -> list[TimeShare]:
    """Attribute the time of a workflow along its critical chain.

    Args:
        history: The workflow.

    Returns:
        The times by step, task and cause, those of the first step first. A
        task that repeats is counted in its first occurrence.
    """
    shares: list[TimeShare] = []
    for step in _list_critical_steps(history):
        ready_at_s = max(
            (
                _get_end(history, history.steps[earlier])
                for earlier in step.depends_on
            ),
            default=history.accepted_at_s,
        )
        task_id = max(
            step.runs,
            key=lambda candidate: _get_task_end(history, step, candidate),
        )
        shares.extend(_list_task_shares(history, step, task_id, ready_at_s))
    return [share for share in shares if share.duration_s > 0]


def _list_critical_steps(history: WorkflowHistory) -> list[StepHistory]:
    started = [step for step in history.steps if step.runs]
    chain: list[StepHistory] = []
    while started:
        chain.append(max(started, key=lambda step: _get_end(history, step)))
        started = [
            history.steps[earlier]
            for earlier in chain[-1].depends_on
            if history.steps[earlier].runs
        ]
    chain.reverse()
    return chain


def _get_end(history: WorkflowHistory, step: StepHistory) -> float:
    return max(
        (_get_task_end(history, step, task_id) for task_id in step.runs),
        default=history.last_line_at_s,
    )


def _get_task_end(
    history: WorkflowHistory, step: StepHistory, task_id: str
) -> float:
    ended_at_s = step.runs[task_id][-1].ended_at_s
    return history.last_line_at_s if ended_at_s is None else ended_at_s


def _list_task_shares(
    history: WorkflowHistory,
    step: StepHistory,
    task_id: str,
    ready_at_s: float,
) -> list[TimeShare]:
    waited_s = 0.0
    ran_s = 0.0
    repeated_s = 0.0
    free_at_s = ready_at_s
    for run in step.runs[task_id]:
        ended_at_s = run.ended_at_s or history.last_line_at_s
        if run is not step.runs[task_id][0]:
            waited_s += max(0, run.started_at_s - free_at_s)
        if run.end_kind in {'failed', 'lost', 'crashed', 'lapsed'}:
            repeated_s += ended_at_s - run.started_at_s
        else:
            ran_s += ended_at_s - run.started_at_s
        free_at_s = ended_at_s
    first_wait_s = step.runs[task_id][0].started_at_s - ready_at_s
    durations = (
        (CAUSE_WAITED, first_wait_s),
        (CAUSE_RAN, min(ran_s, step.declared_s)),
        (CAUSE_SLOWED, ran_s - step.declared_s),
        (CAUSE_REPEATED, repeated_s),
        (CAUSE_MOVED, waited_s),
    )
    return [
        TimeShare(step.position, task_id, cause, duration_s)
        for cause, duration_s in durations
    ]
