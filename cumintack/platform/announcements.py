"""Heartbeats and departures that a worker sends to the guard on its machine."""

import re
import threading
from http import HTTPStatus
from typing import Protocol

import msgspec
import structlog
from msgspec import UNSET

from cumintack.coordination.runs.worker_registration import (
    Announcement,
    Followed,
    Outdated,
    Registration,
    RegistrationState,
    Rejected,
    Waiting,
    record_pools,
    register,
    skip_pool_checks,
)
from cumintack.daemon.settings import WorkflowGuardSettings
from cumintack.platform._wire import DECODE_ERRORS, WireHeartbeat, WireLeave
from cumintack.protocol.run_messages import WorkerInfo
from cumintack.state.resources import Resources
from cumintack.transport.clock import Clock, get_wall_ms
from cumintack.transport.http_server import HttpRequest, HttpResponse

WORKER_PATH = re.compile('/v1/instances/(?P<worker>[^/]+)/(?P<call>[a-z]+)')
DRAINING = 'draining'
STATES = frozenset(('ready', DRAINING))
MAX_WORKER_ID_LENGTH = 256
# Most by which the wall clocks of a worker and its guard may differ, in ms.
MAX_CLOCK_ERROR_MS = 86400000

logger = structlog.get_logger()
_HEARTBEATS = msgspec.json.Decoder(WireHeartbeat)
_LEAVES = msgspec.json.Decoder(WireLeave)


class WorkerAnnouncementHandler(Protocol):
    """What follows the announcements: a guard."""

    def handle_announcement(self, worker_info: WorkerInfo) -> None:
        """Handle an announcement; may be called by any thread."""

    def handle_departure(self, lifetime: str) -> None:
        """Handle the end of an incarnation; may be called by any thread."""


class WorkerAnnouncements:
    """Handles the requests of the worker of one guard; thread-safe."""

    __slots__ = ('_clock', '_guard', '_lock', '_registration', '_settings')

    def __init__(
        self,
        settings: WorkflowGuardSettings,
        guard: WorkerAnnouncementHandler,
        clock: Clock,
    ) -> None:
        """Create a handler that forwards to a guard."""
        self._clock = clock
        self._settings = settings
        self._guard = guard
        self._lock = threading.Lock()
        self._registration = RegistrationState()

    def update_pools(self, queue_version: int, pools: tuple[str, ...]) -> None:
        """Follow announcements of these pools too.

        Args:
            queue_version: Version of the queue configuration.
            pools: Pools that the control group names.
        """
        with self._lock:
            registrations = record_pools(
                self._registration, queue_version, pools
            )
            self._follow(registrations)

    def skip_pool_checks(self) -> None:
        """Follow announcements of any pool unless pools are known."""
        with self._lock:
            self._follow(skip_pool_checks(self._registration))

    def _follow(self, registrations: list[Registration]) -> None:
        for registration in registrations:
            match registration:
                case Followed(worker_info=worker_info):
                    self._guard.handle_announcement(worker_info)
                case Rejected(problem=problem):
                    logger.warning('guard: announcement dropped', why=problem)

    def respond(self, request: HttpRequest) -> HttpResponse:
        """Handle a request of the worker."""
        match = WORKER_PATH.fullmatch(request.path)
        if match is None or request.method != 'POST':
            return HttpResponse(HTTPStatus.NOT_FOUND, b'{}')
        match match['call']:
            case 'heartbeat':
                return self._handle_heartbeat(match['worker'], request.body)
            case 'leave':
                return self._handle_leave(match['worker'], request.body)
        return HttpResponse(HTTPStatus.NOT_FOUND, b'{}')

    def _handle_heartbeat(self, worker: str, body: bytes) -> HttpResponse:
        try:
            heartbeat = _HEARTBEATS.decode(body)
        except DECODE_ERRORS as error:
            return self._reject(worker, str(error))
        problem = self._find_problem(worker, heartbeat)
        if problem:
            return self._reject(worker, problem)
        announcement = Announcement(
            decode_worker_info(worker, heartbeat),
            heartbeat.born_ms,
            heartbeat.sequence,
        )
        with self._lock:
            registration = register(self._registration, announcement)
            match registration:
                case Followed(worker_info=worker_info):
                    self._guard.handle_announcement(worker_info)
                case Rejected(problem=problem):
                    return self._reject(worker, problem)
                case Waiting():
                    logger.info(
                        'guard: announcement waits for a configuration',
                        worker=worker,
                        pool=heartbeat.pool,
                    )
                case Outdated():
                    pass
        return HttpResponse(HTTPStatus.OK, b'{}')

    def _handle_leave(self, worker: str, body: bytes) -> HttpResponse:
        try:
            leave = _LEAVES.decode(body) if body else WireLeave()
        except DECODE_ERRORS as error:
            return self._reject(worker, str(error))
        with self._lock:
            followed = self._registration.followed
        if followed is None or followed.worker_info.worker_id != worker:
            return HttpResponse(HTTPStatus.OK, b'{}')
        if not self._describes(leave, followed):
            return self._reject(worker, 'departure of another worker')
        self._guard.handle_departure(followed.worker_info.lifetime)
        return HttpResponse(HTTPStatus.OK, b'{}')

    def _describes(self, leave: WireLeave, followed: Announcement) -> bool:
        """Tell whether what a departure says is true of the worker."""
        worker_info = followed.worker_info
        return (
            leave.pool in {UNSET, worker_info.pool}
            and leave.address in {UNSET, self._settings.worker_address}
            and leave.data_centre in {UNSET, worker_info.data_centre}
            and leave.born_ms in {UNSET, followed.born_ms}
        )

    def _find_problem(self, worker: str, heartbeat: WireHeartbeat) -> str:
        if not is_worker_id(worker):
            return f'worker {worker[:MAX_WORKER_ID_LENGTH]!r}'
        if heartbeat.state not in STATES:
            return f'state {heartbeat.state!r}'
        if heartbeat.state == DRAINING and heartbeat.leaves_in_ms is UNSET:
            return f'state {DRAINING!r} without drain_remaining_ms'
        if heartbeat.address != self._settings.worker_address:
            return f'address {heartbeat.address!r}'
        now_ms = get_wall_ms(self._clock)
        if not is_plausible_count(
            heartbeat.born_ms, heartbeat.sequence, now_ms
        ):
            return f'sequence {heartbeat.sequence} since {heartbeat.born_ms}'
        return ''

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


def is_worker_id(text: str) -> bool:
    """Tell whether a text can be the identifier of a worker.

    Args:
        text: The text, which may come from another program.

    Returns:
        Whether it is short and of printable ASCII characters only.
    """
    is_short = len(text) <= MAX_WORKER_ID_LENGTH
    return is_short and text.isascii() and text.isprintable()


def is_plausible_count(born_ms: int, count: int, now_ms: int) -> bool:
    """Tell whether a worker can have counted so far since its start.

    Later announcements and ends of runs are recognised by higher counts. One
    that is far too high would hide all that follow.

    Args:
        born_ms: Start of its incarnation, in ms since 1970.
        count: What it has counted: heartbeats or ends of runs.
        now_ms: Current wall time, in ms since 1970.

    Returns:
        Whether its start is not in the future, and it has counted at most one
        a millisecond; up to the error of the clocks.
    """
    return born_ms + count <= now_ms + MAX_CLOCK_ERROR_MS


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
        heartbeat.state == DRAINING,
        0 if heartbeat.leaves_in_ms is UNSET else int(heartbeat.leaves_in_ms),
    )
