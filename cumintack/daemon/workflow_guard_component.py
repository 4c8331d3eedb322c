"""Role ``workflow_guard``: reconciles the runs of one worker with its orders.

The loop thread decides which calls are due. One thread polls the worker, and
a few threads make the calls, since a call may block for a second.
"""

import queue
import threading
import traceback
from collections.abc import Callable
from typing import Protocol

import structlog
from result import Err, Ok, Result

from cumintack.coordination.runs.due_calls import (
    is_call_due,
    list_due_calls,
    withdraw_call,
)
from cumintack.coordination.runs.health_evidence import record_health
from cumintack.coordination.runs.run_reconciliation import (
    apply_orders,
    apply_poll_result,
    create_report,
    get_lease_to_send,
    get_number_to_acknowledge,
    handle_call_answer,
    record_incarnation_end,
    record_worker_info,
)
from cumintack.coordination.runs.unanswered_calls import (
    create_worker_run_state,
    handle_late_start_answer,
    record_acknowledgement,
    record_acknowledgement_answer,
    record_unanswered_acknowledgement,
    record_unanswered_lease,
)
from cumintack.coordination.runs.worker_loss import (
    clear_refusals,
    has_cleared_suspect,
    record_refusal,
    record_worker_loss,
)
from cumintack.coordination.runs.worker_run_state import (
    INHERITED_TOKEN,
    CallAnswer,
    FencingToken,
    PollResult,
    SettledEnds,
    StartRun,
    WorkerCall,
    is_lost,
)
from cumintack.daemon.auto_reset_event import AutoResetEvent
from cumintack.daemon.guard_logging import (
    log_call,
    log_closed_runs,
    log_held_ends,
    log_hold,
    log_poll,
    log_token,
    log_unanswered_lease,
)
from cumintack.daemon.health_prober import HealthProber, HealthTarget
from cumintack.daemon.node import Node
from cumintack.daemon.settings import WorkflowGuardSettings
from cumintack.protocol.messages import Message, NodeStatusReply
from cumintack.protocol.run_messages import RunKey, RunOrders, WorkerInfo
from cumintack.state.configuration import Configuration
from cumintack.state.errors import ErrorCode, StepError, format_error
from cumintack.transport.http_client import REFUSED_STEP
from cumintack.transport.http_server import HttpHandler, HttpServer

SERVER_THREADS = 2
MAX_ANNOUNCEMENT_BYTES = 65536
# Keeps a line that lists runs within the longest line that is logged.
MAX_RUNS_PER_LINE = 40
MAX_POOLS_PER_LINE = 40
# Prefix of the steps in which a call fails without a complete answer.
HTTP_STEPS = 'http.'
# Seconds between two polls while the worker should run nothing.
IDLE_POLL_INTERVAL_S = 0.25
# Seconds between two polls while the leader has not recorded all ends of runs.
UNACKNOWLEDGED_POLL_INTERVAL_S = 0.04
# Seconds between two polls of a worker that does not answer.
FAILED_POLL_RETRY_S = 0.2
# The same while a start may be carried out by the next incarnation.
URGENT_POLL_RETRY_S = 0.02
# Smallest extension of the lease, in seconds, that is worth a call.
MIN_LEASE_GAIN_S = 1.0
# Innermost frames that are logged of an unexpected error.
TRACEBACK_LIMIT = -4

MS_PER_S = 1000

# Counters of calls by (is_answered, is_done).
_CALL_COUNTERS = {
    (True, True): 'guard.call-done',
    (True, False): 'guard.call-refused',
    (False, False): 'guard.call-unanswered',
}

logger = structlog.get_logger()
# A call with the worker and the time when it was queued.
QueuedCall = tuple[WorkerInfo, WorkerCall, float]


class WorkerClient(Protocol):
    """Client of the worker, implemented by an adapter."""

    def poll(
        self,
        worker_info: WorkerInfo,
        token: FencingToken,
        settled_number: int,
        wait_ms: int,
    ) -> Result[PollResult, StepError]:
        """Poll the worker; its answer may wait for the end of a run."""

    def extend_lease(
        self,
        worker_info: WorkerInfo,
        token: FencingToken,
        until_s: float,
    ) -> Result[PollResult, StepError]:
        """Extend the lease and poll.

        Args:
            worker_info: The worker.
            token: The fencing token.
            until_s: New end of the lease, on the clock of this process.

        Returns:
            The answer to the poll.
        """

    def perform(self, worker_info: WorkerInfo, call: WorkerCall) -> CallAnswer:
        """Make a call to start, stop or pace a run."""

    def probe_health(self, worker_info: WorkerInfo, path: str) -> bool | None:
        """Return whether the worker says it is healthy, None without answer."""


