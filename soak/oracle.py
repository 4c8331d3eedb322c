"""Checks what callers and workers observed against the invariants.

The oracle doesn't depend on how the system works. Each ``record_`` function
records one observation and adds a violation if it breaks an invariant;
``check_final_state`` checks the rest when the run is over.
"""

import msgspec

from cumintack.state.resources import Resources, add_resources, fits_within
from cumintack.state.workflows import (
    StepSpec,
    TaskKey,
    format_task_id,
    parse_task_id,
)

# Seconds after the acknowledgement of a cancellation beyond which no task of
# the workflow may start: 3 s are allowed, calls may be executed 12 s late, and
# those of a paused process are later by the length of the pause.
MAX_START_AFTER_CANCEL_S = 25.0
# The same after the acknowledgement of an evacuation: 5 s are allowed, and
# calls are executed late as after a cancellation.
MAX_START_AFTER_EVACUATION_S = 27.0
ZERO = Resources(0, 0)


class ObservedRun(msgspec.Struct):
    """A task run in progress on a worker."""

    worker: str
    number: int
    need: Resources


class ObservedTask(msgspec.Struct):
    """What was observed of a task.

    Attributes:
        active_runs: Runs in progress.
        failures: Number of runs that failed.
        done_runs: Numbers of the runs that completed.
        acknowledged_runs: Those of them whose end the system acknowledged.
        highest_run: Highest number of a run that was started.
        checkpoints: Checkpoints that its runs saved, and the empty one.
    """

    active_runs: list[ObservedRun] = []
    failures: int = 0
    done_runs: set[int] = set()
    acknowledged_runs: set[int] = set()
    highest_run: int = 0
    checkpoints: set[str] = msgspec.field(default_factory=lambda: {''})


class ObservedWorkflow(msgspec.Struct):
    """What was observed of a workflow.

    Attributes:
        program: Program that its tasks must be started with.
        steps: Its steps.
        max_attempts: Failures of one task after which the workflow fails.
        is_accepted: Whether a caller received an acceptance.
        has_unknown_outcome: Whether a submission got no conclusive answer.
        cancelled_at_s: When a cancellation was acknowledged, or None.
        is_cancel_sent: Whether a cancellation was sent.
        status: Status reported last.
        tasks: Its tasks by identifier.
    """

    program: str
    steps: tuple[StepSpec, ...]
    max_attempts: int
    is_accepted: bool = False
    has_unknown_outcome: bool = False
    cancelled_at_s: float | None = None
    is_cancel_sent: bool = False
    status: str = ''
    tasks: dict[str, ObservedTask] = {}


class Violation(msgspec.Struct, frozen=True):
    """A violated invariant.

    Attributes:
        rule: Name of the invariant.
        subject: Task, workflow or other object concerned.
        detail: What was observed.
    """

    rule: str
    subject: str
    detail: str


class History(msgspec.Struct):
    """Everything that was observed in a run.

    Attributes:
        capacities: Capacity of each worker, by the name of its guard.
        data_centres: Data centre of each worker, by the name of its guard.
        workflows: Workflows by identifier.
        acknowledged_version: Highest acknowledged configuration version.
        evacuated_since_s: When the evacuation of a data centre was
            acknowledged, until its end is requested.
        violations: Violated invariants.
        start_count: Number of runs started.
    """

    capacities: dict[str, Resources]
    data_centres: dict[str, str] = {}
    workflows: dict[str, ObservedWorkflow] = {}
    acknowledged_version: int = 0
    evacuated_since_s: dict[str, float] = {}
    violations: list[Violation] = []
    start_count: int = 0


def _add_violation(
    history: History, rule: str, subject: str, detail: str
) -> None:
    history.violations.append(Violation(rule, subject, detail))


def record_submission(
    history: History,
    workflow_id: str,
    workflow: ObservedWorkflow,
) -> None:
    """Record that a caller is about to submit a workflow."""
    history.workflows.setdefault(workflow_id, workflow)


def record_start(
    history: History,
    worker: str,
    started: tuple[str, int, str, str],
    now_s: float,
) -> None:
    """Record the start of a run: task, number, program and checkpoint."""
    task_id, number, program, checkpoint = started
    history.start_count += 1
    key = parse_task_id(task_id)
    workflow = history.workflows.get(key.step_key.workflow_id) if key else None
    if key is None or workflow is None or program != workflow.program:
        _add_violation(
            history,
            'unasked',
            task_id,
            'no workflow with this program was submitted',
        )
        return
    task = workflow.tasks.setdefault(task_id, ObservedTask())
    _check_start(history, workflow, key, task, checkpoint)
    delay_s = now_s - (workflow.cancelled_at_s or now_s)
    if delay_s > MAX_START_AFTER_CANCEL_S:
        _add_violation(
            history,
            'unasked',
            task_id,
            f'{delay_s:.1f} s after its cancellation',
        )
    _check_evacuation(history, worker, task_id, now_s)
    task.highest_run = max(task.highest_run, number)
    need = workflow.steps[key.step_key.step].need
    task.active_runs.append(ObservedRun(worker, number, need))
    _check_capacity(history, worker, task_id)


