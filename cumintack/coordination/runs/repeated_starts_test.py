"""Tests that a run which was started twice does not begin a second time."""

import msgspec

from cumintack.coordination.runs.run_reconciliation import (
    apply_poll_result,
    get_number_to_acknowledge,
    record_worker_info,
)
from cumintack.coordination.runs.unanswered_calls import MAX_CALL_DELAY_S
from cumintack.coordination.runs.unanswered_calls_test import (
    FIRST,
    KEY,
    _answer,
    _create_state,
    _order,
    _poll,
    _report,
    _take_call,
)
from cumintack.coordination.runs.worker_run_state import (
    PollResult,
    StartRun,
    StopRun,
    WorkerRunState,
)
from cumintack.protocol.run_messages import EndedRun, RunDetails, RunKey


def _start_twice() -> WorkerRunState:
    """Start a run twice: the first call has no answer, the second has one."""
    state = _create_state()
    _order(state, 1, 1, (KEY,))
    _poll(state, 1)
    _answer(state, _take_call(state, 1, StartRun), 2, is_answered=False)
    _answer(state, _take_call(state, 2.4, StartRun), 2.5)
    return state


def _end(
    state: WorkerRunState,
    now_s: float,
    *numbers: int,
    is_cut: bool = False,
    kind: str = 'done',
) -> None:
    """Let the worker list a run as ended, after others."""
    assert state.facts is not None
    ended = tuple(
        EndedRun(
            number,
            KEY if number == max(numbers) else RunKey(f'{number}.0.0.0', 1),
            kind,
            '',
        )
        for number in numbers
    )
    poll = PollResult(
        now_s,
        now_s,
        state.facts.lifetime,
        (),
        ended,
        lists_all_ends=not is_cut,
    )
    apply_poll_result(state, poll)


# Guards against a second run of a task whose end was acknowledged.
def test_end_of_a_repeated_start_is_not_final_while_one_may_come() -> None:
    """A crashed worker knows of no end, and would begin the task again."""
    state = _start_twice()
    _end(state, 4, 1, 2)
    # The leader records the end at once, so that no crash loses it.
    assert [end.number for end in _report(state, 4).ended] == [1, 2]
    _order(state, 2, 4, (), settled_number=2)
    assert get_number_to_acknowledge(state, FIRST) == 1
    _end(state, 2 + MAX_CALL_DELAY_S - 0.1, 1, 2)
    assert get_number_to_acknowledge(state, FIRST) == 1
    _end(state, 2 + MAX_CALL_DELAY_S + 0.1, 1, 2)
    assert get_number_to_acknowledge(state, FIRST) == 2


# Guards against ends that wait although no start can come any more.
def test_end_after_a_single_start_is_acknowledged_at_once() -> None:
    """The run that is listed shows that the start was carried out."""
    state = _create_state()
    _order(state, 1, 1, (KEY,))
    _poll(state, 1)
    _answer(state, _take_call(state, 1, StartRun), 2, is_answered=False)
    _poll(state, 2.1, (KEY,))
    _end(state, 3, 1)
    _order(state, 2, 3, (), settled_number=1)
    assert get_number_to_acknowledge(state, FIRST) == 1


# Guards against ends that stay hidden behind those that are not final.
def test_cut_list_of_ends_is_acknowledged() -> None:
    """A worker lists further ends only once it may forget the first ones."""
    state = _start_twice()
    _end(state, 4, 1, is_cut=True)
    _order(state, 2, 4, (), settled_number=1)
    assert get_number_to_acknowledge(state, FIRST) == 1


# Guards against a start of a previous process that follows an acknowledged end.
def test_end_of_a_run_that_a_previous_process_may_have_started() -> None:
    """It is not final until the calls of that process can come no more."""
    state = _create_state(100)
    _order(state, 1, 100, (KEY,))
    _poll(state, 100.1)
    _answer(state, _take_call(state, 100.2, StartRun), 100.3)
    _end(state, 101, 1)
    _order(state, 2, 101, (), settled_number=1)
    assert not get_number_to_acknowledge(state, FIRST)
    _end(state, 100 + MAX_CALL_DELAY_S + 0.1, 1)
    assert get_number_to_acknowledge(state, FIRST) == 1


