"""The order in which waiting steps are placed.

The value of a workflow depends on its completion time relative to a time
objective: a multiple of its critical path, plus some slack. It keeps a little
value up to three times the objective, and none after that.
"""

import msgspec

from cumintack.state.workflows import (
    StepKey,
    WorkflowRecord,
    WorkflowTables,
)

MS_PER_S = 1000
# Multiple of its objective after which a workflow has no value left.
LATE_FACTOR = 3
# Cached ranks, as a multiple of the waiting steps and in addition to it, above
# which those of other steps are removed.
MAX_CACHE_FACTOR = 2
MIN_CACHE_SIZE = 64


class StepRank(msgspec.Struct, frozen=True, order=True):
    """Sort key of a waiting step; the lowest is placed first.

    Attributes:
        priority: Priority of the queue.
        lateness: 0 before the due time, 1 while a late end still has value,
            2 after that.
        due_ms: When the workflow should be complete, in ms since 1970.
        key: The step, to break ties.
    """

    priority: int
    lateness: int
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
) -> list[StepRank]:
    """Rank all waiting steps.

    Args:
        cache: Ranks computed earlier, changed in place.
        tables: The replicated workflow tables.
        now_ms: Current wall-clock time, in ms.

    Returns:
        The ranks, lowest first.
    """
    ranks = []
    for key in tables.index.waiting:
        cached = cache.get(key)
        if cached is None or now_ms > cached.changes_at_ms:
            cached = _compute_cached_rank(tables, key, now_ms)
            cache[key] = cached
        ranks.append(cached.rank)
    if len(cache) > MAX_CACHE_FACTOR * len(ranks) + MIN_CACHE_SIZE:
        for cached_key in list(cache):
            if cached_key not in tables.index.waiting:
                cache.pop(cached_key)
    ranks.sort()
    return ranks


def _compute_cached_rank(
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
    return StepRank(workflow.queue.priority, lateness, due_ms, key)
