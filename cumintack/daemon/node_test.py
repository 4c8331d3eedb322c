"""A stopped process exits without delay after its last request.

Until the exit its HTTP threads still read requests, which nobody answers.
"""

import threading
import time

import msgspec
import pytest

from cumintack.daemon import node as node_module
from cumintack.daemon.leader_calls import call_leader
from cumintack.daemon.node import (
    GOODBYE_LINGER_S,
    MAX_PROPOSAL_AGE_MS,
    PAUSE_BACKLOG_S,
    CallReply,
    Node,
)
from cumintack.daemon.settings import PeerSettings, Settings
from cumintack.protocol.codec import PROTOCOL_VERSION, Envelope
from cumintack.protocol.messages import (
    Message,
    Propose,
    Proposed,
    QueryReply,
    QueryRequest,
)
from cumintack.protocol.run_messages import WorkflowReply
from cumintack.state.commands import Command, Outcome
from cumintack.state.configuration import Configuration
from cumintack.state.events import HybridTimestamp
from cumintack.state.workflows import CancelWorkflow
from cumintack.transport.clock import Clock, SystemClock
from cumintack.transport.fake_clock_test import SteppedClock
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


def _create_caller(clock: Clock | None = None) -> Node:
    replicas = (PeerSettings('control', '127.0.0.1:1'),)
    settings = Settings('entry', 'yard', '127.0.0.1:1', replicas)
    return Node(settings, clock or SystemClock(), None)


def _call(node: Node, taken: list[CallReply | None] | None = None) -> int:
    replies = [] if taken is None else taken
    node.call(lambda call_id: QueryRequest(call_id, ''), 5, replies.append)
    return node.calls.last_call_id


# Guards against a submission that is delivered after its cancellation was
# forgotten.
def test_proposal_that_is_too_old_is_dropped() -> None:
    """A link may have held it up for as long as its peer was cut off."""
    clock = SteppedClock()
    clock.at_s = 1000
    node = _create_caller(clock)
    component = RecordingComponent()
    node.components.append(component)
    command = Command('', 0, 'entry', 0, CancelWorkflow('1', 'host', '/'))
    for age_ms in (0, MAX_PROPOSAL_AGE_MS, MAX_PROPOSAL_AGE_MS + 1):
        stamp = HybridTimestamp(1000000 - age_ms)
        envelope = Envelope(
            PROTOCOL_VERSION, 'entry', 'i', stamp, Propose(age_ms, command)
        )
        node._receive(envelope)
    assert component.handled == [
        Propose(age_ms, command) for age_ms in (0, MAX_PROPOSAL_AGE_MS)
    ]
    assert node.metrics.counts['node.late-proposal'] == 1


class RecordingComponent:
    """A component that records what it is to handle."""

    def __init__(self) -> None:
        """Start with nothing recorded."""
        self.handled: list[Message] = []

    def handle(self, sender: str, message: Message) -> bool:
        """Record a message."""
        self.handled.append(message)
        return True

    def tick(self, now_s: float) -> None:
        """Do nothing."""

    def apply_configuration(self, configuration: Configuration) -> None:
        """Do nothing."""

    def begin_stop(self) -> None:
        """Do nothing."""

    def is_idle(self) -> bool:
        """Return that nothing is in flight."""
        return True

    def close(self) -> None:
        """Do nothing."""


# Guards against requests that are handed in although their callers have left.
def test_pause_of_the_process_is_noticed() -> None:
    """By a thread before the loop runs again, and for a moment after it."""
    clock = SteppedClock()
    node = _create_caller(clock)
    node._note_alive()
    clock.at_s += 0.1
    assert not node.get_recent_pause_s()
    clock.at_s += 4
    assert node.get_recent_pause_s() == pytest.approx(4.1)
    node._note_alive()
    clock.at_s += PAUSE_BACKLOG_S / 2
    node._note_alive()
    assert node.get_recent_pause_s() == pytest.approx(4.1)
    clock.at_s += PAUSE_BACKLOG_S
    assert not node.get_recent_pause_s()


# Guards against a call that is sent after its caller was told the time-out.
def test_call_is_not_sent_after_its_deadline() -> None:
    """The process stood still between the thread and the loop."""
    clock = SteppedClock()
    node = _create_caller(clock)
    replies: list[CallReply | None] = []
    thread = threading.Thread(
        target=lambda: replies.append(
            call_leader(node, lambda call_id: QueryRequest(call_id, ''), 1.5)
        )
    )
    thread.start()
    while not node._posted_actions:
        time.sleep(0.001)
    clock.at_s += 1.5
    node._posted_actions.popleft()()
    thread.join(JOIN_TIMEOUT_S)
    assert replies == [None]
    assert not node.calls.calls
