"""Translation of operator statements into replicated operations."""

import msgspec
from result import Err, Ok, Result

from cumintack.protocol.language import (
    Assign,
    Cancel,
    Drain,
    Evacuate,
    Hold,
    Option,
    Statement,
    Submit,
    Team,
)
from cumintack.state.commands import (
    CancelJobs,
    ConfigurationChange,
    HoldJob,
    MarkWorker,
    Operation,
    SetConfiguration,
    SetTeam,
    SubmitJob,
)
from cumintack.state.errors import ErrorCode, StepError
from cumintack.state.jobs import JobSpec
from cumintack.state.resources import Resources
from cumintack.state.workflows import SetEvacuation

STEP = 'language.check'
NEED_OPTIONS = frozenset(('cores_milli', 'memory_mb', 'accelerators'))
JOB_OPTIONS = {
    'tasks': 'task_count',
    'run_time_s': 'run_time_s',
    'priority': 'priority',
    'kind': 'kind',
    'idempotent': 'is_idempotent',
    'data_centres': 'data_centres',
    'spread_racks': 'spread_racks',
    'payload': 'payload',
}
TEAM_OPTIONS = NEED_OPTIONS | {'share'}


def create_operation(
    statement: Statement,
) -> Result[Operation, StepError]:
    """Create the operation for a statement that changes the state.

    Args:
        statement: The statement.

    Returns:
        The operation, or an error that names the invalid option.
    """
    match statement:
        case Submit():
            return _create_submit_job(statement)
        case Team():
            return _create_set_team(statement)
        case Cancel():
            return Ok(CancelJobs(statement.job_ids))
        case Drain():
            return Ok(
                MarkWorker(
                    statement.worker,
                    is_draining=statement.is_draining,
                ),
            )
        case Evacuate():
            return Ok(SetEvacuation(statement.data_centre, statement.is_active))
        case Hold():
            reason = 'held by an operator' if statement.is_held else ''
            return Ok(HoldJob(statement.job_id, statement.is_held, reason))
        case Assign():
            return Ok(
                SetConfiguration(
                    tuple(
                        ConfigurationChange(
                            assignment.name,
                            assignment.scalar,
                            statement.version,
                        )
                        for assignment in statement.assignments
                    ),
                ),
            )
    return Err(_create_error('statement does not change the state'))


def _check_options(
    options: tuple[Option, ...],
    allowed: frozenset[str] | set[str],
) -> StepError | None:
    seen = set()
    for option in options:
        if option.name not in allowed:
            names = ', '.join(sorted(allowed))
            return _create_error(
                f'unknown option {option.name!r}; valid options: {names}'
            )
        if option.name in seen:
            return _create_error(
                f'option {option.name!r} is given more than once'
            )
        seen.add(option.name)
    return None


def _create_submit_job(statement: Submit) -> Result[Operation, StepError]:
    error = _check_options(statement.options, NEED_OPTIONS | set(JOB_OPTIONS))
    if error:
        return Err(error)
    need = {
        option.name: option.scalar
        for option in statement.options
        if option.name in NEED_OPTIONS
    }
    fields: dict[str, object] = {
        'name': statement.name,
        'team': statement.team,
        'task_count': 1,
        'need': {'cores_milli': 1000, 'memory_mb': 1024, **need},
    }
    for option in statement.options:
        field = JOB_OPTIONS.get(option.name)
        if field == 'data_centres':
            fields[field] = str(option.scalar).split(',')
        elif field == 'payload':
            fields[field] = str(option.scalar)
        elif field:
            fields[field] = option.scalar
    try:
        return Ok(SubmitJob(msgspec.convert(fields, JobSpec)))
    except msgspec.ValidationError as validation_error:
        return Err(_create_error(str(validation_error)))


def _create_set_team(statement: Team) -> Result[Operation, StepError]:
    error = _check_options(statement.options, TEAM_OPTIONS)
    if error:
        return Err(error)
    quota = {
        option.name: option.scalar
        for option in statement.options
        if option.name in NEED_OPTIONS
    }
    shares = [
        option.scalar for option in statement.options if option.name == 'share'
    ]
    try:
        share = msgspec.convert(shares[0], float) if shares else 1.0
        return Ok(
            SetTeam(
                statement.name,
                msgspec.convert(quota, Resources),
                share,
            ),
        )
    except msgspec.ValidationError as validation_error:
        return Err(_create_error(str(validation_error)))


def _create_error(detail: str) -> StepError:
    return StepError(ErrorCode.invalid, STEP, '', detail)
