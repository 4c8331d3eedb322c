"""Tests of the operator's requests to evacuate a data centre."""

from collections.abc import Callable
from types import SimpleNamespace
from typing import cast

import pytest

from cumintack.daemon.node import CallReply, Node
from cumintack.daemon.workflow_entry_component import LeaderGateway
from cumintack.platform.operator_calls import OperatorCalls
from cumintack.protocol.messages import Message, Propose, Proposed
from cumintack.protocol.run_messages import EvacuationQuery, WorkflowReply
from cumintack.state.commands import Command
from cumintack.state.machine import apply_command
from cumintack.state.tables import ControlTables
from cumintack.state.workflows import (
    NO_EVACUATION,
    SetEvacuation,
    is_evacuated,
)
from cumintack.transport.http_server import HttpRequest

ZONE = 'north-yard'
START = f'/v1/evacuation/{ZONE}/start'
END = f'/v1/evacuation/{ZONE}/end'


class ControlReplica:
    """A replica whose commands can be held up on their way to the leader."""

    def __init__(self, tables: ControlTables, name: str) -> None:
        """Share the replicated state with other replicas."""
        self.settings = SimpleNamespace(name=name)
        self.incarnation = 'incarnation'
        self.clock = SimpleNamespace(now_s=self._advance_clock)
        self.calls = SimpleNamespace(leader='leader')
        self.metrics = SimpleNamespace(observe=_ignore, count=_ignore)
        self.is_held_up = False
        self.is_cut_off = False
        self.held_up: list[Command] = []
        self._tables = tables
        self._now_s = 0.0
        gateway = LeaderGateway(cast(Node, self))
        self.operator_calls = OperatorCalls(gateway, {ZONE: 'region'})

    def _advance_clock(self) -> float:
        self._now_s += 0.05
        return self._now_s

    def post(self, action: Callable[[], None]) -> None:
        """Run an action at once."""
        action()

    def call(
        self,
        create_message: Callable[[int], Message],
        timeout_s: float,
        on_reply: Callable[[CallReply | None], None],
    ) -> None:
        """Answer a query, and commit a command unless it is held up."""
        message = create_message(1)
        if self.is_cut_off:
            on_reply(None)
        elif isinstance(message, EvacuationQuery):
            evacuations = self._tables.workflows.evacuations
            evacuation = evacuations.get(message.data_centre, NO_EVACUATION)
            on_reply(WorkflowReply(1, evacuation=evacuation))
        else:
            assert isinstance(message, Propose)
            self.held_up.append(message.command)
            outcome = None if self.is_held_up else self.deliver()
            on_reply(outcome)

    def deliver(self) -> CallReply:
        """Commit the latest command that was held up."""
        index = self._tables.applied_index + 1
        command = self.held_up.pop()
        return Proposed(1, apply_command(self._tables, index, command))

    def request(self, path: str, method: str = 'POST') -> int:
        """Send a request of the operator, and return its status."""
        request = HttpRequest(method, path, '', {}, b'')
        return self.operator_calls.respond(request).status


def _ignore(name: str, observed: float = 0) -> None:
    """Ignore a measurement."""


def test_requests_are_acknowledged_however_often_they_come() -> None:
    """The operator resends a request whose acknowledgement was lost."""
    tables = ControlTables()
    first = ControlReplica(tables, 'first')
    second = ControlReplica(tables, 'second')
    for replica in (first, second, first):
        assert replica.request(START) == 200
        assert is_evacuated(tables.workflows, ZONE)
    for other in (second, first):
        assert other.request(END) == 200
        assert not is_evacuated(tables.workflows, ZONE)


# Guards against an acknowledgement of what may be lost.
def test_request_without_a_quorum_is_not_acknowledged() -> None:
    """The operator goes on to another replica."""
    replica = ControlReplica(ControlTables(), 'replica')
    replica.is_cut_off = True
    assert replica.request(START) == 503


# Guards against a data centre that is emptied again after the operator has
# taken it back, by a request that was on its way through a cut link.
def test_held_up_request_does_not_undo_a_later_one() -> None:
    """Both requests were answered by another replica meanwhile."""
    tables = ControlTables()
    cut = ControlReplica(tables, 'cut')
    other = ControlReplica(tables, 'other')
    cut.is_held_up = True
    assert cut.request(START) == 503
    assert other.request(START) == 200
    assert other.request(END) == 200
    cut.deliver()
    assert not is_evacuated(tables.workflows, ZONE)


def test_conflicting_change_is_read_again() -> None:
    """Another operator has changed the data centre between read and write."""
    tables = ControlTables()
    replica = ControlReplica(tables, 'replica')
    answer = replica.call
    is_first = True

    def call_after_other_change(
        create_message: Callable[[int], Message],
        timeout_s: float,
        on_reply: Callable[[CallReply | None], None],
    ) -> None:
        nonlocal is_first
        if is_first and isinstance(create_message(1), Propose):
            is_first = False
            for is_active in (True, False):
                command = Command(
                    '', 0, '', 0, SetEvacuation(ZONE, is_active=is_active)
                )
                apply_command(tables, tables.applied_index + 1, command)
        answer(create_message, timeout_s, on_reply)

    replica.call = call_after_other_change  # type: ignore[method-assign]
    assert replica.request(START) == 200
    assert is_evacuated(tables.workflows, ZONE)


@pytest.mark.parametrize(
    ('path', 'method'),
    [
        ('/v1/evacuation/nrth-yard/start', 'POST'),
        (f'/v1/evacuation/{ZONE}/pause', 'POST'),
        (f'/v1/evacuation/{ZONE}', 'POST'),
        (START, 'GET'),
    ],
)
def test_other_requests_are_refused(path: str, method: str) -> None:
    """A misspelt data centre must not seem to be evacuated."""
    tables = ControlTables()
    replica = ControlReplica(tables, 'replica')
    assert replica.request(path, method) == 404
    assert not tables.workflows.evacuations
