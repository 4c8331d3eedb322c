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
    choose_advice_request,
    record_advice,
)
from cumintack.coordination.runs.run_leadership_state import (
    RunLeadership,
)
from cumintack.daemon.node import Node
from cumintack.state.errors import StepError, format_error
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
        request = choose_advice_request(
            leadership.advice,
            tables,
            leadership.views,
            now_s,
            now_ms,
        )
        if request is None:
            return

        def request_advice() -> None:
            answer = adviser.ask(request)
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
