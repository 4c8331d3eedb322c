"""Serving and filling tasks side by side, from the view of the leader."""

from cumintack.coordination.runs.interference_model import (
    MILLI,
    InterferenceModel,
    Observation,
    get_weight,
    is_learned,
)
from cumintack.coordination.runs.worker_views import WorkerView, list_runs
from cumintack.protocol.run_messages import PairWeight
from cumintack.state.workflows import WorkflowTables

# Weights under it are sent as 0: a hundred cores take a tenth of the margin
# that a task has without load.
LEAST_WEIGHT = 0.005
WEIGHT_DIGITS = 3


def list_observations(
    tables: WorkflowTables, view: WorkerView
) -> list[Observation]:
    """List what a report shows of the serving tasks of a worker.

    Args:
        tables: The workflows.
        view: The worker with its latest report.

    Returns:
        One sight for each serving task at work.
    """
    cores: dict[str, float] = {}
    serving = []
    for key, step in list_runs(tables, view):
        run = view.running.get(key)
        if run is None:
            continue
        if step.is_best_effort:
            used = run.figure / MILLI
            cores[step.image] = cores.get(step.image, 0) + used
        elif step.target_ms and run.figure:
            serving.append((key, step.image, step.target_ms / run.figure))
    return [Observation(*serving_run, cores) for serving_run in serving]


def list_weights(
    tables: WorkflowTables,
    view: WorkerView,
    pressure: InterferenceModel,
) -> tuple[PairWeight, ...]:
    """List what was learned of the pairs on a worker.

    Args:
        tables: The workflows.
        view: The worker.
        pressure: What was learned.

    Returns:
        The weight of each pair of images placed there that is learned.
    """
    serving: dict[str, None] = {}
    filling: dict[str, None] = {}
    for _key, step in list_runs(tables, view):
        if step.is_best_effort:
            filling[step.image] = None
        elif step.target_ms:
            serving[step.image] = None
    return tuple(
        PairWeight(left, right, _round(get_weight(pressure, left, right)))
        for left in serving
        for right in filling
        if is_learned(pressure, left, right)
    )


def _round(weight: float) -> float:
    return 0 if weight < LEAST_WEIGHT else round(weight, WEIGHT_DIGITS)
