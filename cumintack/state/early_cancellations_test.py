"""Tests that a workflow which was cancelled before it arrived never begins."""

import pytest

from cumintack.state._early_cancellations import (
    CANCELLATION_RETENTION_MS,
    MAX_CANCELLATIONS,
)
from cumintack.state.commands import Command
from cumintack.state.errors import ErrorCode
from cumintack.state.machine import (
    apply_command,
    decode_tables,
    encode_tables,
)
from cumintack.state.queues import Pool, Queue, QueueConfiguration
from cumintack.state.resources import Resources
from cumintack.state.tables import ControlTables
from cumintack.state.workflows import (
    AcceptWorkflow,
    CancelWorkflow,
    ReplaceQueues,
    StepSpec,
    WorkflowOperation,
    WorkflowSpec,
    WorkflowStatus,
)

QUEUE = Queue('queue', 'host', '/queue/', 'pool', 0, 2, 2, 1000, 3000)
SPEC = WorkflowSpec('text', (StepSpec(1, Resources(1000, 100)),))
WORKFLOW_ID = f'{1:016x}'


class Machine:
    """The replicated state machine, with one queue."""

    def __init__(self) -> None:
        """Configure the queue."""
        self.tables = ControlTables()
        self.sequence = 0
        queues = QueueConfiguration(1, (QUEUE,), (Pool('pool'),))
        assert self.apply(ReplaceQueues(queues), 0) is None

    def apply(
        self, operation: WorkflowOperation, at_ms: int
    ) -> ErrorCode | None:
        """Apply a command of its own; return why it was refused."""
        self.sequence += 1
        command = Command('entry.1', self.sequence, 'entry', at_ms, operation)
        error = apply_command(self.tables, self.sequence, command).error
        return error.code if error else None

    def accept(self, workflow_id: str, at_ms: int) -> ErrorCode | None:
        """Accept a workflow."""
        path = f'/queue/{workflow_id}'
        return self.apply(
            AcceptWorkflow(workflow_id, 'host', path, SPEC), at_ms
        )

    def cancel(self, workflow_id: str, at_ms: int) -> ErrorCode | None:
        """Cancel a workflow."""
        path = f'/queue/{workflow_id}'
        return self.apply(CancelWorkflow(workflow_id, 'host', path), at_ms)


# Guards against a workflow that begins after its caller was told 410.
@pytest.mark.parametrize('has_snapshot', [False, True])
def test_cancelled_workflow_is_not_accepted_later(
    *, has_snapshot: bool
) -> None:
    """Also by a replica that has the state from a snapshot."""
    machine = Machine()
    assert machine.cancel(WORKFLOW_ID, 0) is ErrorCode.not_found
    if has_snapshot:
        machine.tables = decode_tables(encode_tables(machine.tables))
    late_ms = CANCELLATION_RETENTION_MS
    assert machine.accept(WORKFLOW_ID, late_ms) is ErrorCode.expired
    assert not machine.tables.workflows.workflows
    assert not machine.tables.workflows.index.waiting


def test_cancellation_is_forgotten_after_its_time() -> None:
    """A submission that is so old is dropped on its way."""
    machine = Machine()
    machine.cancel(WORKFLOW_ID, 0)
    assert machine.accept(WORKFLOW_ID, CANCELLATION_RETENTION_MS + 1) is None


def test_repeated_cancellation_is_kept_from_its_latest_time() -> None:
    """The caller may rely on any of the answers."""
    machine = Machine()
    machine.cancel(WORKFLOW_ID, 0)
    machine.cancel(WORKFLOW_ID, 1000)
    late_ms = CANCELLATION_RETENTION_MS + 1000
    assert machine.accept(WORKFLOW_ID, late_ms) is ErrorCode.expired


def test_accepted_workflow_leaves_no_early_cancellation() -> None:
    """The record of the workflow itself tells that it is cancelled."""
    machine = Machine()
    assert machine.accept(WORKFLOW_ID, 0) is None
    assert machine.cancel(WORKFLOW_ID, 1) is None
    workflows = machine.tables.workflows
    assert workflows.workflows[WORKFLOW_ID].status is WorkflowStatus.cancelled
    assert not workflows.early_cancellations
    assert machine.accept(WORKFLOW_ID, 2) is None
    assert workflows.workflows[WORKFLOW_ID].status is WorkflowStatus.cancelled


# Guards against a flood that fills the state or makes it forget.
def test_flood_of_cancellations_pushes_no_young_one_out() -> None:
    """Those that can't be kept aren't acknowledged."""
    machine = Machine()
    for number in range(MAX_CANCELLATIONS):
        code = machine.cancel(f'{number + 1:016x}', number)
        assert code is ErrorCode.not_found
    assert machine.cancel('f' * 16, MAX_CANCELLATIONS) is ErrorCode.timeout
    workflows = machine.tables.workflows
    assert len(workflows.early_cancellations) == MAX_CANCELLATIONS
    assert not workflows.refusals
    assert machine.accept(WORKFLOW_ID, 1) is ErrorCode.expired
    freed_ms = CANCELLATION_RETENTION_MS + 1
    assert machine.cancel('f' * 16, freed_ms) is ErrorCode.not_found
