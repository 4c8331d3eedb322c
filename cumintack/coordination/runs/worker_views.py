"""State of the leader about each worker, and the usage of its capacity."""

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

# Seconds without a report after which nothing is placed on a worker: two
# reports that were due, with some time to reconnect a link.
REPORT_TIMEOUT_S = 1.5
# Share of their reserved CPU that latency-critical tasks use, including peaks.
LATENCY_CRITICAL_SHARE = 0.6
# Margin assumed for a latency-critical task that reports no latency yet: that
# of a task at half load.
DEFAULT_MARGIN = 2.5
MILLI_PER_CORE = 1000
# Prefix of the label that names a rack; a digit follows.
RACK_LABEL_PREFIX = 'r'


class PlacedRun(msgspec.Struct, frozen=True):
    """A recorded run on a worker.

    Attributes:
        key: The run.
        task: Its task.
        record: The record of the task.
        step: The specification of its step.
    """

    key: RunKey
    task: TaskKey
    record: TaskRecord
    step: StepSpec


# The recorded runs on one worker, by task identifier.
PlacedRuns = dict[str, PlacedRun]


class ProgressMark(msgspec.Struct):
    """Progress of a run when it last advanced."""

    percent: float
    at_s: float


class RunProgress(msgspec.Struct):
    """Progress of a best-effort run, from the reports since it was first seen.

    Attributes:
        at_s: When it was last reported.
        first_percent: Progress in percent when it was first seen.
        percent: Latest progress in percent.
        work_s: Work done since it was first seen, in seconds at full speed.
        speed: Mean share of its full speed.
        slow_since_s: Since when it is slow, None while it is not.
    """

    at_s: float
    first_percent: float
    percent: float = 0
    work_s: float = 0
    speed: float = 1
    slow_since_s: float | None = None


class WorkerView(msgspec.Struct):
    """A worker as last reported by its guard.

    Attributes:
        guard: Name of the guard.
        facts: The worker info.
        last_report_at_s: When the latest report arrived.
        sent_at_s: Time of the guard's clock in the latest report.
        up_since_s: When the first report of this incarnation arrived.
        granted_until_s: Latest end of the leases granted to it.
        unsure_for_s: How long after the report unanswered calls may still
            take effect.
        guard_incarnation: The process of the guard that has reported last.
        is_usable: Whether the worker answers and has listed its runs.
        is_guard_restarted: Whether calls of a previous process of the guard
            may still take effect.
        is_evacuated: Whether its data centre is being evacuated.
        is_unhealthy: Whether it said last that it is unhealthy.
        fence: Number of the latest fence given to the guard.
        accepts_from_s: When new runs may be placed on it, at the earliest.
        running: Runs that it lists as running.
        earlier_running: Recorded runs as earlier incarnations last listed
            them, for their checkpoints.
        runs_with_details: Runs whose details the guard holds.
        ended: Ends that are not yet acknowledged.
        excluded_until_s: Until when nothing is placed on it.
        failures: Times of recent failures.
        trial_placed_at_s: When a task was last placed on it.
        observed_at_s: When its latencies were last added to the interference
            model.
        progress_marks: The latest progress of each run.
        progress_by_run: The progress of each best-effort run.
        listed_since_s: Time of the guard's clock in the first report that
            lists each run.
        started_by_s: Time of the guard's clock by which the last start of each
            listed run was made; minus infinity once all are answered.
        isolated_for: Workflow whose suspected tasks alone may be placed on it,
            empty if none.
        isolated_until_s: Until when it waits for their start.
    """

    guard: str
    facts: WorkerInfo
    last_report_at_s: float
    sent_at_s: float
    up_since_s: float = float('-inf')
    granted_until_s: float = float('-inf')
    unsure_for_s: float = 0
    guard_incarnation: str = ''
    is_usable: bool = False
    is_guard_restarted: bool = False
    is_evacuated: bool = False
    is_unhealthy: bool = False
    fence: int = 0
    accepts_from_s: float = float('-inf')
    running: dict[RunKey, RunningRun] = {}
    earlier_running: dict[RunKey, RunningRun] = {}
    runs_with_details: set[RunKey] = set()
    ended: tuple[EndedRun, ...] = ()
    excluded_until_s: float = float('-inf')
    failures: list[float] = []
    trial_placed_at_s: float = float('-inf')
    observed_at_s: float = float('-inf')
    progress_marks: dict[RunKey, ProgressMark] = {}
    progress_by_run: dict[RunKey, RunProgress] = {}
    listed_since_s: dict[RunKey, float] = {}
    started_by_s: dict[RunKey, float] = {}
    isolated_for: str = ''
    isolated_until_s: float = float('-inf')


