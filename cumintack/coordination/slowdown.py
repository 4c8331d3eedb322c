"""Slowdown of the service on one worker relative to its own baseline.

The baseline is the lowest recent mean response time over windows with enough
samples. It rises slowly, so that a lasting change of the service itself is
not treated as interference forever.
"""

import msgspec

WINDOW_S = 2.0
MIN_SAMPLES = 10
BASELINE_DRIFT_PER_WINDOW = 1.002


class SlowdownMeter(msgspec.Struct):
    """Response times aggregated in windows, changed in place.

    Attributes:
        window_ends_at_s: End of the current window.
        total_s: Sum of the response times in the current window.
        count: Number of responses in the current window.
        latest_mean_s: Mean of the last window with enough samples, 0 if none.
        baseline_s: Lowest mean, raised slowly over time, 0 if none.
        measured_at_s: End of the last window with enough samples.
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
    """Record the response time of one request.

    Args:
        meter: The meter.
        served_s: Time the upstream took to serve the request.
        now_s: The current time.
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
    """Compute the slowdown in the last window with enough samples.

    Args:
        meter: The meter.
        now_s: The current time.

    Returns:
        The slowdown; 1 at the baseline, 0 without a recent measurement.
    """
    age_s = now_s - meter.measured_at_s
    if not meter.baseline_s or age_s > WINDOW_S * 3:
        return 0
    return meter.latest_mean_s / meter.baseline_s
