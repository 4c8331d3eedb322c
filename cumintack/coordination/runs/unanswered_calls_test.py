"""Tests that calls without an answer never make a task run twice."""

import math

import msgspec

from cumintack.coordination.runs.due_calls import list_due_calls
from cumintack.coordination.runs.run_reconciliation import (
    apply_orders,
    apply_poll_result,
    create_report,
    get_number_to_acknowledge,
    handle_call_answer,
    record_incarnation_end,
    record_worker_info,
)
from cumintack.coordination.runs.unanswered_calls import (
    CALL_TIMEOUT_S,
    MAX_CALL_DELAY_S,
    create_worker_run_state,
    handle_late_start_answer,
    record_acknowledgement,
    record_acknowledgement_answer,
    record_unanswered_acknowledgement,
)
from cumintack.coordination.runs.worker_run_state import (
    CallAnswer,
    Fence,
    FencingToken,
    PollResult,
    StartRun,
    StopRun,
    WorkerRunState,
)
from cumintack.protocol.run_messages import (
    LEASE_EXPIRED,
    RunDetails,
    RunKey,
    RunningRun,
    RunOrder,
    RunOrders,
    RunReport,
    WorkerInfo,
)
from cumintack.state.resources import Resources

KEY = RunKey('0123456789abcdef.0.0.1', 1)
TOKEN = FencingToken(1)
LEASE_S = 8.0
MAX_LEASE_S = 10.0
FIRST = WorkerInfo(
    'worker',
    '000001.worker',
    'pool',
    'north-yard',
    Resources(32000, 128000),
    ('a', 'r1-1'),
)
SECOND = msgspec.structs.replace(FIRST, lifetime='000002.worker')
THIRD = msgspec.structs.replace(FIRST, lifetime='000003.worker')
OTHER = msgspec.structs.replace(
    FIRST, worker_id='other', lifetime='000002.other'
)


LONG_AGO_S = -1000.0


def _create_state(started_at_s: float = LONG_AGO_S) -> WorkerRunState:
    state = create_worker_run_state(started_at_s, LEASE_S, MAX_LEASE_S)
    record_worker_info(state, FIRST, max(0, started_at_s))
    return state


def _order(
    state: WorkerRunState,
    number: int,
    now_s: float,
    wanted: tuple[RunKey, ...] = (),
    earlier: tuple[RunKey, ...] = (),
    settled_number: int = 0,
) -> None:
    assert state.facts is not None
    orders = RunOrders(
        1,
        number,
        state.facts.lifetime,
        now_s,
        LEASE_S,
        settled_number,
        tuple(RunOrder(key, RunDetails('text')) for key in wanted),
        (),
        earlier=earlier,
    )
    assert apply_orders(state, orders, now_s)


def _poll(
    state: WorkerRunState, now_s: float, running: tuple[RunKey, ...] = ()
) -> None:
    assert state.facts is not None
    runs = tuple(
        RunningRun(key, '', 10, 0, has_details=False) for key in running
    )
    lifetime = state.facts.lifetime
    apply_poll_result(state, PollResult(now_s, now_s, lifetime, runs, ()))


def _answer(
    state: WorkerRunState,
    call: StartRun | StopRun,
    now_s: float,
    *,
    is_answered: bool = True,
    reason: str = '',
) -> None:
    is_done = is_answered and not reason
    answer = CallAnswer(is_answered, is_done, reason, now_s, now_s)
    handle_call_answer(state, call, answer)


def _take_call(
    state: WorkerRunState, now_s: float, kind: type[StartRun] | type[StopRun]
) -> StartRun | StopRun:
    """Return the only call that is due."""
    calls = list_due_calls(state, now_s)
    assert [type(call) for call in calls] == [kind]
    call = calls[0]
    assert isinstance(call, StartRun | StopRun)
    return call


def _leave(state: WorkerRunState) -> None:
    assert state.facts is not None
    draining = msgspec.structs.replace(state.facts, is_draining=True)
    record_worker_info(state, draining, 0)
    record_incarnation_end(state, draining.lifetime)


def _report(state: WorkerRunState, now_s: float) -> RunReport:
    report = create_report(state, now_s)
    assert report is not None
    return report


def test_restarted_guard_keeps_runs_of_silent_worker() -> None:
    """A new process waits for every lease that the previous one may have sent.

    Seen in the soak (seed 20261204): a guard was started again while its
    worker was silent, and reported all ordered runs as expired.
    """
    state = _create_state(100)
    _order(state, 1, 100, (KEY,))
    assert not _report(state, 100 + LEASE_S + 1).closed
    latest_end_s = 100 + MAX_CALL_DELAY_S + MAX_LEASE_S
    assert not _report(state, latest_end_s).closed
    closed = _report(state, latest_end_s + 1).closed
    assert [(run.key, run.reason) for run in closed] == [(KEY, LEASE_EXPIRED)]


