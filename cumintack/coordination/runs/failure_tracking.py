"""Exclusion of workers on which runs fail.

Handles workers that look healthy but fail every run. A few failures in a row
exclude the worker for a cooldown; on the probation that follows it gets one
task at a time, and a success clears it.
"""

from cumintack.coordination.runs.health_evidence import UNHEALTHY_FAILURES
from cumintack.coordination.runs.worker_views import WorkerView

# Failures in a row that exclude a worker. Two occur on a healthy worker about
# once in 1,000 tasks at the usual failure rate of 2 to 3%.
MIN_FAILURES = 2
# Seconds for which a failure counts; longer than most faults last.
FAILURE_WINDOW_S = 10.0
# Seconds without placements after failures; a third of a usual fault.
COOLDOWN_S = 2.0
# Seconds after a failure for which the worker is a likely cause; a worker that
# fails every run seldom goes without a failure for longer.
RECENT_FAILURE_S = 1.0


def record_failure(view: WorkerView, now_s: float) -> None:
    """Record a run that failed on a worker.

    Args:
        view: The worker as last reported, changed in place.
        now_s: Current time of the monotonic clock, in seconds.
    """
    recent = [at_s for at_s in view.failures if now_s - at_s < FAILURE_WINDOW_S]
    recent.append(now_s)
    view.failures = recent
    if len(recent) >= _get_min_failures(view):
        view.excluded_until_s = now_s + COOLDOWN_S


def record_success(view: WorkerView) -> None:
    """Record a run that succeeded on a worker.

    Args:
        view: The worker as last reported, changed in place.
    """
    view.failures = []
    view.excluded_until_s = float('-inf')


def is_on_probation(view: WorkerView, now_s: float) -> bool:
    """Tell whether a worker may get only a single task.

    Args:
        view: The worker as last reported.
        now_s: Current time of the monotonic clock, in seconds.

    Returns:
        Whether runs failed on it recently without a success since.
    """
    recent = [at_s for at_s in view.failures if now_s - at_s < FAILURE_WINDOW_S]
    return len(recent) >= _get_min_failures(view)


def _get_min_failures(view: WorkerView) -> int:
    return UNHEALTHY_FAILURES if view.is_unhealthy else MIN_FAILURES


def has_just_failed(view: WorkerView, now_s: float) -> bool:
    """Tell whether the latest run to end on a worker has just failed.

    Args:
        view: The worker as last reported.
        now_s: Current time of the monotonic clock, in seconds.

    Returns:
        Whether the worker itself may be the cause.
    """
    return bool(view.failures) and now_s - view.failures[-1] < RECENT_FAILURE_S
