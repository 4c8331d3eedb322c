"""Tests of the explanation of an identifier from the logs."""

import json

from cumintack.coordination.explanation import explain, render_explanation

WORKFLOW = '5c0e7a21d94b36f8'
UNKNOWN = 'eeeeeeeeeeeeeeee'


def _line(at_s: int, event: str, **fields: object) -> str:
    stamp = f'2026-12-04T12:00:{at_s:02}.000000Z'
    return json.dumps({'timestamp': stamp, 'event': event, **fields})


LOGS = {
    'entry': '\n'.join(
        (
            _line(1, 'gate: answered', accept='ffffffffffffffff'),
            _line(4, 'gate: answered', accept=WORKFLOW, outcome='done'),
        ),
    ),
    'core': '\n'.join(
        (
            _line(2, 'control: leading', term=1),
            _line(3, 'control: accepted', workflow=WORKFLOW),
            _line(5, 'control: leading', term=2),
            _line(
                6, 'control: placed', runs=[f'{WORKFLOW}.0.0.1/1 life guard']
            ),
        ),
    ),
    'dead': _line(0, 'node: started'),
    'torn': 'not a line',
}


def test_lines_in_order_with_context() -> None:
    """Matching lines and changes of leader in between are sorted by time."""
    explanation = explain(LOGS, WORKFLOW)
    assert [line.event for line in explanation.lines] == [
        'control: accepted',
        'gate: answered',
        'control: leading',
        'control: placed',
    ]
    assert explanation.silent == ('dead', 'torn')
    assert [error.peer for error in explanation.errors] == ['torn:1']


def test_unknown_identifier() -> None:
    """An unknown identifier is reported, and every process is listed."""
    explanation = explain(LOGS, UNKNOWN)
    rendered = render_explanation(explanation, UNKNOWN)
    assert rendered[0] == f'no log line contains {UNKNOWN}'
    assert 'missing: core wrote no log line from that time on' in rendered
