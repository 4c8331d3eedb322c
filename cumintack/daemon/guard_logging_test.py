"""A guard logs how long calls waited, and what the worker lists unasked."""

import structlog

from cumintack.coordination.runs.worker_run_state import (
    CallAnswer,
    FencingToken,
    PollResult,
    StartRun,
    WorkerRunState,
)
from cumintack.daemon.guard_logging import log_call, log_poll
from cumintack.protocol.run_messages import (
    EndedRun,
    RunDetails,
    RunKey,
    RunningRun,
    WorkerInfo,
)
from cumintack.state.resources import Resources

KEY = RunKey('0123456789abcdef.0.0.1', 1)
ENDED_KEY = RunKey('0123456789abcdef.0.0.2', 1)
LIFETIME = '000001.worker'
WORKER_INFO = WorkerInfo(
    'worker', LIFETIME, 'pool', 'north-yard', Resources(4000, 4000), ('a',)
)


def test_call_is_logged_with_its_wait() -> None:
    """The time in the queue is told apart from the time of the call."""
    call = StartRun(KEY, RunDetails('text'), FencingToken(3), lease_until_s=18)
    answer = CallAnswer(
        is_answered=False,
        is_done=False,
        reason='',
        sent_at_s=12,
        answered_at_s=13,
    )
    with structlog.testing.capture_logs() as lines:
        log_call(WORKER_INFO, call, answer, queued_at_s=10.5)
        line = lines[0]
        waits = (line['queued_ms'], line['took_ms'], line['lease_ms'])
        assert waits == (1500, 1000, 6000)
        assert line['lifetime'] == LIFETIME


def test_unconfirmed_run_and_new_end_are_logged_once() -> None:
    """A repeated poll adds no line."""
    state = WorkerRunState(0)
    poll = PollResult(
        1,
        1.25,
        LIFETIME,
        (RunningRun(KEY, '', 10, 0, has_details=False),),
        (EndedRun(4, ENDED_KEY, 'done', ''),),
    )
    with structlog.testing.capture_logs() as lines:
        log_poll(state, poll)
        state.latest_poll = poll
        log_poll(state, poll)
    assert [(line['event'], line['runs']) for line in lines] == [
        ('guard: unconfirmed runs listed', [f'{KEY.task_id}/1']),
        ('guard: ends listed', [f'{ENDED_KEY.task_id}/1 done 4']),
    ]
