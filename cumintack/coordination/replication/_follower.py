"""Follower behaviour: terms, append requests and received snapshots."""

import random

from cumintack.coordination.replication import _log
from cumintack.coordination.replication._records import (
    Replica,
    Role,
)
from cumintack.protocol.replication_messages import (
    AppendReply,
    AppendRequest,
    HardState,
    LogEntry,
    Snapshot,
    SnapshotChunk,
    SnapshotReply,
)

SEED_BITS = 32


class CommittedEntryError(Exception):
    """A leader tried to overwrite a committed entry; the replica must stop."""


def reset_election_timer(replica: Replica, now_s: float) -> None:
    """Restart the election timeout with new jitter.

    Args:
        replica: The replica.
        now_s: Current monotonic time in seconds.
    """
    generator = random.Random(replica.jitter_state)  # noqa: S311
    replica.jitter_state = generator.getrandbits(SEED_BITS)
    timeout_s = replica.settings.election_timeout_s
    replica.election_at_s = now_s + timeout_s * (1 + generator.random())


def set_hard_state(replica: Replica, term: int, voted_for: str) -> None:
    """Change the term or the vote; it is synced before messages are sent.

    Args:
        replica: The replica.
        term: The term.
        voted_for: The member voted for in it, empty for none.
    """
    hard = HardState(
        term,
        voted_for,
        replica.hard.member_id,
        replica.hard.is_incomplete,
    )
    if hard != replica.hard:
        replica.hard = hard
        replica.ready.hard_state = hard


def mark_log_complete(replica: Replica) -> None:
    """Allow elections again, since no acknowledged entry is missing.

    Args:
        replica: The replica.
    """
    hard = replica.hard
    if hard.is_incomplete:
        replica.hard = HardState(hard.term, hard.voted_for, hard.member_id)
        replica.ready.hard_state = replica.hard


def become_follower(
    replica: Replica,
    term: int,
    leader_id: str,
    now_s: float,
) -> None:
    """Become a follower in the current term or a later one.

    Args:
        replica: The replica.
        term: The term.
        leader_id: The leader of that term, empty if unknown.
        now_s: Current monotonic time in seconds.
    """
    if replica.role is not Role.follower:
        replica.role = Role.follower
        reset_election_timer(replica, now_s)
    replica.ready.failed_reads.extend(read.read_id for read in replica.reads)
    replica.reads = []
    replica.progress = {}
    replica.votes = set()
    replica.leader_id = leader_id
    if term > replica.hard.term:
        set_hard_state(replica, term, '')


def _recognize_leader(replica: Replica, sender: str, now_s: float) -> None:
    replica.leader_id = sender
    replica.leader_heard_at_s = now_s
    replica.role = Role.follower
    reset_election_timer(replica, now_s)


def handle_append_request(
    replica: Replica,
    message: AppendRequest,
    now_s: float,
) -> None:
    """Handle an append request.

    Args:
        replica: The replica.
        message: The request.
        now_s: Current monotonic time in seconds.
    """
    if message.term < replica.hard.term:
        _send_append_reply(replica, message, is_accepted=False, match_index=0)
        return
    _recognize_leader(replica, message.sender, now_s)
    base = replica.snapshot.last_index
    entries = [entry for entry in message.entries if entry.index > base]
    if message.previous_index >= base:
        own_term = _log.get_term_at(replica, message.previous_index)
        if own_term != message.previous_term:
            hint = _compute_conflict_hint(replica, message)
            _send_append_reply(
                replica,
                message,
                is_accepted=False,
                match_index=hint,
            )
            return
    _merge_entries(replica, entries)
    match_index = message.previous_index + len(message.entries)
    commit_index = min(message.commit_index, match_index)
    replica.commit_index = max(replica.commit_index, commit_index)
    if message.commit_index == commit_index:
        _mark_complete_if_caught_up(replica, message)
    _send_append_reply(
        replica, message, is_accepted=True, match_index=match_index
    )


def _mark_complete_if_caught_up(
    replica: Replica, message: AppendRequest
) -> None:
    committed_term = _log.get_term_at(replica, message.commit_index)
    if committed_term == message.term:
        mark_log_complete(replica)


def _compute_conflict_hint(replica: Replica, message: AppendRequest) -> int:
    own_last_index = _log.get_last_index(replica)
    if own_last_index < message.previous_index:
        return own_last_index
    conflict_term = _log.get_term_at(replica, message.previous_index)
    index = message.previous_index
    lower_bound = max(replica.snapshot.last_index, replica.commit_index)
    while (
        index > lower_bound
        and _log.get_term_at(replica, index) == conflict_term
    ):
        index -= 1
    return index


def _merge_entries(replica: Replica, entries: list[LogEntry]) -> None:
    for position, entry in enumerate(entries):
        own_term = _log.get_term_at(replica, entry.index)
        if own_term == entry.term:
            continue
        if entry.index <= replica.commit_index:
            raise CommittedEntryError(entry.index)
        if own_term is not None:
            _log.truncate_from(replica, entry.index)
        _log.append(replica, entries[position:])
        return


def _send_append_reply(
    replica: Replica,
    message: AppendRequest,
    *,
    is_accepted: bool,
    match_index: int,
) -> None:
    replica.ready.messages.append(
        AppendReply(
            replica.hard.term,
            replica.hard.member_id,
            message.sender,
            is_accepted,
            match_index,
            message.round_number,
        ),
    )


def handle_snapshot_chunk(
    replica: Replica,
    message: SnapshotChunk,
    now_s: float,
) -> None:
    """Handle a chunk of a snapshot.

    Args:
        replica: The replica.
        message: The chunk.
        now_s: Current monotonic time in seconds.
    """
    if message.term < replica.hard.term:
        _send_snapshot_reply(replica, message, 0)
        return
    _recognize_leader(replica, message.sender, now_s)
    if message.last_index <= replica.commit_index:
        _send_snapshot_reply(replica, message, message.total_bytes)
        return
    if replica.incoming_index != message.last_index or not message.offset:
        replica.incoming = bytearray()
        replica.incoming_index = message.last_index
    if message.offset == len(replica.incoming):
        replica.incoming.extend(message.chunk)
    if len(replica.incoming) == message.total_bytes:
        _install_snapshot(replica, message)
        _send_snapshot_reply(replica, message, message.total_bytes)
        return
    _send_snapshot_reply(replica, message, len(replica.incoming))


def _install_snapshot(replica: Replica, message: SnapshotChunk) -> None:
    snapshot = Snapshot(
        message.last_index,
        message.last_term,
        message.members,
        bytes(replica.incoming),
    )
    replica.incoming = bytearray()
    replica.incoming_index = 0
    replica.entries = []
    replica.snapshot = snapshot
    replica.members = snapshot.members
    replica.commit_index = snapshot.last_index
    replica.delivered_index = snapshot.last_index
    replica.synced_index = snapshot.last_index
    replica.ready.entries = []
    replica.ready.snapshot = snapshot


def _send_snapshot_reply(
    replica: Replica,
    message: SnapshotChunk,
    next_offset: int,
) -> None:
    replica.ready.messages.append(
        SnapshotReply(
            replica.hard.term,
            replica.hard.member_id,
            message.sender,
            message.last_index,
            next_offset,
            message.round_number,
        ),
    )
