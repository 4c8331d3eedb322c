"""A pause of a thread that another thread may cut short, once for each call.

An event that stays set would turn every later pause into none.
"""

import threading


class AutoResetEvent:
    """A pause with one waiter and any number of wakers."""

    __slots__ = ('_event',)

    def __init__(self) -> None:
        """Start without a call."""
        self._event = threading.Event()

    def set(self) -> None:
        """End the pause that runs, or the next one."""
        self._event.set()

    def wait(self, timeout_s: float) -> bool:
        """Pause, and use up the call that ended it.

        Args:
            timeout_s: Longest pause.

        Returns:
            Whether a call ended it.
        """
        is_set = self._event.wait(timeout_s)
        self._event.clear()
        return is_set
