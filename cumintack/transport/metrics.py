"""Metrics over statsd.

Counts are gathered in the process and sent in batches by UDP without
waiting, so that a sink that is down or slow costs nothing.
"""

import statsd

FLUSH_INTERVAL_S = 1.0


class Metrics:
    """Counters, gauges and timers of a process."""

    __slots__ = ('_client', '_counts', '_gauges', '_timers')

    def __init__(self, host: str, port: int, prefix: str) -> None:
        """Send to ``host`` and ``port``; an empty host sends nothing."""
        self._client = None
        if host:
            self._client = statsd.StatsClient(host, port, prefix=prefix)
        self._counts: dict[str, int] = {}
        self._gauges: dict[str, float] = {}
        self._timers: dict[str, list[float]] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self._counts[name] = self._counts.get(name, 0) + amount

    def gauge(self, name: str, level: float) -> None:
        """Set a gauge."""
        self._gauges[name] = level

    def time(self, name: str, duration_s: float) -> None:
        """Add a duration to a timer."""
        if self._client is not None:
            self._timers.setdefault(name, []).append(duration_s)

    def flush(self, sent_counts: dict[str, int]) -> None:
        """Send what changed; ``sent_counts`` keeps what was sent before."""
        if self._client is None:
            return
        with self._client.pipeline() as batch:
            for name, total in self._counts.items():
                change = total - sent_counts.get(name, 0)
                if change:
                    batch.incr(name, change)
                    sent_counts[name] = total
            for name, level in self._gauges.items():
                batch.gauge(name, level)
            for name, durations_s in self._timers.items():
                for duration_s in durations_s:
                    batch.timing(name, duration_s * 1000)
        self._timers.clear()
