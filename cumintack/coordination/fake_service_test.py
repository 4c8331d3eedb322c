"""Entries and guards over a fake network, with an oracle of executions.

The decision code is that of production. The network drops, repeats, delays
and reorders messages; upstreams answer, hang, answer late or break the
connection; guards and entries crash and restart without their state; the
control group commits claims late or not at all.
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
    """A message in transit."""

    source: str
    target: str
    message: Message


class RunningExecution(msgspec.Struct, frozen=True):
    """An execution at an upstream, and the guard that forwarded it."""

    worker: str
    incarnation: str
    effect: ForwardRequest


class FakeService:
    """Entries, guards and upstreams, and the records of the oracle."""

    def __init__(self, entries: int, guards: int, seed: int) -> None:
        """Start guards and entries, with every guard known to every entry."""
        self.now_s = 100.0
        self.random = random.Random(seed)
        self.packets: list[Packet] = []
        self.running: list[RunningExecution] = []
        self.execution_counts: dict[str, int] = {}
        self.requests: dict[str, Request] = {}
        self.replies: dict[str, Reply] = {}
        self.entry_by_request: dict[str, str] = {}
        self.key_of: dict[str, str] = {}
        self.tables = ControlTables()
        self.proposals: list[tuple[str, ProposeOperation]] = []
        self.log_index = 0
        self.incarnation_count = 0
        self.guards: dict[str, admission.Admission] = {}
        self.entries: dict[str, EntryState] = {}
        for number in range(guards):
            self.start_guard(f'w{number}')
        for number in range(entries):
            self.start_entry(f'e{number}')

    def start_guard(self, worker: str) -> None:
        """Start a guard without its state, or restart it."""
        self.incarnation_count += 1
        guard = admission.Admission(
            admission.AdmissionSettings(),
            worker,
            f'i{self.incarnation_count}',
        )
        admission.register_upstream(guard, SERVICE, SLOTS)
        self.guards[worker] = guard
        self.report_busy(worker)

    def report_busy(self, worker: str) -> None:
        """Report to a guard how many requests its upstream works on."""
        busy = sum(1 for running in self.running if running.worker == worker)
        effects = admission.reconcile_busy(
            self.guards[worker], busy, self.now_s
        )
        self.apply_guard_effects(worker, effects)

    def drop_execution(self, position: int) -> None:
        """End an execution whose answer is lost on a silent connection."""
        self.running.pop(position)

    def start_entry(self, name: str) -> None:
        """Start an entry without its state, or restart it.

        The outcome of requests that were open at the previous start of the
        entry is unknown to their callers.
        """
        for request_id, entry in self.entry_by_request.items():
            if entry == name and request_id not in self.replies:
                self.replies[request_id] = Reply(
                    request_id,
                    OutcomeKind.unknown,
                    'the entry died',
                )
        self.proposals = [
            proposal for proposal in self.proposals if proposal[0] != name
        ]
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
                self.apply_entry_effects(name, effects)

    def send_request(self, name: str, request: Request) -> None:
        """Send a request of a caller to an entry."""
        self.requests[request.request_id] = request
        self.entry_by_request[request.request_id] = name
        effects = routing.handle_request(
            self.entries[name],
            request,
            self.now_s,
        )
        self.apply_entry_effects(name, effects)

    def apply_entry_effects(self, name: str, effects: list[Effect]) -> None:
        """Carry out the effects of an entry."""
        for effect in effects:
            match effect:
                case Send():
                    self.packets.append(
                        Packet(name, effect.peer, effect.message),
                    )
                case Reply():
                    self._record_reply(effect)
                case ProposeOperation():
                    self.proposals.append((name, effect))

    def _record_reply(self, reply: Reply) -> None:
        request_id = reply.request_id
        assert request_id not in self.replies, 'two replies'
        self.replies[request_id] = reply
        if reply.kind is OutcomeKind.completed:
            executed_id = reply.body.decode()
            request = self.requests[request_id]
            executed_request = self.requests[executed_id]
            is_own = executed_id == request_id
            is_recorded = (
                bool(request.idempotency_key)
                and executed_request.idempotency_key == request.idempotency_key
                and executed_request.team == request.team
            )
            assert is_own or is_recorded, 'answer to another request'

    def apply_guard_effects(self, worker: str, effects: list[Effect]) -> None:
        """Carry out the effects of a guard."""
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
        self.execution_counts[request_id] = (
            self.execution_counts.get(request_id, 0) + 1
        )
        self.running.append(RunningExecution(worker, incarnation, effect))
        concurrent_count = sum(
            1 for running in self.running if running.worker == worker
        )
        assert concurrent_count <= SLOTS, 'the upstream got more than its slots'

    def deliver(self, position: int, *, is_repeated: bool = False) -> None:
        """Deliver a message; a repeated one stays in transit."""
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
                self.apply_guard_effects(packet.target, effects)
            case Withdrawal() if guard is not None:
                effects = admission.handle_withdrawal(
                    guard,
                    packet.source,
                    message,
                    self.now_s,
                )
                self.apply_guard_effects(packet.target, effects)
            case Answer():
                effects = routing.handle_answer(
                    self.entries[packet.target],
                    message,
                    self.now_s,
                )
                self.apply_entry_effects(packet.target, effects)

    def end_execution(self, position: int, kind: OutcomeKind) -> None:
        """End an execution by an answer or a broken connection."""
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
        self.apply_guard_effects(running.worker, effects)

    def resolve_proposal(self, position: int, *, is_committed: bool) -> None:
        """Commit a proposed operation, or let a claim time out."""
        name, effect = self.proposals.pop(position)
        outcome = None
        if is_committed or isinstance(effect.operation, SettleClaim):
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
            self.apply_entry_effects(name, effects)

    def reconnect_guard(self, worker: str) -> None:
        """Reconnect a guard; messages in transit to or from it are lost."""
        self.packets = [
            packet
            for packet in self.packets
            if worker not in {packet.source, packet.target}
        ]
        for name, entry in self.entries.items():
            effects = routing.handle_peer_reconnected(entry, worker, self.now_s)
            self.apply_entry_effects(name, effects)

    def leave(self, worker: str) -> None:
        """Let the upstream of a guard leave."""
        guard = self.guards[worker]
        self.apply_guard_effects(worker, admission.leave(guard, self.now_s))

    def tick(self, elapsed_s: float) -> None:
        """Advance the clock, and tick guards and entries."""
        self.now_s += elapsed_s
        for worker, guard in self.guards.items():
            self.apply_guard_effects(
                worker, admission.handle_tick(guard, self.now_s)
            )
        for name, entry in self.entries.items():
            self.apply_entry_effects(
                name, routing.handle_tick(entry, self.now_s)
            )

    def check_invariants(self) -> None:
        """Check the outcome guarantees of every request so far."""
        execution_count_by_key: dict[tuple[str, str], int] = {}
        for request_id, request in self.requests.items():
            execution_count = self.execution_counts.get(request_id, 0)
            reply = self.replies.get(request_id)
            if reply is not None and reply.kind is OutcomeKind.not_run:
                assert execution_count == 0, f'{request_id} ran though refused'
            if request.is_idempotent:
                continue
            assert execution_count <= 1, (
                f'{request_id} ran {execution_count} times'
            )
            key = (request.team, request.idempotency_key)
            if request.idempotency_key:
                execution_count_by_key[key] = (
                    execution_count_by_key.get(key, 0) + execution_count
                )
        for key, execution_count in execution_count_by_key.items():
            assert execution_count <= 1, (
                f'key {key} ran {execution_count} times'
            )

    def finish_and_check(self) -> None:
        """Finish all work without faults; every caller must have a reply."""
        for _ in range(8):
            while self.packets:
                self.deliver(0)
            while self.running:
                self.end_execution(0, OutcomeKind.completed)
            while self.proposals:
                self.resolve_proposal(0, is_committed=True)
            self.tick(TIMEOUT_S / 4)
            for worker in self.guards:
                self.report_busy(worker)
            self.check_invariants()
        unanswered = set(self.requests) - set(self.replies)
        assert not unanswered, f'no reply to {sorted(unanswered)}'
        assert not any(entry.pending for entry in self.entries.values())
        assert not any(
            count
            for entry in self.entries.values()
            for count in entry.in_flight.values()
        )
