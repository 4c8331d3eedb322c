"""Role ``workflow_guard``: makes one worker run what the leader wants.

The loop thread decides; one thread looks at the worker again and again, and
a few threads make the calls, since a call may wait for a second.
"""

import queue
import threading
from typing import Protocol

import structlog
from result import Err, Ok, Result

from cumintack.coordination.runs.due_calls import list_due_calls
from cumintack.coordination.runs.run_reconciliation import (
    apply_orders,
    apply_poll_result,
    create_report,
    get_lease_to_send,
    handle_call_answer,
    handle_late_start_answer,
    record_incarnation_end,
    record_unanswered_lease,
    record_worker_info,
)
from cumintack.coordination.runs.worker_run_state import (
    CallAnswer,
    PollResult,
    StartRun,
    WorkerCall,
    WorkerRunState,
)
from cumintack.daemon.auto_reset_event import AutoResetEvent
from cumintack.daemon.node import Node
from cumintack.daemon.settings import WorkflowGuardSettings
from cumintack.protocol.messages import Message
from cumintack.protocol.run_messages import RunOrders, WorkerInfo
from cumintack.state.configuration import Configuration
from cumintack.state.errors import StepError, format_error
from cumintack.transport.http_server import HttpHandler, HttpServer

SERVER_THREADS = 2
MAX_ANNOUNCEMENT_BYTES = 65536
# Seconds between two looks while there is nothing to look at.
IDLE_LOOK_S = 0.25
# Seconds between two looks while ends wait to be recorded.
UNSETTLED_LOOK_S = 0.04
# Seconds until a look is tried again after the worker gave no answer.
FAILED_LOOK_S = 0.2
# Seconds that a lease must gain for a call that extends it.
GRANT_GAIN_S = 1.0

# Counters of calls, by whether they were answered and did what was asked.
_COUNTERS = {
    (True, True): 'guard.call-done',
    (True, False): 'guard.call-refused',
    (False, False): 'guard.call-unanswered',
}

logger = structlog.get_logger()
FactsAndCall = tuple[WorkerInfo, WorkerCall]


class WorkerClient(Protocol):
    """Calls to the worker, made by an adapter."""

    def poll(
        self,
        facts: WorkerInfo,
        term: int,
        settled_number: int,
        wait_ms: int,
    ) -> Result[PollResult, StepError]:
        """Look at the worker, waiting for an end of a run."""

    def extend_lease(
        self,
        facts: WorkerInfo,
        term: int,
        settled_number: int,
        until_s: float,
    ) -> Result[PollResult, StepError]:
        """Extend the lease to a time of this process's clock, and look."""

    def perform(self, facts: WorkerInfo, call: WorkerCall) -> CallAnswer:
        """Make a call."""


