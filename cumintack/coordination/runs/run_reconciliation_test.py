"""A guard makes its worker run what is wanted, and never claims too much."""

import msgspec

from cumintack.coordination.runs.due_calls import list_due_calls
from cumintack.coordination.runs.run_reconciliation import (
    LATE_CALL_S,
    apply_orders,
    apply_poll_result,
    create_report,
    handle_call_answer,
    handle_late_start_answer,
    is_every_lease_expired,
    record_unanswered_lease,
    record_worker_info,
)
from cumintack.coordination.runs.worker_run_state import (
    CallAnswer,
    PaceRun,
    PollResult,
    StartRun,
    StopRun,
    WorkerRunState,
)
from cumintack.protocol.run_messages import (
    LAPSED,
    EndedRun,
    RunDetails,
    RunKey,
    RunningRun,
    RunOrder,
    RunOrders,
    WorkerInfo,
)
from cumintack.state.resources import Resources

KEY = RunKey('0123456789abcdef.0.0.1', 1)
OLD_LIFE = '000001.worker'
NEW_LIFE = '000002.worker'
LEASE_S = 6.0


def _create_facts(
    lifetime: str = OLD_LIFE,
    *,
    is_draining: bool = False,
) -> WorkerInfo:
    return WorkerInfo(
        'worker',
        lifetime,
        'pool',
        'north-yard',
        Resources(32000, 128000),
        ('a', 'r1-1'),
        is_draining,
    )


def _create_orders(
    number: int,
    wanted: tuple[RunKey, ...] = (),
    stops: tuple[RunKey, ...] = (),
    lifetime: str = OLD_LIFE,
    term: int = 1,
) -> RunOrders:
    return RunOrders(
        term,
        number,
        lifetime,
        0,
        LEASE_S,
        0,
        tuple(RunOrder(key, RunDetails('text')) for key in wanted),
        stops,
    )


def _create_look(
    sent_at_s: float,
    running: tuple[RunKey, ...] = (),
    ended: tuple[EndedRun, ...] = (),
    lifetime: str = OLD_LIFE,
) -> PollResult:
    rows = tuple(
        RunningRun(key, '', 10, 0, has_details=False) for key in running
    )
    return PollResult(sent_at_s, sent_at_s, lifetime, rows, ended)


def _create_runs(*wanted: RunKey) -> WorkerRunState:
    runs = WorkerRunState(0)
    record_worker_info(runs, _create_facts(), 0)
    apply_orders(runs, _create_orders(1, wanted), 0)
    apply_poll_result(runs, _create_look(0))
    return runs


def _answer(
    at_s: float,
    *,
    is_answered: bool = True,
    is_done: bool = True,
    reason: str = '',
) -> CallAnswer:
    return CallAnswer(is_answered, is_done, reason, at_s, at_s)


def test_wanted_run_is_started_once() -> None:
    """A call that is on its way is not made again."""
    runs = _create_runs(KEY)
    calls = list_due_calls(runs, 0.1)
    assert [type(call) for call in calls] == [StartRun]
    assert not list_due_calls(runs, 0.2)


def test_unwanted_run_is_stopped() -> None:
    """What runs without being wanted is stopped."""
    runs = _create_runs()
    apply_poll_result(runs, _create_look(0.1, (KEY,)))
    assert list_due_calls(runs, 0.2) == [StopRun(KEY, 1)]


def test_unanswered_start_is_not_absent() -> None:
    """After a start without an answer, only a confirmed stop is enough."""
    runs = _create_runs(KEY)
    start = list_due_calls(runs, 0.1)[0]
    handle_call_answer(
        runs, start, _answer(1.1, is_answered=False, is_done=False)
    )
    apply_orders(runs, _create_orders(2, (), (KEY,)), 1.2)
    apply_poll_result(runs, _create_look(1.2))
    report = create_report(runs, 1.3)
    assert report is not None
    assert not report.closed
    assert report.unsure_for_s > LEASE_S
    stop = list_due_calls(runs, 2)[0]
    assert isinstance(stop, StopRun)
    handle_call_answer(runs, stop, _answer(2.1))
    apply_poll_result(runs, _create_look(2.2))
    report = create_report(runs, 2.3)
    assert report is not None
    assert [run.key for run in report.closed] == [KEY]
    assert not report.unsure_for_s


