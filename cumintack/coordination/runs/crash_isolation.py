"""Separation of tasks that crash their workers from those beside them.

All runs on a worker that crashes are lost, and many of them may have just
started. Each of these is a suspect until it outlives its start. Suspects start
on workers where nothing else has just started, and nothing else starts there
meanwhile, so that the next crash shows which task causes it. Only part of the
workers are isolated at a time, those that would lose least.
"""

import msgspec

from cumintack.coordination.runs.worker_loss import RECENT_START_S
from cumintack.coordination.runs.worker_views import (
    PlacedRun,
    PlacedRuns,
    WorkerView,
)
from cumintack.protocol.run_messages import RunKey, RunReport, WorkerLoss
from cumintack.state.workflows import (
    CrashEvidence,
    StepKey,
    parse_task_id,
)

# Seconds between two losses that may have one cause, such as a loss of power.
COINCIDENCE_S = 0.1
# Seconds for which a worker waits until its latest starts are outlived.
RESERVATION_S = 3.0
# Seconds from the proposal of a start to the first report after it.
START_MARGIN_S = 1.0
# One in so many workers of a pool may be isolated at a time.
WORKERS_PER_ISOLATED = 2


class SeenLoss(msgspec.Struct):
    """Loss of a worker, on the clock of the leader.

    Attributes:
        lifetime: The incarnation that was lost.
        from_s: When it may have been lost at the earliest.
        until_s: When it had been lost.
        is_explained: Whether a suspect had just started there by itself.
    """

    lifetime: str
    from_s: float
    until_s: float
    is_explained: bool = False


def record_loss(
    losses: dict[str, SeenLoss],
    guard: str,
    report: RunReport,
    placed_runs: PlacedRuns,
    now_s: float,
) -> None:
    """Record the loss of a worker that a report names.

    Args:
        losses: The latest loss of each worker, by guard; changed in place.
        guard: The name of the guard.
        report: Its report.
        placed_runs: The recorded runs on its worker.
        now_s: Current time of the monotonic clock, in seconds.
    """
    loss = report.loss
    if loss is None:
        losses.pop(guard, None)
        return
    seen = losses.get(guard)
    if seen is None or seen.lifetime != loss.lifetime:
        clock_offset_s = now_s - report.sent_at_s
        from_s = loss.at_s if loss.is_disconnected else loss.heard_at_s
        seen = SeenLoss(
            loss.lifetime, from_s + clock_offset_s, loss.at_s + clock_offset_s
        )
        losses[guard] = seen
    if not seen.is_explained and _count_workflows(loss) == 1:
        seen.is_explained = any(
            placed.key in loss.recent_starts
            and placed.record.lifetime == loss.lifetime
            and placed.record.crashed_on
            for placed in placed_runs.values()
        )


def _count_workflows(loss: WorkerLoss) -> int:
    return len({_get_workflow_id(key) for key in loss.recent_starts})


def _get_workflow_id(key: RunKey) -> str:
    task = parse_task_id(key.task_id)
    return task.step_key.workflow_id if task else ''


def assess_crash(
    losses: dict[str, SeenLoss], guard: str, loss: WorkerLoss, key: RunKey
) -> CrashEvidence:
    """Assess whether a run may have caused the crash of its worker.

    Args:
        losses: The latest loss of each worker, by guard.
        guard: The guard of the worker.
        loss: The loss of the worker.
        key: The run.

    Returns:
        The evidence against the run.
    """
    if key not in loss.recent_starts:
        return CrashEvidence.innocent
    if _has_coincident_loss(losses, guard):
        return CrashEvidence.coincident
    if _count_workflows(loss) > 1:
        return CrashEvidence.possible
    return CrashEvidence.sole


def _has_coincident_loss(losses: dict[str, SeenLoss], guard: str) -> bool:
    seen = losses.get(guard)
    if seen is None:
        return False
    return any(
        other.from_s - COINCIDENCE_S <= seen.until_s
        and seen.from_s <= other.until_s + COINCIDENCE_S
        for other_guard, other in losses.items()
        if other_guard != guard and not other.is_explained
    )


