"""Tests that the leader frees no capacity of runs that may still run."""

import msgspec

from cumintack.coordination.effects import ProposeAsLeader, Send
from cumintack.coordination.runs.run_leadership import (
    handle_applied_run_operation,
    handle_report,
    handle_run_proposal_failure,
    handle_run_tick,
)
from cumintack.coordination.runs.run_leadership_state import (
    RunLeadership,
    RunSettings,
)
from cumintack.coordination.runs.unanswered_calls import MAX_CALL_DELAY_S
from cumintack.protocol.run_messages import (
    ClosedRun,
    EndedRun,
    RunKey,
    RunningRun,
    RunOrders,
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
    RunEnd,
    RunEndKind,
    StepSpec,
    WorkflowOperation,
    WorkflowSpec,
    WorkflowStatus,
    WorkflowTables,
    count_pending_workflows,
)

GUARD = '10.0.0.1'
OTHER_GUARD = '10.0.0.2'
LIFETIME = '000001.worker'
NEXT_LIFETIME = '000002.worker'
WORKFLOW_ID = '0123456789abcdef'
PATH = f'/queue/{WORKFLOW_ID}'
LEASE_S = 6.0
STEPS = (
    StepSpec(1, Resources(1000, 100), 1000),
    StepSpec(1, Resources(1000, 100), 1000, (0,)),
)


class LeaderHarness:
    """A leader whose proposals are applied at once."""

    def __init__(self, steps: tuple[StepSpec, ...] = STEPS) -> None:
        """Accept one workflow."""
        self.tables = WorkflowTables()
        self.leadership = RunLeadership(RunSettings(LEASE_S, 1), 1, 0)
        self.orders: dict[str, RunOrders] = {}
        self.ends: list[RunEnd] = []
        self.recorded: list[RecordRuns] = []
        queue = Queue('queue', 'host', '/queue/', 'pool', 0, 2, 2, 1000, 3000)
        self.apply(
            ReplaceQueues(QueueConfiguration(1, (queue,), (Pool('pool'),))),
        )
        spec = WorkflowSpec('text', steps)
        self.apply(AcceptWorkflow(WORKFLOW_ID, 'host', PATH, spec))

    def apply(self, operation: WorkflowOperation) -> None:
        """Apply an operation as the replicated log does."""
        error = apply_workflow_operation(self.tables, operation, 0)
        assert error is None
        handle_applied_run_operation(self.leadership, self.tables, operation)

    def report(self, report: RunReport, guard: str, now_s: float) -> None:
        """Handle a report of a guard, then run a tick."""
        effects = handle_report(
            self.leadership, self.tables, guard, report, now_s
        )
        self._run(effects)
        self.tick(now_s)

    def tick(self, now_s: float) -> None:
        """Run two ticks, the second after the pass interval."""
        self._run(handle_run_tick(self.leadership, self.tables, now_s, 0))
        self._run(
            handle_run_tick(self.leadership, self.tables, now_s + 0.02, 0)
        )

    def _run(self, effects: list[Send | ProposeAsLeader]) -> None:
        for effect in effects:
            match effect:
                case Send(message=RunOrders() as orders):
                    self.orders[effect.peer] = orders
                case ProposeAsLeader(operation=RecordRuns() as operation):
                    self.ends.extend(operation.ends)
                    self.recorded.append(operation)
                    self.apply(operation)

    def count_pending(self) -> int:
        """Return how many workflows wait for their first run."""
        queue = self.tables.configuration.queues[0]
        return count_pending_workflows(self.tables, queue)

    def get_wanted(self, guard: str) -> list[RunKey]:
        """Return the runs in the latest orders of a guard."""
        return [order.key for order in self.orders[guard].wanted]


