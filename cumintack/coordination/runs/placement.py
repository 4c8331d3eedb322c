"""Placement of waiting tasks on workers.

A scheduling pass goes through the waiting steps by rank and places their
tasks on free capacity. A step that fits nowhere does not block the steps
behind it.
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

# Starts recorded by one pass, so that one entry of the replicated log stays
# small.
MAX_STARTS = 256
# Share of its full speed below which a best-effort task waits for free capacity
# instead: with less it would be late wherever it started.
MIN_SPEED = 0.4


class CandidateWorker(msgspec.Struct):
    """A worker that accepts tasks, and its usage during a pass."""

    view: WorkerView
    usage: WorkerUsage


class SchedulingPass(msgspec.Struct):
    """One pass over the waiting steps.

    Attributes:
        tables: The replicated workflow tables.
        candidates: Schedulable workers, by name of their guard.
        proposed_task_ids: Tasks whose start is already proposed.
        interference: The interference model of pairs of images.
        advice: The advice received from the external adviser.
        now_s: Time of the pass on the monotonic clock, in seconds.
        starts: Starts decided so far.
    """

    tables: WorkflowTables
    candidates: dict[str, CandidateWorker]
    proposed_task_ids: set[str]
    interference: InterferenceModel
    advice: AdviceState
    now_s: float
    starts: list[RunStart] = []


class TaskRequest(msgspec.Struct, frozen=True):
    """A task to place.

    Attributes:
        key: The task.
        step: The specification of its step.
        record: Its replicated record.
        pool: The pool whose workers may run it.
        needs_ticket: Whether the external adviser must admit the worker.
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
    proposed_task_ids: set[str],
    models: tuple[InterferenceModel, AdviceState],
    now_s: float,
) -> SchedulingPass:
    """Create a scheduling pass.

    Args:
        tables: The replicated workflow tables.
        views: The workers, by name of their guard.
        usage_by_guard: The usage of each worker, changed by the pass.
        proposed_task_ids: Tasks whose start is already proposed.
        models: The interference model, and the advice of the external
            adviser.
        now_s: Current time of the monotonic clock, in seconds.

    Returns:
        A pass without starts.
    """
    candidates = {
        guard: CandidateWorker(view, usage_by_guard[guard])
        for guard, view in views.items()
        if is_schedulable(view, now_s)
    }
    return SchedulingPass(tables, candidates, proposed_task_ids, *models, now_s)


def place_waiting(
    scheduling_pass: SchedulingPass, now_ms: float
) -> list[RunStart]:
    """Place the waiting tasks that fit.

    Args:
        scheduling_pass: The current scheduling pass.
        now_ms: Current wall-clock time in ms, by which workflows are ranked.

    Returns:
        The starts to record.
    """
    if not scheduling_pass.candidates:
        return []
    tables = scheduling_pass.tables
    ranks = sorted(
        rank_step(tables, key, now_ms) for key in tables.index.waiting
    )
    for rank in ranks:
        if len(scheduling_pass.starts) >= MAX_STARTS:
            break
        _place_step(scheduling_pass, rank.key)
    return scheduling_pass.starts


def _place_step(scheduling_pass: SchedulingPass, key: StepKey) -> None:
    step = get_step(scheduling_pass.tables, key)
    if step.is_gang:
        _place_gang(scheduling_pass, key, step)
        return
    for request in _iter_task_requests(scheduling_pass, key, step):
        candidate = _choose_candidate(scheduling_pass, request)
        if candidate is None:
            return
        _record_start(
            scheduling_pass, request, candidate, request.record.run + 1
        )


def _iter_task_requests(
    scheduling_pass: SchedulingPass,
    key: StepKey,
    step: StepSpec,
) -> Iterator[TaskRequest]:
    workflow = scheduling_pass.tables.workflows[key.workflow_id]
    pool = workflow.queue.pool
    needs_ticket = needs_advice(scheduling_pass.tables, key)
    waiting = scheduling_pass.tables.index.waiting[key]
    for index in list(waiting.indexes):
        task_key = TaskKey(key, index)
        record = get_task(scheduling_pass.tables, task_key)
        is_proposed = (
            format_task_id(task_key) in scheduling_pass.proposed_task_ids
        )
        if record is not None and not is_proposed:
            yield TaskRequest(task_key, step, record, pool, needs_ticket)


def _place_gang(
    scheduling_pass: SchedulingPass, key: StepKey, step: StepSpec
) -> None:
    requests = list(_iter_task_requests(scheduling_pass, key, step))
    if len(requests) < step.task_count:
        return
    usage_by_guard = {
        guard: msgspec.structs.replace(
            candidate.usage,
            task_count_by_step=dict(candidate.usage.task_count_by_step),
            latency_margins=list(candidate.usage.latency_margins),
            unmeasured_cores=dict(candidate.usage.unmeasured_cores),
        )
        for guard, candidate in scheduling_pass.candidates.items()
    }
    start_count = len(scheduling_pass.starts)
    run = 1 + max(request.record.run for request in requests)
    for request in requests:
        candidate = _choose_candidate(scheduling_pass, request)
        if candidate is None:
            del scheduling_pass.starts[start_count:]
            for guard, usage in usage_by_guard.items():
                scheduling_pass.candidates[guard].usage = usage
            return
        _record_start(scheduling_pass, request, candidate, run)


