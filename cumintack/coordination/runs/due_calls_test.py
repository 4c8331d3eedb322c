"""Tests of calls that wait for a thread while the orders change."""

import msgspec
import pytest

from cumintack.coordination.runs.due_calls import (
    is_call_due,
    list_due_calls,
    withdraw_call,
)
from cumintack.coordination.runs.run_reconciliation import (
    apply_orders,
    apply_poll_result,
    create_report,
    record_worker_info,
)
from cumintack.coordination.runs.worker_run_state import (
    FencingToken,
    PollResult,
    StartRun,
    StopRun,
    WorkerRunState,
)
from cumintack.protocol.run_messages import (
    RunDetails,
    RunKey,
    RunOrder,
    RunOrders,
    WorkerInfo,
)
from cumintack.state.resources import Resources

KEY = RunKey('0123456789abcdef.0.0.1', 1)
LEASE_S = 8.0
WORKER = WorkerInfo(
    'worker',
    '000001.worker',
    'pool',
    'north-yard',
    Resources(32000, 128000),
    (),
)
DRAINING = msgspec.structs.replace(WORKER, is_draining=True)
NEXT = msgspec.structs.replace(WORKER, lifetime='000002.worker')


def _order(
    state: WorkerRunState,
    number: int,
    wanted: tuple[RunKey, ...] = (),
    term: int = 1,
) -> None:
    runs = tuple(RunOrder(key, RunDetails('text')) for key in wanted)
    orders = RunOrders(
        term, number, WORKER.lifetime, 0, LEASE_S, 0, runs, (KEY,)[len(runs) :]
    )
    assert apply_orders(state, orders, 0)


def _create_state() -> WorkerRunState:
    state = WorkerRunState(0)
    record_worker_info(state, WORKER, 0)
    _order(state, 1, (KEY,))
    apply_poll_result(state, PollResult(0, 0, WORKER.lifetime, (), ()))
    return state


# Guards against a start that is made seconds after its run was cancelled.
def test_start_is_withdrawn_after_cancel() -> None:
    """Earlier calls that hang keep a start waiting."""
    state = _create_state()
    start = list_due_calls(state, 0)[0]
    assert is_call_due(state, WORKER, start)
    _order(state, 2)
    assert not is_call_due(state, WORKER, start)
    withdraw_call(state, WORKER, start)
    assert list_due_calls(state, 3) == [StopRun(KEY, FencingToken(1))]


# Guards against a start that is made seconds after its worker began to drain.
def test_start_is_withdrawn_from_draining_worker() -> None:
    """The run counts as absent, since no start of it was sent."""
    state = _create_state()
    start = list_due_calls(state, 0)[0]
    record_worker_info(state, DRAINING, 1)
    assert not is_call_due(state, WORKER, start)
    withdraw_call(state, WORKER, start)
    assert not list_due_calls(state, 3)
    report = create_report(state, 3)
    assert report is not None
    assert [run.key for run in report.closed] == [KEY]


# Guards against a start that the next incarnation carries out.
def test_start_is_withdrawn_from_next_incarnation() -> None:
    """A start that was not sent delays no report."""
    state = _create_state()
    start = list_due_calls(state, 0)[0]
    record_worker_info(state, NEXT, 1)
    assert not is_call_due(state, WORKER, start)
    assert create_report(state, 3) is None
    withdraw_call(state, WORKER, start)
    assert create_report(state, 3) is not None


# Guards against a start under the term of a previous leader.
def test_start_of_previous_term_is_sent_under_the_new_one() -> None:
    """The worker refuses calls of an earlier term."""
    state = _create_state()
    start = list_due_calls(state, 0)[0]
    _order(state, 1, (KEY,), term=2)
    assert not is_call_due(state, WORKER, start)
    withdraw_call(state, WORKER, start)
    again = list_due_calls(state, 3)[0]
    assert isinstance(again, StartRun)
    assert again.token.term == 2


@pytest.mark.parametrize('worker_info', [WORKER, DRAINING])
def test_stop_is_made_whatever_the_worker_announces(
    worker_info: WorkerInfo,
) -> None:
    """Only another incarnation makes a stop needless."""
    state = _create_state()
    _order(state, 2)
    stop = list_due_calls(state, 0)[0]
    record_worker_info(state, worker_info, 1)
    assert is_call_due(state, WORKER, stop)
    record_worker_info(state, NEXT, 1)
    assert not is_call_due(state, WORKER, stop)
