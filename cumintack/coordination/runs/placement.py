"""Placement of waiting tasks on workers.

A scheduling pass goes through the waiting steps by rank and places their
tasks on free capacity. A step that fits nowhere does not block the steps
behind it.
"""

import enum
from collections.abc import Container, Iterable, Iterator

import msgspec

from cumintack.coordination.runs.admission_advice import (
    AdviceState,
    find_valid_ticket,
    needs_advice,
)
from cumintack.coordination.runs.candidate_index import (
    CandidateIndex,
    TaskKind,
    add_proposed_start,
    find_best_candidate,
    get_placed_runs,
    get_task_kind,
    get_usage,
    remove_proposed_start,
)
from cumintack.coordination.runs.crash_isolation import (
    IsolationCandidate,
    choose_isolated_worker,
    list_workers_for_suspect,
)
from cumintack.coordination.runs.failure_tracking import (
    has_just_failed,
    is_on_probation,
)
from cumintack.coordination.runs.interference_model import InterferenceModel
from cumintack.coordination.runs.speed_estimate import (
    estimate_speed,
    is_insensitive,
)
from cumintack.coordination.runs.waiting.room_reservation import (
    Reservations,
    WaitingDemand,
    consume_spare,
    forecast_room,
    may_use_room,
    plan_reservations,
)
from cumintack.coordination.runs.waiting.step_ranking import StepRank
from cumintack.coordination.runs.worker_views import (
    WorkerUsage,
    WorkerView,
    compute_free_resources,
    compute_unused_millicores,
    get_rack,
    get_reserved_resources,
    is_available,
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
    parse_task_id,
)

# Starts recorded by one pass, so that one entry of the replicated log stays
# small.
MAX_STARTS = 256
# Share of its full speed below which a best-effort task waits for free capacity
# instead: with less it would be late wherever it started.
MIN_SPEED = 0.4
# The same where the order of placement decides who gets the room. A task that
# is placed beside others slows them down too; above this share, as much of the
# capacity is used as below it.
MIN_ORDERED_SPEED = 0.7
# Seconds without a crash after which a worker that crashed under a suspect is
# unlikely to crash by itself.
MIN_UPTIME_S = 2.0


class Objection(enum.IntEnum):
    """What speaks against a worker for a task, least serious first."""

    none = 0
    # The task failed there, but nothing suggests that the worker is at fault.
    failed_earlier = 1
    # A run has just failed there, or several have in a row.
    unreliable = 2


class SchedulingPass(msgspec.Struct):
    """One pass over the waiting steps.

    Attributes:
        tables: The replicated workflow tables.
        views: The workers, by name of their guard.
        index: The usage of the workers, and the best ones by kind of task.
        proposed_task_ids: Tasks whose start is already proposed.
        interference: The interference model of pairs of images.
        advice: The advice received from the external adviser.
        now_s: Time of the pass on the monotonic clock, in seconds.
        starts: Starts decided so far.
        exhausted_kinds: Kinds of tasks that fit nowhere any more.
        migrated_tasks: Tasks that the pass has placed to end a migration.
        min_speed: Share of its full speed below which a best-effort task waits
            for free capacity.
        is_packed: Whether tasks that reserve CPU go to the smallest gap that
            holds them, and best-effort tasks to latency-critical ones that are
            insensitive to them.
        reservations: Room that is kept for waiting tasks.
    """

    tables: WorkflowTables
    views: dict[str, WorkerView]
    index: CandidateIndex
    proposed_task_ids: Container[str]
    interference: InterferenceModel
    advice: AdviceState
    now_s: float
    starts: list[RunStart] = []
    exhausted_kinds: set[TaskKind] = set()
    migrated_tasks: set[TaskKey] = set()
    min_speed: float = MIN_SPEED
    is_packed: bool = False
    reservations: Reservations = {}


class TaskRequest(msgspec.Struct, frozen=True):
    """A task to place.

    Attributes:
        key: The task.
        step: The specification of its step.
        record: Its replicated record.
        kind: Its kind.
        needs_ticket: Whether the external adviser must admit the worker.
    """

    key: TaskKey
    step: StepSpec
    record: TaskRecord
    kind: TaskKind
    needs_ticket: bool


