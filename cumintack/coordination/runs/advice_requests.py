"""Choice of the step and the workers for the next request to the adviser.

The adviser serves one request at a time, so that a request whose tickets run
out unused delays all other steps. A step is asked for only if its tasks fit on
workers that may be admitted, now or before the tickets run out. Every other
request goes to the step that was asked for least recently, so that none waits
for good behind those that rank before it.
"""

import msgspec

from cumintack.coordination.runs.admission_advice import (
    MAX_WORKERS_PER_REQUEST,
    TICKET_MARGIN_S,
    AdviceRequest,
    AdviceState,
    StepAdvice,
    find_valid_ticket,
    needs_advice,
)
from cumintack.coordination.runs.candidate_index import (
    TaskKind,
    get_placed_runs,
    get_task_kind,
    get_usage,
)
from cumintack.coordination.runs.placement import SchedulingPass, rate_worker
from cumintack.coordination.runs.waiting.room_reservation import (
    find_ready_time,
    forecast_room,
)
from cumintack.coordination.runs.waiting.step_ranking import StepRank
from cumintack.coordination.runs.worker_views import (
    WorkerView,
    compute_free_resources,
    get_reserved_resources,
    is_schedulable,
)
from cumintack.state.workflows import StepKey, get_step

# Seconds until the next choice after one that found no step to ask for.
CHOICE_INTERVAL_S = 0.02
# Tasks that a worker is taken to have room for if they reserve nothing.
MAX_SLOTS = 1000
MS_PER_S = 1000


class RoomBefore(msgspec.Struct):
    """Workers that have room for a kind of task by a time.

    Attributes:
        horizon_s: Seconds from now by which the room must be there.
        by_kind: The number of tasks that each worker has room for, by its
            guard; computed once for each kind.
    """

    horizon_s: float
    by_kind: dict[TaskKind, dict[str, int]] = {}


def choose_advice_request(
    scheduling_pass: SchedulingPass, ranks: list[StepRank]
) -> AdviceRequest | None:
    """Choose the next request to the adviser.

    Args:
        scheduling_pass: A scheduling pass; its advice is changed in place.
        ranks: The waiting steps in the order in which they are placed.

    Returns:
        The request, or None if none is due.
    """
    state = scheduling_pass.advice
    now_s = scheduling_pass.now_s
    if state.is_request_open or now_s < state.retry_at_s:
        return None
    tables = scheduling_pass.tables
    steps = [rank.key for rank in ranks if needs_advice(tables, rank.key)]
    if state.is_turn_of_oldest:
        # Stable, so that of those never asked for the first by rank is taken.
        steps.sort(key=lambda step: _get_asked_time(state, step))
    request = _find_request(scheduling_pass, steps)
    if request is None:
        state.retry_at_s = now_s + CHOICE_INTERVAL_S
        return None
    state.is_request_open = True
    state.is_turn_of_oldest = not state.is_turn_of_oldest
    state.steps[request.step].asked_at_s = now_s
    return request


def _get_asked_time(state: AdviceState, step: StepKey) -> float:
    advice = state.steps.get(step)
    return advice.asked_at_s if advice else float('-inf')


def _find_request(
    scheduling_pass: SchedulingPass, steps: list[StepKey]
) -> AdviceRequest | None:
    """Find the first step with room now, or else before its tickets run out."""
    tables = scheduling_pass.tables
    room_now = RoomBefore(0)
    rooms_later: dict[int, RoomBefore] = {}
    for is_later in (False, True):
        for step in steps:
            room = room_now
            latency = tables.workflows[step.workflow_id].queue.advice
            if is_later and latency is not None:
                usable_s = latency.valid_ms / MS_PER_S - TICKET_MARGIN_S
                room = rooms_later.setdefault(
                    latency.valid_ms, RoomBefore(usable_s)
                )
            lifetimes = _choose_workers(scheduling_pass, step, room)
            if lifetimes:
                return AdviceRequest(step, lifetimes)
    return None


