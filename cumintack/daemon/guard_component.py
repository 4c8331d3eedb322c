"""Role ``guard``: admission control of one upstream, tasks of its worker."""

import concurrent.futures
from collections.abc import Callable
from http import HTTPStatus

import msgspec
import structlog
from result import Err, Ok

from cumintack.coordination import admission
from cumintack.coordination.effects import (
    Effect,
    ForwardRequest,
    RecordEvent,
    ResetConnections,
    Send,
)
from cumintack.coordination.slowdown import (
    SlowdownMeter,
    compute_slowdown,
    record_service_time,
)
from cumintack.coordination.worker_tasks import (
    WorkerTasks,
    apply_orders,
    create_reports,
    list_held_attempts,
    record_refused_start,
    record_start,
    record_worker_report,
)
from cumintack.daemon.node import Node
from cumintack.daemon.settings import GuardSettings, compute_service_reserve
from cumintack.protocol.messages import (
    EntryStatus,
    Goodbye,
    GuardStatus,
    Message,
    Poke,
    WorkerOrders,
    WorkerStatus,
)
from cumintack.protocol.worker_actions import (
    RenewAttempts,
    StartAttempt,
    WorkerAction,
)
from cumintack.state.configuration import Configuration
from cumintack.state.errors import ErrorCode, StepError, format_error
from cumintack.state.requests import (
    Answer,
    Dispatch,
    OutcomeKind,
    Withdrawal,
)
from cumintack.state.workers import WorkerSpec
from cumintack.transport.agent_client import AgentClient, WorkerReport
from cumintack.transport.http_server import (
    HttpRequest,
    HttpResponse,
    HttpServer,
)
from cumintack.transport.upstream_client import (
    ANNOUNCE_PATH,
    LEAVE_PATH,
    Announcement,
    UpstreamClient,
    create_error_response,
    read_announcement,
)

STATUS_INTERVAL_S = 0.25
ANNOUNCE_THREADS = 4
MAX_ANNOUNCEMENT_BYTES = 4096
TICK_INTERVAL_S = 0.005
# Heartbeats are sent with a report of the worker. The margin keeps a report
# that comes slightly early from putting its heartbeat off to the next one.
HEARTBEAT_MARGIN_S = 0.1

logger = structlog.get_logger()