def test_restarted_guard_stops_refused_run_before_it_counts_as_absent() -> None:
    """A start of the previous process may follow the one that is refused."""
    state = _create_state(100)
    _order(state, 1, 100, (KEY,))
    _poll(state, 100.1)
    start = _take_call(state, 100.2, StartRun)
    _answer(state, start, 100.3, reason='room')
    assert not _report(state, 100.4).closed
    stop = _take_call(state, 100.7, StopRun)
    _answer(state, stop, 100.8)
    _poll(state, 100.9)
    assert [run.key for run in _report(state, 101).closed] == [KEY]


def test_run_ordered_to_new_process_only_is_closed_by_its_refusal() -> None:
    """Later orders add runs that the previous process never received."""
    state = _create_state(100)
    _order(state, 1, 100)
    _order(state, 2, 100.1, (KEY,))
    _poll(state, 100.1)
    start = _take_call(state, 100.2, StartRun)
    _answer(state, start, 100.3, reason='room')
    assert [run.key for run in _report(state, 100.4).closed] == [KEY]


def test_restarted_guard_stops_runs_of_earlier_incarnations() -> None:
    """A start that the previous process sent may reach this incarnation."""
    state = _create_state(100)
    assert _report(state, 100).is_restarted
    _order(state, 1, 100.1, earlier=(KEY,))
    _poll(state, 100.2)
    assert create_report(state, 100.3) is None
    stop = _take_call(state, 100.3, StopRun)
    _answer(state, stop, 100.4)
    assert not _report(state, 100.5).closed
    record_worker_info(state, SECOND, 101)
    assert create_report(state, 101.1) is None


def test_old_process_ignores_runs_of_earlier_incarnations() -> None:
    """After the longest delay of a call nothing of them can come."""
    state = _create_state(100)
    _order(state, 1, 101 + MAX_CALL_DELAY_S, earlier=(KEY,))
    assert not _report(state, 102 + MAX_CALL_DELAY_S).is_restarted


def test_repeated_start_is_stopped_in_next_incarnation() -> None:
    """The first start may still come although the second was answered."""
    state = _create_state()
    _order(state, 1, 0, (KEY,))
    _poll(state, 0)
    start = _take_call(state, 0.1, StartRun)
    _answer(state, start, 1, is_answered=False)
    again = _take_call(state, 2, StartRun)
    _answer(state, again, 2.1)
    record_worker_info(state, SECOND, 3)
    _poll(state, 3.1)
    assert create_report(state, 3.2) is None
    _take_call(state, 3.2, StopRun)


def test_stop_clears_late_start_in_one_incarnation_only() -> None:
    """The next incarnation knows nothing of a stop that was confirmed."""
    state = _create_state()
    _order(state, 1, 0, (KEY,))
    _poll(state, 0)
    start = _take_call(state, 0.1, StartRun)
    _answer(state, start, 1, is_answered=False)
    for second, worker_info in ((2, SECOND), (3, THIRD)):
        record_worker_info(state, worker_info, second)
        _poll(state, second + 0.1)
        assert create_report(state, second + 0.2) is None
        stop = _take_call(state, second + 0.2, StopRun)
        _answer(state, stop, second + 0.3)
        assert create_report(state, second + 0.4) is not None


def test_late_answer_leaves_earlier_start_unanswered() -> None:
    """The answer to the second start says nothing of the first."""
    state = _create_state()
    _order(state, 1, 0, (KEY,))
    _poll(state, 0)
    start = _take_call(state, 0.1, StartRun)
    _answer(state, start, 1, is_answered=False)
    again = _take_call(state, 2, StartRun)
    record_worker_info(state, SECOND, 2.1)
    answer = CallAnswer(True, True, '', 2, 2.2)
    handle_late_start_answer(state, again, answer)
    assert create_report(state, 2.3) is None
    assert create_report(state, 1 + MAX_CALL_DELAY_S + 0.1) is not None


def test_gone_incarnation_with_unanswered_start_is_not_reported() -> None:
    """Its start may reach the next incarnation, which is not known yet."""
    state = _create_state()
    _order(state, 1, 0, (KEY,))
    _poll(state, 0)
    start = _take_call(state, 0.1, StartRun)
    _answer(state, start, 1, is_answered=False)
    _leave(state)
    assert create_report(state, 2) is None
    latest_s = 1 + MAX_CALL_DELAY_S + MAX_LEASE_S
    assert create_report(state, latest_s - 0.1) is None
    assert _report(state, latest_s + 0.1).is_gone


