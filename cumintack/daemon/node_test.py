"""A stopped process exits without delay after its last request.

Until the exit its HTTP threads still read requests, which nobody answers.
"""

import threading

import msgspec
import pytest

from cumintack.daemon import node as node_module
from cumintack.daemon.node import GOODBYE_LINGER_S, CallReply, Node
from cumintack.daemon.settings import PeerSettings, Settings
from cumintack.protocol.messages import Proposed, QueryReply, QueryRequest
from cumintack.protocol.run_messages import WorkflowReply
from cumintack.state.commands import Outcome
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


# Guards against an entry that accepts a job by the answer to a former process.
@pytest.mark.parametrize(
    'answer',
    [
        Proposed(0, Outcome(1)),
        QueryReply(0, b'[]'),
        WorkflowReply(0, 'completed'),
    ],
)
def test_answer_to_a_former_process_ends_no_call(
    answer: CallReply,
) -> None:
    """Two processes of one name that were killed made the same calls."""
    first, second, current = (_create_caller() for _ in range(3))
    sent = [_call(node) for node in (first, second, current)]
    taken: list[CallReply | None] = []
    own_call_id = _call(current, taken)
    for number in (1, 2, *sent[:2]):
        foreign = msgspec.structs.replace(answer, call_id=number)
        current._handle('control', foreign)
    assert not taken
    assert current.metrics.counts['node.foreign-answer'] == 4
    own = msgspec.structs.replace(answer, call_id=own_call_id)
    current._handle('control', own)
    assert taken == [own]


def _create_caller() -> Node:
    replicas = (PeerSettings('control', '127.0.0.1:1'),)
    settings = Settings('entry', 'yard', '127.0.0.1:1', replicas)
    return Node(settings, SystemClock(), None)


def _call(node: Node, taken: list[CallReply | None] | None = None) -> int:
    replies = [] if taken is None else taken
    node.call(lambda call_id: QueryRequest(call_id, ''), 5, replies.append)
    return node.calls.last_call_id
