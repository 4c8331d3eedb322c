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
    deadline_s = node.clock.now_s() + timeout_s

    def call() -> None:
        # The process may have stood still before the loop came to this.
        remaining_s = deadline_s - node.clock.now_s()
        if remaining_s > 0:
            node.call(create_message, remaining_s, replies.put)
        else:
            replies.put(None)

    node.post(call)
    try:
        return replies.get(timeout=timeout_s + REPLY_GRACE_S)
    except queue.Empty:
        return None
