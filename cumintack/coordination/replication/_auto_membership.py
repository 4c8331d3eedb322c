"""Membership without an operator: newcomers join, silent members leave.

A newcomer starts as a learner and votes once it has caught up; a member that
is silent leaves only after that, so that the group never counts on fewer
members than it is meant to have because of a repair.
"""

from cumintack.coordination.replication import _log, _membership
from cumintack.coordination.replication._records import Replica, Role
from cumintack.state.errors import StepError

# Seconds without an answer after which a member beyond the meant number
# leaves; longer than an election and a restart together.
SILENT_MEMBER_S = 2.0


def handle_join_request(
    replica: Replica,
    name: str,
    address: str,
    member_id: str,
    now_s: float,
) -> StepError | None:
    """Handle the wish of a process to be a member.

    Args:
        replica: The replica.
        name: Name of the process.
        address: Where its link listens.
        member_id: Its identifier, empty on a blank disk.
        now_s: The time.

    Returns:
        Why it has to ask again, None if it is or becomes a member.
    """
    if member_id and _log.get_member(replica, member_id):
        return None
    progress_by_id = replica.progress
    for member in replica.members:
        progress = progress_by_id.get(member.member_id)
        is_same = (member.name, member.address) == (name, address)
        is_invited = progress is not None and not progress.match_index
        if is_same and not member.is_voter and is_invited:
            return None
    outcome = _membership.propose_add(replica, name, address, now_s)
    return outcome if isinstance(outcome, StepError) else None


def remove_silent_member(
    replica: Replica,
    voter_count: int,
    now_s: float,
) -> str:
    """Remove a silent member if there are more voters than meant.

    Args:
        replica: The replica.
        voter_count: Voters that the group is meant to have.
        now_s: The time.

    Returns:
        The name of the member that is being removed, empty if none is.
    """
    if replica.role is not Role.leader:
        return ''
    if len(_log.get_voters(replica)) <= voter_count:
        return ''
    for member in replica.members:
        progress = replica.progress.get(member.member_id)
        if progress is None:
            continue
        if now_s - progress.heard_at_s > SILENT_MEMBER_S:
            index = _membership.propose_remove(replica, member.name, now_s)
            return '' if isinstance(index, StepError) else member.name
    return ''


def is_removed_from_group(
    replica: Replica,
    term: int,
    member_ids: frozenset[str],
) -> bool:
    """Tell whether a replica is no member any more.

    Args:
        replica: The replica.
        term: Term of the leader that says so.
        member_ids: The members as that leader has committed them.

    Returns:
        True if the leader is of this replica's term or a later one and does
        not list it.
    """
    own = replica.hard.member_id
    is_current = term >= replica.hard.term and replica.role is not Role.leader
    return bool(own) and is_current and own not in member_ids
