"""Tests of the admission of steps by the external adviser."""

import msgspec

from cumintack.coordination.effects import ProposeAsLeader, Send
from cumintack.coordination.runs.admission_advice import (
    MAX_WORKERS_PER_REQUEST,
    TICKET_MARGIN_S,
    Advice,
    AdviceRequest,
    find_valid_ticket,
    record_advice,
)
from cumintack.coordination.runs.advice_requests import choose_advice_request
from cumintack.coordination.runs.run_leadership import (
    RunEffect,
    handle_applied_run_operation,
    handle_report,
    handle_run_tick,
)
from cumintack.coordination.runs.run_leadership_state import (
    RunLeadership,
    RunSettings,
)
from cumintack.coordination.runs.scheduling_passes import create_pass
from cumintack.coordination.runs.waiting.step_ranking import (
    rank_waiting_steps,
)
from cumintack.protocol.run_messages import (
    ClosedRun,
    EndedRun,
    RunKey,
    RunOrders,
    RunReport,
    WorkerInfo,
)
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
    StepKey,
    StepSpec,
    TaskKey,
    WorkflowOperation,
    WorkflowSpec,
    WorkflowTables,
    get_task,
)

WORKFLOW_ID = '0123456789abcdef'
STEP = StepKey(WORKFLOW_ID, 0, 0)
TASK = f'{WORKFLOW_ID}.0.0.0'
GUARDS = tuple(f'10.0.0.{number}' for number in range(1, 21))
VALID_S = 3.0


class LeaderHarness:
    """A leader with twenty workers and one waiting task."""

    def __init__(self) -> None:
        """Accept a workflow of a queue with an adviser."""
        self.tables = WorkflowTables()
        self.leadership = RunLeadership(RunSettings(6, 1), 1, 0)
        self.orders: dict[str, RunOrders] = {}
        queue = Queue('queue', 'host', '/queue/', 'pool', attempts=2)
        queue = msgspec.structs.replace(
            queue, advice=AdviserLatency(20, 5, 3000)
        )
        configuration = QueueConfiguration(1, (queue,), (Pool('pool'),))
        spec = WorkflowSpec('text', (StepSpec(1, Resources(1000, 100), 1000),))
        path = f'/queue/{WORKFLOW_ID}'
        self.apply(ReplaceQueues(configuration))
        self.apply(AcceptWorkflow(WORKFLOW_ID, 'host', path, spec))
        for guard in GUARDS:
            handle_report(
                self.leadership, self.tables, guard, _create_report(guard), 0
            )

    def apply(self, operation: WorkflowOperation) -> None:
        """Apply an operation as the replicated log does."""
        apply_workflow_operation(self.tables, operation, 0)
        handle_applied_run_operation(self.leadership, self.tables, operation)

    def tick(self, now_s: float) -> None:
        """Run a scheduling pass, apply what it records, and collect orders."""
        for _ in range(2):
            for effect in handle_run_tick(
                self.leadership, self.tables, now_s, 0
            ):
                self.run(effect)

    def run(self, effect: RunEffect) -> None:
        """Apply a proposal, and keep orders."""
        match effect:
            case ProposeAsLeader(operation=RecordRuns() as operation):
                self.apply(operation)
            case Send(message=RunOrders() as orders):
                self.orders[effect.peer] = orders

    def choose_request(self, now_s: float) -> AdviceRequest | None:
        """Choose the next advice request."""
        ranks = rank_waiting_steps(self.leadership.cached_ranks, self.tables, 0)
        scheduling_pass = create_pass(self.leadership, self.tables, now_s)
        return choose_advice_request(scheduling_pass, ranks)

    def answer(
        self, request: AdviceRequest, allowed: str, now_s: float
    ) -> None:
        """Answer that only one worker is admitted, or none if it is empty."""
        tickets = {allowed: 'ticket'} if allowed else {}
        advice = Advice(tickets, VALID_S)
        record_advice(self.leadership.advice, request, advice, now_s)
        self.leadership.needs_pass = True

    def get_guard(self) -> str:
        """Return the guard of the worker that runs the task, empty for none."""
        task = get_task(self.tables, TaskKey(STEP, 0))
        return task.guard if task else ''


def _get_lifetime(guard: str) -> str:
    return f'000001.w-{guard}'


