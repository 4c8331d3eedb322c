"""Puts the adapters and the parts of a process together."""

from cumintack.daemon.node import Node, Part


def create_parts(node: Node) -> list[Part]:
    """Create the parts that need an adapter to the platform.

    Args:
        node: The process.

    Returns:
        The parts that its settings name.
    """
    parts: list[Part] = []
    settings = node.settings
    if settings.control is not None and settings.control.adviser_address:
        _use_adviser(node, settings.control.adviser_address)
    if settings.workflow_entry is not None:
        parts.append(_create_entry(node))
    if settings.workflow_guard is not None:
        parts.append(_create_guard(node))
    if settings.control is not None and settings.control.operator_address:
        parts.append(_create_operator(node))
    return parts


# Modules are imported where they are used: each role runs alone on its
# machine, and memory is paid for.
def _create_entry(node: Node) -> Part:
    from cumintack.daemon.workflow_entry_part import (
        LeaderGate,
        WorkflowEntryPart,
    )
    from cumintack.platform.job_calls import JobCalls

    settings = node.settings.workflow_entry
    assert settings is not None
    gate = LeaderGate(node)
    calls = JobCalls(gate)
    return WorkflowEntryPart(
        node,
        settings,
        gate,
        calls.respond,
        calls.respond_ready,
    )


def _create_guard(node: Node) -> Part:
    from cumintack.daemon.workflow_guard_part import WorkflowGuardPart
    from cumintack.platform.announcements import Announcements
    from cumintack.platform.worker_calls import PlatformWorker

    settings = node.settings.workflow_guard
    assert settings is not None
    client = PlatformWorker(
        settings.worker_address,
        settings.call_threads + 1,
        node.clock,
    )
    part = WorkflowGuardPart(node, settings, client)
    part.listen(Announcements(settings, part).respond)
    return part


def _use_adviser(node: Node, address: str) -> None:
    from cumintack.daemon.control_part import ControlPart
    from cumintack.platform.advice_calls import PlatformAdviser

    for part in node.parts:
        if isinstance(part, ControlPart):
            part.use_adviser(PlatformAdviser(address))


def _create_operator(node: Node) -> Part:
    from cumintack.daemon.operator_part import OperatorPart
    from cumintack.daemon.workflow_entry_part import LeaderGate
    from cumintack.platform.operator_calls import OperatorCalls

    control = node.settings.control
    assert control is not None
    calls = OperatorCalls(LeaderGate(node))
    return OperatorPart(control.operator_address, calls.respond)
