"""Stateful fuzzing of entries and guards against an oracle of executions."""

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
    """Two entries and three guards under every fault that the brief names."""

    def __init__(self) -> None:
        """Start the service."""
        super().__init__()
        self.service = FakeService(2, 3, 0)
        self.number = 0

    @initialize(seed=st.integers(0, 2**16))
    def begin(self, seed: int) -> None:
        """Start the service with its own choices."""
        self.service = FakeService(2, 3, seed)

    @rule(
        entry=ENTRIES,
        kind=st.sampled_from(('idempotent', 'bare', 'keyed')),
        key=st.integers(0, 2),
        share=st.sampled_from((0.2, 1.0)),
    )
    def call(self, entry: int, kind: str, key: int, share: float) -> None:
        """Send a request; keys repeat, as when a caller asks again."""
        self.number += 1
        self.service.call(
            f'e{entry}',
            Request(
                f'r{self.number}',
                SERVICE,
                f't{self.number % 2}',
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
        """Deliver any message, out of order or twice."""
        self.service.deliver(
            position % len(self.service.packets),
            is_repeated=is_repeated,
        )

    @precondition(lambda self: bool(self.service.packets))
    @rule(position=POSITIONS)
    def drop(self, position: int) -> None:
        """Lose any message."""
        self.service.packets.pop(position % len(self.service.packets))

    @rule()
    def deliver_all(self) -> None:
        """Deliver everything that is on its way now."""
        batch = len(self.service.packets)
        for _ in range(batch):
            self.service.deliver(0)

    @precondition(lambda self: bool(self.service.running))
    @rule(
        position=POSITIONS,
        kind=st.sampled_from((OutcomeKind.completed, OutcomeKind.unknown)),
    )
    def end_execution(self, position: int, kind: OutcomeKind) -> None:
        """Let an upstream answer, or break in the middle."""
        self.service.end_execution(
            position % len(self.service.running),
            kind,
        )

    @precondition(lambda self: bool(self.service.running))
    @rule(position=POSITIONS)
    def drop_execution(self, position: int) -> None:
        """Let a connection to an upstream go silent."""
        self.service.drop_execution(position % len(self.service.running))

    @rule(guard=GUARDS)
    def announce(self, guard: int) -> None:
        """Let an upstream announce itself."""
        self.service.announce(f'w{guard}')

    @precondition(lambda self: bool(self.service.claims))
    @rule(position=POSITIONS, is_granted=st.booleans())
    def decide_claim(self, position: int, is_granted: bool) -> None:
        """Let the control group answer, or be gone."""
        self.service.decide_claim(
            position % len(self.service.claims),
            is_granted=is_granted,
        )

    @rule(passed_ms=st.sampled_from((5, 60, 300, 1100)))
    def wait(self, passed_ms: int) -> None:
        """Let time pass."""
        self.service.tick(passed_ms / 1000)

    @rule()
    def show(self) -> None:
        """Let the heartbeats of the guards arrive."""
        self.service.send_statuses()

    @rule(guard=GUARDS)
    def restart_guard(self, guard: int) -> None:
        """Kill a guard and start it without its memory."""
        self.service.start_guard(f'w{guard}')

    @rule(entry=ENTRIES)
    def restart_entry(self, entry: int) -> None:
        """Kill an entry and start it without its memory."""
        self.service.start_entry(f'e{entry}')

    @rule(guard=GUARDS)
    def silence_link(self, guard: int) -> None:
        """Let the links of a guard go silent and be dialled anew."""
        self.service.change_route(f'w{guard}')

    @rule(guard=GUARDS)
    def leave(self, guard: int) -> None:
        """Let an upstream leave."""
        self.service.leave(f'w{guard}')

    @invariant()
    def check(self) -> None:
        """Check the promises after every step."""
        self.service.check()

    def teardown(self) -> None:
        """End all faults: every caller has an answer."""
        self.service.settle()


TestRouting = RoutingMachine.TestCase
