"""Tests of the explanation of an identifier from the logs."""

import json

from cumintack.coordination.explanation import explain, render_explanation

JOB = '5c0e7a21d94b36f8'
UNKNOWN = 'eeeeeeeeeeeeeeee'


def _line(at_s: int, event: str, **fields: object) -> str:
    stamp = f'2026-12-04T12:00:{at_s:02}.000000Z'
    return json.dumps({'timestamp': stamp, 'event': event, **fields})


LOGS = {
    'entry': '\n'.join(
        (
            _line(1, 'gate: answered', accept='ffffffffffffffff'),
            _line(4, 'gate: answered', accept=JOB, outcome='done'),
        ),
    ),
    'core': '\n'.join(
        (
            _line(2, 'control: leading', term=1),
            _line(3, 'control: accepted', workflow=JOB),
            _line(5, 'control: leading', term=2),
            _line(6, 'control: placed', runs=[f'{JOB}.0.0.1/1 life guard']),
        ),
    ),
    'dead': _line(0, 'node: started'),
    'torn': 'not a line',
}


def test_lines_in_order_with_context() -> None:
    """Matching lines and changes of leader in between are sorted by time."""
    found = explain(LOGS, JOB)
    assert [line.event for line in found.lines] == [
        'control: accepted',
        'gate: answered',
        'control: leading',
        'control: placed',
    ]
    assert found.silent == ('dead', 'torn')
    assert [error.peer for error in found.errors] == ['torn:1']


def test_unknown_identifier() -> None:
    """An unknown identifier is reported, and every process is listed."""
    found = explain(LOGS, UNKNOWN)
    rendered = render_explanation(found, UNKNOWN)
    assert rendered[0] == f'no log line contains {UNKNOWN}'
    assert 'missing: core wrote no log line from that time on' in rendered
