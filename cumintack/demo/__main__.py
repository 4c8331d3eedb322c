"""Demonstration: serves requests and runs a job in one process.

It uses built-in settings, and exits with status 0 only if every check in the
table that it prints at the end has passed.
"""

import pathlib
import sys
import tempfile
import threading
import time
from http import HTTPStatus

import click
import msgspec
from result import Err, Ok

from cumintack.cli.api import Api, AppliedCommand
from cumintack.cli.rendering import render_rows
from cumintack.coordination.querying import QueryResult
from cumintack.daemon.logs import configure_logging
from cumintack.daemon.node import Node
from cumintack.daemon.node_factory import create_node
from cumintack.daemon.settings import (
    AdminSettings,
    ControlSettings,
    EntrySettings,
    GuardSettings,
    PeerSettings,
    Settings,
)
from cumintack.demo.sample_upstream import Behaviour, SampleUpstream
from cumintack.demo.sample_worker import SampleWorker
from cumintack.state.resources import Resources
from cumintack.state.workers import WorkerSpec
from cumintack.transport.clock import SystemClock
from cumintack.transport.http_client import HttpClient
from cumintack.transport.http_server import find_free_port

NODE_NAME = 'demo-1'
DATA_CENTRE = 'north-yard'
SERVICE = 'rounds-desk'
HEALTH_PATH = '/admin/v1/health'
QUOTE_COUNT = 200
TASK_COUNT = 6
SLOTS = 8
WAIT_TIMEOUT_S = 20.0
POLL_S = 0.05
TIMEOUT_S = 5.0
WORK_MS = 2.0
ENTRY_THREADS = 16
WORKER_CORES_MILLI = 32000
WORKER_MEMORY_MB = 128000
MAX_ANSWER_BYTES = 65536


class Check(msgspec.Struct, frozen=True):
    """One row of the table of results."""

    name: str
    observed: str
    is_passed: bool


class Demo:
    """A node with a simulated upstream and a simulated worker agent."""

    __slots__ = (
        '_thread',
        'api',
        'entry_address',
        'node',
        'upstream',
        'worker',
    )

    def __init__(self, folder: pathlib.Path) -> None:
        """Start the node and the simulated services on loopback."""
        link, entry, guard = (find_free_port() for _ in range(3))
        self.entry_address = f'127.0.0.1:{entry}'
        guard_address = f'127.0.0.1:{guard}'
        self.worker = SampleWorker(
            '127.0.0.1:0',
            WorkerSpec(
                NODE_NAME,
                DATA_CENTRE,
                'rack-1',
                Resources(WORKER_CORES_MILLI, WORKER_MEMORY_MB),
            ),
        )
        self.worker.start()
        peer = PeerSettings(NODE_NAME, f'127.0.0.1:{link}')
        settings = Settings(
            NODE_NAME,
            DATA_CENTRE,
            peer.address,
            (peer,),
            (peer,),
            ControlSettings(str(folder)),
            EntrySettings(self.entry_address, threads=ENTRY_THREADS),
            GuardSettings(NODE_NAME, guard_address, self.worker.get_address()),
            AdminSettings(is_loopback_open=True),
        )
        self.node: Node = create_node(
            settings,
            SystemClock(),
            is_bootstrap=True,
        )
        self._thread = threading.Thread(target=self.node.run)
        self._thread.start()
        self.upstream = SampleUpstream(
            '127.0.0.1:0',
            guard_address,
            SERVICE,
            SLOTS,
            Behaviour(work_ms=WORK_MS),
        )
        self.upstream.start()
        self.api = Api((self.entry_address,), '')

    def stop(self) -> bool:
        """Stop gracefully; return whether the node stopped in time."""
        self.node.post(self.node.begin_stop)
        self._thread.join(timeout=WAIT_TIMEOUT_S)
        self.upstream.stop()
        self.worker.stop()
        return not self._thread.is_alive()

    def run(self, text: str) -> QueryResult | AppliedCommand | None:
        """Execute a statement; return None if it failed."""
        match self.api.execute(text):
            case Ok(outcome):
                return outcome
            case Err(_):
                return None

    def wait_ready(self) -> bool:
        """Wait until the entry has the current configuration."""
        client = HttpClient(self.entry_address, 1, MAX_ANSWER_BYTES)
        deadline_s = time.monotonic() + WAIT_TIMEOUT_S
        while time.monotonic() < deadline_s:
            sent = client.send('GET', HEALTH_PATH, {}, b'', TIMEOUT_S)
            if isinstance(sent, Ok) and sent.ok_value.status == HTTPStatus.OK:
                return True
            time.sleep(POLL_S)
        return False

    def wait_for_rows(self, text: str) -> QueryResult | None:
        """Repeat a query until it returns rows."""
        deadline_s = time.monotonic() + WAIT_TIMEOUT_S
        while time.monotonic() < deadline_s:
            found = self.run(text)
            if isinstance(found, QueryResult) and found.rows:
                return found
            time.sleep(POLL_S)
        return None


