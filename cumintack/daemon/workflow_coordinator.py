"""Workflows at a control replica: the leader's decisions, and queries."""

import msgspec
import structlog

from cumintack.coordination import replication
from cumintack.coordination.replication import Replica
from cumintack.coordination.runs.run_leadership import (
    RunEffect,
    handle_applied_run_operation,
    handle_report,
    handle_run_proposal_failure,
    handle_run_tick,
    list_undecided_runs,
)
from cumintack.coordination.runs.run_leadership_state import (
    RunLeadership,
    RunSettings,
)
from cumintack.daemon.advice_requester import AdviceRequester
from cumintack.daemon.node import Node
from cumintack.daemon.workflow_logging import (
    count_operation,
    log_expired_leases,
    log_learned_run_times,
    log_operation,
    log_reservations,
    log_reported_losses,
    log_stop_requests,
    log_undecided_runs,
)
from cumintack.protocol.run_messages import (
    EvacuationQuery,
    QueueConfigurationQuery,
    RunReport,
    WorkflowQuery,
    WorkflowReply,
)
from cumintack.state.errors import ErrorCode, StepError
from cumintack.state.queues import find_queue
from cumintack.state.workflows import (
    NO_EVACUATION,
    RecordRuns,
    StepKey,
    WorkflowRecord,
    WorkflowStatus,
    WorkflowTables,
    count_pending_workflows,
    list_pools,
)
from cumintack.transport.clock import get_wall_ms

QUEUED = 'queued'
RUNNING = 'running'
# Far above the identifiers of ``PendingQueries``, whose reads are confirmed by
# the same replica.
FIRST_READ_ID = 0x10000000000

logger = structlog.get_logger()
ReadQuery = WorkflowQuery | QueueConfigurationQuery | EvacuationQuery


class PendingReadQuery(msgspec.Struct, frozen=True):
    """A query that waits for its read to be confirmed."""

    peer: str
    message: ReadQuery


