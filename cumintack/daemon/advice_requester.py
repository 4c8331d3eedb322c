"""Advice requests of the leader to the external adviser.

Each request runs in a thread of its own, because the adviser may be slow and
the loop must not block.
"""

import threading
from typing import Protocol

import structlog
from result import Err, Ok, Result

from cumintack.coordination.runs.admission_advice import (
    Advice,
    AdviceRequest,
    needs_advice,
    record_advice,
)
from cumintack.coordination.runs.advice_requests import choose_advice_request
from cumintack.coordination.runs.run_leadership_state import (
    RunLeadership,
)
from cumintack.coordination.runs.scheduling_passes import (
    create_pass,
    get_step_order,
)
from cumintack.coordination.runs.waiting.step_ranking import (
    rank_waiting_steps,
)
from cumintack.daemon.node import Node
from cumintack.state.errors import ErrorCode, StepError, format_error
from cumintack.state.workflows import WorkflowTables

logger = structlog.get_logger()


class Adviser(Protocol):
    """Client of the external adviser, implemented by an adapter."""

    def ask(self, request: AdviceRequest) -> Result[Advice, StepError]:
        """Send an advice request and wait for the answer."""


class AdviceRequester:
    """Sends advice requests while its process is the leader."""

    __slots__ = ('_adviser', '_node')

    def __init__(self, node: Node) -> None:
        """Start without an adviser; no requests are sent."""
        self._node = node
        self._adviser: Adviser | None = None

    def use_adviser(self, adviser: Adviser) -> None:
        """Set the adviser that receives the requests."""
        self._adviser = adviser

    def tick(
        self,
        leadership: RunLeadership,
        tables: WorkflowTables,
        now_s: float,
        now_ms: float,
    ) -> None:
        """Send the next advice request if one is due."""
        adviser = self._adviser
        if adviser is None:
            return
        state = leadership.advice
        if state.is_request_open or now_s < state.retry_at_s:
            return
        if not any(needs_advice(tables, key) for key in tables.index.waiting):
            return
        request = choose_advice_request(
            create_pass(leadership, tables, now_s),
            rank_waiting_steps(
                leadership.cached_ranks,
                tables,
                now_ms,
                get_step_order(leadership),
            ),
        )
        if request is None:
            return

        def request_advice() -> None:
            answer = _ask(adviser, request)
            self._node.post(
                lambda: self._handle_answer(leadership, request, answer)
            )

        threading.Thread(target=request_advice, daemon=True).start()

    def _handle_answer(
        self,
        leadership: RunLeadership,
        request: AdviceRequest,
        answer: Result[Advice, StepError],
    ) -> None:
        advice = answer.ok_value if isinstance(answer, Ok) else None
        error = answer.err_value if isinstance(answer, Err) else None
        self._node.metrics.count('advice.asked')
        logger.info(
            'control: advice taken',
            workflow=request.step.workflow_id,
            step=request.step.step,
            asked=len(request.lifetimes),
            allowed=len(advice.tickets) if advice else 0,
            error=format_error(error) if error else '',
        )
        record_advice(
            leadership.advice, request, advice, self._node.clock.now_s()
        )
        leadership.needs_pass = True


def _ask(adviser: Adviser, request: AdviceRequest) -> Result[Advice, StepError]:
    """Ask the adviser; an unexpected error counts as no answer.

    A thread that ended instead would leave the request open for good.
    """
    try:
        return adviser.ask(request)
    except Exception as error:  # noqa: BLE001
        return Err(
            StepError(
                ErrorCode.invalid, 'advice.ask', detail=type(error).__name__
            )
        )
