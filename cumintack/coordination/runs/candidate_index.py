"""Index of the workers: their usage, and the best one for each kind of task.

The index is kept from one scheduling pass to the next. A change of a worker
marks it in each queue, and the next choice for a kind of task evaluates the
marked workers only. A choice therefore costs as much as what has changed, not
as much as there are workers.
"""

import heapq
from collections.abc import Callable

import msgspec

from cumintack.coordination.runs.worker_views import (
    PlacedRuns,
    WorkerUsage,
    WorkerView,
    add_task_usage,
    compute_usage,
    create_placed_run,
    is_schedulable,
    list_placed_runs,
)
from cumintack.state.workflows import (
    RunStart,
    StepKey,
    StepSpec,
    WorkflowTables,
    get_step,
    parse_task_id,
)

# Seconds after its last use at which the queue of a kind of task is removed.
QUEUE_RETENTION_S = 5.0
# Outdated entries of a queue, as a multiple of its workers, at which it is
# rebuilt.
MAX_OUTDATED_FACTOR = 4

# Computes the score of a worker, None if it cannot run the task.
ScoreFunction = Callable[[WorkerView, WorkerUsage], float | None]


class TaskKind(msgspec.Struct, frozen=True):
    """What decides which workers may run a task, and which one is best.

    Attributes:
        pool: The pool whose workers may run it.
        step: Its step without the properties that do not matter here.
        limited_step: Its step if the number of its tasks on a worker is
            limited, else None.
    """

    pool: str
    step: StepSpec
    limited_step: StepKey | None


class QueuedCandidate(msgspec.Struct, frozen=True, order=True):
    """A worker in a queue; the lowest is the best.

    Attributes:
        negative_score: Its score, negated.
        position: Its position among all workers, to break ties.
        guard: The name of its guard.
        version: The version of its evaluation; only the latest is valid.
    """

    negative_score: float
    position: int
    guard: str
    version: int


class CandidateQueue(msgspec.Struct):
    """Workers that can run one kind of task, best first.

    Attributes:
        changed_guards: Workers to evaluate before the next choice.
        used_at_s: When the queue was last used.
        heap: The evaluated workers, including outdated entries.
        versions: Version of the latest evaluation of each worker.
    """

    changed_guards: dict[str, None]
    used_at_s: float
    heap: list[QueuedCandidate] = []
    versions: dict[str, int] = {}


class CandidateIndex(msgspec.Struct):
    """Usage of the workers, and a queue for each kind of task.

    Attributes:
        placed_runs: Recorded runs by guard; absent where they are not known.
        usages: Usage by guard; absent where it has changed.
        proposed: Proposed starts that are not applied yet, by guard and task.
        queues: The workers that can run each kind of task.
        positions: Position of each worker, in the order of its first report.
        kinds: The kind of the tasks of each waiting step.
    """

    placed_runs: dict[str, PlacedRuns] = {}
    usages: dict[str, WorkerUsage] = {}
    proposed: dict[str, dict[str, StepKey]] = {}
    queues: dict[TaskKind, CandidateQueue] = {}
    positions: dict[str, int] = {}
    kinds: dict[StepKey, TaskKind] = {}


def mark_changed(index: CandidateIndex, guard: str) -> None:
    """Record that a worker has reported, or that its usage has changed.

    Args:
        index: The index, changed in place.
        guard: The name of its guard.
    """
    index.positions.setdefault(guard, len(index.positions))
    index.usages.pop(guard, None)
    _mark_in_queues(index, guard)


def mark_all_changed(index: CandidateIndex) -> None:
    """Record that the recorded runs on any worker may have changed.

    Args:
        index: The index, changed in place.
    """
    index.placed_runs.clear()
    for guard in index.positions:
        mark_changed(index, guard)


def _mark_in_queues(index: CandidateIndex, guard: str) -> None:
    for queue in index.queues.values():
        queue.changed_guards[guard] = None


def get_placed_runs(
    index: CandidateIndex, tables: WorkflowTables, guard: str
) -> PlacedRuns:
    """Get the recorded runs on the worker of a guard.

    Args:
        index: The index.
        tables: The replicated workflow tables.
        guard: The name of the guard.

    Returns:
        The runs; not to be changed.
    """
    placed_runs = index.placed_runs.get(guard)
    if placed_runs is None:
        placed_runs = list_placed_runs(tables, guard)
        index.placed_runs[guard] = placed_runs
    return placed_runs


def get_usage(
    index: CandidateIndex, tables: WorkflowTables, view: WorkerView
) -> WorkerUsage:
    """Get the usage of a worker by recorded runs and proposed starts.

    Args:
        index: The index.
        tables: The replicated workflow tables.
        view: The worker as last reported.

    Returns:
        The usage; not to be changed.
    """
    usage = index.usages.get(view.guard)
    if usage is None:
        placed_runs = get_placed_runs(index, tables, view.guard)
        usage = compute_usage(view, placed_runs)
        for step_key in index.proposed.get(view.guard, {}).values():
            add_task_usage(usage, step_key, get_step(tables, step_key))
        index.usages[view.guard] = usage
    return usage


def add_proposed_start(
    index: CandidateIndex, tables: WorkflowTables, guard: str, task_id: str
) -> None:
    """Count a start that is proposed as usage of its worker.

    Args:
        index: The index, changed in place.
        tables: The replicated workflow tables.
        guard: The name of the guard of the worker.
        task_id: The task.
    """
    task = parse_task_id(task_id)
    if task is None:
        return
    step_key = task.step_key
    index.proposed.setdefault(guard, {})[task_id] = step_key
    usage = index.usages.get(guard)
    if usage is not None:
        add_task_usage(usage, step_key, get_step(tables, step_key))
    _mark_in_queues(index, guard)


