"""Tests of which calls a fence keeps from taking effect."""

import msgspec
import pytest

from cumintack.coordination.runs.due_calls import (
    is_call_due,
    list_due_calls,
    withdraw_call,
)
from cumintack.coordination.runs.fencing import (
    MAX_CLOCK_DRIFT,
    is_fenced,
)
from cumintack.coordination.runs.run_leadership import (
    handle_report,
    handle_run_tick,
)
from cumintack.coordination.runs.run_leadership_state import (
    RunLeadership,
    RunSettings,
)
from cumintack.coordination.runs.run_reconciliation import (
    apply_orders,
    apply_poll_result,
    create_report,
    find_longest_hold,
    record_worker_info,
)
from cumintack.coordination.runs.unanswered_calls import (
    MAX_CALL_DELAY_S,
    create_worker_run_state,
    record_acknowledgement,
    record_unanswered_acknowledgement,
    record_unanswered_lease,
)
from cumintack.coordination.runs.worker_run_state import (
    FencingToken,
    PollResult,
    StopRun,
    WorkerRunState,
)
from cumintack.protocol.run_messages import (
    RunDetails,
    RunKey,
    RunningRun,
    RunOrder,
    RunOrders,
    RunReport,
    WorkerInfo,
)
from cumintack.state.resources import Resources
from cumintack.state.workflows import WorkflowTables

KEY = RunKey('0123456789abcdef.0.0.1', 1)
GUARD = '10.0.0.1'
LEASE_S = 8.0
MAX_LEASE_S = 10.0
FIRST = WorkerInfo(
    'worker',
    '000001.worker',
    'pool',
    'north-yard',
    Resources(32000, 128000),
    (),
)
SECOND = msgspec.structs.replace(FIRST, lifetime='000002.worker')


class GuardHarness:
    """A guard whose leader answers each report at once."""

    def __init__(self) -> None:
        """Start the process at 0 s."""
        self.state = create_worker_run_state(0, LEASE_S, MAX_LEASE_S)
        self.leadership = RunLeadership(RunSettings(LEASE_S, 1), 1, 0)
        self.announce(FIRST, 0)

    def announce(self, worker_info: WorkerInfo, now_s: float) -> None:
        """Announce an incarnation of the worker."""
        record_worker_info(self.state, worker_info, now_s)

    def report(self, now_s: float) -> RunReport:
        """Report to the leader, and apply its orders."""
        report = create_report(self.state, now_s)
        assert report is not None
        tables = WorkflowTables()
        handle_report(self.leadership, tables, GUARD, report, now_s)
        for effect in handle_run_tick(self.leadership, tables, now_s, 0):
            message = getattr(effect, 'message', None)
            assert isinstance(message, RunOrders)
            assert apply_orders(self.state, message, now_s)
        return report

    def poll(self, now_s: float, token: FencingToken | None = None) -> None:
        """Have the worker answer a poll, by default under the current token."""
        state = self.state
        assert state.facts is not None
        poll = PollResult(
            now_s,
            now_s,
            state.facts.lifetime,
            (),
            (),
            token=token or state.token,
        )
        apply_poll_result(state, poll)


@pytest.fixture(name='guard')
def _guard() -> GuardHarness:
    return GuardHarness()


def _get_hold_s(state: WorkerRunState) -> float:
    return find_longest_hold(state).until_s


# Guards against runs that end while calls of a previous process prolong them.
def test_calls_of_a_previous_process_count_until_the_worker_is_fenced(
    guard: GuardHarness,
) -> None:
    """Only a poll under a token of this process shows that they are refused."""
    guard.poll(0.1)
    assert not is_fenced(guard.state)
    guard.report(0.2)
    earlier = FencingToken(1, 0)
    guard.poll(0.3, earlier)
    assert not is_fenced(guard.state)
    assert _get_hold_s(guard.state) > MAX_CALL_DELAY_S + MAX_LEASE_S
    guard.poll(0.4)
    assert is_fenced(guard.state)
    longest_s = 0.4 + MAX_LEASE_S / (1 - MAX_CLOCK_DRIFT)
    assert _get_hold_s(guard.state) == pytest.approx(longest_s + 0.1)


# Guards against a leader of an earlier version, which numbers no fences.
def test_term_alone_fences_nothing(guard: GuardHarness) -> None:
    """The previous process may have made its calls in the same term."""
    orders = RunOrders(1, 1, FIRST.lifetime, 0, LEASE_S, 0, (), ())
    assert apply_orders(guard.state, orders, 0)
    guard.poll(0.1)
    assert not is_fenced(guard.state)
    report = create_report(guard.state, 0.2)
    assert report is not None
    assert report.needs_fence


