"""Which starved filling runs go on elsewhere.

Answers filling tasks that stand still for long beside serving tasks which
they disturb, while other workers have room for them. A run is moved only if
it keeps its work, and only where it would get most of its speed.
"""

from cumintack.coordination.runs.placement import (
    CandidateWorker,
    SchedulingPass,
    estimate_speed,
)
from cumintack.coordination.runs.worker_views import list_runs_with_steps
from cumintack.protocol.run_messages import RunKey, RunningRun
from cumintack.state.workflows import StepSpec

# Share of the wished processor time under which a run is starved.
STARVED_SHARE = 0.4
# Seconds of that before it is moved; two figures of half a second agree.
STARVED_S = 1.2
# Speed that the other worker must offer.
LEAST_GAIN_SPEED = 0.85
# Percent up to which a run without checkpoints loses little by a move.
LITTLE_PERCENT = 10
# Moves decided at once, so that what they change is seen before the next.
MAX_MOVES = 4


def choose_runs_to_migrate(
    since_s: dict[RunKey, float],
    current: SchedulingPass,
) -> list[RunKey]:
    """Follow which runs are starved, and choose those to move.

    Args:
        since_s: Since when each starved run is, changed in place.
        current: A pass over the open workers.

    Returns:
        Runs to stop, so that they are placed again.
    """
    starved = {
        key: (candidate, step)
        for key, candidate, step in _list_starved(current)
    }
    for known in list(since_s):
        if known not in starved:
            since_s.pop(known)
    moved: list[RunKey] = []
    for key, (candidate, step) in starved.items():
        begun_s = since_s.setdefault(key, current.now_s)
        is_long = current.now_s - begun_s >= STARVED_S
        if is_long and len(moved) < MAX_MOVES:
            if _has_better(current, candidate, step):
                moved.append(key)
    return moved


def _list_starved(
    current: SchedulingPass,
) -> list[tuple[RunKey, CandidateWorker, StepSpec]]:
    return [
        (key, candidate, step)
        for candidate in current.candidates.values()
        for key, step in list_runs_with_steps(current.tables, candidate.view)
        if key in candidate.view.running
        and _is_starved(candidate.view.running[key], step)
    ]


def _is_starved(run: RunningRun, step: StepSpec) -> bool:
    is_kept = step.is_checkpointed or run.percent <= LITTLE_PERCENT
    is_movable = step.is_best_effort and is_kept
    return (
        is_movable and run.measurement < STARVED_SHARE * step.need.cores_milli
    )


def _has_better(
    current: SchedulingPass, candidate: CandidateWorker, step: StepSpec
) -> bool:
    return any(
        other.view.facts.pool == candidate.view.facts.pool
        and estimate_speed(current, other, step) >= LEAST_GAIN_SPEED
        for other in current.candidates.values()
        if other is not candidate
    )
