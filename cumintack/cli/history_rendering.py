"""Renders the history of a workflow as text or JSON."""

import datetime

import msgspec

from cumintack.coordination.explanation import LogLine
from cumintack.coordination.workflow_history import (
    CAUSE_RAN,
    StepHistory,
    TimeShare,
    WorkflowHistory,
    list_time_shares,
)

FULL_PERCENT = 100
COMPLETED = 'completed'
# Shares of the time below this would be shown as 0.0 s.
MIN_SHOWN_S = 0.05
STEP_HEADING = (
    'step  tasks  first start  last end  runs  longest  declared  ends'
)


def render_history(
    history: WorkflowHistory, lines: tuple[LogLine, ...]
) -> list[str]:
    """Render a history with one line for each step.

    Args:
        history: The workflow.
        lines: The log lines about it.

    Returns:
        Lines of text.
    """
    shares = list_time_shares(history)
    rendered = [
        _render_summary(history),
        *_render_answers(lines),
        '',
        STEP_HEADING,
        *(_render_step(history, step) for step in history.steps),
        '',
        'time along the chain of the last steps and tasks to end:',
    ]
    for share in shares:
        if share.duration_s < MIN_SHOWN_S:
            continue
        percent = share.duration_s / history.objective_s * FULL_PERCENT
        rendered.append(
            f'  {share.duration_s:6.1f} s  {percent:4.0f}% of the objective'
            f'  {share.task_id}  {share.cause}'
        )
    return [*rendered, '', render_verdict(history, shares)]


def encode_history(history: WorkflowHistory) -> str:
    """Encode a history as JSON.

    Args:
        history: The workflow.

    Returns:
        An object with the fields of the history, ``time_shares`` and
        ``verdict``.
    """
    shares = list_time_shares(history)
    record = msgspec.to_builtins(history)
    record['time_shares'] = msgspec.to_builtins(shares)
    record['verdict'] = render_verdict(history, shares)
    return msgspec.json.encode(record).decode()


def _render_time(at_s: float) -> str:
    moment = datetime.datetime.fromtimestamp(at_s, datetime.UTC)
    return moment.isoformat(timespec='milliseconds')


def _get_duration(history: WorkflowHistory) -> float:
    ended_at_s = history.ended_at_s or history.last_line_at_s
    return ended_at_s - history.accepted_at_s


def _render_summary(history: WorkflowHistory) -> str:
    status = history.status or 'not ended by the last log line'
    return (
        f'workflow {history.workflow_id}, accepted '
        f'{_render_time(history.accepted_at_s)}: {status} after '
        f'{_get_duration(history):.1f} s, objective {history.objective_s:.1f} s'
    )


def _render_answers(lines: tuple[LogLine, ...]) -> list[str]:
    answers = []
    for line in lines:
        if line.event != 'gate: answered':
            continue
        fields = msgspec.json.decode(line.text, type=dict[str, object])
        for request in ('accept', 'cancel'):
            if request in fields:
                answers.append(
                    f'{line.timestamp} {line.process} answered the request to '
                    f'{request}: {fields.get("outcome")} '
                    f'after {fields.get("took_ms")} ms'
                )
    return answers


def _render_step(history: WorkflowHistory, step: StepHistory) -> str:
    runs = [run for task_runs in step.runs.values() for run in task_runs]
    if not runs:
        return f'{step.position:4}  {step.task_count:5}  never started'
    first_start_s = min(run.started_at_s for run in runs)
    ends_s = [run.ended_at_s or history.last_line_at_s for run in runs]
    longest_s = max(
        ended_at_s - run.started_at_s for run, ended_at_s in zip(runs, ends_s)
    )
    return (
        f'{step.position:4}  {step.task_count:5}'
        f'  {first_start_s - history.accepted_at_s:9.1f} s'
        f'  {max(ends_s) - history.accepted_at_s:6.1f} s  {len(runs):4}'
        f'  {longest_s:5.1f} s  {step.declared_s:6.1f} s  {_count_ends(step)}'
    )


def _count_ends(step: StepHistory) -> str:
    counts: dict[str, int] = {}
    for task_runs in step.runs.values():
        for run in task_runs:
            end = run.end_kind or 'not ended'
            if run.stop_reason and end == 'stopped':
                end = f'stopped ({run.stop_reason})'
            counts[end] = counts.get(end, 0) + 1
    return ', '.join(f'{count} {end}' for end, count in sorted(counts.items()))


def render_verdict(history: WorkflowHistory, shares: list[TimeShare]) -> str:
    """Say in one sentence what made a workflow late, or why it ended.

    Args:
        history: The workflow.
        shares: Its time by cause.

    Returns:
        One sentence.
    """
    if history.status == 'cancelled':
        return 'It was cancelled by its caller.'
    if history.status == 'failed':
        return _render_failure(history)
    late_s = _get_duration(history) - history.objective_s
    if late_s <= 0 and history.status == COMPLETED:
        return f'It was in time, with {-late_s:.1f} s to spare.'
    avoidable = [share for share in shares if share.cause != CAUSE_RAN]
    if not avoidable:
        return f'It was {late_s:.1f} s late; no step has started.'
    largest = max(avoidable, key=lambda share: share.duration_s)
    delay = f'{late_s:.1f} s late' if late_s > 0 else 'not complete'
    return (
        f'It was {delay}; the largest part, {largest.duration_s:.1f} s: task '
        f'{largest.task_id} {largest.cause}.'
    )


def _render_failure(history: WorkflowHistory) -> str:
    failures = {
        task_id: sum(run.end_kind == 'failed' for run in runs)
        for step in history.steps
        for task_id, runs in step.runs.items()
    }
    if not failures:
        return 'It failed before any of its tasks started.'
    task_id = max(failures, key=failures.__getitem__)
    return f'It failed: task {task_id} failed {failures[task_id]} times.'
