"""How fast filling tasks may work beside tasks that serve.

Each filling image on a worker has a pace. When a serving task comes near its
target, the images that press it most are slowed by what the learned weights
say is needed; when all that an image presses have room, it speeds up again.
"""

import msgspec

from cumintack.protocol.run_messages import (
    PairWeight,
    RunDetails,
    RunKey,
    RunningRun,
)

# Percent; a filling task starts at it and is never asked for more.
FULL_PERCENT = 100
# Target over tail latency that pacing aims at; figures are rough and half a
# second old. At 1 a task is at its target.
TARGET_MARGIN = 1.35
# Margin of a task that shows no latency; no load was seen with more.
IDLE_MARGIN = 5.0
# Margin up to which an image is slowed.
SHORT_MARGIN = 1.18
# Margin above which it is given speed back.
WIDE_MARGIN = 1.45
# Most percent points given back at a step.
MAX_RAISE_PERCENT = 25.0
# Percent points of a step that the weights do not justify.
LEAST_STEP_PERCENT = 8.0
# Factor for all images where no weight explains a disturbance.
BLIND_FACTOR = 0.3
# Seconds over its target after which a serving image is relieved of all that
# fills beside it: three steps, 2.4 s in all, where 4 s are the most allowed.
PATIENCE_S = 0.9
# Margin that an image must take from a task to count as pressing it; an idle
# task has about 5.
MIN_INTERFERENCE = 0.1
# Seconds between two changes; a figure covers the last half second.
STEP_S = 0.5
# Pace of an image beside a serving image with which it was never seen. Six
# tasks of the heaviest pairs take six margins at full speed; at a quarter of
# it a task with half of its load stays about at its target.
PROBE_PERCENT = 25.0
# Most by which such a pace grows at a step: two steps reach full speed.
PROBE_FACTOR = 3.2
# A pace under this is not worth its calls and becomes 0.
LEAST_PERCENT = 5.0
MILLI_PER_CORE = 1000


class PacingState(msgspec.Struct):
    """The paces of one worker.

    Attributes:
        percents: The pace of each filling image.
        weights: Margin that a core takes, by serving and filling image; only
            of pairs that were learned.
        initial_margins: Margin that a serving image had when a filling image came
            that had not been learned, by pair.
        over_since_s: Since when a serving image is over its target.
        changed_at_s: When they were last changed.
        sent_percents: The pace last sent for each run.
    """

    percents: dict[str, float] = {}
    weights: dict[tuple[str, str], float] = {}
    initial_margins: dict[tuple[str, str], float] = {}
    over_since_s: dict[str, float] = {}
    changed_at_s: float = float('-inf')
    sent_percents: dict[RunKey, int] = {}


class Neighbours(msgspec.Struct):
    """What runs on a worker, as far as pacing is concerned.

    Attributes:
        margins: Target over tail latency, by serving image; the worst task
            of each.
        cores: Processor time in use, by filling image.
        full_cores: Processor time at full pace, by filling image.
    """

    margins: dict[str, float] = {}
    cores: dict[str, float] = {}
    full_cores: dict[str, float] = {}


def sort_running(
    running: tuple[RunningRun, ...],
    details: dict[RunKey, RunDetails],
) -> Neighbours:
    """Sort what runs on a worker.

    Args:
        running: What runs.
        details: What is known of the runs.

    Returns:
        Serving and filling images.
    """
    found = Neighbours()
    for run in running:
        known = details.get(run.key)
        if known is None:
            continue
        image = known.image
        if known.target_ms:
            margin = (
                known.target_ms / run.measurement
                if run.measurement
                else IDLE_MARGIN
            )
            worst = found.margins.get(image, IDLE_MARGIN)
            found.margins[image] = min(margin, worst)
        elif known.is_best_effort:
            used = run.measurement / MILLI_PER_CORE
            full = known.need_milli / MILLI_PER_CORE
            found.cores[image] = found.cores.get(image, 0) + used
            found.full_cores[image] = found.full_cores.get(image, 0) + full
    return found


