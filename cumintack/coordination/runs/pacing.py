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
# Share of the target that pacing aims at; figures are rough and half a
# second old.
AIM_SHARE = 0.75
# Share of the target from which an image is slowed.
HIGH_SHARE = 0.85
# Share of the target under which it is given speed back.
LOW_SHARE = 0.7
# Most percent points given back at a step.
MAX_RAISE_PERCENT = 25.0
# Percent points of a step that the weights do not justify.
LEAST_STEP_PERCENT = 8.0
# Factor for all images where no weight explains a disturbance.
BLIND_FACTOR = 0.5
# Share of a task's room that makes an image count as pressing it.
LEAST_PRESSURE = 0.02
# Seconds between two changes; a figure covers the last half second.
STEP_S = 0.5
# A pace under this is not worth its calls and becomes 0.
LEAST_PERCENT = 5.0
MILLI = 1000


class PaceState(msgspec.Struct):
    """The paces of one worker.

    Attributes:
        percents: The pace of each filling image.
        weights: Share of the target that a core takes, by serving and
            filling image.
        changed_at_s: When they were last changed.
        sent: The pace last sent for each run.
    """

    percents: dict[str, float] = {}
    weights: dict[tuple[str, str], float] = {}
    changed_at_s: float = float('-inf')
    sent: dict[RunKey, int] = {}


class Neighbours(msgspec.Struct):
    """What runs on a worker, as far as pacing is concerned.

    Attributes:
        shares: Latency as a share of the target, by serving image; the
            worst task of each.
        cores: Processor time in use, by filling image.
        full_cores: Processor time at full pace, by filling image.
    """

    shares: dict[str, float] = {}
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
            share = run.figure / known.target_ms
            found.shares[image] = max(share, found.shares.get(image, 0))
        elif known.is_filling:
            used = run.figure / MILLI
            full = known.need_milli / MILLI
            found.cores[image] = found.cores.get(image, 0) + used
            found.full_cores[image] = found.full_cores.get(image, 0) + full
    return found


def take_weights(state: PaceState, weights: tuple[PairWeight, ...]) -> None:
    """Take the weights that the leader learned.

    Args:
        state: The paces, changed in place.
        weights: The weights of the pairs on this worker.
    """
    for pair in weights:
        state.weights[(pair.serving, pair.filling)] = pair.weight


def follow_figures(
    state: PaceState,
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
    if not found.cores:
        state.percents.clear()
        return
    state.changed_at_s = now_s
    slowed: set[str] = set()
    for serving, share in found.shares.items():
        if share >= HIGH_SHARE:
            slowed |= _slow(state, found, serving, share)
    for filling in found.full_cores:
        if filling not in slowed:
            _speed_up(state, found, filling)


def _slow(
    state: PaceState,
    found: Neighbours,
    serving: str,
    share: float,
) -> set[str]:
    pressures = {
        filling: state.weights.get((serving, filling), 0) * cores
        for filling, cores in found.cores.items()
    }
    excess = share - AIM_SHARE
    slowed: set[str] = set()
    for filling in sorted(pressures, key=pressures.__getitem__, reverse=True):
        pressure = pressures[filling]
        if excess <= 0 or pressure < LEAST_PRESSURE:
            break
        kept = max(0, 1 - excess / pressure)
        _set_percent(state, filling, _get_percent(state, filling) * kept)
        excess -= pressure
        slowed.add(filling)
    if not slowed:
        # Nothing learned explains it yet.
        for unknown in found.cores:
            percent = _get_percent(state, unknown) * BLIND_FACTOR
            _set_percent(state, unknown, percent)
        return set(found.cores)
    return slowed


def _speed_up(state: PaceState, found: Neighbours, filling: str) -> None:
    percent = _get_percent(state, filling)
    if percent >= FULL_PERCENT:
        return
    raised = MAX_RAISE_PERCENT
    for serving, share in found.shares.items():
        weight = state.weights.get((serving, filling), 0)
        pressure = weight * found.full_cores[filling]
        if pressure < LEAST_PRESSURE:
            continue
        if share >= LOW_SHARE:
            return
        room = (AIM_SHARE - share) / pressure * FULL_PERCENT
        raised = min(raised, max(LEAST_STEP_PERCENT, room))
    _set_percent(state, filling, percent + raised)


def _get_percent(state: PaceState, filling: str) -> float:
    return state.percents.get(filling, FULL_PERCENT)


def _set_percent(state: PaceState, filling: str, percent: float) -> None:
    kept = 0 if percent < LEAST_PERCENT else percent
    state.percents[filling] = min(FULL_PERCENT, kept)


def compute_paces(
    state: PaceState,
    running: tuple[RunningRun, ...],
    details: dict[RunKey, RunDetails],
) -> dict[RunKey, int]:
    """Compute the paces that have to be sent.

    Args:
        state: The paces.
        running: What runs on the worker.
        details: What is known of the runs.

    Returns:
        The percent for each run whose pace is not the one last sent.
    """
    wished = {
        run.key: round(_get_percent(state, details[run.key].image))
        for run in running
        if run.key in details and details[run.key].is_filling
    }
    for known in list(state.sent):
        if known not in wished:
            state.sent.pop(known)
    return {
        key: percent
        for key, percent in wished.items()
        if state.sent.get(key, FULL_PERCENT) != percent
    }
