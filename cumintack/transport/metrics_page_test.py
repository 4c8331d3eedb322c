"""Tests of the metrics page."""

import urllib3

from cumintack.transport.http_server import find_free_port
from cumintack.transport.metrics import Metrics
from cumintack.transport.metrics_page import MetricsPage, render_metrics


def _create_metrics() -> Metrics:
    metrics = Metrics('', 0, 'cumintack')
    metrics.count('control.placed', 3)
    metrics.gauge('links.sent', 7)
    for duration_s in (0.001, 0.004, 9):
        metrics.observe('guard.call', duration_s)
    return metrics


def test_page_has_all_kinds() -> None:
    """The page contains counters, gauges and cumulative histogram buckets."""
    page = render_metrics(_create_metrics()).decode()
    assert 'cumintack_control_placed_total 3.0' in page
    assert 'cumintack_links_sent 7.0' in page
    assert 'cumintack_guard_call_seconds_bucket{le="0.005"} 2.0' in page
    assert 'cumintack_guard_call_seconds_bucket{le="+Inf"} 3.0' in page
    assert 'cumintack_guard_call_seconds_count 3.0' in page


def test_page_is_served() -> None:
    """Only ``/metrics`` is served."""
    address = f'127.0.0.1:{find_free_port()}'
    page = MetricsPage(address, _create_metrics())
    found = urllib3.request('GET', f'http://{address}/metrics', timeout=5)
    other = urllib3.request('GET', f'http://{address}/', timeout=5)
    page.close()
    assert found.status == 200
    assert b'cumintack_control_placed_total' in found.data
    assert other.status == 404
