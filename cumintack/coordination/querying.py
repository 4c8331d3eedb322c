"""Queries over tables of records: columns, filters, order and limit."""

import operator
from collections.abc import Callable, Iterable
from typing import Any

import msgspec
from result import Err, Ok, Result

from cumintack.coordination.entry_state import EntryState
from cumintack.coordination.guard_selection import compute_load, is_available
from cumintack.coordination.replication import Replica
from cumintack.protocol.language import Condition, Scalar, Select
from cumintack.state.configuration import ConfigurationItem
from cumintack.state.errors import ErrorCode, StepError
from cumintack.state.resources import ZERO_RESOURCES
from cumintack.state.tables import ControlTables

STEP = 'query'
Cell = Scalar | None


class QueryResult(msgspec.Struct, frozen=True):
    """Result of a query.

    Attributes:
        columns: Names of the columns.
        rows: One tuple of cells for each row.
    """

    columns: tuple[str, ...]
    rows: tuple[tuple[Cell, ...], ...]


class NodeRecord(msgspec.Struct):
    """A process as last reported to the control group."""

    name: str
    roles: tuple[str, ...]
    data_centre: str
    revision: int
    heard_at_s: float


RowProducer = Callable[['QueryContext'], Iterable[tuple[Cell, ...]]]


class QueryContext(msgspec.Struct, frozen=True):
    """State of a control replica that queries read.

    Attributes:
        tables: The replicated state.
        replica: The replica itself.
        nodes: Processes that reported recently, by name.
        now_s: The current time.
    """

    tables: ControlTables
    replica: Replica
    nodes: dict[str, NodeRecord]
    now_s: float


class TableDefinition(msgspec.Struct, frozen=True):
    """A table: its columns and the function that produces its rows."""

    columns: tuple[str, ...]
    produce: RowProducer


def _produce_workers(context: QueryContext) -> Iterable[tuple[Cell, ...]]:
    tables = context.tables
    for name, worker in tables.workers.items():
        spec = worker.spec
        reserved = tables.derived.reserved.get(name, ZERO_RESOURCES)
        yield (
            name,
            spec.data_centre,
            spec.rack,
            spec.holds.cores_milli,
            spec.holds.memory_mb,
            spec.holds.accelerators,
            reserved.cores_milli,
            reserved.memory_mb,
            reserved.accelerators,
            len(tables.derived.tasks_by_worker.get(name, ())),
            worker.is_draining,
            worker.is_quarantined,
        )


def _produce_jobs(context: QueryContext) -> Iterable[tuple[Cell, ...]]:
    for job in context.tables.jobs.values():
        spec = job.spec
        yield (
            job.job_id,
            spec.name,
            spec.team,
            spec.priority.value,
            spec.kind,
            job.status.value,
            spec.task_count,
            job.completed_count,
            job.submitted_at_ms,
            job.reason,
        )


def _produce_tasks(context: QueryContext) -> Iterable[tuple[Cell, ...]]:
    for task in context.tables.tasks.values():
        yield (
            task.task_id,
            task.job_id,
            task.status.value,
            task.attempt,
            task.worker,
            task.checkpoint,
            task.resumed_count,
            task.evicted_count,
            len(task.failed_on),
        )


def _produce_teams(context: QueryContext) -> Iterable[tuple[Cell, ...]]:
    tables = context.tables
    for team in tables.teams.values():
        used = tables.derived.team_usage.get(team.name, ZERO_RESOURCES)
        yield (
            team.name,
            team.share,
            team.quota.cores_milli,
            team.quota.memory_mb,
            team.quota.accelerators,
            used.cores_milli,
            used.memory_mb,
            used.accelerators,
        )


def _produce_replicas(context: QueryContext) -> Iterable[tuple[Cell, ...]]:
    replica = context.replica
    for member in replica.members:
        progress = replica.progress.get(member.member_id)
        is_self = member.member_id == replica.hard.member_id
        matched = replica.synced_index if is_self else 0
        silent_s = 0.0
        if progress is not None:
            matched = progress.match_index
            silent_s = context.now_s - progress.heard_at_s
        yield (
            member.name,
            member.member_id,
            member.address,
            member.is_voter,
            is_self,
            replica.hard.term,
            matched,
            replica.commit_index - matched,
            round(silent_s, 3),
        )


