"""What callers and workers saw, held against the promises.

Nothing here knows how the system works. Each ``take_`` function records one
thing that was seen and adds a violation if it breaks a promise; the rest is
judged by ``judge_end`` when the run is over.
"""

import msgspec

from cumintack.state.resources import Resources, add_resources, fits_within
from cumintack.state.workflows import (
    StepSpec,
    TaskKey,
    format_task_id,
    parse_task_id,
)

# Seconds after the acknowledgement of a cancel beyond which nothing of the
# workflow may start: 3 s are allowed, calls may be carried out 12 s late, and
# the calls of a process that was paused come later by as much.
CANCEL_S = 25.0
ZERO = Resources(0, 0)


class SeenRun(msgspec.Struct):
    """A run on a worker."""

    worker: str
    number: int
    need: Resources


class SeenTask(msgspec.Struct):
    """What was seen of a task.

    Attributes:
        live: Runs in progress.
        failures: Runs that ended as failed.
        done_runs: Runs that ended as done.
        settled_runs: Those of them that the system took note of.
        last_run: Highest number of a run that was started.
        checkpoints: What its runs saved.
    """

    live: list[SeenRun] = []
    failures: int = 0
    done_runs: set[int] = set()
    settled_runs: set[int] = set()
    last_run: int = 0
    checkpoints: set[str] = msgspec.field(default_factory=lambda: {''})


class SeenWorkflow(msgspec.Struct):
    """What was seen of a workflow.

    Attributes:
        program: Text that its tasks must be started with.
        steps: Its steps.
        attempts: Failures of one task that fail it.
        is_accepted: Whether a caller was told so.
        has_doubt: Whether a caller was left without a clear answer.
        cancelled_at_s: When a cancel was acknowledged; None if none was.
        is_cancel_sent: Whether a cancel was sent at all.
        status: The status shown last.
        tasks: Its tasks by identifier.
    """

    program: str
    steps: tuple[StepSpec, ...]
    attempts: int
    is_accepted: bool = False
    has_doubt: bool = False
    cancelled_at_s: float | None = None
    is_cancel_sent: bool = False
    status: str = ''
    tasks: dict[str, SeenTask] = {}


class Violation(msgspec.Struct, frozen=True):
    """A broken promise.

    Attributes:
        rule: Name of the promise.
        subject: What it is about.
        detail: What was seen.
    """

    rule: str
    subject: str
    detail: str


class Record(msgspec.Struct):
    """Everything that was seen.

    Attributes:
        holds: What each worker holds.
        workflows: Workflows by identifier.
        acknowledged_version: Highest version of queues acknowledged.
        violations: Broken promises.
        start_count: Starts seen.
    """

    holds: dict[str, Resources]
    workflows: dict[str, SeenWorkflow] = {}
    acknowledged_version: int = 0
    violations: list[Violation] = []
    start_count: int = 0


def _report(record: Record, rule: str, subject: str, detail: str) -> None:
    record.violations.append(Violation(rule, subject, detail))


def take_submission(
    record: Record,
    workflow_id: str,
    workflow: SeenWorkflow,
) -> None:
    """Record that a caller is about to hand a workflow in."""
    record.workflows.setdefault(workflow_id, workflow)


def take_start(
    record: Record,
    worker: str,
    started: tuple[str, int, str, str],
    now_s: float,
) -> None:
    """Record a start: task, run number, program and checkpoint."""
    task_id, number, program, checkpoint = started
    record.start_count += 1
    key = parse_task_id(task_id)
    workflow = record.workflows.get(key.step_key.workflow_id) if key else None
    if key is None or workflow is None or program != workflow.program:
        _report(record, 'unasked', task_id, 'nobody handed it in like this')
        return
    task = workflow.tasks.setdefault(task_id, SeenTask())
    _check_start(record, workflow, key, task, checkpoint)
    late_s = now_s - (workflow.cancelled_at_s or now_s)
    if late_s > CANCEL_S:
        _report(record, 'unasked', task_id, f'{late_s:.1f} s after its cancel')
    task.last_run = max(task.last_run, number)
    need = workflow.steps[key.step_key.step].need
    task.live.append(SeenRun(worker, number, need))
    _check_room(record, worker, task_id)


