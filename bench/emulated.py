"""Many workers emulated by one light process, to load a leader.

Each emulated worker sends real heartbeats and takes real orders with the
guard's own code; only the agent is replaced by an instant one.
"""

import threading
import time

from bench.deployments import Address
from cumintack.coordination.worker_tasks import (
    WorkerTasks,
    apply_orders,
    create_reports,
    list_held_attempts,
    record_worker_report,
)
from cumintack.daemon.node import Node
from cumintack.daemon.settings import PeerSettings, Settings
from cumintack.protocol.messages import Message, WorkerOrders, WorkerStatus
from cumintack.protocol.worker_actions import HeldAttempt, StartAttempt
from cumintack.state.configuration import Configuration
from cumintack.state.resources import ZERO_RESOURCES, Resources
from cumintack.state.workers import WorkerSpec
from cumintack.transport.clock import SystemClock
from cumintack.transport.http_server import find_free_port

HOLDS = Resources(32000, 128000)


class EmulatedWorkers:
    """A part of a process that stands for many guards."""

    __slots__ = (
        '_by_sent_at',
        '_guards',
        '_interval_s',
        '_next',
        '_node',
        '_specs',
        '_thread',
        'answers',
        'sent',
        'started',
    )

    def __init__(
        self,
        controls: list[Address],
        count: int,
        interval_s: float,
    ) -> None:
        """Prepare ``count`` workers that report every ``interval_s``."""
        settings = Settings(
            f'emulated-{find_free_port()}',
            'north-yard',
            f'127.0.0.1:{find_free_port()}',
            tuple(
                PeerSettings(control.name, control.link) for control in controls
            ),
        )
        self._node = Node(settings, SystemClock(), None)
        self._node.components.append(self)
        self._interval_s = interval_s
        self._next = 0
        self._specs = [
            WorkerSpec(
                f'em{number}',
                'north-yard',
                f'rack{number // 20}',
                HOLDS,
            )
            for number in range(count)
        ]
        self._guards = [WorkerTasks(spec.name) for spec in self._specs]
        self._by_sent_at: dict[float, int] = {}
        self.sent = 0
        self.answers = 0
        self.started = 0
        self._thread = threading.Thread(target=self._node.run)

    def start(self) -> None:
        """Start to report."""
        self._node.start()
        self._thread.start()

    def stop(self) -> None:
        """Stop to report."""
        self._node.post(self._node.begin_stop)
        self._thread.join(timeout=5)

    def get_bytes(self) -> tuple[int, int]:
        """Return the bytes sent and received so far."""
        counters = self._node.links.counters
        return (counters.bytes_sent, counters.bytes_received)

    def handle(self, sender: str, message: Message) -> bool:
        """Take the orders for one of the workers."""
        if not isinstance(message, WorkerOrders):
            return False
        number = self._by_sent_at.pop(message.echoed_sent_at_s, None)
        if number is None:
            return True
        self.answers += 1
        guard = self._guards[number]
        for action in apply_orders(guard, message, time.monotonic()):
            if isinstance(action, StartAttempt):
                order = action.order
                key = (order.task_id, order.attempt)
                guard.held[key] = HeldAttempt(*key, 'running')
                self.started += 1
        return True

    def tick(self, now_s: float) -> None:
        """Send the heartbeats that are due, spread over the interval."""
        leader = self._node.calls.leader
        if not leader:
            return
        per_s = len(self._specs) / self._interval_s
        due = int(now_s * per_s)
        if not self._next or due - self._next > len(self._specs):
            self._next = due
        while self._next < due:
            self._next += 1
            self._report(leader, self._next % len(self._specs))

    def _report(self, leader: str, number: int) -> None:
        guard = self._guards[number]
        record_worker_report(guard, list(guard.held.values()))
        sent_at_s = time.monotonic()
        guard.sent_at_s = sent_at_s
        guard.is_answered = False
        self._by_sent_at[sent_at_s] = number
        self.sent += 1
        self._node.send(
            leader,
            WorkerStatus(
                self._specs[number],
                'i1',
                sent_at_s,
                create_reports(guard),
                list_held_attempts(guard),
                ZERO_RESOURCES,
                1.0,
                is_reachable=True,
            ),
        )

    def apply_configuration(self, configuration: Configuration) -> None:
        """Ignore the configuration."""

    def begin_stop(self) -> None:
        """Stop at once."""

    def is_idle(self) -> bool:
        """Return whether the process may stop."""
        return True

    def close(self) -> None:
        """Close nothing."""
