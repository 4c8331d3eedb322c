"""Counters, gauges, timers and latency histograms of a process.

They are sent to statsd, except for the histograms, and served as text on the
metrics address, except for the timers.

Values are aggregated in the process and sent in batches over UDP without
blocking, so that a sink that is down or slow does not delay the process.
"""

import bisect

import statsd

FLUSH_INTERVAL_S = 1.0
# Upper bounds of the latency buckets in seconds, from a call on the same
# machine to the longest wait of a caller.
BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)


class Histogram:
    """Histogram of latencies."""

    __slots__ = ('counts', 'sum_s')

    def __init__(self) -> None:
        """Create empty buckets; the last one has no upper bound."""
        self.counts = [0 for _ in (*BUCKETS_S, None)]
        self.sum_s = 0.0

    def add(self, duration_s: float) -> None:
        """Add a latency to its bucket."""
        self.counts[bisect.bisect_left(BUCKETS_S, duration_s)] += 1
        self.sum_s += duration_s


class Metrics:
    """Metrics of a process."""

    __slots__ = ('_client', '_timers', 'counts', 'gauges', 'histograms')

    def __init__(self, host: str, port: int, prefix: str) -> None:
        """Create metrics that are sent to ``host`` unless it is empty."""
        self._client = None
        if host:
            self._client = statsd.StatsClient(host, port, prefix=prefix)
        self.counts: dict[str, int] = {}
        self.gauges: dict[str, float] = {}
        self._timers: dict[str, list[float]] = {}
        self.histograms: dict[str, Histogram] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.counts[name] = self.counts.get(name, 0) + amount

    def gauge(self, name: str, level: float) -> None:
        """Set a gauge."""
        self.gauges[name] = level

    def time(self, name: str, duration_s: float) -> None:
        """Add a duration to a timer."""
        if self._client is not None:
            self._timers.setdefault(name, []).append(duration_s)

    def observe(self, name: str, duration_s: float) -> None:
        """Add a latency to a histogram."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = Histogram()
            self.histograms[name] = histogram
        histogram.add(duration_s)

    def flush(self, sent_counts: dict[str, int]) -> None:
        """Send the changes; ``sent_counts`` stores the totals already sent."""
        if self._client is None:
            return
        with self._client.pipeline() as batch:
            for name, total in self.counts.items():
                change = total - sent_counts.get(name, 0)
                if change:
                    batch.incr(name, change)
                    sent_counts[name] = total
            for name, level in self.gauges.items():
                batch.gauge(name, level)
            for name, durations_s in self._timers.items():
                for duration_s in durations_s:
                    batch.timing(name, duration_s * 1000)
        self._timers.clear()