def test_gone_incarnation_without_unanswered_start_is_reported() -> None:
    """All its starts were answered, so nothing can follow."""
    state = _create_state()
    _order(state, 1, 0, (KEY,))
    _poll(state, 0)
    _answer(state, _take_call(state, 0.1, StartRun), 0.2)
    _leave(state)
    assert _report(state, 0.3).is_gone


def test_unanswered_acknowledgement_keeps_runs_from_next_incarnation() -> None:
    """It would remove ends of the next incarnation that nobody has read.

    Seen in the soak (seed 1970453023): the guard then took a run that was
    done for one that had never started.
    """
    state = _create_state()
    record_acknowledgement(state, FIRST, TOKEN, 1)
    assert _report(state, 1.5).is_accepting
    record_worker_info(state, SECOND, 2)
    assert not _report(state, 2).is_accepting
    record_unanswered_acknowledgement(state, 1, 2.2)
    assert not _report(state, 2.1 + MAX_CALL_DELAY_S).is_accepting
    assert _report(state, 2.3 + MAX_CALL_DELAY_S).is_accepting


# Guards against ends that a late acknowledgement removes unread.
def test_acknowledgement_in_a_frozen_process_may_come_later() -> None:
    """It is carried out up to 12 s after it left, which is not known yet."""
    state = _create_state()
    record_acknowledgement(state, FIRST, TOKEN, 1)
    record_worker_info(state, SECOND, 2)
    assert not _report(state, 1.1 + MAX_CALL_DELAY_S).is_accepting


def test_acknowledgement_names_one_worker_identifier() -> None:
    """A worker under another identifier refuses it, a later one does not."""
    state = _create_state()
    record_acknowledgement(state, FIRST, TOKEN, 1)
    record_worker_info(state, OTHER, 2)
    assert _report(state, 2).is_accepting
    record_worker_info(state, THIRD, 3)
    assert not _report(state, 3).is_accepting


def test_answered_acknowledgement_has_no_further_effect() -> None:
    """An answer shows that the acknowledgement was carried out."""
    state = _create_state()
    record_acknowledgement(state, FIRST, TOKEN, 1)
    record_acknowledgement_answer(state, 1)
    record_worker_info(state, SECOND, 2)
    assert _report(state, 2).is_accepting


def test_ends_are_acknowledged_to_their_incarnation_only() -> None:
    """A thread that still holds the next worker reads no earlier number."""
    state = _create_state()
    _order(state, 1, 0, settled_number=7)
    assert get_number_to_acknowledge(state, FIRST) == 7
    assert not get_number_to_acknowledge(state, SECOND)
    record_worker_info(state, SECOND, 1)
    assert not get_number_to_acknowledge(state, SECOND)


# Guards against a run that counts as lost while it goes on.
def test_start_that_the_next_incarnation_confirmed_is_not_lost() -> None:
    """The poll before its answer does not list the run that now goes on.

    Seen in the simulation: the task was placed again beside it.
    """
    state = _create_state()
    _order(state, 1, 0, (KEY,))
    _poll(state, 0)
    start = _take_call(state, 0.1, StartRun)
    record_worker_info(state, SECOND, 1)
    _poll(state, 1.1)
    answer = CallAnswer(True, True, '', 1, 1.2)
    handle_late_start_answer(state, start, answer)
    assert create_report(state, 1.3) is None
    _poll(state, 1.4, (KEY,))
    assert [run.key for run in _report(state, 1.5).running] == [KEY]


# Guards against a run that counts as lost while it goes on.
def test_start_confirmed_by_unannounced_incarnation_is_not_lost() -> None:
    """The first poll of the next incarnation says only that one is gone."""
    state = _create_state()
    _order(state, 1, 0, (KEY,))
    _poll(state, 0)
    _answer(state, _take_call(state, 0.1, StartRun), 0.2)
    runs = (RunningRun(KEY, '', 10, 0, has_details=False),)
    poll = PollResult(0.3, 0.3, SECOND.lifetime, runs, ())
    assert apply_poll_result(state, poll)
    assert create_report(state, 0.4) is None
    record_worker_info(state, SECOND, 1)
    _poll(state, 1.1, (KEY,))
    assert [run.key for run in _report(state, 1.2).running] == [KEY]