class WorkerUsage(msgspec.Struct):
    """Used capacity of one worker.

    Attributes:
        reserved: Resources that the worker counts against its capacity.
        best_effort_milli: CPU that best-effort tasks request, in milli-cores.
        latency_critical_milli: CPU that latency-critical tasks reserve, in
            milli-cores.
        latency_margins: Image of each latency-critical task, with its margin:
            the latency target divided by the tail latency.
        unmeasured_cores: CPU of best-effort tasks whose interference the
            margins do not include yet, by image.
        task_count_by_step: Number of tasks of each step.
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
        worker_info: The worker info.

    Returns:
        The label that names its rack, empty if none does.
    """
    for label in worker_info.labels:
        if label.startswith(RACK_LABEL_PREFIX) and label[1:2].isdigit():
            return label
    return ''


def get_reserved_resources(step: StepSpec) -> Resources:
    """Get the resources that a task reserves on its worker.

    Args:
        step: The step.

    Returns:
        The need of the task, without CPU if it is best-effort.
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
    """Add a task to the usage of a worker.

    Args:
        usage: The usage, changed in place.
        key: The step of the task.
        step: The specification of the step.
        run: The run as the worker lists it, None if it is not listed yet.
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


def list_placed_runs(tables: WorkflowTables, guard: str) -> PlacedRuns:
    """List the recorded runs on the worker of a guard.

    Args:
        tables: The replicated workflow tables.
        guard: The name of the guard.

    Returns:
        The runs by task identifier.
    """
    placed_runs = {}
    for task_id, task in tables.index.placed.get(guard, {}).items():
        placed = create_placed_run(tables, task_id, task)
        if placed is not None:
            placed_runs[task_id] = placed
    return placed_runs


def create_placed_run(
    tables: WorkflowTables, task_id: str, task: TaskKey
) -> PlacedRun | None:
    """Create the description of the recorded run of a task.

    Args:
        tables: The replicated workflow tables.
        task_id: The identifier of the task.
        task: The task.

    Returns:
        The run, None if there is no such task.
    """
    record = get_task(tables, task)
    if record is None:
        return None
    step = get_step(tables, task.step_key)
    return PlacedRun(RunKey(task_id, record.run), task, record, step)


def compute_usage(view: WorkerView, placed_runs: PlacedRuns) -> WorkerUsage:
    """Compute the usage of a worker by its recorded runs.

    Args:
        view: The worker as last reported.
        placed_runs: The recorded runs on it.

    Returns:
        Its usage.
    """
    usage = WorkerUsage()
    for placed in placed_runs.values():
        run = view.running.get(placed.key)
        add_task_usage(usage, placed.task.step_key, placed.step, run)
    return usage


def compute_free_resources(view: WorkerView, usage: WorkerUsage) -> Resources:
    """Compute the free resources of a worker.

    Args:
        view: The worker as last reported.
        usage: The usage of the worker.

    Returns:
        The free resources; a dimension may be negative.
    """
    return subtract_resources(view.facts.holds, usage.reserved)


def compute_unused_millicores(view: WorkerView, usage: WorkerUsage) -> float:
    """Compute the CPU that further best-effort tasks could use.

    Args:
        view: The worker as last reported.
        usage: The usage of the worker.

    Returns:
        The CPU in milli-cores, possibly negative.
    """
    free = compute_free_resources(view, usage)
    idle = usage.latency_critical_milli * (1 - LATENCY_CRITICAL_SHARE)
    return free.cores_milli + idle - usage.best_effort_milli


def is_schedulable(view: WorkerView, now_s: float) -> bool:
    """Tell whether new tasks may be placed on a worker.

    Args:
        view: The worker as last reported.
        now_s: Current time of the monotonic clock, in seconds.

    Returns:
        False while the worker is silent, unusable, draining, evacuated,
        excluded or isolated.
    """
    return not view.isolated_for and is_available(view, now_s)


def is_available(view: WorkerView, now_s: float) -> bool:
    """Tell whether a worker may run new tasks at all.

    Args:
        view: The worker as last reported.
        now_s: Current time of the monotonic clock, in seconds.

    Returns:
        Like ``is_schedulable``, also for an isolated worker.
    """
    return (
        view.is_usable
        and not view.facts.is_draining
        and not view.is_evacuated
        and now_s - view.last_report_at_s <= REPORT_TIMEOUT_S
        and now_s >= view.excluded_until_s
        and now_s >= view.accepts_from_s
    )
