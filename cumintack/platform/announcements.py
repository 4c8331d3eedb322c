"""Heartbeats and departures that a worker sends to the guard on its machine."""

import re
from http import HTTPStatus

import msgspec
import structlog

from cumintack.daemon.settings import WorkflowGuardSettings
from cumintack.daemon.workflow_guard_component import WorkflowGuardComponent
from cumintack.platform._wire import WireHeartbeat
from cumintack.protocol.run_messages import WorkerInfo
from cumintack.state.resources import Resources
from cumintack.transport.http_server import HttpRequest, HttpResponse

WORKER_PATH = re.compile('/v1/instances/(?P<worker>[^/]+)/(?P<call>[a-z]+)')
DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
STATES = frozenset(('ready', 'draining'))

logger = structlog.get_logger()
_HEARTBEATS = msgspec.json.Decoder(WireHeartbeat)


class WorkerAnnouncements:
    """Handles the requests of the worker of one guard."""

    __slots__ = ('_guard', '_latest_order', '_incarnation_ids', '_settings')

    def __init__(
        self,
        settings: WorkflowGuardSettings,
        guard: WorkflowGuardComponent,
    ) -> None:
        """Create a handler that forwards to a guard."""
        self._settings = settings
        self._guard = guard
        self._latest_order = (0, 0)
        self._incarnation_ids: dict[str, str] = {}

    def respond(self, request: HttpRequest) -> HttpResponse:
        """Handle a request of the worker."""
        match = WORKER_PATH.fullmatch(request.path)
        if match is None or request.method != 'POST':
            return HttpResponse(HTTPStatus.NOT_FOUND, b'{}')
        match match['call']:
            case 'heartbeat':
                return self._handle_heartbeat(match['worker'], request.body)
            case 'leave':
                lifetime = self._incarnation_ids.get(match['worker'])
                if lifetime:
                    self._guard.handle_departure(lifetime)
                return HttpResponse(HTTPStatus.OK, b'{}')
        return HttpResponse(HTTPStatus.NOT_FOUND, b'{}')

    def _handle_heartbeat(self, worker: str, body: bytes) -> HttpResponse:
        try:
            heartbeat = _HEARTBEATS.decode(body)
        except DECODE_ERRORS as error:
            return self._reject(worker, str(error))
        if heartbeat.state not in STATES:
            return self._reject(worker, f'state {heartbeat.state!r}')
        if heartbeat.address != self._settings.worker_address:
            return self._reject(worker, f'address {heartbeat.address!r}')
        # A delayed heartbeat may arrive after a later one; ignore it.
        order = (heartbeat.born_ms, heartbeat.sequence)
        if order > self._latest_order:
            self._latest_order = order
            worker_info = decode_worker_info(worker, heartbeat)
            self._incarnation_ids = {worker: worker_info.lifetime}
            self._guard.handle_announcement(worker_info)
        return HttpResponse(HTTPStatus.OK, b'{}')

    def _reject(self, worker: str, problem: str) -> HttpResponse:
        logger.warning(
            'guard: announcement dropped', worker=worker, why=problem
        )
        return HttpResponse(
            HTTPStatus.BAD_REQUEST,
            msgspec.json.encode({'error': problem}),
        )


def format_incarnation_id(worker: str, born_ms: int) -> str:
    """Format the identifier of an incarnation of a worker.

    Identifiers of later incarnations sort after those of earlier ones.

    Args:
        worker: Identifier of the worker.
        born_ms: Start of the incarnation in Unix ms.

    Returns:
        The identifier.
    """
    return f'{born_ms:015d}.{worker}'


def decode_worker_info(worker: str, heartbeat: WireHeartbeat) -> WorkerInfo:
    """Convert a heartbeat to the internal description of the worker.

    Args:
        worker: Identifier of the worker.
        heartbeat: The decoded heartbeat.

    Returns:
        The worker info.
    """
    capacity = heartbeat.capacity
    return WorkerInfo(
        worker,
        format_incarnation_id(worker, heartbeat.born_ms),
        heartbeat.pool,
        heartbeat.data_centre,
        Resources(
            capacity.cores_milli,
            capacity.memory_mb,
            capacity.accelerators,
        ),
        heartbeat.labels,
        heartbeat.state == 'draining',
        int(heartbeat.leaves_in_ms),
    )
