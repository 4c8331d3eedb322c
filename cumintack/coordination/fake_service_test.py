"""Entries and guards over a fake network, with an oracle of executions.

The decisions are those of production. The network drops, repeats, delays
and reorders; upstreams answer, hang, answer late or break; guards and
entries die and come back; the control group grants claims late or not.
"""

import random

import msgspec

from cumintack.coordination import admission, routing
from cumintack.coordination.effects import (
    Effect,
    ForwardRequest,
    ProposeOperation,
    Reply,
    Send,
)
from cumintack.coordination.entry_state import EntryState
from cumintack.coordination.token_bucket import TokenBucket
from cumintack.protocol.messages import GuardStatus, Message
from cumintack.state.commands import ClaimRequest, Command, SettleClaim
from cumintack.state.machine import apply_command
from cumintack.state.requests import (
    Answer,
    Dispatch,
    OutcomeKind,
    Request,
    Withdrawal,
)
from cumintack.state.tables import ControlTables

SERVICE = 'rounds-desk'
SLOTS = 2
TIMEOUT_S = 1.0


class Packet(msgspec.Struct, frozen=True):
    """A message on its way."""

    source: str
    target: str
    message: Message


class Running(msgspec.Struct, frozen=True):
    """An execution at an upstream, with the guard that waits for it."""

    worker: str
    incarnation: str
    effect: ForwardRequest


