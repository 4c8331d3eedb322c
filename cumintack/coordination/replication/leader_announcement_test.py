"""Every replica announces the address of the leader."""

from cumintack.coordination import replication
from cumintack.coordination.replication.fake_cluster_test import FakeCluster

MANY_STEPS = 60


def test_followers_announce_leader_address() -> None:
    """A process that reaches any follower learns the leader's address."""
    cluster = FakeCluster(5, 11)
    cluster.run(MANY_STEPS)
    leader = cluster.list_leaders()[0]
    for node in cluster.nodes.values():
        assert node.replica is not None
        announced = replication.get_announced_members(node.replica)
        names = [member.name for member in announced]
        if node.name == leader.name:
            assert sorted(names) == sorted(cluster.nodes)
        else:
            assert names == [leader.name]
            assert announced[0].address