# Guards against a start that arrives after it counted as over.
def test_start_that_waited_in_a_frozen_process_may_come_later() -> None:
    """It is carried out up to 12 s after it was sent, not ordered."""
    state = _create_state()
    _order(state, 1, 0, (KEY,))
    _poll(state, 0)
    start = _take_call(state, 0.1, StartRun)
    record_worker_info(state, SECOND, 1)
    _poll(state, 1.1)
    answer = CallAnswer(False, False, '', 9, 10)
    handle_late_start_answer(state, start, answer)
    _poll(state, 14)
    assert create_report(state, 14) is None
    _poll(state, 10 + MAX_CALL_DELAY_S + 0.1)
    assert create_report(state, 10 + MAX_CALL_DELAY_S + 0.2) is not None


# Guards against a run that counts as absent by an old poll.
def test_late_start_on_silent_worker_ends_with_its_lease() -> None:
    """Without a poll after its last moment the run counts as going on."""
    state = _create_state()
    _order(state, 1, 0, (KEY,))
    _poll(state, 0)
    start = _take_call(state, 0.1, StartRun)
    _answer(state, start, 1, is_answered=False)
    record_worker_info(state, SECOND, 2)
    _poll(state, 2.1)
    latest_s = 1 + MAX_CALL_DELAY_S
    assert create_report(state, latest_s + 1.1) is None
    assert create_report(state, latest_s + MAX_LEASE_S + 0.1) is not None


# Guards against a run that is ordered again after its refusal.
def test_orders_to_previous_process_are_ignored() -> None:
    """They may order a run that the previous process reported as refused."""
    state = _create_state(100)
    orders = RunOrders(
        1,
        1,
        FIRST.lifetime,
        99.9,
        LEASE_S,
        0,
        (RunOrder(KEY, RunDetails('text')),),
        (),
    )
    assert not apply_orders(state, orders, 100.1)
    assert not state.wanted


# Guards against a lease that ends by the clock of an earlier boot.
def test_orders_to_a_process_on_another_clock_are_ignored() -> None:
    """The clock of a machine that lost power begins anew."""
    state = create_worker_run_state(0, LEASE_S, MAX_LEASE_S, 'second')
    record_worker_info(state, FIRST, 1)
    orders = RunOrders(1, 1, FIRST.lifetime, 1000, LEASE_S, 0, (), ())
    former = msgspec.structs.replace(orders, echoed_incarnation='first')
    assert not apply_orders(state, former, 2)
    assert state.lease_granted_until_s < 1000
    own = msgspec.structs.replace(
        orders, echoed_sent_at_s=1.5, echoed_incarnation='second'
    )
    assert apply_orders(state, own, 2)
    assert _report(state, 2).incarnation == 'second'


# Guards against runs that count as lost on a worker that has just started.
def test_late_departure_ends_no_later_incarnation() -> None:
    """A departure names the identifier, which the next incarnation reuses."""
    state = _create_state()
    record_worker_info(state, SECOND, 1)
    _order(state, 1, 1, (KEY,))
    _poll(state, 1.1, (KEY,))
    record_incarnation_end(state, SECOND.lifetime)
    assert not _report(state, 1.2).is_gone


# Guards against a run that counts as lost while the next incarnation has it.
def test_start_that_is_answered_after_its_incarnation_ended() -> None:
    """The next incarnation may have answered, which is not announced yet."""
    state = _create_state()
    _order(state, 1, 1, (KEY,))
    _poll(state, 1)
    start = _take_call(state, 1, StartRun)
    apply_poll_result(state, PollResult(2, 2, SECOND.lifetime, (), ()))
    assert create_report(state, 2) is None
    _answer(state, start, 2.1)
    assert create_report(state, 2.2) is None
    record_worker_info(state, SECOND, 2.3)
    assert not _report(state, 2.3).is_looked
    _poll(state, 2.4, (KEY,))
    assert _report(state, 2.4).running


# Guards against ends of workers that are never reported.
def test_stop_in_flight_leaves_no_start_open() -> None:
    """While a run is being stopped, no start of it is in flight."""
    state = _create_state()
    _order(state, 1, 1, (KEY,))
    _poll(state, 1)
    _answer(state, _take_call(state, 1, StartRun), 1, is_answered=False)
    _order(state, 2, 2)
    record_worker_info(state, SECOND, 2)
    _order(state, 3, 2)
    _poll(state, 2)
    stop = _take_call(state, 2, StopRun)
    record_worker_info(state, THIRD, 2.1)
    late = CallAnswer(
        is_answered=False,
        is_done=False,
        reason='',
        sent_at_s=2,
        answered_at_s=3,
    )
    handle_late_start_answer(state, stop, late)
    assert create_report(state, 3) is None
    _poll(state, 14)
    assert _report(state, 14.1).running == ()
    assert not state.unanswered_starts
    _leave(state)
    assert _report(state, 15).is_gone


