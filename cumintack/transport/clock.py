"""Clock interface, which lets tests control the time."""

import datetime
import time
from typing import Protocol

MS_PER_S = 1000


class Clock(Protocol):
    """Source of monotonic time and wall time."""

    def now_s(self) -> float:
        """Return monotonic time in seconds."""

    def wall(self) -> datetime.datetime:
        """Return wall time in UTC."""


class SystemClock:
    """The clocks of the operating system."""

    __slots__ = ()

    def now_s(self) -> float:
        """Return monotonic time in seconds."""
        return time.monotonic()

    def wall(self) -> datetime.datetime:
        """Return wall time in UTC."""
        return datetime.datetime.now(datetime.UTC)


def get_wall_ms(clock: Clock) -> int:
    """Get wall time in Unix ms.

    Args:
        clock: The clock.

    Returns:
        Milliseconds since 1970.
    """
    return int(clock.wall().timestamp() * MS_PER_S)