def update_isolation(
    view: WorkerView, placed_runs: PlacedRuns, now_s: float
) -> None:
    """Update for whom a worker is isolated, after a report of its guard.

    Args:
        view: The worker as last reported, changed in place.
        placed_runs: The recorded runs on it.
        now_s: Current time of the monotonic clock, in seconds.
    """
    view.listed_since_s = {
        key: view.listed_since_s.get(key, view.sent_at_s)
        for key in view.running
    }
    suspected = sorted(
        placed.task.step_key.workflow_id
        for placed in placed_runs.values()
        if placed.record.crashed_on and not _has_outlived_start(view, placed)
    )
    if suspected:
        view.isolated_for = suspected[0]
        view.isolated_until_s = float('-inf')
    elif now_s >= view.isolated_until_s:
        view.isolated_for = ''


def _has_outlived_start(view: WorkerView, placed: PlacedRun) -> bool:
    run = view.running.get(placed.key)
    if run is not None and run.has_outlived_start:
        return True
    listed_since_s = view.listed_since_s.get(placed.key, float('inf'))
    return view.sent_at_s - listed_since_s >= RECENT_START_S


class IsolationCandidate(msgspec.Struct, frozen=True):
    """A worker that can run a suspect.

    Attributes:
        view: The worker as last reported.
        placed_runs: The recorded runs on it.
        proposed: Steps of the proposed starts on it, by task.
    """

    view: WorkerView
    placed_runs: PlacedRuns
    proposed: dict[str, StepKey]


def list_workers_for_suspect(
    available: list[WorkerView], workflow_id: str
) -> list[WorkerView]:
    """List the workers to consider for a suspect.

    Args:
        available: All available workers of the pool.
        workflow_id: The workflow of the suspect.

    Returns:
        The workers that are isolated for its workflow; if there are none, those
        of which one may be isolated.
    """
    isolated = [view for view in available if view.isolated_for]
    own = [view for view in isolated if view.isolated_for == workflow_id]
    limit = max(1, len(available) // WORKERS_PER_ISOLATED)
    if own or len(isolated) >= limit:
        return own
    return [view for view in available if not view.isolated_for]


def choose_isolated_worker(
    candidates: list[IsolationCandidate], workflow_id: str, now_s: float
) -> WorkerView | None:
    """Choose the worker on which a suspect starts now, apart from others.

    Args:
        candidates: The considered workers that can run it; one of them is
            isolated for its workflow if none is yet.
        workflow_id: The workflow of the suspect.
        now_s: Current time of the monotonic clock, in seconds.

    Returns:
        The worker; None while there is none, or while other runs on the worker
        that is isolated for it have just started.
    """
    if not candidates:
        return None
    chosen = min(candidates, key=_compute_cost)
    view = chosen.view
    if not view.isolated_for:
        view.isolated_for = workflow_id
        view.isolated_until_s = now_s + RESERVATION_S
    if _list_recent_workflows(chosen) <= {workflow_id}:
        view.isolated_until_s = now_s + START_MARGIN_S
        return view
    return None


def _compute_cost(candidate: IsolationCandidate) -> tuple[int, int, int]:
    """Order workers by what a crash would lose and how soon they are ready."""
    placed_runs = candidate.placed_runs.values()
    return (
        sum(placed.step.is_long_running for placed in placed_runs),
        len(placed_runs) + len(candidate.proposed),
        len(_list_recent_workflows(candidate)),
    )


def _list_recent_workflows(candidate: IsolationCandidate) -> set[str]:
    """List the workflows whose runs have not outlived their start."""
    proposed = {key.workflow_id for key in candidate.proposed.values()}
    return proposed | {
        placed.task.step_key.workflow_id
        for placed in candidate.placed_runs.values()
        if not _has_outlived_start(candidate.view, placed)
    }
