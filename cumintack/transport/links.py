"""Links between processes over ZeroMQ.

A process listens on one ROUTER socket and dials each known peer with one
DEALER socket; answers are sent over the connection on which the peer dialled.
A dialled link whose probes remain unanswered is closed and redialled, because
a middlebox may have lost the state of the connection while new connections
work.
"""

import collections
from collections.abc import Callable

import structlog
import zmq
from result import Err, Ok
from zmq.auth.thread import ThreadAuthenticator

from cumintack.protocol.codec import (
    MAX_MESSAGE_BYTES,
    PROTOCOL_VERSION,
    Envelope,
    decode_envelope,
    encode_envelope,
)
from cumintack.protocol.messages import Message, Ping, Pong
from cumintack.state.errors import format_error
from cumintack.state.events import (
    EventBuffer,
    advance_timestamp,
    merge_timestamp,
)
from cumintack.transport.addresses import is_address
from cumintack.transport.clock import Clock, get_wall_ms
from cumintack.transport.keys import LinkKeys, secure_client, secure_server

PING_INTERVAL_S = 0.3
SILENCE_TIMEOUT_S = 0.8
HIGH_WATER_MARK = 20000
MAX_RECEIVED_PER_POLL = 512
MAX_ROUTES = 20000

Receiver = Callable[[Envelope], None]

logger = structlog.get_logger()


class LinkCounters:
    """Counters of the traffic over the links of a process."""

    __slots__ = (
        'bytes_received',
        'bytes_sent',
        'dropped',
        'malformed',
        'received',
        'redialled',
        'sent',
    )

    def __init__(self) -> None:
        """Create counters that are all zero."""
        self.sent = 0
        self.received = 0
        self.bytes_sent = 0
        self.bytes_received = 0
        self.dropped = 0
        self.malformed = 0
        self.redialled = 0


class DialledLink:
    """A socket that is connected to one peer."""

    __slots__ = (
        'address',
        'dialled_at_s',
        'last_received_at_s',
        'peer',
        'pinged_at_s',
        'socket',
    )

    def __init__(
        self,
        peer: str,
        address: str,
        socket: zmq.Socket[bytes],
        now_s: float,
    ) -> None:
        """Create a link that counts as alive at ``now_s``."""
        self.peer = peer
        self.address = address
        self.socket = socket
        self.last_received_at_s = now_s
        self.dialled_at_s = now_s
        self.pinged_at_s = float('-inf')


