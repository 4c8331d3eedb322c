"""Calls to the control group that are sent again until they are answered.

A call keeps its session and sequence however often it is sent, so a command
whose answer was lost is applied once all the same.
"""

import msgspec

from cumintack.coordination.effects import Send
from cumintack.protocol.messages import Message

RESEND_AFTER_S = 0.4
REDIRECT_RESEND_S = 0.02


class PendingCall(msgspec.Struct):
    """A call without an answer.

    Attributes:
        call_id: Its number.
        message: What is sent.
        deadline_s: When to give up.
        send_at_s: When to send it again.
        target: Index of the replica that it goes to next.
        sent_to: The replica that it went to last.
        is_redirected: Whether that replica said that it is not the leader.
    """

    call_id: int
    message: Message
    deadline_s: float
    send_at_s: float = 0
    target: int = 0
    sent_to: str = ''
    is_redirected: bool = False


class CallTable(msgspec.Struct):
    """Open calls of one process.

    Attributes:
        replicas: Names of the control replicas.
        leader: The replica that answered last as leader, or empty.
        calls: Open calls by number.
        last_call_id: Number of the latest call.
    """

    replicas: list[str]
    leader: str = ''
    calls: dict[int, PendingCall] = {}
    last_call_id: int = 0


def update_replicas(
    table: CallTable,
    names: list[str],
    *,
    is_complete: bool,
) -> list[str]:
    """Learn of control replicas.

    Args:
        table: The calls.
        names: Replicas that another process knows.
        is_complete: Whether there are no others.

    Returns:
        Replicas that are none any more, whose address others may get.
    """
    for name in names:
        if name not in table.replicas:
            table.replicas.append(name)
    if not is_complete or not names:
        return []
    former = [known for known in table.replicas if known not in names]
    table.replicas = [known for known in table.replicas if known in names]
    return former


def allocate_call_id(table: CallTable) -> int:
    """Get the number of the next call.

    Args:
        table: The calls.

    Returns:
        A number not used before by this process.
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
        table: The calls.
        call_id: A number of ``allocate_call_id``.
        message: What to send.
        timeout_s: When to give up.
        now_s: The time.

    Returns:
        The message.
    """
    call = PendingCall(call_id, message, now_s + timeout_s)
    table.calls[call_id] = call
    return _send(table, call, now_s)


def _send(table: CallTable, call: PendingCall, now_s: float) -> list[Send]:
    if not table.replicas:
        return []
    target = table.leader
    if not target:
        target = table.replicas[call.target % len(table.replicas)]
        call.target += 1
    call.send_at_s = now_s + RESEND_AFTER_S
    call.sent_to = target
    call.is_redirected = False
    return [Send(target, call.message)]


def close_call(
    table: CallTable, call_id: int, sender: str
) -> PendingCall | None:
    """Close a call that was answered.

    Args:
        table: The calls.
        call_id: Its number.
        sender: The replica that answered, which is the leader.

    Returns:
        The call, or None if it is closed already.
    """
    table.leader = sender
    return table.calls.pop(call_id, None)


def redirect_call(
    table: CallTable,
    call_id: int,
    leader: str,
    now_s: float,
) -> None:
    """Send a call again soon, since it did not reach the leader.

    Args:
        table: The calls.
        call_id: Its number.
        leader: The leader as far as the answering replica knows, or empty.
        now_s: The time.
    """
    table.leader = leader
    call = table.calls.get(call_id)
    if call is not None:
        call.is_redirected = True
        call.send_at_s = min(call.send_at_s, now_s + REDIRECT_RESEND_S)


class CallTick(msgspec.Struct, frozen=True):
    """What is due among the open calls."""

    sends: list[Send]
    expired: list[int]


def tick_calls(table: CallTable, now_s: float) -> CallTick:
    """Send calls again and give up those whose time is over.

    Args:
        table: The calls.
        now_s: The time.

    Returns:
        Messages, and numbers of the calls given up.
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
    return CallTick(sends, expired)
