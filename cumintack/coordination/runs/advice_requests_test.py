"""Tests of the order in which steps are asked for at the adviser."""

import msgspec

from cumintack.coordination.runs.admission_advice import (
    Advice,
    AdviceRequest,
    record_advice,
)
from cumintack.coordination.runs.advice_requests import (
    CHOICE_INTERVAL_S,
    choose_advice_request,
)
from cumintack.coordination.runs.candidate_index import mark_all_changed
from cumintack.coordination.runs.run_leadership import (
    handle_applied_run_operation,
    handle_report,
)
from cumintack.coordination.runs.run_leadership_state import (
    RunLeadership,
    RunSettings,
)
from cumintack.coordination.runs.scheduling_passes import create_pass
from cumintack.coordination.runs.waiting.step_ranking import (
    rank_waiting_steps,
)
from cumintack.protocol.run_messages import RunReport, WorkerInfo
from cumintack.state._workflow_transitions import apply_workflow_operation
from cumintack.state.queues import (
    AdviserLatency,
    Pool,
    Queue,
    QueueConfiguration,
)
from cumintack.state.resources import Resources
from cumintack.state.workflows import (
    AcceptWorkflow,
    RecordRuns,
    ReplaceQueues,
    RunEnd,
    RunEndKind,
    RunStart,
    StepSpec,
    WorkflowOperation,
    WorkflowSpec,
    WorkflowTables,
)

GUARDS = ('10.0.0.1', '10.0.0.2')
VALID_MS = 1000
CALL_S = 0.4
URGENT = '/urgent/'
OTHER = '/other/'
SMALL = StepSpec(1, Resources(1000, 100), 1000)
TOO_LARGE = StepSpec(1, Resources(200000, 100), 1000)
UNKNOWN_LABEL = msgspec.structs.replace(SMALL, label='none')
TOO_WIDE_GANG = StepSpec(65, Resources(1000, 100), 1000, is_gang=True)
HALF = StepSpec(1, Resources(20000, 100), 60000)


class AdvisedLeader:
    """A leader with two workers, whose queues both have an adviser."""

    def __init__(self) -> None:
        """Configure an urgent and another queue."""
        self.tables = WorkflowTables()
        self.leadership = RunLeadership(RunSettings(6, 1), 1, 0)
        self.count = 0
        latency = AdviserLatency(200, 20, VALID_MS)
        queues = tuple(
            msgspec.structs.replace(
                Queue(path, 'host', path, 'pool', attempts=2),
                priority=priority,
                advice=latency,
            )
            for path, priority in ((URGENT, 0), (OTHER, 2))
        )
        self.apply(
            ReplaceQueues(QueueConfiguration(1, queues, (Pool('pool'),)))
        )
        self.hear_workers(0)

    def apply(self, operation: WorkflowOperation) -> None:
        """Apply an operation as the replicated log does."""
        apply_workflow_operation(self.tables, operation, 0)
        handle_applied_run_operation(self.leadership, self.tables, operation)
        mark_all_changed(self.leadership.index)

    def submit(self, path: str, step: StepSpec) -> str:
        """Accept a workflow of one step and return its identifier."""
        self.count += 1
        workflow_id = f'{self.count:016x}'
        spec = WorkflowSpec('text', (step,))
        self.apply(
            AcceptWorkflow(workflow_id, 'host', path + workflow_id, spec)
        )
        return workflow_id

    def hear_workers(self, now_s: float) -> None:
        """Report both workers as usable and without runs."""
        for guard in GUARDS:
            report = msgspec.structs.replace(
                _create_report(guard), sent_at_s=now_s
            )
            handle_report(self.leadership, self.tables, guard, report, now_s)

    def place(self, workflow_id: str, guard: str) -> None:
        """Record the start of the task of a workflow."""
        start = RunStart(f'{workflow_id}.0.0.0', 1, guard, f'1.w-{guard}')
        self.apply(RecordRuns(starts=(start,)))

    def choose(self, now_s: float) -> AdviceRequest | None:
        """Choose the next request to the adviser."""
        self.hear_workers(now_s)
        ranks = rank_waiting_steps(
            self.leadership.cached_ranks, self.tables, now_s * 1000
        )
        return choose_advice_request(
            create_pass(self.leadership, self.tables, now_s), ranks
        )

    def list_asked(self, count: int) -> list[str]:
        """List the workflows of the next requests, all answered in turn."""
        asked = []
        for number in range(count):
            now_s = number * CALL_S
            request = self.choose(now_s)
            if request is None:
                continue
            asked.append(request.step.workflow_id)
            tickets = dict.fromkeys(request.lifetimes, 'ticket')
            advice = Advice(tickets, VALID_MS / 1000)
            record_advice(
                self.leadership.advice, request, advice, now_s + CALL_S
            )
        return asked


