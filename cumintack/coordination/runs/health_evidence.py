"""What a worker says of its own health, as evidence beside its runs.

A worker that considers itself unhealthy may fail or stall all that it runs, and
still announce itself. Its answer may also be false, either way, so that alone
it excludes no worker: other workers are preferred, and fewer failures or a
shorter stall than usual exclude it. A worker that says that it is healthy is
judged by its runs, like one without a health endpoint.
"""

from cumintack.coordination.runs.worker_run_state import WorkerRunState

# Failures in a row that exclude a worker which says that it is unhealthy.
UNHEALTHY_FAILURES = 1
# Share of the usual time without progress after which such a worker counts as
# stalled: one report that was due.
UNHEALTHY_STALL_SHARE = 0.5


def record_health(
    state: WorkerRunState, lifetime: str, *, is_healthy: bool
) -> bool:
    """Record the answer to a health probe.

    Args:
        state: The state of the runs on the worker.
        lifetime: The incarnation that was probed.
        is_healthy: Whether the worker considers itself healthy.

    Returns:
        Whether this is news, which the leader should get at once.
    """
    worker_info = state.facts
    if worker_info is None or worker_info.lifetime != lifetime:
        return False
    is_news = state.is_unhealthy is is_healthy
    state.is_unhealthy = not is_healthy
    return is_news
