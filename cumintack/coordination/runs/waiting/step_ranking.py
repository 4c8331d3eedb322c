"""The order in which waiting steps are placed.

The value of a workflow depends on its completion time relative to a time
objective: a multiple of its critical path, plus some slack. It keeps a little
value up to three times the objective, and none after that.

Two orders are available. By due time, the earliest goes first; the lateness
counts from the declared run times. This suits a load that fits: when it does
not, room goes to workflows that end late anyway, and those behind them become
late too. By remaining work, workflows that can still be in time go first, and
of these the one with the least work left for its size, by estimated run times:
more workflows are then in time under overload, and a workflow whose declared
run time is too short does not count as late.
"""

import msgspec

from cumintack.coordination.runs.waiting.remaining_work import (
    assess_remaining_work,
)
from cumintack.coordination.runs.waiting.run_time_estimates import RunTimeModel
from cumintack.state.workflows import (
    StepKey,
    WorkflowRecord,
    WorkflowTables,
    get_step,
)

MS_PER_S = 1000
# Multiple of its objective after which a workflow has no value left.
LATE_FACTOR = 3
# Cached ranks, as a multiple of the waiting steps and in addition to it, above
# which those of other steps are removed.
MAX_CACHE_FACTOR = 2
MIN_CACHE_SIZE = 64
# Exponent of the whole work of a workflow, by which its remaining work is
# divided. With 0, large workflows come after all small ones; with 1, their size
# does not count, and fewer workflows are in time.
SIZE_EXPONENT = 0.7
# Ms for which a rank by remaining work is used; a task takes seconds.
WORK_RANK_INTERVAL_MS = 250


class DueTimeOrder(msgspec.Struct, frozen=True):
    """Earliest due time first."""


class RemainingWorkOrder(msgspec.Struct, frozen=True):
    """Least remaining work for its size first, if it can still be in time.

    Attributes:
        run_times: The estimates of run times.
    """

    run_times: RunTimeModel


StepOrder = DueTimeOrder | RemainingWorkOrder
DUE_TIME_ORDER = DueTimeOrder()


class StepRank(msgspec.Struct, frozen=True, order=True):
    """Sort key of a waiting step; the lowest is placed first.

    Attributes:
        priority: Priority of the queue.
        lateness: 0 while an end in time is expected, 1 while a late end still
            has value, 2 after that.
        weighted_work: Remaining work of the workflow over a power of its whole
            work, both in core-seconds; 0 if that does not count.
        due_ms: When the workflow should be complete, in ms since 1970.
        key: The step, to break ties.
    """

    priority: int
    lateness: int
    weighted_work: float
    due_ms: float
    key: StepKey


def compute_critical_path_ms(workflow: WorkflowRecord) -> int:
    """Compute the critical path: the longest chain of dependent steps.

    Args:
        workflow: The workflow.

    Returns:
        The sum of the declared run times along it, in ms.
    """
    end_times_ms: list[int] = []
    for step in workflow.spec.steps:
        ready_ms = max(
            (end_times_ms[dependency] for dependency in step.depends_on),
            default=0,
        )
        end_times_ms.append(ready_ms + step.estimate_ms)
    return max(end_times_ms, default=0)


def compute_objective_ms(workflow: WorkflowRecord) -> float:
    """Compute the time objective of a workflow.

    Args:
        workflow: The workflow.

    Returns:
        The time from the start of the objective, in ms.
    """
    queue = workflow.queue
    return queue.stretch * compute_critical_path_ms(workflow) + queue.slack_ms


def get_objective_start_ms(workflow: WorkflowRecord, occurrence: int) -> float:
    """Get the time from which the objective of a workflow counts.

    Args:
        workflow: The workflow.
        occurrence: The number of the occurrence.

    Returns:
        The time of acceptance, or of the scheduled occurrence, in ms since
        1970.
    """
    schedule = workflow.spec.schedule
    if schedule is None:
        return workflow.accepted_at_ms
    return schedule.first_at_ms + occurrence * schedule.interval_ms


