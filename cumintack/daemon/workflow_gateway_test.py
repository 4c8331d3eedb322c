"""Tests of calls of an entry to the leader that are sent more than once."""

from collections.abc import Callable
from types import SimpleNamespace
from typing import cast

from cumintack.daemon.node import CallReply, Node
from cumintack.daemon.workflow_entry_component import LeaderGateway
from cumintack.protocol.messages import Message, Propose, Proposed
from cumintack.state.commands import Command
from cumintack.state.errors import ErrorCode
from cumintack.state.machine import apply_command
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
)

WORKFLOW_ID = f'{1:016x}'
PATH = f'/added/{WORKFLOW_ID}'
SPEC = WorkflowSpec('text', (StepSpec(1, Resources(1000, 100)),))
ACCEPT = AcceptWorkflow(WORKFLOW_ID, 'host', PATH, SPEC)
QUEUE = Queue('queue', 'host', '/added/', 'pool', 0, 2, 2, 1000, 3000)
TIMEOUT_S = 5.0


class ResendingNode:
    """An entry whose calls all reach the leader twice.

    The leader handles the second copies when the test says so, as a leader
    does that was frozen and has both copies in its queue.
    """

    def __init__(self) -> None:
        """Start with a leader that has no queue for the path."""
        self.settings = SimpleNamespace(name='entry')
        self.incarnation = 'incarnation'
        self.clock = SimpleNamespace(now_s=float)
        self.calls = SimpleNamespace(leader='leader')
        self.metrics = SimpleNamespace(observe=_ignore, count=_ignore)
        self.tables = ControlTables()
        self._late_copies: list[Propose] = []
        self.apply(ReplaceQueues(QueueConfiguration(1)))

    def post(self, action: Callable[[], None]) -> None:
        """Run an action at once."""
        action()

    def call(
        self,
        create_message: Callable[[int], Message],
        timeout_s: float,
        on_reply: Callable[[CallReply | None], None],
    ) -> None:
        """Answer with the outcome of the first copy."""
        message = create_message(1)
        assert isinstance(message, Propose)
        self._late_copies.append(message)
        index = self.tables.applied_index + 1
        outcome = apply_command(self.tables, index, message.command)
        on_reply(Proposed(1, outcome))

    def apply(self, operation: WorkflowOperation) -> None:
        """Apply an operation of another process."""
        index = self.tables.applied_index + 1
        apply_command(self.tables, index, Command('', 0, '', 0, operation))

    def deliver_late_copies(self) -> None:
        """Let the leader handle the second copies."""
        for message in self._late_copies:
            index = self.tables.applied_index + 1
            apply_command(self.tables, index, message.command)
        self._late_copies.clear()


def _ignore(name: str, observed: float = 0) -> None:
    """Ignore a measurement."""


# Guards against a workflow that runs although its caller was told 404.
def test_late_copy_of_a_refused_workflow_is_not_accepted() -> None:
    """The queue is added between the two copies."""
    node = ResendingNode()
    gateway = LeaderGateway(cast(Node, node))
    error = gateway.submit(ACCEPT, TIMEOUT_S)
    assert error is not None
    assert error.code is ErrorCode.not_found
    newer = QueueConfiguration(2, (QUEUE,), (Pool('pool'),))
    node.apply(ReplaceQueues(newer))
    node.deliver_late_copies()
    assert WORKFLOW_ID not in node.tables.workflows.workflows
    assert gateway.submit(ACCEPT, TIMEOUT_S) is None


# Guards against an accepted workflow that ends cancelled although its caller
# was told that there is none to cancel.
def test_late_copy_of_a_refused_cancellation_cancels_nothing() -> None:
    """No workflow is accepted between the two copies."""
    node = ResendingNode()
    gateway = LeaderGateway(cast(Node, node))
    newer = QueueConfiguration(2, (QUEUE,), (Pool('pool'),))
    node.apply(ReplaceQueues(newer))
    cancel = CancelWorkflow(WORKFLOW_ID, 'host', PATH)
    error = gateway.submit(cancel, TIMEOUT_S)
    assert error is not None
    assert error.code is ErrorCode.not_found
    refused = gateway.submit(ACCEPT, TIMEOUT_S)
    assert refused is not None
    assert refused.code is ErrorCode.expired
    node.deliver_late_copies()
    assert not node.tables.workflows.workflows


# Guards against a refusal that was recorded for an earlier process.
def test_restarted_entry_has_a_session_of_its_own() -> None:
    """Its sequence numbers start anew."""
    node = ResendingNode()
    assert LeaderGateway(cast(Node, node)).submit(ACCEPT, TIMEOUT_S)
    node.apply(ReplaceQueues(QueueConfiguration(2, (QUEUE,), (Pool('pool'),))))
    node.incarnation = 'next incarnation'
    assert LeaderGateway(cast(Node, node)).submit(ACCEPT, TIMEOUT_S) is None
