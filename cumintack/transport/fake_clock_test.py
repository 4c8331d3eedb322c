"""A clock for tests, which moves when it is told to."""

import datetime


class SteppedClock:
    """Both clocks in one, set by hand."""

    def __init__(self) -> None:
        """Start at zero."""
        self.at_s = 0.0

    def now_s(self) -> float:
        """Return monotonic time in seconds."""
        return self.at_s

    def wall(self) -> datetime.datetime:
        """Return wall time in UTC."""
        return datetime.datetime.fromtimestamp(self.at_s, datetime.UTC)