class WorkflowGuardComponent:
    """A guard of a worker within a process."""

    __slots__ = (
        '_calls',
        '_client',
        '_extended_until_s',
        '_is_closing',
        '_is_lost',
        '_node',
        '_report_at_s',
        '_runs',
        '_server',
        '_settings',
        '_wake',
    )

    def __init__(
        self,
        node: Node,
        settings: WorkflowGuardSettings,
        client: WorkerClient,
    ) -> None:
        """Start the threads; ``listen`` opens the worker's address."""
        self._node = node
        self._settings = settings
        self._client = client
        now_s = node.clock.now_s()
        self._runs = WorkerRunState(now_s + settings.run_lease_ms / 1000)
        self._report_at_s = 0.0
        self._extended_until_s = 0.0
        self._is_closing = False
        self._is_lost = False
        self._wake = AutoResetEvent()
        self._calls: queue.SimpleQueue[FactsAndCall] = queue.SimpleQueue()
        self._server: HttpServer | None = None
        threading.Thread(target=self._look_always, daemon=True).start()
        for _ in range(settings.call_threads):
            threading.Thread(target=self._call_always, daemon=True).start()

    def listen(self, announcements: HttpHandler) -> None:
        """Listen for what the worker says of itself."""
        self._server = HttpServer(
            self._settings.http_address,
            announcements,
            SERVER_THREADS,
            MAX_ANNOUNCEMENT_BYTES,
        )
        self._server.start()

    def handle_announcement(self, facts: WorkerInfo) -> None:
        """Take what the worker says; called by any thread."""
        self._node.post(lambda: self._take_facts(facts))

    def handle_departure(self, lifetime: str) -> None:
        """Take note that the worker ends; called by any thread."""
        self._node.post(lambda: self._take_leave(lifetime))

    def _take_facts(self, facts: WorkerInfo) -> None:
        now_s = self._node.clock.now_s()
        if record_worker_info(self._runs, facts, now_s):
            logger.info(
                'guard: worker announced',
                worker=facts.worker_id,
                lifetime=facts.lifetime,
                is_draining=facts.is_draining,
            )
            self._extended_until_s = 0.0
            self._report(now_s)
        self._wake.set()

    def _take_leave(self, lifetime: str) -> None:
        record_incarnation_end(self._runs, lifetime)
        logger.info('guard: worker left', lifetime=lifetime)
        self._report(self._node.clock.now_s())

    def handle(self, sender: str, message: Message) -> bool:
        """Handle a message; false if it is not for this part."""
        if not isinstance(message, RunOrders):
            return False
        now_s = self._node.clock.now_s()
        former_term = self._runs.term
        if apply_orders(self._runs, message, now_s):
            if message.term != former_term:
                logger.info(
                    'guard: follows a leader',
                    leader=sender,
                    term=message.term,
                    former_term=former_term,
                )
            self._make_calls(now_s)
            self._wake.set()
        return True

    def _make_calls(self, now_s: float) -> None:
        facts = self._runs.facts
        if facts is None:
            return
        for call in list_due_calls(self._runs, now_s):
            self._calls.put((facts, call))

    def _call_always(self) -> None:
        while not self._is_closing:
            facts, call = self._calls.get()
            answer = self._client.perform(facts, call)
            self._post_answer(call, answer, facts.lifetime)

    def _post_answer(
        self,
        call: WorkerCall,
        answer: CallAnswer,
        lifetime: str,
    ) -> None:
        self._node.post(lambda: self._take_answer(call, answer, lifetime))

    def _take_answer(
        self,
        call: WorkerCall,
        answer: CallAnswer,
        lifetime: str,
    ) -> None:
        name = type(call).__name__
        took_s = answer.answered_at_s - answer.sent_at_s
        self._node.metrics.observe('guard.call', took_s)
        self._node.metrics.count(_COUNTERS[answer.is_answered, answer.is_done])
        logger.info(
            'guard: call made',
            call=name,
            task=call.key.task_id,
            run=call.key.run,
            term=call.term,
            is_answered=answer.is_answered,
            is_done=answer.is_done,
            reason=answer.reason,
        )
        facts = self._runs.facts
        if facts is None or facts.lifetime != lifetime:
            handle_late_start_answer(self._runs, call, answer)
            return
        handle_call_answer(self._runs, call, answer)
        if answer.reason:
            self._report(self._node.clock.now_s())
        if isinstance(call, StartRun):
            # A pace that is due for the run must not wait for the next look.
            self._make_calls(self._node.clock.now_s())

    def _look_always(self) -> None:
        while not self._is_closing:
            runs = self._runs
            if runs.facts is None or not runs.term or runs.is_gone:
                self._wake.wait(IDLE_LOOK_S)
                continue
            self._look_once(runs.facts)

    def _look_once(self, facts: WorkerInfo) -> None:
        runs = self._runs
        is_busy = bool(runs.wanted or runs.stops)
        wait_ms = self._settings.look_wait_ms
        if runs.look is None or not is_busy:
            wait_ms = 0
        outcome = self._client.poll(
            facts,
            runs.term,
            runs.settled_number,
            wait_ms,
        )
        self._post_look(outcome)
        if isinstance(outcome, Err):
            self._wake.wait(FAILED_LOOK_S)
            return
        self._extend(facts)
        if not is_busy:
            self._wake.wait(IDLE_LOOK_S)
        elif outcome.ok_value.ended:
            # The worker answers at once while it lists ends; they stay
            # listed until the leader has recorded them.
            self._wake.wait(UNSETTLED_LOOK_S)

    def _extend(self, facts: WorkerInfo) -> None:
        runs = self._runs
        until_s = get_lease_to_send(runs, self._extended_until_s, GRANT_GAIN_S)
        if not until_s:
            return
        sent_at_s = self._node.clock.now_s()
        outcome = self._client.extend_lease(
            facts,
            runs.term,
            runs.settled_number,
            until_s,
        )
        if isinstance(outcome, Ok):
            self._extended_until_s = until_s
        else:
            self._node.post(
                lambda: record_unanswered_lease(self._runs, sent_at_s, until_s),
            )
        self._post_look(outcome)

    def _post_look(self, outcome: Result[PollResult, StepError]) -> None:
        self._node.post(lambda: self._take_look(outcome))

    def _take_look(self, outcome: Result[PollResult, StepError]) -> None:
        now_s = self._node.clock.now_s()
        self._log_look(outcome)
        if isinstance(outcome, Err):
            self._node.metrics.count('guard.look-failed')
        elif apply_poll_result(self._runs, outcome.ok_value):
            self._report(now_s)
        self._make_calls(now_s)

    def _log_look(self, outcome: Result[PollResult, StepError]) -> None:
        """Log a worker that is lost or regained, not each look at it."""
        is_lost = isinstance(outcome, Err)
        if is_lost is self._is_lost:
            return
        self._is_lost = is_lost
        if isinstance(outcome, Err):
            detail = format_error(outcome.err_value)
            logger.info('guard: worker lost', error=detail)
        else:
            logger.info('guard: worker regained')

    def _report(self, now_s: float) -> None:
        leader = self._node.calls.leader
        report = create_report(self._runs, now_s)
        if report is None or not leader:
            return
        self._report_at_s = now_s + self._settings.report_interval_ms / 1000
        self._node.send(leader, report)

    def tick(self, now_s: float) -> None:
        """Let time pass: report, and retry calls that are due."""
        if now_s >= self._report_at_s:
            self._report_at_s = now_s + self._settings.report_interval_ms / 1000
            self._report(now_s)
            self._make_calls(now_s)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Do nothing: queues are resolved by the leader."""

    def begin_stop(self) -> None:
        """Do nothing: the worker goes on under its lease."""

    def is_idle(self) -> bool:
        """Return whether no call is on its way."""
        return self._calls.empty()

    def close(self) -> None:
        """Stop the threads and the server."""
        self._is_closing = True
        self._wake.set()
        if self._server is not None:
            self._server.stop()
