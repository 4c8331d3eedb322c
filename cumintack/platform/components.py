"""Creates the components of a process that need a platform adapter."""

from cumintack.daemon.node import Component, Node


def create_components(node: Node) -> list[Component]:
    """Create the components that need an adapter to the platform.

    Args:
        node: The process.

    Returns:
        The components that its settings enable.
    """
    components: list[Component] = []
    settings = node.settings
    if settings.control is not None and settings.control.adviser_address:
        _set_adviser(node, settings.control.adviser_address)
    if settings.workflow_entry is not None:
        components.append(_create_entry(node))
    if settings.workflow_guard is not None:
        components.append(_create_guard(node))
    if settings.control is not None and settings.control.operator_address:
        components.append(_create_operator(node))
    return components


# Modules are imported where they are used, to save memory: a process usually
# has only one role, and users pay for the memory of every process.
def _create_entry(node: Node) -> Component:
    from cumintack.daemon.workflow_entry_component import (
        LeaderGateway,
        WorkflowEntryComponent,
    )
    from cumintack.platform.job_calls import JobCalls

    settings = node.settings.workflow_entry
    assert settings is not None
    gateway = LeaderGateway(node)
    calls = JobCalls(gateway)
    return WorkflowEntryComponent(
        node,
        settings,
        gateway,
        calls.respond,
        calls.respond_ready,
    )


def _create_guard(node: Node) -> Component:
    from cumintack.daemon.workflow_guard_component import WorkflowGuardComponent
    from cumintack.platform.announcements import WorkerAnnouncements
    from cumintack.platform.worker_calls import PlatformWorkerClient

    settings = node.settings.workflow_guard
    assert settings is not None
    client = PlatformWorkerClient(
        settings.worker_address,
        # One for polls and one for health probes, opened when first needed.
        settings.call_threads + 2,
        node.clock,
    )
    component = WorkflowGuardComponent(node, settings, client)
    announcements = WorkerAnnouncements(settings, component, node.clock)
    component.observe_pools(announcements)
    component.listen(announcements.respond)
    return component


def _set_adviser(node: Node, address: str) -> None:
    from cumintack.daemon.control_component import ControlComponent
    from cumintack.platform.advice_calls import PlatformAdviserClient

    for component in node.components:
        if isinstance(component, ControlComponent):
            component.set_adviser(PlatformAdviserClient(address))


def _create_operator(node: Node) -> Component:
    from cumintack.daemon.operator_component import OperatorComponent
    from cumintack.daemon.workflow_entry_component import LeaderGateway
    from cumintack.platform.operator_calls import OperatorCalls

    control = node.settings.control
    assert control is not None
    calls = OperatorCalls(LeaderGateway(node), control.data_centres or {})
    return OperatorComponent(control.operator_address, calls.respond)
