"""Tests that a refusal holds for every copy of a command."""

import msgspec
import pytest

from cumintack.state._refusals import REFUSAL_RETENTION_MS
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

WORKFLOW_ID = f'{1:016x}'
PATH = f'/added/{WORKFLOW_ID}'
SPEC = WorkflowSpec('text', (StepSpec(1, Resources(1000, 100)),))
ACCEPT = AcceptWorkflow(WORKFLOW_ID, 'host', PATH, SPEC)
CANCEL = CancelWorkflow(WORKFLOW_ID, 'host', PATH)


class Machine:
    """The replicated state machine."""

    def __init__(self) -> None:
        """Configure a queue for other paths."""
        self.tables = ControlTables()
        self.configure(1, '/queue/')

    def apply(
        self, operation: WorkflowOperation, sequence: int, at_ms: int = 0
    ) -> ErrorCode | None:
        """Apply a command; return why it was refused."""
        command = Command('entry.1', sequence, 'entry', at_ms, operation)
        index = self.tables.applied_index + 1
        error = apply_command(self.tables, index, command).error
        return error.code if error else None

    def configure(self, version: int, prefix: str) -> None:
        """Replace the queues by a single one."""
        queue = Queue('queue', 'host', prefix, 'pool', 0, 2, 2, 1000, 3000)
        queues = QueueConfiguration(version, (queue,), (Pool('pool'),))
        command = Command('', 0, 'operator', 0, ReplaceQueues(queues))
        index = self.tables.applied_index + 1
        assert apply_command(self.tables, index, command).error is None

    def get_status(self) -> WorkflowStatus | None:
        """Return the status of the workflow, None if there is none."""
        workflow = self.tables.workflows.workflows.get(WORKFLOW_ID)
        return workflow.status if workflow else None


# Guards against a workflow that runs although its caller was told 404.
@pytest.mark.parametrize('has_snapshot', [False, True])
def test_copy_of_a_refused_workflow_is_refused(*, has_snapshot: bool) -> None:
    """The queue was added after the first copy was refused."""
    machine = Machine()
    assert machine.apply(ACCEPT, 1) is ErrorCode.not_found
    machine.configure(2, '/added/')
    if has_snapshot:
        machine.tables = decode_tables(encode_tables(machine.tables))
    assert machine.apply(ACCEPT, 1, REFUSAL_RETENTION_MS) is not None
    assert machine.get_status() is None


# Guards against a workflow that runs although its caller was told 503.
def test_copy_of_a_workflow_without_queues_is_refused() -> None:
    """The first configuration came after the first copy was refused."""
    machine = Machine()
    machine.tables = ControlTables()
    assert machine.apply(ACCEPT, 1) is ErrorCode.unavailable
    machine.configure(2, '/added/')
    assert machine.apply(ACCEPT, 1) is ErrorCode.unavailable
    assert machine.get_status() is None


def test_next_attempt_is_accepted() -> None:
    """A caller may submit a refused workflow again."""
    machine = Machine()
    machine.apply(ACCEPT, 1)
    machine.configure(2, '/added/')
    assert machine.apply(ACCEPT, 2) is None
    assert machine.apply(ACCEPT, 1) is ErrorCode.not_found
    assert machine.apply(ACCEPT, 2) is None
    assert machine.get_status() is WorkflowStatus.active


# Guards against an accepted workflow that ends cancelled although its caller
# was told that there is none to cancel.
def test_copy_of_a_refused_cancellation_cancels_nothing() -> None:
    """No workflow is accepted between the two, so that both find none."""
    machine = Machine()
    machine.configure(2, '/added/')
    assert machine.apply(CANCEL, 1) is ErrorCode.not_found
    assert machine.apply(ACCEPT, 2) is ErrorCode.expired
    assert machine.apply(CANCEL, 1) is ErrorCode.not_found
    assert machine.get_status() is None
    assert not machine.tables.workflows.workflows


def test_old_refusals_are_forgotten() -> None:
    """The table stays as small as the refusals of a minute."""
    machine = Machine()
    for sequence in range(1, 10):
        machine.apply(ACCEPT, sequence, sequence * REFUSAL_RETENTION_MS // 2)
    assert len(machine.tables.workflows.refusals) == 3


def test_tables_of_an_earlier_version_are_read() -> None:
    """A snapshot without refusals stays readable."""
    machine = Machine()
    encoded = msgspec.msgpack.decode(encode_tables(machine.tables))
    encoded['workflows'].pop('refusals')
    tables = decode_tables(msgspec.msgpack.encode(encoded))
    assert not tables.workflows.refusals