def record_weights(state: PacingState, weights: tuple[PairWeight, ...]) -> None:
    """Take the weights that the leader learned.

    Args:
        state: The paces, changed in place.
        weights: The weights of the pairs on this worker.
    """
    for pair in weights:
        state.weights[(pair.latency_critical, pair.best_effort)] = pair.weight


def update_paces(
    state: PacingState,
    running: tuple[RunningRun, ...],
    details: dict[RunKey, RunDetails],
    now_s: float,
) -> None:
    """Change the paces by what the serving tasks show.

    Args:
        state: The paces, changed in place.
        running: What runs on the worker.
        details: What is known of the runs.
        now_s: The time.
    """
    if now_s - state.changed_at_s < STEP_S:
        return
    found = sort_running(running, details)
    _forget_absent(state, found)
    if not found.cores:
        return
    state.changed_at_s = now_s
    slowed: set[str] = set()
    for latency_critical, margin in found.margins.items():
        if margin <= SHORT_MARGIN:
            slowed |= _slow(state, found, latency_critical, margin)
    if _get_over_s(state, found, now_s) >= PATIENCE_S:
        # What was learned does not explain it, or not all of it.
        for image in found.cores:
            _set_percent(
                state, image, _get_percent(state, image) * BLIND_FACTOR
            )
        slowed |= set(found.cores)
    for best_effort in found.full_cores:
        if best_effort not in slowed:
            _speed_up(state, found, best_effort)


def _get_over_s(state: PacingState, found: Neighbours, now_s: float) -> float:
    """Return for how long a serving image has been over its target."""
    state.over_since_s = {
        latency_critical: state.over_since_s.get(latency_critical, now_s)
        for latency_critical, margin in found.margins.items()
        if margin < 1
    }
    return now_s - min(state.over_since_s.values(), default=now_s)


def _forget_absent(state: PacingState, found: Neighbours) -> None:
    for image in list(state.percents):
        if image not in found.full_cores:
            state.percents.pop(image)
    for pair in list(state.initial_margins):
        if pair[1] not in found.full_cores:
            state.initial_margins.pop(pair)


def set_initial_paces(
    state: PacingState,
    running: tuple[RunningRun, ...],
    details: dict[RunKey, RunDetails],
    fresh: list[RunDetails],
) -> None:
    """Choose the paces of filling images that get more runs.

    An image that was never seen beside one of the serving images starts at a
    small share of its speed, so that a pair that goes badly together is found
    out before anybody waits for it.

    Args:
        state: The paces, changed in place.
        running: What runs on the worker.
        details: What is known of the runs.
        fresh: Filling runs that are about to start.
    """
    found = sort_running(running, details)
    for run in fresh:
        full = found.full_cores.get(run.image, 0)
        found.full_cores[run.image] = full + run.need_milli / MILLI_PER_CORE
    for image in dict.fromkeys(started.image for started in fresh):
        allowed = _get_percent(state, image)
        for latency_critical, margin in found.margins.items():
            limit = _compute_limit(
                state, found, latency_critical, margin, image
            )
            allowed = min(allowed, limit)
        _set_percent(state, image, allowed)


def _compute_limit(
    state: PacingState,
    found: Neighbours,
    latency_critical: str,
    margin: float,
    best_effort: str,
) -> float:
    pair = (latency_critical, best_effort)
    weight = state.weights.get(pair)
    if weight is None:
        state.initial_margins.setdefault(pair, margin)
        return PROBE_PERCENT
    interference = weight * found.full_cores[best_effort]
    if interference < MIN_INTERFERENCE:
        return FULL_PERCENT
    alone = margin + weight * found.cores.get(best_effort, 0)
    return max(0, (alone - TARGET_MARGIN) / interference * FULL_PERCENT)


def _compute_pressure(
    state: PacingState,
    found: Neighbours,
    latency_critical: str,
    best_effort: str,
) -> float:
    """Return the margin that an image takes at its present pace."""
    pair = (latency_critical, best_effort)
    weight = state.weights.get(pair)
    if weight is None:
        margin = found.margins[latency_critical]
        return max(0, state.initial_margins.get(pair, margin) - margin)
    return weight * found.cores.get(best_effort, 0)


