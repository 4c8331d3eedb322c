"""Migration of starved best-effort runs.

Handles best-effort tasks that are throttled for long beside latency-critical
tasks with which they interfere, while other workers have free capacity. A run
is migrated only if it loses little work, and only if another worker offers
most of its full speed.
"""

from cumintack.coordination.runs.placement import (
    CandidateWorker,
    SchedulingPass,
    estimate_speed,
)
from cumintack.coordination.runs.worker_views import list_runs_with_steps
from cumintack.protocol.run_messages import RunKey, RunningRun
from cumintack.state.workflows import StepSpec

# Share of the requested CPU time below which a run counts as starved.
STARVED_SHARE = 0.4
# Seconds of starvation before a migration: two measurements of half a second
# must agree.
STARVATION_TIMEOUT_S = 1.2
# Share of its full speed that the other worker must offer.
MIN_TARGET_SPEED = 0.85
# Progress in percent up to which a run without checkpoints is migrated, since
# it loses little work.
MAX_LOST_PERCENT = 10
# Migrations decided at once, so that their effect is measured before the next.
MAX_MIGRATIONS = 4


def choose_runs_to_migrate(
    starved_since_s: dict[RunKey, float],
    scheduling_pass: SchedulingPass,
) -> list[RunKey]:
    """Update which runs are starved, and choose those to migrate.

    Args:
        starved_since_s: Start of the starvation of each starved run, changed
            in place.
        scheduling_pass: A scheduling pass over the schedulable workers.

    Returns:
        The runs to stop so that they are placed again.
    """
    starved = {
        key: (candidate, step)
        for key, candidate, step in _list_starved(scheduling_pass)
    }
    for tracked_key in list(starved_since_s):
        if tracked_key not in starved:
            starved_since_s.pop(tracked_key)
    migrated: list[RunKey] = []
    for key, (candidate, step) in starved.items():
        starved_at_s = starved_since_s.setdefault(key, scheduling_pass.now_s)
        is_long = scheduling_pass.now_s - starved_at_s >= STARVATION_TIMEOUT_S
        if is_long and len(migrated) < MAX_MIGRATIONS:
            if _has_better_candidate(scheduling_pass, candidate, step):
                migrated.append(key)
    return migrated


def _list_starved(
    scheduling_pass: SchedulingPass,
) -> list[tuple[RunKey, CandidateWorker, StepSpec]]:
    return [
        (key, candidate, step)
        for candidate in scheduling_pass.candidates.values()
        for key, step in list_runs_with_steps(
            scheduling_pass.tables, candidate.view
        )
        if key in candidate.view.running
        and _is_starved(candidate.view.running[key], step)
    ]


def _is_starved(run: RunningRun, step: StepSpec) -> bool:
    is_work_kept = step.is_checkpointed or run.percent <= MAX_LOST_PERCENT
    is_movable = step.is_best_effort and is_work_kept
    return (
        is_movable and run.measurement < STARVED_SHARE * step.need.cores_milli
    )


def _has_better_candidate(
    scheduling_pass: SchedulingPass, candidate: CandidateWorker, step: StepSpec
) -> bool:
    return any(
        other.view.facts.pool == candidate.view.facts.pool
        and estimate_speed(scheduling_pass, other, step) >= MIN_TARGET_SPEED
        for other in scheduling_pass.candidates.values()
        if other is not candidate
    )
