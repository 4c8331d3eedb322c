"""Membership changes, one at a time.

A new replica starts as a learner and becomes a voter once it has caught up,
so that replacing a replica never makes the quorum depend on an empty disk.
"""

from cumintack.coordination.replication import _leader, _log
from cumintack.coordination.replication._records import Replica, Role
from cumintack.protocol.replication_messages import Member
from cumintack.state.errors import ErrorCode, StepError

STEP = 'replica.change'


def _check_change_allowed(replica: Replica) -> StepError | None:
    if replica.role is not Role.leader:
        return StepError(
            ErrorCode.not_leader,
            STEP,
            replica.leader_id,
            'this is not the leader',
        )
    has_uncommitted_change = (
        _leader.get_membership_index(replica) > replica.commit_index
    )
    is_term_uncommitted = replica.commit_index < replica.term_start_index
    if has_uncommitted_change or is_term_uncommitted:
        return StepError(
            ErrorCode.unavailable,
            STEP,
            '',
            'an earlier membership change is not committed yet',
        )
    return None


def propose_add(
    replica: Replica,
    name: str,
    address: str,
    now_s: float,
) -> int | StepError:
    """Add a replica as a learner, or replace one whose disk was lost.

    A member of the same name is removed in the same change: its disk is
    lost, so it must no longer count towards a quorum.

    Args:
        replica: The leader.
        name: Name of the process.
        address: Address on which its link listens.
        now_s: Current monotonic time in seconds.

    Returns:
        The log index of the change, or an error.
    """
    error = _check_change_allowed(replica)
    if error:
        return error
    own_id = replica.hard.member_id
    replaced = [member for member in replica.members if member.name == name]
    if any(member.member_id == own_id for member in replaced):
        return StepError(
            ErrorCode.invalid,
            STEP,
            name,
            'the leader cannot replace itself',
        )
    remaining = [member for member in replica.members if member.name != name]
    generation = _log.get_last_index(replica) + 1
    added = Member(f'{name}.{generation}', name, address, is_voter=False)
    return _leader.append_entry(replica, b'', (*remaining, added), now_s)


def propose_remove(
    replica: Replica,
    name: str,
    now_s: float,
) -> int | StepError:
    """Remove a replica.

    Args:
        replica: The leader.
        name: Name of the process.
        now_s: Current monotonic time in seconds.

    Returns:
        The log index of the change, or an error.
    """
    error = _check_change_allowed(replica)
    if error:
        return error
    remaining = tuple(
        member for member in replica.members if member.name != name
    )
    if len(remaining) == len(replica.members):
        return StepError(
            ErrorCode.not_found,
            STEP,
            name,
            f'{name!r} is not a replica',
        )
    if not any(member.is_voter for member in remaining):
        return StepError(
            ErrorCode.invalid,
            STEP,
            name,
            'the last voter cannot be removed',
        )
    return _leader.append_entry(replica, b'', remaining, now_s)


def get_announced_members(replica: Replica) -> tuple[Member, ...]:
    """Get the members that a replica announces to other processes.

    A leader announces the whole membership once it is committed. A follower
    announces only the leader, because a process that knows only the replicas
    in its settings could not find a leader that joined the group later.

    Args:
        replica: The announcing replica.

    Returns:
        All members on a leader, at most the leader on a follower.
    """
    if replica.role is not Role.leader:
        leader = replica.leader_id
        return tuple(
            member for member in replica.members if member.member_id == leader
        )
    if _leader.get_membership_index(replica) > replica.delivered_index:
        return ()
    return replica.members
