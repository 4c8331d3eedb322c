"""Clock for tests that advances only when set."""

import datetime


class SteppedClock:
    """Monotonic and wall clock, both set through ``at_s``."""

    def __init__(self) -> None:
        """Start at zero."""
        self.at_s = 0.0

    def now_s(self) -> float:
        """Return monotonic time in seconds."""
        return self.at_s

    def wall(self) -> datetime.datetime:
        """Return wall time in UTC."""
        return datetime.datetime.fromtimestamp(self.at_s, datetime.UTC)