def _create_report(
    sent_at_s: float,
    running: tuple[RunKey, ...] = (),
    ended: tuple[EndedRun, ...] = (),
    lifetime: str = LIFETIME,
    *,
    is_looked: bool = True,
) -> RunReport:
    worker_info = WorkerInfo(
        'worker',
        lifetime,
        'pool',
        'north-yard',
        Resources(4000, 4000),
        ('a', 'r1-1'),
    )
    runs = tuple(
        RunningRun(key, 'saved', 50, 0, has_details=True) for key in running
    )
    return RunReport(
        sent_at_s,
        1,
        worker_info,
        runs,
        ended,
        (),
        is_looked,
        is_answering=True,
        is_gone=False,
        unsure_for_s=0,
    )


FIRST = RunKey(f'{WORKFLOW_ID}.0.0.0', 1)
SECOND = RunKey(f'{WORKFLOW_ID}.0.1.0', 1)


def test_step_starts_after_its_dependency() -> None:
    """The second step starts once the first is recorded as done."""
    harness = LeaderHarness()
    harness.report(_create_report(0.1), GUARD, 0.1)
    assert harness.get_wanted(GUARD) == [FIRST]
    ended = EndedRun(1, FIRST, 'done', '')
    harness.report(_create_report(0.2, (), (ended,)), GUARD, 0.2)
    assert harness.get_wanted(GUARD) == [SECOND]
    assert harness.orders[GUARD].settled_number == 1
    last = EndedRun(2, SECOND, 'done', '')
    harness.report(_create_report(0.3, (), (ended, last)), GUARD, 0.3)
    workflow = harness.tables.workflows[WORKFLOW_ID]
    assert workflow.status is WorkflowStatus.completed


def test_new_incarnation_loses_only_absent_runs() -> None:
    """A run that reached the new incarnation is not placed again."""
    harness = LeaderHarness()
    harness.report(_create_report(0.1), GUARD, 0.1)
    unpolled = _create_report(1, (), (), NEXT_LIFETIME, is_looked=False)
    harness.report(unpolled, GUARD, 1)
    assert not harness.ends
    harness.report(_create_report(1.1, (FIRST,), (), NEXT_LIFETIME), GUARD, 1.1)
    assert not harness.ends
    harness.report(_create_report(1.2, (), (), NEXT_LIFETIME), GUARD, 1.2)
    assert [end.kind for end in harness.ends] == [RunEndKind.lost]


def test_silent_worker_loses_its_runs_after_the_lease() -> None:
    """A run is placed elsewhere only once its lease is certain to be over."""
    harness = LeaderHarness()
    harness.report(_create_report(0.1), GUARD, 0.1)
    harness.report(_create_report(2, (FIRST,)), GUARD, 2)
    harness.report(_create_report(0.1), OTHER_GUARD, 7.9)
    assert not harness.ends
    harness.report(_create_report(0.9), OTHER_GUARD, 8.5)
    harness.tick(8.6)
    assert harness.ends == [
        RunEnd(*_get_task_and_run(FIRST), RunEndKind.lost, 'saved')
    ]
    assert harness.get_wanted(OTHER_GUARD) == [RunKey(FIRST.task_id, 2)]


def _get_task_and_run(key: RunKey) -> tuple[str, int]:
    return (key.task_id, key.run)


def test_cancelled_run_is_ordered_to_stop() -> None:
    """The guard is ordered to make a cancelled run absent."""
    harness = LeaderHarness()
    harness.report(_create_report(0.1), GUARD, 0.1)
    harness.apply(CancelWorkflow(WORKFLOW_ID, 'host', PATH))
    harness.tick(0.3)
    assert not harness.get_wanted(GUARD)
    assert harness.orders[GUARD].stops == (FIRST,)


def test_failures_use_up_the_attempts() -> None:
    """A task that used up its attempts fails its workflow."""
    harness = LeaderHarness()
    harness.report(_create_report(0.1), GUARD, 0.1)
    failed = EndedRun(1, FIRST, 'failed', '')
    harness.report(_create_report(0.2, (), (failed,)), GUARD, 0.2)
    again = EndedRun(2, RunKey(FIRST.task_id, 2), 'failed', '')
    harness.report(_create_report(0.3, (), (failed, again)), GUARD, 0.3)
    workflow = harness.tables.workflows[WORKFLOW_ID]
    assert workflow.status is WorkflowStatus.failed
    assert not harness.get_wanted(GUARD)