def _produce_nodes(context: QueryContext) -> Iterable[tuple[Cell, ...]]:
    current_revision = context.tables.configuration.revision
    for node in context.nodes.values():
        yield (
            node.name,
            ','.join(node.roles),
            node.data_centre,
            node.revision,
            current_revision - node.revision,
            round(context.now_s - node.heard_at_s, 3),
        )


def _produce_config(context: QueryContext) -> Iterable[tuple[Cell, ...]]:
    items: Iterable[ConfigurationItem] = (
        context.tables.configuration.items.values()
    )
    for item in items:
        yield (item.key, item.setting, item.version, item.author)


def _produce_history(context: QueryContext) -> Iterable[tuple[Cell, ...]]:
    for record in context.tables.history:
        for change in record.changes:
            yield (
                record.revision,
                record.author,
                record.changed_at_ms,
                change.key,
                change.setting,
            )


def _produce_claims(context: QueryContext) -> Iterable[tuple[Cell, ...]]:
    for claim in context.tables.claims.values():
        status = 'open'
        if claim.answer is not None:
            status = 'completed'
        elif claim.is_unknown:
            status = 'unknown'
        yield (
            claim.claim_key,
            claim.request_id,
            claim.entry,
            claim.claimed_at_ms,
            status,
        )


def _produce_evacuations(context: QueryContext) -> Iterable[tuple[Cell, ...]]:
    for data_centre, evacuation in context.tables.workflows.evacuations.items():
        yield (
            data_centre,
            evacuation.is_active,
            evacuation.revision,
            evacuation.changed_at_ms,
        )


CONTROL_TABLES = {
    'workers': TableDefinition(
        (
            'worker',
            'data_centre',
            'rack',
            'cores_milli',
            'memory_mb',
            'accelerators',
            'reserved_cores_milli',
            'reserved_memory_mb',
            'reserved_accelerators',
            'tasks',
            'is_draining',
            'is_quarantined',
        ),
        _produce_workers,
    ),
    'jobs': TableDefinition(
        (
            'job',
            'name',
            'team',
            'priority',
            'kind',
            'status',
            'tasks',
            'completed',
            'submitted_at_ms',
            'reason',
        ),
        _produce_jobs,
    ),
    'tasks': TableDefinition(
        (
            'task',
            'job',
            'status',
            'attempt',
            'worker',
            'checkpoint',
            'resumed',
            'evicted',
            'failed_on',
        ),
        _produce_tasks,
    ),
    'teams': TableDefinition(
        (
            'team',
            'share',
            'quota_cores_milli',
            'quota_memory_mb',
            'quota_accelerators',
            'used_cores_milli',
            'used_memory_mb',
            'used_accelerators',
        ),
        _produce_teams,
    ),
    'replicas': TableDefinition(
        (
            'replica',
            'member',
            'address',
            'is_voter',
            'is_leader',
            'term',
            'matched',
            'lag',
            'silent_s',
        ),
        _produce_replicas,
    ),
    'nodes': TableDefinition(
        ('node', 'roles', 'data_centre', 'revision', 'lag', 'silent_s'),
        _produce_nodes,
    ),
    'config': TableDefinition(
        ('key', 'setting', 'version', 'author'),
        _produce_config,
    ),
    'history': TableDefinition(
        ('revision', 'author', 'changed_at_ms', 'key', 'setting'),
        _produce_history,
    ),
    'claims': TableDefinition(
        ('claim', 'request', 'entry', 'claimed_at_ms', 'status'),
        _produce_claims,
    ),
    'evacuations': TableDefinition(
        ('data_centre', 'is_active', 'revision', 'changed_at_ms'),
        _produce_evacuations,
    ),
}