class FakeService:
    """Entries, guards and upstreams, and what an oracle must know."""

    def __init__(self, entries: int, guards: int, seed: int) -> None:
        """Start everything, with every guard known to every entry."""
        self.now_s = 100.0
        self.random = random.Random(seed)
        self.packets: list[Packet] = []
        self.running: list[Running] = []
        self.executions: dict[str, int] = {}
        self.requests: dict[str, Request] = {}
        self.replies: dict[str, Reply] = {}
        self.arrived_at: dict[str, str] = {}
        self.key_of: dict[str, str] = {}
        self.tables = ControlTables()
        self.claims: list[tuple[str, ProposeOperation]] = []
        self.log_index = 0
        self.incarnations = 0
        self.guards: dict[str, admission.Admission] = {}
        self.entries: dict[str, EntryState] = {}
        for number in range(guards):
            self.start_guard(f'w{number}')
        for number in range(entries):
            self.start_entry(f'e{number}')

    def start_guard(self, worker: str) -> None:
        """Start a guard without any memory."""
        self.incarnations += 1
        guard = admission.Admission(
            admission.AdmissionSettings(),
            worker,
            f'i{self.incarnations}',
        )
        admission.announce(guard, SERVICE, SLOTS)
        self.guards[worker] = guard
        self.announce(worker)

    def announce(self, worker: str) -> None:
        """Let an upstream say how much it works on."""
        busy = sum(1 for running in self.running if running.worker == worker)
        effects = admission.reconcile_busy(
            self.guards[worker], busy, self.now_s
        )
        self.run_guard(worker, effects)

    def drop_execution(self, position: int) -> None:
        """Let an upstream end its work over a connection that is silent."""
        self.running.pop(position)

    def start_entry(self, name: str) -> None:
        """Start an entry without any memory; its callers lost their answer."""
        for request_id, entry in self.arrived_at.items():
            if entry == name and request_id not in self.replies:
                self.replies[request_id] = Reply(
                    request_id,
                    OutcomeKind.unknown,
                    'the entry died',
                )
        self.claims = [waiting for waiting in self.claims if waiting[0] != name]
        self.entries[name] = EntryState(
            name,
            'north-yard',
            random.Random(self.random.getrandbits(16)),
            TokenBucket(10, self.now_s),
        )
        self.send_statuses()

    def send_statuses(self) -> None:
        """Deliver the heartbeat of every guard to every entry."""
        for guard in self.guards.values():
            status = GuardStatus(
                guard.worker,
                guard.incarnation,
                'north-yard',
                SERVICE,
                guard.slots,
                admission.get_queue_limit(guard),
                guard.busy,
                guard.queued,
                guard.is_leaving,
                0,
            )
            for name, entry in self.entries.items():
                effects = routing.handle_guard_status(
                    entry,
                    status,
                    self.now_s,
                )
                self.run_entry(name, effects)

    def call(self, name: str, request: Request) -> None:
        """Let a caller send a request."""
        self.requests[request.request_id] = request
        self.arrived_at[request.request_id] = name
        effects = routing.handle_request(
            self.entries[name],
            request,
            self.now_s,
        )
        self.run_entry(name, effects)

    def run_entry(self, name: str, effects: list[Effect]) -> None:
        """Carry out what an entry decided."""
        for effect in effects:
            match effect:
                case Send():
                    self.packets.append(
                        Packet(name, effect.peer, effect.message),
                    )
                case Reply():
                    self._take_reply(effect)
                case ProposeOperation():
                    self.claims.append((name, effect))

    def _take_reply(self, reply: Reply) -> None:
        request_id = reply.request_id
        assert request_id not in self.replies, 'two replies'
        self.replies[request_id] = reply
        if reply.kind is OutcomeKind.completed:
            ran_as = reply.body.decode()
            request = self.requests[request_id]
            answered = self.requests[ran_as]
            is_own = ran_as == request_id
            is_recorded = (
                bool(request.idempotency_key)
                and answered.idempotency_key == request.idempotency_key
                and answered.team == request.team
            )
            assert is_own or is_recorded, 'answer to another request'

    def run_guard(self, worker: str, effects: list[Effect]) -> None:
        """Carry out what a guard decided."""
        guard = self.guards[worker]
        assert guard.busy <= guard.slots, 'slots exceeded'
        for effect in effects:
            match effect:
                case Send():
                    self.packets.append(
                        Packet(worker, effect.peer, effect.message),
                    )
                case ForwardRequest():
                    self._execute(worker, guard.incarnation, effect)

    def _execute(
        self,
        worker: str,
        incarnation: str,
        effect: ForwardRequest,
    ) -> None:
        request_id = effect.request.request_id
        self.executions[request_id] = self.executions.get(request_id, 0) + 1
        self.running.append(Running(worker, incarnation, effect))
        at_once = sum(1 for running in self.running if running.worker == worker)
        assert at_once <= SLOTS, 'the upstream got more than its slots'

    def deliver(self, position: int, *, is_repeated: bool = False) -> None:
        """Deliver a message, in any order."""
        packet = self.packets[position]
        if not is_repeated:
            self.packets.pop(position)
        guard = self.guards.get(packet.target)
        message = packet.message
        match message:
            case Dispatch() if guard is not None:
                effects = admission.handle_dispatch(
                    guard,
                    packet.source,
                    message,
                    self.now_s,
                )
                self.run_guard(packet.target, effects)
            case Withdrawal() if guard is not None:
                effects = admission.handle_withdrawal(
                    guard,
                    packet.source,
                    message,
                    self.now_s,
                )
                self.run_guard(packet.target, effects)
            case Answer():
                effects = routing.handle_answer(
                    self.entries[packet.target],
                    message,
                    self.now_s,
                )
                self.run_entry(packet.target, effects)

    def end_execution(self, position: int, kind: OutcomeKind) -> None:
        """Let an upstream answer, or its connection break."""
        running = self.running.pop(position)
        guard = self.guards[running.worker]
        if guard.incarnation != running.incarnation:
            return
        request_id = running.effect.request.request_id
        answer = Answer(
            request_id,
            running.effect.attempt,
            running.worker,
            kind,
            status=200,
            body=request_id.encode(),
            served_s=0.01,
        )
        effects = admission.handle_upstream_answer(guard, answer, self.now_s)
        self.run_guard(running.worker, effects)

    def decide_claim(self, position: int, *, is_granted: bool) -> None:
        """Let the control group commit an operation, or not in time."""
        name, effect = self.claims.pop(position)
        outcome = None
        if is_granted or isinstance(effect.operation, SettleClaim):
            self.log_index += 1
            command = Command(
                f's{self.log_index}',
                1,
                name,
                0,
                effect.operation,
            )
            outcome = apply_command(self.tables, self.log_index, command)
        if isinstance(effect.operation, ClaimRequest):
            effects = routing.handle_claim_outcome(
                self.entries[name],
                effect.request_id,
                outcome,
                self.now_s,
            )
            self.run_entry(name, effects)

    def change_route(self, worker: str) -> None:
        """Drop what is on its way to or from a guard, and dial anew."""
        self.packets = [
            packet
            for packet in self.packets
            if worker not in {packet.source, packet.target}
        ]
        for name, entry in self.entries.items():
            effects = routing.handle_peer_reconnected(entry, worker, self.now_s)
            self.run_entry(name, effects)

    def leave(self, worker: str) -> None:
        """Let an upstream leave, and come back later or not."""
        guard = self.guards[worker]
        self.run_guard(worker, admission.leave(guard, self.now_s))

    def tick(self, passed_s: float) -> None:
        """Let time pass everywhere."""
        self.now_s += passed_s
        for worker, guard in self.guards.items():
            self.run_guard(worker, admission.handle_tick(guard, self.now_s))
        for name, entry in self.entries.items():
            self.run_entry(name, routing.handle_tick(entry, self.now_s))

    def check(self) -> None:
        """Check the promises about every request so far."""
        runs_by_key: dict[tuple[str, str], int] = {}
        for request_id, request in self.requests.items():
            runs = self.executions.get(request_id, 0)
            reply = self.replies.get(request_id)
            if reply is not None and reply.kind is OutcomeKind.not_run:
                assert runs == 0, f'{request_id} ran though refused'
            if request.is_idempotent:
                continue
            assert runs <= 1, f'{request_id} ran {runs} times'
            key = (request.team, request.idempotency_key)
            if request.idempotency_key:
                runs_by_key[key] = runs_by_key.get(key, 0) + runs
        for key, runs in runs_by_key.items():
            assert runs <= 1, f'key {key} ran {runs} times'

    def settle(self) -> None:
        """End all faults and check that every caller has an answer."""
        for _ in range(8):
            while self.packets:
                self.deliver(0)
            while self.running:
                self.end_execution(0, OutcomeKind.completed)
            while self.claims:
                self.decide_claim(0, is_granted=True)
            self.tick(TIMEOUT_S / 4)
            for worker in self.guards:
                self.announce(worker)
            self.check()
        unanswered = set(self.requests) - set(self.replies)
        assert not unanswered, f'no reply to {sorted(unanswered)}'
        assert not any(entry.pending for entry in self.entries.values())
        assert not any(
            count
            for entry in self.entries.values()
            for count in entry.in_flight.values()
        )
