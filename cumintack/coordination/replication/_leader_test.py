"""Commit rules of a leader that fuzzing reaches too rarely."""

from cumintack.coordination import replication
from cumintack.coordination.replication import (
    DurableState,
    HardState,
    PendingWrites,
    Replica,
    ReplicaSettings,
    Role,
    Snapshot,
)
from cumintack.coordination.replication.fake_cluster_test import FakeDisk
from cumintack.protocol.replication_messages import (
    AppendReply,
    LogEntry,
    VoteReply,
)

NOW_S = 10.0


def _create_leader() -> Replica:
    members = replication.create_initial_members(
        (('a', 'a:1'), ('b', 'b:1'), ('c', 'c:1')),
    )
    durable = DurableState(
        HardState(2, '', 'a.1'),
        Snapshot(0, 0, members, b''),
        [LogEntry(1, 1), LogEntry(2, 2)],
    )
    replica = replication.create_replica(
        ReplicaSettings(),
        durable,
        NOW_S,
        1,
    )
    replication.handle_tick(replica, NOW_S + 2)
    for is_trial in (True, False):
        replication.handle_message(
            replica,
            VoteReply(3, 'b.1', 'a.1', is_granted=True, is_trial=is_trial),
            NOW_S + 2,
        )
    assert replica.role is Role.leader
    return replica


def _run_cycle(replica: Replica) -> None:
    disk = FakeDisk(replica.hard, replica.snapshot)
    replication.run_cycle(
        replica,
        PendingWrites(),
        disk,
        lambda _messages: None,
        NOW_S + 2,
    )


def _acknowledge(replica: Replica, match_index: int) -> None:
    replication.handle_message(
        replica,
        AppendReply(3, 'b.1', 'a.1', True, match_index, 0),
        NOW_S + 2,
    )


def test_earlier_term_is_not_committed_by_replica_count() -> None:
    """An entry of an earlier term is committed only with one of this term."""
    replica = _create_leader()
    _run_cycle(replica)
    _acknowledge(replica, 2)
    assert replica.commit_index == 0
    _acknowledge(replica, 3)
    assert replica.commit_index == 3


def test_unsynced_entry_is_not_counted() -> None:
    """A leader counts itself towards a quorum only for synced entries."""
    replica = _create_leader()
    _acknowledge(replica, 3)
    assert replica.commit_index == 0
    _run_cycle(replica)
    assert replica.commit_index == 3


def test_leader_that_was_paused_steps_down_before_it_acts() -> None:
    """Another leader may have been elected while it stood still."""
    replica = _create_leader()
    _run_cycle(replica)
    replica.ready.messages.clear()
    replication.handle_tick(replica, NOW_S + 7)
    assert replica.role is Role.follower
    assert not replica.ready.messages