def _create_report(guard: str) -> RunReport:
    worker_info = WorkerInfo(
        f'w-{guard}',
        _get_lifetime(guard),
        'pool',
        'north-yard',
        Resources(32000, 128000),
        (),
    )
    return RunReport(
        0,
        1,
        worker_info,
        (),
        (),
        (),
        is_looked=True,
        is_answering=True,
        is_gone=False,
        unsure_for_s=0,
    )


def test_nothing_starts_without_a_ticket() -> None:
    """A task waits until the adviser has admitted a worker."""
    harness = LeaderHarness()
    harness.tick(0)
    assert not harness.get_guard()


def test_one_request_is_open_at_a_time() -> None:
    """A request names some of the workers; the next one names the others."""
    harness = LeaderHarness()
    first = harness.choose_request(0)
    assert first is not None
    assert len(first.lifetimes) == MAX_WORKERS_PER_REQUEST
    assert harness.choose_request(0) is None
    harness.answer(first, '', 0.1)
    second = harness.choose_request(0.1)
    assert second is not None
    assert not set(first.lifetimes) & set(second.lifetimes)


def test_task_starts_on_allowed_worker_with_its_ticket() -> None:
    """The order contains the ticket for the worker."""
    harness = LeaderHarness()
    request = harness.choose_request(0)
    assert request is not None
    harness.answer(request, f'w-{GUARDS[3]}', 0.1)
    harness.tick(0.1)
    assert harness.get_guard() == GUARDS[3]
    order = harness.orders[GUARDS[3]].wanted[0]
    details = order.details
    assert details is not None
    assert details.ticket == 'ticket'


def test_expiring_ticket_is_renewed_first() -> None:
    """An admitted worker is requested again before workers without advice."""
    harness = LeaderHarness()
    request = harness.choose_request(0)
    assert request is not None
    allowed = f'w-{GUARDS[3]}'
    harness.answer(request, allowed, 0)
    near_expiry_s = VALID_S - TICKET_MARGIN_S / 2
    lifetime = _get_lifetime(GUARDS[3])
    assert (
        find_valid_ticket(
            harness.leadership.advice, STEP, lifetime, near_expiry_s
        )
        is None
    )
    for guard in GUARDS:
        harness.leadership.views[guard].last_report_at_s = near_expiry_s
    renewal = harness.choose_request(near_expiry_s)
    assert renewal is not None
    assert next(iter(renewal.lifetimes)) == allowed


def test_refused_start_discards_the_ticket() -> None:
    """A ticket is not used again once a start that carried it was refused."""
    harness = LeaderHarness()
    request = harness.choose_request(0)
    assert request is not None
    harness.answer(request, f'w-{GUARDS[3]}', 0.1)
    harness.tick(0.1)
    closed = msgspec.structs.replace(
        _create_report(GUARDS[3]),
        sent_at_s=1,
        closed=(ClosedRun(RunKey(TASK, 1), 'ticket'),),
    )
    handle_report(harness.leadership, harness.tables, GUARDS[3], closed, 0.2)
    lifetime = _get_lifetime(GUARDS[3])
    assert (
        find_valid_ticket(harness.leadership.advice, STEP, lifetime, 0.2)
        is None
    )


# Guards against a task that waits for good for workers that are not admitted.
def test_failed_task_starts_again_on_the_only_admitted_worker() -> None:
    """Workers without a ticket do not count as untried."""
    harness = LeaderHarness()
    request = harness.choose_request(0)
    assert request is not None
    harness.answer(request, f'w-{GUARDS[3]}', 0.1)
    harness.tick(0.1)
    failed = msgspec.structs.replace(
        _create_report(GUARDS[3]),
        sent_at_s=1,
        ended=(EndedRun(1, RunKey(TASK, 1), 'failed', ''),),
    )
    for effect in handle_report(
        harness.leadership, harness.tables, GUARDS[3], failed, 0.2
    ):
        harness.run(effect)
    harness.tick(0.3)
    assert harness.get_guard() == GUARDS[3]


def test_unanswered_request_is_repeated() -> None:
    """A request that got no answer is repeated after a delay."""
    harness = LeaderHarness()
    request = harness.choose_request(0)
    assert request is not None
    record_advice(harness.leadership.advice, request, None, 0.5)
    assert harness.choose_request(0.5) is None
    assert harness.choose_request(1) is not None