def _check_start(
    history: History,
    workflow: ObservedWorkflow,
    key: TaskKey,
    task: ObservedTask,
    checkpoint: str,
) -> None:
    task_id = format_task_id(key)
    if task.active_runs:
        workers = [run.worker for run in task.active_runs]
        _add_violation(history, 'twice', task_id, f'already runs on {workers}')
    if task.acknowledged_runs:
        _add_violation(
            history,
            'twice',
            task_id,
            'started after its completion was acknowledged',
        )
    if task.failures >= workflow.max_attempts:
        _add_violation(
            history,
            'budget',
            task_id,
            f'started after {task.failures} failures',
        )
    if checkpoint not in task.checkpoints:
        _add_violation(
            history,
            'unasked',
            task_id,
            'started with a checkpoint of another task',
        )
    step_key = key.step_key
    for dependency in workflow.steps[step_key.step].depends_on:
        dependency_key = msgspec.structs.replace(step_key, step=dependency)
        for index in range(workflow.steps[dependency].task_count):
            dependency_task = workflow.tasks.get(
                format_task_id(TaskKey(dependency_key, index))
            )
            if dependency_task is None or not dependency_task.done_runs:
                _add_violation(
                    history,
                    'order',
                    task_id,
                    f'started before step {dependency} completed',
                )


def _check_evacuation(
    history: History, worker: str, task_id: str, now_s: float
) -> None:
    data_centre = history.data_centres.get(worker, '')
    since_s = history.evacuated_since_s.get(data_centre, now_s)
    if now_s - since_s > MAX_START_AFTER_EVACUATION_S:
        _add_violation(
            history,
            'evacuation',
            task_id,
            f'started in {data_centre} {now_s - since_s:.1f} s after its '
            'evacuation was acknowledged',
        )


def _check_capacity(history: History, worker: str, task_id: str) -> None:
    total = ZERO
    for workflow in history.workflows.values():
        for task in workflow.tasks.values():
            for run in task.active_runs:
                if run.worker == worker:
                    total = add_resources(total, run.need)
    if not fits_within(total, history.capacities[worker]):
        _add_violation(
            history, 'limit', task_id, f'{worker} exceeds its capacity'
        )


def _get_task(history: History, task_id: str) -> ObservedTask:
    key = parse_task_id(task_id)
    assert key is not None
    workflow = history.workflows[key.step_key.workflow_id]
    return workflow.tasks[task_id]


def record_end(history: History, task_id: str, number: int, kind: str) -> None:
    """Record the end of a run on its worker."""
    task = _get_task(history, task_id)
    task.active_runs = [run for run in task.active_runs if run.number != number]
    if kind == 'done':
        task.done_runs.add(number)
    elif kind == 'failed':
        task.failures += 1


def record_acknowledged_end(
    history: History, task_id: str, number: int, kind: str
) -> None:
    """Record that the system acknowledged the end of a run."""
    task = _get_task(history, task_id)
    if kind != 'done':
        return
    task.acknowledged_runs.add(number)
    if task.highest_run > number:
        _add_violation(
            history,
            'twice',
            task_id,
            'restarted before its completion was acknowledged',
        )


def record_answer(
    history: History,
    workflow_id: str,
    status: int | None,
) -> None:
    """Record the answer to a submission; None if there was none."""
    workflow = history.workflows[workflow_id]
    if status is None or status in {502, 504}:
        workflow.has_unknown_outcome = True
    elif status < 300:
        workflow.is_accepted = True


def record_status(history: History, workflow_id: str, status: str) -> None:
    """Record the status that a caller received; ``gone`` if unknown."""
    workflow = history.workflows[workflow_id]
    workflow.status = status
    match status:
        case 'gone' if workflow.is_accepted and not workflow.is_cancel_sent:
            _add_violation(history, 'lost', workflow_id, 'reported as unknown')
        case 'completed':
            _check_completed(history, workflow_id, workflow)
        case 'failed':
            failures = [task.failures for task in workflow.tasks.values()]
            if max(failures, default=0) < workflow.max_attempts:
                _add_violation(
                    history,
                    'lost',
                    workflow_id,
                    f'failed, with failures per task {failures}',
                )


def _check_completed(
    history: History,
    workflow_id: str,
    workflow: ObservedWorkflow,
) -> None:
    for task_id in _list_task_ids(workflow_id, workflow):
        task = workflow.tasks.get(task_id)
        if task is None or not task.done_runs:
            _add_violation(
                history, 'mixed', workflow_id, f'{task_id} is not completed'
            )


def _list_task_ids(workflow_id: str, workflow: ObservedWorkflow) -> list[str]:
    return [
        f'{workflow_id}.0.{position}.{index}'
        for position, step in enumerate(workflow.steps)
        for index in range(step.task_count)
    ]


def record_version_read(
    history: History, min_version: int, version: int
) -> None:
    """Record a read sent after ``min_version`` was acknowledged."""
    if version < min_version:
        detail = f'read {version} after {min_version} was acknowledged'
        _add_violation(history, 'config', 'queues', detail)


def is_pending(workflow: ObservedWorkflow) -> bool:
    """Return whether an accepted, uncancelled workflow has yet to end."""
    is_ended = workflow.status in {'completed', 'failed', 'cancelled'}
    must_end = workflow.is_accepted and not workflow.is_cancel_sent
    return must_end and not is_ended


def check_final_state(history: History) -> list[Violation]:
    """Check the invariants that can only be checked after the run.

    Args:
        history: Everything that was observed.

    Returns:
        All violations, including those found during the run.
    """
    for workflow_id, workflow in history.workflows.items():
        if is_pending(workflow):
            detail = f'accepted, but still {workflow.status or "unknown"}'
            _add_violation(history, 'lost', workflow_id, detail)
        is_refused = (
            not workflow.is_accepted and not workflow.has_unknown_outcome
        )
        if is_refused and any(
            task.highest_run for task in workflow.tasks.values()
        ):
            _add_violation(
                history, 'refused', workflow_id, 'refused, but started'
            )
    return history.violations
