"""Throttling of best-effort tasks beside latency-critical tasks.

Each best-effort image on a worker has a pace: the share of its full speed, in
percent, that it may use. When the margin of a latency-critical task (its
target divided by its tail latency) becomes small, the images that interfere
most with it are slowed down as far as the learned weights require. When all
tasks that an image interferes with have enough margin, it is sped up again.
"""

import msgspec

from cumintack.protocol.run_messages import (
    PairWeight,
    RunDetails,
    RunKey,
    RunningRun,
)

# Full pace in percent, at which a best-effort task starts unless throttled.
FULL_PERCENT = 100
# Margin that pacing aims at. At 1 a task is at its target; the rest allows for
# measurements that are rough and half a second old.
TARGET_MARGIN = 1.35
# Margin of a task that reports no latency; no higher one was observed under
# load.
IDLE_MARGIN = 5.0
# Margin of a task up to which the images that interfere with it are slowed.
SLOW_DOWN_MARGIN = 1.18
# Margin of a task above which these images are sped up again.
SPEED_UP_MARGIN = 1.45
# Most percentage points by which a pace rises in one step.
MAX_RAISE_PERCENT = 25.0
# Percentage points by which a pace rises in a step even if the weights allow
# less.
MIN_RAISE_PERCENT = 8.0
# Factor on the pace of all images when no weight explains the interference.
FALLBACK_FACTOR = 0.3
# Seconds over the target of a latency-critical image after which all
# best-effort images beside it are slowed to a stop. This takes three steps,
# 2.4 s in all; at most 4 s over the target are allowed.
MAX_OVER_TARGET_S = 0.9
# Margin that an image must take from a task to count as interfering with it;
# an idle task has a margin of about 5.
MIN_INTERFERENCE = 0.1
# Seconds between two changes; a measurement covers the last half second.
STEP_INTERVAL_S = 0.5
# Initial pace of an image beside a latency-critical image with which it was not
# observed yet. Six tasks of the heaviest pair take a margin of six at full
# speed; at a quarter of it, a task at half load stays about at its target.
PROBE_PERCENT = 25.0
# Most by which such a pace grows in one step: two steps reach full speed.
MAX_PROBE_FACTOR = 3.2
# A pace below this is not worth its calls and becomes 0.
MIN_PERCENT = 5.0
MILLI_PER_CORE = 1000


class PacingState(msgspec.Struct):
    """The paces of the best-effort images on one worker.

    Attributes:
        percents: The pace of each best-effort image.
        weights: Margin that a core takes, by latency-critical and best-effort
            image; learned pairs only.
        initial_margins: Margin of a latency-critical image when a best-effort
            image without a learned weight was first seen beside it, by pair.
        over_since_s: Since when each latency-critical image is over its
            target; images within it are left out.
        changed_at_s: When the paces were last changed.
        sent_percents: The pace last sent for each run.
    """

    percents: dict[str, float] = {}
    weights: dict[tuple[str, str], float] = {}
    initial_margins: dict[tuple[str, str], float] = {}
    over_since_s: dict[str, float] = {}
    changed_at_s: float = float('-inf')
    sent_percents: dict[RunKey, int] = {}


class ColocatedLoad(msgspec.Struct):
    """Margins and CPU use on a worker, by image.

    Attributes:
        margins: Margin of the worst task of each latency-critical image.
        cores: CPU use of each best-effort image.
        full_cores: CPU use of each best-effort image at full pace.
    """

    margins: dict[str, float] = {}
    cores: dict[str, float] = {}
    full_cores: dict[str, float] = {}


def summarise_running(
    running: tuple[RunningRun, ...],
    details: dict[RunKey, RunDetails],
) -> ColocatedLoad:
    """Summarise the running tasks of a worker by image.

    Args:
        running: The runs that the worker lists.
        details: The details of the runs.

    Returns:
        The margins and the CPU use.
    """
    load = ColocatedLoad()
    for run in running:
        run_details = details.get(run.key)
        if run_details is None:
            continue
        image = run_details.image
        if run_details.target_ms:
            margin = (
                run_details.target_ms / run.measurement
                if run.measurement
                else IDLE_MARGIN
            )
            worst = load.margins.get(image, IDLE_MARGIN)
            load.margins[image] = min(margin, worst)
        elif run_details.is_best_effort:
            used = run.measurement / MILLI_PER_CORE
            full = run_details.need_milli / MILLI_PER_CORE
            load.cores[image] = load.cores.get(image, 0) + used
            load.full_cores[image] = load.full_cores.get(image, 0) + full
    return load


