"""Leader behaviour: append, commit, confirm reads, step down."""

from collections.abc import Mapping

from cumintack.coordination.replication import _follower, _log
from cumintack.coordination.replication._records import (
    Progress,
    Replica,
    Role,
)
from cumintack.protocol.replication_messages import (
    AppendReply,
    AppendRequest,
    Invitation,
    LogEntry,
    Member,
    SnapshotChunk,
    SnapshotReply,
)

RESEND_AFTER_HEARTBEATS = 3


def become_leader(replica: Replica, now_s: float) -> None:
    """Become leader of the current term.

    An empty entry of the new term is appended at once, because entries of
    earlier terms are committed only through an entry of the current term.

    Args:
        replica: A candidate with votes from a quorum.
        now_s: Current monotonic time in seconds.
    """
    replica.role = Role.leader
    replica.leader_id = replica.hard.member_id
    replica.quorum_heard_at_s = now_s
    replica.reads = []
    replica.heartbeat_at_s = now_s
    last_index = _log.get_last_index(replica)
    replica.progress = {}
    for member in replica.members:
        _start_tracking(replica, member, last_index, now_s)
    replica.term_start_index = append_entry(replica, b'', None, now_s)


def _start_tracking(
    replica: Replica,
    member: Member,
    last_index: int,
    now_s: float,
) -> None:
    if member.member_id == replica.hard.member_id:
        return
    if member.member_id not in replica.progress:
        replica.progress[member.member_id] = Progress(
            last_index + 1,
            heard_at_s=now_s,
        )


def append_entry(
    replica: Replica,
    payload: bytes,
    members: tuple[Member, ...] | None,
    now_s: float,
) -> int:
    """Append an entry of the current term.

    It is sent when the driver takes the next batch.

    Args:
        replica: The leader.
        payload: The encoded command, empty for none.
        members: The new membership, None if unchanged.
        now_s: Current monotonic time in seconds.

    Returns:
        The index of the entry.
    """
    last_index = _log.get_last_index(replica)
    index = last_index + 1
    entry = LogEntry(index, replica.hard.term, payload, members)
    _log.append(replica, [entry])
    if members is not None:
        for member in members:
            _start_tracking(replica, member, last_index, now_s)
        remaining_ids = {remaining.member_id for remaining in members}
        replica.progress = {
            member_id: progress
            for member_id, progress in replica.progress.items()
            if member_id in remaining_ids
        }
    return index


def broadcast(replica: Replica, now_s: float) -> None:
    """Send a heartbeat with any pending entries to every member.

    Args:
        replica: The leader.
        now_s: Current monotonic time in seconds.
    """
    replica.round_number += 1
    replica.heartbeat_at_s = now_s + replica.settings.heartbeat_s
    for member_id, progress in replica.progress.items():
        _rewind_if_stalled(replica, progress, now_s)
        if _needs_invitation(replica, member_id, progress):
            replica.ready.early_messages.append(
                Invitation(
                    replica.hard.term,
                    replica.hard.member_id,
                    member_id,
                ),
            )
        send_to(replica, member_id, now_s, is_heartbeat=True)
    confirm_reads(replica)


def _rewind_if_stalled(
    replica: Replica,
    progress: Progress,
    now_s: float,
) -> None:
    stalled_s = replica.settings.heartbeat_s * RESEND_AFTER_HEARTBEATS
    if progress.is_probing or now_s - progress.sent_at_s < stalled_s:
        return
    if progress.next_index > progress.match_index + 1:
        progress.next_index = progress.match_index + 1


def _needs_invitation(
    replica: Replica, member_id: str, progress: Progress
) -> bool:
    member = _log.get_member(replica, member_id)
    if member is None or member.is_voter:
        return False
    return not progress.match_index and not progress.snapshot_offset


