"""Tests that the history of a workflow tells what made it late."""

import json
import pathlib

import click.testing
import pytest

from cumintack.cli.history_rendering import encode_history, render_history
from cumintack.cli.main import main
from cumintack.coordination.explanation import explain
from cumintack.coordination.workflow_history import (
    CAUSE_MOVED,
    CAUSE_RAN,
    CAUSE_SLOWED,
    CAUSE_WAITED,
    WorkflowHistory,
    build_history,
    list_time_shares,
)

WORKFLOW = '5c0e7a21d94b36f8'
STEPS = [
    '2x1000m/100MB 2000ms img filling target=0 apart=0 after=[] saves=True',
    '1x1000m/100MB 1000ms img filling target=0 apart=0 after=[0] saves=True',
]


def _line(at_s: float, event: str, **fields: object) -> str:
    stamp = f'2026-12-04T12:00:{at_s:09.6f}Z'
    return json.dumps({'timestamp': stamp, 'event': event, **fields})


def _placed(at_s: float, task: str, run: int) -> str:
    text = f'{WORKFLOW}.0.{task}/{run} life guard'
    return _line(at_s, 'control: placed', runs=[text], count=1)


def _ended(at_s: float, task: str, run: int, kind: str) -> str:
    text = f'{WORKFLOW}.0.{task}/{run} {kind} '
    return _line(at_s, 'control: ended', runs=[text], count=1)


ACCEPTED = _line(
    1, 'control: accepted', workflow=WORKFLOW, objective_ms=5000, steps=STEPS
)
LATE = (
    _line(0.5, 'control: leading', term=1),
    ACCEPTED,
    _line(1.1, 'gate: answered', accept=WORKFLOW, outcome='done', took_ms=9),
    _placed(1.2, '0.0', 1),
    _placed(1.2, '0.1', 1),
    _ended(3, '0.0', 1, 'done'),
    _line(
        4,
        'control: stopping',
        runs=[f'{WORKFLOW}.0.0.1/1'],
        reason='its worker is draining',
    ),
    _ended(4.2, '0.1', 1, 'stopped'),
    _placed(4.7, '0.1', 2),
    _ended(8.7, '0.1', 2, 'done'),
    _placed(9, '1.0', 1),
    _ended(10, '1.0', 1, 'done'),
    _line(
        10,
        'control: workflow over',
        workflow=WORKFLOW,
        status='completed',
        took_ms=9000,
    ),
)
FAILED = (
    ACCEPTED,
    _placed(2, '0.0', 1),
    _ended(3, '0.0', 1, 'failed'),
    _placed(4, '0.0', 2),
    _ended(5, '0.0', 2, 'failed'),
    _line(5, 'control: workflow over', workflow=WORKFLOW, status='failed'),
)


def _build(*lines: str) -> WorkflowHistory:
    history = build_history(explain({'core': '\n'.join(lines)}, WORKFLOW).lines)
    assert history is not None
    return history


def _render(*lines: str) -> list[str]:
    found = explain({'core': '\n'.join(lines)}, WORKFLOW)
    history = build_history(found.lines)
    assert history is not None
    return render_history(history, found.lines)


def test_time_is_attributed_along_the_last_tasks_to_end() -> None:
    """The shares add up to the time from the acceptance to the end."""
    shares = list_time_shares(_build(*LATE))
    assert [(share.step, share.cause) for share in shares] == [
        (0, CAUSE_WAITED),
        (0, CAUSE_RAN),
        (0, CAUSE_SLOWED),
        (0, CAUSE_MOVED),
        (1, CAUSE_WAITED),
        (1, CAUSE_RAN),
    ]
    assert sum(share.duration_s for share in shares) == pytest.approx(9)


def test_late_workflow_has_its_largest_cause_in_the_last_line() -> None:
    """One line for each step, and one sentence on the delay."""
    rendered = _render(*LATE)
    assert 'completed after 9.0 s, objective 5.0 s' in rendered[0]
    assert any(
        'answered the request to accept: done' in row for row in rendered
    )
    assert any('1 stopped (its worker is draining)' in row for row in rendered)
    assert rendered[-1] == (
        'It was 4.0 s late; the largest part, 5.0 s: task '
        f'{WORKFLOW}.0.0.1 {CAUSE_SLOWED}.'
    )


def test_failed_workflow_names_the_task() -> None:
    """The task that used up its attempts is named."""
    task_id = f'{WORKFLOW}.0.0.0'
    assert _render(*FAILED)[-1] == f'It failed: task {task_id} failed 2 times.'


def test_workflow_without_an_end_counts_until_the_last_line() -> None:
    """A log that stops early, or a run that goes on."""
    rendered = _render(ACCEPTED, _placed(2, '0.0', 1), _placed(20, '0.1', 1))
    assert 'not ended by the last log line after 19.0 s' in rendered[0]
    assert 'late' in rendered[-1]


def test_workflow_that_never_started_is_late() -> None:
    """There is nothing to attribute."""
    cancelled = _line(9, 'control: cancelled', workflow=WORKFLOW)
    assert _render(ACCEPTED, cancelled)[-1] == 'It was cancelled by its caller.'
    assert 'never started' in _render(ACCEPTED)[3]


def test_json_has_the_same_content() -> None:
    """Scripts read the history, the shares and the sentence."""
    record = json.loads(encode_history(_build(*LATE)))
    assert record['objective_s'] == 5
    assert len(record['steps']) == 2
    assert record['verdict'].startswith('It was 4.0 s late')
    assert sum(share['duration_s'] for share in record['time_shares']) > 8


@pytest.mark.parametrize('option', [[], ['--raw'], ['--json']])
def test_command_reads_log_files(
    option: list[str], tmp_path: pathlib.Path
) -> None:
    """The three forms of the command print the workflow."""
    path = tmp_path / 'core.log'
    path.write_text('\n'.join(LATE), encoding='utf-8')
    outcome = click.testing.CliRunner().invoke(
        main, ['explain', WORKFLOW, str(path), *option]
    )
    assert outcome.exit_code == 0
    assert WORKFLOW in outcome.output
    assert ('control: placed' in outcome.output) == (option == ['--raw'])


def test_request_that_was_never_accepted_prints_its_log_lines(
    tmp_path: pathlib.Path,
) -> None:
    """A refused or unanswered request has no history, in either form."""
    path = tmp_path / 'edge.log'
    line = _line(1, 'gate: answered', accept=WORKFLOW, outcome='timeout')
    path.write_text(line, encoding='utf-8')
    runner = click.testing.CliRunner()
    text = runner.invoke(main, ['explain', WORKFLOW, str(path)])
    assert 'timeout' in text.output
    encoded = runner.invoke(main, ['explain', WORKFLOW, str(path), '--json'])
    assert len(json.loads(encoded.output)['lines']) == 1
