"""What the leader knows of each worker, and how much room is left there."""

import msgspec

from cumintack.protocol.run_messages import (
    EndedRun,
    RunKey,
    RunningRun,
    WorkerInfo,
)
from cumintack.state.resources import (
    ZERO_RESOURCES,
    Resources,
    add_resources,
    subtract_resources,
)
from cumintack.state.workflows import (
    StepKey,
    StepSpec,
    TaskKey,
    TaskRecord,
    WorkflowTables,
    get_step,
    get_task,
)

# Seconds without a report after which nothing is placed on a worker; two
# reports that were due, with room for a link that is dialled anew.
REPORT_TIMEOUT_S = 1.5
# Share of what serving tasks reserve that they use, with their swings.
LATENCY_CRITICAL_SHARE = 0.6
# Margin assumed of a serving task that is not at work yet: half its load.
DEFAULT_MARGIN = 2.5
MILLI_PER_CORE = 1000
# Start of the label that names a rack.
RACK_LABEL_PREFIX = 'r'


class WorkerView(msgspec.Struct):
    """A worker as its guard reported it.

    Attributes:
        guard: Name of the guard.
        facts: The worker.
        last_report_at_s: When the latest report arrived.
        sent_at_s: Clock of the guard in it.
        granted_until_s: Until when its lease may run.
        unsure_for_s: How long after the report unanswered calls may act.
        is_usable: Whether the worker answers and showed its runs.
        running: Runs that it holds.
        runs_with_details: Runs whose details the guard holds.
        ended: Ends not known to be recorded.
        excluded_until_s: Until when nothing new is placed there.
        failures: Times of recent failures.
        trial_placed_at_s: When a task was last placed there after failures.
        observed_at_s: When its tail latencies were last learned from.
    """

    guard: str
    facts: WorkerInfo
    last_report_at_s: float
    sent_at_s: float
    granted_until_s: float = float('-inf')
    unsure_for_s: float = 0
    is_usable: bool = False
    running: dict[RunKey, RunningRun] = {}
    runs_with_details: set[RunKey] = set()
    ended: tuple[EndedRun, ...] = ()
    excluded_until_s: float = float('-inf')
    failures: list[float] = []
    trial_placed_at_s: float = float('-inf')
    observed_at_s: float = float('-inf')


class WorkerUsage(msgspec.Struct):
    """What is taken on one worker.

    Attributes:
        reserved: Resources that the worker counts against what it holds.
        best_effort_milli: Processor share that filling tasks would like.
        latency_critical_milli: Processor share that serving tasks reserved.
        latency_margins: Image of each serving task, with its target over its
            latency.
        unmeasured_cores: Processor time of filling tasks that the latencies do
            not show yet, by image.
        task_count_by_step: Tasks of each step.
    """

    reserved: Resources = ZERO_RESOURCES
    best_effort_milli: int = 0
    latency_critical_milli: int = 0
    latency_margins: list[tuple[str, float]] = []
    unmeasured_cores: dict[str, float] = {}
    task_count_by_step: dict[StepKey, int] = {}


def get_rack(worker_info: WorkerInfo) -> str:
    """Get the rack of a worker.

    Args:
        worker_info: The worker.

    Returns:
        The label that names its rack, empty if none does.
    """
    for label in worker_info.labels:
        if label.startswith(RACK_LABEL_PREFIX) and label[1:2].isdigit():
            return label
    return ''


def get_reserved_resources(step: StepSpec) -> Resources:
    """Get what a task of a step takes of what a worker holds.

    Args:
        step: The step.

    Returns:
        Its need, without the processor share if it only fills.
    """
    if step.is_best_effort:
        return msgspec.structs.replace(step.need, cores_milli=0)
    return step.need


def add_task_usage(
    usage: WorkerUsage,
    key: StepKey,
    step: StepSpec,
    run: RunningRun | None = None,
) -> None:
    """Count a task into a room.

    Args:
        usage: The room, changed in place.
        key: Its step.
        step: What was asked for.
        run: What the worker shows of it, None if nothing yet.
    """
    usage.reserved = add_resources(usage.reserved, get_reserved_resources(step))
    if step.is_best_effort:
        usage.best_effort_milli += step.need.cores_milli
        if run is None:
            cores = step.need.cores_milli / MILLI_PER_CORE
            image_cores = usage.unmeasured_cores.get(step.image, 0)
            usage.unmeasured_cores[step.image] = image_cores + cores
    if step.target_ms:
        margin = DEFAULT_MARGIN
        if run is not None and run.measurement:
            margin = step.target_ms / run.measurement
        usage.latency_margins.append((step.image, margin))
        usage.latency_critical_milli += step.need.cores_milli
    usage.task_count_by_step[key] = usage.task_count_by_step.get(key, 0) + 1


def list_placed_runs(
    tables: WorkflowTables,
    guard: str,
) -> list[tuple[RunKey, TaskKey, TaskRecord]]:
    """List the recorded runs beside a guard with their tasks.

    Args:
        tables: The workflows.
        guard: The guard.

    Returns:
        Each run with its task and the record of that.
    """
    placed = []
    for task_id, key in tables.index.placed.get(guard, {}).items():
        record = get_task(tables, key)
        if record is not None:
            placed.append((RunKey(task_id, record.run), key, record))
    return placed


def list_runs_with_steps(
    tables: WorkflowTables,
    view: WorkerView,
) -> list[tuple[RunKey, StepSpec]]:
    """List the recorded runs of a worker.

    Args:
        tables: The workflows.
        view: The worker.

    Returns:
        Each run with what was asked for.
    """
    return [
        (key, get_step(tables, task.step_key))
        for key, task, _record in list_placed_runs(tables, view.guard)
    ]


def compute_usage_by_guard(
    tables: WorkflowTables,
    views: dict[str, WorkerView],
) -> dict[str, WorkerUsage]:
    """Compute what is taken on each worker by the recorded runs.

    Args:
        tables: The workflows.
        views: The workers by guard.

    Returns:
        The room of each worker by guard.
    """
    usage_by_guard: dict[str, WorkerUsage] = {}
    for guard, view in views.items():
        usage = WorkerUsage()
        for key, task, _record in list_placed_runs(tables, guard):
            step = get_step(tables, task.step_key)
            add_task_usage(usage, task.step_key, step, view.running.get(key))
        usage_by_guard[guard] = usage
    return usage_by_guard


def compute_free_resources(view: WorkerView, usage: WorkerUsage) -> Resources:
    """Compute what a worker has left.

    Args:
        view: The worker.
        usage: What is taken on it.

    Returns:
        The rest, maybe negative in a dimension.
    """
    return subtract_resources(view.facts.holds, usage.reserved)


def compute_unused_millicores(view: WorkerView, usage: WorkerUsage) -> float:
    """Compute the processor time that filling tasks could still get.

    Args:
        view: The worker.
        usage: What is taken on it.

    Returns:
        Milli-cores, maybe negative.
    """
    free = compute_free_resources(view, usage)
    idle = usage.latency_critical_milli * (1 - LATENCY_CRITICAL_SHARE)
    return free.cores_milli + idle - usage.best_effort_milli


def is_schedulable(view: WorkerView, now_s: float) -> bool:
    """Tell whether new tasks may go to a worker.

    Args:
        view: The worker.
        now_s: The time.

    Returns:
        False while it is silent, draining or shunned.
    """
    return (
        view.is_usable
        and not view.facts.is_draining
        and now_s - view.last_report_at_s <= REPORT_TIMEOUT_S
        and now_s >= view.excluded_until_s
    )
