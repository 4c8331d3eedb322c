"""Public operations of a replica: ticks, messages, proposals and reads.

Every function takes the replica, the event and the time in seconds of a
monotonic clock. Output to write, send and apply is collected in
``replica.ready``, so that one disk sync covers many events.
"""

from cumintack.coordination.replication import _follower, _leader, _log
from cumintack.coordination.replication._records import (
    PendingRead,
    Replica,
    ReplicaSettings,
    Role,
)
from cumintack.protocol.replication_messages import (
    AppendReply,
    AppendRequest,
    DurableState,
    Handover,
    HardState,
    Invitation,
    Member,
    ReplicationMessage,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
    VoteRequest,
)
from cumintack.state.errors import ErrorCode, StepError

# Seconds for which the disk of a leader may refuse writes before it steps
# down; longer than a slow sync, shorter than the timeouts of callers.
DISK_STALL_TIMEOUT_S = 0.4


def create_replica(
    settings: ReplicaSettings,
    durable: DurableState,
    now_s: float,
    seed: int,
) -> Replica:
    """Create a replica from the state on its disk.

    A replica with an empty disk waits for an invitation, and neither votes
    nor accepts entries. One whose log was truncated during recovery may lack
    entries that it acknowledged, and takes no part in elections until it has
    caught up with a leader.

    Args:
        settings: Timing and limits.
        durable: The state recovered from the disk.
        now_s: Current monotonic time in seconds.
        seed: Seed of the election jitter.

    Returns:
        A follower.
    """
    snapshot = durable.snapshot
    replica = Replica(
        settings,
        durable.hard,
        snapshot,
        list(durable.entries),
        snapshot.members,
        seed,
        commit_index=snapshot.last_index,
        delivered_index=snapshot.last_index,
    )
    replica.members = _log.compute_members(replica)
    replica.synced_index = _log.get_last_index(replica)
    is_only_voter = len(_log.get_voters(replica)) == 1
    if durable.hard.is_incomplete and is_only_voter:
        _follower.mark_log_complete(replica)
    _follower.reset_election_timer(replica, now_s)
    return replica


def create_initial_members(
    names_and_addresses: tuple[tuple[str, str], ...],
) -> tuple[Member, ...]:
    """Create the initial membership of a control group.

    Args:
        names_and_addresses: Name and link address of each replica.

    Returns:
        Voters, all of generation 1.
    """
    return tuple(
        Member(f'{name}.1', name, address)
        for name, address in names_and_addresses
    )


def handle_tick(replica: Replica, now_s: float) -> None:
    """Handle timers: heartbeats, elections and loss of quorum.

    Args:
        replica: The replica.
        now_s: Current monotonic time in seconds.
    """
    if replica.role is Role.leader:
        _leader.check_quorum(replica, now_s)
        _step_down_if_disk_stalled(replica, now_s)
    if replica.role is Role.leader:
        if now_s >= replica.heartbeat_at_s:
            _leader.broadcast(replica, now_s)
        return
    is_disk_trusted = (
        not replica.hard.is_incomplete and replica.stuck_since_s is None
    )
    is_electable = _log.is_voter(replica) and is_disk_trusted
    if now_s >= replica.election_at_s and is_electable:
        _start_pre_vote(replica, now_s)


def _step_down_if_disk_stalled(replica: Replica, now_s: float) -> None:
    stalled_since_s = replica.stuck_since_s
    if (
        stalled_since_s is not None
        and now_s - stalled_since_s >= DISK_STALL_TIMEOUT_S
    ):
        _follower.become_follower(replica, replica.hard.term, '', now_s)


def transfer_leadership(replica: Replica, now_s: float) -> str:
    """Transfer leadership to the most up-to-date voter.

    Until the successor leads, or for one election timeout, this leader
    refuses commands, so that the log of the successor does not fall behind.

    Args:
        replica: The replica.
        now_s: Current monotonic time in seconds.

    Returns:
        The member identifier of the successor, empty if there is none.
    """
    if replica.role is not Role.leader:
        return ''
    voters = {member.member_id for member in _log.get_voters(replica)}
    oldest_heard_at_s = now_s - replica.settings.election_timeout_s
    candidates = [
        (progress.match_index, member_id)
        for member_id, progress in replica.progress.items()
        if member_id in voters and progress.heard_at_s >= oldest_heard_at_s
    ]
    if not candidates:
        return ''
    successor = max(candidates)[1]
    timeout_s = replica.settings.election_timeout_s
    replica.handover_until_s = now_s + timeout_s
    replica.ready.messages.append(
        Handover(replica.hard.term, replica.hard.member_id, successor),
    )
    return successor


