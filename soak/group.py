"""The processes of a soak, the relay between them, and what strikes them."""

import asyncio
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import threading

import yaml

from bench.relay import Relay, RelayPlan, Route
from cumintack.transport.http_server import find_free_port
from soak.plan import CONTROL_NAMES, ENTRY_NAMES, GUARD_NAMES

STOP_TIMEOUT_S = 15.0
GRACE_S = 2
TORN_BYTES = 40
# Seconds in which aborted connections end; they need a few passes of a loop.
ABORT_S = 0.2


def _create_address() -> str:
    return f'127.0.0.1:{find_free_port()}'


class Relays:
    """A relay in a thread of its own, with one route for each replica."""

    __slots__ = ('_loop', '_relay', 'listens')

    def __init__(self, targets: dict[str, str]) -> None:
        """Listen in front of each target."""
        self.listens = {name: _create_address() for name in targets}
        routes = {
            self.listens[name]: Route(target)
            for name, target in targets.items()
        }
        self._loop = asyncio.new_event_loop()
        self._relay = Relay(RelayPlan(routes))
        threading.Thread(target=self._loop.run_forever, daemon=True).start()
        asyncio.run_coroutine_threadsafe(
            self._relay.listen(),
            self._loop,
        ).result()

    def strike(self, name: str, kind: str, *, is_begin: bool) -> None:
        """Begin or end a fault of the route to a replica."""
        self._loop.call_soon_threadsafe(
            self._strike,
            self.listens[name],
            kind,
            is_begin,
        )

    def close(self) -> None:
        """End every connection, and the thread."""
        asyncio.run_coroutine_threadsafe(self._close(), self._loop)

    async def _close(self) -> None:
        self._relay.abort()
        await asyncio.sleep(ABORT_S)
        self._loop.stop()

    def _strike(self, listen: str, kind: str, is_begin: bool) -> None:
        faults = self._relay.faults[listen]
        match kind:
            case 'delay':
                faults.delay_ms = 300 if is_begin else 0
            case 'cut':
                faults.is_forward_blocked = is_begin
                faults.is_return_blocked = is_begin
            case 'cut_there':
                faults.is_forward_blocked = is_begin
            case 'cut_back':
                faults.is_return_blocked = is_begin
            case 'reset' if is_begin:
                self._relay.reset(listen)
            case 'forget' if is_begin:
                self._relay.blackhole(listen)