def record_weights(state: PacingState, weights: tuple[PairWeight, ...]) -> None:
    """Record weights that the leader has learned.

    Args:
        state: The pacing state, changed in place.
        weights: The weights of the image pairs on this worker.
    """
    for pair in weights:
        state.weights[(pair.latency_critical, pair.best_effort)] = pair.weight


def update_paces(
    state: PacingState,
    running: tuple[RunningRun, ...],
    details: dict[RunKey, RunDetails],
    now_s: float,
) -> None:
    """Adjust the paces to the margins of the latency-critical tasks.

    Args:
        state: The pacing state, changed in place.
        running: The runs that the worker lists.
        details: The details of the runs.
        now_s: Current time of the monotonic clock, in seconds.
    """
    if now_s - state.changed_at_s < STEP_INTERVAL_S:
        return
    load = summarise_running(running, details)
    _prune_absent_images(state, load)
    if not load.cores:
        return
    state.changed_at_s = now_s
    slowed: set[str] = set()
    for critical_image, margin in load.margins.items():
        if margin <= SLOW_DOWN_MARGIN:
            slowed |= _slow_down(state, load, critical_image, margin)
    if _get_time_over_target_s(state, load, now_s) >= MAX_OVER_TARGET_S:
        # The learned weights do not explain the interference, or not fully.
        for image in load.cores:
            _set_percent(
                state, image, _get_percent(state, image) * FALLBACK_FACTOR
            )
        slowed |= set(load.cores)
    for best_effort_image in load.full_cores:
        if best_effort_image not in slowed:
            _speed_up(state, load, best_effort_image)


def _get_time_over_target_s(
    state: PacingState, load: ColocatedLoad, now_s: float
) -> float:
    """Return how long the worst latency-critical image is over its target."""
    state.over_since_s = {
        critical_image: state.over_since_s.get(critical_image, now_s)
        for critical_image, margin in load.margins.items()
        if margin < 1
    }
    return now_s - min(state.over_since_s.values(), default=now_s)


def _prune_absent_images(state: PacingState, load: ColocatedLoad) -> None:
    for image in list(state.percents):
        if image not in load.full_cores:
            state.percents.pop(image)
    for pair in list(state.initial_margins):
        if pair[1] not in load.full_cores:
            state.initial_margins.pop(pair)


def set_initial_paces(
    state: PacingState,
    running: tuple[RunningRun, ...],
    details: dict[RunKey, RunDetails],
    new_runs: list[RunDetails],
) -> None:
    """Set the paces of best-effort images that get more runs.

    An image that was not observed yet beside one of the latency-critical
    images starts at a small share of its speed, so that a pair with strong
    interference is detected before it delays requests.

    Args:
        state: The pacing state, changed in place.
        running: The runs that the worker lists.
        details: The details of the runs.
        new_runs: Best-effort runs that are about to start.
    """
    load = summarise_running(running, details)
    for run in new_runs:
        full = load.full_cores.get(run.image, 0)
        load.full_cores[run.image] = full + run.need_milli / MILLI_PER_CORE
    for image in dict.fromkeys(new_run.image for new_run in new_runs):
        allowed_percent = _get_percent(state, image)
        for critical_image, margin in load.margins.items():
            limit = _compute_initial_percent(
                state, load, critical_image, margin, image
            )
            allowed_percent = min(allowed_percent, limit)
        _set_percent(state, image, allowed_percent)


def _compute_initial_percent(
    state: PacingState,
    load: ColocatedLoad,
    critical_image: str,
    margin: float,
    best_effort_image: str,
) -> float:
    pair = (critical_image, best_effort_image)
    weight = state.weights.get(pair)
    if weight is None:
        state.initial_margins.setdefault(pair, margin)
        return PROBE_PERCENT
    interference = weight * load.full_cores[best_effort_image]
    if interference < MIN_INTERFERENCE:
        return FULL_PERCENT
    undisturbed_margin = margin + weight * load.cores.get(best_effort_image, 0)
    return max(
        0, (undisturbed_margin - TARGET_MARGIN) / interference * FULL_PERCENT
    )


def _compute_interference(
    state: PacingState,
    load: ColocatedLoad,
    critical_image: str,
    best_effort_image: str,
) -> float:
    """Return the margin that an image takes at its current pace."""
    pair = (critical_image, best_effort_image)
    weight = state.weights.get(pair)
    if weight is None:
        margin = load.margins[critical_image]
        return max(0, state.initial_margins.get(pair, margin) - margin)
    return weight * load.cores.get(best_effort_image, 0)


