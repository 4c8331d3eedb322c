"""Leadership moves when a leader stops, has a full disk or is replaced."""

from cumintack.coordination import replication
from cumintack.coordination.replication import (
    HardState,
    Replica,
    Role,
    Snapshot,
)
from cumintack.coordination.replication.fake_cluster_test import (
    FakeCluster,
    FakeDisk,
    FakeNode,
)
from cumintack.state.errors import StepError

FEW_STEPS = 3
MANY_STEPS = 60


def _create_cluster_with_leader() -> tuple[FakeCluster, str]:
    cluster = FakeCluster(3, 7)
    cluster.run(MANY_STEPS)
    return cluster, cluster.list_leaders()[0].name


def test_transfer_needs_no_election_timeout() -> None:
    """The successor leads within a few messages, without a timeout."""
    cluster, name = _create_cluster_with_leader()
    leader = cluster.nodes[name].replica
    assert leader is not None
    successor = replication.transfer_leadership(leader, cluster.now_s)
    assert successor
    refusal = replication.propose(leader, b'x', cluster.now_s)
    assert isinstance(refusal, StepError)
    cluster.run(FEW_STEPS)
    leaders = [node.name for node in cluster.list_leaders()]
    assert leaders == [successor.rpartition('.')[0]]


def test_leader_with_full_disk_steps_down() -> None:
    """A leader whose disk refuses writes steps down."""
    cluster, name = _create_cluster_with_leader()
    cluster.nodes[name].disk.is_full = True
    leader = cluster.nodes[name].replica
    assert leader is not None
    replication.propose(leader, b'', cluster.now_s)
    cluster.run(MANY_STEPS)
    assert leader.role is Role.follower
    assert [node.name for node in cluster.list_leaders()] != [name]


def test_joining_replica_replaces_unresponsive_member() -> None:
    """A lost member is removed once its replacement is a voter."""
    cluster, name = _create_cluster_with_leader()
    leader = cluster.nodes[name].replica
    assert leader is not None
    lost_member = next(other for other in cluster.nodes if other != name)
    cluster.kill(lost_member)
    empty_disk = FakeDisk(HardState(), Snapshot(0, 0, (), b''))
    cluster.nodes['new'] = FakeNode('new', empty_disk)
    cluster.start('new')
    for _ in range(2):
        # A repeated join request must not add the member twice.
        assert _request_join(leader, cluster.now_s) is None
    names = [member.name for member in leader.members]
    assert names.count('new') == 1
    assert not replication.remove_silent_member(leader, 3, cluster.now_s)
    cluster.run(MANY_STEPS)
    assert (
        replication.remove_silent_member(leader, 3, cluster.now_s)
        == lost_member
    )
    cluster.run(FEW_STEPS)
    assert lost_member not in {member.name for member in leader.members}
    assert all(member.is_voter for member in leader.members)


def _request_join(leader: Replica, now_s: float) -> StepError | None:
    return replication.handle_join_request(leader, 'new', 'new:1', '', now_s)
