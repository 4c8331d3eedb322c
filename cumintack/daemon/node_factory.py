"""Creates a process with its components from the settings."""

import pathlib

from cumintack.daemon.node import Node
from cumintack.daemon.settings import Settings
from cumintack.transport.clock import Clock


def create_node(
    settings: Settings,
    clock: Clock,
    *,
    is_bootstrap: bool,
) -> Node:
    """Create a process with one component for each configured role.

    Components are imported only if their role is set, to save memory.

    Args:
        settings: Validated settings.
        clock: The clock to use.
        is_bootstrap: Whether to initialize an empty data folder.

    Returns:
        A process that listens; ``run`` starts its loop.
    """
    keys = None
    if settings.keys_file:
        from cumintack.transport.keys import load_keys

        keys = load_keys(pathlib.Path(settings.keys_file))
    node = Node(settings, clock, keys)
    node.start()
    if settings.control:
        from cumintack.daemon.control_component import ControlComponent

        node.components.append(
            ControlComponent(node, settings.control, is_bootstrap=is_bootstrap),
        )
    if settings.entry:
        from cumintack.daemon.entry_component import EntryComponent

        node.components.append(EntryComponent(node, settings.entry))
    if settings.guard:
        from cumintack.daemon.guard_component import GuardComponent

        node.components.append(GuardComponent(node, settings.guard))
    return node
