"""Stateful fuzzing of the workflow transitions against an oracle.

The machine submits workflows, records starts and ends of runs in any order,
repeats them and cancels workflows. The oracle tracks which tasks are done, how
often each failed or crashed its worker, and which run is the latest.
"""

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cumintack.state._workflow_transitions import (
    MAX_BLAMED_CRASHES,
    UNOBSERVED_ENDS,
    apply_workflow_operation,
    rebuild_index,
)
from cumintack.state.errors import ErrorCode
from cumintack.state.queues import Pool, Queue, QueueConfiguration
from cumintack.state.resources import Resources
from cumintack.state.workflows import (
    AcceptWorkflow,
    BeginOccurrence,
    CancelWorkflow,
    CrashEvidence,
    RecordRuns,
    ReplaceQueues,
    RunEnd,
    RunEndKind,
    RunStart,
    Schedule,
    StepSpec,
    TaskKey,
    WorkflowOperation,
    WorkflowSpec,
    WorkflowStatus,
    WorkflowTables,
    format_task_id,
    get_task,
    parse_task_id,
)

ATTEMPTS = 2
QUEUE = Queue('queue', 'host', '/queue/', 'pool', 0, ATTEMPTS, 2, 1000, 3000)
NEED = Resources(1000, 1000)
SPECS = (
    WorkflowSpec('text', (StepSpec(2, NEED), StepSpec(2, NEED, 0, (0,)))),
    WorkflowSpec('text', (StepSpec(3, NEED, is_gang=True),)),
    WorkflowSpec('text', (StepSpec(2, NEED, is_long_running=True),)),
    WorkflowSpec('text', (StepSpec(1, NEED),), Schedule(2, 0, 1000)),
)
ENDS = (
    *((kind, CrashEvidence.unknown) for kind in RunEndKind),
    *((RunEndKind.crashed, evidence) for evidence in CrashEvidence),
)
IDS = tuple(f'{number:016x}' for number in range(4))


