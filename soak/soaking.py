"""One run of the soak: a group, its workers and callers, and a plan."""

import pathlib
import threading
import time
from collections.abc import Callable

import msgspec

from cumintack.state.resources import Resources
from cumintack.transport.http_server import find_free_port
from soak import oracle
from soak.callers import Caller, Operator
from soak.group import Group
from soak.plan import (
    GUARD_NAMES,
    ROUTE_KINDS,
    WORKER_KINDS,
    Fault,
    draw_plan,
)
from soak.worker import SoakWorker

CALLERS = 4
CALLER_PAUSE_S = 0.15
OPERATOR_PAUSE_S = 0.4
# Seconds after the last fault within which everything accepted has to end;
# a lease may run for 10 s, a call be carried out 12 s late.
FINISH_S = 90.0
FOUNDING_S = 30.0
POLL_S = 0.3
HOLDS = Resources(12000, 12000)


class Outcome(msgspec.Struct, frozen=True):
    """What came of a run.

    Attributes:
        seed: Its seed.
        violations: Broken promises.
        accepted_count: Workflows accepted.
        start_count: Runs started.
        fault_count: Faults that struck.
        finish_s: How long what was open took to end after the last fault.
    """

    seed: int
    violations: tuple[oracle.Violation, ...]
    accepted_count: int
    start_count: int
    fault_count: int
    finish_s: float


class Soak:
    """Everything that one run consists of."""

    __slots__ = (
        '_callers',
        '_group',
        '_is_over',
        '_lock',
        '_operator',
        '_record',
        '_seed',
        '_threads',
        '_workers',
    )

    def __init__(self, folder: pathlib.Path, seed: int) -> None:
        """Start processes, workers and callers."""
        self._seed = seed
        self._is_over = threading.Event()
        self._lock = threading.RLock()
        self._record = oracle.Record({name: HOLDS for name in GUARD_NAMES})
        guards = {name: f'127.0.0.1:{find_free_port()}' for name in GUARD_NAMES}
        self._workers = {
            name: SoakWorker(name, address, self._record, self._lock, seed)
            for name, address in guards.items()
        }
        addresses = {
            name: worker.address for name, worker in self._workers.items()
        }
        self._group = Group(folder, addresses, guards, seed)
        self._group.start_all()
        self._operator = Operator(
            list(self._group.operators.values()),
            self._record,
            f'{seed}.operator',
        )
        self._callers = [
            Caller(
                list(self._group.entries.values()),
                self._record,
                self._lock,
                f'{seed}.caller.{number}',
            )
            for number in range(CALLERS)
        ]
        self._threads: list[threading.Thread] = []

    def run(self, length_s: float) -> Outcome:
        """Run the plan of the seed, and judge what was seen."""
        self._found()
        for caller in self._callers:
            self._repeat(caller.act, CALLER_PAUSE_S)
        self._repeat(self._operator.act, OPERATOR_PAUSE_S)
        plan = draw_plan(self._seed, length_s)
        self._strike_all(plan)
        self._is_over.set()
        for thread in self._threads:
            thread.join()
        self._group.heal()
        finish_s = self._finish()
        with self._lock:
            violations = oracle.judge_end(self._record)
        workflows = self._record.workflows.values()
        return Outcome(
            self._seed,
            tuple(violations),
            sum(workflow.is_accepted for workflow in workflows),
            self._record.start_count,
            len(plan),
            finish_s,
        )

    def _found(self) -> None:
        """Wait until the group has put the first queues in force."""
        until_s = time.monotonic() + FOUNDING_S
        while not self._record.acknowledged_version:
            if time.monotonic() > until_s:
                violation = oracle.Violation('found', 'group', 'no leader')
                self._record.violations.append(violation)
                return
            self._operator.act()
            time.sleep(POLL_S)

    def _repeat(self, act: Callable[[], None], pause_s: float) -> None:
        def repeat() -> None:
            while not self._is_over.wait(pause_s):
                act()

        thread = threading.Thread(target=repeat)
        thread.start()
        self._threads.append(thread)

    def _strike_all(self, plan: list[Fault]) -> None:
        begun_s = time.monotonic()
        events = sorted(
            (at_s, position, is_begin)
            for position, fault in enumerate(plan)
            for at_s, is_begin in (
                (fault.at_s, True),
                (fault.at_s + fault.for_s, False),
            )
        )
        for at_s, position, is_begin in events:
            time.sleep(max(0, begun_s + at_s - time.monotonic()))
            self._strike(plan[position], is_begin)

    def _strike(self, fault: Fault, is_begin: bool) -> None:
        if fault.kind in ROUTE_KINDS:
            self._group.relays.strike(
                fault.target,
                fault.kind,
                is_begin=is_begin,
            )
        elif fault.kind in WORKER_KINDS:
            _strike_worker(self._workers[fault.target], fault.kind, is_begin)
        else:
            self._group.strike(fault.target, fault.kind, is_begin=is_begin)

    def _finish(self) -> float:
        begun_s = time.monotonic()
        until_s = begun_s + FINISH_S
        while time.monotonic() < until_s:
            if not sum(caller.ask_open() for caller in self._callers):
                break
            time.sleep(POLL_S)
        while time.monotonic() < until_s and not self._operator.read():
            time.sleep(POLL_S)
        return time.monotonic() - begun_s

    def close(self) -> None:
        """End everything that this run started."""
        self._is_over.set()
        self._group.close()
        for worker in self._workers.values():
            worker.close()


def _strike_worker(worker: SoakWorker, kind: str, is_begin: bool) -> None:
    match kind:
        case 'crash' if is_begin:
            worker.crash()
        case 'drain' if is_begin:
            worker.drain()
        case 'late':
            worker.set_late(is_late=is_begin)
        case 'mute':
            worker.set_mute(is_mute=is_begin)


def run_seed(folder: pathlib.Path, seed: int, length_s: float) -> Outcome:
    """Run one seed in a folder.

    Args:
        folder: For settings, logs and data; empty.
        seed: The seed.
        length_s: How long faults strike.

    Returns:
        What came of it.
    """
    soak = Soak(folder, seed)
    try:
        return soak.run(length_s)
    finally:
        soak.close()