def _slow(
    state: PacingState,
    found: Neighbours,
    latency_critical: str,
    margin: float,
) -> set[str]:
    pressures = {
        best_effort: _compute_pressure(
            state, found, latency_critical, best_effort
        )
        for best_effort in found.cores
    }
    excess = TARGET_MARGIN - margin
    slowed: set[str] = set()
    for best_effort in sorted(
        pressures, key=pressures.__getitem__, reverse=True
    ):
        interference = pressures[best_effort]
        if excess <= 0 or interference < MIN_INTERFERENCE:
            break
        kept = max(0, 1 - excess / interference)
        _set_percent(
            state, best_effort, _get_percent(state, best_effort) * kept
        )
        excess -= interference
        slowed.add(best_effort)
    if not slowed:
        # Nothing learned explains it yet.
        for unknown in found.cores:
            percent = _get_percent(state, unknown) * BLIND_FACTOR
            _set_percent(state, unknown, percent)
        return set(found.cores)
    return slowed


def _speed_up(state: PacingState, found: Neighbours, best_effort: str) -> None:
    percent = _get_percent(state, best_effort)
    if percent >= FULL_PERCENT:
        return
    raised = FULL_PERCENT - percent
    for latency_critical, margin in found.margins.items():
        if state.weights.get((latency_critical, best_effort)) is None:
            allowed = _compute_probe_raise(
                state, latency_critical, margin, best_effort, percent
            )
        else:
            allowed = _compute_raise(
                state, found, latency_critical, margin, best_effort
            )
        raised = min(raised, allowed)
    _set_percent(state, best_effort, percent + raised)


def _compute_raise(
    state: PacingState,
    found: Neighbours,
    latency_critical: str,
    margin: float,
    best_effort: str,
) -> float:
    weight = state.weights[(latency_critical, best_effort)]
    interference = weight * found.full_cores[best_effort]
    if interference < MIN_INTERFERENCE:
        return FULL_PERCENT
    if margin <= WIDE_MARGIN:
        return 0
    allowed = (margin - TARGET_MARGIN) / interference * FULL_PERCENT
    return min(MAX_RAISE_PERCENT, max(LEAST_STEP_PERCENT, allowed))


def _compute_probe_raise(
    state: PacingState,
    latency_critical: str,
    margin: float,
    best_effort: str,
    percent: float,
) -> float:
    if margin <= WIDE_MARGIN:
        return 0
    before = state.initial_margins.setdefault(
        (latency_critical, best_effort), margin
    )
    probed = max(PROBE_PERCENT, percent)
    taken = before - margin
    factor = PROBE_FACTOR
    if taken > MIN_INTERFERENCE:
        factor = min(factor, (before - TARGET_MARGIN) / taken)
    return max(0, probed * factor - percent)


def _get_percent(state: PacingState, best_effort: str) -> float:
    return state.percents.get(best_effort, FULL_PERCENT)


def _set_percent(state: PacingState, best_effort: str, percent: float) -> None:
    kept = 0 if percent < LEAST_PERCENT else percent
    state.percents[best_effort] = min(FULL_PERCENT, kept)


def list_changed_paces(
    state: PacingState,
    present: set[RunKey],
    details: dict[RunKey, RunDetails],
) -> dict[RunKey, int]:
    """Compute the paces that have to be sent.

    Args:
        state: The paces.
        present: Runs that the worker has started.
        details: What is known of the runs.

    Returns:
        The percent for each run whose pace is not the one last sent.
    """
    wished = {
        key: round(_get_percent(state, details[key].image))
        for key in present
        if key in details and details[key].is_best_effort
    }
    for known in list(state.sent_percents):
        if known not in wished:
            state.sent_percents.pop(known)
    return {
        key: percent
        for key, percent in wished.items()
        if state.sent_percents.get(key, FULL_PERCENT) != percent
    }
