"""The replicated log of the control group.

The thin public face of the private modules beside it.
"""

from cumintack.coordination.replication._changes import (
    get_announced_members,
    propose_add,
    propose_remove,
)
from cumintack.coordination.replication._joining import (
    handle_join,
    is_removed,
    remove_silent,
)
from cumintack.coordination.replication._replica import (
    create_first_members,
    create_replica,
    hand_over,
    handle_message,
    handle_tick,
    propose,
    request_read,
)
from cumintack.coordination.replication._driver import (
    Backlog,
    Storage,
    Work,
    compact,
    work_off,
)
from cumintack.coordination.replication._records import (
    Replica,
    ReplicaSettings,
    Role,
)
from cumintack.protocol.replication_messages import (
    DurableState,
    HardState,
    Snapshot,
)

__all__ = (
    'Backlog',
    'DurableState',
    'HardState',
    'Replica',
    'ReplicaSettings',
    'Role',
    'Snapshot',
    'Storage',
    'Work',
    'compact',
    'create_first_members',
    'create_replica',
    'get_announced_members',
    'hand_over',
    'handle_join',
    'handle_message',
    'handle_tick',
    'is_removed',
    'propose',
    'propose_add',
    'propose_remove',
    'remove_silent',
    'request_read',
    'work_off',
)