class PoolObserver(Protocol):
    """What decides by their pool which announcements count."""

    def update_pools(self, queue_version: int, pools: tuple[str, ...]) -> None:
        """Take note of the pools that the control group names."""

    def skip_pool_checks(self) -> None:
        """Take note that the control group names no pools."""


class WorkflowGuardComponent:
    """The component that runs the workflow guard of one worker."""

    __slots__ = (
        '_acknowledged',
        '_queued_calls',
        '_client',
        '_closed',
        '_held_end_count',
        '_health_prober',
        '_lease_sent_until_s',
        '_is_closing',
        '_is_report_withheld',
        '_is_worker_lost',
        '_node',
        '_next_report_at_s',
        '_pool_observer',
        '_runs',
        '_server',
        '_settings',
        '_poll_event',
        '_polled_token',
    )

    def __init__(
        self,
        node: Node,
        settings: WorkflowGuardSettings,
        client: WorkerClient,
    ) -> None:
        """Start the threads; ``listen`` opens the HTTP address."""
        self._node = node
        self._settings = settings
        self._client = client
        self._runs = create_worker_run_state(
            node.clock.now_s(),
            settings.run_lease_ms / MS_PER_S,
            settings.max_lease_ms / MS_PER_S,
            node.incarnation,
        )
        self._next_report_at_s = 0.0
        self._lease_sent_until_s = 0.0
        self._acknowledged = SettledEnds()
        self._closed: frozenset[RunKey] = frozenset()
        self._held_end_count = 0
        self._is_closing = False
        self._is_worker_lost = False
        self._is_report_withheld = False
        self._poll_event = AutoResetEvent()
        self._polled_token = INHERITED_TOKEN
        self._queued_calls: queue.SimpleQueue[QueuedCall] = queue.SimpleQueue()
        self._server: HttpServer | None = None
        self._pool_observer: PoolObserver | None = None
        node.queue_version = 0
        threading.Thread(target=self._poll_loop, daemon=True).start()
        for _ in range(settings.call_threads):
            threading.Thread(target=self._call_loop, daemon=True).start()
        self._health_prober = HealthProber(
            self._find_health_target, client.probe_health, self._post_health
        )

    def listen(self, announcement_handler: HttpHandler) -> None:
        """Listen for announcements of the worker."""
        self._server = HttpServer(
            self._settings.http_address,
            announcement_handler,
            SERVER_THREADS,
            MAX_ANNOUNCEMENT_BYTES,
        )
        self._server.start()

    def observe_pools(self, observer: PoolObserver) -> None:
        """Report the pools that the control group names."""
        self._pool_observer = observer

    def handle_announcement(self, worker_info: WorkerInfo) -> None:
        """Handle an announcement; may be called by any thread."""
        self._node.post(lambda: self._handle_worker_info(worker_info))

    def handle_departure(self, lifetime: str) -> None:
        """Handle the end of an incarnation; may be called by any thread."""
        self._node.post(lambda: self._record_departure(lifetime))

    def _handle_worker_info(self, worker_info: WorkerInfo) -> None:
        now_s = self._node.clock.now_s()
        if record_worker_info(self._runs, worker_info, now_s):
            logger.info(
                'guard: worker announced',
                worker=worker_info.worker_id,
                lifetime=worker_info.lifetime,
                pool=worker_info.pool,
                is_draining=worker_info.is_draining,
                cores_milli=worker_info.holds.cores_milli,
                memory_mb=worker_info.holds.memory_mb,
            )
            self._lease_sent_until_s = 0.0
            self._send_report(now_s)
        self._poll_event.signal()

    def _record_departure(self, lifetime: str) -> None:
        record_incarnation_end(self._runs, lifetime)
        logger.info('guard: worker left', lifetime=lifetime)
        self._send_report(self._node.clock.now_s())

    def handle(self, sender: str, message: Message) -> bool:
        """Handle a message; return false if it is not for this component."""
        match message:
            case RunOrders():
                self._handle_orders(sender, message)
                return True
            case NodeStatusReply():
                self._handle_status_reply(message)
        return False

    def _handle_status_reply(self, message: NodeStatusReply) -> None:
        observer = self._pool_observer
        if observer is None:
            return
        version = message.queue_version
        if version is None:
            if message.is_leader:
                observer.skip_pool_checks()
        elif message.pools:
            observer.update_pools(version, message.pools)
            self._record_queue_version(version, message.pools)

    def _record_queue_version(
        self, version: int, pools: tuple[str, ...]
    ) -> None:
        # A replica that lags behind names the pools of an earlier version.
        if version <= (self._node.queue_version or 0):
            return
        self._node.queue_version = version
        logger.info(
            'guard: pools known',
            version=version,
            pools=pools[:MAX_POOLS_PER_LINE],
            count=len(pools),
        )

    def _handle_orders(self, sender: str, message: RunOrders) -> None:
        now_s = self._node.clock.now_s()
        previous_term = self._runs.term
        previous_token = self._runs.token
        if apply_orders(self._runs, message, now_s):
            if message.term != previous_term:
                logger.info(
                    'guard: follows a leader',
                    leader=sender,
                    term=message.term,
                    former_term=previous_term,
                )
            if self._runs.token != previous_token:
                log_token(self._runs)
            self._queue_due_calls(now_s)
            self._poll_event.signal()

    def _queue_due_calls(self, now_s: float) -> None:
        worker_info = self._runs.facts
        if worker_info is None:
            return
        for call in list_due_calls(self._runs, now_s):
            self._queued_calls.put((worker_info, call, now_s))

    def _call_loop(self) -> None:
        while not self._is_closing:
            worker_info, call, queued_at_s = self._queued_calls.get()
            if is_call_due(self._runs, worker_info, call):
                answer = self._perform(worker_info, call)
                log_call(worker_info, call, answer, queued_at_s)
                self._post_answer(call, answer, worker_info.lifetime)
            else:
                self._post_withdrawal(worker_info, call)

    def _post_withdrawal(
        self, worker_info: WorkerInfo, call: WorkerCall
    ) -> None:
        self._node.post(lambda: self._withdraw_call(worker_info, call))

    def _withdraw_call(self, worker_info: WorkerInfo, call: WorkerCall) -> None:
        self._node.metrics.count('guard.call-withdrawn')
        logger.info(
            'guard: call withdrawn',
            call=type(call).__name__,
            task=call.key.task_id,
            run=call.key.run,
            term=call.token.term,
        )
        withdraw_call(self._runs, worker_info, call)
        self._queue_due_calls(self._node.clock.now_s())

    def _perform(self, worker_info: WorkerInfo, call: WorkerCall) -> CallAnswer:
        """Make a call; after an unexpected error its outcome is unknown.

        A thread that ended instead would leave the call in flight for good.
        """
        sent_at_s = self._node.clock.now_s()
        try:
            return self._client.perform(worker_info, call)
        except Exception:  # noqa: BLE001
            logger.error(
                'guard: call failed',
                call=type(call).__name__,
                error=traceback.format_exc(limit=TRACEBACK_LIMIT),
            )
            now_s = self._node.clock.now_s()
            return CallAnswer(False, False, '', sent_at_s, now_s)

    def _post_answer(
        self,
        call: WorkerCall,
        answer: CallAnswer,
        lifetime: str,
    ) -> None:
        self._node.post(
            lambda: self._handle_call_answer(call, answer, lifetime)
        )

    def _handle_call_answer(
        self,
        call: WorkerCall,
        answer: CallAnswer,
        lifetime: str,
    ) -> None:
        took_s = answer.answered_at_s - answer.sent_at_s
        self._node.metrics.observe('guard.call', took_s)
        self._node.metrics.count(
            _CALL_COUNTERS[answer.is_answered, answer.is_done]
        )
        worker_info = self._runs.facts
        if worker_info is None or worker_info.lifetime != lifetime:
            handle_late_start_answer(self._runs, call, answer)
            return
        handle_call_answer(self._runs, call, answer)
        if answer.reason:
            self._send_report(self._node.clock.now_s())
        if isinstance(call, StartRun):
            # A pace that is due for the run must not wait for the next poll.
            self._queue_due_calls(self._node.clock.now_s())

    def _poll_loop(self) -> None:
        while not self._is_closing:
            runs = self._runs
            if runs.facts is None or not runs.term or runs.is_gone:
                self._poll_event.wait_and_reset(IDLE_POLL_INTERVAL_S)
                continue
            self._poll_once(runs.facts)

    def _poll_once(self, worker_info: WorkerInfo) -> None:
        runs = self._runs
        is_busy = bool(runs.wanted or runs.stops)
        wait_ms = self._settings.look_wait_ms
        token = runs.token
        is_new_token = token != self._polled_token
        self._polled_token = token
        if runs.latest_poll is None or not is_busy or is_new_token:
            wait_ms = 0
        settled_number = get_number_to_acknowledge(runs, worker_info)
        settled = SettledEnds(worker_info.lifetime, settled_number)
        if settled_number and settled != self._acknowledged:
            outcome = self._acknowledge_ends(worker_info, token, settled)
        else:
            outcome = self._poll(worker_info, token, 0, wait_ms)
        self._post_poll_outcome(worker_info, outcome)
        if isinstance(outcome, Err):
            # The next incarnation refuses a late start once it is polled.
            is_any_late = bool(runs.unanswered_starts)
            self._poll_event.wait_and_reset(
                URGENT_POLL_RETRY_S if is_any_late else FAILED_POLL_RETRY_S
            )
            return
        self._extend_lease(worker_info)
        if not is_busy:
            self._poll_event.wait_and_reset(IDLE_POLL_INTERVAL_S)
        elif outcome.ok_value.ended:
            # The worker answers polls at once while it lists ends of runs,
            # and lists them until the leader has recorded them.
            self._poll_event.wait_and_reset(UNACKNOWLEDGED_POLL_INTERVAL_S)

    def _poll(
        self,
        worker_info: WorkerInfo,
        token: FencingToken,
        settled_number: int,
        wait_ms: int,
    ) -> Result[PollResult, StepError]:
        return self._get_outcome(
            worker_info,
            lambda: self._client.poll(
                worker_info, token, settled_number, wait_ms
            ),
        )

    def _get_outcome(
        self,
        worker_info: WorkerInfo,
        poll: Callable[[], Result[PollResult, StepError]],
    ) -> Result[PollResult, StepError]:
        """Poll; an unexpected error counts as no answer and is logged."""
        try:
            return poll()
        except Exception as error:  # noqa: BLE001
            logger.error(
                'guard: poll failed',
                error=traceback.format_exc(limit=TRACEBACK_LIMIT),
            )
            return Err(
                StepError(
                    ErrorCode.invalid,
                    'guard.poll',
                    worker_info.worker_id,
                    type(error).__name__,
                ),
            )

    def _acknowledge_ends(
        self,
        worker_info: WorkerInfo,
        token: FencingToken,
        settled: SettledEnds,
    ) -> Result[PollResult, StepError]:
        """Acknowledge ends by a poll that does not wait.

        A poll that is unanswered when the worker crashes may be carried out
        by its next incarnation. Polls that wait therefore acknowledge nothing,
        so that an acknowledgement is rarely in flight.
        """
        node = self._node
        sent_at_s = node.clock.now_s()
        node.post(
            lambda: record_acknowledgement(
                self._runs, worker_info, token, sent_at_s
            )
        )
        outcome = self._poll(worker_info, token, settled.number, 0)
        if isinstance(outcome, Ok):
            self._acknowledged = settled
            node.post(
                lambda: record_acknowledgement_answer(self._runs, sent_at_s)
            )
        else:
            now_s = node.clock.now_s()
            node.post(
                lambda: record_unanswered_acknowledgement(
                    self._runs, sent_at_s, now_s
                )
            )
        return outcome

    def _extend_lease(self, worker_info: WorkerInfo) -> None:
        runs = self._runs
        until_s = get_lease_to_send(
            runs, self._lease_sent_until_s, MIN_LEASE_GAIN_S
        )
        if not until_s:
            return
        lifetime = worker_info.lifetime
        token = runs.token
        sent_at_s = self._node.clock.now_s()
        outcome = self._get_outcome(
            worker_info,
            lambda: self._client.extend_lease(worker_info, token, until_s),
        )
        if isinstance(outcome, Ok) and outcome.ok_value.lifetime == lifetime:
            self._lease_sent_until_s = until_s
        else:
            now_s = self._node.clock.now_s()
            log_unanswered_lease(worker_info, sent_at_s, until_s)
            self._node.post(
                lambda: record_unanswered_lease(
                    self._runs, until_s, now_s, token
                ),
            )
        self._post_poll_outcome(worker_info, outcome)

    def _post_poll_outcome(
        self, worker_info: WorkerInfo, outcome: Result[PollResult, StepError]
    ) -> None:
        at_s = self._node.clock.now_s()
        if isinstance(outcome, Err):
            self._post_poll_failure(worker_info, outcome.err_value, at_s)
        self._node.post(lambda: self._handle_poll_outcome(outcome))

    def _post_poll_failure(
        self, worker_info: WorkerInfo, error: StepError, at_s: float
    ) -> None:
        lifetime = worker_info.lifetime
        if error.step == REFUSED_STEP:
            self._node.post(lambda: record_refusal(self._runs, lifetime, at_s))
        else:
            self._node.post(lambda: clear_refusals(self._runs))

    def _handle_poll_outcome(
        self, outcome: Result[PollResult, StepError]
    ) -> None:
        now_s = self._node.clock.now_s()
        self._log_worker_reachability(outcome)
        if isinstance(outcome, Err):
            self._node.metrics.count('guard.look-failed')
            self._record_worker_loss(outcome.err_value, now_s)
            self._queue_due_calls(now_s)
            return
        if not outcome.ok_value.lists_all_ends:
            self._node.metrics.count('guard.list-cut')
        log_poll(self._runs, outcome.ok_value)
        if apply_poll_result(self._runs, outcome.ok_value):
            self._send_report(now_s)
        self._queue_due_calls(now_s)

    def _record_worker_loss(self, error: StepError, now_s: float) -> None:
        if not error.step.startswith(HTTP_STEPS):
            # The worker answered, though not with its runs.
            return
        is_disconnected = error.code is not ErrorCode.timeout
        if record_worker_loss(
            self._runs, now_s, is_disconnected=is_disconnected
        ):
            loss = self._runs.loss
            starts = loss.recent_starts if loss else ()
            logger.info(
                'guard: worker lost unplanned',
                lifetime=loss.lifetime if loss else '',
                is_disconnected=is_disconnected,
                just_started=[
                    f'{key.task_id}/{key.run}'
                    for key in starts[:MAX_RUNS_PER_LINE]
                ],
                count=len(starts),
            )
            log_hold(self._runs, now_s)
            self._send_report(now_s)

    def _log_worker_reachability(
        self, outcome: Result[PollResult, StepError]
    ) -> None:
        """Log when the worker becomes unreachable or reachable again."""
        is_lost = isinstance(outcome, Err)
        if is_lost is self._is_worker_lost:
            return
        self._is_worker_lost = is_lost
        if isinstance(outcome, Err):
            detail = format_error(outcome.err_value)
            logger.info('guard: worker lost', error=detail)
        else:
            logger.info('guard: worker regained')

    def _find_health_target(self) -> HealthTarget | None:
        runs = self._runs
        worker_info = runs.facts
        if worker_info is None or not runs.health_path:
            return None
        # A worker that is lost or gone is judged by its missing answers.
        if runs.is_gone or is_lost(runs):
            return None
        return HealthTarget(worker_info, runs.health_path)

    def _post_health(self, worker_info: WorkerInfo, is_healthy: bool) -> None:
        self._node.post(lambda: self._record_health(worker_info, is_healthy))

    def _record_health(self, worker_info: WorkerInfo, is_healthy: bool) -> None:
        if not is_healthy:
            self._node.metrics.count('guard.health-bad')
        lifetime = worker_info.lifetime
        if record_health(self._runs, lifetime, is_healthy=is_healthy):
            logger.info(
                'guard: worker health', lifetime=lifetime, is_healthy=is_healthy
            )
            self._send_report(self._node.clock.now_s())

    def _send_report(self, now_s: float) -> None:
        leader = self._node.calls.leader
        report = create_report(self._runs, now_s)
        self._log_withheld_report(is_withheld=report is None)
        if report is None or not leader:
            return
        self._closed = log_closed_runs(report, self._closed)
        self._held_end_count = log_held_ends(self._runs, self._held_end_count)
        self._next_report_at_s = (
            now_s + self._settings.report_interval_ms / MS_PER_S
        )
        self._node.send(leader, report)

    def _log_withheld_report(self, *, is_withheld: bool) -> None:
        """Log when reports become withheld or are sent again."""
        worker_info = self._runs.facts
        if worker_info is None or is_withheld is self._is_report_withheld:
            return
        self._is_report_withheld = is_withheld
        logger.info(
            'guard: reports withheld'
            if is_withheld
            else 'guard: reports sent again',
            lifetime=worker_info.lifetime,
            unanswered_starts=len(self._runs.unanswered_starts),
        )

    def tick(self, now_s: float) -> None:
        """Send the report and queue retries if they are due."""
        interval_s = self._settings.report_interval_ms / MS_PER_S
        reported_at_s = self._next_report_at_s - interval_s
        if has_cleared_suspect(self._runs, reported_at_s, now_s):
            self._send_report(now_s)
        if now_s >= self._next_report_at_s:
            self._next_report_at_s = now_s + interval_s
            self._send_report(now_s)
            self._queue_due_calls(now_s)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Do nothing: the leader resolves queues."""

    def begin_stop(self) -> None:
        """Do nothing: the runs of the worker go on under its lease."""

    def is_idle(self) -> bool:
        """Return whether no call is queued."""
        return self._queued_calls.empty()

    def close(self) -> None:
        """Stop the threads and the server."""
        self._is_closing = True
        self._poll_event.signal()
        self._health_prober.close()
        if self._server is not None:
            self._server.stop()
