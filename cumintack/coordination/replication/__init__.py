"""The replicated log of the control group.

Re-exports the public names of the private modules in this package.
"""

from cumintack.coordination.replication._auto_membership import (
    handle_join_request,
    is_removed_from_group,
    remove_silent_member,
)
from cumintack.coordination.replication._driver import (
    CompactionLimits,
    CycleResult,
    PendingWrites,
    Storage,
    compact,
    is_compaction_due,
    run_cycle,
)
from cumintack.coordination.replication._membership import (
    get_announced_members,
    propose_add,
    propose_remove,
)
from cumintack.coordination.replication._records import (
    Replica,
    ReplicaSettings,
    Role,
)
from cumintack.coordination.replication._replica import (
    create_initial_members,
    create_replica,
    handle_message,
    handle_tick,
    propose,
    request_read,
    transfer_leadership,
)
from cumintack.protocol.replication_messages import (
    DurableState,
    HardState,
    Snapshot,
)

__all__ = (
    'PendingWrites',
    'DurableState',
    'HardState',
    'Replica',
    'ReplicaSettings',
    'Role',
    'Snapshot',
    'Storage',
    'CompactionLimits',
    'CycleResult',
    'compact',
    'create_initial_members',
    'create_replica',
    'get_announced_members',
    'transfer_leadership',
    'handle_join_request',
    'handle_message',
    'handle_tick',
    'is_compaction_due',
    'is_removed_from_group',
    'propose',
    'propose_add',
    'propose_remove',
    'remove_silent_member',
    'request_read',
    'run_cycle',
)
