"""How fast filling tasks may work beside tasks that serve.

One share for all filling tasks of a worker is cut at once when a serving
task is over its target, and given back slowly, since a slowdown costs the
users of the serving task more than it costs a filling one to wait.
"""

import msgspec

from cumintack.protocol.run_messages import RunDetails, RunKey, RunningRun

# Percent; a filling task starts at it and is never asked for more.
FULL_PERCENT = 100
# Share of the pace that is kept when a serving task is over its target.
CUT_FACTOR = 0.4
# Percent points given back at each step without a disturbance.
RAISE_PERCENT = 10
# Share of the target under which the pace is raised.
CALM_SHARE = 0.8
# Seconds between two changes; a figure covers the last half second.
STEP_S = 0.5
# A pace under this is not worth the disturbance and becomes 0.
LEAST_PERCENT = 5


class PaceState(msgspec.Struct):
    """The pace of one worker.

    Attributes:
        percent: The pace for all its filling tasks.
        changed_at_s: When it was last changed.
        sent: The pace last sent for each run.
    """

    percent: float = FULL_PERCENT
    changed_at_s: float = float('-inf')
    sent: dict[RunKey, int] = {}


def follow_figures(
    state: PaceState,
    running: tuple[RunningRun, ...],
    details: dict[RunKey, RunDetails],
    now_s: float,
) -> None:
    """Change the pace by what the serving tasks show.

    Args:
        state: The pace, changed in place.
        running: What runs on the worker.
        details: What is known of the runs.
        now_s: The time.
    """
    loads = [
        run.figure / details[run.key].target_ms
        for run in running
        if run.key in details and details[run.key].target_ms
    ]
    if now_s - state.changed_at_s < STEP_S:
        return
    worst = max(loads, default=0)
    if worst >= 1:
        state.percent *= CUT_FACTOR
        if state.percent < LEAST_PERCENT:
            state.percent = 0
    elif worst < CALM_SHARE:
        state.percent = min(FULL_PERCENT, state.percent + RAISE_PERCENT)
    else:
        return
    state.changed_at_s = now_s


def compute_paces(
    state: PaceState,
    running: tuple[RunningRun, ...],
    details: dict[RunKey, RunDetails],
) -> dict[RunKey, int]:
    """Compute the paces that have to be sent.

    Args:
        state: The pace.
        running: What runs on the worker.
        details: What is known of the runs.

    Returns:
        The percent for each run whose pace is not the one last sent.
    """
    percent = round(state.percent)
    filling = [
        run.key
        for run in running
        if run.key in details and details[run.key].is_filling
    ]
    present = set(filling)
    for known in list(state.sent):
        if known not in present:
            state.sent.pop(known)
    return {
        key: percent
        for key in filling
        if state.sent.get(key, FULL_PERCENT) != percent
    }
