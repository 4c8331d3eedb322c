"""Tests of operator statements: parsing, operations and error messages."""

import pathlib

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok
from syrupy.assertion import SnapshotAssertion

from cumintack.coordination.statements import create_operation
from cumintack.protocol.language import parse_statement

STATEMENTS = (
    'select * from tasks',
    'SELECT worker, tasks FROM workers WHERE tasks > 3 and is_draining = false '
    'ORDER BY tasks DESC LIMIT 5',
    'select * from jobs where name ~ "nightly invoicing"',
    'submit invoicing for lakeshore tasks = 20 cores_milli = 1500 '
    'idempotent = false data_centres = "toronto,buffalo" priority = urgent',
    'cancel j12, j13',
    'drain worker-07',
    'undrain worker-07',
    'evacuate north-yard',
    'readmit north-yard',
    'hold j1',
    'release j1',
    'set service.rounds-desk.timeout_ms = 1500 if version 42',
    'set scheduler.weight_evictions = 2.5, note.x = "two words"',
    'team insurer cores_milli = 64000 memory_mb = 128000 share = 2',
    'replica add control-2 at 127.0.0.1:7001',
    'replica remove control-2',
)
MISTAKES = (
    '',
    'select',
    'select * from',
    'select * from tasks where',
    'select * from tasks where status ==',
    'select * from tasks limit many',
    'submit x for y',
    'submit x for y colour = red',
    'submit x for y tasks = 2 tasks = 3',
    'submit x for y tasks = "two"',
    'submit x for y priority = never',
    'set a.b',
    'drop table tasks',
    'cancel',
    'team t cores_milli = -',
)


@pytest.mark.parametrize('text', STATEMENTS)
def test_statements(text: str, snapshot: SnapshotAssertion) -> None:
    """Every kind of statement is parsed to the expected value."""
    parsed = parse_statement(text)
    assert isinstance(parsed, Ok)
    assert parsed.ok_value == snapshot


@pytest.mark.parametrize('text', MISTAKES)
def test_mistakes(text: str, snapshot: SnapshotAssertion) -> None:
    """The error for an invalid statement names the column or the option."""
    parsed = parse_statement(text)
    if isinstance(parsed, Ok):
        created = create_operation(parsed.ok_value)
        assert isinstance(created, Err)
        assert created.err_value.detail == snapshot
    else:
        assert parsed.err_value.detail == snapshot


@given(text=st.text(max_size=80))
def test_any_text(text: str) -> None:
    """Any text yields a statement or an error, never an exception."""
    parsed = parse_statement(text)
    if isinstance(parsed, Ok):
        create_operation(parsed.ok_value)


def test_example_setups() -> None:
    """All statements in the setups of the examples are valid."""
    folder = pathlib.Path(__file__).parents[2] / 'examples'
    for path in sorted(folder.glob('*/setup.cumintack')):
        for line in path.read_text(encoding='utf-8').splitlines():
            parsed = parse_statement(line)
            assert isinstance(parsed, Ok)
            assert isinstance(create_operation(parsed.ok_value), Ok)
