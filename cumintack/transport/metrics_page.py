"""HTTP server for the metrics of a process in the Prometheus text format."""

from collections.abc import Iterator
from http import HTTPStatus
from itertools import accumulate
from typing import Any

from cumintack.transport.http_server import (
    HttpRequest,
    HttpResponse,
    HttpServer,
)
from cumintack.transport.metrics import BUCKETS_S, Histogram, Metrics

THREADS = 1
MAX_BODY_BYTES = 1024
NAMESPACE = 'cumintack'
PATH = '/metrics'


class MetricsPage:
    """Serves the metrics of a process."""

    __slots__ = ('_metrics', '_server')

    def __init__(self, address: str, metrics: Metrics) -> None:
        """Listen on ``host:port``."""
        self._metrics = metrics
        self._server = HttpServer(
            address,
            self._respond,
            THREADS,
            MAX_BODY_BYTES,
        )
        self._server.start()

    def close(self) -> None:
        """Stop listening."""
        self._server.stop()

    def _respond(self, request: HttpRequest) -> HttpResponse:
        if request.path != PATH:
            return HttpResponse(HTTPStatus.NOT_FOUND, b'')
        return HttpResponse(
            HTTPStatus.OK,
            render_metrics(self._metrics),
            content_type='text/plain; version=0.0.4; charset=utf-8',
        )


def _format_name(name: str) -> str:
    flat = name.replace('.', '_').replace('-', '_')
    return f'{NAMESPACE}_{flat}'


def _accumulate(histogram: Histogram) -> list[tuple[str, float]]:
    bounds = [*(str(bound) for bound in BUCKETS_S), '+Inf']
    sums = accumulate(histogram.counts)
    return list(zip(bounds, (float(total) for total in sums), strict=True))


def render_metrics(metrics: Metrics) -> bytes:
    """Render metrics in the Prometheus text format.

    Args:
        metrics: The metrics.

    Returns:
        The encoded text.
    """
    # Imported on the first request to save memory, which users pay for: the
    # metrics of most processes are never requested.
    from prometheus_client import CollectorRegistry, generate_latest

    registry = CollectorRegistry()
    registry.register(MetricsCollector(metrics))
    return generate_latest(registry)


class MetricsCollector:
    """Prometheus collector for the metrics of a process."""

    def __init__(self, metrics: Metrics) -> None:
        """Create a collector for ``metrics``."""
        self._metrics = metrics

    def collect(self) -> Iterator[Any]:
        """Yield all metrics; called by the Prometheus client library."""
        from prometheus_client import core

        for counter, count in list(self._metrics.counts.items()):
            name = _format_name(counter)
            yield core.CounterMetricFamily(name, counter, value=count)
        for gauge, level in list(self._metrics.gauges.items()):
            name = _format_name(gauge)
            yield core.GaugeMetricFamily(name, gauge, value=level)
        for latency, histogram in list(self._metrics.histograms.items()):
            yield core.HistogramMetricFamily(
                f'{_format_name(latency)}_seconds',
                latency,
                buckets=_accumulate(histogram),
                sum_value=histogram.sum_s,
            )
