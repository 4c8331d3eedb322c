"""Fencing of the calls to a worker.

A call without an answer may be carried out many seconds later. A worker refuses
calls whose fencing token is lower than the highest that it has seen. So once an
incarnation has answered a poll under a higher token, such a call has no effect
in it any more: what it has done until then is listed, and a lease that it has
set began before the answer.

A crashed worker has seen no token. Its next incarnation refuses the calls meant
for the earlier one from its first poll under a new token on. While a worker is
silent it may have crashed and started again, so that a fence bounds the leases
of the runs that it had, and not the late starts of runs.
"""

import msgspec

from cumintack.coordination.runs.worker_run_state import (
    INHERITED_TOKEN,
    Fence,
    FencingToken,
    PollResult,
    WorkerRunState,
)
from cumintack.protocol.run_messages import RunOrders

# Share by which the clock of a worker may be slow.
MAX_CLOCK_DRIFT = 0.02


def adopt_fence(state: WorkerRunState, orders: RunOrders) -> None:
    """Make further calls under the token of the orders, if a new one is due.

    The leader never gives a guard the same number twice. A new token while none
    is due would have calls on their way refused without need.

    Args:
        state: The state of the runs on the worker.
        orders: Orders that answer a report of this process about the current
            incarnation of the worker.
    """
    token = FencingToken(orders.term, orders.fence)
    is_new_term = orders.term != state.token.term
    if is_new_term or (state.needs_fence and token > state.token):
        state.token = token
        state.needs_fence = not orders.fence


def require_fence(state: WorkerRunState, token: FencingToken) -> None:
    """Require a new token after a call that may take effect unseen.

    Args:
        state: The state of the runs on the worker.
        token: The token under which the call was sent.
    """
    if token >= state.token:
        state.needs_fence = True


def record_fence(state: WorkerRunState, poll: PollResult) -> None:
    """Record that the worker has answered a poll under the current token.

    Args:
        state: The state of the runs on the worker.
        poll: The result of a poll of the current incarnation.
    """
    is_known = state.fence is not None and (
        (state.fence.lifetime, state.fence.token) == (poll.lifetime, poll.token)
    )
    if state.needs_fence or poll.token != state.token or is_known:
        return
    fence = Fence(poll.lifetime, poll.token, poll.answered_at_s)
    state.fence = fence
    bound_s = get_fenced_lease_end(state, fence)
    if state.uncertain_lease.token < fence.token:
        state.uncertain_lease = msgspec.structs.replace(
            state.uncertain_lease,
            until_s=min(state.uncertain_lease.until_s, bound_s),
        )


def get_fenced_lease_end(state: WorkerRunState, fence: Fence) -> float:
    """Get until when a lease may last that a call set before a fence.

    Args:
        state: The state of the runs on the worker.
        fence: The fence.

    Returns:
        The time of the guard's clock, in seconds.
    """
    return fence.seen_at_s + state.max_lease_s / (1 - MAX_CLOCK_DRIFT)


def find_fence_against(
    state: WorkerRunState, token: FencingToken
) -> Fence | None:
    """Find the fence that keeps calls under a token from taking effect.

    Args:
        state: The state of the runs on the worker.
        token: The token of the calls.

    Returns:
        The fence; None if the current incarnation may carry out such calls.
    """
    fence = state.fence
    if fence is None or state.facts is None:
        return None
    is_current = fence.lifetime == state.facts.lifetime
    return fence if is_current and token < fence.token else None


def is_fenced(
    state: WorkerRunState, token: FencingToken = INHERITED_TOKEN
) -> bool:
    """Tell whether calls under a token can no longer take effect.

    Args:
        state: The state of the runs on the worker.
        token: The token; by default that of the calls of previous processes.

    Returns:
        Whether the current incarnation refuses them.
    """
    return find_fence_against(state, token) is not None