def _choose_workers(
    scheduling_pass: SchedulingPass, step: StepKey, room: RoomBefore
) -> dict[str, str]:
    """Choose the workers for which a step needs tickets, none if for none."""
    state = scheduling_pass.advice
    tables = scheduling_pass.tables
    advice = state.steps.setdefault(step, StepAdvice())
    slots = _find_slots(scheduling_pass, step, room)
    needed = len(tables.index.waiting[step].indexes)
    views = [scheduling_pass.views[guard] for guard in slots]
    admissible = [
        view
        for view in views
        if view.facts.lifetime not in advice.denied_lifetimes
    ]
    if get_step(tables, step).is_gang:
        admissible = _take_enough(admissible, slots, needed)
    asked = [
        view
        for view in admissible
        if not _has_ticket(scheduling_pass, step, view)
    ]
    ticketed_slots = sum(slots[view.guard] for view in admissible) - sum(
        slots[view.guard] for view in asked
    )
    if ticketed_slots >= needed:
        return {}
    # Workers that were admitted before will be admitted again.
    asked.sort(key=lambda view: view.facts.lifetime not in advice.tickets)
    return {
        view.facts.worker_id: view.facts.lifetime
        for view in asked[:MAX_WORKERS_PER_REQUEST]
    }


def _has_ticket(
    scheduling_pass: SchedulingPass, step: StepKey, view: WorkerView
) -> bool:
    ticket = find_valid_ticket(
        scheduling_pass.advice, step, view.facts.lifetime, scheduling_pass.now_s
    )
    return ticket is not None


def _take_enough(
    views: list[WorkerView], slots: dict[str, int], needed: int
) -> list[WorkerView]:
    """Take the fewest workers that hold a gang, or none if all do not.

    A gang starts as a whole.
    """
    taken = []
    found = 0
    for view in sorted(views, key=lambda view: -slots[view.guard]):
        taken.append(view)
        found += slots[view.guard]
        if found >= needed:
            return taken
    return []


def _find_slots(
    scheduling_pass: SchedulingPass, step: StepKey, room: RoomBefore
) -> dict[str, int]:
    """Find how many tasks of a step fit on each worker, by its guard."""
    kind = get_task_kind(scheduling_pass.index, scheduling_pass.tables, step)
    slots = room.by_kind.get(kind)
    if slots is None:
        slots = {}
        for view in scheduling_pass.views.values():
            count = _count_slots(scheduling_pass, view, kind, room.horizon_s)
            if count:
                slots[view.guard] = count
        room.by_kind[kind] = slots
    return slots


def _count_slots(
    scheduling_pass: SchedulingPass,
    view: WorkerView,
    kind: TaskKind,
    horizon_s: float,
) -> int:
    """Count the tasks of a kind that fit on a worker by a time."""
    now_s = scheduling_pass.now_s
    if view.facts.pool != kind.pool or not is_schedulable(view, now_s):
        return 0
    usage = get_usage(scheduling_pass.index, scheduling_pass.tables, view)
    if rate_worker(scheduling_pass, view, usage, kind) is None:
        return int(_has_room_later(scheduling_pass, view, kind, horizon_s))
    need = msgspec.structs.astuple(get_reserved_resources(kind.step))
    free = msgspec.structs.astuple(compute_free_resources(view, usage))
    slots = min(
        (has // needs for has, needs in zip(free, need, strict=True) if needs),
        default=MAX_SLOTS,
    )
    if kind.limited_step is not None:
        count = usage.task_count_by_step.get(kind.limited_step, 0)
        slots = min(slots, kind.step.max_per_worker - count)
    return slots


def _has_room_later(
    scheduling_pass: SchedulingPass,
    view: WorkerView,
    kind: TaskKind,
    horizon_s: float,
) -> bool:
    """Return whether runs will end in time whose room a task needs.

    False if it has the room already, and something else speaks against it.
    """
    index = scheduling_pass.index
    now_s = scheduling_pass.now_s
    if kind.step.label and kind.step.label not in view.facts.labels:
        return False
    usage = get_usage(index, scheduling_pass.tables, view)
    placed_runs = get_placed_runs(index, scheduling_pass.tables, view.guard)
    free = compute_free_resources(view, usage)
    forecast = forecast_room(view, free, placed_runs, now_s)
    need = get_reserved_resources(kind.step)
    ready = find_ready_time(forecast, need, now_s)
    return ready is not None and now_s < ready[0] <= now_s + horizon_s
