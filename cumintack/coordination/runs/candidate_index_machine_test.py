"""Stateful fuzzing of the candidate index against a computation from nothing.

Guards report any state, proposals are applied late, in part or not at all,
and workflows are submitted and cancelled. After each step the usage of every
worker, and the best worker for every kind of task, must be those that a scan
of the tables gives.
"""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cumintack.coordination.effects import ProposeAsLeader, Send
from cumintack.coordination.runs.admission_advice import AdviceState
from cumintack.coordination.runs.candidate_index import (
    CandidateIndex,
    create_task_kind,
    get_placed_runs,
    get_usage,
    mark_changed,
)
from cumintack.coordination.runs.placement import (
    SchedulingPass,
    find_candidate,
)
from cumintack.coordination.runs.run_leadership import (
    RunEffect,
    handle_applied_run_operation,
    handle_report,
    handle_run_proposal_failure,
    handle_run_tick,
)
from cumintack.coordination.runs.run_leadership_state import (
    RunLeadership,
    RunSettings,
)
from cumintack.coordination.runs.worker_views import (
    WorkerView,
    add_task_usage,
    compute_usage,
    list_placed_runs,
)
from cumintack.protocol.run_messages import (
    EndedRun,
    RunningRun,
    RunReport,
    WorkerInfo,
)
from cumintack.state._workflow_transitions import apply_workflow_operation
from cumintack.state.queues import Pool, Queue, QueueConfiguration
from cumintack.state.resources import Resources
from cumintack.state.workflows import (
    AcceptWorkflow,
    CancelWorkflow,
    RecordRuns,
    ReplaceQueues,
    StepKey,
    StepSpec,
    WorkflowOperation,
    WorkflowSpec,
    WorkflowTables,
    get_step,
    parse_task_id,
)

GUARDS = tuple(f'10.0.0.{number}' for number in range(4))
NEED = Resources(1500, 1000)
STEPS = (
    StepSpec(3, NEED, 1000),
    StepSpec(2, NEED, 1000, max_per_worker=1),
    StepSpec(2, NEED, 1000, label='b'),
    StepSpec(2, NEED, 1000, data_rack='r1-1'),
    StepSpec(2, NEED, 1000, is_gang=True),
    StepSpec(2, NEED, 1000, is_long_running=True, target_ms=100, image='desk'),
    StepSpec(3, NEED, 1000, is_best_effort=True, image='batch'),
    StepSpec(3, Resources(500, 100), 1000, is_best_effort=True, image='sum'),
)
QUEUE = Queue('queue', 'host', '/queue/', 'pool', 0, 2, 2, 1000, 3000)


