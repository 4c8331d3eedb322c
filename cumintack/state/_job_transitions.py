"""State transitions of teams, workers, jobs and tasks.

Placements are checked here again against the capacity of the worker and the
quota of the team, so that a stale proposal of a former leader never
overcommits a worker.
"""

import msgspec

from cumintack.state.commands import (
    CancelJobs,
    HoldJob,
    MarkWorker,
    Outcome,
    PlaceTasks,
    RegisterWorkers,
    ReportTasks,
    SetTeam,
)
from cumintack.state.errors import ErrorCode, StepError
from cumintack.state.jobs import (
    FINAL_STATUSES,
    OCCUPYING_STATUSES,
    Job,
    JobSpec,
    JobStatus,
    Placement,
    Task,
    TaskReport,
    TaskStatus,
    apply_placement,
    apply_report,
)
from cumintack.state.resources import (
    ZERO_RESOURCES,
    add_resources,
    describe_shortfalls,
    fits_within,
    subtract_resources,
)
from cumintack.state.tables import ControlTables, DerivedTables
from cumintack.state.workers import (
    Worker,
    get_batch_capacity,
    is_schedulable,
)

MAX_TASKS_PER_JOB = 20000
SUBMIT_STEP = 'job.submit'


def rebuild_derived(tables: ControlTables) -> None:
    """Rebuild the derived tables from the records.

    Args:
        tables: The replicated state, whose derived tables are replaced.
    """
    tables.derived = DerivedTables()
    for task in tables.tasks.values():
        if task.status in OCCUPYING_STATUSES:
            _reserve(tables, task)
    tables.derived.changed_tasks.update(dict.fromkeys(tables.tasks))
    tables.derived.changed_workers.update(dict.fromkeys(tables.workers))


def set_team(tables: ControlTables, index: int, team: SetTeam) -> Outcome:
    """Create or change a team.

    Args:
        tables: The replicated state, modified in place.
        index: Index of the log entry.
        team: The team with its quota and fair share.

    Returns:
        The name of the team, or an error.
    """
    if team.share <= 0:
        return _create_invalid_outcome(
            index, 'team.set', team.name, 'share must be over 0'
        )
    tables.teams[team.name] = team
    return Outcome(index, names=(team.name,))


def register_workers(
    tables: ControlTables,
    index: int,
    operation: RegisterWorkers,
) -> Outcome:
    """Register workers; known ones keep their drain and quarantine marks.

    Args:
        tables: The replicated state, modified in place.
        index: Index of the log entry.
        operation: The workers to register.

    Returns:
        The names of the workers.
    """
    for spec in operation.workers:
        registered = tables.workers.get(spec.name)
        worker = (
            msgspec.structs.replace(registered, spec=spec)
            if registered
            else Worker(spec)
        )
        tables.workers[spec.name] = worker
        tables.derived.changed_workers[spec.name] = None
    names = tuple(worker_spec.name for worker_spec in operation.workers)
    return Outcome(index, names=names)


def mark_worker(
    tables: ControlTables,
    index: int,
    operation: MarkWorker,
) -> Outcome:
    """Start or end draining or quarantining a worker.

    Args:
        tables: The replicated state, modified in place.
        index: Index of the log entry.
        operation: The marks to change.

    Returns:
        The name of the worker, or an error.
    """
    worker = tables.workers.get(operation.name)
    if worker is None:
        return _create_not_found_outcome(index, 'worker.mark', operation.name)
    if operation.is_draining is not None:
        worker = msgspec.structs.replace(
            worker,
            is_draining=operation.is_draining,
        )
    if operation.is_quarantined is not None:
        worker = msgspec.structs.replace(
            worker,
            is_quarantined=operation.is_quarantined,
        )
    tables.workers[operation.name] = worker
    tables.derived.changed_workers[operation.name] = None
    return Outcome(index, names=(operation.name,))


