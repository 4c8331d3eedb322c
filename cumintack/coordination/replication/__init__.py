"""The replicated log of the control group.

The thin public face of the private modules beside it.
"""

from cumintack.coordination.replication._changes import (
    propose_add,
    propose_remove,
)
from cumintack.coordination.replication._replica import (
    create_first_members,
    create_replica,
    handle_message,
    handle_tick,
    propose,
    request_read,
)
from cumintack.coordination.replication._ready import (
    complete_compaction,
    complete_persist,
    take_committed,
    take_ready,
)
from cumintack.coordination.replication._records import (
    Ready,
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
    'DurableState',
    'HardState',
    'Ready',
    'Replica',
    'ReplicaSettings',
    'Role',
    'Snapshot',
    'complete_compaction',
    'complete_persist',
    'create_first_members',
    'create_replica',
    'handle_message',
    'handle_tick',
    'propose',
    'propose_add',
    'propose_remove',
    'request_read',
    'take_committed',
    'take_ready',
)
