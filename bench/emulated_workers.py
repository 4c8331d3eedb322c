"""Many workers emulated by one node, to load a leader.

Each emulated worker sends real heartbeats and applies real orders with the
code of a guard. Only the agent is replaced: tasks run as soon as they are
ordered.
"""

import threading
import time

from bench.deployments import ProcessEndpoints
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

WORKER_CAPACITY = Resources(32000, 128000)


class EmulatedWorkers:
    """A component of a node that acts for the guards of many workers.

    Attributes:
        answer_count: Heartbeats answered by the leader.
        heartbeat_count: Heartbeats sent.
        started_task_count: Task attempts started by order of the leader.
    """

    __slots__ = (
        '_worker_by_sent_at',
        '_worker_tasks',
        '_interval_s',
        '_next_heartbeat',
        '_node',
        '_specs',
        '_thread',
        'answer_count',
        'heartbeat_count',
        'started_task_count',
    )

    def __init__(
        self,
        controls: list[ProcessEndpoints],
        count: int,
        interval_s: float,
    ) -> None:
        """Create ``count`` workers with a heartbeat every ``interval_s``."""
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
        self._next_heartbeat = 0
        self._specs = [
            WorkerSpec(
                f'em{number}',
                'north-yard',
                f'rack{number // 20}',
                WORKER_CAPACITY,
            )
            for number in range(count)
        ]
        self._worker_tasks = [WorkerTasks(spec.name) for spec in self._specs]
        self._worker_by_sent_at: dict[float, int] = {}
        self.heartbeat_count = 0
        self.answer_count = 0
        self.started_task_count = 0
        self._thread = threading.Thread(target=self._node.run)

    def start(self) -> None:
        """Start sending heartbeats."""
        self._node.start()
        self._thread.start()

    def stop(self) -> None:
        """Stop sending heartbeats."""
        self._node.post(self._node.begin_stop)
        self._thread.join(timeout=5)

    def get_bytes(self) -> tuple[int, int]:
        """Return the bytes sent and received over links so far."""
        counters = self._node.links.counters
        return (counters.bytes_sent, counters.bytes_received)

    def handle(self, sender: str, message: Message) -> bool:
        """Apply the orders for one of the workers.

        Orders are matched to the worker by the echoed time of its heartbeat.
        """
        if not isinstance(message, WorkerOrders):
            return False
        number = self._worker_by_sent_at.pop(message.echoed_sent_at_s, None)
        if number is None:
            return True
        self.answer_count += 1
        worker_tasks = self._worker_tasks[number]
        for action in apply_orders(worker_tasks, message, time.monotonic()):
            if isinstance(action, StartAttempt):
                order = action.order
                key = (order.task_id, order.attempt)
                worker_tasks.held[key] = HeldAttempt(*key, 'running')
                self.started_task_count += 1
        return True

    def tick(self, now_s: float) -> None:
        """Send the heartbeats due; those of all workers are spread evenly."""
        leader = self._node.calls.leader
        if not leader:
            return
        rate_per_s = len(self._specs) / self._interval_s
        due_number = int(now_s * rate_per_s)
        if not self._next_heartbeat or due_number - self._next_heartbeat > len(
            self._specs
        ):
            self._next_heartbeat = due_number
        while self._next_heartbeat < due_number:
            self._next_heartbeat += 1
            self._send_heartbeat(
                leader, self._next_heartbeat % len(self._specs)
            )

    def _send_heartbeat(self, leader: str, number: int) -> None:
        worker_tasks = self._worker_tasks[number]
        record_worker_report(worker_tasks, list(worker_tasks.held.values()))
        sent_at_s = time.monotonic()
        worker_tasks.sent_at_s = sent_at_s
        worker_tasks.is_answered = False
        self._worker_by_sent_at[sent_at_s] = number
        self.heartbeat_count += 1
        self._node.send(
            leader,
            WorkerStatus(
                self._specs[number],
                'i1',
                sent_at_s,
                create_reports(worker_tasks),
                list_held_attempts(worker_tasks),
                ZERO_RESOURCES,
                1.0,
                is_reachable=True,
            ),
        )

    def apply_configuration(self, configuration: Configuration) -> None:
        """Ignore the configuration, which emulated workers don't use."""

    def begin_stop(self) -> None:
        """Do nothing; there is no work to finish."""

    def is_idle(self) -> bool:
        """Return True; the node can stop at any time."""
        return True

    def close(self) -> None:
        """Do nothing; no resource is held."""
