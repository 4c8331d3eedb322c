"""Tests that guards learn the pools from the control group."""

from types import SimpleNamespace
from typing import cast

from cumintack.coordination.runs.run_leadership_state import (
    RunSettings,
)
from cumintack.daemon.node import Node
from cumintack.daemon.settings import WorkflowGuardSettings
from cumintack.daemon.workflow_coordinator import WorkflowCoordinator
from cumintack.daemon.workflow_guard_component import WorkflowGuardComponent
from cumintack.daemon.workflow_guard_component_test import (
    FakeNode,
    HangingClient,
)
from cumintack.protocol.messages import NodeStatusReply
from cumintack.state.commands import Command, Operation
from cumintack.state.machine import apply_command
from cumintack.state.queues import Pool, Queue, QueueConfiguration
from cumintack.state.resources import Resources
from cumintack.state.tables import ControlTables
from cumintack.state.workflows import (
    AcceptWorkflow,
    CancelWorkflow,
    ReplaceQueues,
    StepSpec,
    WorkflowSpec,
)

WORKFLOW_ID = '0123456789abcdef'
PATH = f'/queue/{WORKFLOW_ID}'


class FakeObserver:
    """Records the pools that a guard learns."""

    def __init__(self) -> None:
        """Start with no pools."""
        self.updates: list[tuple[int, tuple[str, ...]]] = []
        self.skip_count = 0

    def update_pools(self, queue_version: int, pools: tuple[str, ...]) -> None:
        """Record an update."""
        self.updates.append((queue_version, pools))

    def skip_pool_checks(self) -> None:
        """Count a call."""
        self.skip_count += 1


class Group:
    """A control replica with its tables."""

    def __init__(self) -> None:
        """Start without a configuration."""
        node = cast(Node, SimpleNamespace())
        self.coordinator = WorkflowCoordinator(node, RunSettings(8, 1))
        self.tables = ControlTables()
        self._index = 0

    def apply(self, operation: Operation) -> None:
        """Apply an operation."""
        self._index += 1
        command = Command('', 0, 'name', 1, operation)
        apply_command(self.tables, self._index, command)

    def configure(self, version: int, *pools: str) -> None:
        """Replace the configuration; the queue has the first pool."""
        queue = Queue('queue', 'host', '/queue/', pools[0], timeout_ms=1)
        self.apply(
            ReplaceQueues(
                QueueConfiguration(
                    version, (queue,), tuple(Pool(name) for name in pools)
                ),
            ),
        )

    def list_unknown(self, known_version: int) -> tuple[str, ...]:
        """List the pools for a process that knows those of a version."""
        workflows = self.tables.workflows
        return self.coordinator.list_unknown_pools(workflows, known_version)


# Guards against workers of a new pool that stay unknown, and against names
# that are sent with each heartbeat.
def test_pools_are_named_once_for_each_version() -> None:
    """A process that knows the current version is sent none."""
    group = Group()
    assert not group.list_unknown(0)
    group.configure(3, 'b', 'a')
    assert group.list_unknown(0) == ('a', 'b')
    assert not group.list_unknown(3)
    group.configure(7, 'c')
    assert group.list_unknown(3) == ('c',)


# Guards against workers that a restarted guard refuses although they run what
# was accepted before their pool left the configuration.
def test_pool_of_an_active_workflow_is_named() -> None:
    """The pool is named until its last workflow is over."""
    group = Group()
    group.configure(1, 'old')
    spec = WorkflowSpec('text', (StepSpec(1, Resources(1000, 100)),))
    group.apply(AcceptWorkflow(WORKFLOW_ID, 'host', PATH, spec))
    group.configure(2, 'new')
    assert group.list_unknown(0) == ('new', 'old')
    group.apply(CancelWorkflow(WORKFLOW_ID, 'host', PATH))
    group.configure(3, 'new')
    assert group.list_unknown(0) == ('new',)


# Guards against a guard that counts a configuration as known whose pools it
# was not sent, and so follows no worker.
def test_guard_learns_pools() -> None:
    """Only an answer that names pools makes its version known."""
    node = FakeNode()
    settings = WorkflowGuardSettings('127.0.0.1:0', '127.0.0.1:1')
    client = HangingClient()
    guard = WorkflowGuardComponent(cast(Node, node), settings, client)
    observer = FakeObserver()
    guard.observe_pools(observer)
    assert node.queue_version == 0
    for reply in (
        NodeStatusReply(0, 'leader', True, queue_version=0),
        NodeStatusReply(0, 'leader', True, queue_version=4),
        NodeStatusReply(0, 'leader', False),
    ):
        guard.handle('leader', reply)
    assert node.queue_version == 0
    assert not observer.updates
    assert not observer.skip_count
    for version in (4, 2):
        guard.handle(
            'leader',
            NodeStatusReply(
                0, 'leader', False, queue_version=version, pools=('pool',)
            ),
        )
    assert node.queue_version == 4
    assert observer.updates == [(4, ('pool',)), (2, ('pool',))]
    guard.close()


# Guards against a guard that follows no worker under a leader of a version
# that names no pools.
def test_leader_that_names_no_pools() -> None:
    """The guard tells that pools can't be checked."""
    node = FakeNode()
    settings = WorkflowGuardSettings('127.0.0.1:0', '127.0.0.1:1')
    client = HangingClient()
    guard = WorkflowGuardComponent(cast(Node, node), settings, client)
    observer = FakeObserver()
    guard.observe_pools(observer)
    guard.handle('leader', NodeStatusReply(0, 'leader', True))
    assert observer.skip_count == 1
    guard.close()