# Guards against a run elsewhere beside a start that the stop has not reached.
def test_stopped_run_is_not_absent_while_its_start_may_come() -> None:
    """A start that was answered, or that is only assumed, holds nothing."""
    state = _create_state()
    _order(state, 1, 1, (KEY,))
    _poll(state, 1)
    _answer(state, _take_call(state, 1, StartRun), 2, is_answered=False)
    _order(state, 2, 2.1)
    state.stops = {KEY: None}
    _answer(state, _take_call(state, 2.4, StopRun), 2.5)
    _poll(state, 3)
    assert not _report(state, 3).closed
    _poll(state, 2 + MAX_CALL_DELAY_S + 0.1)
    closed = _report(state, 2 + MAX_CALL_DELAY_S + 0.1).closed
    assert [run.key for run in closed] == [KEY]


# Guards against a run elsewhere while the failed one may begin once more.
def test_failed_end_of_a_repeated_start_waits() -> None:
    """A crashed worker knows of no end; the ends behind it are reported."""
    state = _start_twice()
    _end(state, 4, 1, 2, kind='failed')
    assert [end.number for end in _report(state, 4).ended] == [1]
    _order(state, 2, 4, (), settled_number=1)
    over_s = 2 + MAX_CALL_DELAY_S + 0.1
    _end(state, over_s, 1, 2, kind='failed')
    assert [end.number for end in _report(state, over_s).ended] == [2]


# Guards against an end that is acknowledged before it is reported.
def test_end_that_waits_is_reported_after_later_ones_are_recorded() -> None:
    """The leader records a later end and names its number."""
    state = _start_twice()
    failed = EndedRun(1, KEY, 'failed', '')
    later = EndedRun(2, RunKey('2.0.0.0', 1), 'done', '')
    over_s = 2 + MAX_CALL_DELAY_S + 0.1
    _list_ends(state, 4, failed, later)
    assert _report(state, 4).ended == (later,)
    _order(state, 2, 4, (), settled_number=2)
    assert not get_number_to_acknowledge(state, FIRST)
    _list_ends(state, over_s, failed, later)
    _order(state, 3, over_s, (), settled_number=2)
    assert not get_number_to_acknowledge(state, FIRST)
    assert failed in _report(state, over_s + 0.1).ended
    # Orders that cross the report say nothing about the end.
    _order(state, 4, over_s, (), settled_number=2)
    assert not get_number_to_acknowledge(state, FIRST)
    _order(state, 5, over_s + 0.1, (), settled_number=0)
    assert not get_number_to_acknowledge(state, FIRST)
    _order(state, 6, over_s + 0.2, (), settled_number=2)
    assert get_number_to_acknowledge(state, FIRST) == 2


def _list_ends(state: WorkerRunState, now_s: float, *ended: EndedRun) -> None:
    apply_poll_result(
        state, PollResult(now_s, now_s, FIRST.lifetime, (), ended)
    )


# Guards against an end that is acknowledged unread because its list is cut.
def test_held_end_of_a_cut_list_is_reported_first() -> None:
    """Until the leader has recorded it, nothing behind it is acknowledged."""
    state = _start_twice()
    _end(state, 4, 1, kind='failed')
    assert not _report(state, 4).ended
    _end(state, 4.1, 1, 2, is_cut=True, kind='failed')
    _order(state, 2, 4.1, (), settled_number=2)
    assert not get_number_to_acknowledge(state, FIRST)
    assert [end.number for end in _report(state, 4.2).ended] == [1, 2]
    _order(state, 3, 4.2, (), settled_number=2)
    assert get_number_to_acknowledge(state, FIRST) == 2


# Guards against a task that waits for 20 s more because its worker has left.
def test_end_on_a_draining_worker_is_reported_at_once() -> None:
    """Also one that was held before the worker began to drain."""
    state = _start_twice()
    _end(state, 4, 1, kind='failed')
    assert not _report(state, 4).ended
    draining = msgspec.structs.replace(FIRST, is_draining=True)
    record_worker_info(state, draining, 5)
    assert [end.number for end in _report(state, 5).ended] == [1]


# Guards against a long-running task that is missed until no start may come.
def test_end_of_a_long_running_task_is_reported_at_once() -> None:
    """Its next run must begin within seconds."""
    state = _create_state()
    _order(state, 1, 1, (KEY,))
    state.details[KEY] = RunDetails('text', is_long_running=True)
    _poll(state, 1)
    _answer(state, _take_call(state, 1, StartRun), 2, is_answered=False)
    _answer(state, _take_call(state, 2.4, StartRun), 2.5)
    _end(state, 4, 1, kind='stopped')
    assert [end.number for end in _report(state, 4).ended] == [1]
