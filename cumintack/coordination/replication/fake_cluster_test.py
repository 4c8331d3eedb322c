"""A cluster of replicas over a fake disk and a fake network.

The replicas run the production code, including the processing cycle. The disk
loses unsynced writes and may keep part of them; the network drops, repeats,
reorders and delays messages, and can fail in one direction.
"""

import random

import msgspec

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
from cumintack.protocol.replication_messages import (
    LogEntry,
    Member,
    ReplicationMessage,
)
from cumintack.state.commands import Command, Outcome
from cumintack.state.errors import StepError
from cumintack.state.machine import (
    apply_command,
    decode_tables,
    encode_tables,
)
from cumintack.state.tables import ControlTables

_COMMANDS = msgspec.msgpack.Decoder(Command)
SETTINGS = ReplicaSettings(
    max_entries_per_append=3,
    snapshot_chunk_bytes=200,
    max_unsynced_entries=64,
)


TICK_S = 0.1
RECOVERY_STEPS = 40


class CrashError(Exception):
    """Simulates a process crash during a disk operation."""


class FakeDisk:
    """Files of a replica, with synced and unsynced writes kept apart."""

    def __init__(self, hard: HardState, snapshot: Snapshot) -> None:
        """Start with a hard state and a snapshot on the disk."""
        self.hard = hard
        self.snapshot = snapshot
        self.synced: list[LogEntry] = []
        self.written: list[list[LogEntry]] = []
        self.crash_in = 0
        self.is_full = False

    def _maybe_fail(self) -> None:
        if self.is_full:
            raise OSError('no space left')
        if self.crash_in:
            self.crash_in -= 1
            if not self.crash_in:
                raise CrashError

    def write_hard_state(self, hard: HardState) -> None:
        """Write and sync, or crash before."""
        self._maybe_fail()
        self.hard = hard

    def write_snapshot(
        self,
        snapshot: Snapshot,
        entries: list[LogEntry],
    ) -> None:
        """Write the snapshot, then the log; may crash before each."""
        self._maybe_fail()
        self.snapshot = snapshot
        self._maybe_fail()
        self.synced = list(entries)
        self.written = []

    def append(self, entries: list[LogEntry]) -> None:
        """Write without a sync; may crash before or after."""
        self._maybe_fail()
        self.written.append(entries)
        self._maybe_fail()

    def sync(self) -> None:
        """Make all written entries durable."""
        self._maybe_fail()
        for frame in self.written:
            self.synced = _replace_from(self.synced, frame)
        self.written = []

    def corrupt_last_entry(self) -> None:
        """Lose the last synced entry; recovery detects the corruption."""
        self.written = []
        self.synced = self.synced[:-1]
        self._mark_incomplete()

    def _mark_incomplete(self) -> None:
        self.hard = HardState(
            self.hard.term,
            self.hard.voted_for,
            self.hard.member_id,
            is_incomplete=True,
        )

    def recover(self, kept_frames: int, *, is_torn: bool) -> DurableState:
        """Drop unsynced writes, except for the first ``kept_frames``."""
        surviving_frames = self.written[:kept_frames]
        if is_torn and len(surviving_frames) < len(self.written):
            self._mark_incomplete()
        for frame in surviving_frames:
            self.synced = _replace_from(self.synced, frame)
        self.written = []
        self.crash_in = 0
        snapshot = self.snapshot
        is_replaced = any(
            entry.index == snapshot.last_index
            and entry.term != snapshot.last_term
            for entry in self.synced
        )
        entries = [
            entry
            for entry in self.synced
            if entry.index > snapshot.last_index and not is_replaced
        ]
        return DurableState(self.hard, snapshot, entries)


def _replace_from(
    entries: list[LogEntry],
    frame: list[LogEntry],
) -> list[LogEntry]:
    first = frame[0].index
    return [entry for entry in entries if entry.index < first] + frame


class FakeNode:
    """One process with its disk, running or stopped."""

    def __init__(self, name: str, disk: FakeDisk) -> None:
        """Create a stopped process; ``start`` starts it."""
        self.name = name
        self.disk = disk
        self.replica: Replica | None = None
        self.tables = ControlTables()
        self.pending_writes = PendingWrites()
        self.pending_proposals: dict[int, tuple[int, int]] = {}
        self.reads: dict[int, int] = {}
        self.highest_revision = 0