def _slow_down(
    state: PacingState,
    load: ColocatedLoad,
    critical_image: str,
    margin: float,
) -> set[str]:
    interference_by_image = {
        best_effort_image: _compute_interference(
            state, load, critical_image, best_effort_image
        )
        for best_effort_image in load.cores
    }
    margin_deficit = TARGET_MARGIN - margin
    slowed: set[str] = set()
    for best_effort_image in sorted(
        interference_by_image,
        key=interference_by_image.__getitem__,
        reverse=True,
    ):
        interference = interference_by_image[best_effort_image]
        if margin_deficit <= 0 or interference < MIN_INTERFERENCE:
            break
        kept_share = max(0, 1 - margin_deficit / interference)
        _set_percent(
            state,
            best_effort_image,
            _get_percent(state, best_effort_image) * kept_share,
        )
        margin_deficit -= interference
        slowed.add(best_effort_image)
    if not slowed:
        # No learned weight explains the interference yet.
        for unexplained_image in load.cores:
            percent = _get_percent(state, unexplained_image) * FALLBACK_FACTOR
            _set_percent(state, unexplained_image, percent)
        return set(load.cores)
    return slowed


def _speed_up(
    state: PacingState, load: ColocatedLoad, best_effort_image: str
) -> None:
    percent = _get_percent(state, best_effort_image)
    if percent >= FULL_PERCENT:
        return
    raise_percent = FULL_PERCENT - percent
    for critical_image, margin in load.margins.items():
        if state.weights.get((critical_image, best_effort_image)) is None:
            max_raise_percent = _compute_probe_raise(
                state, critical_image, margin, best_effort_image, percent
            )
        else:
            max_raise_percent = _compute_raise(
                state, load, critical_image, margin, best_effort_image
            )
        raise_percent = min(raise_percent, max_raise_percent)
    _set_percent(state, best_effort_image, percent + raise_percent)


def _compute_raise(
    state: PacingState,
    load: ColocatedLoad,
    critical_image: str,
    margin: float,
    best_effort_image: str,
) -> float:
    weight = state.weights[(critical_image, best_effort_image)]
    interference = weight * load.full_cores[best_effort_image]
    if interference < MIN_INTERFERENCE:
        return FULL_PERCENT
    if margin <= SPEED_UP_MARGIN:
        return 0
    max_raise_percent = (margin - TARGET_MARGIN) / interference * FULL_PERCENT
    return min(MAX_RAISE_PERCENT, max(MIN_RAISE_PERCENT, max_raise_percent))


def _compute_probe_raise(
    state: PacingState,
    critical_image: str,
    margin: float,
    best_effort_image: str,
    percent: float,
) -> float:
    if margin <= SPEED_UP_MARGIN:
        return 0
    initial_margin = state.initial_margins.setdefault(
        (critical_image, best_effort_image), margin
    )
    probed = max(PROBE_PERCENT, percent)
    margin_loss = initial_margin - margin
    factor = MAX_PROBE_FACTOR
    if margin_loss > MIN_INTERFERENCE:
        factor = min(factor, (initial_margin - TARGET_MARGIN) / margin_loss)
    return max(0, probed * factor - percent)


def _get_percent(state: PacingState, best_effort_image: str) -> float:
    return state.percents.get(best_effort_image, FULL_PERCENT)


def _set_percent(
    state: PacingState, best_effort_image: str, percent: float
) -> None:
    effective_percent = 0 if percent < MIN_PERCENT else percent
    state.percents[best_effort_image] = min(FULL_PERCENT, effective_percent)


def list_changed_paces(
    state: PacingState,
    present: set[RunKey],
    details: dict[RunKey, RunDetails],
) -> dict[RunKey, int]:
    """List the paces that have to be sent to the worker.

    Args:
        state: The pacing state.
        present: The runs that the worker has started.
        details: The details of the runs.

    Returns:
        The pace in percent of each run for which it differs from the one
        last sent.
    """
    desired_percents = {
        key: round(_get_percent(state, details[key].image))
        for key in present
        if key in details and details[key].is_best_effort
    }
    for tracked_key in list(state.sent_percents):
        if tracked_key not in desired_percents:
            state.sent_percents.pop(tracked_key)
    return {
        key: percent
        for key, percent in desired_percents.items()
        if state.sent_percents.get(key, FULL_PERCENT) != percent
    }