def submit_job(
    tables: ControlTables,
    index: int,
    spec: JobSpec,
    submitted_at_ms: int,
) -> Outcome:
    """Accept a job and create its tasks, or refuse it with the reason.

    Args:
        tables: The replicated state, modified in place.
        index: Index of the log entry.
        spec: The submitted specification.
        submitted_at_ms: Wall time of submission, in ms since 1970.

    Returns:
        The identifier of the job, or an error.
    """
    for check in SUBMIT_CHECKS:
        error = check(tables, spec)
        if error:
            return Outcome(index, error)
    job_id = f'j{index}'
    tables.jobs[job_id] = Job(job_id, spec, submitted_at_ms=submitted_at_ms)
    for number in range(spec.task_count):
        task_id = f'{job_id}/{number}'
        tables.tasks[task_id] = Task(task_id, job_id)
        tables.derived.changed_tasks[task_id] = None
    return Outcome(index, names=(job_id,))


def _check_ranges(tables: ControlTables, spec: JobSpec) -> StepError | None:
    need = spec.need
    problem = ''
    if not 1 <= spec.task_count <= MAX_TASKS_PER_JOB:
        problem = f'task_count must be in 1..{MAX_TASKS_PER_JOB}'
    if need.cores_milli < 1 or need.memory_mb < 1 or need.accelerators < 0:
        problem = 'cores_milli and memory_mb must be at least 1'
    if spec.run_time_s <= 0:
        problem = 'run_time_s must be over 0'
    if not problem:
        return None
    return StepError(ErrorCode.invalid, SUBMIT_STEP, spec.name, problem)


def _check_team(tables: ControlTables, spec: JobSpec) -> StepError | None:
    team = tables.teams.get(spec.team)
    if team is None:
        return StepError(
            ErrorCode.not_found,
            SUBMIT_STEP,
            spec.team,
            f'there is no team {spec.team!r}',
        )
    shortfalls = describe_shortfalls(spec.need, team.quota)
    if not shortfalls:
        return None
    return StepError(
        ErrorCode.over_quota,
        SUBMIT_STEP,
        spec.team,
        f'one task exceeds the quota of the team: {"; ".join(shortfalls)}',
    )


def _check_feasible(tables: ControlTables, spec: JobSpec) -> StepError | None:
    fewest_shortfalls: list[str] | None = None
    for worker in tables.workers.values():
        if not _is_data_centre_allowed(worker, spec):
            continue
        shortfalls = describe_shortfalls(spec.need, get_batch_capacity(worker))
        if not shortfalls:
            return None
        if fewest_shortfalls is None or len(shortfalls) < len(
            fewest_shortfalls
        ):
            fewest_shortfalls = shortfalls
    detail = 'no worker stands in the data centres allowed'
    if fewest_shortfalls is not None:
        detail = f'no worker holds one task: {"; ".join(fewest_shortfalls)}'
    return StepError(ErrorCode.impossible, SUBMIT_STEP, spec.name, detail)


SUBMIT_CHECKS = (_check_ranges, _check_team, _check_feasible)


def _is_data_centre_allowed(worker: Worker, spec: JobSpec) -> bool:
    allowed = spec.data_centres
    return not allowed or worker.spec.data_centre in allowed


def cancel_jobs(
    tables: ControlTables,
    index: int,
    operation: CancelJobs,
) -> Outcome:
    """Cancel jobs; tasks that occupy a worker are marked as stopping.

    Args:
        tables: The replicated state, modified in place.
        index: Index of the log entry.
        operation: The jobs to cancel.

    Returns:
        The cancelled jobs, or an error if none could be cancelled.
    """
    cancelled = []
    for job_id in operation.job_ids:
        job = tables.jobs.get(job_id)
        if job is None or job.status is JobStatus.completed:
            continue
        _cancel_job(tables, job)
        cancelled.append(job_id)
    if not cancelled:
        names = ','.join(operation.job_ids)
        return _create_not_found_outcome(index, 'job.cancel', names)
    return Outcome(index, names=tuple(cancelled))


