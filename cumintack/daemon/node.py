"""A process: its event loop and what its components share.

All state is owned by the loop thread. HTTP threads and the threads that call
upstreams post closures to the loop and wait for its answer. The components of
a process, one for each role, are called by the loop only.
"""

import collections
import contextlib
import pathlib
import secrets
import socket
import threading
from collections.abc import Callable
from typing import Protocol

import msgspec
import structlog

from cumintack.coordination.control_calls import (
    allocate_call_id,
    close_call,
    create_call_table,
    is_own_call,
    open_call,
    redirect_call,
    tick_calls,
    update_replicas,
)
from cumintack.coordination.effects import RecordEvent, Send
from cumintack.daemon.log_values import convert_to_ms
from cumintack.daemon.settings import PeerSettings, Settings, get_roles
from cumintack.protocol.codec import Envelope
from cumintack.protocol.messages import (
    ConfigurationPull,
    ConfigurationPush,
    Goodbye,
    Message,
    NodeStatus,
    NodeStatusReply,
    Propose,
    Proposed,
    QueryReply,
)
from cumintack.protocol.run_messages import WorkflowReply
from cumintack.protocol.timeline_messages import (
    TimelineReply,
    TimelineRequest,
)
from cumintack.state.configuration import (
    Configuration,
    compute_delta,
    merge_delta,
)
from cumintack.state.errors import ErrorCode
from cumintack.state.events import EventBuffer, get_events, record_event
from cumintack.transport.clock import Clock, get_wall_ms
from cumintack.transport.event_file import EventFile
from cumintack.transport.keys import LinkKeys
from cumintack.transport.links import LinkCounters, Links
from cumintack.transport.metrics import Metrics
from cumintack.transport.metrics_page import MetricsPage

# Longest wait of the loop while work with deadlines is in flight.
ACTIVE_WAIT_S = 0.01
# Longest wait of an idle loop. Messages and posted actions wake the loop, so
# this only delays probes and heartbeats, the most frequent of which is due
# every 0.1 s.
IDLE_WAIT_S = 0.1
STATUS_INTERVAL_S = 0.5
FLUSH_INTERVAL_S = 1.0
# Seconds that a stopping process waits until its last messages are sent. HTTP
# threads still read requests meanwhile, which nobody answers any more; callers
# resend requests whose connection is closed within 0.2 s of the last byte.
GOODBYE_LINGER_S = 0.05
# Messages of a process to itself that are handled in one loop iteration, so
# that they can't delay messages of other processes.
MAX_LOCAL_MESSAGES = 256
WAKE_READ_BYTES = 4096
# Seconds that all components must be idle before a stopping process exits.
IDLE_BEFORE_STOP_S = 0.2
# Seconds after the start after which a process that no leader has confirmed
# as current uses the latest configuration that any peer has reported.
LEADERLESS_START_S = 3.0
# Seconds without a known leader after which the settings are read again, as
# they may name other replicas by then; longer than an election.
LEADER_LOST_AFTER_S = 2.0

# Age in ms at which a proposal is dropped: nobody waits for its outcome any
# more, and what was decided on the strength of its absence is kept for longer.
# The hybrid clocks of two processes that talk differ by far less.
MAX_PROPOSAL_AGE_MS = 60000
# Seconds between two iterations of the loop above which the process has stood
# still.
MIN_PAUSE_S = 0.5
# Seconds after a pause within which requests are read that arrived during it.
PAUSE_BACKLOG_S = 0.25

CallReply = Proposed | QueryReply | WorkflowReply
CallHandler = Callable[[CallReply | None], None]
logger = structlog.get_logger()


class Pause(msgspec.Struct, frozen=True):
    """A time for which the process stood still."""

    duration_s: float = 0
    ended_at_s: float = float('-inf')


class Component(Protocol):
    """A component of a process: the implementation of one role.

    A component may also have a method ``handle_peer_reconnected(peer)``.
    """

    def handle(self, sender: str, message: Message) -> bool:
        """Handle a message; return false if it is not for this component."""

    def tick(self, now_s: float) -> None:
        """Do what is due; called in each loop iteration."""

    def apply_configuration(self, configuration: Configuration) -> None:
        """Use a newer configuration."""

    def begin_stop(self) -> None:
        """Stop accepting new work."""

    def is_idle(self) -> bool:
        """Return whether no work is in flight."""

    def close(self) -> None:
        """Release the resources of the component."""


