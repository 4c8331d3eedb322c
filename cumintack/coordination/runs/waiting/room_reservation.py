"""Room that is kept for waiting tasks which fit nowhere yet.

Small tasks take every gap as soon as it opens, so that a task that needs a
large part of a worker waits for as long as small ones keep coming. For the
first waiting tasks that fit nowhere, room is kept on the workers on which they
will fit soonest, by the predicted ends of the runs there. Other tasks are
placed on such a worker only beside that room, or if they will have ended when
it is needed (backfilling).

Room is kept only for the most urgent queues of a pool, so that no task waits
for a less urgent one. Reservations are decided anew several times a second, so
that a wrong prediction, or the loss of a worker, costs a fraction of a second
and nothing has to be restored by a new leader.
"""

from collections.abc import Callable, Iterable

import msgspec

from cumintack.coordination.runs.candidate_index import TaskKind
from cumintack.coordination.runs.worker_views import (
    PlacedRuns,
    WorkerView,
    get_reserved_resources,
)
from cumintack.state.resources import (
    Resources,
    add_resources,
    fits_within,
    subtract_resources,
)
from cumintack.state.workflows import StepKey

# Seconds between two decisions; a small task takes about one.
RESERVATION_INTERVAL_S = 0.1
# Tasks for which room is kept at a time.
MAX_RESERVED_TASKS = 16
# Share of the workers of a pool on which room is kept, so that the small tasks
# find room on the others.
MAX_RESERVED_SHARE = 0.25
# Share of a worker that a task must need for room to be kept for it; a smaller
# one soon finds a gap.
MIN_NEED_SHARE = 0.1
# Declared run times of small tasks are too short by up to half.
BACKFILL_FACTOR = 2.0
MS_PER_S = 1000
FULL_PERCENT = 100


class RoomReservation(msgspec.Struct, frozen=True):
    """Room that is kept on a worker.

    Attributes:
        step_key: The step for whose tasks it is kept.
        kind: The kind of these tasks.
        ready_at_s: When the room is predicted to be free.
        spare: What will be free then beside that room.
    """

    step_key: StepKey
    kind: TaskKind
    ready_at_s: float
    spare: Resources


# Reservations by the guard of the worker.
Reservations = dict[str, RoomReservation]


class WaitingDemand(msgspec.Struct, frozen=True):
    """Waiting tasks that fit nowhere.

    Attributes:
        step_key: Their step.
        kind: Their kind.
        count: Their number.
    """

    step_key: StepKey
    kind: TaskKind
    count: int


class RoomForecast(msgspec.Struct):
    """Free room of a worker, now and after each predicted end of a run.

    Attributes:
        view: The worker.
        free: What is free now.
        ends: What becomes free, and when, earliest first.
    """

    view: WorkerView
    free: Resources
    ends: list[tuple[float, Resources]]


def forecast_room(
    view: WorkerView, free: Resources, placed_runs: PlacedRuns, now_s: float
) -> RoomForecast:
    """Predict when room becomes free on a worker.

    Long-running tasks have no end that could be predicted.

    Args:
        view: The worker as last reported.
        free: Its free resources.
        placed_runs: The recorded runs on it.
        now_s: Current time of the monotonic clock, in seconds.

    Returns:
        The forecast.
    """
    ends = []
    for placed in placed_runs.values():
        if placed.step.is_long_running:
            continue
        run = view.running.get(placed.key)
        percent = run.percent if run else 0
        left_s = placed.step.estimate_ms / MS_PER_S
        left_s *= 1 - percent / FULL_PERCENT
        ends.append((now_s + left_s, get_reserved_resources(placed.step)))
    ends.sort(key=_get_end)
    return RoomForecast(view, free, ends)


def _get_end(end: tuple[float, Resources]) -> float:
    return end[0]


def find_ready_time(
    forecast: RoomForecast, need: Resources, now_s: float
) -> tuple[float, Resources] | None:
    """Find when a task will fit on a worker.

    Args:
        forecast: The forecast for the worker.
        need: The resources that the task reserves.
        now_s: Current time of the monotonic clock, in seconds.

    Returns:
        The time and what is free then beside the task; None if the ends that
        can be predicted do not suffice.
    """
    free = forecast.free
    if fits_within(need, free):
        return now_s, subtract_resources(free, need)
    for at_s, released in forecast.ends:
        free = add_resources(free, released)
        if fits_within(need, free):
            return at_s, subtract_resources(free, need)
    return None