def send_to(
    replica: Replica,
    member_id: str,
    now_s: float,
    *,
    is_heartbeat: bool = False,
) -> None:
    """Send entries to a member, or a snapshot chunk if they are compacted.

    Args:
        replica: The leader.
        member_id: The member.
        now_s: Current monotonic time in seconds.
        is_heartbeat: Whether to send a request even without entries.
    """
    progress = replica.progress[member_id]
    if progress.next_index <= replica.snapshot.last_index:
        if is_heartbeat or progress.snapshot_index == 0:
            _send_chunk(replica, member_id, progress, now_s)
        return
    entries = _select_entries(replica, progress)
    if not entries and not is_heartbeat:
        return
    previous_index = progress.next_index - 1
    previous_term = _log.get_term_at(replica, previous_index)
    if previous_term is None:
        return
    replica.ready.early_messages.append(
        AppendRequest(
            replica.hard.term,
            replica.hard.member_id,
            member_id,
            previous_index,
            previous_term,
            tuple(entries),
            replica.commit_index,
            replica.round_number,
        ),
    )
    if entries:
        progress.sent_at_s = now_s
        if not progress.is_probing:
            progress.next_index += len(entries)


def _select_entries(replica: Replica, progress: Progress) -> list[LogEntry]:
    settings = replica.settings
    last = progress.next_index + settings.max_entries_per_append - 1
    entries = _log.get_slice(replica, progress.next_index, last)
    total_bytes = 0
    for count, entry in enumerate(entries):
        total_bytes += len(entry.payload)
        if total_bytes > settings.max_append_bytes and count:
            return entries[:count]
    return entries


def _send_chunk(
    replica: Replica,
    member_id: str,
    progress: Progress,
    now_s: float,
) -> None:
    snapshot = replica.snapshot
    if progress.snapshot_index != snapshot.last_index:
        progress.snapshot_index = snapshot.last_index
        progress.snapshot_offset = 0
    offset = progress.snapshot_offset
    chunk_bytes = replica.settings.snapshot_chunk_bytes
    progress.sent_at_s = now_s
    replica.ready.early_messages.append(
        SnapshotChunk(
            replica.hard.term,
            replica.hard.member_id,
            member_id,
            snapshot.last_index,
            snapshot.last_term,
            snapshot.members,
            offset,
            len(snapshot.encoded),
            snapshot.encoded[offset : offset + chunk_bytes],
            replica.round_number,
        ),
    )


def handle_append_reply(
    replica: Replica,
    message: AppendReply,
    now_s: float,
) -> None:
    """Handle the reply to an append request.

    Args:
        replica: The replica.
        message: The reply.
        now_s: Current monotonic time in seconds.
    """
    progress = _record_reply(replica, message, now_s)
    if progress is None:
        return
    if not message.is_accepted:
        if message.match_index < progress.match_index:
            return
        progress.next_index = max(
            progress.match_index + 1,
            min(message.match_index + 1, progress.next_index - 1),
        )
        progress.is_probing = True
        send_to(replica, message.sender, now_s, is_heartbeat=True)
        return
    progress.is_probing = False
    progress.snapshot_index = 0
    if message.match_index > progress.match_index:
        progress.match_index = message.match_index
        progress.next_index = max(
            progress.next_index,
            message.match_index + 1,
        )
        advance_commit(replica, now_s)
    _promote_learner(replica, message.sender, now_s)


def _record_reply(
    replica: Replica,
    message: AppendReply | SnapshotReply,
    now_s: float,
) -> Progress | None:
    is_current = message.term == replica.hard.term
    if replica.role is not Role.leader or not is_current:
        return None
    progress = replica.progress.get(message.sender)
    if progress is None:
        return None
    progress.heard_at_s = now_s
    progress.acked_round = max(progress.acked_round, message.round_number)
    confirm_reads(replica)
    return progress


def handle_snapshot_reply(
    replica: Replica,
    message: SnapshotReply,
    now_s: float,
) -> None:
    """Handle the reply to a snapshot chunk.

    Sends the next chunk, or returns to appends after the last one.

    Args:
        replica: The replica.
        message: The reply.
        now_s: Current monotonic time in seconds.
    """
    progress = _record_reply(replica, message, now_s)
    if progress is None:
        return
    if message.last_index != progress.snapshot_index:
        return
    total_bytes = len(replica.snapshot.encoded)
    is_complete = message.next_offset >= total_bytes
    if is_complete:
        progress.snapshot_index = 0
        progress.snapshot_offset = total_bytes
        progress.match_index = max(progress.match_index, message.last_index)
        progress.next_index = message.last_index + 1
        progress.is_probing = False
        advance_commit(replica, now_s)
        send_to(replica, message.sender, now_s, is_heartbeat=True)
        return
    if message.next_offset != progress.snapshot_offset:
        progress.snapshot_offset = message.next_offset
        _send_chunk(replica, message.sender, progress, now_s)


