"""The administration API of an entry."""

import queue
import urllib.parse
from collections.abc import Callable, Iterable
from http import HTTPStatus

import msgspec
from result import Err, Ok

from cumintack.coordination.control_calls import allocate_call_id
from cumintack.coordination.entry_state import EntryState
from cumintack.coordination.querying import (
    UPSTREAM_COLUMNS,
    Cell,
    list_upstream_rows,
    run_query,
)
from cumintack.coordination.statements import create_operation
from cumintack.coordination.timeline import (
    Timeline,
    TimelineCollection,
    add_reply,
    create_timeline,
    is_collected,
)
from cumintack.daemon.node import CallReply, Node
from cumintack.protocol.language import (
    ReplicaChange,
    Select,
    Statement,
    parse_statement,
)
from cumintack.protocol.messages import (
    ChangeReplica,
    Propose,
    Proposed,
    QueryReply,
    QueryRequest,
)
from cumintack.protocol.timeline_messages import (
    TimelineReply,
    TimelineRequest,
)
from cumintack.state.commands import Command, Operation
from cumintack.state.errors import ErrorCode, StepError
from cumintack.state.events import get_events
from cumintack.transport.http_server import HttpRequest, HttpResponse
from cumintack.transport.operator_api import (
    ADMIN_PREFIX,
    ExecuteBody,
    Operator,
    OperatorAccess,
    OperatorToken,
    check_authorized,
    decode_execute_body,
    identify_operator,
)
from cumintack.transport.upstream_client import (
    create_error_response,
    get_error_status,
)

# Timeout of a call to the leader.
CALL_TIMEOUT_S = 10.0
# Timeout of an HTTP thread; longer than that of the call, so that the error
# of the call itself is returned.
RESPONSE_TIMEOUT_S = 12.0
# How long a timeline request waits for the replies of other processes.
TIMELINE_TIMEOUT_S = 1.0
# Largest number of events that one timeline request returns.
MAX_EVENTS = 5000
EVENT_COLUMNS = (
    'wall_ms',
    'counter',
    'process',
    'event',
    'subject',
    'detail',
)

ResponseQueue = queue.SimpleQueue[HttpResponse]
LoopAction = Callable[[ResponseQueue], None]


class ErrorBody(msgspec.Struct, frozen=True):
    """JSON body of an error response."""

    error: str
    step: str
    peer: str
    code: str
    version: int


class CommandBody(msgspec.Struct, frozen=True):
    """JSON body of the response to an applied command."""

    index: int
    names: tuple[str, ...]


class HealthBody(msgspec.Struct, frozen=True):
    """JSON body of ``/admin/v1/health``."""

    name: str
    is_current: bool
    revision: int
    leader: str
    guards: int


def create_step_error_response(error: StepError) -> HttpResponse:
    """Create the HTTP response for a failed operation.

    Args:
        error: The error.

    Returns:
        A response with the error as JSON.
    """
    body = ErrorBody(
        error.detail,
        error.step,
        error.peer,
        error.code.value,
        error.version,
    )
    return HttpResponse(
        get_error_status(error.code),
        msgspec.json.encode(body),
    )