class Packet(msgspec.Struct, frozen=True):
    """A message in transit."""

    source: str
    target: str
    message: ReplicationMessage


class FakeCluster:
    """Replicas, the network between them, and the state of the oracle."""

    def __init__(self, count: int, seed: int) -> None:
        """Start a group of voters."""
        self.now_s = 100.0
        self.random = random.Random(seed)
        self.packets: list[Packet] = []
        self.blocked_links: set[tuple[str, str]] = set()
        self.paused: set[str] = set()
        self.leaders: dict[int, str] = {}
        self.applied: dict[int, bytes] = {}
        self.states: dict[int, bytes] = {}
        self.acknowledged: dict[int, Command] = {}
        self.acknowledged_index = 0
        self.outcomes: dict[tuple[str, int], Outcome] = {}
        names = [f'c{number}' for number in range(count)]
        self.members = replication.create_initial_members(
            tuple((name, f'{name}:1') for name in names),
        )
        self.nodes = {
            member.name: FakeNode(member.name, self._create_disk(member))
            for member in self.members
        }
        for name in names:
            self.start(name)

    def _create_disk(self, member: Member) -> FakeDisk:
        return FakeDisk(
            HardState(0, '', member.member_id),
            Snapshot(0, 0, self.members, b''),
        )

    def start(
        self, name: str, kept_frames: int = 0, *, is_torn: bool = False
    ) -> None:
        """Start a stopped process from its disk."""
        node = self.nodes[name]
        durable = node.disk.recover(kept_frames, is_torn=is_torn)
        node.replica = replication.create_replica(
            SETTINGS,
            durable,
            self.now_s,
            self.random.getrandbits(32),
        )
        node.tables = ControlTables()
        if durable.snapshot.encoded:
            node.tables = decode_tables(durable.snapshot.encoded)
        node.pending_writes = PendingWrites()
        node.pending_proposals = {}
        node.reads = {}

    def kill(self, name: str) -> None:
        """Kill a process; its disk is kept."""
        self.nodes[name].replica = None

    def lose_disk(self, name: str) -> None:
        """Kill a process and replace its disk with an empty one."""
        self.kill(name)
        self.nodes[name].disk = FakeDisk(
            HardState(),
            Snapshot(0, 0, (), b''),
        )

    def has_untrusted_disk(self) -> bool:
        """Return whether any disk is empty or may lack entries."""
        return any(
            node.disk.hard.is_incomplete or not node.disk.hard.member_id
            for node in self.nodes.values()
        )

    def list_leaders(self) -> list[FakeNode]:
        """Return the processes in the leader role, latest term last."""
        leaders = [
            node
            for node in self.nodes.values()
            if node.replica is not None and node.replica.role is Role.leader
        ]
        return sorted(leaders, key=_get_term)

    def propose(self, name: str, command: Command) -> bool:
        """Propose a command through a process."""
        node = self.nodes[name]
        if node.replica is None:
            return False
        payload = msgspec.msgpack.encode(command)
        index = replication.propose(node.replica, payload, self.now_s)
        if isinstance(index, StepError):
            return False
        node.pending_proposals[index] = (node.replica.hard.term, index)
        self.cycle(name)
        return True

    def read(self, name: str, read_id: int) -> None:
        """Request a linearizable read from a process."""
        node = self.nodes[name]
        if node.replica is None:
            return
        error = replication.request_read(node.replica, read_id, self.now_s)
        if error is None:
            node.reads[read_id] = self.acknowledged_index
        self.cycle(name)

    def tick(self, name: str) -> None:
        """Run the timers of a process at the current time."""
        node = self.nodes[name]
        if node.replica is not None:
            replication.handle_tick(node.replica, self.now_s)
            self.cycle(name)

    def deliver(self, position: int, *, is_duplicate: bool = False) -> None:
        """Deliver the message at a position, in any order."""
        packet = self.packets[position]
        if not is_duplicate:
            self.packets.pop(position)
        self._deliver_packet(packet)

    def _deliver_packet(self, packet: Packet) -> None:
        node = self.nodes.get(packet.target)
        if node is None or node.replica is None:
            return
        if (packet.source, packet.target) in self.blocked_links:
            return
        replication.handle_message(node.replica, packet.message, self.now_s)
        self.cycle(packet.target)

    def cycle(self, name: str) -> None:
        """Run the production cycle; the process may crash in it."""
        node = self.nodes[name]
        replica = node.replica
        if replica is None:
            return
        try:
            result = replication.run_cycle(
                replica,
                node.pending_writes,
                node.disk,
                lambda messages: self._send(node, messages),
                self.now_s,
            )
        except CrashError:
            node.replica = None
            return
        if result.installed_snapshot is not None:
            node.tables = decode_tables(result.installed_snapshot.encoded)
        for entry in result.committed_entries:
            self._apply(node, entry)
        for read_id in result.reads:
            required_index = node.reads.pop(read_id)
            assert node.tables.applied_index >= required_index, 'stale read'
        for read_id in result.failed_reads:
            node.reads.pop(read_id, None)
        self._check_leader(node)

    def _send(
        self,
        node: FakeNode,
        messages: list[ReplicationMessage],
    ) -> None:
        for message in messages:
            target = message.receiver.rpartition('.')[0]
            if (node.name, target) not in self.blocked_links:
                self.packets.append(Packet(node.name, target, message))

    def _apply(self, node: FakeNode, entry: LogEntry) -> None:
        recorded = self.applied.setdefault(entry.index, entry.payload)
        assert recorded == entry.payload, 'two entries at one index'
        assert entry.index == node.tables.applied_index + 1, (
            'gap in the applied entries'
        )
        node.tables.applied_index = entry.index
        proposal = node.pending_proposals.pop(entry.index, None)
        if not entry.payload:
            return
        command = _COMMANDS.decode(entry.payload)
        outcome = apply_command(node.tables, entry.index, command)
        key = (command.session, command.sequence)
        first_outcome = self.outcomes.setdefault(key, outcome)
        assert first_outcome == outcome, (
            'a repeated command got a different outcome'
        )
        encoded = encode_tables(node.tables)
        recorded = self.states.setdefault(entry.index, encoded)
        assert recorded == encoded, 'replicas differ'
        revision = node.tables.configuration.revision
        if proposal is not None and proposal[0] == entry.term:
            self.acknowledged[entry.index] = command
            self.acknowledged_index = max(
                self.acknowledged_index,
                entry.index,
            )
        node.highest_revision = max(node.highest_revision, revision)

    def _check_leader(self, node: FakeNode) -> None:
        replica = node.replica
        if replica is None or replica.role is not Role.leader:
            return
        member_id = replica.hard.member_id
        recorded = self.leaders.setdefault(replica.hard.term, member_id)
        assert recorded == member_id, 'two leaders in one term'

    def compact(self, name: str) -> None:
        """Write a snapshot on a process."""
        node = self.nodes[name]
        if node.replica is None or node.pending_writes.batches:
            return
        encoded = encode_tables(node.tables)
        applied = node.tables.applied_index
        try:
            replication.compact(node.replica, node.disk, encoded, applied)
        except CrashError:
            node.replica = None
        except OSError:
            return

    def run(self, steps: int, loss: float = 0.0) -> None:
        """Advance time and deliver messages, losing a share of them."""
        for _ in range(steps):
            self.now_s += TICK_S
            for name in self.nodes:
                if name not in self.paused:
                    self.tick(name)
            for _ in range(3):
                self._deliver_batch(loss)

    def _deliver_batch(self, loss: float) -> None:
        batch = self.packets
        self.packets = []
        for packet in batch:
            if packet.target in self.paused:
                self.packets.append(packet)
            elif self.random.random() >= loss:
                self._deliver_packet(packet)

    def end_faults(self) -> None:
        """End all faults and run until the cluster is stable."""
        self.blocked_links = set()
        self.paused = set()
        for node in self.nodes.values():
            node.disk.is_full = False
            node.disk.crash_in = 0
            if node.replica is None:
                self.start(node.name)
        self.run(RECOVERY_STEPS)

    def check_acknowledged(self) -> None:
        """Check that no acknowledged command is lost."""
        leaders = self.list_leaders()
        assert leaders, 'no leader after all faults ended'
        tables = leaders[-1].tables
        assert tables.applied_index >= self.acknowledged_index, (
            'acknowledged entries lost'
        )
        for index, command in self.acknowledged.items():
            assert self.applied[index] == msgspec.msgpack.encode(command)


def _get_term(node: FakeNode) -> int:
    return node.replica.hard.term if node.replica is not None else 0