def _cancel_job(tables: ControlTables, job: Job) -> None:
    tables.jobs[job.job_id] = msgspec.structs.replace(
        job,
        status=JobStatus.cancelled,
    )
    for number in range(job.spec.task_count):
        task = tables.tasks[f'{job.job_id}/{number}']
        if task.status in FINAL_STATUSES:
            continue
        status = TaskStatus.cancelled
        if task.status in OCCUPYING_STATUSES:
            status = TaskStatus.stopping
        _store_task(tables, msgspec.structs.replace(task, status=status))


def hold_job(
    tables: ControlTables,
    index: int,
    operation: HoldJob,
) -> Outcome:
    """Hold a job or release it.

    A release also makes its held and unconfirmed tasks pending again: the
    operator has decided that they may run again.

    Args:
        tables: The replicated state, modified in place.
        index: Index of the log entry.
        operation: The job and whether to hold it.

    Returns:
        The job, or an error.
    """
    job = tables.jobs.get(operation.job_id)
    if job is None or job.status not in {JobStatus.active, JobStatus.held}:
        return _create_not_found_outcome(index, 'job.hold', operation.job_id)
    status = JobStatus.held if operation.is_held else JobStatus.active
    tables.jobs[job.job_id] = msgspec.structs.replace(
        job,
        status=status,
        reason=operation.reason,
    )
    for number in range(job.spec.task_count):
        task = tables.tasks[f'{job.job_id}/{number}']
        tables.derived.changed_tasks[task.task_id] = None
        needs_release = task.status in {TaskStatus.held, TaskStatus.unconfirmed}
        if needs_release and not operation.is_held:
            _store_task(
                tables,
                msgspec.structs.replace(
                    task,
                    status=TaskStatus.pending,
                    worker='',
                    failed_on=(),
                ),
            )
    return Outcome(index, names=(job.job_id,))


def place_tasks(
    tables: ControlTables,
    index: int,
    operation: PlaceTasks,
) -> Outcome:
    """Assign pending tasks to workers, each only if it still fits.

    Args:
        tables: The replicated state, modified in place.
        index: Index of the log entry.
        operation: The proposed placements.

    Returns:
        The tasks that were placed; the others are unchanged.
    """
    placed = []
    for placement in operation.placements:
        if _is_placeable(tables, placement):
            task = tables.tasks[placement.task_id]
            _store_task(tables, apply_placement(task, placement))
            placed.append(placement.task_id)
        else:
            tables.derived.changed_tasks[placement.task_id] = None
            tables.derived.changed_workers[placement.worker] = None
    return Outcome(index, names=tuple(placed))


def _is_placeable(tables: ControlTables, placement: Placement) -> bool:
    task = tables.tasks.get(placement.task_id)
    worker = tables.workers.get(placement.worker)
    if task is None or worker is None or not is_schedulable(worker):
        return False
    if task.status is not TaskStatus.pending:
        return False
    job = tables.jobs[task.job_id]
    is_next = placement.attempt == task.attempt + 1
    if job.status is not JobStatus.active or not is_next:
        return False
    return _has_capacity(tables, job.spec, worker)


def _has_capacity(tables: ControlTables, spec: JobSpec, worker: Worker) -> bool:
    reserved = tables.derived.reserved.get(worker.spec.name, ZERO_RESOURCES)
    total = add_resources(reserved, spec.need)
    if not fits_within(total, get_batch_capacity(worker)):
        return False
    team = tables.teams[spec.team]
    used = tables.derived.team_usage.get(spec.team, ZERO_RESOURCES)
    return fits_within(add_resources(used, spec.need), team.quota)


def report_tasks(
    tables: ControlTables,
    index: int,
    operation: ReportTasks,
) -> Outcome:
    """Record reports; those that do not apply are ignored.

    Args:
        tables: The replicated state, modified in place.
        index: Index of the log entry.
        operation: The reports.

    Returns:
        The tasks that changed.
    """
    changed = []
    for report in operation.reports:
        task = tables.tasks.get(report.task_id)
        if task is None:
            continue
        if _apply_task_report(tables, task, report):
            changed.append(report.task_id)
    return Outcome(index, names=tuple(changed))


