"""Tests that a guard carries out orders and reports no absence too early."""

import msgspec
import pytest

from cumintack.coordination.runs.due_calls import list_due_calls
from cumintack.coordination.runs.run_reconciliation import (
    apply_orders,
    apply_poll_result,
    create_report,
    handle_call_answer,
    is_every_lease_expired,
    record_worker_info,
)
from cumintack.coordination.runs.unanswered_calls import (
    MAX_CALL_DELAY_S,
    handle_late_start_answer,
    record_unanswered_lease,
)
from cumintack.coordination.runs.worker_run_state import (
    CallAnswer,
    FencingToken,
    PaceRun,
    PollResult,
    StartRun,
    StopRun,
    WorkerRunState,
)
from cumintack.protocol.run_messages import (
    LEASE_EXPIRED,
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
OLD_LIFETIME = '000001.worker'
NEW_LIFETIME = '000002.worker'
LEASE_S = 6.0
MAX_LEASE_S = 10.0


def _create_worker_info(
    lifetime: str = OLD_LIFETIME,
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
    lifetime: str = OLD_LIFETIME,
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


def _create_poll(
    sent_at_s: float,
    running: tuple[RunKey, ...] = (),
    ended: tuple[EndedRun, ...] = (),
    lifetime: str = OLD_LIFETIME,
) -> PollResult:
    runs = tuple(
        RunningRun(key, '', 10, 0, has_details=False) for key in running
    )
    return PollResult(sent_at_s, sent_at_s, lifetime, runs, ended)


def _create_state(*wanted: RunKey) -> WorkerRunState:
    state = WorkerRunState(0, max_lease_s=MAX_LEASE_S)
    record_worker_info(state, _create_worker_info(), 0)
    apply_orders(state, _create_orders(1, wanted), 0)
    apply_poll_result(state, _create_poll(0))
    return state


def _create_answer(
    at_s: float,
    *,
    is_answered: bool = True,
    is_done: bool = True,
    reason: str = '',
) -> CallAnswer:
    return CallAnswer(is_answered, is_done, reason, at_s, at_s)


def test_wanted_run_is_started_once() -> None:
    """A call that is in flight is not repeated."""
    state = _create_state(KEY)
    calls = list_due_calls(state, 0.1)
    assert [type(call) for call in calls] == [StartRun]
    assert not list_due_calls(state, 0.2)


def test_unwanted_run_is_stopped() -> None:
    """A run that is not ordered is stopped."""
    state = _create_state()
    apply_poll_result(state, _create_poll(0.1, (KEY,)))
    assert list_due_calls(state, 0.2) == [StopRun(KEY, FencingToken(1))]


def test_run_is_not_absent_after_unanswered_start() -> None:
    """Absence takes a confirmed stop, and the start must come late no more.

    The next incarnation would know nothing of the stop.
    """
    state = _create_state(KEY)
    start = list_due_calls(state, 0.1)[0]
    handle_call_answer(
        state, start, _create_answer(1.1, is_answered=False, is_done=False)
    )
    apply_orders(state, _create_orders(2, (), (KEY,)), 1.2)
    apply_poll_result(state, _create_poll(1.2))
    report = create_report(state, 1.3)
    assert report is not None
    assert not report.closed
    assert report.unsure_for_s > LEASE_S
    stop = list_due_calls(state, 2)[0]
    assert isinstance(stop, StopRun)
    handle_call_answer(state, stop, _create_answer(2.1))
    apply_poll_result(state, _create_poll(2.2))
    report = create_report(state, 2.3)
    assert report is not None
    assert not report.closed
    # The late start is refused, and still extends the lease of other runs.
    assert report.unsure_for_s == pytest.approx(
        1.1 + MAX_LEASE_S + MAX_CALL_DELAY_S - 2.3
    )
    apply_poll_result(state, _create_poll(1.1 + MAX_CALL_DELAY_S + 0.1))
    report = create_report(state, 1.1 + MAX_CALL_DELAY_S + 0.2)
    assert report is not None
    assert [run.key for run in report.closed] == [KEY]


def test_refusal_after_an_unanswered_start_needs_a_stop() -> None:
    """The first start may still take effect although the second is refused."""
    state = _create_state(KEY)
    start = list_due_calls(state, 0.1)[0]
    handle_call_answer(
        state, start, _create_answer(1.1, is_answered=False, is_done=False)
    )
    again = list_due_calls(state, 2)[0]
    handle_call_answer(
        state, again, _create_answer(2.1, is_done=False, reason='room')
    )
    report = create_report(state, 2.2)
    assert report is not None
    assert not report.closed
    assert list_due_calls(state, 2.3) == [StopRun(KEY, FencingToken(1))]


def test_refusal_of_the_only_start_closes_the_run() -> None:
    """A run whose only start was refused is absent."""
    state = _create_state(KEY)
    start = list_due_calls(state, 0.1)[0]
    handle_call_answer(
        state, start, _create_answer(0.2, is_done=False, reason='room')
    )
    report = create_report(state, 0.3)
    assert report is not None
    assert [run.reason for run in report.closed] == ['room']


def test_draining_worker_starts_nothing() -> None:
    """A run ordered before the drain was announced is not started."""
    state = _create_state(KEY)
    record_worker_info(state, _create_worker_info(is_draining=True), 0.1)
    assert not list_due_calls(state, 0.2)
    report = create_report(state, 0.3)
    assert report is not None
    assert [run.key for run in report.closed] == [KEY]


def test_call_to_previous_incarnation_delays_the_report() -> None:
    """A start in flight may reach the next incarnation of the worker.

    Seen in the bench: a worker restarted with the same identifier accepted a
    start meant for its previous incarnation, while the task was placed again
    at once.
    """
    state = _create_state(KEY)
    start = list_due_calls(state, 0.1)[0]
    record_worker_info(state, _create_worker_info(NEW_LIFETIME), 0.2)
    assert create_report(state, 0.3) is None
    handle_late_start_answer(state, start, _create_answer(0.4))
    report = create_report(state, 0.4)
    assert report is not None
    assert not report.is_looked


def test_late_poll_of_previous_incarnation_is_ignored() -> None:
    """A poll answered before a restart does not end the new incarnation."""
    state = _create_state(KEY)
    record_worker_info(state, _create_worker_info(NEW_LIFETIME), 1)
    apply_poll_result(state, _create_poll(0.9, (KEY,)))
    assert not state.is_gone
    apply_poll_result(state, _create_poll(1.2, lifetime='000003.worker'))
    assert state.is_gone


def test_orders_of_previous_leader_are_ignored() -> None:
    """Orders of an earlier term are ignored after those of a later one."""
    state = _create_state()
    assert apply_orders(state, _create_orders(1, (KEY,), term=3), 0.1)
    assert not apply_orders(state, _create_orders(9, (), term=2), 0.2)
    assert KEY in state.wanted


def test_leases_expire_only_after_every_bound() -> None:
    """A silent worker counts as empty only once all leases have expired."""
    state = _create_state(KEY)
    start = list_due_calls(state, 0.1)[0]
    assert not is_every_lease_expired(state, LEASE_S + 0.2)
    handle_call_answer(state, start, _create_answer(0.2))
    assert not is_every_lease_expired(state, LEASE_S - 0.1)
    assert is_every_lease_expired(state, LEASE_S + 0.2)


def test_expiry_closes_only_known_runs() -> None:
    """A run ordered after the expiry was reported still starts.

    Seen in the bench: the leader placed a run while the report of the expiry
    was in flight, counted it as expired too and placed it again, and the
    guard started the first run.
    """
    state = _create_state(KEY)
    handle_call_answer(
        state, list_due_calls(state, 0.1)[0], _create_answer(0.2)
    )
    report = create_report(state, LEASE_S + 1)
    assert report is not None
    assert [(run.key, run.reason) for run in report.closed] == [
        (KEY, LEASE_EXPIRED),
    ]
    assert not report.is_gone
    assert not list_due_calls(state, LEASE_S + 1.1)
    later = RunKey(KEY.task_id, 2)
    apply_orders(state, _create_orders(2, (later,)), LEASE_S + 1.2)
    apply_poll_result(state, _create_poll(LEASE_S + 1.3))
    state.lease_granted_until_s = LEASE_S * 3
    assert [call.key for call in list_due_calls(state, LEASE_S + 1.4)] == [
        later
    ]


def test_pace_is_sent_after_the_start_without_another_poll() -> None:
    """A best-effort run is throttled as soon as its start is confirmed."""
    critical_key = RunKey('0123456789abcdef.0.0.0', 1)
    state = WorkerRunState(0, max_lease_s=MAX_LEASE_S)
    record_worker_info(state, _create_worker_info(), 0)
    details = {
        critical_key: RunDetails('text', target_ms=100, image='desk'),
        KEY: RunDetails(
            'text',
            is_best_effort=True,
            image='batch',
            need_milli=8000,
        ),
    }
    orders = _create_orders(1)
    wanted = tuple(
        RunOrder(key, run_details) for key, run_details in details.items()
    )
    apply_orders(state, msgspec.structs.replace(orders, wanted=wanted), 0)
    critical_run = RunningRun(critical_key, '', 100, 30, has_details=True)
    apply_poll_result(
        state, PollResult(0, 0, OLD_LIFETIME, (critical_run,), ())
    )
    start = list_due_calls(state, 0)[0]
    assert isinstance(start, StartRun)
    handle_call_answer(state, start, CallAnswer(True, True, '', 0, 0))
    pace = list_due_calls(state, 0)[0]
    assert isinstance(pace, PaceRun)
    assert pace.key == KEY
    assert pace.percent < 100


def _create_state_with_unanswered_start() -> WorkerRunState:
    """Return the state of a worker whose latest start got no answer."""
    state = _create_state(KEY)
    start = list_due_calls(state, 0.1)[0]
    handle_call_answer(
        state, start, _create_answer(1.1, is_answered=False, is_done=False)
    )
    return state


def test_start_that_was_never_sent_delays_nothing() -> None:
    """A crashed worker that accepts no connection cannot start a run later."""
    state = _create_state(KEY)
    start = list_due_calls(state, 0.1)[0]
    unsent = CallAnswer(False, False, '', 0.1, 0.2, is_sent=False)
    handle_call_answer(state, start, unsent)
    report = create_report(state, 0.3)
    assert report is not None
    assert not report.unsure_for_s
    record_worker_info(state, _create_worker_info(NEW_LIFETIME), 0.4)
    assert create_report(state, 0.5) is not None


def test_unanswered_start_is_stopped_in_the_next_incarnation() -> None:
    """A late start may reach the worker after its restart.

    Seen in the soak (seed 1970453023): a later incarnation with the same
    identifier carried out a start after the task had been placed again.
    """
    state = _create_state_with_unanswered_start()
    record_worker_info(state, _create_worker_info(NEW_LIFETIME), 2)
    apply_poll_result(state, _create_poll(2.1, lifetime=NEW_LIFETIME))
    assert create_report(state, 2.2) is None
    stop = list_due_calls(state, 2.2)[0]
    assert stop == StopRun(KEY, FencingToken(1))
    handle_call_answer(state, stop, _create_answer(2.3))
    assert create_report(state, 2.4) is not None


def test_unanswered_start_outlives_another_identifier() -> None:
    """A start names an identifier, which a later incarnation may reuse."""
    state = _create_state_with_unanswered_start()
    other_worker = msgspec.structs.replace(
        _create_worker_info(NEW_LIFETIME), worker_id='x'
    )
    record_worker_info(state, other_worker, 2)
    assert create_report(state, 2.1) is not None
    latest_lifetime = '000003.worker'
    record_worker_info(state, _create_worker_info(latest_lifetime), 3)
    apply_poll_result(state, _create_poll(3.1, lifetime=latest_lifetime))
    assert create_report(state, 3.2) is None
    assert list_due_calls(state, 3.2) == [StopRun(KEY, FencingToken(1))]


def test_unanswered_start_expires() -> None:
    """Reports resume after the maximum delay even if no stop is answered."""
    state = _create_state_with_unanswered_start()
    record_worker_info(state, _create_worker_info(NEW_LIFETIME), 2)
    until_s = 1.1 + MAX_CALL_DELAY_S
    assert create_report(state, until_s - 0.1) is None
    assert create_report(state, until_s + 0.1) is not None


def test_unanswered_lease_may_reach_the_next_incarnation() -> None:
    """A lease extension may still take effect under the same identifier."""
    state = _create_state(KEY)
    record_unanswered_lease(state, LEASE_S, 0, FencingToken(1))
    assert state.uncertain_lease.until_s == MAX_CALL_DELAY_S + MAX_LEASE_S
    record_worker_info(state, _create_worker_info(NEW_LIFETIME), 1)
    assert state.uncertain_lease.until_s == 1 + MAX_CALL_DELAY_S + MAX_LEASE_S
    other = msgspec.structs.replace(
        _create_worker_info('000003.x'), worker_id='x'
    )
    record_worker_info(state, other, 2)
    assert state.uncertain_lease.until_s < 0


def test_paused_guard_starts_nothing_under_an_expired_lease() -> None:
    """Orders received before the pause give no permission after it."""
    state = _create_state(KEY)
    assert not list_due_calls(state, LEASE_S + 4)
    assert len(list_due_calls(state, 1)) == 1