UPSTREAM_COLUMNS = (
    'worker',
    'service',
    'data_centre',
    'slots',
    'load',
    'latency_ms',
    'is_open',
    'is_leaving',
    'is_ejected',
    'silent_s',
)


def run_control_query(
    select: Select,
    context: QueryContext,
) -> Result[QueryResult, StepError]:
    """Run a query over the replicated state.

    Args:
        select: The query.
        context: State to read.

    Returns:
        The result, or an error that lists the valid tables or columns.
    """
    source = CONTROL_TABLES.get(select.table)
    if source is None:
        names = ', '.join(sorted([*CONTROL_TABLES, 'upstreams', 'events']))
        return Err(
            _create_error(
                f'unknown table {select.table!r}; valid tables: {names}'
            )
        )
    return run_query(select, source.columns, source.produce(context))


def list_upstream_rows(
    state: EntryState,
    now_s: float,
) -> list[tuple[Cell, ...]]:
    """List the upstreams as known to an entry.

    Args:
        state: State of the entry.
        now_s: The current time.

    Returns:
        One row for each guard, with the columns ``UPSTREAM_COLUMNS``.
    """
    return [
        (
            guard.status.worker,
            guard.status.service,
            guard.status.data_centre,
            guard.status.slots,
            compute_load(guard),
            round(guard.latency_s * 1000, 3),
            is_available(guard, now_s),
            guard.status.is_leaving,
            guard.is_ejected,
            round(now_s - guard.last_seen_at_s, 3),
        )
        for guard in state.guards.values()
    ]


def _contains(cell: Cell, scalar: Scalar) -> bool:
    return str(scalar) in str(cell)


COMPARATORS: dict[str, Callable[[Any, Any], bool]] = {
    '=': operator.eq,
    '!=': operator.ne,
    '<': operator.lt,
    '<=': operator.le,
    '>': operator.gt,
    '>=': operator.ge,
    '~': _contains,
}


def run_query(
    select: Select,
    columns: tuple[str, ...],
    rows: Iterable[tuple[Cell, ...]],
) -> Result[QueryResult, StepError]:
    """Run a query over the rows of one table.

    Args:
        select: The query.
        columns: Columns of the table.
        rows: All rows of the table.

    Returns:
        The selected rows and columns, or an error.
    """
    error = _check_columns(select, columns)
    if error is not None:
        return Err(error)
    positions = {column: index for index, column in enumerate(columns)}
    matching = [
        row for row in rows if _is_match(row, select.conditions, positions)
    ]
    if select.ordering:
        position = positions[select.ordering.column]
        matching.sort(
            key=lambda row: _get_sort_key(row[position]),
            reverse=select.ordering.is_descending,
        )
    selected = select.columns or columns
    selected_positions = [positions[name] for name in selected]
    projected = tuple(
        tuple(row[position] for position in selected_positions)
        for row in matching[: select.limit]
    )
    return Ok(QueryResult(selected, projected))


def _check_columns(
    select: Select,
    columns: tuple[str, ...],
) -> StepError | None:
    requested = list(select.columns)
    requested.extend(condition.column for condition in select.conditions)
    if select.ordering:
        requested.append(select.ordering.column)
    for name in requested:
        if name not in columns:
            available = ', '.join(columns)
            return _create_error(
                f'table {select.table!r} has no column {name!r}; '
                f'valid columns: {available}'
            )
    return None


def _get_sort_key(cell: Cell) -> tuple[bool, float, str]:
    if isinstance(cell, (bool, int, float)):
        return (False, float(cell), '')
    return (True, 0, str(cell))


def _is_match(
    row: tuple[Cell, ...],
    conditions: tuple[Condition, ...],
    positions: dict[str, int],
) -> bool:
    for condition in conditions:
        cell = row[positions[condition.column]]
        compare = COMPARATORS[condition.comparator]
        try:
            if not compare(cell, condition.scalar):
                return False
        except TypeError:
            if not compare(str(cell), str(condition.scalar)):
                return False
    return True


def _create_error(detail: str) -> StepError:
    return StepError(ErrorCode.invalid, STEP, '', detail)
