"""Role ``control``: a replica; on the leader also scheduler and leases."""

import pathlib
import sys

import msgspec
import structlog
from result import Err, Ok

from cumintack.coordination import replication
from cumintack.coordination.control_calls import HEX_BASE
from cumintack.coordination.effects import ProposeAsLeader, RecordEvent, Send
from cumintack.coordination.leadership import (
    LeaderEffect,
    Leadership,
    LeadershipSettings,
    create_leadership,
    handle_applied_operation,
    handle_proposal_failure,
    handle_tick,
    handle_worker_status,
)
from cumintack.coordination.leases import LeaseSettings
from cumintack.coordination.querying import (
    NodeRecord,
    QueryContext,
)
from cumintack.coordination.replication import (
    Replica,
    ReplicaSettings,
    Role,
)
from cumintack.coordination.runs.run_leadership import RunEffect
from cumintack.coordination.runs.run_leadership_state import (
    RunSettings,
)
from cumintack.coordination.scheduling import SchedulerSettings
from cumintack.daemon.advice_requester import Adviser
from cumintack.daemon.control_queries import (
    PendingQueries,
    QueryAnswer,
    create_error_answer,
)
from cumintack.daemon.node import Node
from cumintack.daemon.settings import (
    PLACEMENT_PACKED,
    STEP_ORDER_WORK,
    ControlSettings,
)
from cumintack.daemon.workflow_coordinator import WorkflowCoordinator
from cumintack.protocol.messages import (
    ChangeReplica,
    Goodbye,
    Message,
    NodeStatus,
    NodeStatusReply,
    Propose,
    Proposed,
    QueryReply,
    QueryRequest,
    WorkerStatus,
)
from cumintack.protocol.replication_messages import (
    AppendReply,
    AppendRequest,
    Handover,
    Invitation,
    LogEntry,
    ReplicationMessage,
    Snapshot,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
    VoteRequest,
)
from cumintack.protocol.run_messages import (
    EvacuationQuery,
    JoinRequest,
    QueueConfigurationQuery,
    RunReport,
    WorkflowQuery,
)
from cumintack.state.commands import Command, Outcome
from cumintack.state.configuration import Configuration
from cumintack.state.errors import ErrorCode, StepError, format_error
from cumintack.state.machine import (
    apply_command,
    decode_tables,
    encode_tables,
)
from cumintack.state.tables import ControlTables
from cumintack.transport.clock import get_wall_ms
from cumintack.transport.journal import FatalDiskError, Journal

EXIT_DISK_FAILED = 3
# Size of the smallest group that tolerates the loss of one voter.
MIN_VOTERS = 3
# Seconds that a stopping leader waits for its successor to be elected; an
# election among three data centres takes a tenth of that.
TRANSFER_TIMEOUT_S = 0.5
# Seconds between two join requests of a replica with an empty data folder.
JOIN_REQUEST_INTERVAL_S = 0.5
# Seconds until a snapshot that could not be written is attempted again.
SNAPSHOT_RETRY_S = 1.0
# Below the 64 outcomes that the state machine keeps of a session, so that the
# outcome of a resent command is still there.
COMMANDS_PER_SESSION = 32
REPLICATION_MESSAGES = (
    AppendReply,
    AppendRequest,
    Handover,
    Invitation,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
    VoteRequest,
)

logger = structlog.get_logger()
_COMMAND_DECODER = msgspec.msgpack.Decoder(Command)


class PendingProposal(msgspec.Struct, frozen=True):
    """A caller that waits for the outcome of a log entry.

    Attributes:
        peer: Process that receives the reply.
        call_id: Number of its call.
        term: Term in which the entry was proposed; an entry of another term
            at the same index is not the proposed one.
    """

    peer: str
    call_id: int
    term: int


