"""On which worker each waiting task goes.

A pass goes through the waiting steps in their order and fills what is free;
a step that fits nowhere does not hold up those behind it.
"""

from collections.abc import Iterator

import msgspec

from cumintack.coordination.runs.admission_advice import (
    AdviceState,
    find_valid_ticket,
    needs_advice,
)
from cumintack.coordination.runs.failure_tracking import is_on_probation
from cumintack.coordination.runs.interference_model import (
    MILLI_PER_CORE,
    InterferenceModel,
    get_weight,
)
from cumintack.coordination.runs.pacing import MIN_INTERFERENCE, TARGET_MARGIN
from cumintack.coordination.runs.step_ranking import rank_step
from cumintack.coordination.runs.worker_views import (
    WorkerUsage,
    WorkerView,
    add_task_usage,
    compute_free_resources,
    compute_unused_millicores,
    get_rack,
    get_reserved_resources,
    is_schedulable,
)
from cumintack.state.resources import fits_within
from cumintack.state.workflows import (
    RunStart,
    StepKey,
    StepSpec,
    TaskKey,
    TaskRecord,
    WorkflowTables,
    format_task_id,
    get_step,
    get_task,
)

# Starts recorded by one pass, so that one entry of the log stays small.
MAX_STARTS = 256
# Share of its speed below which a filling task waits for room elsewhere: with
# less it would be late wherever it started.
LEAST_SPEED = 0.4


class CandidateWorker(msgspec.Struct):
    """A worker with its room, during a pass."""

    view: WorkerView
    usage: WorkerUsage


class SchedulingPass(msgspec.Struct):
    """One pass over the waiting steps.

    Attributes:
        tables: The workflows.
        candidates: Workers that take tasks, by guard.
        taken: Tasks whose start is proposed already.
        interference: What was learned of pairs of images.
        advice: What the outside adviser allows.
        now_s: The time.
        starts: What was decided.
    """

    tables: WorkflowTables
    candidates: dict[str, CandidateWorker]
    taken: set[str]
    interference: InterferenceModel
    advice: AdviceState
    now_s: float
    starts: list[RunStart] = []


class Wish(msgspec.Struct, frozen=True):
    """A task to place.

    Attributes:
        key: The task.
        step: What was asked for.
        record: Its state.
        pool: The pool whose workers may run it.
        needs_ticket: Whether the outside adviser must allow the worker.
    """

    key: TaskKey
    step: StepSpec
    record: TaskRecord
    pool: str
    needs_ticket: bool


def create_scheduling_pass(
    tables: WorkflowTables,
    views: dict[str, WorkerView],
    usage_by_guard: dict[str, WorkerUsage],
    taken: set[str],
    learned: tuple[InterferenceModel, AdviceState],
    now_s: float,
) -> SchedulingPass:
    """Create a pass.

    Args:
        tables: The workflows.
        views: The workers by guard.
        usage_by_guard: What is taken on each of them, changed by the pass.
        taken: Tasks whose start is proposed already.
        learned: What was learned of pairs of images, and what the outside
            adviser allows.
        now_s: The time.

    Returns:
        A pass without decisions.
    """
    candidates = {
        guard: CandidateWorker(view, usage_by_guard[guard])
        for guard, view in views.items()
        if is_schedulable(view, now_s)
    }
    return SchedulingPass(tables, candidates, taken, *learned, now_s)


def place_waiting(current: SchedulingPass, now_ms: float) -> list[RunStart]:
    """Place what fits.

    Args:
        current: The pass.
        now_ms: Wall time, by which workflows are late.

    Returns:
        The starts to record.
    """
    if not current.candidates:
        return []
    tables = current.tables
    ranks = sorted(
        rank_step(tables, key, now_ms) for key in tables.index.waiting
    )
    for rank in ranks:
        if len(current.starts) >= MAX_STARTS:
            break
        _place_step(current, rank.key)
    return current.starts


def _place_step(current: SchedulingPass, key: StepKey) -> None:
    step = get_step(current.tables, key)
    if step.is_gang:
        _place_gang(current, key, step)
        return
    for wish in _iter_wishes(current, key, step):
        candidate = _choose_site(current, wish)
        if candidate is None:
            return
        _take(current, wish, candidate, wish.record.run + 1)


def _iter_wishes(
    current: SchedulingPass,
    key: StepKey,
    step: StepSpec,
) -> Iterator[Wish]:
    workflow = current.tables.workflows[key.workflow_id]
    pool = workflow.queue.pool
    needs_ticket = needs_advice(current.tables, key)
    waiting = current.tables.index.waiting[key]
    for index in list(waiting.indexes):
        task_key = TaskKey(key, index)
        record = get_task(current.tables, task_key)
        is_taken = format_task_id(task_key) in current.taken
        if record is not None and not is_taken:
            yield Wish(task_key, step, record, pool, needs_ticket)