class CandidateIndexMachine(RuleBasedStateMachine):
    """A leader whose index is compared with a scan after each step."""

    def __init__(self) -> None:
        """Configure one queue."""
        super().__init__()
        self.now_s = 100.0
        self.tables = WorkflowTables()
        self.leadership = RunLeadership(RunSettings(6, 1), 1, 0)
        self.proposals: list[RecordRuns] = []
        self.workflow_ids: list[str] = []
        self.ended_count = 0
        configuration = QueueConfiguration(1, (QUEUE,), (Pool('pool'),))
        self._apply(ReplaceQueues(configuration))

    def _apply(self, operation: WorkflowOperation) -> None:
        apply_workflow_operation(self.tables, operation, 0)
        handle_applied_run_operation(self.leadership, self.tables, operation)

    def _collect(self, effects: list[RunEffect]) -> None:
        for effect in effects:
            match effect:
                case ProposeAsLeader(operation=RecordRuns() as operation):
                    self.proposals.append(operation)
                case Send():
                    pass

    @rule(step=st.sampled_from(STEPS))
    def submit(self, step: StepSpec) -> None:
        """Accept a workflow of one step."""
        workflow_id = f'{len(self.workflow_ids):016x}'
        self.workflow_ids.append(workflow_id)
        spec = WorkflowSpec('text', (step,))
        path = f'/queue/{workflow_id}'
        self._apply(AcceptWorkflow(workflow_id, 'host', path, spec))

    @rule(position=st.integers(0, 20))
    def cancel(self, position: int) -> None:
        """Cancel a workflow."""
        if position < len(self.workflow_ids):
            workflow_id = self.workflow_ids[position]
            path = f'/queue/{workflow_id}'
            self._apply(CancelWorkflow(workflow_id, 'host', path))

    @rule(
        number=st.integers(0, len(GUARDS) - 1),
        incarnation=st.integers(1, 2),
        measurement=st.sampled_from((0, 20, 70, 1500)),
        end=st.sampled_from(('', 'done', 'failed', 'stopped')),
        is_answering=st.booleans(),
    )
    def report(
        self,
        number: int,
        incarnation: int,
        measurement: float,
        end: str,
        is_answering: bool,
    ) -> None:
        """Report all recorded runs as running, or the first one as ended."""
        guard = GUARDS[number]
        placed = [
            run.key for run in list_placed_runs(self.tables, guard).values()
        ]
        ended: tuple[EndedRun, ...] = ()
        if end and placed:
            self.ended_count += 1
            ended = (EndedRun(self.ended_count, placed.pop(0), end, ''),)
        worker_info = WorkerInfo(
            f'w-{number}',
            f'00000{incarnation}.w-{number}',
            'pool',
            'north-yard',
            Resources(8000, 4000),
            ('a' if number else 'b', f'r1-{number // 2}'),
        )
        self._handle(
            guard,
            worker_info,
            tuple(
                RunningRun(key, '', 10, measurement, has_details=True)
                for key in placed
            ),
            ended,
            is_answering=is_answering,
        )

    def _handle(
        self,
        guard: str,
        worker_info: WorkerInfo,
        running: tuple[RunningRun, ...],
        ended: tuple[EndedRun, ...],
        *,
        is_answering: bool,
    ) -> None:
        report = RunReport(
            self.now_s,
            1,
            worker_info,
            running,
            ended,
            (),
            is_looked=True,
            is_answering=is_answering,
            is_gone=False,
            unsure_for_s=0,
        )
        self._collect(
            handle_report(
                self.leadership, self.tables, guard, report, self.now_s
            )
        )

    @rule(seconds=st.sampled_from((0.02, 0.2, 2.0)))
    def advance(self, seconds: float) -> None:
        """Run a tick after some time."""
        self.now_s += seconds
        effects = handle_run_tick(
            self.leadership, self.tables, self.now_s, self.now_s * 1000
        )
        self._collect(effects)

    @rule(is_applied=st.booleans())
    def settle_proposal(self, is_applied: bool) -> None:
        """Apply the oldest proposal, or let it fail."""
        if not self.proposals:
            return
        operation = self.proposals.pop(0)
        if is_applied:
            self._apply(operation)
        else:
            handle_run_proposal_failure(self.leadership, operation)

    @invariant()
    def usage_is_that_of_the_tables(self) -> None:
        """The usage of each worker equals a computation from nothing."""
        index = self.leadership.index
        for guard, view in self.leadership.views.items():
            placed_runs = list_placed_runs(self.tables, guard)
            assert get_placed_runs(index, self.tables, guard) == placed_runs
            usage = compute_usage(view, placed_runs)
            for step_key in self._list_proposed_steps(guard):
                add_task_usage(usage, step_key, get_step(self.tables, step_key))
            kept = get_usage(index, self.tables, view)
            assert kept.reserved == usage.reserved
            assert kept.best_effort_milli == usage.best_effort_milli
            assert kept.unmeasured_cores == usage.unmeasured_cores
            assert kept.task_count_by_step == usage.task_count_by_step
            assert sorted(kept.latency_margins) == sorted(usage.latency_margins)

    def _list_proposed_steps(self, guard: str) -> list[StepKey]:
        leadership = self.leadership
        task_ids = {
            start.task_id
            for start in leadership.proposed_starts.values()
            if start.guard == guard
        }
        task_ids.update(
            task_id
            for task_id, reserved in leadership.reserved_guards.items()
            if reserved == guard
        )
        tasks = (parse_task_id(task_id) for task_id in task_ids)
        return [task.step_key for task in tasks if task is not None]

    @invariant()
    def best_workers_are_those_of_a_new_index(self) -> None:
        """Each kind of task goes where an index from nothing puts it."""
        leadership = self.leadership
        fresh = CandidateIndex(proposed=leadership.index.proposed)
        for guard in leadership.index.positions:
            mark_changed(fresh, guard)
        for step in STEPS:
            kind = create_task_kind('pool', StepKey('0', 0, 0), step)
            chosen = [
                find_candidate(self._create_pass(index), kind)
                for index in (leadership.index, fresh)
            ]
            assert _get_guard(chosen[0]) == _get_guard(chosen[1])

    def _create_pass(self, index: CandidateIndex) -> SchedulingPass:
        return SchedulingPass(
            self.tables,
            self.leadership.views,
            index,
            (),
            self.leadership.interference,
            AdviceState(),
            self.now_s,
        )


def _get_guard(view: WorkerView | None) -> str:
    return view.guard if view is not None else ''


TestCandidateIndex = CandidateIndexMachine.TestCase