def test_refusal_after_an_unanswered_start_needs_a_stop() -> None:
    """The first start may still arrive, whatever the second was told."""
    runs = _create_runs(KEY)
    start = list_due_calls(runs, 0.1)[0]
    handle_call_answer(
        runs, start, _answer(1.1, is_answered=False, is_done=False)
    )
    again = list_due_calls(runs, 2)[0]
    handle_call_answer(runs, again, _answer(2.1, is_done=False, reason='room'))
    report = create_report(runs, 2.2)
    assert report is not None
    assert not report.closed
    assert list_due_calls(runs, 2.3) == [StopRun(KEY, 1)]


def test_plain_refusal_closes() -> None:
    """A worker that refused the only start never runs it."""
    runs = _create_runs(KEY)
    start = list_due_calls(runs, 0.1)[0]
    handle_call_answer(runs, start, _answer(0.2, is_done=False, reason='room'))
    report = create_report(runs, 0.3)
    assert report is not None
    assert [run.reason for run in report.closed] == ['room']


def test_draining_worker_starts_nothing() -> None:
    """A run ordered before the guard heard of the drain is not started."""
    runs = _create_runs(KEY)
    record_worker_info(runs, _create_facts(is_draining=True), 0.1)
    assert not list_due_calls(runs, 0.2)
    report = create_report(runs, 0.3)
    assert report is not None
    assert [run.key for run in report.closed] == [KEY]


def test_call_for_a_former_life_holds_the_report_back() -> None:
    """A start on its way may reach the worker that came back.

    The bench showed it: a worker was started afresh under its old
    identifier, took a start meant for its former life, and the task was
    placed again at once.
    """
    runs = _create_runs(KEY)
    start = list_due_calls(runs, 0.1)[0]
    record_worker_info(runs, _create_facts(NEW_LIFE), 0.2)
    assert create_report(runs, 0.3) is None
    handle_late_start_answer(runs, start, _answer(0.4))
    report = create_report(runs, 0.4)
    assert report is not None
    assert not report.is_looked


def test_late_look_of_a_former_life_changes_nothing() -> None:
    """A look answered before a restart does not end the new life."""
    runs = _create_runs(KEY)
    record_worker_info(runs, _create_facts(NEW_LIFE), 1)
    apply_poll_result(runs, _create_look(0.9, (KEY,)))
    assert not runs.is_gone
    apply_poll_result(runs, _create_look(1.2, lifetime='000003.worker'))
    assert runs.is_gone


def test_orders_of_a_former_leader_are_dropped() -> None:
    """A term that was followed is never left for an earlier one."""
    runs = _create_runs()
    assert apply_orders(runs, _create_orders(1, (KEY,), term=3), 0.1)
    assert not apply_orders(runs, _create_orders(9, (), term=2), 0.2)
    assert KEY in runs.wanted


def test_lapsed_only_after_every_bound() -> None:
    """A silent worker counts as empty once no lease can run any more."""
    runs = _create_runs(KEY)
    start = list_due_calls(runs, 0.1)[0]
    assert not is_every_lease_expired(runs, LEASE_S + 0.2)
    handle_call_answer(runs, start, _answer(0.2))
    assert not is_every_lease_expired(runs, LEASE_S - 0.1)
    assert is_every_lease_expired(runs, LEASE_S + 0.2)


def test_lapse_closes_only_what_was_known() -> None:
    """A run ordered after the lapse was reported still starts.

    The bench showed it: the leader had placed a run while the report that
    everything had lapsed was on its way, took it for lapsed too and placed
    it again, and the guard started the first one.
    """
    runs = _create_runs(KEY)
    handle_call_answer(runs, list_due_calls(runs, 0.1)[0], _answer(0.2))
    report = create_report(runs, LEASE_S + 1)
    assert report is not None
    assert [(run.key, run.reason) for run in report.closed] == [
        (KEY, LAPSED),
    ]
    assert not report.is_gone
    assert not list_due_calls(runs, LEASE_S + 1.1)
    later = RunKey(KEY.task_id, 2)
    apply_orders(runs, _create_orders(2, (later,)), LEASE_S + 1.2)
    apply_poll_result(runs, _create_look(LEASE_S + 1.3))
    runs.lease_granted_until_s = LEASE_S * 3
    assert [call.key for call in list_due_calls(runs, LEASE_S + 1.4)] == [later]


