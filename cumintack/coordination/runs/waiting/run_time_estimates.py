"""Estimates of run times from what callers declare and what runs show.

Callers declare the run time of a step, and may be wrong by a factor of several.
The progress of a run shows its true run time after about a second, and the
tasks of a step need about the same. For a step without an observation, the
declared time and the mean of its queue are combined, each weighted by how well
it has predicted the steps of this queue so far. Both are taken as logarithms,
since declared times err by factors.

Only best-effort runs are observed: they wait for room, and their progress is
known as seconds at full speed. The state is soft; a new leader relearns it from
the progress of the present runs.
"""

import math

import msgspec

from cumintack.coordination.runs.worker_views import (
    PlacedRuns,
    RunProgress,
    WorkerView,
)
from cumintack.state.queues import Queue
from cumintack.state.workflows import StepKey, WorkflowTables, get_step

# Percent of progress from which a run time is extrapolated: with the usual 4%
# of a report, the error is below a fifth.
MIN_MEASURED_PERCENT = 20
# Observed steps of a queue from which its statistics count.
MIN_STEPS = 4.0
# Variance of a logarithm below which no prediction is trusted to be: the tasks
# of one step differ by a quarter.
MIN_VARIANCE = 0.06
# Seconds in which the weight of an observed step halves; the work of callers
# changes within minutes.
HALF_LIFE_S = 120.0
HALF = 0.5
MS_PER_S = 1000
FULL_PERCENT = 100
MIN_RUN_TIME_S = 0.01


class Moments(msgspec.Struct):
    """Decayed sums of observed logarithms.

    Attributes:
        weight: Number of the observations, of which earlier ones count less.
        total: Sum of the logarithms.
        squares: Sum of their squares.
    """

    weight: float = 0
    total: float = 0
    squares: float = 0


class QueueStatistics(msgspec.Struct):
    """Observed run times of the steps of one queue.

    Attributes:
        updated_at_s: When the weights were last reduced.
        run_times: Logarithms of the observed run times.
        errors: Logarithms of observed over declared run times.
    """

    updated_at_s: float
    run_times: Moments = msgspec.field(default_factory=Moments)
    errors: Moments = msgspec.field(default_factory=Moments)


class LearnedRunTime(msgspec.Struct, frozen=True):
    """The first observation of a step, for the log."""

    step_key: StepKey
    declared_s: float
    observed_s: float


class RunTimeModel(msgspec.Struct):
    """Observed run times.

    Attributes:
        steps: Run time in seconds of the latest observed runs of a step, by
            task identifier.
        queues: Statistics by host and path prefix of the queue.
        learned: First observations since they were last logged.
    """

    steps: dict[StepKey, dict[str, float]] = {}
    queues: dict[tuple[str, str], QueueStatistics] = {}
    learned: list[LearnedRunTime] = []


def observe_run_times(
    model: RunTimeModel,
    tables: WorkflowTables,
    placed_runs: PlacedRuns,
    view: WorkerView,
    now_s: float,
) -> None:
    """Learn from the progress of the best-effort runs of a worker.

    Args:
        model: The model, changed in place.
        tables: The replicated workflow tables.
        placed_runs: The recorded runs on the worker.
        view: The worker as last reported, with the progress of its runs.
        now_s: Current time of the monotonic clock, in seconds.
    """
    for key, progress in view.progress_by_run.items():
        placed = placed_runs.get(key.task_id)
        run_time_s = extrapolate_run_time_s(progress)
        if placed is None or run_time_s is None:
            continue
        step_key = placed.task.step_key
        if step_key not in model.steps:
            model.steps[step_key] = {}
            _learn(model, tables, step_key, run_time_s, now_s)
        model.steps[step_key][key.task_id] = run_time_s


def extrapolate_run_time_s(progress: RunProgress) -> float | None:
    """Extrapolate the run time of a run at full speed from its progress.

    Args:
        progress: The progress.

    Returns:
        The time in seconds, None while too little of the run was seen.
    """
    measured_percent = progress.percent - progress.first_percent
    if measured_percent < MIN_MEASURED_PERCENT:
        return None
    run_time_s = progress.work_s * FULL_PERCENT / measured_percent
    return max(MIN_RUN_TIME_S, run_time_s)


def _learn(
    model: RunTimeModel,
    tables: WorkflowTables,
    step_key: StepKey,
    run_time_s: float,
    now_s: float,
) -> None:
    workflow = tables.workflows[step_key.workflow_id]
    statistics = model.queues.setdefault(
        _get_queue_key(workflow.queue), QueueStatistics(now_s)
    )
    decay = HALF ** ((now_s - statistics.updated_at_s) / HALF_LIFE_S)
    statistics.updated_at_s = now_s
    _scale(statistics.run_times, decay)
    _scale(statistics.errors, decay)
    _add(statistics.run_times, math.log(run_time_s))
    declared_s = get_step(tables, step_key).estimate_ms / MS_PER_S
    if declared_s > 0:
        _add(statistics.errors, math.log(run_time_s / declared_s))
    model.learned.append(LearnedRunTime(step_key, declared_s, run_time_s))


def _add(moments: Moments, log: float) -> None:
    moments.weight += 1
    moments.total += log
    moments.squares += log * log


def _scale(moments: Moments, factor: float) -> None:
    moments.weight *= factor
    moments.total *= factor
    moments.squares *= factor


def _get_queue_key(queue: Queue) -> tuple[str, str]:
    return (queue.host, queue.path_prefix)


def estimate_run_time_s(
    model: RunTimeModel, tables: WorkflowTables, step_key: StepKey
) -> float:
    """Estimate the run time of a task of a step at full speed.

    Args:
        model: The model.
        tables: The replicated workflow tables.
        step_key: The step.

    Returns:
        The time in seconds: the mean of the observed runs of the step, or what
        the declared time and its queue predict.
    """
    observed_s = model.steps.get(step_key)
    if observed_s:
        return sum(observed_s.values()) / len(observed_s)
    step = get_step(tables, step_key)
    declared_s = step.estimate_ms / MS_PER_S
    queue = tables.workflows[step_key.workflow_id].queue
    statistics = model.queues.get(_get_queue_key(queue))
    if statistics is None or not step.is_best_effort:
        return declared_s
    if statistics.run_times.weight < MIN_STEPS:
        return declared_s
    return _combine(statistics, declared_s)


def _combine(statistics: QueueStatistics, declared_s: float) -> float:
    """Weight the predictions by the inverse of their variances."""
    mean, precision = _summarise(statistics.run_times)
    if declared_s > 0 and statistics.errors.weight >= MIN_STEPS:
        error, declared_precision = _summarise(statistics.errors)
        weighted_log = mean * precision
        weighted_log += (math.log(declared_s) + error) * declared_precision
        precision += declared_precision
        mean = weighted_log / precision
    return math.exp(mean)


def _summarise(moments: Moments) -> tuple[float, float]:
    """Return the mean and the inverse of the variance."""
    mean = moments.total / moments.weight
    variance = moments.squares / moments.weight - mean * mean
    return mean, 1 / max(MIN_VARIANCE, variance)


def prune_run_times(model: RunTimeModel, tables: WorkflowTables) -> None:
    """Remove the observed steps of workflows that have ended.

    Args:
        model: The model, changed in place.
        tables: The replicated workflow tables.
    """
    for step_key in list(model.steps):
        if step_key.workflow_id not in tables.index.active:
            model.steps.pop(step_key)
