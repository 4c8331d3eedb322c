"""An event that resets itself when a waiting thread consumes it.

With a ``threading.Event`` that stays set, every later wait would return at
once and the waiting thread would spin.
"""

import threading


class AutoResetEvent:
    """An event for one waiting thread and any number of setting threads."""

    __slots__ = ('_event',)

    def __init__(self) -> None:
        """Start unset."""
        self._event = threading.Event()

    def signal(self) -> None:
        """End the current wait, or the next one if nobody waits."""
        self._event.set()

    def wait_and_reset(self, timeout_s: float) -> bool:
        """Wait until the event is set or the timeout passes, and reset it.

        Args:
            timeout_s: Longest wait.

        Returns:
            Whether the event was set.
        """
        is_set = self._event.wait(timeout_s)
        self._event.clear()
        return is_set