def place_migrated(
    scheduling_pass: SchedulingPass, reserved_guards: dict[str, str]
) -> None:
    """Place the tasks whose runs have stopped in order to be migrated.

    They go to their reserved places, ahead of all waiting tasks: a task that
    was running must not wait behind those that have not started yet.

    Args:
        scheduling_pass: The current scheduling pass.
        reserved_guards: Guards of the workers on which places are reserved, by
            task; those of tasks that no longer run are removed.
    """
    tables = scheduling_pass.tables
    for task_id, guard in list(reserved_guards.items()):
        task = parse_task_id(task_id)
        record = get_task(tables, task) if task else None
        if record is not None and record.guard:
            continue
        reserved_guards.pop(task_id)
        remove_proposed_start(scheduling_pass.index, guard, task_id)
        if task is not None and _is_waiting(tables, task):
            _place_on(scheduling_pass, scheduling_pass.views[guard], task)


def _place_on(
    scheduling_pass: SchedulingPass, view: WorkerView, task: TaskKey
) -> None:
    """Place a waiting task on a worker if it still fits there."""
    tables = scheduling_pass.tables
    step_key = task.step_key
    record = get_task(tables, task)
    kind = get_task_kind(scheduling_pass.index, tables, step_key)
    usage = get_usage(scheduling_pass.index, tables, view)
    if record is None or not is_schedulable(view, scheduling_pass.now_s):
        return
    if rate_worker(scheduling_pass, view, usage, kind) is None:
        return
    step = get_step(tables, step_key)
    request = TaskRequest(task, step, record, kind, needs_ticket=False)
    _record_start(scheduling_pass, request, view, record.run + 1)
    scheduling_pass.migrated_tasks.add(task)


def _is_waiting(tables: WorkflowTables, task: TaskKey) -> bool:
    waiting = tables.index.waiting.get(task.step_key)
    return waiting is not None and task.index in waiting.indexes


def place_waiting(
    scheduling_pass: SchedulingPass, ranks: list[StepRank]
) -> list[RunStart]:
    """Place the waiting tasks that fit.

    Args:
        scheduling_pass: The current scheduling pass.
        ranks: The waiting steps in the order in which they are placed.

    Returns:
        The starts to record.
    """
    for rank in ranks:
        if len(scheduling_pass.starts) >= MAX_STARTS:
            break
        _place_step(scheduling_pass, rank.key)
    return scheduling_pass.starts


def reserve_room(
    scheduling_pass: SchedulingPass, ranks: list[StepRank]
) -> Reservations:
    """Keep room for the first waiting tasks that fit nowhere.

    Args:
        scheduling_pass: A scheduling pass after the placement of what fits.
        ranks: The waiting steps in the order in which they are placed.

    Returns:
        The new reservations.
    """
    demands = _list_unmet_demands(scheduling_pass, ranks)
    if not demands:
        return {}
    tables = scheduling_pass.tables
    now_s = scheduling_pass.now_s
    pools = {demand.kind.pool for demand in demands}
    forecasts = []
    for view in scheduling_pass.views.values():
        if view.facts.pool not in pools or not is_schedulable(view, now_s):
            continue
        usage = get_usage(scheduling_pass.index, tables, view)
        placed_runs = get_placed_runs(scheduling_pass.index, tables, view.guard)
        free = compute_free_resources(view, usage)
        forecasts.append(forecast_room(view, free, placed_runs, now_s))
    return plan_reservations(demands, forecasts, _is_eligible, now_s)


def _list_unmet_demands(
    scheduling_pass: SchedulingPass, ranks: list[StepRank]
) -> list[WaitingDemand]:
    """List the waiting tasks of the most urgent queues that fit nowhere."""
    tables = scheduling_pass.tables
    best_priorities = _list_best_priorities(tables)
    demands = []
    for rank in ranks:
        kind = get_task_kind(scheduling_pass.index, tables, rank.key)
        step = kind.step
        is_unmet = kind in scheduling_pass.exhausted_kinds
        if not is_unmet or step.is_best_effort:
            continue
        # A pool has no queue any more if its workflows were accepted under an
        # earlier configuration.
        if rank.priority > best_priorities.get(kind.pool, rank.priority):
            continue
        count = len(tables.index.waiting[rank.key].indexes)
        demands.append(WaitingDemand(rank.key, kind, count))
    return demands


def _list_best_priorities(tables: WorkflowTables) -> dict[str, int]:
    """List the priority of the most urgent queue of each pool."""
    priorities: dict[str, int] = {}
    for queue in tables.configuration.queues:
        lowest = priorities.get(queue.pool, queue.priority)
        priorities[queue.pool] = min(lowest, queue.priority)
    return priorities


