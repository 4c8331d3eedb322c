"""Workers with leases of their own, for the simulation of the run path.

A worker carries out the calls of its guard as the platform's workers do. Calls
may be lost, or be carried out late by whichever incarnation is then up.
"""

import random

import msgspec

from cumintack.coordination.runs.worker_run_state import (
    INHERITED_TOKEN,
    FencingToken,
)
from cumintack.protocol.run_messages import (
    EndedRun,
    RunDetails,
    RunKey,
    RunningRun,
)

STOP_TIMEOUT_S = 0.2
# Image of tasks that never end as done.
LASTING = 'lasting'


class CallRequest(msgspec.Struct, frozen=True):
    """A call as it is on the wire.

    Attributes:
        kind: The path of the call: ``start``, ``stop``, ``hold`` or ``pace``.
        worker_id: The worker that it names.
        token: The fencing token.
        key: The run, None for a hold.
        details: Details of a start.
        deadline_ms: End of the lease on the worker's clock, 0 for none.
        settled_number: Ends up to this one are acknowledged.
        wait_s: How long a hold may wait for an end.
    """

    kind: str
    worker_id: str
    token: FencingToken
    key: RunKey | None = None
    details: RunDetails | None = None
    deadline_ms: int = 0
    settled_number: int = 0
    wait_s: float = 0


class CallReply(msgspec.Struct, frozen=True):
    """A reply: the status, the worker's clock, and the runs after a hold."""

    status: int
    clock_ms: int
    reason: str = ''
    lifetime: str = ''
    running: tuple[RunningRun, ...] = ()
    ended: tuple[EndedRun, ...] = ()
    lists_all_ends: bool = True


class FakeRun(msgspec.Struct):
    """A run that a worker holds."""

    started_at_s: float
    ends_at_s: float
    end_kind: str
    need_milli: int
    stopped_at_s: float = float('inf')

    def get_percent(self, now_s: float) -> float:
        """Return the progress."""
        work_s = self.ends_at_s - self.started_at_s
        return 100 * (now_s - self.started_at_s) / work_s


class Incarnation(msgspec.Struct):
    """One life of a worker.

    Attributes:
        worker_id: Its identifier, which a later incarnation may reuse.
        lifetime: Identifies the incarnation.
        born_at_s: When it started.
        clock_rate: Rate of its clock.
        runs: What runs on it.
        ended: Its ends that are not acknowledged.
        end_count: Number of its latest end.
        token: Highest fencing token that it has seen.
        closed_runs: Highest run stopped or ended here, by task.
        lease_until_ms: End of the lease on its own clock.
        is_up: Whether it has not crashed or left.
        lapsed_at_s: When a lease last expired.
    """

    worker_id: str
    lifetime: str
    born_at_s: float
    clock_rate: float
    runs: dict[RunKey, FakeRun] = {}
    ended: list[EndedRun] = []
    end_count: int = 0
    token: FencingToken = INHERITED_TOKEN
    closed_runs: dict[str, int] = {}
    lease_until_ms: float = 0
    is_up: bool = True
    lapsed_at_s: float = float('-inf')

    def get_clock_ms(self, now_s: float) -> float:
        """Return the time by the clock of this incarnation."""
        return (now_s - self.born_at_s) * self.clock_rate * 1000

    def get_lease_end_s(self) -> float:
        """Return when the lease ends."""
        return self.born_at_s + self.lease_until_ms / 1000 / self.clock_rate


def format_run(key: RunKey) -> str:
    """Format a run for a trace."""
    return f'{key.task_id} run {key.run}'


def is_drawn(generator: random.Random, share: float) -> bool:
    """Draw whether something happens that has a probability."""
    return generator.random() < share


def _get_end(due: tuple[tuple[float, str], RunKey]) -> tuple[float, str]:
    return due[0]


