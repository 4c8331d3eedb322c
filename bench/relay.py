"""TCP relay that delays, blocks, resets and blackholes connections.

It forwards connections between processes of a deployment. On SIGUSR1 every
open connection is blackholed: its bytes are dropped from then on and nothing
is closed, while new connections work. Packet loss shows on a TCP connection
as the delay of a retransmission, so it is modelled as a share of chunks that
are delayed.
"""

import asyncio
import pathlib
import random
import signal
from collections.abc import Callable, Coroutine

import click
import msgspec

CHUNK_BYTES = 65536
# Interval at which a blocked connection is checked again.
BLOCKED_POLL_S = 0.02


class Route(msgspec.Struct, frozen=True):
    """Target of a listening address, and the one-way delay to it."""

    target: str
    delay_ms: float = 0.0


class RelayPlan(msgspec.Struct, frozen=True):
    """Routes and delays of a relay.

    Attributes:
        routes: Routes by listening address.
        far_delay_ms: One-way delay between data centres.
        near_delay_ms: One-way delay within a data centre.
        jitter_ms: Upper bound of the random delay added to each chunk.
        loss_share: Share of chunks delayed like a lost packet.
        repeat_ms: Retransmission delay of such a chunk.
    """

    routes: dict[str, Route] = {}
    far_delay_ms: float = 0.0
    near_delay_ms: float = 0.0
    jitter_ms: float = 0.0
    loss_share: float = 0.0
    repeat_ms: float = 200.0


class Chunk(msgspec.Struct, frozen=True):
    """Bytes to be delivered at a time."""

    due_s: float
    payload: bytes


ConnectionHandler = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter],
    Coroutine[None, None, None],
]


class RouteFaults(msgspec.Struct):
    """Faults injected into a route.

    Attributes:
        delay_ms: Delay added to that of the route.
        is_forward_blocked: Whether bytes to the target are withheld until
            the fault is cleared.
        is_return_blocked: The same for bytes from the target.
    """

    delay_ms: float = 0.0
    is_forward_blocked: bool = False
    is_return_blocked: bool = False


class RelayedConnection:
    """A connection through the relay, with one writer for each side."""

    __slots__ = ('faults', 'is_blackholed', 'listen_address', 'writers')

    def __init__(
        self,
        listen_address: str,
        faults: RouteFaults,
        writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter],
    ) -> None:
        """Start without being blackholed.

        Args:
            listen_address: Address that accepted the connection.
            faults: Faults of its route.
            writers: Writers to the client and to the target.
        """
        self.listen_address = listen_address
        self.faults = faults
        self.writers = writers
        self.is_blackholed = False

    def abort(self) -> None:
        """Abort both sides at once, without sending queued bytes."""
        for writer in self.writers:
            writer.transport.abort()


class Relay:
    """Forwards connections on all routes of a plan."""

    __slots__ = ('_connections', '_plan', '_random', 'faults')

    def __init__(self, plan: RelayPlan) -> None:
        """Create the routes without listening."""
        self._plan = plan
        self._connections: list[RelayedConnection] = []
        self._random = random.Random(1)
        self.faults = {
            listen_address: RouteFaults() for listen_address in plan.routes
        }

    async def run(self) -> None:
        """Listen on all routes until the process receives SIGTERM."""
        loop = asyncio.get_running_loop()
        stopped = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, stopped.set)
        loop.add_signal_handler(signal.SIGUSR1, self.blackhole)
        await self.listen()
        await stopped.wait()

    async def listen(self) -> None:
        """Listen on all routes."""
        starts = [
            self._start(listen_address, route)
            for listen_address, route in self._plan.routes.items()
        ]
        await asyncio.gather(*starts)

    async def _start(self, listen_address: str, route: Route) -> None:
        host, _, port = listen_address.rpartition(':')
        await asyncio.start_server(
            self._create_connection_handler(listen_address, route),
            host,
            int(port),
        )

    def blackhole(self, listen_address: str = '') -> None:
        """Blackhole the open connections of a route, or of all routes."""
        for connection in self._list_active(listen_address):
            connection.is_blackholed = True

    def reset(self, listen_address: str) -> None:
        """Abort the open connections of a route."""
        for connection in self._list_active(listen_address):
            connection.abort()

    def abort(self) -> None:
        """Abort every connection ever opened, and unblock all routes."""
        for faults in self.faults.values():
            faults.is_forward_blocked = False
            faults.is_return_blocked = False
        for connection in self._connections:
            connection.abort()

    def _list_active(self, listen_address: str) -> list[RelayedConnection]:
        """List connections; blackholed ones stay silent and are left out."""
        return [
            connection
            for connection in self._connections
            if not connection.is_blackholed
            and listen_address in {'', connection.listen_address}
        ]

    def _create_connection_handler(
        self, listen_address: str, route: Route
    ) -> ConnectionHandler:
        async def handle(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await self._handle_connection(listen_address, route, reader, writer)

        return handle

    async def _handle_connection(
        self,
        listen_address: str,
        route: Route,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        host, _, port = route.target.rpartition(':')
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host,
                int(port),
            )
        except OSError:
            writer.close()
            return
        connection = RelayedConnection(
            listen_address, self.faults[listen_address], (writer, target_writer)
        )
        self._connections.append(connection)
        await asyncio.gather(
            self._forward(reader, target_writer, connection, route.delay_ms),
            self._forward(target_reader, writer, connection, route.delay_ms),
        )

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: RelayedConnection,
        delay_ms: float,
    ) -> None:
        chunks: asyncio.Queue[Chunk | None] = asyncio.Queue()
        sender = asyncio.create_task(self._send(chunks, writer, connection))
        loop = asyncio.get_running_loop()
        due_s = 0.0
        while True:
            try:
                payload = await reader.read(CHUNK_BYTES)
            except OSError:
                payload = b''
            if not payload:
                break
            if connection.is_blackholed:
                continue
            total_delay_ms = delay_ms + connection.faults.delay_ms
            due_s = max(due_s, loop.time() + self._draw_delay_s(total_delay_ms))
            chunks.put_nowait(Chunk(due_s, payload))
        if connection.is_blackholed:
            sender.cancel()
            return
        chunks.put_nowait(None)
        await sender

    def _draw_delay_s(self, delay_ms: float) -> float:
        plan = self._plan
        delay_ms += plan.jitter_ms * self._random.random()
        if self._random.random() < plan.loss_share:
            delay_ms += plan.repeat_ms
        return delay_ms / 1000

    async def _send(
        self,
        chunks: asyncio.Queue[Chunk | None],
        writer: asyncio.StreamWriter,
        connection: RelayedConnection,
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            chunk = await chunks.get()
            if chunk is None:
                break
            wait_s = chunk.due_s - loop.time()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            while _is_blocked(connection, writer):
                await asyncio.sleep(BLOCKED_POLL_S)
            try:
                writer.write(chunk.payload)
                await writer.drain()
            except OSError:
                break
        writer.close()


def _is_blocked(
    connection: RelayedConnection, writer: asyncio.StreamWriter
) -> bool:
    if writer is connection.writers[0]:
        return connection.faults.is_return_blocked
    return connection.faults.is_forward_blocked


@click.command()
@click.argument('plan_path', type=click.Path(path_type=pathlib.Path))
def main(plan_path: pathlib.Path) -> None:
    """Run the relay of a plan file."""
    plan = msgspec.json.decode(plan_path.read_bytes(), type=RelayPlan)
    asyncio.run(Relay(plan).run())


if __name__ == '__main__':
    main()