class Admin:
    """Serves the administration API; HTTP threads call ``serve``."""

    __slots__ = (
        '_access',
        '_collections',
        '_node',
        '_state',
    )

    def __init__(self, node: Node, state: EntryState) -> None:
        """Serve from the state of an entry and from the control group."""
        settings = node.settings.admin
        self._node = node
        self._state = state
        self._collections: dict[int, TimelineCollection] = {}
        self._access = OperatorAccess(
            settings.is_loopback_open,
            tuple(
                OperatorToken(
                    configured.token,
                    configured.name,
                    configured.role,
                    configured.team,
                )
                for configured in settings.tokens
            ),
        )

    def serve(self, request: HttpRequest) -> HttpResponse:
        """Authenticate and serve one request."""
        endpoint = request.path[len(ADMIN_PREFIX) :]
        match identify_operator(request, self._access):
            case Err(error):
                return create_error_response(
                    HTTPStatus.UNAUTHORIZED,
                    error.detail,
                )
            case Ok(operator):
                return self._serve_endpoint(endpoint, request, operator)

    def _serve_endpoint(
        self,
        endpoint: str,
        request: HttpRequest,
        operator: Operator,
    ) -> HttpResponse:
        match (request.method, endpoint):
            case ('POST', 'execute'):
                return self._execute(request, operator)
            case ('GET', 'timeline'):
                return self._serve_timeline(request)
            case ('GET', 'health'):
                return self._serve_health()
            case (_, 'execute' | 'timeline' | 'health'):
                return create_error_response(
                    HTTPStatus.METHOD_NOT_ALLOWED, 'method not allowed'
                )
        return create_error_response(HTTPStatus.NOT_FOUND, 'no such path')

    def _execute(
        self,
        request: HttpRequest,
        operator: Operator,
    ) -> HttpResponse:
        match decode_execute_body(request):
            case Err(error):
                return create_step_error_response(error)
            case Ok(body):
                pass
        match parse_statement(body.text):
            case Err(error):
                return create_step_error_response(error)
            case Ok(statement):
                pass
        refusal = check_authorized(operator, statement)
        if refusal is not None:
            return create_step_error_response(refusal)
        return self._execute_statement(statement, body, operator)

    def _execute_statement(
        self,
        statement: Statement,
        body: ExecuteBody,
        operator: Operator,
    ) -> HttpResponse:
        match statement:
            case Select(table='upstreams'):
                return self._run_on_loop(
                    lambda responses: self._list_upstreams(statement, responses)
                )
            case Select(table='events'):
                return self._run_on_loop(
                    lambda responses: self._list_events(statement, responses)
                )
            case Select():
                return self._run_on_loop(
                    lambda responses: self._query_leader(body.text, responses)
                )
            case ReplicaChange():
                return self._run_on_loop(
                    lambda responses: self._change_replica(statement, responses)
                )
        match create_operation(statement):
            case Err(error):
                return create_step_error_response(error)
            case Ok(operation):
                return self._run_on_loop(
                    lambda responses: self._propose(
                        operation, body, operator, responses
                    ),
                )

    def _run_on_loop(self, action: LoopAction) -> HttpResponse:
        responses: ResponseQueue = queue.SimpleQueue()
        self._node.post(lambda: action(responses))
        try:
            return responses.get(timeout=RESPONSE_TIMEOUT_S)
        except queue.Empty:
            return create_error_response(
                HTTPStatus.GATEWAY_TIMEOUT, 'timed out waiting for an answer'
            )

    def _list_upstreams(self, select: Select, responses: ResponseQueue) -> None:
        rows = list_upstream_rows(self._state, self._node.clock.now_s())
        responses.put(_create_rows_response(select, UPSTREAM_COLUMNS, rows))

    def _list_events(self, select: Select, responses: ResponseQueue) -> None:
        events = get_events(self._node.event_buffer, '', MAX_EVENTS)
        rows = [
            (
                event.stamp.wall_ms,
                event.stamp.counter,
                event.process,
                event.name,
                event.subject,
                event.detail,
            )
            for event in events
        ]
        responses.put(_create_rows_response(select, EVENT_COLUMNS, rows))

    def _query_leader(self, text: str, responses: ResponseQueue) -> None:
        self._node.call(
            lambda call_id: QueryRequest(call_id, text),
            CALL_TIMEOUT_S,
            lambda reply: responses.put(_create_query_response(reply)),
        )

    def _change_replica(
        self, statement: ReplicaChange, responses: ResponseQueue
    ) -> None:
        self._node.call(
            lambda call_id: ChangeReplica(
                call_id,
                statement.name,
                statement.address,
                statement.is_removal,
            ),
            CALL_TIMEOUT_S,
            lambda reply: responses.put(_create_command_response(reply)),
        )

    def _propose(
        self,
        operation: Operation,
        body: ExecuteBody,
        operator: Operator,
        responses: ResponseQueue,
    ) -> None:
        session = f'op.{operator.name}.{body.session}'
        sequence = body.sequence
        if not body.session:
            incarnation = self._node.incarnation
            sequence = self._node.calls.last_call_id + 1
            session = f'op.{self._node.settings.name}.{incarnation}.{sequence}'
        command = Command(session, sequence, operator.name, 0, operation)
        self._node.call(
            lambda call_id: Propose(call_id, command),
            CALL_TIMEOUT_S,
            lambda reply: responses.put(_create_command_response(reply)),
        )

    def _serve_health(self) -> HttpResponse:
        node = self._node
        body = HealthBody(
            node.settings.name,
            node.is_configuration_current,
            node.configuration.revision,
            node.calls.leader,
            len(self._state.guards),
        )
        status = HTTPStatus.SERVICE_UNAVAILABLE
        if node.is_configuration_current:
            status = HTTPStatus.OK
        return HttpResponse(status, msgspec.json.encode(body))

    def _serve_timeline(self, request: HttpRequest) -> HttpResponse:
        query = dict(urllib.parse.parse_qsl(request.query))
        subject = query.get('subject', '')
        limit = query.get('limit', '1000')
        is_number = limit.isascii() and limit.isdigit() and len(limit) < 10
        if not is_number or not 1 <= int(limit) <= MAX_EVENTS:
            return create_error_response(
                HTTPStatus.BAD_REQUEST,
                f'limit must be between 1 and {MAX_EVENTS}',
            )
        return self._run_on_loop(
            lambda responses: self._collect_timeline(
                subject, int(limit), responses
            ),
        )

    def _collect_timeline(
        self, subject: str, limit: int, responses: ResponseQueue
    ) -> None:
        node = self._node
        expected = {peer.name for peer in node.settings.control_replicas}
        expected.update(peer.name for peer in node.settings.entries)
        expected.update(self._state.known_guards)
        expected.discard(node.settings.name)
        collection = TimelineCollection(
            allocate_call_id(node.calls),
            expected,
            node.clock.now_s() + TIMELINE_TIMEOUT_S,
            limit,
            responses.put,
        )
        collection.events.extend(get_events(node.event_buffer, subject, limit))
        self._collections[collection.call_id] = collection
        for name in sorted(expected):
            node.send(
                name,
                TimelineRequest(collection.call_id, subject, limit),
            )

    def handle_timeline_reply(self, reply: TimelineReply) -> None:
        """Add the events of one process; called by the loop."""
        collection = self._collections.get(reply.call_id)
        if collection is not None:
            add_reply(collection, reply)

    def tick(self, now_s: float) -> None:
        """Answer collections that are complete or timed out."""
        for collection in list(self._collections.values()):
            if is_collected(collection) or now_s >= collection.deadline_s:
                self._collections.pop(collection.call_id)
                timeline: Timeline = create_timeline(collection)
                collection.deliver(
                    HttpResponse(HTTPStatus.OK, msgspec.json.encode(timeline)),
                )