class WorkerJournal(msgspec.Struct):
    """What the workers have done, for the oracle.

    Attributes:
        lines: What happened, with the time.
        starts: Times of the starts of each task.
        done_at_s: When a run ended as done, by run.
        noted: Time of a done end that was recorded or acknowledged, by task.
        violations: What must never happen.
    """

    lines: list[str] = []
    starts: dict[str, list[float]] = {}
    done_at_s: dict[RunKey, float] = {}
    noted: dict[str, float] = {}
    violations: list[str] = []

    def note_done(self, key: RunKey, now_s: float) -> None:
        """Check that no run of a task starts after a done end of it."""
        done_at_s = self.done_at_s[key]
        self.noted.setdefault(key.task_id, done_at_s)
        if max(self.starts[key.task_id]) > done_at_s:
            self.violations.append(
                f'{now_s:.3f} {format_run(key)} was followed by a start'
            )

    def record_start(self, key: RunKey, now_s: float) -> None:
        """Record a start, and check that the task was not done before."""
        self.starts.setdefault(key.task_id, []).append(now_s)
        if key.task_id in self.noted:
            self.violations.append(
                f'{now_s:.3f} {format_run(key)} starts although it was done'
            )


class FakeWorkerSettings(msgspec.Struct, frozen=True):
    """Properties of all workers of a fleet."""

    max_lease_s: float
    capacity_milli: int
    is_capacity_checked: bool
    work_durations_s: tuple[float, ...] = (0.3, 1, 3, 8, 20)
    failure_share: float = 0.1
    max_listed_ends: int = 500


