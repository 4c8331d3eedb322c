"""Serving and filling tasks side by side, from the view of the leader."""

from cumintack.coordination.runs.interference_model import (
    MILLI_PER_CORE,
    InterferenceModel,
    Observation,
    get_weight,
    is_learned,
)
from cumintack.coordination.runs.worker_views import (
    WorkerView,
    list_runs_with_steps,
)
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
    latency_critical = []
    for key, step in list_runs_with_steps(tables, view):
        run = view.running.get(key)
        if run is None:
            continue
        if step.is_best_effort:
            used = run.measurement / MILLI_PER_CORE
            cores[step.image] = cores.get(step.image, 0) + used
        elif step.target_ms and run.measurement:
            latency_critical.append(
                (key, step.image, step.target_ms / run.measurement)
            )
    return [
        Observation(*serving_run, cores) for serving_run in latency_critical
    ]


def list_weights(
    tables: WorkflowTables,
    view: WorkerView,
    interference: InterferenceModel,
) -> tuple[PairWeight, ...]:
    """List what was learned of the pairs on a worker.

    Args:
        tables: The workflows.
        view: The worker.
        interference: What was learned.

    Returns:
        The weight of each pair of images placed there that is learned.
    """
    latency_critical: dict[str, None] = {}
    best_effort: dict[str, None] = {}
    for _key, step in list_runs_with_steps(tables, view):
        if step.is_best_effort:
            best_effort[step.image] = None
        elif step.target_ms:
            latency_critical[step.image] = None
    return tuple(
        PairWeight(left, right, _round(get_weight(interference, left, right)))
        for left in latency_critical
        for right in best_effort
        if is_learned(interference, left, right)
    )


def _round(weight: float) -> float:
    return 0 if weight < LEAST_WEIGHT else round(weight, WEIGHT_DIGITS)
