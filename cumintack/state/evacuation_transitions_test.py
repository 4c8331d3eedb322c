"""Tests of evacuations in the replicated state."""

from cumintack.state.commands import Command, Outcome
from cumintack.state.errors import ErrorCode
from cumintack.state.machine import apply_command, decode_tables, encode_tables
from cumintack.state.tables import ControlTables
from cumintack.state.workflows import SetEvacuation, is_evacuated

DATA_CENTRE = 'north-yard'


def _apply(
    tables: ControlTables,
    operation: SetEvacuation,
    session: str = '',
    sequence: int = 0,
) -> Outcome:
    index = tables.applied_index + 1
    command = Command(session, sequence, 'operator', 1000, operation)
    return apply_command(tables, index, command)


def _begin(expected_revision: int | None) -> SetEvacuation:
    return SetEvacuation(
        DATA_CENTRE, is_active=True, expected_revision=expected_revision
    )


def _end(expected_revision: int | None) -> SetEvacuation:
    return SetEvacuation(
        DATA_CENTRE, is_active=False, expected_revision=expected_revision
    )


# Guards against a data centre that stays empty because a request to evacuate
# it arrived after the request to end that.
def test_request_that_was_overtaken_changes_nothing() -> None:
    """The sender of the first copy has read the state before the others."""
    tables = ControlTables()
    begun = _apply(tables, _begin(0))
    assert begun.error is None
    assert _apply(tables, _end(begun.index)).error is None
    late = _apply(tables, _begin(0))
    assert late.error is not None
    assert late.error.code is ErrorCode.conflict
    assert not is_evacuated(tables.workflows, DATA_CENTRE)


# Guards against a repeated request of the command line that is refused although
# its first copy was accepted.
def test_repeated_command_has_the_outcome_of_the_first() -> None:
    """Both copies carry one session and sequence number."""
    tables = ControlTables()
    first = _apply(tables, _begin(0), 'session', 1)
    assert _apply(tables, _begin(0), 'session', 1) == first
    assert first.error is None


# Guards against an acknowledged evacuation that a replica forgets when its log
# is replaced by a snapshot.
def test_evacuation_outlives_a_snapshot() -> None:
    """The revision is kept too, also after the end of an evacuation."""
    tables = ControlTables()
    _apply(tables, _begin(0))
    restored = decode_tables(encode_tables(tables))
    assert is_evacuated(restored.workflows, DATA_CENTRE)
    _apply(restored, _end(None))
    again = decode_tables(encode_tables(restored))
    assert not is_evacuated(again.workflows, DATA_CENTRE)
    assert _apply(again, _begin(0)).error is not None
    assert _apply(again, _begin(2)).error is None


# Guards against tables that grow with every name that a sender invents.
def test_number_of_data_centres_is_limited() -> None:
    """Data centres that are known already can still be changed."""
    tables = ControlTables()
    for number in range(300):
        _apply(tables, SetEvacuation(f'dc-{number}', is_active=True))
    assert len(tables.workflows.evacuations) == 256
    outcome = _apply(tables, SetEvacuation('dc-7', is_active=False))
    assert outcome.error is None
