"""The replicated state machine of the control group.

The tables are dictionaries modified in place, because copying tables of 93,000
tasks for each command would cost more than applying the command. Most records
in them are immutable, and all changes go through ``apply_command``, whose
result depends only on its arguments: every replica computes the same state.
"""

import msgspec

from cumintack.state import _claim_transitions, _job_transitions
from cumintack.state._evacuation_transitions import set_evacuation
from cumintack.state._refusals import find_refusal, record_refusal
from cumintack.state._workflow_transitions import (
    apply_workflow_operation,
    rebuild_index,
)
from cumintack.state.claims import Claim
from cumintack.state.commands import (
    CancelJobs,
    ClaimRequest,
    Command,
    HoldJob,
    MarkWorker,
    Outcome,
    PlaceTasks,
    RegisterWorkers,
    ReportTasks,
    SetConfiguration,
    SetTeam,
    SettleClaim,
    SubmitJob,
)
from cumintack.state.configuration import (
    MAX_HISTORY,
    ConfigurationRecord,
    apply_changes,
    check_changes,
)
from cumintack.state.errors import ErrorCode, StepError
from cumintack.state.tables import ControlTables, DerivedTables, SessionRecord
from cumintack.state.workflows import (
    AcceptWorkflow,
    BeginOccurrence,
    CancelWorkflow,
    RecordRuns,
    ReplaceQueues,
    SetEvacuation,
    WorkflowIndex,
    WorkflowOperation,
    WorkflowTables,
)

MAX_OUTCOMES_PER_SESSION = 64
MAX_SESSIONS = 20000


def apply_command(
    tables: ControlTables,
    index: int,
    command: Command,
) -> Outcome:
    """Apply a committed command, at most once.

    Args:
        tables: The replicated state, modified in place.
        index: Index of the log entry.
        command: The command.

    Returns:
        The outcome of the first application of this session and sequence.
    """
    tables.applied_index = index
    session = tables.sessions.get(command.session)
    if session is not None:
        recorded = _get_recorded_outcome(session, command)
        if recorded is not None:
            return recorded
    outcome = _apply_operation(tables, index, command)
    is_workflow = isinstance(command.operation, WorkflowOperation)
    if command.session and not is_workflow:
        _record_outcome(tables, command, outcome)
    return outcome


def _get_recorded_outcome(
    session: SessionRecord, command: Command
) -> Outcome | None:
    recorded = session.outcomes.get(command.sequence)
    if recorded is not None:
        return recorded
    if command.sequence > session.forgotten_up_to:
        return None
    return Outcome(
        error=StepError(
            ErrorCode.expired,
            'command',
            command.session,
            'the outcome of this sequence number is no longer kept',
        ),
    )


def _record_outcome(
    tables: ControlTables,
    command: Command,
    outcome: Outcome,
) -> None:
    session = tables.sessions.pop(command.session, None)
    if session is None:
        session = SessionRecord()
    tables.sessions[command.session] = session
    session.outcomes[command.sequence] = outcome
    if len(session.outcomes) > MAX_OUTCOMES_PER_SESSION:
        oldest = min(session.outcomes)
        session.outcomes.pop(oldest)
        session.forgotten_up_to = max(session.forgotten_up_to, oldest)
    if len(tables.sessions) > MAX_SESSIONS:
        tables.sessions.pop(next(iter(tables.sessions)))


def _apply_operation(
    tables: ControlTables,
    index: int,
    command: Command,
) -> Outcome:
    operation = command.operation
    match operation:
        case SetConfiguration():
            return _set_configuration(tables, index, command, operation)
        case ClaimRequest():
            return _claim_transitions.claim_request(
                tables,
                index,
                Claim(
                    operation.claim_key,
                    operation.request_id,
                    operation.entry,
                    command.proposed_at_ms,
                ),
            )
        case SettleClaim():
            return _claim_transitions.settle_claim(tables, index, operation)
        case SetTeam():
            return _job_transitions.set_team(tables, index, operation)
        case SubmitJob():
            return _job_transitions.submit_job(
                tables,
                index,
                operation.spec,
                command.proposed_at_ms,
            )
        case CancelJobs():
            return _job_transitions.cancel_jobs(tables, index, operation)
        case HoldJob():
            return _job_transitions.hold_job(tables, index, operation)
        case RegisterWorkers():
            return _job_transitions.register_workers(tables, index, operation)
        case MarkWorker():
            return _job_transitions.mark_worker(tables, index, operation)
        case PlaceTasks():
            return _job_transitions.place_tasks(tables, index, operation)
        case ReportTasks():
            return _job_transitions.report_tasks(tables, index, operation)
        case SetEvacuation():
            return set_evacuation(
                tables.workflows, index, operation, command.proposed_at_ms
            )
        case (
            AcceptWorkflow()
            | BeginOccurrence()
            | CancelWorkflow()
            | RecordRuns()
            | ReplaceQueues()
        ):
            return _apply_workflow_command(
                tables.workflows, index, command, operation
            )


def _apply_workflow_command(
    tables: WorkflowTables,
    index: int,
    command: Command,
    operation: WorkflowOperation,
) -> Outcome:
    """Apply an operation on workflows unless a copy of it was refused.

    It takes effect once however often it is applied, so that only its refusal
    is recorded. A cancellation is refused for good: its workflow, which is
    unknown, is not accepted while copies are under way.
    """
    refusal = find_refusal(tables, command)
    if refusal is not None:
        return Outcome(refusal.index, refusal.error)
    error = apply_workflow_operation(tables, operation, command.proposed_at_ms)
    if error is not None and not isinstance(operation, CancelWorkflow):
        record_refusal(tables, command, index, error)
    return Outcome(index, error)


def _set_configuration(
    tables: ControlTables,
    index: int,
    command: Command,
    operation: SetConfiguration,
) -> Outcome:
    error = check_changes(tables.configuration, operation.changes)
    if error:
        return Outcome(index, error)
    tables.configuration = apply_changes(
        tables.configuration,
        operation.changes,
        index,
        command.author,
    )
    tables.history.append(
        ConfigurationRecord(
            index,
            command.author,
            command.proposed_at_ms,
            operation.changes,
        ),
    )
    if len(tables.history) > MAX_HISTORY:
        tables.history.pop(0)
    return Outcome(
        index,
        names=tuple(change.key for change in operation.changes),
    )


def encode_tables(tables: ControlTables) -> bytes:
    """Encode the state for a snapshot.

    Args:
        tables: The replicated state.

    Returns:
        The encoded state; equal states are encoded to the same bytes.
    """
    snapshot = msgspec.structs.replace(
        tables,
        derived=DerivedTables(),
        workflows=msgspec.structs.replace(
            tables.workflows,
            index=WorkflowIndex(),
        ),
    )
    return msgspec.msgpack.encode(snapshot)


def decode_tables(encoded: bytes) -> ControlTables:
    """Decode the state of a snapshot and rebuild the derived data.

    Args:
        encoded: The result of ``encode_tables``.

    Returns:
        The state.
    """
    tables = msgspec.msgpack.decode(encoded, type=ControlTables)
    _job_transitions.rebuild_derived(tables)
    rebuild_index(tables.workflows)
    return tables
