"""Values of log lines."""

import math

MS_PER_S = 1000


def convert_to_ms(duration_s: float) -> int | None:
    """Convert a duration for a log line.

    Args:
        duration_s: The duration in seconds.

    Returns:
        The duration in ms, None if it has no bound: no log line may end the
        process.
    """
    return int(duration_s * MS_PER_S) if math.isfinite(duration_s) else None