# Guards against runs that are held for good by a worker that never answers.
def test_unpolled_incarnation_names_the_runs_that_it_may_have_started() -> None:
    """A late start is possible for 12 s, and its run for a lease more."""
    state = _create_state()
    _order(state, 1, 1, (KEY,))
    _poll(state, 1)
    _answer(state, _take_call(state, 1, StartRun), 2, is_answered=False)
    record_worker_info(state, SECOND, 3)
    assert create_report(state, 2 + MAX_CALL_DELAY_S - 0.1) is None
    possible = _report(state, 2 + MAX_CALL_DELAY_S + 0.1)
    assert not possible.is_looked
    assert possible.possibly_started == (KEY,)
    over = _report(state, 2 + MAX_CALL_DELAY_S + MAX_LEASE_S + 0.1)
    assert over.possibly_started == ()


# Guards against a second run beside one that an earlier guard process started.
def test_young_guard_cannot_name_the_runs_of_the_previous_process() -> None:
    """Its late starts may hold a lease for 22 s."""
    state = _create_state(100)
    record_worker_info(state, SECOND, 101)
    until_s = 100 + MAX_CALL_DELAY_S + MAX_LEASE_S
    assert _report(state, until_s - 0.1).possibly_started is None
    assert _report(state, until_s + 0.1).possibly_started == ()


# Guards against runs that are held for good by a worker with a new identifier.
def test_start_for_another_identifier_holds_no_run() -> None:
    """The worker refuses calls that name the previous identifier."""
    state = _create_state()
    _order(state, 1, 1, (KEY,))
    _poll(state, 1)
    _answer(state, _take_call(state, 1, StartRun), 2, is_answered=False)
    record_worker_info(state, OTHER, 3)
    assert _report(state, 3).possibly_started == ()


# Guards against reports that are withheld for good once the worker has left.
def test_hidden_ends_of_a_gone_incarnation_keep_no_start_open() -> None:
    """Nobody will list them any more."""
    state = _create_state()
    _order(state, 1, 1, (KEY,))
    _poll(state, 1)
    _answer(state, _take_call(state, 1, StartRun), 2, is_answered=False)
    cut = PollResult(3, 3, FIRST.lifetime, (), (), lists_all_ends=False)
    apply_poll_result(state, cut)
    apply_poll_result(state, PollResult(4, 4, SECOND.lifetime, (), ()))
    assert create_report(state, 5) is None
    over_s = 2 + MAX_CALL_DELAY_S + MAX_LEASE_S
    assert _report(state, over_s + 0.1).is_gone


# Guards against a leader that ends because a hold in a report has no bound.
def test_start_in_flight_to_a_replaced_worker_holds_nothing() -> None:
    """The worker that follows refuses calls that name another identifier."""
    state = _create_state()
    _order(state, 1, 1, (KEY,))
    _poll(state, 1)
    _take_call(state, 1, StartRun)
    record_worker_info(state, OTHER, 1.5)
    report = _report(state, 1.6)
    assert report.unsure_for_s <= MAX_LEASE_S
    assert not report.late_calls_for_s


# Guards against a hold without a bound once the start in flight is fenced.
def test_start_in_flight_holds_until_it_can_come_late_no_more() -> None:
    """A time-out of the call and the time of a late one are still to come."""
    state = _create_state()
    _order(state, 1, 1, (KEY,))
    _poll(state, 1)
    _take_call(state, 1, StartRun)
    record_worker_info(state, SECOND, 1.5)
    _order(state, 2, 1.6)
    state.fence = Fence(SECOND.lifetime, FencingToken(2), 1.7)
    _poll(state, 1.8)
    latest_s = CALL_TIMEOUT_S + MAX_CALL_DELAY_S + MAX_LEASE_S
    for now_s in (1.9, 100.0):
        unsure_for_s = _report(state, now_s).unsure_for_s
        assert math.isclose(unsure_for_s, latest_s, abs_tol=0.1)


# Guards against a bound on a call that a process that stands still makes later.
def test_start_in_flight_is_not_past_before_its_outcome_is_known() -> None:
    """Its answer tells from when on it may be carried out late."""
    state = _create_state()
    _order(state, 1, 1, (KEY,))
    _poll(state, 1)
    _take_call(state, 1, StartRun)
    record_worker_info(state, SECOND, 1.5)
    _poll(state, 60)
    assert create_report(state, 100) is None
