"""Slowdown of the service of one worker: its answer time beside its best.

The best is the lowest recent average over windows with enough answers, and
it drifts up slowly, so that a change of the service itself is not taken for
interference for ever.
"""

import msgspec

WINDOW_S = 2.0
MIN_SAMPLES = 10
BASELINE_DRIFT_PER_WINDOW = 1.002


class SlowdownMeter(msgspec.Struct):
    """Answer times in windows, changed in place.

    Attributes:
        window_ends_at_s: End of the current window.
        total_s: Sum of the answer times in it.
        count: Answers in it.
        latest_mean_s: Average of the last full window, 0 if there is none.
        baseline_s: Lowest average seen, 0 if there is none.
        measured_at_s: End of the last full window.
    """

    window_ends_at_s: float = 0
    total_s: float = 0
    count: int = 0
    latest_mean_s: float = 0
    baseline_s: float = 0
    measured_at_s: float = 0


def record_service_time(
    meter: SlowdownMeter, served_s: float, now_s: float
) -> None:
    """Take one answer.

    Args:
        meter: The windows.
        served_s: Time of the upstream for it.
        now_s: The time.
    """
    if now_s >= meter.window_ends_at_s:
        _close_window(meter, now_s)
    meter.total_s += served_s
    meter.count += 1


def _close_window(meter: SlowdownMeter, now_s: float) -> None:
    if meter.count >= MIN_SAMPLES:
        meter.latest_mean_s = meter.total_s / meter.count
        meter.measured_at_s = now_s
        baseline_s = (
            meter.baseline_s * BASELINE_DRIFT_PER_WINDOW or meter.latest_mean_s
        )
        meter.baseline_s = min(baseline_s, meter.latest_mean_s)
    meter.total_s = 0
    meter.count = 0
    meter.window_ends_at_s = now_s + WINDOW_S


def compute_slowdown(meter: SlowdownMeter, now_s: float) -> float:
    """Compute the slowdown of the last full window.

    Args:
        meter: The windows.
        now_s: The time.

    Returns:
        The slowdown, 1 for none, or 0 if nothing was measured lately.
    """
    age_s = now_s - meter.measured_at_s
    if not meter.baseline_s or age_s > WINDOW_S * 3:
        return 0
    return meter.latest_mean_s / meter.baseline_s