class Group:
    """All processes of one run, ended by their ids."""

    __slots__ = (
        '_folder',
        '_links',
        '_paused',
        '_processes',
        '_rng',
        '_settings',
        'entries',
        'guards',
        'operators',
        'relays',
    )

    def __init__(
        self,
        folder: pathlib.Path,
        workers: dict[str, str],
        guards: dict[str, str],
        seed: int,
    ) -> None:
        """Write the settings; ``start`` starts the processes.

        Args:
            folder: For settings, logs and data.
            workers: Addresses of the workers, by their guards.
            guards: Addresses at which guards listen for their workers.
            seed: Seed of what is drawn while faults strike.
        """
        self._folder = folder
        self._rng = random.Random(seed)
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._paused: set[str] = set()
        self.entries = {name: _create_address() for name in ENTRY_NAMES}
        self.operators = {name: _create_address() for name in CONTROL_NAMES}
        self.guards = guards
        self._links = {name: _create_address() for name in CONTROL_NAMES}
        self.relays = Relays(self._links)
        self._settings = {
            name: self._create_control(name, is_first_start=True)
            for name in CONTROL_NAMES
        }
        for entry in ENTRY_NAMES:
            self._settings[entry] = self._create_entry(entry)
        for guard in GUARD_NAMES:
            self._settings[guard] = self._create_guard(guard, workers[guard])

    def _create_shared(self, name: str, link: str) -> dict[str, object]:
        return {
            'name': name,
            'data_centre': 'north-yard',
            'link_address': link,
            'control_replicas': [
                {'name': replica, 'address': listen}
                for replica, listen in self.relays.listens.items()
            ],
        }

    def _create_control(
        self,
        name: str,
        *,
        is_first_start: bool,
    ) -> dict[str, object]:
        control = {
            'data_folder': str(self._folder / name),
            'operator_address': self.operators[name],
            'is_first_start': is_first_start,
            'is_sync_trusted': True,
        }
        return {
            **self._create_shared(name, self._links[name]),
            'control': control,
        }

    def _create_entry(self, name: str) -> dict[str, object]:
        entry = {
            'http_address': self.entries[name],
            'readiness_address': _create_address(),
            'grace_s': GRACE_S,
        }
        shared = self._create_shared(name, _create_address())
        return {**shared, 'workflow_entry': entry}

    def _create_guard(self, name: str, worker: str) -> dict[str, object]:
        guard = {
            'http_address': self.guards[name],
            'worker_address': worker,
        }
        shared = self._create_shared(name, _create_address())
        return {**shared, 'workflow_guard': guard}

    def start_all(self) -> None:
        """Start every process."""
        for name in self._settings:
            self._start(name)

    def _start(self, name: str) -> None:
        path = self._folder / f'{name}.yaml'
        path.write_text(yaml.safe_dump(self._settings[name]))
        with (self._folder / f'{name}.log').open('ab') as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, '-m', 'cumintack.platform'],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={**os.environ, 'CUMINTACK_SETTINGS': str(path)},
            )

    def strike(self, name: str, kind: str, *, is_begin: bool) -> None:
        """Begin or end a fault of a process, or of all replicas."""
        match kind:
            case 'kill' | 'wipe' | 'torn' | 'kill_all':
                names = CONTROL_NAMES if kind == 'kill_all' else (name,)
                for struck in names:
                    self._down_or_up(struck, kind, is_begin)
            case 'pause':
                self._pause(name, is_begin)
            case 'stop' if is_begin:
                self._processes[name].terminate()
            case 'stop':
                self._end(name)
                self._start(name)

    def _down_or_up(self, name: str, kind: str, is_begin: bool) -> None:
        if is_begin:
            self._processes[name].kill()
            return
        self._end(name)
        data_folder = self._folder / name
        if kind == 'wipe':
            # A disk that is lost comes back empty, and is told so.
            shutil.rmtree(data_folder, ignore_errors=True)
            self._settings[name] = self._create_control(
                name,
                is_first_start=False,
            )
        elif kind == 'torn':
            self._tear(data_folder)
        self._start(name)

    def _tear(self, data_folder: pathlib.Path) -> None:
        """Add what a write that was cut off by a power loss leaves."""
        logs = sorted(data_folder.glob('*log*'))
        if logs:
            with logs[-1].open('ab') as log:
                log.write(self._rng.randbytes(TORN_BYTES))

    def _pause(self, name: str, is_begin: bool) -> None:
        process = self._processes[name]
        if process.poll() is None:
            process.send_signal(signal.SIGSTOP if is_begin else signal.SIGCONT)
        if is_begin:
            self._paused.add(name)
        else:
            self._paused.discard(name)

    def _end(self, name: str) -> None:
        process = self._processes[name]
        if process.poll() is None and name in self._paused:
            process.send_signal(signal.SIGCONT)
            self._paused.discard(name)
        if process.poll() is None:
            process.terminate()
        try:
            process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()

    def heal(self) -> None:
        """End every pause, and start what is down."""
        for name in list(self._paused):
            self._pause(name, is_begin=False)
        for name, process in self._processes.items():
            if process.poll() is not None:
                self._start(name)

    def close(self) -> None:
        """End every process that was started here."""
        for name, process in self._processes.items():
            if process.poll() is None and name in self._paused:
                process.send_signal(signal.SIGCONT)
            if process.poll() is None:
                process.kill()
        for ended in self._processes.values():
            ended.wait()
        self.relays.close()