class Node:
    """The event loop, links, metrics and configuration of a process.

    Attributes:
        settings: Settings of the process.
        clock: Its clock.
        incarnation: Random identifier of this run of the process.
        event_buffer: The latest timeline events.
        links: Links to other processes.
        metrics: Metrics of the process.
        configuration: The configuration in use.
        components: The components, one for each role.
        calls: Open calls to the leader.
        on_leader_lost: Called after a longer time without a known leader.
        is_configuration_current: Whether a leader has confirmed that the
            configuration is the latest, or none did in time after the start.
        queue_version: Version of the queue configuration whose pools the
            process knows, None if it needs no pools.
        highest_known_revision: Latest revision that any peer has reported.
    """

    __slots__ = (
        '_reply_handlers',
        '_alive_at_s',
        '_idle_deadline_s',
        '_is_stopping',
        '_is_waiting',
        '_started_at_s',
        '_local_messages',
        '_pause',
        '_posted_actions',
        '_sent_counts',
        '_next_status_at_s',
        '_event_file',
        '_metrics_page',
        '_next_flush_at_s',
        '_stop_deadline_s',
        '_wake_reader',
        '_wake_writer',
        'calls',
        'clock',
        'configuration',
        'incarnation',
        '_leader_term',
        '_leader_known_at_s',
        'on_leader_lost',
        'is_configuration_current',
        'queue_version',
        'highest_known_revision',
        'links',
        'metrics',
        'components',
        'event_buffer',
        'settings',
    )

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        keys: LinkKeys | None,
    ) -> None:
        """Create the process; nothing listens before ``start``."""
        self.settings = settings
        self.clock = clock
        self.incarnation = secrets.token_hex(6)
        self.event_buffer = EventBuffer(settings.name, settings.timeline_events)
        self.links = Links(
            settings.name,
            self.incarnation,
            clock,
            self.event_buffer,
            keys,
        )
        statsd = settings.statsd
        self.metrics = Metrics(
            statsd.host,
            statsd.port,
            f'{statsd.prefix}.{settings.name}',
        )
        self.configuration = Configuration()
        self.components: list[Component] = []
        names = [peer.name for peer in settings.control_replicas]
        self.calls = create_call_table(names, self.incarnation)
        self._event_file: EventFile | None = None
        self._metrics_page: MetricsPage | None = None
        if settings.log.events_file:
            path = pathlib.Path(settings.log.events_file)
            self._event_file = EventFile(path)
        self._reply_handlers: dict[int, CallHandler] = {}
        self._posted_actions: collections.deque[Callable[[], None]] = (
            collections.deque()
        )
        self._local_messages: collections.deque[Message] = collections.deque()
        sockets = socket.socketpair()
        self._wake_reader = sockets[0]
        self._wake_writer = sockets[1]
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)
        self._is_stopping = False
        self._is_waiting = False
        # Other threads read both, so that they are replaced as a whole.
        self._alive_at_s = clock.now_s()
        self._pause = Pause()
        self._started_at_s = clock.now_s()
        self._leader_known_at_s = clock.now_s()
        self._leader_term = 0
        self.on_leader_lost: Callable[[], None] | None = None
        self.is_configuration_current = False
        self.queue_version: int | None = None
        self.highest_known_revision = 0
        self._stop_deadline_s = 0.0
        self._idle_deadline_s = 0.0
        self._next_status_at_s = 0.0
        self._next_flush_at_s = 0.0
        self._sent_counts: dict[str, int] = {}

    def start(self) -> None:
        """Listen, and connect to the peers that the settings name."""
        self.links.listen(self.settings.link_address)
        self.links.watch(self._wake_reader.fileno())
        self.links.on_peer_reconnected = self._handle_peer_reconnected
        if self.settings.metrics_address:
            self._metrics_page = MetricsPage(
                self.settings.metrics_address,
                self.metrics,
            )
        for peer in self._list_configured_peers():
            if peer.name != self.settings.name:
                self.links.dial(peer.name, peer.address)

    def _list_configured_peers(self) -> list[PeerSettings]:
        peers = list(self.settings.control_replicas)
        if self.settings.guard or self.settings.entry:
            peers.extend(self.settings.entries)
        return peers

    def post(self, action: Callable[[], None]) -> None:
        """Run an action on the loop thread; may be called by any thread."""
        self._posted_actions.append(action)
        if self._is_waiting:
            with contextlib.suppress(BlockingIOError):
                self._wake_writer.send(b'\0')

    def send(self, peer: str, message: Message) -> bool:
        """Send a message to another process or to this one.

        Returns:
            Whether the message was queued for sending.
        """
        if peer == self.settings.name:
            self._local_messages.append(message)
            return True
        return self.links.send(peer, message)

    def send_all(self, sends: list[Send]) -> None:
        """Send messages in order."""
        for send in sends:
            self.send(send.peer, send.message)

    def record(self, effect: RecordEvent) -> None:
        """Record a timeline event and count it."""
        event = record_event(
            self.event_buffer,
            get_wall_ms(self.clock),
            effect.name,
            effect.subject,
            effect.detail,
        )
        if self._event_file is not None:
            self._event_file.append(event)
        self.metrics.count(effect.name)

    def call(
        self,
        create_message: Callable[[int], Message],
        timeout_s: float,
        on_reply: CallHandler,
    ) -> None:
        """Call the leader of the control group.

        Args:
            create_message: Creates the message with the call identifier.
            timeout_s: Timeout of the call.
            on_reply: Called once with the reply, or with None if the call
                timed out.
        """
        call_id = allocate_call_id(self.calls)
        self._reply_handlers[call_id] = on_reply
        now_s = self.clock.now_s()
        message = create_message(call_id)
        self.send_all(
            open_call(self.calls, call_id, message, timeout_s, now_s),
        )

    def begin_stop(self) -> None:
        """Stop accepting work, and exit once no work is in flight."""
        if self._is_stopping:
            return
        logger.info('node: stopping')
        self._is_stopping = True
        timeout_s = self.settings.drain_timeout_ms / 1000
        now_s = self.clock.now_s()
        self._stop_deadline_s = now_s + timeout_s
        self._idle_deadline_s = now_s + IDLE_BEFORE_STOP_S
        for component in self.components:
            component.begin_stop()

    def run(self) -> None:
        """Run the loop until the process has shut down gracefully."""
        while not self._is_finished():
            self._run_iteration()
        for component in self.components:
            component.close()
        for peer in self.links.get_peers():
            self.links.send(peer, Goodbye(self.settings.name))
        self.metrics.flush(self._sent_counts)
        self.links.close(GOODBYE_LINGER_S)
        if self._event_file is not None:
            self._event_file.close()
        if self._metrics_page is not None:
            # The server waits for its threads, which must not delay the exit:
            # requests that arrive meanwhile would be lost.
            page = self._metrics_page
            threading.Thread(target=page.close, daemon=True).start()
        logger.info('node: stopped')

    def _is_finished(self) -> bool:
        if not self._is_stopping:
            return False
        if self.clock.now_s() >= self._stop_deadline_s:
            logger.error('node: drain timeout, exiting with work in flight')
            return True
        is_idle = not self._posted_actions and all(
            component.is_idle() for component in self.components
        )
        now_s = self.clock.now_s()
        if not is_idle:
            self._idle_deadline_s = now_s + IDLE_BEFORE_STOP_S
        return is_idle and now_s >= self._idle_deadline_s

    def get_recent_pause_s(self) -> float:
        """Return for how long a request may have waited that is read now.

        Called by any thread.

        Returns:
            Seconds for which the process stood still until just now, 0 if it
            did not.
        """
        now_s = self.clock.now_s()
        silent_s = now_s - self._alive_at_s
        if silent_s >= MIN_PAUSE_S:
            return silent_s
        pause = self._pause
        is_recent = now_s - pause.ended_at_s < PAUSE_BACKLOG_S
        return pause.duration_s if is_recent else 0

    def _note_alive(self) -> None:
        now_s = self.clock.now_s()
        silent_s = now_s - self._alive_at_s
        if silent_s >= MIN_PAUSE_S:
            self._pause = Pause(silent_s, now_s)
            self.metrics.count('node.pause')
            logger.warning('node: stood still', for_ms=convert_to_ms(silent_s))
        self._alive_at_s = now_s

    def _run_iteration(self) -> None:
        self._note_alive()
        self._is_waiting = True
        is_woken = self.links.receive(self._get_wait_s(), self._receive)
        self._is_waiting = False
        if is_woken:
            with contextlib.suppress(BlockingIOError):
                self._wake_reader.recv(WAKE_READ_BYTES)
        posted = len(self._posted_actions)
        for _ in range(posted):
            self._posted_actions.popleft()()
        now_s = self.clock.now_s()
        self._tick(now_s)
        for component in self.components:
            component.tick(now_s)
        for _ in range(min(len(self._local_messages), MAX_LOCAL_MESSAGES)):
            self._handle(self.settings.name, self._local_messages.popleft())

    def _get_wait_s(self) -> float:
        """Return the longest time that the loop may block.

        Messages and posted actions wake the loop; it only has to run often
        while work with deadlines is in flight.
        """
        if self._posted_actions or self._local_messages:
            return 0
        is_idle = all(component.is_idle() for component in self.components)
        return IDLE_WAIT_S if is_idle else ACTIVE_WAIT_S

    def _receive(self, envelope: Envelope) -> None:
        if isinstance(envelope.message, Propose):
            age_ms = get_wall_ms(self.clock) - envelope.stamp.wall_ms
            if age_ms > MAX_PROPOSAL_AGE_MS:
                self.metrics.count('node.late-proposal')
                logger.warning(
                    'node: late proposal dropped',
                    peer=envelope.sender,
                    age_ms=age_ms,
                )
                return
        self._handle(envelope.sender, envelope.message)

    def _handle(self, sender: str, message: Message) -> None:
        match message:
            case Proposed() | QueryReply() | WorkflowReply():
                self._handle_reply(sender, message)
            case ConfigurationPush():
                self._handle_push(message)
            case ConfigurationPull():
                self._handle_pull(sender, message)
            case NodeStatusReply():
                self._handle_status_reply(sender, message)
            case TimelineRequest():
                events = get_events(
                    self.event_buffer, message.subject, message.limit
                )
                self.send(
                    sender,
                    TimelineReply(
                        message.call_id,
                        self.settings.name,
                        tuple(events),
                    ),
                )
            case _:
                for component in self.components:
                    if component.handle(sender, message):
                        return

    def _handle_reply(self, sender: str, message: CallReply) -> None:
        if not is_own_call(self.calls, message.call_id):
            self.metrics.count('node.foreign-answer')
            logger.info(
                'node: answer to a former process dropped',
                peer=sender,
                call=message.call_id,
                kind=type(message).__name__,
            )
            return
        now_s = self.clock.now_s()
        error = message.error
        if error is not None and error.code in {
            ErrorCode.not_leader,
            ErrorCode.unavailable,
        }:
            redirect_call(self.calls, message.call_id, message.leader, now_s)
            return
        if close_call(self.calls, message.call_id, sender) is None:
            return
        self._reply_handlers.pop(message.call_id)(message)

    def _handle_status_reply(
        self,
        sender: str,
        message: NodeStatusReply,
    ) -> None:
        if message.term < self._leader_term:
            return
        self._leader_term = message.term
        if message.is_leader:
            self.calls.leader = sender
        elif message.leader:
            self.calls.leader = message.leader
        self._update_replicas(message)
        for component in self.components:
            component.handle(sender, message)
        self.pull_if_newer(sender, message.revision)
        if message.is_leader and not self.is_configuration_current:
            self.is_configuration_current = (
                message.revision <= self.configuration.revision
            )

    def _update_replicas(self, message: NodeStatusReply) -> None:
        names = [member.name for member in message.members]
        removed = update_replicas(
            self.calls,
            names,
            is_complete=message.is_leader,
        )
        for name in removed:
            if name in self.links.get_peers():
                self.links.disconnect(name)
        for member in message.members:
            if member.name != self.settings.name:
                self.links.dial(member.name, member.address)

    def add_control_replicas(
        self, peers: tuple[PeerSettings, ...]
    ) -> list[str]:
        """Connect to the control replicas of newly read settings.

        Returns:
            Names of the replicas that were not known before.
        """
        known = set(self.calls.replicas)
        names = [peer.name for peer in peers]
        update_replicas(self.calls, names, is_complete=False)
        for peer in peers:
            if peer.name != self.settings.name:
                self.links.dial(peer.name, peer.address)
        return [name for name in names if name not in known]

    def _check_leader_lost(self, now_s: float) -> None:
        if self.calls.leader:
            self._leader_known_at_s = now_s
        elif now_s - self._leader_known_at_s >= LEADER_LOST_AFTER_S:
            self._leader_known_at_s = now_s
            logger.info('node: no leader known', tried=self.calls.replicas)
            if self.on_leader_lost is not None:
                self.on_leader_lost()

    def pull_if_newer(self, peer: str, revision: int) -> None:
        """Request the configuration from a peer that has a later revision."""
        self.highest_known_revision = max(self.highest_known_revision, revision)
        if revision > self.configuration.revision:
            self.send(peer, ConfigurationPull(self.configuration.revision))

    def _handle_pull(self, sender: str, message: ConfigurationPull) -> None:
        if self.configuration.revision > message.revision:
            changed = compute_delta(
                self.configuration,
                message.revision,
            )
            self.send(sender, ConfigurationPush(message.revision, changed))

    def _handle_push(self, message: ConfigurationPush) -> None:
        own = self.configuration
        if own.revision >= message.base_revision:
            self.apply_configuration(merge_delta(own, message.changed))

    def _check_configuration_current(self, now_s: float) -> None:
        waited_s = now_s - self._started_at_s
        if waited_s < LEADERLESS_START_S:
            return
        if self.configuration.revision >= self.highest_known_revision:
            logger.warning(
                'node: no leader confirmed the configuration, '
                'using the latest known revision',
            )
            self.is_configuration_current = True

    def apply_configuration(self, configuration: Configuration) -> None:
        """Use a configuration unless it is older than the present one."""
        if configuration.revision <= self.configuration.revision:
            return
        self.configuration = configuration
        self.record(
            RecordEvent('config.in_force', f'config/{configuration.revision}'),
        )
        for component in self.components:
            component.apply_configuration(configuration)

    def _handle_peer_reconnected(self, peer: str) -> None:
        for component in self.components:
            reconnected = getattr(component, 'handle_peer_reconnected', None)
            if reconnected is not None:
                reconnected(peer)

    def _tick(self, now_s: float) -> None:
        self.links.probe()
        if not self.is_configuration_current:
            self._check_configuration_current(now_s)
        call_tick = tick_calls(self.calls, now_s)
        self.send_all(call_tick.sends)
        for call_id in call_tick.expired:
            self._reply_handlers.pop(call_id)(None)
        self._check_leader_lost(now_s)
        if now_s >= self._next_status_at_s:
            self._next_status_at_s = now_s + STATUS_INTERVAL_S
            self._send_status()
        if now_s >= self._next_flush_at_s:
            self._next_flush_at_s = now_s + FLUSH_INTERVAL_S
            self._update_link_gauges()
            self.metrics.flush(self._sent_counts)

    def _update_link_gauges(self) -> None:
        counters = self.links.counters
        for name in LinkCounters.__slots__:
            self.metrics.gauge(f'links.{name}', getattr(counters, name))

    def _send_status(self) -> None:
        settings = self.settings
        status = NodeStatus(
            settings.name,
            get_roles(settings),
            settings.data_centre,
            self.configuration.revision,
            self.queue_version,
        )
        leader = self.calls.leader
        # Sent to all replicas, so that a new leader knows which processes to
        # inform of its election.
        for target in self.calls.replicas:
            if not self.send(target, status) and target == leader:
                self.calls.leader = ''
        if leader and self.links.get_silence_s(leader) > STATUS_INTERVAL_S * 2:
            self.calls.leader = ''