class FakeMachine:
    """The place of one worker, with its successive incarnations."""

    def __init__(
        self,
        name: str,
        settings: FakeWorkerSettings,
        journal: WorkerJournal,
        generator: random.Random,
    ) -> None:
        """Start without a worker."""
        self.name = name
        self.worker: Incarnation | None = None
        self.late_from_s = 0.0
        self.late_until_s = 0.0
        self.is_late_grant = False
        self.cut_until_s = 0.0
        self.is_draining = False
        self._settings = settings
        self._journal = journal
        self._random = generator

    def get_running_keys(self) -> list[RunKey]:
        """Return the runs on the worker if it is up."""
        return list(self.worker.runs) if self.worker is not None else []

    def begin(self, worker: Incarnation) -> None:
        """Begin an incarnation."""
        self.worker = worker
        self.is_draining = False

    def end(self) -> None:
        """End the incarnation and everything that runs on it."""
        if self.worker is not None:
            self.worker.is_up = False
        self.worker = None

    def settle(self, now_s: float) -> None:
        """End the runs that were stopped, completed or lost their lease."""
        worker = self.worker
        if worker is None:
            return
        lease_end_s = worker.get_lease_end_s()
        if lease_end_s <= now_s:
            worker.lapsed_at_s = lease_end_s
        due = []
        for key, run in worker.runs.items():
            end = min(
                (run.ends_at_s, run.end_kind),
                (run.stopped_at_s, 'stopped'),
                (lease_end_s, 'lapsed'),
            )
            if end[0] <= now_s:
                due.append((end, key))
        for (at_s, kind), key in sorted(due, key=_get_end):
            self._end_run(worker, key, kind, at_s)

    def _end_run(
        self, worker: Incarnation, key: RunKey, kind: str, at_s: float
    ) -> None:
        worker.runs.pop(key)
        worker.end_count += 1
        worker.ended.append(EndedRun(worker.end_count, key, kind, ''))
        _close_run(worker, key)
        if kind == 'done':
            self._journal.done_at_s[key] = at_s
        self._log(at_s, f'{format_run(key)} ends as {kind}')

    def get_next_end_s(self) -> float:
        """Return when the next run ends unless a call changes that."""
        worker = self.worker
        if worker is None or not worker.runs:
            return float('inf')
        ends = [
            min(run.ends_at_s, run.stopped_at_s) for run in worker.runs.values()
        ]
        return min(worker.get_lease_end_s(), *ends)

    def execute(
        self, call: CallRequest, now_s: float, delay_s: float = 0
    ) -> CallReply | None:
        """Carry out a call; None if no worker is up.

        Args:
            call: The call.
            now_s: The time.
            delay_s: Time by which the lease of a late call is prolonged.

        Returns:
            The reply.
        """
        worker = self.worker
        if worker is None:
            return None
        self.settle(now_s)
        clock_ms = worker.get_clock_ms(now_s)
        if call.worker_id != worker.worker_id:
            return CallReply(421, int(clock_ms))
        if call.token < worker.token:
            return self._reply(worker, call, now_s, 'fence')
        worker.token = call.token
        deadline_ms = min(
            call.deadline_ms + delay_s * worker.clock_rate * 1000,
            clock_ms + self._settings.max_lease_s * 1000,
        )
        if call.deadline_ms:
            worker.lease_until_ms = max(worker.lease_until_ms, deadline_ms)
        reason = ''
        match call.kind:
            case 'start':
                reason = self._start(worker, call, now_s, deadline_ms)
            case 'stop':
                self._stop(worker, call, now_s)
            case 'hold':
                self._acknowledge(worker, call.settled_number, now_s)
        return self._reply(worker, call, now_s, reason)

    def _start(
        self,
        worker: Incarnation,
        call: CallRequest,
        now_s: float,
        deadline_ms: float,
    ) -> str:
        key = call.key
        details = call.details
        assert key is not None
        assert details is not None
        if key in worker.runs:
            return ''
        highest_run = max(
            (run.run for run in worker.runs if run.task_id == key.task_id),
            default=0,
        )
        if key.run <= max(highest_run, worker.closed_runs.get(key.task_id, 0)):
            return 'old'
        if deadline_ms <= worker.get_clock_ms(now_s):
            return 'late'
        used_milli = sum(run.need_milli for run in worker.runs.values())
        is_over = used_milli + details.need_milli > (
            self._settings.capacity_milli
        )
        if is_over and self._settings.is_capacity_checked:
            return 'room'
        work_s = self._random.choice(self._settings.work_durations_s)
        has_failed = is_drawn(self._random, self._settings.failure_share)
        is_done = not has_failed and details.image != LASTING
        kind = 'done' if is_done else 'failed'
        worker.runs[key] = FakeRun(
            now_s, now_s + work_s, kind, details.need_milli
        )
        self._log(now_s, f'{format_run(key)} starts')
        if is_over:
            self._violate(now_s, f'{format_run(key)} exceeds the capacity')
        self._journal.record_start(key, now_s)
        return ''

    def _stop(
        self, worker: Incarnation, call: CallRequest, now_s: float
    ) -> None:
        assert call.key is not None
        run = worker.runs.get(call.key)
        if run is None:
            _close_run(worker, call.key)
        else:
            run.stopped_at_s = min(
                run.stopped_at_s,
                now_s + self._random.random() * STOP_TIMEOUT_S,
            )

    def _acknowledge(
        self, worker: Incarnation, number: int, now_s: float
    ) -> None:
        kept = []
        for ended in worker.ended:
            if ended.number > number:
                kept.append(ended)
            elif ended.kind == 'done':
                done_at_s = self._journal.done_at_s[ended.key]
                if not done_at_s <= worker.lapsed_at_s <= now_s:
                    self._journal.note_done(ended.key, now_s)
        worker.ended = kept

    def _reply(
        self, worker: Incarnation, call: CallRequest, now_s: float, reason: str
    ) -> CallReply:
        status = 409 if reason else 200
        clock_ms = int(worker.get_clock_ms(now_s))
        if call.kind != 'hold':
            return CallReply(status, clock_ms, reason, worker.lifetime)
        return CallReply(
            status,
            clock_ms,
            reason,
            worker.lifetime,
            tuple(
                RunningRun(
                    key, '', run.get_percent(now_s), 0, has_details=False
                )
                for key, run in worker.runs.items()
            ),
            tuple(worker.ended[: self._settings.max_listed_ends]),
            len(worker.ended) < self._settings.max_listed_ends,
        )

    def _log(self, at_s: float, text: str) -> None:
        worker = self.worker
        lifetime = worker.lifetime if worker is not None else '-'
        self._journal.lines.append(f'{at_s:8.3f} {self.name} {lifetime} {text}')

    def _violate(self, now_s: float, text: str) -> None:
        self._journal.violations.append(f'{now_s:.3f} {self.name} {text}')


def _close_run(worker: Incarnation, key: RunKey) -> None:
    highest_run = max(worker.closed_runs.get(key.task_id, 0), key.run)
    worker.closed_runs[key.task_id] = highest_run
