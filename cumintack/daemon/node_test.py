"""A process that has served its last request ends at once."""

import threading

import pytest

from cumintack.daemon import node as node_module
from cumintack.daemon.node import GOODBYE_LINGER_S, Node
from cumintack.daemon.settings import Settings
from cumintack.transport.clock import SystemClock
from cumintack.transport.http_server import find_free_port

# Callers lose nothing if a connection ends within this time after a request
# was sent: they send it again. Half of it is left for everything else.
RESEND_WINDOW_S = 0.2
JOIN_TIMEOUT_S = 20.0


class BlockingMetricsPage:
    """A metrics page whose server does not stop."""

    def __init__(self, *_args: object) -> None:
        """Start stuck."""
        self.released = threading.Event()

    def close(self) -> None:
        """Wait for a thread that does not end."""
        self.released.wait()


def test_goodbye_linger_is_shorter_than_resend_window() -> None:
    """A peer that reads nothing must not keep a stopped process alive."""
    assert GOODBYE_LINGER_S <= RESEND_WINDOW_S / 2


def test_blocked_metrics_page_does_not_delay_exit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Requests are read until the end, so that nothing may delay it.

    The bench showed it (lswa-rounds trouble-2, seed 18966846924): the loop
    had ended, the server of the page took 0.3 s to stop, and a request that
    was read meanwhile was cut off.
    """
    monkeypatch.setattr(node_module, 'MetricsPage', BlockingMetricsPage)
    address = f'127.0.0.1:{find_free_port()}'
    settings = Settings('node', 'yard', address, metrics_address=address)
    node = Node(settings, SystemClock(), None)
    node.start()
    node.post(node.begin_stop)
    thread = threading.Thread(target=node.run, daemon=True)
    thread.start()
    thread.join(JOIN_TIMEOUT_S)
    assert not thread.is_alive()