def _handle_leadership_transfer(
    replica: Replica, message: Handover, now_s: float
) -> None:
    is_electable = _log.is_voter(replica) and not replica.hard.is_incomplete
    if message.term == replica.hard.term and is_electable:
        _start_election(replica, now_s, is_leadership_transfer=True)


def handle_message(
    replica: Replica,
    message: ReplicationMessage,
    now_s: float,
) -> None:
    """Handle a message from another replica.

    Args:
        replica: The replica.
        message: The message.
        now_s: Current monotonic time in seconds.
    """
    if isinstance(message, Invitation):
        _accept_invitation(replica, message)
        return
    if not replica.hard.member_id:
        return
    if message.receiver != replica.hard.member_id:
        return
    if isinstance(message, VoteRequest):
        _handle_vote_request(replica, message, now_s)
        return
    if message.term > replica.hard.term and not _is_granted_pre_vote(message):
        _follower.become_follower(replica, message.term, '', now_s)
    match message:
        case VoteReply():
            _handle_vote_reply(replica, message, now_s)
        case AppendRequest():
            _follower.handle_append_request(replica, message, now_s)
        case SnapshotChunk():
            _follower.handle_snapshot_chunk(replica, message, now_s)
        case AppendReply():
            _leader.handle_append_reply(replica, message, now_s)
        case SnapshotReply():
            _leader.handle_snapshot_reply(replica, message, now_s)
        case Handover():
            _handle_leadership_transfer(replica, message, now_s)


def _is_granted_pre_vote(message: ReplicationMessage) -> bool:
    return (
        isinstance(message, VoteReply)
        and message.is_trial
        and message.is_granted
    )


def _accept_invitation(replica: Replica, message: Invitation) -> None:
    if replica.hard.member_id:
        return
    hard = HardState(message.term, '', message.receiver)
    replica.hard = hard
    replica.ready.hard_state = hard


def _start_pre_vote(replica: Replica, now_s: float) -> None:
    replica.role = Role.pre_candidate
    replica.leader_id = ''
    replica.votes = {replica.hard.member_id}
    _follower.reset_election_timer(replica, now_s)
    if len(replica.votes) >= _log.compute_quorum(replica):
        _start_election(replica, now_s)
        return
    _request_votes(replica, replica.hard.term + 1, is_pre_vote=True)


def _start_election(
    replica: Replica,
    now_s: float,
    *,
    is_leadership_transfer: bool = False,
) -> None:
    replica.role = Role.candidate
    replica.votes = {replica.hard.member_id}
    _follower.set_hard_state(
        replica,
        replica.hard.term + 1,
        replica.hard.member_id,
    )
    _follower.reset_election_timer(replica, now_s)
    if len(replica.votes) >= _log.compute_quorum(replica):
        _leader.become_leader(replica, now_s)
        return
    _request_votes(
        replica,
        replica.hard.term,
        is_pre_vote=False,
        is_leadership_transfer=is_leadership_transfer,
    )


def _request_votes(
    replica: Replica,
    term: int,
    *,
    is_pre_vote: bool,
    is_leadership_transfer: bool = False,
) -> None:
    for member in _log.get_voters(replica):
        if member.member_id == replica.hard.member_id:
            continue
        replica.ready.messages.append(
            VoteRequest(
                term,
                replica.hard.member_id,
                member.member_id,
                _log.get_last_index(replica),
                _log.get_last_term(replica),
                is_pre_vote,
                is_leadership_transfer,
            ),
        )