def _place_gang(current: SchedulingPass, key: StepKey, step: StepSpec) -> None:
    wishes = list(_iter_wishes(current, key, step))
    if len(wishes) < step.task_count:
        return
    usage_by_guard = {
        guard: msgspec.structs.replace(
            candidate.usage,
            task_count_by_step=dict(candidate.usage.task_count_by_step),
            latency_critical=list(candidate.usage.latency_critical),
            unmeasured_cores=dict(candidate.usage.unmeasured_cores),
        )
        for guard, candidate in current.candidates.items()
    }
    start_count = len(current.starts)
    run = 1 + max(wish.record.run for wish in wishes)
    for wish in wishes:
        candidate = _choose_site(current, wish)
        if candidate is None:
            del current.starts[start_count:]
            for guard, usage in usage_by_guard.items():
                current.candidates[guard].usage = usage
            return
        _take(current, wish, candidate, run)


def _take(
    current: SchedulingPass, wish: Wish, candidate: CandidateWorker, run: int
) -> None:
    add_task_usage(candidate.usage, wish.key.step_key, wish.step)
    view = candidate.view
    view.trial_placed_at_s = current.now_s
    current.starts.append(
        RunStart(
            format_task_id(wish.key),
            run,
            view.guard,
            view.facts.lifetime,
        ),
    )


def _choose_site(current: SchedulingPass, wish: Wish) -> CandidateWorker | None:
    best: CandidateWorker | None = None
    best_score = float('-inf')
    for candidate in current.candidates.values():
        if not _is_fit(current, candidate, wish):
            continue
        score = _score(current, candidate, wish)
        if score > best_score:
            best = candidate
            best_score = score
    return best


def _is_fit(
    current: SchedulingPass, candidate: CandidateWorker, wish: Wish
) -> bool:
    facts = candidate.view.facts
    step = wish.step
    if facts.pool != wish.pool:
        return False
    if step.label and step.label not in facts.labels:
        return False
    if not fits_within(
        get_reserved_resources(step),
        compute_free_resources(candidate.view, candidate.usage),
    ):
        return False
    count = candidate.usage.task_count_by_step.get(wish.key.step_key, 0)
    if step.max_per_worker and count >= step.max_per_worker:
        return False
    if wish.needs_ticket and not _has_ticket(current, candidate, wish):
        return False
    if (
        step.is_best_effort
        and estimate_speed(current, candidate, step) < LEAST_SPEED
    ):
        return False
    return _is_trusted(current, candidate, wish)


def _has_ticket(
    current: SchedulingPass, candidate: CandidateWorker, wish: Wish
) -> bool:
    lifetime = candidate.view.facts.lifetime
    step = wish.key.step_key
    ticket = find_valid_ticket(current.advice, step, lifetime, current.now_s)
    return ticket is not None


def estimate_speed(
    current: SchedulingPass, candidate: CandidateWorker, step: StepSpec
) -> float:
    """Estimate at what share of its speed a filling task would work.

    Args:
        current: The pass.
        candidate: The worker.
        step: What was asked for.

    Returns:
        1 for its full speed, 0 or less if it would stand still.
    """
    cores = step.need.cores_milli / MILLI_PER_CORE
    unused = (
        compute_unused_millicores(candidate.view, candidate.usage)
        / MILLI_PER_CORE
    )
    speed = min(1, unused / cores) if cores else 1
    for image, margin in candidate.usage.latency_critical:
        weight = get_weight(current.interference, image, step.image)
        interference = weight * cores
        if interference < MIN_INTERFERENCE:
            continue
        available = margin - TARGET_MARGIN
        for fresh, unmeasured_cores in candidate.usage.unmeasured_cores.items():
            available -= (
                get_weight(current.interference, image, fresh)
                * unmeasured_cores
            )
        speed = min(speed, available / interference)
    return speed


def _is_trusted(
    current: SchedulingPass, candidate: CandidateWorker, wish: Wish
) -> bool:
    view = candidate.view
    if is_on_probation(view, current.now_s):
        is_tried = view.trial_placed_at_s >= view.excluded_until_s
        if is_tried or wish.record.failures:
            return False
    if view.guard not in wish.record.failed_on:
        return True
    others = set(current.candidates) - set(wish.record.failed_on)
    return not others


# Weights of the reasons to prefer a worker; a higher one decides alone.
WEIGHT_DATA_RACK = 1e9
WEIGHT_OPEN = 2e7
WEIGHT_SAME = 1e7
WEIGHT_SPEED = 1e6


def _score(
    current: SchedulingPass, candidate: CandidateWorker, wish: Wish
) -> float:
    step = wish.step
    score = compute_unused_millicores(candidate.view, candidate.usage)
    if step.data_rack and step.data_rack == get_rack(candidate.view.facts):
        score += WEIGHT_DATA_RACK
    if step.is_best_effort:
        score += WEIGHT_SPEED * estimate_speed(current, candidate, step)
    if step.target_ms:
        return _score_serving(candidate, step)
    return score


def _score_serving(candidate: CandidateWorker, step: StepSpec) -> float:
    """Prefer a worker that serves already, and the fullest of these.

    Serving tasks packed on few workers leave the others to filling tasks,
    which disturb nobody there.
    """
    score = -float(
        compute_free_resources(candidate.view, candidate.usage).cores_milli
    )
    images = {image for image, _margin in candidate.usage.latency_critical}
    if not images:
        score -= WEIGHT_OPEN
    if step.image in images:
        score += WEIGHT_SAME
    return score
