"""Steps under a policy run only where the adviser allows them."""

import msgspec

from cumintack.coordination.effects import ProposeAsLeader, Send
from cumintack.coordination.runs.admission_advice import (
    MAX_WORKERS_PER_REQUEST,
    TICKET_MARGIN_S,
    Advice,
    AdviceRequest,
    choose_advice_request,
    find_valid_ticket,
    record_advice,
)
from cumintack.coordination.runs.run_leadership import (
    RunEffect,
    RunLeadership,
    RunSettings,
    handle_applied_run_operation,
    handle_report,
    handle_run_tick,
)
from cumintack.protocol.run_messages import (
    ClosedRun,
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


class Group:
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
                self.leadership, self.tables, guard, _report(guard), 0
            )

    def apply(self, operation: WorkflowOperation) -> None:
        """Apply an operation as the replicated log does."""
        apply_workflow_operation(self.tables, operation, 0)
        handle_applied_run_operation(self.leadership, self.tables, operation)

    def tick(self, now_s: float) -> None:
        """Let a pass run, apply what it records, and collect orders."""
        for _ in range(2):
            for effect in handle_run_tick(
                self.leadership, self.tables, now_s, 0
            ):
                self._run(effect)

    def _run(self, effect: RunEffect) -> None:
        match effect:
            case ProposeAsLeader(operation=RecordRuns() as operation):
                self.apply(operation)
            case Send(message=RunOrders() as orders):
                self.orders[effect.peer] = orders

    def ask(self, now_s: float) -> AdviceRequest | None:
        """Choose the next question."""
        return choose_advice_request(
            self.leadership.advice,
            self.tables,
            self.leadership.views,
            now_s,
            0,
        )

    def answer(
        self, question: AdviceRequest, allowed: str, now_s: float
    ) -> None:
        """Answer that one worker is allowed."""
        tickets = {allowed: 'ticket'} if allowed else {}
        advice = Advice(tickets, VALID_S)
        record_advice(self.leadership.advice, question, advice, now_s)
        self.leadership.needs_pass = True

    def get_guard(self) -> str:
        """Return where the task runs, empty if it waits."""
        task = get_task(self.tables, TaskKey(STEP, 0))
        return task.guard if task else ''


def _get_life(guard: str) -> str:
    return f'000001.w-{guard}'


def _report(guard: str) -> RunReport:
    facts = WorkerInfo(
        f'w-{guard}',
        _get_life(guard),
        'pool',
        'north-yard',
        Resources(32000, 128000),
        (),
    )
    return RunReport(
        0,
        1,
        facts,
        (),
        (),
        (),
        is_looked=True,
        is_answering=True,
        is_gone=False,
        unsure_for_s=0,
    )


def test_nothing_starts_without_a_ticket() -> None:
    """A task waits until the adviser has allowed a worker."""
    group = Group()
    group.tick(0)
    assert not group.get_guard()


def test_few_workers_are_asked_about_once() -> None:
    """One question at a time, about some of the workers, then the others."""
    group = Group()
    first = group.ask(0)
    assert first is not None
    assert len(first.lifetimes) == MAX_WORKERS_PER_REQUEST
    assert group.ask(0) is None
    group.answer(first, '', 0.1)
    second = group.ask(0.1)
    assert second is not None
    assert not set(first.lifetimes) & set(second.lifetimes)


def test_task_starts_where_it_is_allowed_with_its_ticket() -> None:
    """The order carries the ticket of the worker."""
    group = Group()
    question = group.ask(0)
    assert question is not None
    group.answer(question, f'w-{GUARDS[3]}', 0.1)
    group.tick(0.1)
    assert group.get_guard() == GUARDS[3]
    order = group.orders[GUARDS[3]].wanted[0]
    details = order.details
    assert details is not None
    assert details.ticket == 'ticket'


def test_expired_ticket_is_not_used_and_asked_for_first() -> None:
    """A worker that was allowed is asked about again before unknown ones."""
    group = Group()
    question = group.ask(0)
    assert question is not None
    allowed = f'w-{GUARDS[3]}'
    group.answer(question, allowed, 0)
    late_s = VALID_S - TICKET_MARGIN_S / 2
    life = _get_life(GUARDS[3])
    assert (
        find_valid_ticket(group.leadership.advice, STEP, life, late_s) is None
    )
    for guard in GUARDS:
        group.leadership.views[guard].last_report_at_s = late_s
    again = group.ask(late_s)
    assert again is not None
    assert next(iter(again.lifetimes)) == allowed


def test_refused_start_drops_the_ticket() -> None:
    """A ticket that the worker may have refused is not used again."""
    group = Group()
    question = group.ask(0)
    assert question is not None
    group.answer(question, f'w-{GUARDS[3]}', 0.1)
    group.tick(0.1)
    closed = msgspec.structs.replace(
        _report(GUARDS[3]),
        sent_at_s=1,
        closed=(ClosedRun(RunKey(TASK, 1), 'ticket'),),
    )
    handle_report(group.leadership, group.tables, GUARDS[3], closed, 0.2)
    life = _get_life(GUARDS[3])
    assert find_valid_ticket(group.leadership.advice, STEP, life, 0.2) is None


def test_silent_adviser_is_asked_again() -> None:
    """A question without an answer is repeated after a pause."""
    group = Group()
    question = group.ask(0)
    assert question is not None
    record_advice(group.leadership.advice, question, None, 0.5)
    assert group.ask(0.5) is None
    assert group.ask(1) is not None
