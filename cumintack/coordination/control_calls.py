"""Calls to the control group, resent until they are answered.

A call keeps its session and sequence number when it is resent, so a command
whose answer was lost is still applied only once.

The numbers of the calls of one process are those of no other, also not of a
former process of the same name: the answer to a call of that one may arrive
long after it ended, over a link that leads to the name.
"""

import msgspec

from cumintack.coordination.effects import Send
from cumintack.protocol.messages import Message

RESEND_AFTER_S = 0.4
# Delay before a call that did not reach the leader is resent.
REDIRECT_RESEND_S = 0.02
# Bits of a call number that count within a process. Those above are drawn for
# each process, and the whole fits into the 64 bits of an encoded number.
CALL_COUNT_BITS = 15
HEX_BASE = 16


class PendingCall(msgspec.Struct):
    """A call that has not been answered.

    Attributes:
        call_id: Number of the call.
        message: The message to send.
        deadline_s: When the call expires.
        send_at_s: When to resend it.
        next_index: Index of the replica to try next while the leader is
            unknown.
        sent_to: The replica that it was last sent to.
        is_redirected: Whether that replica answered that it is not the leader.
    """

    call_id: int
    message: Message
    deadline_s: float
    send_at_s: float = 0
    next_index: int = 0
    sent_to: str = ''
    is_redirected: bool = False


class CallTable(msgspec.Struct):
    """Open calls of one process to the control group.

    Attributes:
        replicas: Names of the control replicas.
        leader: Name of the leader, or empty if it is unknown.
        calls: Open calls by number.
        first_call_id: Number before the first call of this process.
        last_call_id: Number of the latest call.
    """

    replicas: list[str]
    leader: str = ''
    calls: dict[int, PendingCall] = {}
    first_call_id: int = 0
    last_call_id: int = 0


def create_call_table(replicas: list[str], incarnation: str) -> CallTable:
    """Create the table of a process that has just started.

    Args:
        replicas: Names of the control replicas.
        incarnation: Random identifier of this run of the process: 12 digits
            in hexadecimal.

    Returns:
        The table, without open calls.
    """
    first_call_id = int(incarnation, HEX_BASE) << CALL_COUNT_BITS
    return CallTable(
        replicas, first_call_id=first_call_id, last_call_id=first_call_id
    )


def is_own_call(table: CallTable, call_id: int) -> bool:
    """Tell whether this process has made a call.

    Args:
        table: The open calls.
        call_id: Number in an answer.

    Returns:
        False if a former process of the same name has made it.
    """
    return table.first_call_id < call_id <= table.last_call_id


def update_replicas(
    table: CallTable,
    names: list[str],
    *,
    is_complete: bool,
) -> list[str]:
    """Update the list of control replicas.

    Args:
        table: The open calls.
        names: Replicas reported by another process.
        is_complete: Whether the names are the complete membership.

    Returns:
        Replicas that are no longer members, whose addresses may be reused by
        other processes.
    """
    for name in names:
        if name not in table.replicas:
            table.replicas.append(name)
    if not is_complete or not names:
        return []
    removed = [replica for replica in table.replicas if replica not in names]
    table.replicas = [replica for replica in table.replicas if replica in names]
    return removed


def allocate_call_id(table: CallTable) -> int:
    """Allocate the number of a new call.

    Args:
        table: The open calls.

    Returns:
        A number that this process has not used before.
    """
    table.last_call_id += 1
    return table.last_call_id


def open_call(
    table: CallTable,
    call_id: int,
    message: Message,
    timeout_s: float,
    now_s: float,
) -> list[Send]:
    """Open a call and send it for the first time.

    Args:
        table: The open calls.
        call_id: A number from ``allocate_call_id``.
        message: The message to send.
        timeout_s: Time until the call expires.
        now_s: The current time.

    Returns:
        The message, or nothing while no replica is known.
    """
    call = PendingCall(call_id, message, now_s + timeout_s)
    table.calls[call_id] = call
    return _send(table, call, now_s)


def _send(table: CallTable, call: PendingCall, now_s: float) -> list[Send]:
    if not table.replicas:
        return []
    target = table.leader
    if not target:
        target = table.replicas[call.next_index % len(table.replicas)]
        call.next_index += 1
    call.send_at_s = now_s + RESEND_AFTER_S
    call.sent_to = target
    call.is_redirected = False
    return [Send(target, call.message)]


def close_call(
    table: CallTable, call_id: int, sender: str
) -> PendingCall | None:
    """Close a call that was answered.

    Args:
        table: The open calls.
        call_id: Number of the call.
        sender: The replica that answered, which is the leader.

    Returns:
        The call, or None if it was closed before or is none of this process.
    """
    call = table.calls.pop(call_id, None)
    if call is not None:
        table.leader = sender
    return call


def redirect_call(
    table: CallTable,
    call_id: int,
    leader: str,
    now_s: float,
) -> None:
    """Schedule an early resend of a call that did not reach the leader.

    Args:
        table: The open calls.
        call_id: Number of the call.
        leader: The leader according to the replica that answered, or empty.
        now_s: The current time.
    """
    call = table.calls.get(call_id)
    if call is None:
        return
    table.leader = leader
    call.is_redirected = True
    call.send_at_s = min(call.send_at_s, now_s + REDIRECT_RESEND_S)


class DueCalls(msgspec.Struct, frozen=True):
    """Messages to resend, and numbers of the calls that expired."""

    sends: list[Send]
    expired: list[int]


def tick_calls(table: CallTable, now_s: float) -> DueCalls:
    """Resend calls that are due, and remove those that expired.

    Args:
        table: The open calls.
        now_s: The current time.

    Returns:
        The messages, and the numbers of the expired calls.
    """
    sends: list[Send] = []
    expired = [
        call.call_id
        for call in table.calls.values()
        if now_s >= call.deadline_s
    ]
    for call_id in expired:
        table.calls.pop(call_id)
    for call in table.calls.values():
        if now_s < call.send_at_s:
            continue
        if not call.is_redirected and table.leader == call.sent_to:
            table.leader = ''
        sends.extend(_send(table, call, now_s))
    return DueCalls(sends, expired)
