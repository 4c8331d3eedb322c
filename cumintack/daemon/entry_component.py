"""Role ``entry``: HTTP API for callers and operators, routing to guards."""

import queue
import random
import secrets
from http import HTTPStatus

import structlog

from cumintack.coordination import routing
from cumintack.coordination.effects import (
    Effect,
    ProposeOperation,
    RecordEvent,
    Reply,
    Send,
)
from cumintack.coordination.entry_state import EntryState, RoutingPolicy
from cumintack.coordination.token_bucket import TokenBucket
from cumintack.daemon.admin import Admin
from cumintack.daemon.node import CallHandler, CallReply, Node
from cumintack.daemon.settings import EntrySettings
from cumintack.protocol.messages import (
    EntryStatus,
    Goodbye,
    GuardStatus,
    Message,
    Propose,
    Proposed,
)
from cumintack.protocol.timeline_messages import TimelineReply
from cumintack.state.commands import (
    ClaimRequest,
    Command,
    Operation,
    Outcome,
    SettleClaim,
)
from cumintack.state.configuration import Configuration, get_numeric_setting
from cumintack.state.requests import Answer, OutcomeKind, Request
from cumintack.transport.caller_api import (
    CallerDefaults,
    CallerOutcome,
    create_response,
    get_service_name,
    read_request,
)
from cumintack.transport.http_server import (
    HttpRequest,
    HttpResponse,
    HttpServer,
)
from cumintack.transport.operator_api import ADMIN_PREFIX
from cumintack.transport.upstream_client import create_error_response

# Below the 64 outcomes that the state machine keeps of a session, so that the
# outcome of a resent command is still there.
COMMANDS_PER_SESSION = 32
# Timeout of a claim, independent of that of its request: a claim that is
# granted after the request was refused must be seen, to be released.
CLAIM_TIMEOUT_S = 60.0
SETTLE_TIMEOUT_S = 30.0
# How long an HTTP thread waits past the deadline for the loop's decision.
REPLY_GRACE_S = 2.0
SEED_BITS = 64
RETRY_AFTER_S = 1.0
STOPPING_REASON = 'the entry is shutting down'
TICK_INTERVAL_S = 0.005
INITIAL_RETRY_TOKENS = 10.0

logger = structlog.get_logger()
ReplyQueue = queue.SimpleQueue[Reply]