def test_restarted_guard_is_told_of_earlier_runs_before_they_are_lost() -> None:
    """A new guard process cannot know of starts that the last one sent."""
    harness = LeaderHarness()
    harness.report(_create_report(0.1), GUARD, 0.1)
    first = msgspec.structs.replace(
        _create_report(1, lifetime=NEXT_LIFETIME), term=0, is_restarted=True
    )
    harness.report(first, GUARD, 1)
    assert not harness.ends
    assert harness.orders[GUARD].earlier == (FIRST,)
    second = msgspec.structs.replace(first, sent_at_s=1.1, term=1)
    harness.report(second, GUARD, 1.1)
    assert [end.kind for end in harness.ends] == [RunEndKind.lost]


# Guards against a start that the next incarnation of a gone worker carries out.
def test_restarted_guard_ends_no_run_of_a_gone_worker_at_once() -> None:
    """The previous process may have left its start unanswered."""
    harness = LeaderHarness()
    harness.report(_create_report(0.1), GUARD, 0.1)
    gone = msgspec.structs.replace(
        _create_report(1), term=0, is_gone=True, is_restarted=True
    )
    harness.report(gone, GUARD, 1)
    assert not harness.ends
    assert harness.get_wanted(GUARD) == [FIRST]
    informed = msgspec.structs.replace(gone, sent_at_s=1.1, term=1)
    harness.report(informed, GUARD, 1.1)
    assert [end.kind for end in harness.ends] == [RunEndKind.lost]


def test_restarted_guard_waits_for_late_acknowledgements() -> None:
    """One of the previous process may still reach a new incarnation."""
    harness = LeaderHarness()
    harness.report(_create_report(0.1), GUARD, 0.1)
    for second in range(1, 14):
        report = msgspec.structs.replace(
            _create_report(second, lifetime=NEXT_LIFETIME), is_restarted=True
        )
        harness.report(report, GUARD, second)
        is_waiting = second < 1 + MAX_CALL_DELAY_S
        assert bool(harness.get_wanted(GUARD)) is not is_waiting


def test_worker_that_accepts_no_runs_gets_none() -> None:
    """Its guard has an acknowledgement without an answer."""
    harness = LeaderHarness()
    closed = msgspec.structs.replace(_create_report(0.1), is_accepting=False)
    harness.report(closed, GUARD, 0.1)
    assert not harness.get_wanted(GUARD)
    harness.report(_create_report(0.2), GUARD, 0.2)
    assert harness.get_wanted(GUARD) == [FIRST]


def _create_refused(key: RunKey, sent_at_s: float) -> RunReport:
    report = _create_report(sent_at_s)
    return msgspec.structs.replace(report, closed=(ClosedRun(key, 'room'),))


# Callers were told that no workflow waits while all starts were unanswered.
def test_workflow_waits_until_a_run_of_it_is_listed() -> None:
    """A recorded start says nothing; a listed run is recorded at once."""
    harness = LeaderHarness()
    harness.report(_create_report(1), GUARD, 1)
    key = harness.get_wanted(GUARD)[0]
    assert harness.count_pending() == 1
    harness.report(_create_refused(key, 2), GUARD, 2)
    assert [end.kind for end in harness.ends] == [RunEndKind.refused]
    assert harness.count_pending() == 1
    harness.report(_create_report(3), GUARD, 3)
    next_key = harness.get_wanted(GUARD)[0]
    harness.report(_create_report(4, (next_key,)), GUARD, 4)
    assert harness.count_pending() == 0
    harness.leadership = RunLeadership(RunSettings(LEASE_S, 1), 2, 5)
    harness.tick(60)
    assert harness.ends[-1].kind is RunEndKind.lost
    assert harness.count_pending() == 0