def _create_report(guard: str) -> RunReport:
    return RunReport(
        0,
        1,
        WorkerInfo(
            f'w-{guard}',
            f'1.w-{guard}',
            'pool',
            'yard',
            Resources(32000, 128000),
            (),
        ),
        (),
        (),
        (),
        is_looked=True,
        is_answering=True,
        is_gone=False,
        unsure_for_s=0,
    )


# Guards against steps that no worker can hold and that keep others waiting.
def test_hopeless_steps_are_not_asked_for() -> None:
    """Their tickets would run out unused."""
    leader = AdvisedLeader()
    for step in (TOO_LARGE, UNKNOWN_LABEL, TOO_WIDE_GANG):
        leader.submit(URGENT, step)
    possible = leader.submit(OTHER, SMALL)
    assert set(leader.list_asked(4)) == {possible}


# Guards against a step that no worker may run and that keeps others waiting.
def test_step_that_all_workers_are_denied_is_not_asked_for_again() -> None:
    """A decision of the adviser does not change for a step."""
    leader = AdvisedLeader()
    denied = leader.submit(URGENT, SMALL)
    possible = leader.submit(OTHER, SMALL)
    request = leader.choose(0)
    assert request is not None
    assert request.step.workflow_id == denied
    record_advice(leader.leadership.advice, request, Advice({}, 1), CALL_S)
    assert set(leader.list_asked(3)) == {possible}


# Guards against steps that wait for room and keep others waiting.
def test_step_without_room_is_asked_for_when_there_is_some() -> None:
    """Until then the step behind it gets the requests."""
    leader = AdvisedLeader()
    running = [leader.submit(URGENT, HALF) for _ in GUARDS]
    for workflow_id, guard in zip(running, GUARDS, strict=True):
        leader.place(workflow_id, guard)
    first = leader.submit(URGENT, HALF)
    second = leader.submit(OTHER, SMALL)
    assert set(leader.list_asked(4)) == {second}
    end = RunEnd(f'{running[0]}.0.0.0', 1, RunEndKind.done)
    leader.apply(RecordRuns(ends=(end,)))
    request = leader.choose(10)
    assert request is not None
    assert request.step.workflow_id == first
    assert list(request.lifetimes) == [f'w-{GUARDS[0]}']


# Guards against room that other tasks take before a ticket is there.
def test_step_is_asked_for_before_room_becomes_free() -> None:
    """A run will end while the ticket is valid."""
    leader = AdvisedLeader()
    step = msgspec.structs.replace(HALF, estimate_ms=500)
    for guard in GUARDS:
        leader.place(leader.submit(URGENT, step), guard)
    waiting = leader.submit(URGENT, HALF)
    assert leader.list_asked(1) == [waiting]


# Guards against a step that waits for good behind those that rank before it.
def test_every_other_request_goes_to_the_one_asked_least_recently() -> None:
    """Steps that have room and are not placed take half of the requests."""
    leader = AdvisedLeader()
    urgent = [leader.submit(URGENT, SMALL) for _ in range(4)]
    behind = leader.submit(OTHER, SMALL)
    asked = leader.list_asked(12)
    assert asked[0] == urgent[0]
    assert behind in asked


# Guards against a new step that is not asked for for good.
def test_choice_without_a_step_is_repeated_soon() -> None:
    """A step that arrives meanwhile waits for a moment only."""
    leader = AdvisedLeader()
    leader.submit(URGENT, TOO_LARGE)
    assert leader.choose(1) is None
    possible = leader.submit(OTHER, SMALL)
    request = leader.choose(1 + CHOICE_INTERVAL_S)
    assert request is not None
    assert request.step.workflow_id == possible


# Guards against a gang of which one member gets no ticket any more.
def test_gang_is_asked_for_on_as_few_workers_as_hold_it() -> None:
    """All its tickets must be valid at the same time."""
    leader = AdvisedLeader()
    leader.submit(URGENT, StepSpec(8, Resources(1000, 100), is_gang=True))
    request = leader.choose(0)
    assert request is not None
    assert len(request.lifetimes) == 1
