"""A process finds the leader, whichever replica that is."""

from cumintack.coordination.control_calls import CallTable, update_replicas


def test_leader_that_joined_later_is_added() -> None:
    """What a follower tells is added to the replicas of the settings."""
    table = CallTable(['seed-1', 'seed-2', 'seed-3'])
    assert not update_replicas(table, ['late'], is_complete=False)
    assert table.replicas == ['seed-1', 'seed-2', 'seed-3', 'late']


def test_whole_membership_replaces_what_was_known() -> None:
    """Replicas that a leader does not name are given up."""
    table = CallTable(['seed-1', 'gone'])
    former = update_replicas(table, ['seed-1', 'late'], is_complete=True)
    assert former == ['gone']
    assert table.replicas == ['seed-1', 'late']


def test_nothing_told_changes_nothing() -> None:
    """A leader whose membership is not committed names nobody."""
    table = CallTable(['seed-1'])
    assert not update_replicas(table, [], is_complete=True)
    assert table.replicas == ['seed-1']
