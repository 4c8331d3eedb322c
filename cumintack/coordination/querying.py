"""Queries over records: typed tables, filters, order and limit."""

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
    """Rows of a table.

    Attributes:
        columns: Names of the columns.
        rows: One tuple of cells for each row.
    """

    columns: tuple[str, ...]
    rows: tuple[tuple[Cell, ...], ...]


class NodeRecord(msgspec.Struct):
    """A process as the control group sees it."""

    name: str
    roles: tuple[str, ...]
    data_centre: str
    revision: int
    heard_at_s: float


RowProducer = Callable[['QueryContext'], Iterable[tuple[Cell, ...]]]


class QueryContext(msgspec.Struct, frozen=True):
    """What a control replica can answer from.

    Attributes:
        tables: The replicated state.
        replica: Its replica.
        nodes: Processes heard of lately.
        now_s: The time.
    """

    tables: ControlTables
    replica: Replica
    nodes: dict[str, NodeRecord]
    now_s: float


class TableDefinition(msgspec.Struct, frozen=True):
    """A table: its columns and how its rows are made."""

    columns: tuple[str, ...]
    produce: RowProducer


def _produce_workers(sources: QueryContext) -> Iterable[tuple[Cell, ...]]:
    tables = sources.tables
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


def _produce_jobs(sources: QueryContext) -> Iterable[tuple[Cell, ...]]:
    for job in sources.tables.jobs.values():
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


def _produce_tasks(sources: QueryContext) -> Iterable[tuple[Cell, ...]]:
    for task in sources.tables.tasks.values():
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


def _produce_teams(sources: QueryContext) -> Iterable[tuple[Cell, ...]]:
    tables = sources.tables
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


def _produce_replicas(sources: QueryContext) -> Iterable[tuple[Cell, ...]]:
    replica = sources.replica
    for member in replica.members:
        progress = replica.progress.get(member.member_id)
        is_self = member.member_id == replica.hard.member_id
        matched = replica.synced_index if is_self else 0
        heard_s = 0.0
        if progress is not None:
            matched = progress.match_index
            heard_s = sources.now_s - progress.heard_at_s
        yield (
            member.name,
            member.member_id,
            member.address,
            member.is_voter,
            is_self,
            replica.hard.term,
            matched,
            replica.commit_index - matched,
            round(heard_s, 3),
        )


def _produce_nodes(sources: QueryContext) -> Iterable[tuple[Cell, ...]]:
    current = sources.tables.configuration.revision
    for node in sources.nodes.values():
        yield (
            node.name,
            ','.join(node.roles),
            node.data_centre,
            node.revision,
            current - node.revision,
            round(sources.now_s - node.heard_at_s, 3),
        )


def _produce_config(sources: QueryContext) -> Iterable[tuple[Cell, ...]]:
    items: Iterable[ConfigurationItem] = (
        sources.tables.configuration.items.values()
    )
    for item in items:
        yield (item.key, item.setting, item.version, item.author)


def _produce_history(sources: QueryContext) -> Iterable[tuple[Cell, ...]]:
    for record in sources.tables.history:
        for change in record.changes:
            yield (
                record.revision,
                record.author,
                record.changed_at_ms,
                change.key,
                change.setting,
            )


def _produce_claims(sources: QueryContext) -> Iterable[tuple[Cell, ...]]:
    for claim in sources.tables.claims.values():
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
    sources: QueryContext,
) -> Result[QueryResult, StepError]:
    """Run a query over the replicated state.

    Args:
        select: The query.
        sources: What to answer from.

    Returns:
        The rows, or an error that lists what there is.
    """
    source = CONTROL_TABLES.get(select.table)
    if source is None:
        names = ', '.join(sorted([*CONTROL_TABLES, 'upstreams', 'events']))
        return Err(_refuse(f'no table {select.table!r}; there are {names}'))
    return run_query(select, source.columns, source.produce(sources))


def list_upstream_rows(
    state: EntryState,
    now_s: float,
) -> list[tuple[Cell, ...]]:
    """Get the upstreams as an entry sees them.

    Args:
        state: The entry.
        now_s: The time.

    Returns:
        One row for each guard with ``UPSTREAM_COLUMNS``.
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
        columns: The columns of the table.
        rows: All its rows.

    Returns:
        The rows asked for, or an error.
    """
    error = _check_columns(select, columns)
    if error is not None:
        return Err(error)
    positions = {column: index for index, column in enumerate(columns)}
    chosen = [
        row for row in rows if _is_match(row, select.conditions, positions)
    ]
    if select.ordering:
        position = positions[select.ordering.column]
        chosen.sort(
            key=lambda row: _get_sort_key(row[position]),
            reverse=select.ordering.is_descending,
        )
    wanted = select.columns or columns
    kept = [positions[name] for name in wanted]
    shown = tuple(
        tuple(row[position] for position in kept)
        for row in chosen[: select.limit]
    )
    return Ok(QueryResult(wanted, shown))


def _check_columns(
    select: Select,
    columns: tuple[str, ...],
) -> StepError | None:
    named = list(select.columns)
    named.extend(condition.column for condition in select.conditions)
    if select.ordering:
        named.append(select.ordering.column)
    for name in named:
        if name not in columns:
            there = ', '.join(columns)
            return _refuse(
                f'{select.table} has no column {name!r}; it has {there}'
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


def _refuse(detail: str) -> StepError:
    return StepError(ErrorCode.invalid, STEP, '', detail)
