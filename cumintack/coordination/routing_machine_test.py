"""Stateful property tests of entries and guards against an oracle."""

import hypothesis.strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from cumintack.coordination.fake_service_test import (
    SERVICE,
    TIMEOUT_S,
    FakeService,
)
from cumintack.state.requests import OutcomeKind, Request

POSITIONS = st.integers(0, 1000)
ENTRIES = st.integers(0, 1)
GUARDS = st.integers(0, 2)


class RoutingMachine(RuleBasedStateMachine):
    """Two entries and three guards under faults of every kind."""

    def __init__(self) -> None:
        """Start the service with a fixed seed until a rule sets another."""
        super().__init__()
        self.service = FakeService(2, 3, 0)
        self.request_count = 0

    @initialize(seed=st.integers(0, 2**16))
    def start_service(self, seed: int) -> None:
        """Start the service with a drawn seed."""
        self.service = FakeService(2, 3, seed)

    @rule(
        entry=ENTRIES,
        kind=st.sampled_from(('idempotent', 'bare', 'keyed')),
        key=st.integers(0, 2),
        share=st.sampled_from((0.2, 1.0)),
    )
    def send_request(
        self, entry: int, kind: str, key: int, share: float
    ) -> None:
        """Send a request; keys repeat, as when a caller sends it again."""
        self.request_count += 1
        self.service.send_request(
            f'e{entry}',
            Request(
                f'r{self.request_count}',
                SERVICE,
                f't{self.request_count % 2}',
                'POST',
                '/',
                (),
                b'',
                TIMEOUT_S * share,
                kind == 'idempotent',
                f'k{key}' if kind == 'keyed' else '',
            ),
        )

    @precondition(lambda self: bool(self.service.packets))
    @rule(position=POSITIONS, is_repeated=st.booleans())
    def deliver(self, position: int, is_repeated: bool) -> None:
        """Deliver a message out of order, once or repeatedly."""
        self.service.deliver(
            position % len(self.service.packets),
            is_repeated=is_repeated,
        )

    @precondition(lambda self: bool(self.service.packets))
    @rule(position=POSITIONS)
    def drop_message(self, position: int) -> None:
        """Lose a message."""
        self.service.packets.pop(position % len(self.service.packets))

    @rule()
    def deliver_all(self) -> None:
        """Deliver all messages that are in transit now."""
        batch = len(self.service.packets)
        for _ in range(batch):
            self.service.deliver(0)

    @precondition(lambda self: bool(self.service.running))
    @rule(
        position=POSITIONS,
        kind=st.sampled_from((OutcomeKind.completed, OutcomeKind.unknown)),
    )
    def end_execution(self, position: int, kind: OutcomeKind) -> None:
        """End an execution by an answer or a broken connection."""
        self.service.end_execution(
            position % len(self.service.running),
            kind,
        )

    @precondition(lambda self: bool(self.service.running))
    @rule(position=POSITIONS)
    def drop_execution(self, position: int) -> None:
        """End an execution whose answer is lost on a silent connection."""
        self.service.drop_execution(position % len(self.service.running))

    @rule(guard=GUARDS)
    def report_busy(self, guard: int) -> None:
        """Report how many requests an upstream works on."""
        self.service.report_busy(f'w{guard}')

    @precondition(lambda self: bool(self.service.proposals))
    @rule(position=POSITIONS, is_committed=st.booleans())
    def resolve_proposal(self, position: int, is_committed: bool) -> None:
        """Commit a proposed operation, or let a claim time out."""
        self.service.resolve_proposal(
            position % len(self.service.proposals),
            is_committed=is_committed,
        )

    @rule(elapsed_ms=st.sampled_from((5, 60, 300, 1100)))
    def advance_time(self, elapsed_ms: int) -> None:
        """Advance the clock."""
        self.service.tick(elapsed_ms / 1000)

    @rule()
    def deliver_heartbeats(self) -> None:
        """Deliver the heartbeats of all guards."""
        self.service.send_statuses()

    @rule(guard=GUARDS)
    def restart_guard(self, guard: int) -> None:
        """Crash a guard and restart it without its state."""
        self.service.start_guard(f'w{guard}')

    @rule(entry=ENTRIES)
    def restart_entry(self, entry: int) -> None:
        """Crash an entry and restart it without its state."""
        self.service.start_entry(f'e{entry}')

    @rule(guard=GUARDS)
    def reconnect_links(self, guard: int) -> None:
        """Reconnect the links of a guard; messages in transit are lost."""
        self.service.reconnect_guard(f'w{guard}')

    @rule(guard=GUARDS)
    def leave(self, guard: int) -> None:
        """Let the upstream of a guard leave."""
        self.service.leave(f'w{guard}')

    @invariant()
    def check(self) -> None:
        """Check the outcome guarantees after every step."""
        self.service.check_invariants()

    def teardown(self) -> None:
        """Finish without faults; every caller must have a reply."""
        self.service.finish_and_check()


TestRouting = RoutingMachine.TestCase