def _check_start(
    record: Record,
    workflow: SeenWorkflow,
    key: TaskKey,
    task: SeenTask,
    checkpoint: str,
) -> None:
    task_id = format_task_id(key)
    if task.live:
        holders = [run.worker for run in task.live]
        _report(record, 'twice', task_id, f'runs on {holders} already')
    if task.settled_runs:
        _report(record, 'twice', task_id, 'it was done and taken note of')
    if task.failures >= workflow.attempts:
        _report(record, 'budget', task_id, f'failed {task.failures} times')
    if checkpoint not in task.checkpoints:
        _report(record, 'unasked', task_id, 'a checkpoint of another task')
    step_key = key.step_key
    for earlier in workflow.steps[step_key.step].depends_on:
        before = msgspec.structs.replace(step_key, step=earlier)
        for index in range(workflow.steps[earlier].task_count):
            needed = workflow.tasks.get(format_task_id(TaskKey(before, index)))
            if needed is None or not needed.done_runs:
                _report(record, 'order', task_id, f'step {earlier} is not done')


def _check_room(record: Record, worker: str, task_id: str) -> None:
    total = ZERO
    for workflow in record.workflows.values():
        for task in workflow.tasks.values():
            for run in task.live:
                if run.worker == worker:
                    total = add_resources(total, run.need)
    if not fits_within(total, record.holds[worker]):
        _report(record, 'limit', task_id, f'{worker} is over what it holds')


def _get_task(record: Record, task_id: str) -> SeenTask:
    key = parse_task_id(task_id)
    assert key is not None
    workflow = record.workflows[key.step_key.workflow_id]
    return workflow.tasks[task_id]


def take_end(record: Record, task_id: str, number: int, kind: str) -> None:
    """Record the end of a run on its worker."""
    task = _get_task(record, task_id)
    task.live = [run for run in task.live if run.number != number]
    if kind == 'done':
        task.done_runs.add(number)
    elif kind == 'failed':
        task.failures += 1


def take_settled(record: Record, task_id: str, number: int, kind: str) -> None:
    """Record that the system has taken note of an end."""
    task = _get_task(record, task_id)
    if kind != 'done':
        return
    task.settled_runs.add(number)
    if task.last_run > number:
        _report(record, 'twice', task_id, 'started again before this was noted')


def take_answer(
    record: Record,
    workflow_id: str,
    status: int | None,
) -> None:
    """Record how a submission was answered, None for no answer."""
    workflow = record.workflows[workflow_id]
    if status is None or status in {502, 504}:
        workflow.has_doubt = True
    elif status < 300:
        workflow.is_accepted = True


def take_status(record: Record, workflow_id: str, status: str) -> None:
    """Record the status that a caller was shown, ``gone`` for none."""
    workflow = record.workflows[workflow_id]
    workflow.status = status
    match status:
        case 'gone' if workflow.is_accepted and not workflow.is_cancel_sent:
            _report(record, 'lost', workflow_id, 'shown as unknown')
        case 'completed':
            _check_completed(record, workflow_id, workflow)
        case 'failed':
            failures = [task.failures for task in workflow.tasks.values()]
            if max(failures, default=0) < workflow.attempts:
                _report(record, 'lost', workflow_id, f'failed by {failures}')


def _check_completed(
    record: Record,
    workflow_id: str,
    workflow: SeenWorkflow,
) -> None:
    for task_id in _iter_tasks(workflow_id, workflow):
        task = workflow.tasks.get(task_id)
        if task is None or not task.done_runs:
            _report(record, 'mixed', workflow_id, f'{task_id} is not done')


def _iter_tasks(workflow_id: str, workflow: SeenWorkflow) -> list[str]:
    return [
        f'{workflow_id}.0.{position}.{index}'
        for position, step in enumerate(workflow.steps)
        for index in range(step.task_count)
    ]


def take_version_read(record: Record, least: int, version: int) -> None:
    """Record a read of the queues, sent when ``least`` was acknowledged."""
    if version < least:
        detail = f'read {version} after {least} was acknowledged'
        _report(record, 'config', 'queues', detail)


def is_open(workflow: SeenWorkflow) -> bool:
    """Return whether a workflow still owes its callers an end."""
    is_over = workflow.status in {'completed', 'failed', 'cancelled'}
    is_owed = workflow.is_accepted and not workflow.is_cancel_sent
    return is_owed and not is_over


def judge_end(record: Record) -> list[Violation]:
    """Judge what can only be told when nothing more will happen.

    Args:
        record: Everything that was seen.

    Returns:
        All broken promises.
    """
    for workflow_id, workflow in record.workflows.items():
        if is_open(workflow):
            detail = f'accepted and left {workflow.status or "unknown"}'
            _report(record, 'lost', workflow_id, detail)
        is_refused = not workflow.is_accepted and not workflow.has_doubt
        if is_refused and any(
            task.last_run for task in workflow.tasks.values()
        ):
            _report(record, 'refused', workflow_id, 'refused, and run')
    return record.violations
