"""A stopped process exits without delay after its last request.

Until the exit its HTTP threads still read requests, which nobody answers.
"""

import threading

import pytest

from cumintack.daemon import node as node_module
from cumintack.daemon.node import GOODBYE_LINGER_S, Node
from cumintack.daemon.settings import Settings
from cumintack.transport.clock import SystemClock
from cumintack.transport.http_server import find_free_port

# A caller resends a request whose connection is closed within this time after
# the request was sent. The linger may use half of it.
RESEND_WINDOW_S = 0.2
JOIN_TIMEOUT_S = 20.0


class BlockingMetricsPage:
    """A metrics page whose ``close`` blocks."""

    def __init__(self, *_args: object) -> None:
        """Create the event that would end ``close``."""
        self.released = threading.Event()

    def close(self) -> None:
        """Block for good, like a server whose thread does not end."""
        self.released.wait()


def test_goodbye_linger_is_shorter_than_resend_window() -> None:
    """A peer that reads nothing delays the exit only for a short time."""
    assert GOODBYE_LINGER_S <= RESEND_WINDOW_S / 2


def test_blocked_metrics_page_does_not_delay_exit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A metrics page that does not close must not delay the exit.

    Found by the bench (lswa-rounds trouble-2, seed 18966846924): the loop had
    ended, the server of the page took 0.3 s to stop, and a request that was
    read in this time was cut off.
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