# Guards against a fence that is believed to cover calls made under it.
def test_unanswered_call_requires_a_new_token(guard: GuardHarness) -> None:
    """The leader numbers a fence once, and again only if one is asked for."""
    guard.report(0.1)
    guard.poll(0.2)
    token = guard.state.token
    assert not guard.report(0.5).needs_fence
    assert guard.state.token == token
    record_unanswered_lease(guard.state, 9, 1, token)
    guard.poll(1.1)
    assert _get_hold_s(guard.state) > 1 + MAX_CALL_DELAY_S + MAX_LEASE_S
    assert guard.report(1.2).needs_fence
    assert guard.state.token > token
    guard.poll(1.3)
    assert _get_hold_s(guard.state) < 1.5 + MAX_LEASE_S / (1 - MAX_CLOCK_DRIFT)
    # One that times out only now is refused as well.
    record_unanswered_lease(guard.state, 9, 1.4, token)
    assert not guard.state.needs_fence
    assert _get_hold_s(guard.state) < 1.5 + MAX_LEASE_S / (1 - MAX_CLOCK_DRIFT)


# Guards against a fence of one incarnation that is taken for one of the next.
def test_next_incarnation_has_seen_no_token(guard: GuardHarness) -> None:
    """It gets runs once it refuses the late acknowledgement."""
    guard.report(0.1)
    guard.poll(0.2)
    token = guard.state.token
    record_acknowledgement(guard.state, FIRST, token, 20)
    record_unanswered_acknowledgement(guard.state, 20, 21)
    guard.announce(SECOND, 22)
    assert not is_fenced(guard.state)
    guard.poll(22.1)
    assert not guard.report(22.2).is_accepting
    guard.poll(22.3)
    report = guard.report(22.4)
    assert report.is_accepting
    assert report.is_fenced


# Guards against other workers whose calls are late being forgotten by a fence.
def test_leader_hears_of_late_calls_in_spite_of_a_fence(
    guard: GuardHarness,
) -> None:
    """A silent guard elsewhere may have left a call unanswered too."""
    guard.report(30)
    guard.poll(30.1)
    record_unanswered_lease(guard.state, 39, 31, guard.state.token)
    guard.report(31.1)
    guard.poll(31.2)
    guard.leadership = RunLeadership(RunSettings(LEASE_S, 1), 2, 32)
    guard.report(32.1)
    until_s = 31 + MAX_CALL_DELAY_S + MAX_LEASE_S
    assert guard.leadership.late_calls_until_s == pytest.approx(until_s)


# Guards against a call that the worker refuses because of its older token.
def test_waiting_call_is_made_under_the_new_token() -> None:
    """The worker may have seen the new token before the call is sent."""
    state = WorkerRunState(0)
    record_worker_info(state, FIRST, 0)
    runs = (RunOrder(KEY, RunDetails('text')),)
    orders = RunOrders(1, 1, FIRST.lifetime, 0, LEASE_S, 0, runs, (), fence=1)
    assert apply_orders(state, orders, 0)
    apply_poll_result(state, PollResult(0, 0, FIRST.lifetime, (), ()))
    start = list_due_calls(state, 0)[0]
    assert is_call_due(state, FIRST, start)
    state.needs_fence = True
    later = msgspec.structs.replace(orders, number=2, fence=2)
    assert apply_orders(state, later, 0)
    assert not is_call_due(state, FIRST, start)
    withdraw_call(state, FIRST, start)
    assert list_due_calls(state, 0)[0].token == FencingToken(1, 2)


# Guards against a second start by a process that knows nothing of the first.
def test_started_run_that_is_not_listed_has_vanished() -> None:
    """The leader knows that the previous process has started it."""
    state = create_worker_run_state(0, LEASE_S, MAX_LEASE_S)
    record_worker_info(state, FIRST, 0)
    runs = (RunOrder(KEY, RunDetails('text'), is_start_past=True),)
    orders = RunOrders(1, 1, FIRST.lifetime, 0, LEASE_S, 0, runs, (), fence=1)
    assert apply_orders(state, orders, 0)
    apply_poll_result(state, PollResult(1, 1, FIRST.lifetime, (), ()))
    assert list_due_calls(state, 1) == [StopRun(KEY, FencingToken(1, 1))]


# Guards against a start that is made after the leader was told of the run.
def test_waiting_start_of_a_listed_run_is_not_made() -> None:
    """Another start of the run has been carried out meanwhile."""
    state = WorkerRunState(0)
    record_worker_info(state, FIRST, 0)
    runs = (RunOrder(KEY, RunDetails('text')),)
    orders = RunOrders(1, 1, FIRST.lifetime, 0, LEASE_S, 0, runs, ())
    assert apply_orders(state, orders, 0)
    apply_poll_result(state, PollResult(0, 0, FIRST.lifetime, (), ()))
    start = list_due_calls(state, 0)[0]
    listed = (RunningRun(KEY, '', 10, 0, has_details=True),)
    apply_poll_result(state, PollResult(1, 1, FIRST.lifetime, listed, ()))
    assert not is_call_due(state, FIRST, start)
