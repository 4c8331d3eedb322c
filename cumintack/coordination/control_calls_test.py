"""Tests of calls to the control group, and of the replicas that are called."""

import pytest

from cumintack.coordination.control_calls import (
    CallTable,
    allocate_call_id,
    close_call,
    create_call_table,
    is_own_call,
    open_call,
    redirect_call,
    update_replicas,
)
from cumintack.protocol.messages import QueryRequest


def test_leader_that_joined_later_is_added() -> None:
    """A replica reported by a follower is added to the configured ones."""
    table = CallTable(['seed-1', 'seed-2', 'seed-3'])
    assert not update_replicas(table, ['late'], is_complete=False)
    assert table.replicas == ['seed-1', 'seed-2', 'seed-3', 'late']


def test_complete_membership_replaces_known_replicas() -> None:
    """Replicas missing from a complete membership are removed."""
    table = CallTable(['seed-1', 'gone'])
    removed = update_replicas(table, ['seed-1', 'late'], is_complete=True)
    assert removed == ['gone']
    assert table.replicas == ['seed-1', 'late']


def test_empty_membership_changes_nothing() -> None:
    """A leader without a committed membership reports no replicas."""
    table = CallTable(['seed-1'])
    assert not update_replicas(table, [], is_complete=True)
    assert table.replicas == ['seed-1']


# Guards against an answer to a former process that closes a call of this one.
@pytest.mark.parametrize('incarnation', ['000000000001', 'ffffffffffff'])
def test_numbers_of_a_former_process_are_none_of_this_one(
    incarnation: str,
) -> None:
    """A process counts from a number drawn for it, within 64 bits."""
    former = create_call_table(['seed-1'], '7f0000000000')
    table = create_call_table(['seed-1'], incarnation)
    numbers = [allocate_call_id(table) for _ in range(1000)]
    former_numbers = [allocate_call_id(former) for _ in range(1000)]
    assert all(is_own_call(table, number) for number in numbers)
    assert not any(is_own_call(table, number) for number in former_numbers)
    assert numbers[-1] < 2**63
    # A process of an earlier program version counted from 1.
    assert not is_own_call(table, 1)


# Guards against a leader that an answer from long ago names.
def test_answer_to_no_open_call_changes_nothing() -> None:
    """It names a replica that may have led when a former process asked."""
    table = create_call_table(['seed-1', 'seed-2'], '000000000001')
    call_id = allocate_call_id(table)
    table.leader = 'seed-2'
    open_call(table, call_id, QueryRequest(call_id, ''), 5, 0)
    assert close_call(table, 1, 'seed-1') is None
    redirect_call(table, 1, 'seed-1', 0.1)
    assert table.leader == 'seed-2'
    assert close_call(table, call_id, 'seed-2') is not None