class EntryComponent:
    """The component that runs an entry in a process."""

    __slots__ = (
        '_admin',
        '_is_stopping',
        '_node',
        '_sequence',
        '_server',
        '_settings',
        '_next_tick_at_s',
        '_reply_queues',
        'state',
    )

    def __init__(self, node: Node, settings: EntrySettings) -> None:
        """Listen for callers and operators."""
        self._node = node
        self._settings = settings
        self._is_stopping = False
        self._sequence = 0
        self._next_tick_at_s = 0.0
        self._reply_queues: dict[str, ReplyQueue] = {}
        self.state = EntryState(
            node.settings.name,
            node.settings.data_centre,
            random.Random(secrets.randbits(SEED_BITS)),
            TokenBucket(INITIAL_RETRY_TOKENS, node.clock.now_s()),
            policy=RoutingPolicy(settings.policy),
        )
        self._admin = Admin(node, self.state)
        self._server = HttpServer(
            settings.http_address,
            self._serve,
            settings.threads,
            settings.max_body_bytes,
        )
        self._server.start()

    def _serve(self, http_request: HttpRequest) -> HttpResponse:
        if http_request.path.startswith(ADMIN_PREFIX):
            return self._admin.serve(http_request)
        service = get_service_name(http_request.path)
        if not service:
            return create_error_response(HTTPStatus.NOT_FOUND, 'no such path')
        timeout_ms = get_numeric_setting(
            self._node.configuration,
            f'service.{service}.timeout_ms',
        )
        request_id = f'r{secrets.token_hex(8)}'
        parsed = read_request(
            http_request,
            request_id,
            CallerDefaults(int(timeout_ms), self._settings.max_timeout_ms),
        )
        if isinstance(parsed, str):
            return create_error_response(HTTPStatus.BAD_REQUEST, parsed)
        if self._is_stopping:
            return self._respond(
                parsed, _create_refusal(parsed, STOPPING_REASON)
            )
        return self._await_reply(parsed)

    def _await_reply(self, request: Request) -> HttpResponse:
        started_at_s = self._node.clock.now_s()
        replies: ReplyQueue = queue.SimpleQueue()
        self._node.post(lambda: self._handle_request(request, replies))
        try:
            reply = replies.get(timeout=request.timeout_s + REPLY_GRACE_S)
        except queue.Empty:
            reply = Reply(
                request.request_id,
                OutcomeKind.unknown,
                'the entry timed out before an outcome was known',
            )
        took_s = self._node.clock.now_s() - started_at_s
        self._node.metrics.time(f'entry.{reply.kind.value}', took_s)
        return self._respond(request, reply)

    def _respond(self, request: Request, reply: Reply) -> HttpResponse:
        return create_response(
            CallerOutcome(
                request.request_id,
                reply.kind,
                _get_status(reply),
                reply.reason,
                reply.headers,
                reply.body,
                reply.retry_after_s,
            ),
        )

    def _handle_request(self, request: Request, replies: ReplyQueue) -> None:
        reason = ''
        if self._is_stopping:
            reason = STOPPING_REASON
        elif not self._node.is_configuration_current:
            reason = 'the entry has not received the configuration yet'
        if reason:
            replies.put(_create_refusal(request, reason))
            return
        self._reply_queues[request.request_id] = replies
        self._perform_effects(
            routing.handle_request(
                self.state,
                request,
                self._node.clock.now_s(),
            ),
        )

    def _perform_effects(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Send():
                    self._node.send(effect.peer, effect.message)
                case Reply():
                    replies = self._reply_queues.pop(effect.request_id, None)
                    if replies is not None:
                        replies.put(effect)
                case ProposeOperation():
                    self._propose(effect)
                case RecordEvent():
                    self._node.record(effect)

    def _propose(self, effect: ProposeOperation) -> None:
        match effect.operation:
            case ClaimRequest():
                self._call_leader(
                    effect.operation,
                    CLAIM_TIMEOUT_S,
                    lambda reply: self._handle_claim_reply(effect, reply),
                )
            case _:
                self._call_leader(
                    effect.operation,
                    effect.timeout_s,
                    lambda _reply: None,
                )

    def _call_leader(
        self,
        operation: Operation,
        timeout_s: float,
        on_reply: CallHandler,
    ) -> None:
        self._sequence += 1
        session_id = self._sequence // COMMANDS_PER_SESSION
        command = Command(
            f'{self._node.settings.name}.{self._node.incarnation}.{session_id}',
            self._sequence,
            self._node.settings.name,
            0,
            operation,
        )
        self._node.call(
            lambda call_id: Propose(call_id, command),
            timeout_s,
            on_reply,
        )

    def _handle_claim_reply(
        self,
        effect: ProposeOperation,
        reply: CallReply | None,
    ) -> None:
        """Handle the outcome of a claim, even after its request has ended.

        A claim granted after its request was refused is released, so that a
        caller who resends the request is not told that it is in progress.
        """
        request_id = effect.request_id
        outcome: Outcome | None = None
        if isinstance(reply, Proposed):
            outcome = reply.outcome
        if request_id in self.state.pending:
            self._perform_effects(
                routing.handle_claim_outcome(
                    self.state,
                    request_id,
                    outcome,
                    self._node.clock.now_s(),
                ),
            )
            return
        operation = effect.operation
        is_own = (
            outcome is not None
            and outcome.claim is not None
            and outcome.claim.request_id == request_id
        )
        if is_own and isinstance(operation, ClaimRequest):
            self._call_leader(
                SettleClaim(operation.claim_key, request_id, has_run=False),
                SETTLE_TIMEOUT_S,
                lambda _reply: None,
            )

    def handle(self, sender: str, message: Message) -> bool:
        """Handle a message; return false if it is not for this component."""
        now_s = self._node.clock.now_s()
        match message:
            case Answer():
                self._perform_effects(
                    routing.handle_answer(self.state, message, now_s)
                )
            case GuardStatus():
                self._perform_effects(
                    routing.handle_guard_status(self.state, message, now_s),
                )
                self._node.pull_if_newer(sender, message.revision)
                revision = self._node.configuration.revision
                self._node.send(sender, EntryStatus(revision))
            case Goodbye():
                self.state.known_guards.discard(message.name)
                self._perform_effects(
                    routing.handle_guard_lost(
                        self.state,
                        message.name,
                        now_s,
                    ),
                )
                return False
            case TimelineReply():
                self._admin.handle_timeline_reply(message)
            case _:
                return False
        return True

    def handle_peer_reconnected(self, peer: str) -> None:
        """Resend open requests to a guard over its new link."""
        self._perform_effects(
            routing.handle_peer_reconnected(
                self.state,
                peer,
                self._node.clock.now_s(),
            ),
        )

    def tick(self, now_s: float) -> None:
        """Check deadlines, withdrawals and silent guards."""
        if now_s < self._next_tick_at_s:
            return
        self._next_tick_at_s = now_s + TICK_INTERVAL_S
        self._perform_effects(routing.handle_tick(self.state, now_s))
        self._admin.tick(now_s)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Use a newer configuration."""
        self.state.configuration = configuration

    def begin_stop(self) -> None:
        """Reject new requests as not run."""
        self._is_stopping = True

    def is_idle(self) -> bool:
        """Return whether all requests are answered and no call is open."""
        return not (self._reply_queues or self._node.calls.calls)

    def close(self) -> None:
        """Stop the server once its threads have sent their responses."""
        self._server.stop()


def _create_refusal(request: Request, reason: str) -> Reply:
    return Reply(
        request.request_id,
        OutcomeKind.not_run,
        reason,
        retry_after_s=RETRY_AFTER_S,
    )


def _get_status(reply: Reply) -> int:
    if reply.kind is OutcomeKind.completed:
        return reply.status
    if reply.is_conflict:
        return HTTPStatus.CONFLICT
    if reply.kind is OutcomeKind.unknown:
        return HTTPStatus.GATEWAY_TIMEOUT
    if reply.is_over_quota:
        return HTTPStatus.TOO_MANY_REQUESTS
    return HTTPStatus.SERVICE_UNAVAILABLE
