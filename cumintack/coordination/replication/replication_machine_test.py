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
        self.lost = ''

    @initialize(count=st.sampled_from((3, 5)), seed=st.integers(0, 2**16))
    def begin(self, count: int, seed: int) -> None:
        """Start a cluster and let it elect a leader."""
        self.cluster = FakeCluster(count, seed)
        self.count = count
        self.cluster.run(20)

    def _get(self, number: int) -> FakeNode:
        names = sorted(self.cluster.nodes)
        return self.cluster.nodes[names[number % len(names)]]

    @rule(number=NODES, key=st.integers(0, 3), version=st.integers(0, 1))
    def propose(self, number: int, key: int, version: int) -> None:
        """Propose a command through any replica."""
        self.sequence += 1
        expected = 0 if version else None
        change = ConfigurationChange(f'note.k{key}', self.sequence, expected)
        command = Command(
            f's{self.sequence % 3}',
            self.sequence,
            'operator',
            0,
            SetConfiguration((change,)),
        )
        self.commands.append(command)
        self.cluster.propose(self._get(number).name, command)

    @precondition(lambda self: bool(self.commands))
    @rule(number=NODES, choice=st.integers(0, 1000))
    def propose_again(self, number: int, choice: int) -> None:
        """Propose an earlier command again, as after a lost reply."""
        command = self.commands[choice % len(self.commands)]
        self.cluster.propose(self._get(number).name, command)

    @rule(number=NODES)
    def read(self, number: int) -> None:
        """Request a linearizable read."""
        self.read_id += 1
        self.cluster.read(self._get(number).name, self.read_id)

    @rule(steps=st.integers(1, 15), loss=st.sampled_from((0.0, 0.1, 0.5)))
    def run_on(self, steps: int, loss: float) -> None:
        """Advance time with some message loss."""
        self.cluster.run(steps, loss)

    @rule(number=NODES, passed_ms=st.integers(1, 800))
    def tick_one(self, number: int, passed_ms: int) -> None:
        """Advance time and run the timers of one replica only."""
        self.cluster.now_s += passed_ms / 1000
        self.cluster.tick(self._get(number).name)

    @precondition(lambda self: bool(self.cluster.packets))
    @rule(position=POSITIONS, is_repeated=st.booleans())
    def deliver(self, position: int, is_repeated: bool) -> None:
        """Deliver any message, possibly out of order or twice."""
        self.cluster.deliver(
            position % len(self.cluster.packets),
            is_repeated=is_repeated,
        )

    @precondition(lambda self: bool(self.cluster.packets))
    @rule(position=POSITIONS)
    def drop(self, position: int) -> None:
        """Drop any message."""
        self.cluster.packets.pop(position % len(self.cluster.packets))

    @rule(source=NODES, sink=NODES)
    def cut(self, source: int, sink: int) -> None:
        """Block messages in one direction between two replicas."""
        pair = (self._get(source).name, self._get(sink).name)
        self.cluster.cuts.add(pair)

    @rule(number=NODES)
    def isolate(self, number: int) -> None:
        """Isolate one replica from all others."""
        name = self._get(number).name
        for other in self.cluster.nodes:
            self.cluster.cuts.add((name, other))
            self.cluster.cuts.add((other, name))

    @rule()
    def mend(self) -> None:
        """Unblock all links."""
        self.cluster.cuts = set()

    @rule(number=NODES, crash_in=st.integers(1, 6))
    def crash_soon(self, number: int, crash_in: int) -> None:
        """Crash a replica during one of its next disk operations."""
        self._get(number).disk.crash_in = crash_in

    @rule(number=NODES)
    def kill(self, number: int) -> None:
        """Kill a replica between disk operations."""
        self.cluster.kill(self._get(number).name)

    @rule(number=NODES, kept=st.integers(0, 2), is_torn=st.booleans())
    def restart(self, number: int, kept: int, is_torn: bool) -> None:
        """Start a stopped replica, possibly with a torn last write.

        A torn write in addition to a lost disk leaves a group of three without
        a quorum of trusted disks, and the group stalls by design. The two
        faults are therefore not combined.
        """
        node = self._get(number)
        may_tear = is_torn and not self.cluster.is_any_unfit()
        if node.replica is None:
            self.cluster.boot(node.name, kept, is_torn=may_tear)

    @rule(number=NODES, is_full=st.booleans())
    def fill_disk(self, number: int, is_full: bool) -> None:
        """Make a disk full, or free space on it."""
        self._get(number).disk.is_full = is_full

    @rule(number=NODES)
    def compact(self, number: int) -> None:
        """Write a snapshot."""
        self.cluster.compact(self._get(number).name)

    @precondition(lambda self: not self.cluster.is_any_unfit())
    @rule(number=NODES)
    def lose_disk(self, number: int) -> None:
        """Lose the disk of a replica, at most one at a time."""
        self.lost = self._get(number).name
        self.cluster.lose_disk(self.lost)
        self.cluster.boot(self.lost)

    @rule(
        number=NODES,
        crash_in=st.integers(0, 3),
        fate=st.sampled_from(('killed', 'isolated', 'full', 'rotten')),
    )
    def succeed(self, number: int, crash_in: int, fate: str) -> None:
        """Commit with a single follower, then lose one of the two replicas.

        This is the shortest path to data loss if entries are acknowledged
        before they are synced, or counted before they are received.
        """
        leaders = self.cluster.list_leaders()
        follower = self._get(number)
        is_unfit = self.cluster.is_any_unfit()
        if not leaders or leaders[-1] is follower or is_unfit:
            return
        leader = leaders[-1]
        names = sorted(self.cluster.nodes)
        for other in names:
            if other not in {leader.name, follower.name}:
                self.cluster.cuts.add((leader.name, other))
        leader.disk.is_full = fate == 'full'
        if fate in {'killed', 'isolated'}:
            follower.disk.crash_in = crash_in
        self.propose(names.index(leader.name), 0, 0)
        self.cluster.run(2)
        self._lose(leader, follower, fate)
        self.cluster.run(20)

    def _lose(self, leader: FakeNode, follower: FakeNode, fate: str) -> None:
        names = sorted(self.cluster.nodes)
        if fate == 'isolated':
            self.isolate(names.index(leader.name))
        else:
            self.cluster.kill(leader.name)
        if fate == 'full':
            leader.disk.is_full = False
            self.cluster.boot(leader.name)
            self.cluster.cuts = set()
            self.isolate(names.index(follower.name))
        if fate == 'rotten':
            self.cluster.kill(follower.name)
            follower.disk.rot()
            self.cluster.cuts = set()
        if follower.replica is None:
            self.cluster.boot(follower.name)

    @rule(number=NODES)
    def freeze(self, number: int) -> None:
        """Pause a replica; messages to it are queued."""
        self.cluster.frozen.add(self._get(number).name)

    @rule()
    def thaw(self) -> None:
        """Resume paused replicas, whose clock jumps ahead."""
        self.cluster.frozen = set()

    @rule(reads=st.booleans())
    def depose(self, reads: bool) -> None:
        """Pause the leader until another one commits, then use the old one."""
        leaders = self.cluster.list_leaders()
        if not leaders:
            return
        former = leaders[-1].name
        self.cluster.frozen = {former}
        self.cluster.run(20)
        leaders = self.cluster.list_leaders()
        if leaders and leaders[-1].name != former:
            names = sorted(self.cluster.nodes)
            self.propose(names.index(leaders[-1].name), 1, 0)
            self.cluster.run(2)
        self.cluster.frozen = set()
        if reads:
            self.read_id += 1
            self.cluster.read(former, self.read_id)
        else:
            self.propose(sorted(self.cluster.nodes).index(former), 2, 0)

    @precondition(lambda self: bool(self.lost))
    @rule()
    def repair(self) -> None:
        """Replace the replica that lost its disk; wait until it is a voter."""
        self.cluster.heal()
        leaders = self.cluster.list_leaders()
        if not leaders or leaders[-1].name == self.lost:
            return
        replica = leaders[-1].replica
        assert replica is not None
        replication.propose_add(
            replica,
            self.lost,
            f'{self.lost}:1',
            self.cluster.now_s,
        )
        self.cluster.run(40)
        added = [
            member for member in replica.members if member.name == self.lost
        ]
        if added and added[0].is_voter:
            self.lost = ''

    @invariant()
    def bound(self) -> None:
        """Bound the number of messages in transit."""
        del self.cluster.packets[MAX_PACKETS:]

    def teardown(self) -> None:
        """End all faults and check that no acknowledged command is lost."""
        self.cluster.heal()
        self.cluster.heal()
        self.cluster.check_acknowledged()


TestReplication = ReplicationMachine.TestCase
