"""Log lines of a guard about calls to its worker and the runs that it lists."""

import structlog

from cumintack.coordination.runs.run_reconciliation import find_longest_hold
from cumintack.coordination.runs.worker_run_state import (
    CallAnswer,
    PollResult,
    StartRun,
    WorkerCall,
    WorkerRunState,
)
from cumintack.daemon.log_values import convert_to_ms
from cumintack.protocol.run_messages import RunKey, RunReport, WorkerInfo

# Keeps a line that lists runs within the longest line that is logged.
MAX_RUNS_PER_LINE = 40

logger = structlog.get_logger()


def log_call(
    worker_info: WorkerInfo,
    call: WorkerCall,
    answer: CallAnswer,
    queued_at_s: float,
) -> None:
    """Log a call to the worker once it is answered or timed out.

    Args:
        worker_info: The worker that the call names.
        call: The call.
        answer: The outcome.
        queued_at_s: When the call was decided on.
    """
    lease_ms: int | None = 0
    if isinstance(call, StartRun):
        lease_ms = convert_to_ms(call.lease_until_s - answer.sent_at_s)
    logger.info(
        'guard: call made',
        call=type(call).__name__,
        task=call.key.task_id,
        run=call.key.run,
        term=call.token.term,
        fence=call.token.number,
        lifetime=worker_info.lifetime,
        queued_ms=convert_to_ms(answer.sent_at_s - queued_at_s),
        took_ms=convert_to_ms(answer.answered_at_s - answer.sent_at_s),
        lease_ms=lease_ms,
        is_answered=answer.is_answered,
        is_done=answer.is_done,
        reason=answer.reason,
    )


def log_unanswered_lease(
    worker_info: WorkerInfo, sent_at_s: float, until_s: float
) -> None:
    """Log a lease extension without an answer, which may be carried out later.

    Args:
        worker_info: The worker that it names.
        sent_at_s: When it was sent.
        until_s: The end of the lease that it sets.
    """
    logger.info(
        'guard: lease unanswered',
        lifetime=worker_info.lifetime,
        sent_ms=convert_to_ms(sent_at_s),
        lease_ms=convert_to_ms(until_s - sent_at_s),
    )


def log_token(state: WorkerRunState) -> None:
    """Log a new fencing token, under which the worker is called from now on.

    Args:
        state: The state of the runs on the worker.
    """
    logger.info(
        'guard: new fencing token',
        lifetime=state.facts.lifetime if state.facts else '',
        term=state.token.term,
        fence=state.token.number,
    )


def log_hold(state: WorkerRunState, now_s: float) -> None:
    """Log for how long the runs of a lost worker must be taken for running.

    Args:
        state: The state of the runs on the worker.
        now_s: Current time of the monotonic clock, in seconds.
    """
    hold = find_longest_hold(state)
    lifetime = state.facts.lifetime if state.facts else ''
    fenced_ms = None
    if state.fence is not None and state.fence.lifetime == lifetime:
        fenced_ms = convert_to_ms(now_s - state.fence.seen_at_s)
    logger.info(
        'guard: runs held',
        lifetime=lifetime,
        runs=len(state.wanted) + len(state.stops),
        cause=hold.cause,
        held_ms=convert_to_ms(hold.until_s - now_s),
        fenced_ms=fenced_ms,
        needs_fence=state.needs_fence,
    )


def log_poll(state: WorkerRunState, poll: PollResult) -> None:
    """Log what a poll lists for the first time and no call explains.

    Args:
        state: The state of the runs on the worker, before the poll is applied.
        poll: The poll.
    """
    previous = state.latest_poll
    if previous is not None and previous.lifetime != poll.lifetime:
        previous = None
    listed = {run.key for run in previous.running} if previous else set()
    ended = {end.number for end in previous.ended} if previous else set()
    unconfirmed = [
        f'{run.key.task_id}/{run.key.run}'
        for run in poll.running
        if run.key not in listed and not _is_confirmed(state, run.key)
    ]
    new_ends = [
        f'{end.key.task_id}/{end.key.run} {end.kind} {end.number}'
        for end in poll.ended
        if end.number not in ended
    ]
    is_cut = previous is not None and not previous.lists_all_ends
    if poll.lists_all_ends is is_cut:
        logger.info(
            'guard: list of ends cut',
            lifetime=poll.lifetime,
            is_cut=not poll.lists_all_ends,
            listed=len(poll.ended),
        )
    if unconfirmed:
        _log_runs('guard: unconfirmed runs listed', poll, unconfirmed)
    if new_ends:
        _log_runs('guard: ends listed', poll, new_ends)


def log_held_ends(state: WorkerRunState, logged_count: int) -> int:
    """Log ends that wait for starts which may still be carried out.

    Args:
        state: The state of the runs on the worker.
        logged_count: How many ends waited when it was logged last.

    Returns:
        How many wait now.
    """
    unacknowledged = state.settled.number - state.acknowledgeable.number
    count = len(state.held_ends) + unacknowledged
    if bool(count) is not bool(logged_count):
        logger.info(
            'guard: ends held',
            lifetime=state.facts.lifetime if state.facts else '',
            unreported=len(state.held_ends),
            unacknowledged=unacknowledged,
        )
    return count


def log_closed_runs(
    report: RunReport, logged: frozenset[RunKey]
) -> frozenset[RunKey]:
    """Log the runs that a report names as absent for the first time.

    Args:
        report: The report.
        logged: The runs that the previous report named.

    Returns:
        The runs that this report names.
    """
    closed = frozenset(run.key for run in report.closed)
    new_reasons = [
        f'{run.key.task_id}/{run.key.run} {run.reason}'
        for run in report.closed
        if run.key not in logged
    ]
    if new_reasons:
        logger.info(
            'guard: runs absent',
            lifetime=report.facts.lifetime,
            runs=new_reasons[:MAX_RUNS_PER_LINE],
            count=len(new_reasons),
        )
    return closed


def _is_confirmed(state: WorkerRunState, key: RunKey) -> bool:
    call_state = state.call_states.get(key)
    return call_state is not None and call_state.started_at_s is not None


def _log_runs(event: str, poll: PollResult, runs: list[str]) -> None:
    logger.info(
        event,
        lifetime=poll.lifetime,
        took_ms=convert_to_ms(poll.answered_at_s - poll.sent_at_s),
        runs=runs[:MAX_RUNS_PER_LINE],
        count=len(runs),
    )
