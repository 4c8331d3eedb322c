"""Which workers fail what they are given, learned from ends of runs.

Answers workers that fail all that they start while they look healthy: a few
failures in a row keep new tasks away, one task at a time tries whether it is
over, and a success clears the worker.
"""

from cumintack.coordination.runs.worker_views import WorkerView

# Failures in a row; two happen to a sound worker about once in 1,000 tasks
# at the usual failure rate of 2 to 3%.
MIN_FAILURES = 2
# Seconds after which a failure is forgotten; longer than most spells.
FAILURE_WINDOW_S = 10.0
# Seconds that nothing is placed after failures; a third of a usual spell.
COOLDOWN_S = 2.0


def record_failure(view: WorkerView, now_s: float) -> None:
    """Take note of a run that failed on a worker.

    Args:
        view: The worker, changed in place.
        now_s: The time.
    """
    recent = [at_s for at_s in view.failures if now_s - at_s < FAILURE_WINDOW_S]
    recent.append(now_s)
    view.failures = recent
    if len(recent) >= MIN_FAILURES:
        view.excluded_until_s = now_s + COOLDOWN_S


def record_success(view: WorkerView) -> None:
    """Take note of a run that was done on a worker.

    Args:
        view: The worker, changed in place.
    """
    view.failures = []
    view.excluded_until_s = float('-inf')


def is_on_probation(view: WorkerView, now_s: float) -> bool:
    """Tell whether a worker should get one task only.

    Args:
        view: The worker.
        now_s: The time.

    Returns:
        Whether it failed lately and has not shown since that it is sound.
    """
    recent = [at_s for at_s in view.failures if now_s - at_s < FAILURE_WINDOW_S]
    return len(recent) >= MIN_FAILURES