def test_pace_follows_the_start_without_another_look() -> None:
    """A filling run is slowed as soon as its start is confirmed."""
    latency_critical = RunKey('0123456789abcdef.0.0.0', 1)
    runs = WorkerRunState(0)
    record_worker_info(runs, _create_facts(), 0)
    details = {
        latency_critical: RunDetails('text', target_ms=100, image='desk'),
        KEY: RunDetails(
            'text',
            is_best_effort=True,
            image='batch',
            need_milli=8000,
        ),
    }
    orders = _create_orders(1)
    wanted = tuple(RunOrder(key, known) for key, known in details.items())
    apply_orders(runs, msgspec.structs.replace(orders, wanted=wanted), 0)
    row = RunningRun(latency_critical, '', 100, 30, has_details=True)
    apply_poll_result(runs, PollResult(0, 0, OLD_LIFE, (row,), ()))
    start = list_due_calls(runs, 0)[0]
    assert isinstance(start, StartRun)
    handle_call_answer(runs, start, CallAnswer(True, True, '', 0, 0))
    pace = list_due_calls(runs, 0)[0]
    assert isinstance(pace, PaceRun)
    assert pace.key == KEY
    assert pace.percent < 100


def _lose_start() -> WorkerRunState:
    """Return a worker whose latest start got no answer."""
    runs = _create_runs(KEY)
    start = list_due_calls(runs, 0.1)[0]
    handle_call_answer(
        runs, start, _answer(1.1, is_answered=False, is_done=False)
    )
    return runs


def test_start_without_an_answer_is_stopped_in_the_next_life() -> None:
    """A late start may reach the worker after it came back.

    The soak showed it (seed 1970453023): a start was carried out by a later
    life under the same identifier, after its task had been placed again.
    """
    runs = _lose_start()
    record_worker_info(runs, _create_facts(NEW_LIFE), 2)
    apply_poll_result(runs, _create_look(2.1, lifetime=NEW_LIFE))
    assert create_report(runs, 2.2) is None
    stop = list_due_calls(runs, 2.2)[0]
    assert stop == StopRun(KEY, 1)
    handle_call_answer(runs, stop, _answer(2.3))
    assert create_report(runs, 2.4) is not None


def test_start_is_remembered_across_a_life_of_another_name() -> None:
    """It names the identifier, which a later life may have again."""
    runs = _lose_start()
    other = msgspec.structs.replace(_create_facts(NEW_LIFE), worker_id='x')
    record_worker_info(runs, other, 2)
    assert create_report(runs, 2.1) is not None
    again = '000003.worker'
    record_worker_info(runs, _create_facts(again), 3)
    apply_poll_result(runs, _create_look(3.1, lifetime=again))
    assert create_report(runs, 3.2) is None
    assert list_due_calls(runs, 3.2) == [StopRun(KEY, 1)]


def test_start_is_forgotten_once_it_can_not_come_any_more() -> None:
    """A worker that answers no stop is not held back for ever."""
    runs = _lose_start()
    record_worker_info(runs, _create_facts(NEW_LIFE), 2)
    assert create_report(runs, 2 + LATE_CALL_S - 0.1) is None
    assert create_report(runs, 2 + LATE_CALL_S + 0.1) is not None


def test_lease_without_an_answer_may_reach_the_next_life() -> None:
    """It is counted as still to come if the identifier is the same."""
    runs = _create_runs(KEY)
    record_unanswered_lease(runs, 0, LEASE_S)
    record_worker_info(runs, _create_facts(NEW_LIFE), 1)
    assert runs.uncertain_until_s == LATE_CALL_S + LEASE_S
    other = msgspec.structs.replace(_create_facts('000003.x'), worker_id='x')
    record_worker_info(runs, other, 2)
    assert runs.uncertain_until_s < 0
