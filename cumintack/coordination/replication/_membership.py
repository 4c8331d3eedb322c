"""Changes of the membership, one at a time.

A new replica starts as a learner and gets its vote when it has caught up,
so that a repair never makes the quorum depend on an empty disk.
"""

from cumintack.coordination.replication import _leader, _log
from cumintack.coordination.replication._records import Replica, Role
from cumintack.protocol.replication_messages import Member
from cumintack.state.errors import ErrorCode, StepError

STEP = 'replica.change'


def _check_change(replica: Replica) -> StepError | None:
    if replica.role is not Role.leader:
        return StepError(
            ErrorCode.not_leader,
            STEP,
            replica.leader_id,
            'this is not the leader',
        )
    is_open = _leader.get_membership_index(replica) > replica.commit_index
    is_new = replica.commit_index < replica.term_start_index
    if is_open or is_new:
        return StepError(
            ErrorCode.unavailable,
            STEP,
            '',
            'another change of the membership is not committed yet',
        )
    return None


def propose_add(
    replica: Replica,
    name: str,
    address: str,
    now_s: float,
) -> int | StepError:
    """Add a replica as a learner, or replace one whose disk was lost.

    A member of the same name loses its place in the same change: its old
    disk is gone, so it can't count for a quorum any more.

    Args:
        replica: The leader.
        name: Name of the process.
        address: Where its link listens.
        now_s: The time.

    Returns:
        The index of the change, or an error.
    """
    error = _check_change(replica)
    if error:
        return error
    own = replica.hard.member_id
    old = [member for member in replica.members if member.name == name]
    if any(member.member_id == own for member in old):
        return StepError(
            ErrorCode.invalid,
            STEP,
            name,
            'the leader can not replace itself',
        )
    others = [member for member in replica.members if member.name != name]
    generation = _log.get_last_index(replica) + 1
    added = Member(f'{name}.{generation}', name, address, is_voter=False)
    return _leader.append_entry(replica, b'', (*others, added), now_s)


def propose_remove(
    replica: Replica,
    name: str,
    now_s: float,
) -> int | StepError:
    """Remove a replica.

    Args:
        replica: The leader.
        name: Name of the process.
        now_s: The time.

    Returns:
        The index of the change, or an error.
    """
    error = _check_change(replica)
    if error:
        return error
    others = tuple(member for member in replica.members if member.name != name)
    if len(others) == len(replica.members):
        return StepError(
            ErrorCode.not_found,
            STEP,
            name,
            f'{name!r} is not a replica',
        )
    if not any(member.is_voter for member in others):
        return StepError(
            ErrorCode.invalid,
            STEP,
            name,
            'the last voter can not be removed',
        )
    return _leader.append_entry(replica, b'', others, now_s)


def get_announced_members(replica: Replica) -> tuple[Member, ...]:
    """Get the members that other processes should hear of.

    A leader tells the whole membership once it is committed. A follower
    tells where the leader is: a process that knows only the replicas of its
    settings could not find a leader that joined the group later.

    Args:
        replica: The replica that is asked.

    Returns:
        All members from a leader, at most the leader from a follower.
    """
    if replica.role is not Role.leader:
        leader = replica.leader_id
        return tuple(
            member for member in replica.members if member.member_id == leader
        )
    if _leader.get_membership_index(replica) > replica.delivered_index:
        return ()
    return replica.members