class ControlComponent:
    """The component that runs a control replica in a process."""

    __slots__ = (
        '_leadership_settings',
        '_sequence',
        '_journal',
        '_leadership',
        '_node',
        '_nodes',
        '_pending_queries',
        '_replica',
        '_settings',
        '_tables',
        '_pending_writes',
        '_pending_proposals',
        '_next_join_at_s',
        '_next_snapshot_at_s',
        '_compaction_limits',
        '_transfer_deadline_s',
        '_workflow_coordinator',
    )

    def __init__(
        self,
        node: Node,
        settings: ControlSettings,
        *,
        is_bootstrap: bool,
    ) -> None:
        """Recover from the data folder, or create it if ``is_bootstrap``."""
        self._node = node
        self._settings = settings
        self._journal = Journal(
            pathlib.Path(settings.data_folder),
            is_sync_trusted=settings.is_sync_trusted,
        )
        self._tables = ControlTables()
        self._nodes: dict[str, NodeRecord] = {}
        self._pending_queries = PendingQueries()
        self._pending_proposals: dict[int, PendingProposal] = {}
        self._pending_writes = replication.PendingWrites()
        self._replica = self._recover(is_bootstrap=is_bootstrap)
        self._leadership_settings = LeadershipSettings(
            LeaseSettings(
                lease_s=settings.lease_ms / 1000,
                previous_leader_s=settings.election_timeout_ms * 2 / 1000,
            ),
            SchedulerSettings(),
            settings.pass_interval_ms / 1000,
        )
        self._leadership: Leadership | None = None
        self._sequence = 0
        self._next_join_at_s = 0.0
        self._next_snapshot_at_s = 0.0
        self._compaction_limits = replication.CompactionLimits(
            settings.snapshot_every, settings.snapshot_log_bytes
        )
        self._transfer_deadline_s = 0.0
        self._workflow_coordinator = WorkflowCoordinator(
            node,
            RunSettings(
                settings.run_lease_ms / 1000,
                settings.election_timeout_ms * 2 / 1000,
                is_ordered_by_work=settings.step_order == STEP_ORDER_WORK,
                is_packed=settings.placement == PLACEMENT_PACKED,
            ),
        )

    def _recover(self, *, is_bootstrap: bool) -> Replica:
        node = self._node
        journal = self._journal
        names = [peer.name for peer in node.settings.control_replicas]
        is_founder = (
            self._settings.is_first_start and node.settings.name in names
        )
        if journal.is_empty() and (is_bootstrap or is_founder):
            members = replication.create_initial_members(
                tuple(
                    (peer.name, peer.address)
                    for peer in node.settings.control_replicas
                ),
            )
            journal.bootstrap(f'{node.settings.name}.1', members)
            logger.info('control: data folder created')
        match journal.recover():
            case Err(error):
                logger.error(
                    'control: recovery failed',
                    error=format_error(error),
                )
                sys.exit(EXIT_DISK_FAILED)
            case Ok(durable):
                self._tables = ControlTables()
                if durable.snapshot.encoded:
                    self._tables = decode_tables(durable.snapshot.encoded)
                return replication.create_replica(
                    ReplicaSettings(
                        heartbeat_s=self._settings.heartbeat_ms / 1000,
                        election_timeout_s=(
                            self._settings.election_timeout_ms / 1000
                        ),
                    ),
                    durable,
                    node.clock.now_s(),
                    int(node.incarnation, HEX_BASE),
                )

    def set_adviser(self, adviser: Adviser) -> None:
        """Set the adviser for queues that require admission advice."""
        self._workflow_coordinator.advice_requester.use_adviser(adviser)

    def handle(self, sender: str, message: Message) -> bool:
        """Handle a message; return false if it is not for this component."""
        now_s = self._node.clock.now_s()
        if isinstance(message, REPLICATION_MESSAGES):
            replication.handle_message(self._replica, message, now_s)
            return True
        match message:
            case Propose():
                self._handle_propose(sender, message, now_s)
            case QueryRequest():
                self._handle_query(sender, message, now_s)
            case ChangeReplica():
                self._handle_change_replica(sender, message, now_s)
            case NodeStatus():
                self._handle_node_status(sender, message, now_s)
            case WorkerStatus():
                self._handle_worker_status(sender, message, now_s)
            case RunReport():
                self._handle_run_report(sender, message, now_s)
            case (
                WorkflowQuery() | QueueConfigurationQuery() | EvacuationQuery()
            ):
                self._workflow_coordinator.submit(
                    sender, message, self._replica, now_s
                )
            case JoinRequest():
                self._handle_join_request(message, now_s)
            case NodeStatusReply():
                self._check_removed(message)
            case Goodbye():
                self._nodes.pop(message.name, None)
                return False
            case _:
                return False
        return True

    def _is_established_leader(self, now_s: float) -> bool:
        """Return whether the replica leads and delivered its first entry."""
        replication.handle_tick(self._replica, now_s)
        replica = self._replica
        is_leader = replica.role is Role.leader
        return is_leader and replica.delivered_index >= replica.term_start_index

    def _get_leader_name(self) -> str:
        return self._replica.leader_id.rpartition('.')[0]

    def _handle_node_status(
        self,
        sender: str,
        message: NodeStatus,
        now_s: float,
    ) -> None:
        self._nodes[message.name] = NodeRecord(
            message.name,
            message.roles,
            message.data_centre,
            message.revision,
            now_s,
        )
        pools: tuple[str, ...] = ()
        if message.queue_version is not None:
            pools = self._workflow_coordinator.list_unknown_pools(
                self._tables.workflows, message.queue_version
            )
        self._node.send(sender, self._create_status_reply(now_s, pools))

    def _create_status_reply(
        self, now_s: float, pools: tuple[str, ...] = ()
    ) -> NodeStatusReply:
        return NodeStatusReply(
            self._tables.configuration.revision,
            self._get_leader_name(),
            self._is_established_leader(now_s),
            self._replica.hard.term,
            replication.get_announced_members(self._replica),
            self._tables.workflows.configuration.version,
            pools,
        )

    def _announce_leadership(self, now_s: float) -> None:
        """Send the new leader's status to all known processes."""
        reply = self._create_status_reply(now_s)
        for name in self._nodes:
            self._node.send(name, reply)

    def _handle_run_report(
        self,
        sender: str,
        report: RunReport,
        now_s: float,
    ) -> None:
        if self._leadership is None or not self._is_established_leader(now_s):
            return
        self._perform_run_effects(
            self._workflow_coordinator.handle_report(
                self._tables.workflows,
                sender,
                report,
                now_s,
            ),
        )

    def _perform_run_effects(self, effects: list[RunEffect]) -> None:
        for effect in effects:
            match effect:
                case Send():
                    self._node.send(effect.peer, effect.message)
                case ProposeAsLeader():
                    self._propose_run_operation(effect)

    def _propose_run_operation(self, effect: ProposeAsLeader) -> None:
        command = Command(
            '',
            0,
            self._node.settings.name,
            get_wall_ms(self._node.clock),
            effect.operation,
        )
        index = self._propose(command, self._node.clock.now_s())
        if isinstance(index, StepError):
            self._workflow_coordinator.handle_proposal_failure(effect.operation)

    def _handle_join_request(self, message: JoinRequest, now_s: float) -> None:
        if not self._is_established_leader(now_s):
            return
        error = replication.handle_join_request(
            self._replica,
            message.name,
            message.address,
            message.member_id,
            now_s,
        )
        logger.info(
            'control: a process asks to join',
            name=message.name,
            member_id=message.member_id,
            error=format_error(error) if error else '',
        )

    def _check_removed(self, message: NodeStatusReply) -> None:
        if not message.is_leader or not message.members:
            return
        member_ids = frozenset(member.member_id for member in message.members)
        if not replication.is_removed_from_group(
            self._replica, message.term, member_ids
        ):
            return
        logger.warning(
            'control: removed from the group, rejoining with an empty folder',
            member_id=self._replica.hard.member_id,
        )
        self._journal.wipe()
        self._pending_writes = replication.PendingWrites()
        self._replica = self._recover(is_bootstrap=False)

    def _request_join(self, now_s: float) -> None:
        if self._replica.hard.member_id or now_s < self._next_join_at_s:
            return
        self._next_join_at_s = now_s + JOIN_REQUEST_INTERVAL_S
        settings = self._node.settings
        request = JoinRequest(settings.name, settings.link_address, '')
        for name in self._node.calls.replicas:
            if name != settings.name:
                self._node.send(name, request)

    def _handle_propose(
        self,
        sender: str,
        message: Propose,
        now_s: float,
    ) -> None:
        command = msgspec.structs.replace(
            message.command,
            proposed_at_ms=get_wall_ms(self._node.clock),
        )
        index = self._propose(command, now_s)
        if isinstance(index, StepError):
            self._send_refusal(sender, message.call_id, index)
            return
        term = self._replica.hard.term
        self._pending_proposals[index] = PendingProposal(
            sender, message.call_id, term
        )

    def _propose(self, command: Command, now_s: float) -> int | StepError:
        if self._pending_writes.batches:
            return StepError(
                ErrorCode.unavailable,
                'control.propose',
                self._node.settings.name,
                'the data folder cannot be written',
            )
        payload = msgspec.msgpack.encode(command)
        return replication.propose(self._replica, payload, now_s)

    def _handle_worker_status(
        self,
        sender: str,
        message: WorkerStatus,
        now_s: float,
    ) -> None:
        leadership = self._leadership
        if leadership is None or not self._is_established_leader(now_s):
            return
        self._perform_effects(
            leadership,
            handle_worker_status(
                leadership, self._tables, sender, message, now_s
            ),
        )

    def _perform_effects(
        self, leadership: Leadership, effects: list[LeaderEffect]
    ) -> None:
        for effect in effects:
            match effect:
                case Send():
                    self._node.send(effect.peer, effect.message)
                case RecordEvent():
                    self._node.record(effect)
                case ProposeAsLeader():
                    self._propose_as_leader(leadership, effect)

    def _propose_as_leader(
        self, leadership: Leadership, effect: ProposeAsLeader
    ) -> None:
        self._sequence += 1
        name = self._node.settings.name
        session_id = self._sequence // COMMANDS_PER_SESSION
        command = Command(
            f'{name}.{self._node.incarnation}.{session_id}',
            self._sequence,
            name,
            get_wall_ms(self._node.clock),
            effect.operation,
        )
        index = self._propose(command, self._node.clock.now_s())
        if isinstance(index, StepError):
            handle_proposal_failure(leadership, effect.operation)

    def _send_refusal(self, peer: str, call_id: int, error: StepError) -> None:
        self._node.send(
            peer,
            Proposed(call_id, None, error, self._get_leader_name()),
        )

    def _handle_query(
        self,
        sender: str,
        message: QueryRequest,
        now_s: float,
    ) -> None:
        error = self._pending_queries.submit(
            sender, message, self._replica, now_s
        )
        if error is not None:
            self._answer_query(
                create_error_answer(sender, message.call_id, error)
            )

    def _answer_query(self, answer: QueryAnswer) -> None:
        self._node.send(
            answer.peer,
            QueryReply(
                answer.call_id,
                answer.rows,
                answer.error,
                self._get_leader_name(),
            ),
        )

    def _handle_change_replica(
        self,
        sender: str,
        message: ChangeReplica,
        now_s: float,
    ) -> None:
        replica = self._replica
        if message.is_removal:
            index = replication.propose_remove(replica, message.name, now_s)
        else:
            index = replication.propose_add(
                replica,
                message.name,
                message.address,
                now_s,
            )
        if isinstance(index, StepError):
            self._send_refusal(sender, message.call_id, index)
            return
        term = replica.hard.term
        self._pending_proposals[index] = PendingProposal(
            sender, message.call_id, term
        )

    def tick(self, now_s: float) -> None:
        """Run one iteration: persist, send, apply, schedule."""
        replication.handle_tick(self._replica, now_s)
        self._run_replication_cycle(now_s)
        self._update_role(now_s)
        if self._leadership is not None:
            effects = handle_tick(self._leadership, self._tables, now_s)
            self._perform_effects(self._leadership, effects)
            self._perform_run_effects(
                self._workflow_coordinator.tick(self._tables.workflows, now_s),
            )
            self._run_replication_cycle(now_s)
            self._remove_silent_member(now_s)
        self._request_join(now_s)
        self._dial_members()

    def _remove_silent_member(self, now_s: float) -> None:
        name = replication.remove_silent_member(
            self._replica,
            max(MIN_VOTERS, self._settings.tolerated_losses * 2 + 1),
            now_s,
        )
        if name:
            logger.info('control: removing a silent member', name=name)

    def _run_replication_cycle(self, now_s: float) -> None:
        try:
            cycle = replication.run_cycle(
                self._replica,
                self._pending_writes,
                self._journal,
                self._send_replication_messages,
                now_s,
            )
        except FatalDiskError as error:
            logger.error('control: fsync failed, exiting', error=str(error))
            sys.exit(EXIT_DISK_FAILED)
        if cycle.error:
            self._node.metrics.count('control.write_failed')
            logger.error('control: write failed', error=cycle.error)
        if cycle.installed_snapshot is not None:
            self._install_snapshot(cycle.installed_snapshot)
        self._apply_committed(cycle.committed_entries)
        self._answer_reads(cycle)
        self._compact()

    def _install_snapshot(self, snapshot: Snapshot) -> None:
        self._tables = decode_tables(snapshot.encoded)
        self._node.apply_configuration(self._tables.configuration)
        logger.info('control: snapshot installed', index=snapshot.last_index)

    def _send_replication_messages(
        self, messages: list[ReplicationMessage]
    ) -> None:
        names = {
            member.member_id: member.name for member in self._replica.members
        }
        for message in messages:
            name = names.get(message.receiver)
            if name is None:
                name = message.receiver.rpartition('.')[0]
            self._node.send(name, message)

    def _apply_committed(self, committed: list[LogEntry]) -> None:
        previous_revision = self._tables.configuration.revision
        for entry in committed:
            outcome = Outcome(entry.index)
            if entry.payload:
                command = _COMMAND_DECODER.decode(entry.payload)
                outcome = apply_command(self._tables, entry.index, command)
                self._handle_applied(command, outcome)
            self._tables.applied_index = entry.index
            self._answer_proposal(entry, outcome)
        if self._tables.configuration.revision != previous_revision:
            self._node.apply_configuration(self._tables.configuration)

    def _handle_applied(self, command: Command, outcome: Outcome) -> None:
        self._workflow_coordinator.handle_applied(
            self._tables.workflows, command.operation
        )
        leadership = self._leadership
        if leadership is not None:
            if outcome.index < self._tables.applied_index:
                logger.info(
                    'control: copy ignored',
                    session=command.session,
                    sequence=command.sequence,
                    first_index=outcome.index,
                )
            effects = handle_applied_operation(
                leadership, self._tables, command.operation, outcome
            )
            self._perform_effects(leadership, effects)

    def _answer_proposal(self, entry: LogEntry, outcome: Outcome) -> None:
        pending = self._pending_proposals.pop(entry.index, None)
        if pending is None:
            return
        if pending.term == entry.term:
            self._node.send(pending.peer, Proposed(pending.call_id, outcome))
            return
        self._send_refusal(
            pending.peer, pending.call_id, self._create_leadership_lost_error()
        )

    def _create_leadership_lost_error(self) -> StepError:
        return StepError(
            ErrorCode.not_leader,
            'control.propose',
            self._node.settings.name,
            'the replica is no longer the leader',
        )

    def _answer_reads(self, cycle: replication.CycleResult) -> None:
        context = QueryContext(
            self._tables,
            self._replica,
            self._nodes,
            self._node.clock.now_s(),
        )
        for read_id in cycle.reads:
            if self._workflow_coordinator.is_own_read(read_id):
                self._workflow_coordinator.answer(
                    read_id, self._tables.workflows
                )
                continue
            self._answer_query(self._pending_queries.answer(read_id, context))
        for failed_id in cycle.failed_reads:
            if self._workflow_coordinator.is_own_read(failed_id):
                self._workflow_coordinator.fail(failed_id)
                continue
            self._answer_query(
                self._pending_queries.fail(
                    failed_id, self._create_leadership_lost_error()
                ),
            )

    def _compact(self) -> None:
        """Replace the log by a snapshot if it has grown enough."""
        now_s = self._node.clock.now_s()
        if self._pending_writes.batches or now_s < self._next_snapshot_at_s:
            return
        applied = self._tables.applied_index
        log_bytes = self._journal.get_growth_bytes()
        if not replication.is_compaction_due(
            self._replica, self._compaction_limits, applied, log_bytes
        ):
            return
        encoded = encode_tables(self._tables)
        try:
            replication.compact(self._replica, self._journal, encoded, applied)
        except OSError as error:
            self._next_snapshot_at_s = now_s + SNAPSHOT_RETRY_S
            logger.error('control: snapshot failed', error=str(error))
            return
        logger.info(
            'control: snapshot written',
            index=applied,
            snapshot_bytes=len(encoded),
            log_bytes=log_bytes,
        )

    def _update_role(self, now_s: float) -> None:
        is_leader = self._is_established_leader(now_s)
        if is_leader and self._leadership is None:
            self._leadership = create_leadership(
                self._leadership_settings,
                self._tables,
                self._replica.hard.term,
                now_s,
            )
            self._workflow_coordinator.begin_leading(
                self._replica.hard.term, now_s
            )
            self._announce_leadership(now_s)
            logger.info('control: leading', term=self._replica.hard.term)
            self._node.record(
                RecordEvent(
                    'control.leading',
                    f'term/{self._replica.hard.term}',
                ),
            )
        elif (
            self._replica.role is not Role.leader
            and self._leadership is not None
        ):
            self._leadership = None
            self._workflow_coordinator.end_leading()
            logger.info('control: following', leader=self._replica.leader_id)
        if self._replica.role is not Role.leader and self._pending_proposals:
            for pending in self._pending_proposals.values():
                self._send_refusal(
                    pending.peer,
                    pending.call_id,
                    self._create_leadership_lost_error(),
                )
            self._pending_proposals = {}

    def _dial_members(self) -> None:
        for member in self._replica.members:
            if member.name != self._node.settings.name:
                self._node.links.dial(member.name, member.address)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Do nothing: this component is the source of configurations."""

    def begin_stop(self) -> None:
        """Transfer leadership before the process exits."""
        now_s = self._node.clock.now_s()
        successor = replication.transfer_leadership(self._replica, now_s)
        logger.info('control: handing over', successor=successor)
        self._transfer_deadline_s = now_s + TRANSFER_TIMEOUT_S

    def is_idle(self) -> bool:
        """Return whether no proposal, scheduling pass or transfer is pending.

        A stopping leader stays busy until the transfer timeout.
        """
        if (
            self._pending_proposals
            or self._workflow_coordinator.has_pending_work()
        ):
            return False
        is_leader = self._replica.role is Role.leader
        now_s = self._node.clock.now_s()
        return not is_leader or now_s >= self._transfer_deadline_s

    def close(self) -> None:
        """Close the journal."""
        self._journal.close()