class CachedRank(msgspec.Struct, frozen=True):
    """Rank of a waiting step, valid until a time in ms since 1970."""

    rank: StepRank
    changes_at_ms: float


def rank_waiting_steps(
    cache: dict[StepKey, CachedRank],
    tables: WorkflowTables,
    now_ms: float,
    order: StepOrder = DUE_TIME_ORDER,
) -> list[StepRank]:
    """Rank all waiting steps.

    Args:
        cache: Ranks computed earlier, changed in place.
        tables: The replicated workflow tables.
        now_ms: Current wall-clock time, in ms.
        order: The order.

    Returns:
        The ranks, lowest first.
    """
    ranks = []
    for key in tables.index.waiting:
        cached = cache.get(key)
        if cached is None or now_ms > cached.changes_at_ms:
            cached = _compute_cached_rank(tables, key, now_ms, order)
            cache[key] = cached
        ranks.append(cached.rank)
    if len(cache) > MAX_CACHE_FACTOR * len(ranks) + MIN_CACHE_SIZE:
        for cached_key in list(cache):
            if cached_key not in tables.index.waiting:
                cache.pop(cached_key)
    ranks.sort()
    return ranks


def _compute_cached_rank(
    tables: WorkflowTables, key: StepKey, now_ms: float, order: StepOrder
) -> CachedRank:
    match order:
        case RemainingWorkOrder(run_times=run_times):
            rank = _rank_by_work(run_times, tables, key, now_ms)
            return CachedRank(rank, now_ms + WORK_RANK_INTERVAL_MS)
        case DueTimeOrder():
            return _rank_by_due_time(tables, key, now_ms)


def _rank_by_due_time(
    tables: WorkflowTables, key: StepKey, now_ms: float
) -> CachedRank:
    workflow = tables.workflows[key.workflow_id]
    objective_ms = compute_objective_ms(workflow)
    start_ms = get_objective_start_ms(workflow, key.occurrence)
    changes_at_ms = float('inf')
    for factor in (LATE_FACTOR, 1):
        if now_ms <= start_ms + factor * objective_ms:
            changes_at_ms = start_ms + factor * objective_ms
    return CachedRank(rank_step(tables, key, now_ms), changes_at_ms)


def rank_step(
    tables: WorkflowTables,
    key: StepKey,
    now_ms: float,
) -> StepRank:
    """Compute the rank of a waiting step.

    Args:
        tables: The replicated workflow tables.
        key: The step.
        now_ms: Current wall-clock time, in ms.

    Returns:
        Its rank.
    """
    workflow = tables.workflows[key.workflow_id]
    objective_ms = compute_objective_ms(workflow)
    start_ms = get_objective_start_ms(workflow, key.occurrence)
    due_ms = start_ms + objective_ms
    lateness = 0
    if now_ms > due_ms:
        lateness = 1
    if now_ms > start_ms + LATE_FACTOR * objective_ms:
        lateness = 2
    return StepRank(workflow.queue.priority, lateness, 0, due_ms, key)


def _rank_by_work(
    run_times: RunTimeModel,
    tables: WorkflowTables,
    key: StepKey,
    now_ms: float,
) -> StepRank:
    """Rank a step by what is left of its workflow.

    A long-running step has no end, so that it is ranked by its due time.
    """
    workflow = tables.workflows[key.workflow_id]
    if get_step(tables, key).is_long_running:
        return rank_step(tables, key, now_ms)
    left = assess_remaining_work(run_times, tables, workflow, key.occurrence)
    queue = workflow.queue
    objective_ms = queue.slack_ms + (
        queue.stretch * left.whole_path_s * MS_PER_S
    )
    start_ms = get_objective_start_ms(workflow, key.occurrence)
    expected_ms = now_ms + left.path_s * MS_PER_S - start_ms
    lateness = 0
    if expected_ms > objective_ms:
        lateness = 1
    if expected_ms > LATE_FACTOR * objective_ms:
        lateness = 2
    return StepRank(
        queue.priority,
        lateness,
        left.work_core_s / max(1, left.whole_work_core_s) ** SIZE_EXPONENT,
        start_ms + objective_ms,
        key,
    )