def _compute_quorum_value(
    replica: Replica,
    values_by_member: Mapping[str, float],
    own_value: float,
) -> float:
    """Compute the highest value that a quorum of voters has reached."""
    reached_values = [
        own_value
        if member.member_id == replica.hard.member_id
        else values_by_member[member.member_id]
        for member in _log.get_voters(replica)
    ]
    reached_values.sort(reverse=True)
    return reached_values[_log.compute_quorum(replica) - 1]


def advance_commit(replica: Replica, now_s: float) -> None:
    """Commit the entries that a quorum has synced.

    The commit index moves only to an entry of the current term; entries of
    earlier terms are committed with it.

    Args:
        replica: The leader.
        now_s: Current monotonic time in seconds.
    """
    match_indexes = {
        member_id: progress.match_index
        for member_id, progress in replica.progress.items()
    }
    index = int(
        _compute_quorum_value(replica, match_indexes, replica.synced_index)
    )
    if index <= replica.commit_index:
        return
    if _log.get_term_at(replica, index) != replica.hard.term:
        return
    replica.commit_index = index
    _step_down_if_removed(replica, now_s)


def _step_down_if_removed(replica: Replica, now_s: float) -> None:
    if _log.is_voter(replica):
        return
    if get_membership_index(replica) <= replica.commit_index:
        for member_id in replica.progress:
            send_to(replica, member_id, now_s, is_heartbeat=True)
        _follower.become_follower(replica, replica.hard.term, '', now_s)


def get_membership_index(replica: Replica) -> int:
    """Get the index of the entry that set the membership in force.

    Args:
        replica: The replica.

    Returns:
        The index; that of the snapshot if the entry was compacted.
    """
    for entry in reversed(replica.entries):
        if entry.members is not None:
            return entry.index
    return replica.snapshot.last_index


def _promote_learner(replica: Replica, member_id: str, now_s: float) -> None:
    member = _log.get_member(replica, member_id)
    if member is None or member.is_voter:
        return
    progress = replica.progress[member_id]
    is_membership_committed = (
        get_membership_index(replica) <= replica.commit_index
    )
    has_caught_up = progress.match_index >= replica.commit_index
    is_term_committed = replica.commit_index >= replica.term_start_index
    if not (is_membership_committed and has_caught_up and is_term_committed):
        return
    members = tuple(
        Member(other.member_id, other.name, other.address, is_voter=True)
        if other.member_id == member_id
        else other
        for other in replica.members
    )
    append_entry(replica, b'', members, now_s)


def check_quorum(replica: Replica, now_s: float) -> None:
    """Step down if no quorum replied within the election timeout.

    Args:
        replica: The leader.
        now_s: Current monotonic time in seconds.
    """
    reply_times = {
        member_id: progress.heard_at_s
        for member_id, progress in replica.progress.items()
    }
    replica.quorum_heard_at_s = max(
        replica.quorum_heard_at_s,
        _compute_quorum_value(replica, reply_times, now_s),
    )
    silence_s = now_s - replica.quorum_heard_at_s
    if silence_s >= replica.settings.election_timeout_s:
        _follower.become_follower(replica, replica.hard.term, '', now_s)


def confirm_reads(replica: Replica) -> None:
    """Release the reads whose heartbeat round a quorum has acknowledged.

    Args:
        replica: The leader.
    """
    if not replica.reads:
        return
    acked_rounds = {
        member_id: progress.acked_round
        for member_id, progress in replica.progress.items()
    }
    confirmed_round = _compute_quorum_value(
        replica, acked_rounds, replica.round_number
    )
    unconfirmed = []
    for read in replica.reads:
        if read.round_number <= confirmed_round:
            replica.ready.reads.append(read.read_id)
        else:
            unconfirmed.append(read)
    replica.reads = unconfirmed
