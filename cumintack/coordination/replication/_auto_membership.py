"""Automatic membership: replicas join, silent members are removed.

A joining replica starts as a learner and becomes a voter once it has caught
up. A silent member is removed only after that, so that a replacement never
reduces the group below its configured number of voters.
"""

from cumintack.coordination.replication import _log, _membership
from cumintack.coordination.replication._records import Replica, Role
from cumintack.state.errors import StepError

# Seconds without a reply after which a member is removed while the group has
# surplus voters; longer than an election plus a restart.
MEMBER_TIMEOUT_S = 2.0


def handle_join_request(
    replica: Replica,
    name: str,
    address: str,
    member_id: str,
    now_s: float,
) -> StepError | None:
    """Handle the request of a process to become a member.

    Args:
        replica: The replica.
        name: Name of the process.
        address: Address on which its link listens.
        member_id: Its member identifier, empty on an empty disk.
        now_s: Current monotonic time in seconds.

    Returns:
        None if it is or becomes a member, else why it has to ask again.
    """
    if member_id and _log.get_member(replica, member_id):
        return None
    progress_by_id = replica.progress
    for member in replica.members:
        progress = progress_by_id.get(member.member_id)
        is_same_process = (member.name, member.address) == (name, address)
        has_no_entries = progress is not None and not progress.match_index
        if is_same_process and not member.is_voter and has_no_entries:
            return None
    outcome = _membership.propose_add(replica, name, address, now_s)
    return outcome if isinstance(outcome, StepError) else None


def remove_silent_member(
    replica: Replica,
    voter_count: int,
    now_s: float,
) -> str:
    """Remove a silent member if there are surplus voters.

    Args:
        replica: The replica.
        voter_count: Configured number of voters.
        now_s: Current monotonic time in seconds.

    Returns:
        The name of the member being removed, empty if none.
    """
    if replica.role is not Role.leader:
        return ''
    if len(_log.get_voters(replica)) <= voter_count:
        return ''
    for member in replica.members:
        progress = replica.progress.get(member.member_id)
        if progress is None:
            continue
        if now_s - progress.heard_at_s > MEMBER_TIMEOUT_S:
            index = _membership.propose_remove(replica, member.name, now_s)
            return '' if isinstance(index, StepError) else member.name
    return ''


def is_removed_from_group(
    replica: Replica,
    term: int,
    member_ids: frozenset[str],
) -> bool:
    """Check whether a replica was removed from the group.

    Args:
        replica: The replica.
        term: Term of the leader that sent the membership.
        member_ids: The membership that this leader has committed.

    Returns:
        True if the leader's term is at least that of this replica and the
        membership does not contain it.
    """
    own_id = replica.hard.member_id
    is_current_follower = (
        term >= replica.hard.term and replica.role is not Role.leader
    )
    return bool(own_id) and is_current_follower and own_id not in member_ids
