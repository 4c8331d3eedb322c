"""Blocking calls to the leader from threads other than the loop."""

import queue
from collections.abc import Callable

from cumintack.daemon.node import CallReply, Node
from cumintack.protocol.messages import Message

# Seconds that a thread waits past the timeout of the call, which itself
# delivers None when it expires.
REPLY_GRACE_S = 1.0


def call_leader(
    node: Node,
    create_message: Callable[[int], Message],
    timeout_s: float,
) -> CallReply | None:
    """Call the leader and wait for its reply.

    Args:
        node: The process.
        create_message: Creates the message with the given call identifier.
        timeout_s: Timeout of the call.

    Returns:
        The reply; None if there was none, in which case it is unknown whether
        the call took effect.
    """
    replies: queue.SimpleQueue[CallReply | None] = queue.SimpleQueue()
    node.post(lambda: node.call(create_message, timeout_s, replies.put))
    try:
        return replies.get(timeout=timeout_s + REPLY_GRACE_S)
    except queue.Empty:
        return None
