"""Tests of the list of control replicas that a process calls."""

from cumintack.coordination.control_calls import CallTable, update_replicas


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