def _place_step(scheduling_pass: SchedulingPass, key: StepKey) -> None:
    tables = scheduling_pass.tables
    kind = get_task_kind(scheduling_pass.index, tables, key)
    step = get_step(tables, key)
    if tables.index.waiting[key].suspects and not step.is_gang:
        _place_suspects(scheduling_pass, key, step, kind)
    if kind in scheduling_pass.exhausted_kinds:
        return
    if step.is_gang:
        _place_gang(scheduling_pass, key, step, kind)
        return
    for request in _iter_task_requests(
        scheduling_pass,
        key,
        step,
        kind,
        _list_unsuspected(scheduling_pass, key),
    ):
        view = _choose_worker(scheduling_pass, request)
        if view is not None:
            _record_start(
                scheduling_pass, request, view, request.record.run + 1
            )
        elif kind in scheduling_pass.exhausted_kinds:
            return
        elif not request.record.failures:
            # No history rules workers out for it alone.
            return


def _place_suspects(
    scheduling_pass: SchedulingPass,
    key: StepKey,
    step: StepSpec,
    kind: TaskKind,
) -> None:
    """Place the tasks of a step that may crash their workers.

    Members of a gang are placed with the others, since they start together.
    """
    now_s = scheduling_pass.now_s
    available = [
        view
        for view in scheduling_pass.views.values()
        if view.facts.pool == kind.pool and is_available(view, now_s)
    ]
    waiting = scheduling_pass.tables.index.waiting[key]
    # Workers that crashed under suspects which cannot be placed now. Others
    # with the same history cannot be placed either.
    blocked_histories: set[tuple[str, ...]] = set()
    for request in _iter_task_requests(
        scheduling_pass, key, step, kind, waiting.suspects
    ):
        if request.record.crashed_on in blocked_histories:
            continue
        candidates = _list_isolation_candidates(
            scheduling_pass, available, request
        )
        chosen = choose_isolated_worker(candidates, key.workflow_id, now_s)
        if chosen is None:
            blocked_histories.add(request.record.crashed_on)
        else:
            _record_start(
                scheduling_pass, request, chosen, request.record.run + 1
            )


def _list_isolation_candidates(
    scheduling_pass: SchedulingPass,
    available: list[WorkerView],
    request: TaskRequest,
) -> list[IsolationCandidate]:
    """List the workers that can run a suspect.

    A worker that crashed under it may crash by itself. It is used only if no
    other suits the suspect, or if the others are full and it has been up for a
    while.
    """
    index = scheduling_pass.index
    considered = [
        view
        for view in list_workers_for_suspect(
            available, request.key.step_key.workflow_id
        )
        if _can_run_suspect(scheduling_pass, view, request)
    ]
    crashed_on = request.record.crashed_on
    untried = [view for view in considered if view.guard not in crashed_on]
    if not untried and _is_any_untried(scheduling_pass, available, request):
        considered = [
            view
            for view in considered
            if scheduling_pass.now_s >= view.up_since_s + MIN_UPTIME_S
        ]
    return [
        IsolationCandidate(
            view,
            get_placed_runs(index, scheduling_pass.tables, view.guard),
            index.proposed.get(view.guard, {}),
        )
        for view in untried or considered
    ]


def _is_any_untried(
    scheduling_pass: SchedulingPass,
    available: list[WorkerView],
    request: TaskRequest,
) -> bool:
    """Return whether a worker that suits a suspect has not crashed under it."""
    return any(
        view.guard not in request.record.crashed_on
        and _suits(scheduling_pass, view, request)
        for view in available
    )


def _can_run_suspect(
    scheduling_pass: SchedulingPass, view: WorkerView, request: TaskRequest
) -> bool:
    usage = get_usage(scheduling_pass.index, scheduling_pass.tables, view)
    if rate_worker(scheduling_pass, view, usage, request.kind) is None:
        return False
    return not request.needs_ticket or _has_ticket(
        scheduling_pass, view, request
    )


def _list_unsuspected(
    scheduling_pass: SchedulingPass, key: StepKey
) -> list[int]:
    waiting = scheduling_pass.tables.index.waiting[key]
    if not waiting.suspects:
        return list(waiting.indexes)
    return [index for index in waiting.indexes if index not in waiting.suspects]


