"""Migration of starved best-effort runs.

Handles best-effort tasks that are throttled for long beside latency-critical
tasks with which they interfere, while other workers have free capacity. A run
is migrated only if it loses little work, and only if another worker offers
most of its full speed.
"""

from cumintack.coordination.runs.candidate_index import (
    create_task_kind,
    get_placed_runs,
    get_usage,
)
from cumintack.coordination.runs.placement import (
    SchedulingPass,
    find_candidate,
)
from cumintack.coordination.runs.speed_estimate import estimate_speed
from cumintack.coordination.runs.worker_views import (
    PlacedRun,
    PlacedRuns,
    WorkerView,
)
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


def update_starved_runs(
    placed_runs: PlacedRuns, view: WorkerView, now_s: float
) -> None:
    """Update which runs of a worker are starved, after a report.

    Args:
        placed_runs: The recorded runs on the worker.
        view: The worker as last reported, changed in place.
        now_s: Current time of the monotonic clock, in seconds.
    """
    view.starved_since_s = {
        placed.key: view.starved_since_s.get(placed.key, now_s)
        for placed in placed_runs.values()
        if placed.key in view.running
        and _is_starved(view.running[placed.key], placed.step)
    }


def choose_runs_to_migrate(scheduling_pass: SchedulingPass) -> list[RunKey]:
    """Choose starved runs to migrate.

    Args:
        scheduling_pass: A scheduling pass.

    Returns:
        The runs to stop so that they are placed again.
    """
    migrated: list[RunKey] = []
    for view in scheduling_pass.views.values():
        for placed in _list_long_starved(scheduling_pass, view):
            if len(migrated) >= MAX_MIGRATIONS:
                return migrated
            if _has_better_candidate(scheduling_pass, view, placed):
                migrated.append(placed.key)
    return migrated


def _list_long_starved(
    scheduling_pass: SchedulingPass, view: WorkerView
) -> list[PlacedRun]:
    if not view.starved_since_s:
        return []
    latest_start_s = scheduling_pass.now_s - STARVATION_TIMEOUT_S
    placed_runs = get_placed_runs(
        scheduling_pass.index, scheduling_pass.tables, view.guard
    )
    return [
        placed
        for placed in placed_runs.values()
        if view.starved_since_s.get(placed.key, float('inf')) <= latest_start_s
    ]


def _is_starved(run: RunningRun, step: StepSpec) -> bool:
    is_work_kept = step.is_checkpointed or run.percent <= MAX_LOST_PERCENT
    is_movable = step.is_best_effort and is_work_kept
    return (
        is_movable and run.measurement < STARVED_SHARE * step.need.cores_milli
    )


def _has_better_candidate(
    scheduling_pass: SchedulingPass, view: WorkerView, placed: PlacedRun
) -> bool:
    kind = create_task_kind(view.facts.pool, placed.task.step_key, placed.step)
    best = find_candidate(scheduling_pass, kind)
    if best is None or best is view:
        return False
    usage = get_usage(scheduling_pass.index, scheduling_pass.tables, best)
    speed = estimate_speed(
        scheduling_pass.interference, best, usage, placed.step
    )
    return speed >= MIN_TARGET_SPEED
