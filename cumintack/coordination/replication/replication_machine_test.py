"""Stateful fuzzing of the replicated log against an oracle."""

import hypothesis.strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from cumintack.coordination import replication
from cumintack.coordination.replication.fake_cluster_test import (
    FakeCluster,
    FakeNode,
)
from cumintack.state.commands import (
    Command,
    ConfigurationChange,
    SetConfiguration,
)

MAX_PACKETS = 400
POSITIONS = st.integers(0, MAX_PACKETS)
NODES = st.integers(0, 4)


class ReplicationMachine(RuleBasedStateMachine):
    """Three or five replicas under disk, network and process faults."""

    def __init__(self) -> None:
        """Start without a cluster."""
        super().__init__()
        self.cluster = FakeCluster(1, 0)
        self.count = 1
        self.sequence = 0
        self.read_id = 0
        self.commands: list[Command] = []
        self.lost_node = ''

    @initialize(count=st.sampled_from((3, 5)), seed=st.integers(0, 2**16))
    def start_cluster(self, count: int, seed: int) -> None:
        """Start a cluster and let it elect a leader."""
        self.cluster = FakeCluster(count, seed)
        self.count = count
        self.cluster.run(20)

    def _get_node(self, number: int) -> FakeNode:
        names = sorted(self.cluster.nodes)
        return self.cluster.nodes[names[number % len(names)]]

    @rule(number=NODES, key=st.integers(0, 3), version=st.integers(0, 1))
    def propose(self, number: int, key: int, version: int) -> None:
        """Propose a command through any replica."""
        self.sequence += 1
        expected_version = 0 if version else None
        change = ConfigurationChange(
            f'note.k{key}', self.sequence, expected_version
        )
        command = Command(
            f's{self.sequence % 3}',
            self.sequence,
            'operator',
            0,
            SetConfiguration((change,)),
        )
        self.commands.append(command)
        self.cluster.propose(self._get_node(number).name, command)

    @precondition(lambda self: bool(self.commands))
    @rule(number=NODES, choice=st.integers(0, 1000))
    def propose_repeated(self, number: int, choice: int) -> None:
        """Propose an earlier command again, as after a lost reply."""
        command = self.commands[choice % len(self.commands)]
        self.cluster.propose(self._get_node(number).name, command)

    @rule(number=NODES)
    def read(self, number: int) -> None:
        """Request a linearizable read."""
        self.read_id += 1
        self.cluster.read(self._get_node(number).name, self.read_id)

    @rule(steps=st.integers(1, 15), loss=st.sampled_from((0.0, 0.1, 0.5)))
    def run_steps(self, steps: int, loss: float) -> None:
        """Advance time with some message loss."""
        self.cluster.run(steps, loss)

    @rule(number=NODES, elapsed_ms=st.integers(1, 800))
    def tick_single(self, number: int, elapsed_ms: int) -> None:
        """Advance time and run the timers of one replica only."""
        self.cluster.now_s += elapsed_ms / 1000
        self.cluster.tick(self._get_node(number).name)

    @precondition(lambda self: bool(self.cluster.packets))
    @rule(position=POSITIONS, is_duplicate=st.booleans())
    def deliver(self, position: int, is_duplicate: bool) -> None:
        """Deliver any message, possibly out of order or twice."""
        self.cluster.deliver(
            position % len(self.cluster.packets),
            is_duplicate=is_duplicate,
        )

    @precondition(lambda self: bool(self.cluster.packets))
    @rule(position=POSITIONS)
    def drop(self, position: int) -> None:
        """Drop any message."""
        self.cluster.packets.pop(position % len(self.cluster.packets))

    @rule(source=NODES, destination=NODES)
    def block_link(self, source: int, destination: int) -> None:
        """Block messages in one direction between two replicas."""
        pair = (self._get_node(source).name, self._get_node(destination).name)
        self.cluster.blocked_links.add(pair)

    @rule(number=NODES)
    def isolate(self, number: int) -> None:
        """Isolate one replica from all others."""
        name = self._get_node(number).name
        for other in self.cluster.nodes:
            self.cluster.blocked_links.add((name, other))
            self.cluster.blocked_links.add((other, name))

    @rule()
    def unblock_links(self) -> None:
        """Unblock all links."""
        self.cluster.blocked_links = set()

    @rule(number=NODES, crash_in=st.integers(1, 6))
    def crash_during_write(self, number: int, crash_in: int) -> None:
        """Crash a replica during one of its next disk operations."""
        self._get_node(number).disk.crash_in = crash_in

    @rule(number=NODES)
    def kill(self, number: int) -> None:
        """Kill a replica between disk operations."""
        self.cluster.kill(self._get_node(number).name)

    @rule(number=NODES, kept_frames=st.integers(0, 2), is_torn=st.booleans())
    def restart(self, number: int, kept_frames: int, is_torn: bool) -> None:
        """Start a stopped replica, possibly with a torn last write.

        A torn write in addition to a lost disk leaves a group of three without
        a quorum of trusted disks, and the group stalls by design. The two
        faults are therefore not combined.
        """
        node = self._get_node(number)
        is_write_torn = is_torn and not self.cluster.has_untrusted_disk()
        if node.replica is None:
            self.cluster.start(node.name, kept_frames, is_torn=is_write_torn)

    @rule(number=NODES, is_full=st.booleans())
    def fill_disk(self, number: int, is_full: bool) -> None:
        """Make a disk full, or free space on it."""
        self._get_node(number).disk.is_full = is_full

    @rule(number=NODES)
    def compact(self, number: int) -> None:
        """Write a snapshot."""
        self.cluster.compact(self._get_node(number).name)

    @precondition(lambda self: not self.cluster.has_untrusted_disk())
    @rule(number=NODES)
    def lose_disk(self, number: int) -> None:
        """Lose the disk of a replica, at most one at a time."""
        self.lost_node = self._get_node(number).name
        self.cluster.lose_disk(self.lost_node)
        self.cluster.start(self.lost_node)

    @rule(
        number=NODES,
        crash_in=st.integers(0, 3),
        fault=st.sampled_from(('killed', 'isolated', 'full', 'rotten')),
    )
    def commit_with_one_follower(
        self, number: int, crash_in: int, fault: str
    ) -> None:
        """Commit with a single follower, then lose one of the two replicas.

        This is the shortest path to data loss if entries are acknowledged
        before they are synced, or counted before they are received.
        """
        leaders = self.cluster.list_leaders()
        follower = self._get_node(number)
        is_disk_untrusted = self.cluster.has_untrusted_disk()
        if not leaders or leaders[-1] is follower or is_disk_untrusted:
            return
        leader = leaders[-1]
        names = sorted(self.cluster.nodes)
        for other in names:
            if other not in {leader.name, follower.name}:
                self.cluster.blocked_links.add((leader.name, other))
        leader.disk.is_full = fault == 'full'
        if fault in {'killed', 'isolated'}:
            follower.disk.crash_in = crash_in
        self.propose(names.index(leader.name), 0, 0)
        self.cluster.run(2)
        self._apply_fault(leader, follower, fault)
        self.cluster.run(20)

    def _apply_fault(
        self, leader: FakeNode, follower: FakeNode, fault: str
    ) -> None:
        names = sorted(self.cluster.nodes)
        if fault == 'isolated':
            self.isolate(names.index(leader.name))
        else:
            self.cluster.kill(leader.name)
        if fault == 'full':
            leader.disk.is_full = False
            self.cluster.start(leader.name)
            self.cluster.blocked_links = set()
            self.isolate(names.index(follower.name))
        if fault == 'rotten':
            self.cluster.kill(follower.name)
            follower.disk.corrupt_last_entry()
            self.cluster.blocked_links = set()
        if follower.replica is None:
            self.cluster.start(follower.name)

    @rule(number=NODES)
    def pause(self, number: int) -> None:
        """Pause a replica; messages to it are queued."""
        self.cluster.paused.add(self._get_node(number).name)

    @rule()
    def resume(self) -> None:
        """Resume paused replicas, whose clock jumps ahead."""
        self.cluster.paused = set()

    @rule(is_read=st.booleans())
    def depose_leader(self, is_read: bool) -> None:
        """Pause the leader until another one commits, then use the old one."""
        leaders = self.cluster.list_leaders()
        if not leaders:
            return
        former_leader = leaders[-1].name
        self.cluster.paused = {former_leader}
        self.cluster.run(20)
        leaders = self.cluster.list_leaders()
        if leaders and leaders[-1].name != former_leader:
            names = sorted(self.cluster.nodes)
            self.propose(names.index(leaders[-1].name), 1, 0)
            self.cluster.run(2)
        self.cluster.paused = set()
        if is_read:
            self.read_id += 1
            self.cluster.read(former_leader, self.read_id)
        else:
            self.propose(sorted(self.cluster.nodes).index(former_leader), 2, 0)

    @precondition(lambda self: bool(self.lost_node))
    @rule()
    def replace_lost_replica(self) -> None:
        """Replace the replica that lost its disk; wait until it is a voter."""
        self.cluster.end_faults()
        leaders = self.cluster.list_leaders()
        if not leaders or leaders[-1].name == self.lost_node:
            return
        replica = leaders[-1].replica
        assert replica is not None
        replication.propose_add(
            replica,
            self.lost_node,
            f'{self.lost_node}:1',
            self.cluster.now_s,
        )
        self.cluster.run(40)
        added = [
            member
            for member in replica.members
            if member.name == self.lost_node
        ]
        if added and added[0].is_voter:
            self.lost_node = ''

    @invariant()
    def limit_packets(self) -> None:
        """Bound the number of messages in transit."""
        del self.cluster.packets[MAX_PACKETS:]

    def teardown(self) -> None:
        """End all faults and check that no acknowledged command is lost."""
        self.cluster.end_faults()
        self.cluster.end_faults()
        self.cluster.check_acknowledged()


TestReplication = ReplicationMachine.TestCase