def _iter_task_requests(
    scheduling_pass: SchedulingPass,
    key: StepKey,
    step: StepSpec,
    kind: TaskKind,
    indexes: Iterable[int],
) -> Iterator[TaskRequest]:
    needs_ticket = needs_advice(scheduling_pass.tables, key)
    for index in list(indexes):
        task_key = TaskKey(key, index)
        record = get_task(scheduling_pass.tables, task_key)
        is_proposed = (
            format_task_id(task_key) in scheduling_pass.proposed_task_ids
            or task_key in scheduling_pass.migrated_tasks
        )
        if record is not None and not is_proposed:
            yield TaskRequest(task_key, step, record, kind, needs_ticket)


def _place_gang(
    scheduling_pass: SchedulingPass,
    key: StepKey,
    step: StepSpec,
    kind: TaskKind,
) -> None:
    waiting = scheduling_pass.tables.index.waiting[key]
    requests = list(
        _iter_task_requests(scheduling_pass, key, step, kind, waiting.indexes)
    )
    if len(requests) < step.task_count:
        return
    start_count = len(scheduling_pass.starts)
    trials = {
        view.guard: view.trial_placed_at_s
        for view in scheduling_pass.views.values()
        if is_on_probation(view, scheduling_pass.now_s)
    }
    run = 1 + max(request.record.run for request in requests)
    for request in requests:
        view = _choose_worker(scheduling_pass, request)
        if view is None:
            for start in scheduling_pass.starts[start_count:]:
                remove_proposed_start(
                    scheduling_pass.index, start.guard, start.task_id
                )
            del scheduling_pass.starts[start_count:]
            # A trial that did not take place must not keep others away.
            for guard, placed_at_s in trials.items():
                scheduling_pass.views[guard].trial_placed_at_s = placed_at_s
            return
        _record_start(scheduling_pass, request, view, run)


def _record_start(
    scheduling_pass: SchedulingPass,
    request: TaskRequest,
    view: WorkerView,
    run: int,
) -> None:
    view.trial_placed_at_s = scheduling_pass.now_s
    consume_spare(scheduling_pass.reservations, view.guard, request.kind)
    task_id = format_task_id(request.key)
    add_proposed_start(
        scheduling_pass.index, scheduling_pass.tables, view.guard, task_id
    )
    scheduling_pass.starts.append(
        RunStart(task_id, run, view.guard, view.facts.lifetime)
    )


def _choose_worker(
    scheduling_pass: SchedulingPass, request: TaskRequest
) -> WorkerView | None:
    if request.needs_ticket:
        return _choose_by_scan(scheduling_pass, request)
    best = find_candidate(scheduling_pass, request.kind)
    if best is None:
        scheduling_pass.exhausted_kinds.add(request.kind)
        return None
    if request.record.failures:
        return _choose_by_scan(scheduling_pass, request)
    return best


def find_candidate(
    scheduling_pass: SchedulingPass, kind: TaskKind
) -> WorkerView | None:
    """Find the best worker for a task of a kind that has not failed yet.

    Args:
        scheduling_pass: The current scheduling pass.
        kind: The kind of task.

    Returns:
        The worker, None if no worker can run it.
    """
    return find_best_candidate(
        scheduling_pass.index,
        kind,
        scheduling_pass.tables,
        scheduling_pass.views,
        lambda view, usage: rate_worker(scheduling_pass, view, usage, kind),
        scheduling_pass.now_s,
    )


def _choose_by_scan(
    scheduling_pass: SchedulingPass, request: TaskRequest
) -> WorkerView | None:
    """Choose a worker for a task whose own history or tickets matter.

    The best worker without an objection is chosen, and for want of one the
    best that failed it earlier. A worker that should not get the task at all
    gets it only if no other worker suits it, now or once others have ended.
    """
    suitable = [
        view
        for view in scheduling_pass.views.values()
        if is_schedulable(view, scheduling_pass.now_s)
        and _suits(scheduling_pass, view, request)
    ]
    objections = {
        view.guard: _assess_worker(view, request.record, scheduling_pass.now_s)
        for view in suitable
    }
    least = min(objections.values(), default=Objection.none)
    best: WorkerView | None = None
    best_rank = (max(least, Objection.failed_earlier), float('inf'))
    for view in suitable:
        usage = get_usage(scheduling_pass.index, scheduling_pass.tables, view)
        score = rate_worker(scheduling_pass, view, usage, request.kind)
        if score is None:
            continue
        rank = (objections[view.guard], -score)
        if rank < best_rank:
            best = view
            best_rank = rank
    return best


def _suits(
    scheduling_pass: SchedulingPass, view: WorkerView, request: TaskRequest
) -> bool:
    """Return whether a worker can run a task once it has room for it."""
    if not _is_eligible(view, request.kind):
        return False
    if not fits_within(get_reserved_resources(request.step), view.facts.holds):
        return False
    return not request.needs_ticket or _has_ticket(
        scheduling_pass, view, request
    )