class Links:
    """All links of one process; used only by its event loop thread."""

    __slots__ = (
        '_authenticator',
        '_clock',
        '_context',
        '_dialled',
        '_incarnation',
        '_keys',
        '_name',
        '_poller',
        '_events',
        '_router',
        '_routes',
        'counters',
        'on_peer_reconnected',
    )

    def __init__(
        self,
        name: str,
        incarnation: str,
        clock: Clock,
        events: EventBuffer,
        keys: LinkKeys | None,
    ) -> None:
        """Create the links of a process, without listening yet."""
        self._name = name
        self._incarnation = incarnation
        self._clock = clock
        self._events = events
        self._keys = keys
        self._context = zmq.Context()
        self._authenticator: ThreadAuthenticator | None = None
        self._poller = zmq.Poller()
        self._router: zmq.Socket[bytes] | None = None
        self._dialled: dict[str, DialledLink] = {}
        self._routes: collections.OrderedDict[str, bytes] = (
            collections.OrderedDict()
        )
        self.counters = LinkCounters()
        self.on_peer_reconnected: Callable[[str], None] | None = None

    def listen(self, address: str) -> None:
        """Listen for peers on ``host:port``."""
        router = self._context.socket(zmq.ROUTER)
        _set_options(router)
        router.setsockopt(zmq.ROUTER_HANDOVER, 1)
        router.setsockopt(zmq.ROUTER_MANDATORY, 1)
        if self._keys:
            self._authenticator = secure_server(
                self._context,
                router,
                self._keys,
            )
        router.bind(f'tcp://{address}')
        self._router = router
        self._poller.register(router, zmq.POLLIN)

    def watch(self, descriptor: int) -> None:
        """Make ``receive`` return when a file descriptor is readable."""
        self._poller.register(descriptor, zmq.POLLIN)

    def dial(self, peer: str, address: str) -> None:
        """Dial a peer, or redial it if its address changed."""
        link = self._dialled.get(peer)
        if link is not None:
            if link.address == address:
                return
            self.disconnect(peer)
        socket = self._context.socket(zmq.DEALER)
        _set_options(socket)
        if self._keys:
            secure_client(socket, self._keys)
        if not _connect(socket, peer, address):
            return
        self._poller.register(socket, zmq.POLLIN)
        now_s = self._clock.now_s()
        self._dialled[peer] = DialledLink(peer, address, socket, now_s)

    def disconnect(self, peer: str) -> None:
        """Close the link dialled to a peer."""
        link = self._dialled.pop(peer)
        self._poller.unregister(link.socket)
        link.socket.close(linger=0)

    def get_peers(self) -> list[str]:
        """Return the names of the dialled peers."""
        return list(self._dialled)

    def get_silence_s(self, peer: str) -> float:
        """Return the time since the last message from a dialled peer."""
        link = self._dialled.get(peer)
        if link is None:
            return 0
        return self._clock.now_s() - link.last_received_at_s

    def send(self, peer: str, message: Message) -> bool:
        """Send a message; return false if there is no link or it is full."""
        encoded = self._try_encode(peer, message)
        if not encoded or not self._send_encoded(peer, encoded):
            self.counters.dropped += 1
            return False
        self.counters.sent += 1
        self.counters.bytes_sent += len(encoded)
        return True

    def _try_encode(self, peer: str, message: Message) -> bytes:
        """Encode a message; drop one that holds what can't be encoded.

        A lost message only causes a delay, an exception ends the process.
        """
        try:
            return self._encode(message)
        except (OverflowError, ValueError, RecursionError) as error:
            logger.error(
                'links: message not encodable',
                kind=type(message).__name__,
                peer=peer,
                error=str(error),
            )
            return b''

    def _encode(self, message: Message) -> bytes:
        events = self._events
        events.stamp = advance_timestamp(events.stamp, get_wall_ms(self._clock))
        return encode_envelope(
            Envelope(
                PROTOCOL_VERSION,
                self._name,
                self._incarnation,
                events.stamp,
                message,
            ),
        )

    def _send_encoded(self, peer: str, encoded: bytes) -> bool:
        link = self._dialled.get(peer)
        try:
            if link is not None:
                link.socket.send(encoded, zmq.NOBLOCK)
                return True
            identity = self._routes.get(peer)
            if identity is None or self._router is None:
                return False
            self._router.send_multipart((identity, encoded), zmq.NOBLOCK)
        except zmq.ZMQError:
            return False
        return True

    def receive(self, timeout_s: float, receiver: Receiver) -> bool:
        """Wait for messages and pass them to a receiver.

        Args:
            timeout_s: Maximum time to wait.
            receiver: Called with each envelope.

        Returns:
            Whether a watched file descriptor is readable.
        """
        is_woken = False
        for socket, _event in self._poller.poll(int(timeout_s * 1000)):
            if socket is self._router:
                self._drain_router(receiver)
            elif isinstance(socket, zmq.Socket):
                self._drain_dialled(socket, receiver)
            else:
                is_woken = True
        return is_woken

    def _drain_router(self, receiver: Receiver) -> None:
        router = self._router
        if router is None:
            return
        for _ in range(MAX_RECEIVED_PER_POLL):
            try:
                frames = router.recv_multipart(zmq.NOBLOCK)
            except zmq.ZMQError:
                return
            envelope = self._decode(frames[-1])
            if envelope is None:
                continue
            self._update_route(envelope.sender, frames[0])
            if isinstance(envelope.message, Ping):
                self._answer_probe(frames[0], envelope.message)
            receiver(envelope)

    def _answer_probe(self, identity: bytes, ping: Ping) -> None:
        """Answer over the probed connection, not over the own dialled link."""
        encoded = self._encode(Pong(ping.number))
        router = self._router
        if router is None:
            return
        try:
            router.send_multipart((identity, encoded), zmq.NOBLOCK)
        except zmq.ZMQError:
            self.counters.dropped += 1

    def _update_route(self, sender: str, identity: bytes) -> None:
        previous = self._routes.get(sender)
        if previous == identity:
            return
        self._routes[sender] = identity
        if len(self._routes) > MAX_ROUTES:
            self._routes.popitem(last=False)
        if previous is not None and self.on_peer_reconnected:
            self.on_peer_reconnected(sender)

    def _drain_dialled(
        self,
        socket: zmq.Socket[bytes],
        receiver: Receiver,
    ) -> None:
        for _ in range(MAX_RECEIVED_PER_POLL):
            try:
                encoded = socket.recv(zmq.NOBLOCK)
            except zmq.ZMQError:
                return
            envelope = self._decode(encoded)
            if envelope is None:
                continue
            link = self._dialled.get(envelope.sender)
            if link is not None and link.socket is socket:
                link.last_received_at_s = self._clock.now_s()
            receiver(envelope)
            if socket.closed:
                return

    def _decode(self, encoded: bytes) -> Envelope | None:
        self.counters.received += 1
        self.counters.bytes_received += len(encoded)
        match decode_envelope(encoded):
            case Ok(envelope):
                self._events.stamp = merge_timestamp(
                    self._events.stamp,
                    envelope.stamp,
                    get_wall_ms(self._clock),
                )
                return envelope
            case Err(error):
                self.counters.malformed += 1
                logger.warning(
                    'links: message dropped',
                    error=format_error(error),
                )
        return None

    def probe(self) -> None:
        """Probe links without recent messages, and redial silent ones."""
        now_s = self._clock.now_s()
        for link in list(self._dialled.values()):
            if (
                now_s - max(link.dialled_at_s, link.last_received_at_s)
                > SILENCE_TIMEOUT_S
            ):
                self._redial(link)
            elif now_s - max(link.pinged_at_s, link.last_received_at_s) >= (
                PING_INTERVAL_S
            ):
                link.pinged_at_s = now_s
                self.send(link.peer, Ping(0))

    def _redial(self, link: DialledLink) -> None:
        self.counters.redialled += 1
        logger.info('links: redialled silent link', peer=link.peer)
        self.disconnect(link.peer)
        self.dial(link.peer, link.address)
        # The new socket must not make a silent peer count as alive.
        self._dialled[link.peer].last_received_at_s = link.last_received_at_s
        if self.on_peer_reconnected:
            self.on_peer_reconnected(link.peer)

    def close(self, linger_s: float) -> None:
        """Close all links, sending queued messages for up to ``linger_s``."""
        linger_ms = int(linger_s * 1000)
        for link in self._dialled.values():
            link.socket.close(linger=linger_ms)
        if self._router is not None:
            self._router.close(linger=linger_ms)
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.term()


def _connect(socket: zmq.Socket[bytes], peer: str, address: str) -> bool:
    """Connect a socket, or close it if the address is none."""
    try:
        if not is_address(address):
            raise ValueError('not host:port')
        socket.connect(f'tcp://{address}')
    except (zmq.ZMQError, ValueError) as error:
        socket.close(linger=0)
        logger.warning(
            'links: peer not dialled',
            peer=peer,
            address=address,
            error=str(error),
        )
        return False
    return True


def _set_options(socket: zmq.Socket[bytes]) -> None:
    socket.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK)
    socket.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.IMMEDIATE, 0)
    socket.setsockopt(zmq.RECONNECT_IVL, 100)
    socket.setsockopt(zmq.RECONNECT_IVL_MAX, 1000)
    socket.setsockopt(zmq.CONNECT_TIMEOUT, 1000)