def test_ends_of_runs_that_ran_count_as_begun() -> None:
    """An end that a worker lists shows that the run has begun."""
    for kind in RunEndKind:
        harness = LeaderHarness()
        harness.report(_create_report(1), GUARD, 1)
        key = harness.get_wanted(GUARD)[0]
        ended = EndedRun(1, key, kind.value, '')
        harness.report(_create_report(2, ended=(ended,)), GUARD, 2)
        is_unknown = kind in {RunEndKind.refused, RunEndKind.lost}
        assert harness.count_pending() == is_unknown


def test_begun_workflow_is_recorded_once() -> None:
    """A begun workflow is recorded once, however often its run is listed."""
    harness = LeaderHarness()
    harness.report(_create_report(1), GUARD, 1)
    key = harness.get_wanted(GUARD)[0]
    for at_s in (2, 3, 4):
        harness.report(_create_report(at_s, (key,)), GUARD, at_s)
    assert harness.recorded[1:] == [RecordRuns(begun_workflows=(WORKFLOW_ID,))]


def test_begun_workflow_is_recorded_with_other_ends() -> None:
    """Between two sweeps, the operation with ends takes it along."""
    harness = LeaderHarness((StepSpec(2, Resources(1000, 100), 1000),))
    harness.report(_create_report(1), GUARD, 1)
    key, other_key = harness.get_wanted(GUARD)
    harness.leadership.sweep_at_s = 100
    harness.report(_create_report(2, (key,)), GUARD, 2)
    assert harness.count_pending() == 1
    harness.report(_create_refused(other_key, 3), GUARD, 3)
    operation = harness.recorded[1]
    assert operation.ends[0].kind is RunEndKind.refused
    assert operation.begun_workflows == (WORKFLOW_ID,)
    assert harness.count_pending() == 0


# Guards against a start under a lease that is granted after the expiry.
def test_run_that_is_given_up_is_not_ordered_again() -> None:
    """The guard reports again while the end of the run is not committed."""
    harness = LeaderHarness()
    harness.report(_create_report(0.1), GUARD, 0.1)
    effects = handle_run_tick(harness.leadership, harness.tables, 7.4, 0)
    ends = [
        effect.operation
        for effect in effects
        if isinstance(effect, ProposeAsLeader)
    ]
    assert ends == [
        RecordRuns(ends=(RunEnd(*_get_task_and_run(FIRST), RunEndKind.lost),))
    ]
    harness.report(_create_report(7.4), GUARD, 7.41)
    assert not harness.get_wanted(GUARD)
    assert harness.orders[GUARD].stops == (FIRST,)


# Guards against runs that are never ordered again after a failed proposal.
def test_run_is_ordered_again_if_its_end_was_not_proposed() -> None:
    """The end stays unrecorded, and a later report may show another one."""
    harness = LeaderHarness()
    harness.report(_create_report(0.1), GUARD, 0.1)
    effects = handle_run_tick(harness.leadership, harness.tables, 7.4, 0)
    for effect in effects:
        if isinstance(effect, ProposeAsLeader):
            assert isinstance(effect.operation, RecordRuns)
            handle_run_proposal_failure(harness.leadership, effect.operation)
    harness.report(_create_report(7.4), GUARD, 7.41)
    assert harness.get_wanted(GUARD) == [FIRST]


# Guards against work that is lost with each restart of a worker.
def test_checkpoint_outlives_the_incarnation_of_its_run() -> None:
    """The next incarnation announces itself before it is polled."""
    harness = LeaderHarness()
    harness.report(_create_report(0.1), GUARD, 0.1)
    harness.report(_create_report(1, (FIRST,)), GUARD, 1)
    unpolled = _create_report(2, (), (), NEXT_LIFETIME, is_looked=False)
    harness.report(unpolled, GUARD, 2)
    later = '000003.worker'
    again = _create_report(3, (), (), later, is_looked=False)
    harness.report(again, GUARD, 3)
    harness.report(_create_report(3.1, (), (), later), GUARD, 3.1)
    assert harness.ends == [
        RunEnd(*_get_task_and_run(FIRST), RunEndKind.lost, 'saved')
    ]