def _apply_task_report(
    tables: ControlTables,
    task: Task,
    report: TaskReport,
) -> bool:
    job = tables.jobs[task.job_id]
    after = apply_report(task, report, job.spec.is_idempotent)
    if after is task:
        return False
    is_off_worker = after.status in {
        TaskStatus.pending,
        TaskStatus.held,
        TaskStatus.unconfirmed,
    }
    if is_off_worker and job.status is JobStatus.cancelled:
        after = msgspec.structs.replace(after, status=TaskStatus.cancelled)
    _store_task(tables, after)
    if after.status is TaskStatus.completed:
        _count_completed(tables, job)
    elif after.status is TaskStatus.held:
        _hold_failing_job(tables, job, report)
    elif after.status is TaskStatus.unconfirmed:
        _record_unconfirmed(tables, job, report)
    return True


def _count_completed(tables: ControlTables, job: Job) -> None:
    count = job.completed_count + 1
    status = job.status
    if count == job.spec.task_count and status is not JobStatus.cancelled:
        status = JobStatus.completed
    tables.jobs[job.job_id] = msgspec.structs.replace(
        job,
        completed_count=count,
        status=status,
    )


def _hold_failing_job(
    tables: ControlTables, job: Job, report: TaskReport
) -> None:
    reason = f'{report.task_id} failed several times: {report.detail}'
    tables.jobs[job.job_id] = msgspec.structs.replace(
        job,
        status=JobStatus.held,
        reason=reason,
    )


def _record_unconfirmed(
    tables: ControlTables, job: Job, report: TaskReport
) -> None:
    reason = (
        f'{report.task_id} is not idempotent and ended in doubt on '
        f'{report.worker}: release the job to run it again, or cancel it'
    )
    tables.jobs[job.job_id] = msgspec.structs.replace(job, reason=reason)


def _store_task(tables: ControlTables, after: Task) -> None:
    before = tables.tasks[after.task_id]
    was_occupying = before.status in OCCUPYING_STATUSES
    is_occupying = after.status in OCCUPYING_STATUSES
    tables.tasks[after.task_id] = after
    tables.derived.changed_tasks[after.task_id] = None
    if was_occupying and not is_occupying:
        _release(tables, before)
    elif is_occupying and not was_occupying:
        _reserve(tables, after)


def _reserve(tables: ControlTables, task: Task) -> None:
    derived = tables.derived
    spec = tables.jobs[task.job_id].spec
    reserved = derived.reserved.get(task.worker, ZERO_RESOURCES)
    derived.reserved[task.worker] = add_resources(reserved, spec.need)
    used = derived.team_usage.get(spec.team, ZERO_RESOURCES)
    derived.team_usage[spec.team] = add_resources(used, spec.need)
    derived.tasks_by_worker.setdefault(task.worker, {})[task.task_id] = None
    derived.changed_workers[task.worker] = None


def _release(tables: ControlTables, task: Task) -> None:
    derived = tables.derived
    spec = tables.jobs[task.job_id].spec
    reserved = derived.reserved.get(task.worker, ZERO_RESOURCES)
    derived.reserved[task.worker] = subtract_resources(reserved, spec.need)
    used = derived.team_usage.get(spec.team, ZERO_RESOURCES)
    derived.team_usage[spec.team] = subtract_resources(used, spec.need)
    derived.tasks_by_worker.setdefault(task.worker, {}).pop(
        task.task_id,
        None,
    )
    derived.changed_workers[task.worker] = None


def _create_invalid_outcome(
    index: int, step: str, peer: str, detail: str
) -> Outcome:
    return Outcome(index, StepError(ErrorCode.invalid, step, peer, detail))


def _create_not_found_outcome(index: int, step: str, peer: str) -> Outcome:
    return Outcome(
        index,
        StepError(ErrorCode.not_found, step, peer, f'{peer!r} is not known'),
    )