def plan_reservations(
    demands: Iterable[WaitingDemand],
    forecasts: list[RoomForecast],
    is_suitable: Callable[[WorkerView, TaskKind], bool],
    now_s: float,
) -> Reservations:
    """Decide on which workers room is kept, and for which tasks.

    Args:
        demands: The waiting tasks that fit nowhere, most urgent first.
        forecasts: Forecasts for the workers that may run tasks.
        is_suitable: Whether a worker may run a kind of task once it has room.
        now_s: Current time of the monotonic clock, in seconds.

    Returns:
        The reservations, one on a worker.
    """
    largest_milli = max(
        (forecast.view.facts.holds.cores_milli for forecast in forecasts),
        default=0,
    )
    needs = [
        demand
        for demand in demands
        if demand.kind.step.need.cores_milli >= largest_milli * MIN_NEED_SHARE
        for _ in range(min(demand.count, MAX_RESERVED_TASKS))
    ]
    max_count = min(
        MAX_RESERVED_TASKS, int(len(forecasts) * MAX_RESERVED_SHARE)
    )
    reservations: Reservations = {}
    left = {forecast.view.guard: forecast for forecast in forecasts}
    # Tasks that no worker will have room for must not use up the room of those
    # behind them.
    hopeless: set[TaskKind] = set()
    for need in needs:
        if len(reservations) >= max_count:
            break
        if need.kind in hopeless:
            continue
        reservation = _reserve(need, left, is_suitable, now_s)
        if reservation is None:
            hopeless.add(need.kind)
            continue
        guard, reserved = reservation
        reservations[guard] = reserved
        left.pop(guard)
    return reservations


def _reserve(
    demand: WaitingDemand,
    forecasts: dict[str, RoomForecast],
    is_suitable: Callable[[WorkerView, TaskKind], bool],
    now_s: float,
) -> tuple[str, RoomReservation] | None:
    """Keep room for one task on the worker on which it will fit soonest."""
    best: tuple[str, RoomReservation] | None = None
    need = get_reserved_resources(demand.kind.step)
    for guard, forecast in forecasts.items():
        if not is_suitable(forecast.view, demand.kind):
            continue
        ready = find_ready_time(forecast, need, now_s)
        if ready is None:
            continue
        ready_at_s, spare = ready
        if best is None or ready_at_s < best[1].ready_at_s:
            best = (
                guard,
                RoomReservation(
                    demand.step_key, demand.kind, ready_at_s, spare
                ),
            )
    return best


def consume_spare(
    reservations: Reservations, guard: str, kind: TaskKind
) -> None:
    """Take a task that was placed on a worker off the room beside.

    Args:
        reservations: The reservations, changed in place.
        guard: The name of the guard of the worker.
        kind: The kind of the task.
    """
    reservation = reservations.get(guard)
    if reservation is None or kind == reservation.kind:
        return
    need = get_reserved_resources(kind.step)
    if fits_within(need, reservation.spare):
        reservations[guard] = msgspec.structs.replace(
            reservation, spare=subtract_resources(reservation.spare, need)
        )


def may_use_room(
    reservation: RoomReservation | None, kind: TaskKind, now_s: float
) -> bool:
    """Tell whether a task may be placed on a worker on which room is kept.

    Args:
        reservation: The reservation on the worker, None if there is none.
        kind: The kind of the task.
        now_s: Current time of the monotonic clock, in seconds.

    Returns:
        Whether the task for which the room is kept will not wait longer.
    """
    if reservation is None or kind == reservation.kind:
        return True
    step = kind.step
    if fits_within(get_reserved_resources(step), reservation.spare):
        return True
    if step.is_long_running or not step.estimate_ms:
        return False
    expected_s = BACKFILL_FACTOR * step.estimate_ms / MS_PER_S
    return now_s + expected_s <= reservation.ready_at_s