def _create_rows_response(
    select: Select,
    columns: tuple[str, ...],
    rows: Iterable[tuple[Cell, ...]],
) -> HttpResponse:
    match run_query(select, columns, rows):
        case Ok(matching):
            return HttpResponse(HTTPStatus.OK, msgspec.json.encode(matching))
        case Err(error):
            return create_step_error_response(error)


def _create_query_response(reply: CallReply | None) -> HttpResponse:
    if not isinstance(reply, QueryReply):
        return create_step_error_response(_create_timeout_error())
    if reply.error is not None:
        return create_step_error_response(reply.error)
    return HttpResponse(HTTPStatus.OK, reply.rows)


def _create_command_response(reply: CallReply | None) -> HttpResponse:
    if not isinstance(reply, Proposed):
        return create_step_error_response(_create_timeout_error())
    error = reply.error
    if reply.outcome is not None:
        error = reply.outcome.error
    if error is not None or reply.outcome is None:
        return create_step_error_response(error or _create_timeout_error())
    body = CommandBody(reply.outcome.index, reply.outcome.names)
    return HttpResponse(HTTPStatus.OK, msgspec.json.encode(body))


def _create_timeout_error() -> StepError:
    return StepError(
        ErrorCode.no_quorum,
        'admin.call',
        'control',
        'no answer from a leader in time; a command may still be applied, '
        'so resend it with the same session and sequence',
    )
