"""Migration of best-effort runs that would end much sooner elsewhere.

Handles steps of which most tasks run at full speed while a few are throttled
beside latency-critical tasks, or share too little idle processor time: the
step ends with its slowest task. A run is migrated if its remaining time here
exceeds that on the best other worker, with the cost of the migration and the
work lost by it, by a clear margin. Its place there is reserved until it has
stopped, so that no two runs are promised the same free capacity. Members of a
gang stay, since the others would end with them.
"""

import msgspec

from cumintack.coordination.runs.admission_advice import needs_advice
from cumintack.coordination.runs.candidate_index import (
    add_proposed_start,
    create_task_kind,
    get_placed_runs,
    get_usage,
)
from cumintack.coordination.runs.placement import (
    SchedulingPass,
    find_candidate,
)
from cumintack.coordination.runs.speed_estimate import (
    estimate_speed,
    is_insensitive,
)
from cumintack.coordination.runs.worker_views import (
    PlacedRun,
    PlacedRuns,
    RunProgress,
    WorkerView,
)
from cumintack.protocol.run_messages import RunKey, RunningRun
from cumintack.state.workflows import StepSpec

# Share of its full speed below which a run counts as slow.
SLOW_SPEED = 0.7
# Seconds for which a run must be slow: two measurements of half a second must
# agree.
SLOW_TIMEOUT_S = 1.2
# Weight of the latest measurement in the mean speed of a run.
SPEED_SMOOTHING = 0.5
# Least speed assumed in a division; a run may be throttled to a stop.
MIN_SPEED = 0.02
# Percent of progress from which the run time is estimated from the progress,
# not from what the caller declared.
MIN_MEASURED_PERCENT = 10
# Seconds that a migration takes: the stop, two commits, the start and the
# restore from the checkpoint.
MIGRATION_COST_S = 1.0
# Least gain of a migration in seconds, and as a share of the remaining time.
MIN_GAIN_S = 1.0
MIN_GAIN_SHARE = 0.3
# Seconds between two migrations of a task, in which the speed on its new worker
# is measured.
MIN_INTERVAL_S = 4.0
# Migrations decided at once, so that their effect is measured before the next.
MAX_MIGRATIONS = 4
MS_PER_S = 1000
FULL_PERCENT = 100


class Migration(msgspec.Struct, frozen=True):
    """A run to stop so that it is placed again.

    Attributes:
        key: The run.
        target: Guard of the worker on which its place is reserved.
    """

    key: RunKey
    target: str


def update_progress(
    placed_runs: PlacedRuns, view: WorkerView, now_s: float
) -> None:
    """Update the speed and the progress of best-effort runs after a report.

    Args:
        placed_runs: The recorded runs on the worker.
        view: The worker as last reported, changed in place.
        now_s: Current time of the monotonic clock, in seconds.
    """
    progress_by_run = {}
    for placed in placed_runs.values():
        run = view.running.get(placed.key)
        if run is None or not placed.step.is_best_effort:
            continue
        progress = view.progress_by_run.get(placed.key)
        if progress is None:
            progress = RunProgress(now_s, run.percent)
        else:
            _add_measurement(progress, run, placed.step, now_s)
        progress_by_run[placed.key] = progress
    view.progress_by_run = progress_by_run


def _add_measurement(
    progress: RunProgress, run: RunningRun, step: StepSpec, now_s: float
) -> None:
    speed = min(1, run.measurement / max(1, step.need.cores_milli))
    progress.work_s += speed * (now_s - progress.at_s)
    progress.at_s = now_s
    progress.percent = run.percent
    progress.speed += SPEED_SMOOTHING * (speed - progress.speed)
    if progress.speed >= SLOW_SPEED:
        progress.slow_since_s = None
    elif progress.slow_since_s is None:
        progress.slow_since_s = now_s


