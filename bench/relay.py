"""A loopback relay that delays, cuts, resets and forgets connections.

It stands between two processes of a deployment. On SIGUSR1 every connection
that is open then goes silent for good: its bytes vanish and nothing is
closed, while new connections work. A lost packet shows on a TCP connection
as a wait for its repetition, so loss is given as a share of delayed chunks.
"""

import asyncio
import pathlib
import random
import signal
from collections.abc import Callable, Coroutine

import click
import msgspec

CHUNK_BYTES = 65536
# Seconds between two looks whether a cut has healed.
HELD_POLL_S = 0.02


class Route(msgspec.Struct, frozen=True):
    """Where a listening address leads, with its one-way delay."""

    target: str
    delay_ms: float = 0.0


class RelayPlan(msgspec.Struct, frozen=True):
    """What a relay does.

    Attributes:
        routes: Routes by listening address.
        far_delay_ms: One-way delay between data centres.
        near_delay_ms: One-way delay within one.
        jitter_ms: Most that is added to it at random.
        loss_share: Share of chunks that wait for a repetition.
        repeat_ms: Length of that wait.
    """

    routes: dict[str, Route] = {}
    far_delay_ms: float = 0.0
    near_delay_ms: float = 0.0
    jitter_ms: float = 0.0
    loss_share: float = 0.0
    repeat_ms: float = 200.0


class Chunk(msgspec.Struct, frozen=True):
    """Bytes that are due at a time."""

    due_s: float
    payload: bytes


Acceptor = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter],
    Coroutine[None, None, None],
]


class RouteFaults(msgspec.Struct):
    """What is wrong with a route now.

    Attributes:
        delay_ms: Added to the delay of the route.
        is_cut_there: Whether bytes to the target are held back.
        is_cut_back: Whether bytes from the target are held back.
    """

    delay_ms: float = 0.0
    is_cut_there: bool = False
    is_cut_back: bool = False


class Channel:
    """One connection through the relay."""

    __slots__ = ('faults', 'is_forgotten', 'listen', 'writers')

    def __init__(
        self,
        listen: str,
        faults: RouteFaults,
        writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter],
    ) -> None:
        """Start as an ordinary connection."""
        self.listen = listen
        self.faults = faults
        self.writers = writers
        self.is_forgotten = False

    def abort(self) -> None:
        """Reset both sides."""
        for writer in self.writers:
            writer.transport.abort()


class Relay:
    """All routes of one relay process."""

    __slots__ = ('_channels', '_plan', '_random', 'faults')

    def __init__(self, plan: RelayPlan) -> None:
        """Prepare without listening."""
        self._plan = plan
        self._channels: list[Channel] = []
        self._random = random.Random(1)
        self.faults = {listen: RouteFaults() for listen in plan.routes}

    async def run(self) -> None:
        """Listen on all routes until the process is told to stop."""
        loop = asyncio.get_running_loop()
        stopped = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, stopped.set)
        loop.add_signal_handler(signal.SIGUSR1, self.forget)
        await self.listen()
        await stopped.wait()

    async def listen(self) -> None:
        """Listen on all routes."""
        starts = [
            self._start(listen, route)
            for listen, route in self._plan.routes.items()
        ]
        await asyncio.gather(*starts)

    async def _start(self, listen: str, route: Route) -> None:
        host, _, port = listen.rpartition(':')
        await asyncio.start_server(
            self._create_acceptor(listen, route),
            host,
            int(port),
        )

    def forget(self, listen: str = '') -> None:
        """Forget the open connections of a route, or of all."""
        for channel in self._list_live(listen):
            channel.is_forgotten = True

    def reset(self, listen: str) -> None:
        """Reset the open connections of a route."""
        for channel in self._list_live(listen):
            channel.abort()

    def abort(self) -> None:
        """End every connection that was ever opened, with all faults."""
        for faults in self.faults.values():
            faults.is_cut_there = False
            faults.is_cut_back = False
        for channel in self._channels:
            channel.abort()

    def _list_live(self, listen: str) -> list[Channel]:
        """List connections that are not forgotten, which stay silent."""
        return [
            channel
            for channel in self._channels
            if not channel.is_forgotten and listen in {'', channel.listen}
        ]

    def _create_acceptor(self, listen: str, route: Route) -> Acceptor:
        async def accept(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await self._accept(listen, route, reader, writer)

        return accept

    async def _accept(
        self,
        listen: str,
        route: Route,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        host, _, port = route.target.rpartition(':')
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host,
                int(port),
            )
        except OSError:
            writer.close()
            return
        channel = Channel(listen, self.faults[listen], (writer, far_writer))
        self._channels.append(channel)
        await asyncio.gather(
            self._pump(reader, far_writer, channel, route.delay_ms),
            self._pump(far_reader, writer, channel, route.delay_ms),
        )

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        channel: Channel,
        delay_ms: float,
    ) -> None:
        waiting: asyncio.Queue[Chunk | None] = asyncio.Queue()
        sender = asyncio.create_task(self._send(waiting, writer, channel))
        loop = asyncio.get_running_loop()
        due_s = 0.0
        while True:
            try:
                payload = await reader.read(CHUNK_BYTES)
            except OSError:
                payload = b''
            if not payload:
                break
            if channel.is_forgotten:
                continue
            whole_ms = delay_ms + channel.faults.delay_ms
            due_s = max(due_s, loop.time() + self._draw_delay_s(whole_ms))
            waiting.put_nowait(Chunk(due_s, payload))
        if channel.is_forgotten:
            sender.cancel()
            return
        waiting.put_nowait(None)
        await sender

    def _draw_delay_s(self, delay_ms: float) -> float:
        plan = self._plan
        delay_ms += plan.jitter_ms * self._random.random()
        if self._random.random() < plan.loss_share:
            delay_ms += plan.repeat_ms
        return delay_ms / 1000

    async def _send(
        self,
        waiting: asyncio.Queue[Chunk | None],
        writer: asyncio.StreamWriter,
        channel: Channel,
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            chunk = await waiting.get()
            if chunk is None:
                break
            wait_s = chunk.due_s - loop.time()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            while _is_held(channel, writer):
                await asyncio.sleep(HELD_POLL_S)
            try:
                writer.write(chunk.payload)
                await writer.drain()
            except OSError:
                break
        writer.close()


def _is_held(channel: Channel, writer: asyncio.StreamWriter) -> bool:
    if writer is channel.writers[0]:
        return channel.faults.is_cut_back
    return channel.faults.is_cut_there


@click.command()
@click.argument('plan_path', type=click.Path(path_type=pathlib.Path))
def main(plan_path: pathlib.Path) -> None:
    """Run the relay of a plan file."""
    plan = msgspec.json.decode(plan_path.read_bytes(), type=RelayPlan)
    asyncio.run(Relay(plan).run())


if __name__ == '__main__':
    main()