def _record_start(
    scheduling_pass: SchedulingPass,
    request: TaskRequest,
    candidate: CandidateWorker,
    run: int,
) -> None:
    add_task_usage(candidate.usage, request.key.step_key, request.step)
    view = candidate.view
    view.trial_placed_at_s = scheduling_pass.now_s
    scheduling_pass.starts.append(
        RunStart(
            format_task_id(request.key),
            run,
            view.guard,
            view.facts.lifetime,
        ),
    )


def _choose_candidate(
    scheduling_pass: SchedulingPass, request: TaskRequest
) -> CandidateWorker | None:
    best: CandidateWorker | None = None
    best_score = float('-inf')
    for candidate in scheduling_pass.candidates.values():
        if not _can_run(scheduling_pass, candidate, request):
            continue
        score = _compute_score(scheduling_pass, candidate, request)
        if score > best_score:
            best = candidate
            best_score = score
    return best


def _can_run(
    scheduling_pass: SchedulingPass,
    candidate: CandidateWorker,
    request: TaskRequest,
) -> bool:
    worker_info = candidate.view.facts
    step = request.step
    if worker_info.pool != request.pool:
        return False
    if step.label and step.label not in worker_info.labels:
        return False
    if not fits_within(
        get_reserved_resources(step),
        compute_free_resources(candidate.view, candidate.usage),
    ):
        return False
    count = candidate.usage.task_count_by_step.get(request.key.step_key, 0)
    if step.max_per_worker and count >= step.max_per_worker:
        return False
    if request.needs_ticket and not _has_ticket(
        scheduling_pass, candidate, request
    ):
        return False
    if (
        step.is_best_effort
        and estimate_speed(scheduling_pass, candidate, step) < MIN_SPEED
    ):
        return False
    return _is_trusted(scheduling_pass, candidate, request)


def _has_ticket(
    scheduling_pass: SchedulingPass,
    candidate: CandidateWorker,
    request: TaskRequest,
) -> bool:
    lifetime = candidate.view.facts.lifetime
    step = request.key.step_key
    ticket = find_valid_ticket(
        scheduling_pass.advice, step, lifetime, scheduling_pass.now_s
    )
    return ticket is not None


def estimate_speed(
    scheduling_pass: SchedulingPass, candidate: CandidateWorker, step: StepSpec
) -> float:
    """Estimate the share of its full speed that a best-effort task would get.

    Args:
        scheduling_pass: The current scheduling pass.
        candidate: The candidate worker.
        step: The specification of the step.

    Returns:
        1 at full speed, 0 or less if it could not run at all.
    """
    cores = step.need.cores_milli / MILLI_PER_CORE
    unused = (
        compute_unused_millicores(candidate.view, candidate.usage)
        / MILLI_PER_CORE
    )
    speed = min(1, unused / cores) if cores else 1
    for image, margin in candidate.usage.latency_margins:
        weight = get_weight(scheduling_pass.interference, image, step.image)
        interference = weight * cores
        if interference < MIN_INTERFERENCE:
            continue
        available = margin - TARGET_MARGIN
        for (
            unmeasured_image,
            unmeasured_cores,
        ) in candidate.usage.unmeasured_cores.items():
            available -= (
                get_weight(
                    scheduling_pass.interference, image, unmeasured_image
                )
                * unmeasured_cores
            )
        speed = min(speed, available / interference)
    return speed


def _is_trusted(
    scheduling_pass: SchedulingPass,
    candidate: CandidateWorker,
    request: TaskRequest,
) -> bool:
    view = candidate.view
    if is_on_probation(view, scheduling_pass.now_s):
        is_probe_placed = view.trial_placed_at_s >= view.excluded_until_s
        if is_probe_placed or request.record.failures:
            return False
    if view.guard not in request.record.failed_on:
        return True
    others = set(scheduling_pass.candidates) - set(request.record.failed_on)
    return not others


# Weights of the criteria for a worker; each outweighs all smaller ones.
WEIGHT_DATA_RACK = 1e9
WEIGHT_SHARED = 2e7
WEIGHT_SAME_IMAGE = 1e7
WEIGHT_SPEED = 1e6


def _compute_score(
    scheduling_pass: SchedulingPass,
    candidate: CandidateWorker,
    request: TaskRequest,
) -> float:
    step = request.step
    score = compute_unused_millicores(candidate.view, candidate.usage)
    if step.data_rack and step.data_rack == get_rack(candidate.view.facts):
        score += WEIGHT_DATA_RACK
    if step.is_best_effort:
        score += WEIGHT_SPEED * estimate_speed(scheduling_pass, candidate, step)
    if step.target_ms:
        return _compute_latency_critical_score(candidate, step)
    return score


def _compute_latency_critical_score(
    candidate: CandidateWorker, step: StepSpec
) -> float:
    """Prefer workers with latency-critical tasks, and the fullest of these.

    Packing latency-critical tasks on few workers leaves the others to
    best-effort tasks, which interfere with nothing there.
    """
    score = -float(
        compute_free_resources(candidate.view, candidate.usage).cores_milli
    )
    images = {image for image, _margin in candidate.usage.latency_margins}
    if not images:
        score -= WEIGHT_SHARED
    if step.image in images:
        score += WEIGHT_SAME_IMAGE
    return score