class GuardComponent:
    """The component that runs the guard of one worker in a process."""

    __slots__ = (
        '_admission',
        '_announcement_expires_at_s',
        '_upstream',
        '_next_heartbeat_at_s',
        '_slowdown_meter',
        '_node',
        '_platform',
        '_platform_executor',
        '_is_fetching_report',
        '_next_report_at_s',
        '_server',
        '_settings',
        '_next_status_at_s',
        '_tasks',
        '_next_tick_at_s',
        '_worker_report',
    )

    def __init__(self, node: Node, settings: GuardSettings) -> None:
        """Listen for the announcements of the upstream."""
        self._node = node
        self._settings = settings
        self._admission = admission.Admission(
            admission.AdmissionSettings(
                queue_per_slot=settings.queue_per_slot,
                overdue_grace_s=settings.patience_ms / 1000,
            ),
            settings.worker,
            node.incarnation,
        )
        self._upstream: UpstreamClient | None = None
        self._slowdown_meter = SlowdownMeter()
        self._tasks = WorkerTasks(settings.worker)
        self._announcement_expires_at_s = 0.0
        self._next_status_at_s = 0.0
        self._next_tick_at_s = 0.0
        self._next_report_at_s = 0.0
        self._next_heartbeat_at_s = 0.0
        self._is_fetching_report = False
        self._worker_report: WorkerReport | None = None
        self._platform: AgentClient | None = None
        if settings.platform_address:
            self._platform = AgentClient(
                settings.platform_address,
                node.clock,
            )
        self._platform_executor = concurrent.futures.ThreadPoolExecutor(1)
        self._server = HttpServer(
            settings.http_address,
            self._serve,
            ANNOUNCE_THREADS,
            MAX_ANNOUNCEMENT_BYTES,
        )
        self._server.start()

    def _serve(self, request: HttpRequest) -> HttpResponse:
        if request.method != 'POST':
            return create_error_response(
                HTTPStatus.METHOD_NOT_ALLOWED, 'method not allowed, use POST'
            )
        if request.path == ANNOUNCE_PATH:
            parsed = read_announcement(request, self._settings.max_slots)
            if isinstance(parsed, str):
                return create_error_response(HTTPStatus.BAD_REQUEST, parsed)
            announcement = parsed
            self._node.post(lambda: self._handle_announcement(announcement))
            return HttpResponse(HTTPStatus.OK, b'{}')
        if request.path == LEAVE_PATH:
            self._node.post(self._begin_leaving)
            return HttpResponse(HTTPStatus.OK, b'{}')
        return create_error_response(HTTPStatus.NOT_FOUND, 'no such path')

    def _handle_announcement(self, announcement: Announcement) -> None:
        now_s = self._node.clock.now_s()
        validity_s = self._settings.announcement_ms / 1000
        state = self._admission
        is_same = (
            self._upstream is not None
            and self._upstream.announcement.address == announcement.address
            and state.slots == announcement.slots
            and state.service == announcement.service
        )
        self._announcement_expires_at_s = now_s + validity_s
        if announcement.busy is not None:
            self._perform_effects(
                admission.reconcile_busy(state, announcement.busy, now_s)
            )
        if is_same and not state.is_leaving:
            return
        if not is_same:
            self._connect(announcement)
        admission.register_upstream(
            state, announcement.service, announcement.slots
        )
        self._node.record(
            RecordEvent('guard.announced', state.worker, announcement.service),
        )
        logger.info('guard: upstream announced', service=announcement.service)
        self._send_status(now_s)

    def _connect(self, announcement: Announcement) -> None:
        if self._upstream is not None:
            self._upstream.close()
        self._upstream = UpstreamClient(
            announcement,
            self._settings.worker,
            self._settings.max_connections,
            self._settings.max_answer_bytes,
            self._node.clock,
        )

    def _begin_leaving(self) -> None:
        now_s = self._node.clock.now_s()
        if self._admission.is_leaving:
            return
        self._node.record(RecordEvent('guard.leaving', self._admission.worker))
        logger.info('guard: upstream is leaving')
        self._perform_effects(admission.leave(self._admission, now_s))
        self._send_status(now_s)

    def handle(self, sender: str, message: Message) -> bool:
        """Handle a message; return false if it is not for this component."""
        now_s = self._node.clock.now_s()
        state = self._admission
        match message:
            case Dispatch():
                if not self._node.is_configuration_current:
                    self._refuse_dispatch(sender, message)
                else:
                    self._perform_effects(
                        admission.handle_dispatch(
                            state,
                            sender,
                            message,
                            now_s,
                        ),
                    )
            case Withdrawal():
                self._perform_effects(
                    admission.handle_withdrawal(state, sender, message, now_s),
                )
            case EntryStatus():
                self._node.pull_if_newer(sender, message.revision)
            case WorkerOrders():
                actions = apply_orders(self._tasks, message, now_s)
                if actions:
                    self._platform_executor.submit(self._perform, actions)
            case Poke():
                self._next_report_at_s = 0.0
                self._next_heartbeat_at_s = 0.0
            case Goodbye():
                return False
            case _:
                return False
        return True

    def _refuse_dispatch(self, sender: str, message: Dispatch) -> None:
        """Answer a dispatch as not run, by withdrawing it before it starts."""
        withdrawal = Withdrawal(
            message.request.request_id,
            message.attempt,
            self._node.incarnation,
        )
        self._perform_effects(
            admission.handle_withdrawal(
                self._admission,
                sender,
                withdrawal,
                self._node.clock.now_s(),
            ),
        )

    def handle_peer_reconnected(self, _peer: str) -> None:
        """Send the status at once over the new link."""
        self._next_status_at_s = 0.0

    def _perform_effects(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Send():
                    self._node.send(effect.peer, effect.message)
                case ForwardRequest():
                    self._forward_request(effect)
                case ResetConnections():
                    logger.warning('guard: upstream connections reset')
                    if self._upstream is not None:
                        self._connect(self._upstream.announcement)
                case RecordEvent():
                    self._node.record(effect)

    def _forward_request(self, effect: ForwardRequest) -> None:
        if self._upstream is None:
            self._handle_upstream_answer(
                Answer(
                    effect.request.request_id,
                    effect.attempt,
                    self._settings.worker,
                    OutcomeKind.not_run,
                    'no upstream has announced itself',
                ),
            )
            return
        self._upstream.send(
            effect.request,
            effect.attempt,
            effect.timeout_s,
            lambda answer: self._node.post(
                lambda: self._handle_upstream_answer(answer)
            ),
        )

    def _handle_upstream_answer(self, answer: Answer) -> None:
        now_s = self._node.clock.now_s()
        if answer.kind is OutcomeKind.completed:
            record_service_time(self._slowdown_meter, answer.served_s, now_s)
            self._node.metrics.time('guard.served', answer.served_s)
        self._perform_effects(
            admission.handle_upstream_answer(self._admission, answer, now_s)
        )

    def tick(self, now_s: float) -> None:
        """Check queues, announcement, status and worker report."""
        if now_s < self._next_tick_at_s:
            return
        self._next_tick_at_s = now_s + TICK_INTERVAL_S
        self._perform_effects(admission.handle_tick(self._admission, now_s))
        state = self._admission
        is_expired = now_s >= self._announcement_expires_at_s
        if state.slots and not state.is_leaving and is_expired:
            logger.warning('guard: upstream announcement expired')
            self._begin_leaving()
        if now_s >= self._next_status_at_s:
            self._send_status(now_s)
        self._fetch_report_if_due(now_s)

    def _send_status(self, now_s: float) -> None:
        self._next_status_at_s = now_s + STATUS_INTERVAL_S
        state = self._admission
        if not state.service:
            return
        status = GuardStatus(
            state.worker,
            state.incarnation,
            self._node.settings.data_centre,
            state.service,
            state.slots,
            admission.get_queue_limit(state),
            state.busy,
            state.queued,
            state.is_leaving,
            self._node.configuration.revision,
        )
        for entry in self._node.settings.entries:
            self._node.send(entry.name, status)
        metrics = self._node.metrics
        metrics.gauge('guard.busy', state.busy)
        metrics.gauge('guard.queued', state.queued)

    def _fetch_report_if_due(self, now_s: float) -> None:
        if self._platform is None or self._is_fetching_report:
            return
        if now_s < self._next_report_at_s:
            return
        interval_s = self._settings.report_interval_ms / 1000
        self._next_report_at_s = now_s + interval_s
        self._is_fetching_report = True
        self._platform_executor.submit(self._fetch_report, self._platform)

    def _fetch_report(self, platform: AgentClient) -> None:
        report = platform.fetch_report()
        self._node.post(lambda: self._handle_worker_report(report))

    def _handle_worker_report(
        self,
        report: Ok[WorkerReport] | Err[StepError],
    ) -> None:
        self._is_fetching_report = False
        now_s = self._node.clock.now_s()
        match report:
            case Ok(worker_report):
                self._worker_report = worker_report
                record_worker_report(self._tasks, worker_report.attempts)
                self._send_worker_status(worker_report, now_s)
            case Err(error):
                self._node.metrics.count('guard.platform_failed')
                logger.warning(
                    'guard: worker not reached',
                    error=format_error(error),
                )

    def _send_worker_status(self, report: WorkerReport, now_s: float) -> None:
        leader = self._node.calls.leader
        reports = create_reports(self._tasks)
        is_heartbeat_due = now_s >= self._next_heartbeat_at_s
        if not leader or not (reports or is_heartbeat_due):
            return
        heartbeat_s = self._settings.heartbeat_interval_ms / 1000
        self._next_heartbeat_at_s = now_s + heartbeat_s - HEARTBEAT_MARGIN_S
        self._tasks.sent_at_s = now_s
        self._tasks.is_answered = False
        self._node.send(
            leader,
            WorkerStatus(
                self._describe_worker(report.worker),
                self._node.incarnation,
                now_s,
                reports,
                list_held_attempts(self._tasks),
                report.used,
                compute_slowdown(self._slowdown_meter, now_s),
                is_reachable=True,
            ),
        )

    def _describe_worker(self, spec: WorkerSpec) -> WorkerSpec:
        state = self._admission
        slots = 0 if state.is_leaving else state.slots
        return msgspec.structs.replace(
            spec,
            name=self._settings.worker,
            data_centre=self._node.settings.data_centre,
            service_reserve=compute_service_reserve(slots),
        )

    def _perform(self, actions: list[WorkerAction]) -> None:
        platform = self._platform
        if platform is None:
            return
        for action in actions:
            error = platform.perform(action)
            if error is not None:
                self._record_fenced_start(action, error)
                logger.warning(
                    'guard: worker refused',
                    error=format_error(error),
                )
            elif isinstance(action, StartAttempt):
                self._node.post(self._create_start_recorder(action))
        if not all(
            isinstance(performed, RenewAttempts) for performed in actions
        ):
            self._node.post(self._expedite_report)

    def _record_fenced_start(
        self, action: WorkerAction, error: StepError
    ) -> None:
        is_fenced = error.code is ErrorCode.conflict
        if is_fenced and isinstance(action, StartAttempt):
            key = (action.order.task_id, action.order.attempt)
            self._node.post(lambda: record_refused_start(self._tasks, key))

    def _create_start_recorder(
        self, action: StartAttempt
    ) -> Callable[[], None]:
        key = (action.order.task_id, action.order.attempt)
        return lambda: record_start(self._tasks, key)

    def _expedite_report(self) -> None:
        self._next_report_at_s = min(
            self._next_report_at_s,
            self._node.clock.now_s() + STATUS_INTERVAL_S,
        )

    def apply_configuration(self, configuration: Configuration) -> None:
        """Report the revision; a guard uses no configuration keys yet."""
        self._node.metrics.gauge('config.revision', configuration.revision)

    def begin_stop(self) -> None:
        """Reject new work; running requests are finished."""
        self._begin_leaving()

    def is_idle(self) -> bool:
        """Return whether no request is queued or running."""
        return admission.is_idle(self._admission)

    def close(self) -> None:
        """Close the server, the executor and all connections."""
        self._server.stop()
        self._platform_executor.shutdown(wait=True, cancel_futures=True)
        if self._platform is not None:
            self._platform.close()
        if self._upstream is not None:
            self._upstream.close()