def _assess_worker(
    view: WorkerView, record: TaskRecord, now_s: float
) -> Objection:
    """Return what speaks against a worker for a task with this history."""
    if record.failures and is_on_probation(view, now_s):
        return Objection.unreliable
    if view.guard not in record.failed_on:
        return Objection.none
    if has_just_failed(view, now_s):
        return Objection.unreliable
    return Objection.failed_earlier


def rate_worker(
    scheduling_pass: SchedulingPass,
    view: WorkerView,
    usage: WorkerUsage,
    kind: TaskKind,
) -> float | None:
    """Rate a worker for a kind of task.

    Args:
        scheduling_pass: The current scheduling pass.
        view: The worker as last reported.
        usage: Its usage.
        kind: The kind of task.

    Returns:
        The score, None if it cannot run such a task now.
    """
    if not _can_run(view, usage, kind):
        return None
    reservation = scheduling_pass.reservations.get(view.guard)
    if not may_use_room(reservation, kind, scheduling_pass.now_s):
        return None
    if is_on_probation(view, scheduling_pass.now_s):
        if view.trial_placed_at_s >= view.excluded_until_s:
            return None
    score = _compute_score(scheduling_pass, view, usage, kind.step)
    if score is not None and view.is_unhealthy:
        score -= WEIGHT_UNHEALTHY
    return score


def _compute_score(
    scheduling_pass: SchedulingPass,
    view: WorkerView,
    usage: WorkerUsage,
    step: StepSpec,
) -> float | None:
    if step.target_ms:
        return _compute_latency_critical_score(view, usage, step)
    score = compute_unused_millicores(view, usage)
    if scheduling_pass.is_packed and not step.is_best_effort:
        score = -float(compute_free_resources(view, usage).cores_milli)
    if step.data_rack and step.data_rack == get_rack(view.facts):
        score += WEIGHT_DATA_RACK
    if step.is_best_effort:
        speed = estimate_speed(scheduling_pass.interference, view, usage, step)
        if speed < scheduling_pass.min_speed:
            return None
        score += WEIGHT_SPEED * speed
        if scheduling_pass.is_packed and usage.latency_margins:
            is_bearing = is_insensitive(
                scheduling_pass.interference, usage, step
            )
            score += WEIGHT_INSENSITIVE * is_bearing
    return score


def _can_run(view: WorkerView, usage: WorkerUsage, kind: TaskKind) -> bool:
    step = kind.step
    if not _is_eligible(view, kind):
        return False
    if kind.limited_step is not None:
        count = usage.task_count_by_step.get(kind.limited_step, 0)
        if count >= step.max_per_worker:
            return False
    return fits_within(
        get_reserved_resources(step), compute_free_resources(view, usage)
    )


def _is_eligible(view: WorkerView, kind: TaskKind) -> bool:
    """Return whether the pool and the labels of a worker allow a task."""
    label = kind.step.label
    return view.facts.pool == kind.pool and (
        not label or label in view.facts.labels
    )


def _has_ticket(
    scheduling_pass: SchedulingPass,
    view: WorkerView,
    request: TaskRequest,
) -> bool:
    ticket = find_valid_ticket(
        scheduling_pass.advice,
        request.key.step_key,
        view.facts.lifetime,
        scheduling_pass.now_s,
    )
    return ticket is not None


# Weights of the criteria for a worker; each outweighs all smaller ones.
WEIGHT_UNHEALTHY = 1e10
WEIGHT_DATA_RACK = 1e9
WEIGHT_SHARED = 2e7
WEIGHT_SAME_IMAGE = 1e7
# Workers without latency-critical tasks are left to the best-effort tasks that
# run well nowhere else.
WEIGHT_INSENSITIVE = 1e7
WEIGHT_SPEED = 1e6


def _compute_latency_critical_score(
    view: WorkerView, usage: WorkerUsage, step: StepSpec
) -> float:
    """Prefer workers with latency-critical tasks, and the fullest of these.

    Packing latency-critical tasks on few workers leaves the others to
    best-effort tasks, which interfere with nothing there.
    """
    score = -float(compute_free_resources(view, usage).cores_milli)
    images = {image for image, _margin in usage.latency_margins}
    if not images:
        score -= WEIGHT_SHARED
    if step.image in images:
        score += WEIGHT_SAME_IMAGE
    return score