class WorkflowCoordinator:
    """Runs the workflows of a control component and answers queries."""

    __slots__ = (
        '_leadership',
        '_logged_reservations',
        '_node',
        '_read_id',
        '_settings',
        '_pending',
        '_pools',
        '_pools_version',
        'advice_requester',
    )

    def __init__(self, node: Node, settings: RunSettings) -> None:
        """Start as a follower."""
        self._node = node
        self._settings = settings
        self._leadership: RunLeadership | None = None
        self._read_id = FIRST_READ_ID
        self._pending: dict[int, PendingReadQuery] = {}
        self._pools: tuple[str, ...] = ()
        self._pools_version = 0
        self._logged_reservations: set[StepKey] = set()
        self.advice_requester = AdviceRequester(node)

    def begin_leading(self, term: int, now_s: float) -> None:
        """Start scheduling as the leader of a term."""
        self._leadership = RunLeadership(self._settings, term, now_s)

    def end_leading(self) -> None:
        """Discard the state of the leader; reports of guards rebuild it."""
        self._leadership = None

    def handle_report(
        self,
        tables: WorkflowTables,
        sender: str,
        report: RunReport,
        now_s: float,
    ) -> list[RunEffect]:
        """Handle the report of a guard; ignored unless this is the leader."""
        if self._leadership is None:
            return []
        logged = set(self._leadership.stop_reasons)
        previous = self._leadership.views.get(sender)
        effects = handle_report(self._leadership, tables, sender, report, now_s)
        log_reported_losses(effects, sender, report)
        if previous is None or previous.facts.lifetime < report.facts.lifetime:
            undecided = list_undecided_runs(
                self._leadership, tables, sender, report
            )
            log_undecided_runs(undecided, sender, report)
        log_stop_requests(self._leadership.stop_reasons, logged)
        return effects

    def handle_applied(self, tables: WorkflowTables, operation: object) -> None:
        """Log, count and track an operation that was applied."""
        if self._leadership is not None:
            log_operation(tables, operation)
            count_operation(self._node.metrics, operation)
            handle_applied_run_operation(self._leadership, tables, operation)

    def handle_proposal_failure(self, operation: object) -> None:
        """Roll back decisions whose proposal failed."""
        if self._leadership is not None and isinstance(operation, RecordRuns):
            handle_run_proposal_failure(self._leadership, operation)

    def tick(self, tables: WorkflowTables, now_s: float) -> list[RunEffect]:
        """Make the scheduling decisions that are due."""
        if self._leadership is None:
            return []
        now_ms = get_wall_ms(self._node.clock)
        logged = set(self._leadership.stop_reasons)
        effects = handle_run_tick(self._leadership, tables, now_s, now_ms)
        log_expired_leases(effects, self._leadership, now_s)
        log_learned_run_times(self._leadership.run_times, self._node.metrics)
        log_reservations(
            self._leadership.reservations,
            self._logged_reservations,
            self._node.metrics,
        )
        self.advice_requester.tick(self._leadership, tables, now_s, now_ms)
        log_stop_requests(self._leadership.stop_reasons, logged)
        return effects

    def list_unknown_pools(
        self, tables: WorkflowTables, known_version: int
    ) -> tuple[str, ...]:
        """List the pools for a process that knows those of a version.

        They are collected once for each version: the active workflows have no
        other pools later on.
        """
        version = tables.configuration.version
        if version == known_version:
            return ()
        if version != self._pools_version:
            self._pools = list_pools(tables)
            self._pools_version = version
        return self._pools

    def has_pending_work(self) -> bool:
        """Return whether a scheduling pass or orders are pending."""
        leadership = self._leadership
        return leadership is not None and (
            leadership.needs_pass or bool(leadership.guards_to_update)
        )

    def submit(
        self,
        peer: str,
        query: ReadQuery,
        replica: Replica,
        now_s: float,
    ) -> None:
        """Request a confirmed read for a query; reply if it is refused."""
        self._read_id += 1
        error = replication.request_read(replica, self._read_id, now_s)
        if error is None:
            self._pending[self._read_id] = PendingReadQuery(peer, query)
            return
        leader = replica.leader_id.rpartition('.')[0]
        self._node.send(
            peer,
            WorkflowReply(query.call_id, error=error, leader=leader),
        )

    def is_own_read(self, read_id: int) -> bool:
        """Return whether a read was requested by this object."""
        return read_id in self._pending

    def answer(self, read_id: int, tables: WorkflowTables) -> None:
        """Run a query, whose read is confirmed, on the applied state."""
        pending = self._pending.pop(read_id)
        match pending.message:
            case WorkflowQuery() as query:
                reply = _answer_query(tables, query)
            case QueueConfigurationQuery(call_id=call_id):
                source = tables.configuration.source
                reply = WorkflowReply(call_id, source=source)
            case EvacuationQuery(call_id=call_id, data_centre=data_centre):
                evacuation = tables.evacuations.get(data_centre, NO_EVACUATION)
                reply = WorkflowReply(call_id, evacuation=evacuation)
        self._node.send(pending.peer, reply)

    def fail(self, read_id: int) -> None:
        """Answer a query whose read could not be confirmed."""
        pending = self._pending.pop(read_id)
        error = StepError(
            ErrorCode.not_leader,
            'workflow.read',
            self._node.settings.name,
            'the replica is no longer the leader',
        )
        self._node.send(
            pending.peer,
            WorkflowReply(pending.message.call_id, error=error),
        )


def _answer_query(
    tables: WorkflowTables,
    query: WorkflowQuery,
) -> WorkflowReply:
    if query.workflow_id:
        workflow = tables.workflows.get(query.workflow_id)
        if workflow is not None and workflow.path == query.path:
            status = get_public_status(workflow)
            return WorkflowReply(query.call_id, status)
    queue = find_queue(tables.configuration, query.host, query.path)
    if not tables.configuration.version:
        return _create_error_reply(
            query, ErrorCode.conflict, 'no queues are configured'
        )
    if queue is None:
        return _create_error_reply(
            query, ErrorCode.not_found, 'no queue has this path'
        )
    if query.workflow_id:
        return _create_error_reply(
            query, ErrorCode.expired, 'there is no such workflow'
        )
    return WorkflowReply(
        query.call_id,
        pending_count=count_pending_workflows(tables, queue),
    )


def _create_error_reply(
    query: WorkflowQuery,
    code: ErrorCode,
    detail: str,
) -> WorkflowReply:
    error = StepError(code, 'workflow.read', query.path, detail)
    return WorkflowReply(query.call_id, error=error)


def get_public_status(workflow: WorkflowRecord) -> str:
    """Get the status that callers see.

    Args:
        workflow: The workflow.

    Returns:
        The status; an active workflow is queued until a run of it is known to
        have begun.
    """
    if workflow.status is not WorkflowStatus.active:
        return workflow.status.value
    return RUNNING if workflow.has_started else QUEUED
