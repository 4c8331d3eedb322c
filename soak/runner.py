"""One soak run: processes, simulated workers, callers and a fault plan."""

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
    DATA_CENTRES,
    GUARD_NAMES,
    ROUTE_FAULTS,
    WORKER_FAULTS,
    Fault,
    draw_plan,
)
from soak.worker import SoakWorker

CALLERS = 4
CALLER_PAUSE_S = 0.15
OPERATOR_PAUSE_S = 0.4
# Seconds after the last fault within which every accepted workflow must end;
# a lease may last 10 s, and a call may be executed 12 s late.
FINISH_TIMEOUT_S = 90.0
STARTUP_TIMEOUT_S = 30.0
POLL_S = 0.3
WORKER_CAPACITY = Resources(12000, 12000)


class Outcome(msgspec.Struct, frozen=True):
    """Result of a run.

    Attributes:
        seed: Seed of the run.
        violations: Violated invariants.
        accepted_count: Number of workflows accepted.
        start_count: Number of task runs started.
        fault_count: Number of faults injected.
        finish_s: Seconds from the last fault until the open workflows ended.
    """

    seed: int
    violations: tuple[oracle.Violation, ...]
    accepted_count: int
    start_count: int
    fault_count: int
    finish_s: float


class SoakRun:
    """Processes, workers, callers and history of one run."""

    __slots__ = (
        '_callers',
        '_group',
        '_history',
        '_is_finished',
        '_lock',
        '_operator',
        '_seed',
        '_threads',
        '_workers',
    )

    def __init__(self, folder: pathlib.Path, seed: int) -> None:
        """Start processes, workers and callers."""
        self._seed = seed
        self._is_finished = threading.Event()
        self._lock = threading.RLock()
        self._history = oracle.History(
            {name: WORKER_CAPACITY for name in GUARD_NAMES}, DATA_CENTRES
        )
        guards = {name: f'127.0.0.1:{find_free_port()}' for name in GUARD_NAMES}
        self._workers = {
            name: SoakWorker(name, address, self._history, self._lock, seed)
            for name, address in guards.items()
        }
        addresses = {
            name: worker.address for name, worker in self._workers.items()
        }
        self._group = Group(folder, addresses, guards, seed)
        self._group.start_all()
        self._operator = Operator(
            list(self._group.operators.values()),
            self._history,
            f'{seed}.operator',
        )
        self._callers = [
            Caller(
                list(self._group.entries.values()),
                self._history,
                self._lock,
                f'{seed}.caller.{number}',
            )
            for number in range(CALLERS)
        ]
        self._threads: list[threading.Thread] = []

    def run(self, length_s: float) -> Outcome:
        """Run the plan of the seed and check the observed history."""
        self._wait_until_configured()
        for caller in self._callers:
            self._start_loop(caller.perform_action, CALLER_PAUSE_S)
        self._start_loop(self._operator.perform_action, OPERATOR_PAUSE_S)
        plan = draw_plan(self._seed, length_s)
        self._run_plan(plan)
        self._is_finished.set()
        for thread in self._threads:
            thread.join()
        self._group.restore()
        finish_s = self._wait_until_finished()
        with self._lock:
            violations = oracle.check_final_state(self._history)
        workflows = self._history.workflows.values()
        return Outcome(
            self._seed,
            tuple(violations),
            sum(workflow.is_accepted for workflow in workflows),
            self._history.start_count,
            len(plan),
            finish_s,
        )

    def _wait_until_configured(self) -> None:
        """Wait until the control group has accepted the first configuration."""
        deadline_s = time.monotonic() + STARTUP_TIMEOUT_S
        while not self._history.acknowledged_version:
            if time.monotonic() > deadline_s:
                violation = oracle.Violation(
                    'startup',
                    'group',
                    'no configuration was accepted in time',
                )
                self._history.violations.append(violation)
                return
            self._operator.perform_action()
            time.sleep(POLL_S)

    def _start_loop(
        self, perform_action: Callable[[], None], pause_s: float
    ) -> None:
        def run_loop() -> None:
            while not self._is_finished.wait(pause_s):
                perform_action()

        thread = threading.Thread(target=run_loop)
        thread.start()
        self._threads.append(thread)

    def _run_plan(self, plan: list[Fault]) -> None:
        started_s = time.monotonic()
        events = sorted(
            (at_s, position, is_start)
            for position, fault in enumerate(plan)
            for at_s, is_start in (
                (fault.at_s, True),
                (fault.at_s + fault.duration_s, False),
            )
        )
        for at_s, position, is_start in events:
            time.sleep(max(0, started_s + at_s - time.monotonic()))
            self._apply_fault(plan[position], is_start)

    def _apply_fault(self, fault: Fault, is_start: bool) -> None:
        if fault.kind in ROUTE_FAULTS:
            self._group.relays.apply_fault(
                fault.target,
                fault.kind,
                is_start=is_start,
            )
        elif fault.kind in WORKER_FAULTS:
            _apply_worker_fault(
                self._workers[fault.target], fault.kind, is_start
            )
        else:
            self._group.apply_fault(fault.target, fault.kind, is_start=is_start)

    def _wait_until_finished(self) -> float:
        started_s = time.monotonic()
        deadline_s = started_s + FINISH_TIMEOUT_S
        while time.monotonic() < deadline_s:
            if not sum(caller.poll_pending() for caller in self._callers):
                break
            time.sleep(POLL_S)
        while (
            time.monotonic() < deadline_s
            and not self._operator.read_configuration()
        ):
            time.sleep(POLL_S)
        return time.monotonic() - started_s

    def close(self) -> None:
        """Stop everything that this run started."""
        self._is_finished.set()
        self._group.close()
        for worker in self._workers.values():
            worker.close()


def _apply_worker_fault(worker: SoakWorker, kind: str, is_start: bool) -> None:
    match kind:
        case 'crash' if is_start:
            worker.crash()
        case 'drain' if is_start:
            worker.drain()
        case 'late':
            worker.set_delaying_calls(is_delaying_calls=is_start)
        case 'mute':
            worker.set_unresponsive(is_unresponsive=is_start)


def run_seed(folder: pathlib.Path, seed: int, length_s: float) -> Outcome:
    """Run one seed in a folder.

    Args:
        folder: Empty folder for settings, logs and data.
        seed: The seed.
        length_s: How long faults are injected, in seconds.

    Returns:
        The result of the run.
    """
    soak_run = SoakRun(folder, seed)
    try:
        return soak_run.run(length_s)
    finally:
        soak_run.close()