def _handle_vote_request(
    replica: Replica,
    message: VoteRequest,
    now_s: float,
) -> None:
    silence_s = now_s - replica.leader_heard_at_s
    has_leader = silence_s < replica.settings.election_timeout_s
    has_leader = has_leader or replica.role is Role.leader
    if replica.hard.is_incomplete or (has_leader and not message.is_handover):
        return
    if message.is_trial:
        is_granted = message.term > replica.hard.term and _is_up_to_date(
            replica, message
        )
        _reply_vote(replica, message, is_granted)
        return
    if message.term > replica.hard.term:
        _follower.become_follower(replica, message.term, '', now_s)
    is_granted = (
        message.term == replica.hard.term
        and replica.hard.voted_for in {'', message.sender}
        and _is_up_to_date(replica, message)
    )
    if is_granted:
        _follower.set_hard_state(replica, message.term, message.sender)
        _follower.reset_election_timer(replica, now_s)
    _reply_vote(replica, message, is_granted)


def _is_up_to_date(replica: Replica, message: VoteRequest) -> bool:
    own_position = (_log.get_last_term(replica), _log.get_last_index(replica))
    return (message.last_term, message.last_index) >= own_position


def _reply_vote(
    replica: Replica,
    message: VoteRequest,
    is_granted: bool,
) -> None:
    term = message.term if is_granted else replica.hard.term
    replica.ready.messages.append(
        VoteReply(
            term,
            replica.hard.member_id,
            message.sender,
            is_granted,
            message.is_trial,
        ),
    )


def _handle_vote_reply(
    replica: Replica,
    message: VoteReply,
    now_s: float,
) -> None:
    if not message.is_granted:
        return
    sender = _log.get_member(replica, message.sender)
    if sender is None or not sender.is_voter:
        return
    is_pre_vote = replica.role is Role.pre_candidate
    expected_term = replica.hard.term + 1 if is_pre_vote else replica.hard.term
    is_campaigning = is_pre_vote or replica.role is Role.candidate
    if not is_campaigning or message.is_trial is not is_pre_vote:
        return
    if message.term != expected_term:
        return
    replica.votes.add(message.sender)
    if len(replica.votes) < _log.compute_quorum(replica):
        return
    if is_pre_vote:
        _start_election(replica, now_s)
    else:
        _leader.become_leader(replica, now_s)


def propose(
    replica: Replica,
    payload: bytes,
    now_s: float,
) -> int | StepError:
    """Propose a command for the replicated log.

    Args:
        replica: The replica.
        payload: The encoded command.
        now_s: Current monotonic time in seconds.

    Returns:
        The log index of its entry, or why it is refused.
    """
    if replica.role is not Role.leader:
        return _create_error(
            replica, ErrorCode.not_leader, 'this is not the leader'
        )
    if now_s < replica.handover_until_s:
        return _create_error(
            replica, ErrorCode.unavailable, 'leadership transfer in progress'
        )
    uncommitted_count = _log.get_last_index(replica) - replica.commit_index
    if uncommitted_count >= replica.settings.max_unsynced_entries:
        return _create_error(
            replica,
            ErrorCode.unavailable,
            f'{uncommitted_count} log entries are not committed yet',
        )
    return _leader.append_entry(replica, payload, None, now_s)


def request_read(
    replica: Replica,
    read_id: int,
    now_s: float,
) -> StepError | None:
    """Request a linearizable read.

    Args:
        replica: The replica.
        read_id: Identifier under which it is returned in ``Ready``.
        now_s: Current monotonic time in seconds.

    Returns:
        None if the read is accepted, else why it is refused.
    """
    if replica.role is not Role.leader:
        return _create_error(
            replica, ErrorCode.not_leader, 'this is not the leader'
        )
    if replica.commit_index < replica.term_start_index:
        return _create_error(
            replica,
            ErrorCode.unavailable,
            'the leader has not committed an entry of its term yet',
        )
    replica.reads.append(
        PendingRead(
            read_id,
            replica.round_number + 1,
            replica.commit_index,
        ),
    )
    replica.heartbeat_at_s = now_s
    _leader.confirm_reads(replica)
    return None


def _create_error(replica: Replica, code: ErrorCode, detail: str) -> StepError:
    return StepError(code, 'replication', replica.leader_id, detail)
