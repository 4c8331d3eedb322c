"""Processes of a soak run, the relay between them, and their faults."""

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
TORN_WRITE_BYTES = 40
# Seconds for aborted connections to close, which takes a few loop iterations.
ABORT_WAIT_S = 0.2


def _create_address() -> str:
    return f'127.0.0.1:{find_free_port()}'


class Relays:
    """Runs a relay in its own thread, with one route for each replica."""

    __slots__ = ('_loop', '_relay', 'listen_addresses')

    def __init__(self, targets: dict[str, str]) -> None:
        """Start listening in front of each target."""
        self.listen_addresses = {name: _create_address() for name in targets}
        routes = {
            self.listen_addresses[name]: Route(target)
            for name, target in targets.items()
        }
        self._loop = asyncio.new_event_loop()
        self._relay = Relay(RelayPlan(routes))
        threading.Thread(target=self._loop.run_forever, daemon=True).start()
        asyncio.run_coroutine_threadsafe(
            self._relay.listen(),
            self._loop,
        ).result()

    def apply_fault(self, name: str, kind: str, *, is_start: bool) -> None:
        """Start or end a fault of the route to a replica."""
        self._loop.call_soon_threadsafe(
            self._apply_fault,
            self.listen_addresses[name],
            kind,
            is_start,
        )

    def close(self) -> None:
        """Close every connection and stop the thread."""
        asyncio.run_coroutine_threadsafe(self._close(), self._loop)

    async def _close(self) -> None:
        self._relay.abort()
        await asyncio.sleep(ABORT_WAIT_S)
        self._loop.stop()

    def _apply_fault(
        self, listen_address: str, kind: str, is_start: bool
    ) -> None:
        faults = self._relay.faults[listen_address]
        match kind:
            case 'delay':
                faults.delay_ms = 300 if is_start else 0
            case 'cut':
                faults.is_forward_blocked = is_start
                faults.is_return_blocked = is_start
            case 'cut_there':
                faults.is_forward_blocked = is_start
            case 'cut_back':
                faults.is_return_blocked = is_start
            case 'reset' if is_start:
                self._relay.reset(listen_address)
            case 'forget' if is_start:
                self._relay.blackhole(listen_address)


class Group:
    """All processes of one run, each signalled by its own id."""

    __slots__ = (
        '_folder',
        '_link_addresses',
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
        """Create the settings; ``start_all`` starts the processes.

        Args:
            folder: Folder for settings, logs and data.
            workers: Addresses of the workers, by guard name.
            guards: Addresses on which guards listen for their workers.
            seed: Seed of random choices made while injecting faults.
        """
        self._folder = folder
        self._rng = random.Random(seed)
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._paused: set[str] = set()
        self.entries = {name: _create_address() for name in ENTRY_NAMES}
        self.operators = {name: _create_address() for name in CONTROL_NAMES}
        self.guards = guards
        self._link_addresses = {
            name: _create_address() for name in CONTROL_NAMES
        }
        self.relays = Relays(self._link_addresses)
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
                {'name': replica, 'address': address}
                for replica, address in self.relays.listen_addresses.items()
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
            **self._create_shared(name, self._link_addresses[name]),
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
            self._start_process(name)

    def _start_process(self, name: str) -> None:
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

    def apply_fault(self, name: str, kind: str, *, is_start: bool) -> None:
        """Start or end a fault of a process, or of all replicas."""
        match kind:
            case 'kill' | 'wipe' | 'torn' | 'kill_all':
                names = CONTROL_NAMES if kind == 'kill_all' else (name,)
                for target in names:
                    self._kill_or_restart(target, kind, is_start)
            case 'pause':
                self._pause(name, is_start)
            case 'stop' if is_start:
                self._processes[name].terminate()
            case 'stop':
                self._stop_process(name)
                self._start_process(name)

    def _kill_or_restart(self, name: str, kind: str, is_start: bool) -> None:
        if is_start:
            self._processes[name].kill()
            return
        self._stop_process(name)
        data_folder = self._folder / name
        if kind == 'wipe':
            # A lost disk comes back empty; the settings say that this is not
            # the first start of the replica.
            shutil.rmtree(data_folder, ignore_errors=True)
            self._settings[name] = self._create_control(
                name,
                is_first_start=False,
            )
        elif kind == 'torn':
            self._append_torn_write(data_folder)
        self._start_process(name)

    def _append_torn_write(self, data_folder: pathlib.Path) -> None:
        """Append garbage, as a write interrupted by a power loss leaves it."""
        logs = sorted(data_folder.glob('*log*'))
        if logs:
            with logs[-1].open('ab') as log:
                log.write(self._rng.randbytes(TORN_WRITE_BYTES))

    def _pause(self, name: str, is_start: bool) -> None:
        process = self._processes[name]
        if process.poll() is None:
            process.send_signal(signal.SIGSTOP if is_start else signal.SIGCONT)
        if is_start:
            self._paused.add(name)
        else:
            self._paused.discard(name)

    def _stop_process(self, name: str) -> None:
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

    def restore(self) -> None:
        """Resume paused processes and start those that are down."""
        for name in list(self._paused):
            self._pause(name, is_start=False)
        for name, process in self._processes.items():
            if process.poll() is not None:
                self._start_process(name)

    def close(self) -> None:
        """Kill every process of the run and wait for it."""
        for name, process in self._processes.items():
            if process.poll() is None and name in self._paused:
                process.send_signal(signal.SIGCONT)
            if process.poll() is None:
                process.kill()
        for ended in self._processes.values():
            ended.wait()
        self.relays.close()