def remove_proposed_start(
    index: CandidateIndex, guard: str, task_id: str
) -> None:
    """Stop counting a start that will not be recorded.

    Args:
        index: The index, changed in place.
        guard: The name of the guard of the worker.
        task_id: The task.
    """
    index.proposed.get(guard, {}).pop(task_id, None)
    mark_changed(index, guard)


def record_start(
    index: CandidateIndex, tables: WorkflowTables, start: RunStart
) -> None:
    """Update the runs on a worker after a start was applied.

    Args:
        index: The index, changed in place.
        tables: The replicated workflow tables, with the start applied.
        start: The start.
    """
    proposed = index.proposed.get(start.guard, {})
    is_placed = start.task_id in tables.index.placed.get(start.guard, {})
    if is_placed and start.task_id in proposed:
        # Its usage was counted when it was proposed.
        proposed.pop(start.task_id)
    else:
        remove_proposed_start(index, start.guard, start.task_id)
    _update_placed_run(index, tables, start.guard, start.task_id)


def record_end(
    index: CandidateIndex, tables: WorkflowTables, guard: str, task_id: str
) -> None:
    """Update the runs on a worker after the end of one was applied.

    Args:
        index: The index, changed in place.
        tables: The replicated workflow tables, with the end applied.
        guard: The name of the guard of the worker.
        task_id: The task.
    """
    _update_placed_run(index, tables, guard, task_id)
    mark_changed(index, guard)


def _update_placed_run(
    index: CandidateIndex, tables: WorkflowTables, guard: str, task_id: str
) -> None:
    placed_runs = index.placed_runs.get(guard)
    if placed_runs is None:
        return
    task = tables.index.placed.get(guard, {}).get(task_id)
    placed = create_placed_run(tables, task_id, task) if task else None
    if placed is None:
        placed_runs.pop(task_id, None)
    else:
        placed_runs[task_id] = placed


def get_task_kind(
    index: CandidateIndex, tables: WorkflowTables, key: StepKey
) -> TaskKind:
    """Get the kind of the tasks of a waiting step.

    Args:
        index: The index.
        tables: The replicated workflow tables.
        key: The step.

    Returns:
        The kind of its tasks.
    """
    kind = index.kinds.get(key)
    if kind is None:
        pool = tables.workflows[key.workflow_id].queue.pool
        kind = create_task_kind(pool, key, get_step(tables, key))
        index.kinds[key] = kind
    return kind


def create_task_kind(pool: str, key: StepKey, step: StepSpec) -> TaskKind:
    """Create the kind of the tasks of a step.

    Args:
        pool: The pool whose workers may run it.
        key: The step.
        step: Its specification.

    Returns:
        The same kind for all steps that the same workers suit equally.
    """
    depends_on_image = step.is_best_effort or step.target_ms
    return TaskKind(
        pool,
        StepSpec(
            1,
            step.need,
            step.estimate_ms,
            label=step.label,
            data_rack=step.data_rack,
            max_per_worker=step.max_per_worker,
            is_long_running=step.is_long_running,
            image=step.image if depends_on_image else '',
            target_ms=step.target_ms,
            is_best_effort=step.is_best_effort,
        ),
        key if step.max_per_worker else None,
    )


def find_best_candidate(
    index: CandidateIndex,
    kind: TaskKind,
    tables: WorkflowTables,
    views: dict[str, WorkerView],
    compute_score: ScoreFunction,
    now_s: float,
) -> WorkerView | None:
    """Find the worker with the highest score for a kind of task.

    Args:
        index: The index, changed in place.
        kind: The kind of task.
        tables: The replicated workflow tables.
        views: The workers, by name of their guard.
        compute_score: Scores a worker; it must depend only on the kind, the
            worker and its usage.
        now_s: Current time of the monotonic clock, in seconds.

    Returns:
        The worker, None if no schedulable worker can run it.
    """
    queue = index.queues.get(kind)
    if queue is None:
        queue = CandidateQueue(dict.fromkeys(views), now_s)
        index.queues[kind] = queue
    queue.used_at_s = now_s
    for changed_guard in queue.changed_guards:
        version = queue.versions.get(changed_guard, 0) + 1
        queue.versions[changed_guard] = version
        view = views.get(changed_guard)
        if view is None:
            continue
        score = compute_score(view, get_usage(index, tables, view))
        if score is not None:
            heapq.heappush(
                queue.heap,
                QueuedCandidate(
                    -score,
                    index.positions[changed_guard],
                    changed_guard,
                    version,
                ),
            )
    queue.changed_guards.clear()
    _compact(queue)
    while queue.heap:
        best = queue.heap[0]
        if best.version == queue.versions[best.guard]:
            # Its next report marks a worker that is not schedulable now.
            if is_schedulable(views[best.guard], now_s):
                return views[best.guard]
        heapq.heappop(queue.heap)
    return None


def _compact(queue: CandidateQueue) -> None:
    if len(queue.heap) > MAX_OUTDATED_FACTOR * len(queue.versions):
        queue.heap = [
            candidate
            for candidate in queue.heap
            if candidate.version == queue.versions[candidate.guard]
        ]
        heapq.heapify(queue.heap)


def prune_index(
    index: CandidateIndex, tables: WorkflowTables, now_s: float
) -> None:
    """Remove what no waiting step needs any more.

    Args:
        index: The index, changed in place.
        tables: The replicated workflow tables.
        now_s: Current time of the monotonic clock, in seconds.
    """
    for kind, queue in list(index.queues.items()):
        if now_s - queue.used_at_s > QUEUE_RETENTION_S:
            index.queues.pop(kind)
    for key in list(index.kinds):
        if key not in tables.index.waiting:
            index.kinds.pop(key)