class WorkflowMachine(RuleBasedStateMachine):
    """Applies workflow operations in any order."""

    def __init__(self) -> None:
        """Configure one queue."""
        super().__init__()
        self.tables = WorkflowTables()
        self.specs: dict[str, WorkflowSpec] = {}
        self.cancelled: set[str] = set()
        self.cancelled_early: set[str] = set()
        self.done: set[str] = set()
        self.failures: dict[str, int] = {}
        self.crashes: dict[str, int] = {}
        self.running: dict[str, int] = {}
        self.latest_runs: dict[str, int] = {}
        configuration = QueueConfiguration(1, (QUEUE,), (Pool('pool'),))
        self._apply(ReplaceQueues(configuration))

    def _apply(self, operation: WorkflowOperation) -> ErrorCode | None:
        encoded = msgspec.msgpack.encode(operation)
        decoded = msgspec.msgpack.decode(encoded, type=type(operation))
        error = apply_workflow_operation(self.tables, decoded, 1000)
        return error.code if error else None

    @rule(workflow_id=st.sampled_from(IDS), spec=st.sampled_from(SPECS))
    def accept(self, workflow_id: str, spec: WorkflowSpec) -> None:
        """Submit a workflow, possibly again with a different spec."""
        path = f'/queue/{workflow_id}'
        code = self._apply(AcceptWorkflow(workflow_id, 'host', path, spec))
        if workflow_id in self.cancelled_early:
            assert code is ErrorCode.expired
            assert workflow_id not in self.tables.workflows
            return
        assert code is None
        self.specs.setdefault(workflow_id, spec)

    @rule(workflow_id=st.sampled_from(IDS))
    def accept_without_queue(self, workflow_id: str) -> None:
        """A path without a queue is refused and changes nothing."""
        known_ids = set(self.tables.workflows)
        operation = AcceptWorkflow(workflow_id, 'other', '/x/', SPECS[0])
        code = self._apply(operation)
        if workflow_id in self.cancelled_early:
            assert code is ErrorCode.expired
        elif workflow_id not in known_ids:
            assert code is ErrorCode.not_found
        assert set(self.tables.workflows) == known_ids

    @rule(workflow_id=st.sampled_from(IDS))
    def cancel(self, workflow_id: str) -> None:
        """Cancel a workflow."""
        code = self._apply(CancelWorkflow(workflow_id, 'host', '/x/'))
        if workflow_id not in self.specs:
            assert code is ErrorCode.not_found
            self.cancelled_early.add(workflow_id)
            return
        workflow = self.tables.workflows[workflow_id]
        if workflow.status is WorkflowStatus.cancelled:
            self.cancelled.add(workflow_id)

    @rule(workflow_id=st.sampled_from(IDS), occurrence=st.integers(0, 2))
    def begin(self, workflow_id: str, occurrence: int) -> None:
        """Begin an occurrence, possibly twice or out of order."""
        self._apply(BeginOccurrence(workflow_id, occurrence))

    @rule(data=st.data())
    def start(self, data: st.DataObject) -> None:
        """Start a waiting task, or one that must not be started."""
        waiting = [
            format_task_id(TaskKey(key, index))
            for key, step in self.tables.index.waiting.items()
            for index in step.indexes
        ]
        candidates = sorted(self.latest_runs) + sorted(waiting)
        if not candidates:
            return
        task_id = data.draw(st.sampled_from(candidates))
        run = self.latest_runs.get(task_id, 0) + data.draw(st.integers(0, 2))
        # A second crash of the same worker would be blamed on the worker.
        guard = f'guard-{run}'
        self._apply(RecordRuns(starts=(RunStart(task_id, run, guard, 'l'),)))
        key = parse_task_id(task_id)
        task = get_task(self.tables, key) if key else None
        assert task is not None
        if task.run != self.latest_runs.get(task_id, 0):
            self._check_start(task_id, run)

    def _check_start(self, task_id: str, run: int) -> None:
        assert run > self.latest_runs.get(task_id, 0)
        assert task_id not in self.running
        assert task_id not in self.done
        workflow_id, occurrence, step, _index = task_id.split('.')
        spec = self.specs[workflow_id]
        assert workflow_id not in self.cancelled
        assert self._count_failures(workflow_id) < ATTEMPTS or (
            spec.steps[0].is_long_running
        )
        assert self.crashes.get(task_id, 0) < MAX_BLAMED_CRASHES
        for earlier in spec.steps[int(step)].depends_on:
            for index in range(spec.steps[earlier].task_count):
                earlier_task_id = (
                    f'{workflow_id}.{occurrence}.{earlier}.{index}'
                )
                assert earlier_task_id in self.done
        self.latest_runs[task_id] = run
        self.running[task_id] = run

    def _count_failures(self, workflow_id: str) -> int:
        return max(
            (
                count
                for task_id, count in self.failures.items()
                if task_id.startswith(workflow_id)
            ),
            default=0,
        )

    @rule(
        data=st.data(),
        kind_and_evidence=st.sampled_from(ENDS),
        offset=st.sampled_from((0, 0, 0, -1, 1)),
        times=st.integers(1, 2),
    )
    def end(
        self,
        data: st.DataObject,
        kind_and_evidence: tuple[RunEndKind, CrashEvidence],
        offset: int,
        times: int,
    ) -> None:
        """End a run, possibly twice, or one that is not the latest."""
        if not self.latest_runs:
            return
        task_id = data.draw(st.sampled_from(sorted(self.latest_runs)))
        run = self.latest_runs[task_id] + offset
        kind, evidence = kind_and_evidence
        ends = (RunEnd(task_id, run, kind, 'saved', evidence),) * times
        self._apply(RecordRuns(ends=ends))
        if self.running.get(task_id) == run:
            self._track_end(task_id, kind)
            self._track_crash(task_id, kind, evidence)

    def _track_crash(
        self, task_id: str, kind: RunEndKind, evidence: CrashEvidence
    ) -> None:
        if evidence is CrashEvidence.sole:
            self.crashes[task_id] = self.crashes.get(task_id, 0) + 1
        elif evidence is CrashEvidence.possible:
            self.crashes.setdefault(task_id, 1)
        elif evidence is CrashEvidence.innocent or kind not in UNOBSERVED_ENDS:
            self.crashes.pop(task_id, None)

    def _track_end(self, task_id: str, kind: RunEndKind) -> None:
        self.running.pop(task_id)
        workflow_id, occurrence, step, _index = task_id.split('.')
        spec = self.specs[workflow_id].steps[int(step)]
        if kind is RunEndKind.failed:
            self.failures[task_id] = self.failures.get(task_id, 0) + 1
        if kind is not RunEndKind.done or spec.is_long_running:
            return
        self.done.add(task_id)
        if spec.is_gang:
            prefix = f'{workflow_id}.{occurrence}.{step}'
            self.done.update(
                f'{prefix}.{index}' for index in range(spec.task_count)
            )

    @invariant()
    def index_matches_records(self) -> None:
        """The incrementally updated index equals a rebuilt one."""
        decoded = msgspec.msgpack.decode(
            msgspec.msgpack.encode(
                msgspec.structs.replace(
                    self.tables,
                    index=type(self.tables.index)(),
                ),
            ),
            type=WorkflowTables,
        )
        rebuild_index(decoded)
        current_index = self.tables.index
        assert decoded.index.active == current_index.active
        assert decoded.index.unbegun == current_index.unbegun
        assert _get_waiting_indexes(decoded) == _get_waiting_indexes(
            self.tables
        )
        assert _get_suspects(decoded) == _get_suspects(self.tables)
        assert {
            task_id
            for tasks in current_index.placed.values()
            for task_id in tasks
        } == set(self.running)

    @invariant()
    def completed_iff_all_done(self) -> None:
        """A workflow is completed if and only if every task is done."""
        for workflow_id, workflow in self.tables.workflows.items():
            spec = self.specs[workflow_id]
            task_ids = _list_task_ids(workflow_id, spec)
            is_all_done = task_ids <= self.done
            if workflow.status is WorkflowStatus.completed:
                assert is_all_done
            if workflow.status is WorkflowStatus.active:
                assert not is_all_done


def _list_task_ids(workflow_id: str, spec: WorkflowSpec) -> set[str]:
    occurrences = spec.schedule.repeat_count if spec.schedule else 1
    steps = [
        f'{workflow_id}.{occurrence}.{step}'
        for occurrence in range(occurrences)
        for step, _spec in enumerate(spec.steps)
    ]
    return {
        f'{name}.{index}'
        for name in steps
        for index in range(spec.steps[int(name[-1])].task_count)
    }


def _get_waiting_indexes(tables: WorkflowTables) -> dict[object, set[int]]:
    return {
        key: set(step.indexes) for key, step in tables.index.waiting.items()
    }


def _get_suspects(tables: WorkflowTables) -> dict[object, set[int]]:
    return {
        key: set(step.suspects) for key, step in tables.index.waiting.items()
    }


TestWorkflows = WorkflowMachine.TestCase