def choose_migrations(
    scheduling_pass: SchedulingPass, migrated_at_s: dict[str, float]
) -> list[Migration]:
    """Choose runs to migrate, and reserve their places.

    Args:
        scheduling_pass: A scheduling pass.
        migrated_at_s: When each task was last migrated, changed in place.

    Returns:
        The migrations; those that gain most come first.
    """
    now_s = scheduling_pass.now_s
    for migrated_id, at_s in list(migrated_at_s.items()):
        if now_s - at_s > MIN_INTERVAL_S:
            migrated_at_s.pop(migrated_id)
    slow_runs = [
        (view, placed)
        for view in scheduling_pass.views.values()
        if view.progress_by_run
        for placed in _list_slow_runs(scheduling_pass, view)
        if placed.key.task_id not in migrated_at_s
    ]
    slow_runs.sort(key=_get_remaining_time, reverse=True)
    migrations: list[Migration] = []
    for view, placed in slow_runs:
        if len(migrations) >= MAX_MIGRATIONS:
            break
        target = _find_better_worker(scheduling_pass, view, placed)
        if target is not None:
            task_id = placed.key.task_id
            migrated_at_s[task_id] = now_s
            add_proposed_start(
                scheduling_pass.index,
                scheduling_pass.tables,
                target.guard,
                task_id,
            )
            migrations.append(Migration(placed.key, target.guard))
    return migrations


def _list_slow_runs(
    scheduling_pass: SchedulingPass, view: WorkerView
) -> list[PlacedRun]:
    latest_start_s = scheduling_pass.now_s - SLOW_TIMEOUT_S
    slow_keys = {
        key.task_id
        for key, progress in view.progress_by_run.items()
        if progress.slow_since_s is not None
        and progress.slow_since_s <= latest_start_s
    }
    if not slow_keys:
        return []
    placed_runs = get_placed_runs(
        scheduling_pass.index, scheduling_pass.tables, view.guard
    )
    return [
        placed
        for task_id, placed in placed_runs.items()
        if task_id in slow_keys
        and placed.key in view.progress_by_run
        and not placed.step.is_gang
        and not needs_advice(scheduling_pass.tables, placed.task.step_key)
    ]


def _get_remaining_time(slow_run: tuple[WorkerView, PlacedRun]) -> float:
    view, placed = slow_run
    progress = view.progress_by_run[placed.key]
    _lost_s, remaining_s = estimate_work(progress, placed.step)
    return remaining_s / max(MIN_SPEED, progress.speed)


def estimate_work(progress: RunProgress, step: StepSpec) -> tuple[float, float]:
    """Estimate the work that a migration of a run loses, and what remains.

    Args:
        progress: The progress of the run.
        step: Its step.

    Returns:
        Both as seconds at full speed.
    """
    total_s = step.estimate_ms / MS_PER_S
    measured_percent = progress.percent - progress.first_percent
    if measured_percent >= MIN_MEASURED_PERCENT:
        total_s = progress.work_s * FULL_PERCENT / measured_percent
    done_share = progress.percent / FULL_PERCENT
    lost_s = 0 if step.is_checkpointed else total_s * done_share
    return lost_s, total_s * (1 - done_share)


def _find_better_worker(
    scheduling_pass: SchedulingPass, view: WorkerView, placed: PlacedRun
) -> WorkerView | None:
    kind = create_task_kind(view.facts.pool, placed.task.step_key, placed.step)
    best = find_candidate(scheduling_pass, kind)
    if best is None or best is view:
        return None
    usage = get_usage(scheduling_pass.index, scheduling_pass.tables, best)
    if scheduling_pass.is_packed and not is_insensitive(
        scheduling_pass.interference, usage, placed.step
    ):
        # It would be slowed there too as soon as the load rises.
        return None
    speed_there = estimate_speed(
        scheduling_pass.interference, best, usage, placed.step
    )
    progress = view.progress_by_run[placed.key]
    return best if _is_worthwhile(progress, placed.step, speed_there) else None


def _is_worthwhile(
    progress: RunProgress, step: StepSpec, speed_there: float
) -> bool:
    lost_s, remaining_s = estimate_work(progress, step)
    time_here_s = remaining_s / max(MIN_SPEED, progress.speed)
    time_there_s = (lost_s + remaining_s) / max(MIN_SPEED, speed_there)
    gain_s = time_here_s - time_there_s - MIGRATION_COST_S
    return gain_s >= max(MIN_GAIN_S, MIN_GAIN_SHARE * time_here_s)
