"""Writers that send commands to the control replicas.

Each writer keeps one command in flight. It sets its own key on the condition
that the key is still at the version of its last successful write. A command
that was lost or applied twice breaks this chain of versions: the next write
fails with a conflict.
"""

import threading
import time

import msgspec

from bench.deployments import ProcessEndpoints
from cumintack.daemon.node import CallReply, Node
from cumintack.daemon.settings import PeerSettings, Settings
from cumintack.protocol.messages import Propose, Proposed
from cumintack.state.commands import (
    Command,
    ConfigurationChange,
    SetConfiguration,
)
from cumintack.transport.clock import SystemClock
from cumintack.transport.http_server import find_free_port

CALL_TIMEOUT_S = 60.0
STOP_WAIT_S = 70.0


class Writer(msgspec.Struct):
    """State of one writer.

    Attributes:
        number: Its number, part of the names of its key and session.
        sequence: Number of commands sent.
        version: Version of its key after its last successful write.
        chain_violations: Commands answered with an error, such as a version
            conflict after a lost or doubled command.
        unanswered: Commands without an answer within the timeout.
    """

    number: int
    sequence: int = 0
    version: int = 0
    chain_violations: int = 0
    unanswered: int = 0


class WriterGroup:
    """Writers that share one node without a role.

    Attributes:
        committed_at_s: Times at which successful writes were answered.
        latencies_us: Latencies of successful writes.
        prefix: Prefix of the keys, unique to the group.
        writers: The writers.
    """

    __slots__ = (
        '_is_stopping',
        '_limit',
        '_node',
        '_pause_s',
        '_sent_at_s',
        '_thread',
        'committed_at_s',
        'latencies_us',
        'prefix',
        'writers',
    )

    def __init__(
        self,
        controls: list[ProcessEndpoints],
        count: int,
        limit: int,
        pause_s: float = 0.0,
    ) -> None:
        """Create ``count`` writers that stop after ``limit`` commands."""
        peers = tuple(
            PeerSettings(control.name, control.link) for control in controls
        )
        settings = Settings(
            f'writers-{find_free_port()}',
            'north-yard',
            f'127.0.0.1:{find_free_port()}',
            peers,
        )
        self._node = Node(settings, SystemClock(), None)
        self._limit = limit
        self.prefix = f'r{time.monotonic_ns()}'
        self._pause_s = pause_s
        self._is_stopping = False
        self._sent_at_s: dict[int, float] = {}
        self.writers = [Writer(number) for number in range(count)]
        self.committed_at_s: list[float] = []
        self.latencies_us: list[int] = []
        self._thread = threading.Thread(
            target=self._node.run,
            daemon=True,
        )

    def start(self) -> None:
        """Start writing."""
        self._node.start()
        self._thread.start()
        for writer in self.writers:
            self._post_write(writer)

    def _post_write(self, writer: Writer) -> None:
        self._node.post(lambda: self._write(writer))

    def _write(self, writer: Writer) -> None:
        if self._is_stopping or len(self.committed_at_s) >= self._limit:
            return
        writer.sequence += 1
        self._sent_at_s[writer.number] = time.monotonic()
        change = ConfigurationChange(
            f'note.{self.prefix}w{writer.number}',
            writer.sequence,
            writer.version,
        )
        command = Command(
            f'{self._node.settings.name}.{writer.number}',
            writer.sequence,
            'bench',
            0,
            SetConfiguration((change,)),
        )
        self._node.call(
            lambda call_id: Propose(call_id, command),
            CALL_TIMEOUT_S,
            lambda reply: self._handle_reply(writer, reply),
        )

    def _handle_reply(self, writer: Writer, reply: CallReply | None) -> None:
        now_s = time.monotonic()
        took_s = now_s - self._sent_at_s[writer.number]
        if not isinstance(reply, Proposed) or reply.outcome is None:
            writer.unanswered += 1
        elif reply.outcome.error is not None:
            writer.chain_violations += 1
            writer.version = reply.outcome.error.version
        else:
            writer.version = reply.outcome.index
            self.committed_at_s.append(now_s)
            self.latencies_us.append(int(took_s * 1000000))
        if self._pause_s:
            timer = threading.Timer(
                self._pause_s,
                self._post_write,
                (writer,),
            )
            timer.start()
            return
        self._write(writer)

    def wait(self, timeout_s: float) -> None:
        """Wait until ``limit`` commands are committed, or until the timeout."""
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            if len(self.committed_at_s) >= self._limit:
                return
            time.sleep(0.01)

    def stop(self) -> None:
        """Stop writing and wait for the commands in flight."""
        self._is_stopping = True
        deadline_s = time.monotonic() + STOP_WAIT_S
        while self._node.calls.calls and time.monotonic() < deadline_s:
            time.sleep(0.05)
        self._node.post(self._node.begin_stop)
        self._thread.join(timeout=5)

    def find_longest_gap_s(self, from_s: float, until_s: float) -> float:
        """Find the longest time without a commit in an interval."""
        commits = [
            at_s for at_s in self.committed_at_s if from_s <= at_s <= until_s
        ]
        boundaries = [from_s, *commits, until_s]
        return max(
            later - earlier
            for earlier, later in zip(boundaries, boundaries[1:])
        )