def send_quotes(demo: Demo, completed: list[int]) -> None:
    """Send quote checks in sequence and record the complete answers."""
    client = HttpClient(demo.entry_address, 1, MAX_ANSWER_BYTES)
    for number in range(QUOTE_COUNT):
        path = f'/services/{SERVICE}/quotes?id=q{number}'
        sent = client.send('GET', path, {}, b'', TIMEOUT_S)
        expected = b'{"answer_to":"q%d"}' % number
        if isinstance(sent, Ok) and sent.ok_value.body == expected:
            completed.append(number)
    client.close()


def run_checks(demo: Demo) -> list[Check]:
    """Serve quote checks, run a job, and check the results of both."""
    open_rows = demo.wait_for_rows(
        'select * from upstreams where is_open = true'
    )
    worker_rows = demo.wait_for_rows('select * from workers')
    checks = [
        Check('entry ready', 'yes', demo.wait_ready()),
        Check('upstream announced', SERVICE, open_rows is not None),
        Check('worker registered', NODE_NAME, worker_rows is not None),
    ]
    demo.run('team insurer cores_milli = 64000 memory_mb = 64000')
    submitted = demo.run(
        f'submit invoicing for insurer tasks = {TASK_COUNT} '
        'cores_milli = 2000 memory_mb = 1024 idempotent = false '
        'payload = "run_ms=600"',
    )
    completed: list[int] = []
    quotes = threading.Thread(target=send_quotes, args=(demo, completed))
    quotes.start()
    running = demo.wait_for_rows('select * from tasks where status = running')
    if running is not None:
        click.echo(render_rows(running, 'table'))
    finished = demo.wait_for_rows('select * from jobs where status = completed')
    quotes.join()
    for table in ('jobs', 'workers', 'upstreams'):
        rows = demo.run(f'select * from {table}')
        if isinstance(rows, QueryResult):
            click.echo(render_rows(rows, 'table'))
    checks.append(
        Check(
            'job accepted',
            str(submitted),
            isinstance(submitted, AppliedCommand),
        ),
    )
    checks.append(
        Check('tasks observed running', 'yes', running is not None),
    )
    checks.extend(check_ledgers(demo, len(completed)))
    checks.append(Check('job completed', 'yes', finished is not None))
    return checks


def check_ledgers(demo: Demo, completed_count: int) -> list[Check]:
    """Compare the answers with what the simulated services executed."""
    ledger = demo.worker.get_ledger()
    runs = demo.upstream.get_ledger()
    once = sum(1 for count in ledger.completed.values() if count == 1)
    return [
        Check(
            'quote checks answered completely',
            f'{completed_count} of {QUOTE_COUNT}',
            completed_count == QUOTE_COUNT,
        ),
        Check(
            'quote checks executed twice',
            str(runs.doubled),
            runs.doubled == 0 and len(runs.runs) == QUOTE_COUNT,
        ),
        Check(
            'tasks completed exactly once',
            f'{once} of {TASK_COUNT}',
            once == TASK_COUNT == len(ledger.completed),
        ),
        Check(
            'worker over capacity',
            str(ledger.overfull),
            ledger.overfull == 0,
        ),
    ]


def main() -> None:
    """Run the demonstration."""
    configure_logging('warning')
    with tempfile.TemporaryDirectory() as folder:
        demo = Demo(pathlib.Path(folder))
        checks = run_checks(demo)
        is_stopped = demo.stop()
    checks.append(
        Check('stopped gracefully', str(is_stopped), is_stopped),
    )
    rows = tuple(
        (check.name, check.observed, 'ok' if check.is_passed else 'FAILED')
        for check in checks
    )
    click.echo(
        render_rows(QueryResult(('check', 'observed', 'result'), rows), 'table')
    )
    sys.exit(0 if all(check.is_passed for check in checks) else 1)


if __name__ == '__main__':
    main()
