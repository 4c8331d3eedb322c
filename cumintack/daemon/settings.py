"""Settings of a process: one YAML file, validated as a whole before the start.

All problems are reported at once, one line each with the file and the path of
the key. A daemon that started with partly invalid settings would fail later
in places that hide the cause.
"""

import pathlib
from typing import Any, Literal, TypeVar

import msgspec
import yaml
from result import Err, Ok, Result

from cumintack.state.resources import Resources
from cumintack.transport.addresses import is_address

MAX_NAME_LENGTH = 64
MIN_TOKEN_LENGTH = 16
ROLE_NAMES = (
    'control',
    'entry',
    'guard',
    'workflow_entry',
    'workflow_guard',
)
# Numbers in the section of a role that may be 0; all others must be positive.
ZERO_ALLOWED = frozenset(('tolerated_losses',))
POLICY_NAMES = ('expected-time', 'round-robin')
STEP_ORDER_DUE_TIME = 'due-time'
STEP_ORDER_WORK = 'remaining-work'
PLACEMENT_SPREAD = 'spread'
PLACEMENT_PACKED = 'packed'
PLACEMENTS = (PLACEMENT_SPREAD, PLACEMENT_PACKED)
STEP_ORDERS = (STEP_ORDER_DUE_TIME, STEP_ORDER_WORK)
TOKEN_ROLES = ('reader', 'operator', 'administrator')

Section = TypeVar('Section', bound=msgspec.Struct)


class PeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A process that this one connects to.

    Attributes:
        name: Name of the process.
        address: Its link address as ``host:port``.
    """

    name: str
    address: str


class ControlSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Role ``control``: a replica of the control group.

    Attributes:
        data_folder: Folder of the log, the snapshot and the hard state.
        heartbeat_ms: Heartbeat interval of the leader.
        election_timeout_ms: Shortest silence of the leader before an election.
        snapshot_every: Log entries between two snapshots.
        snapshot_log_bytes: Bytes by which the log grows between two snapshots;
            more if the snapshot is larger. The disk must hold two snapshots
            and two such logs.
        lease_ms: Duration of a task lease.
        pass_interval_ms: Shortest time between two scheduling passes.
        operator_address: Address where operators read and replace the
            configuration of queues, as ``host:port``; empty to disable.
        adviser_address: Address of the external adviser of queues, as
            ``host:port``; empty if there is none.
        is_first_start: Whether the deployment starts for the first time;
            replicas in ``control_replicas`` or ``seeds`` with an empty data
            folder then form a new control group.
        tolerated_losses: Replicas that may fail at the same time; a silent
            member is removed if there are more voters than this requires.
        is_sync_trusted: Whether the disk keeps everything that was synced, so
            that a torn write at the end of the log was never acknowledged.
        run_lease_ms: Duration of the lease of a worker for its runs.
        data_centres: Region of each data centre that an operator may evacuate;
            null or an empty text, as templates give it, for any name.
        step_order: Order in which waiting steps are placed: ``due-time``, or
            ``remaining-work`` for deployments that are overloaded at times.
        placement: How workers are chosen: ``spread``, or ``packed``, which
            fills the smallest gaps first, keeps room for waiting tasks that
            fit nowhere yet, and puts best-effort tasks beside insensitive
            latency-critical ones.
    """

    data_folder: str
    heartbeat_ms: int = 100
    election_timeout_ms: int = 600
    snapshot_every: int = 20000
    snapshot_log_bytes: int = 16777216
    lease_ms: int = 10000
    pass_interval_ms: int = 20
    operator_address: str = ''
    adviser_address: str = ''
    is_first_start: bool = False
    tolerated_losses: int = 1
    is_sync_trusted: bool = False
    run_lease_ms: int = 8000
    data_centres: dict[str, str] | Literal[''] | None = None
    step_order: str = STEP_ORDER_DUE_TIME
    placement: str = PLACEMENT_SPREAD


class EntrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Role ``entry``: HTTP API for callers and operators.

    Attributes:
        http_address: Address to listen on, as ``host:port``.
        threads: Number of server threads, the limit of requests in flight.
        max_body_bytes: Largest request body.
        max_timeout_ms: Longest timeout that a caller may request.
        policy: Routing policy: ``expected-time``, or ``round-robin`` as a
            baseline.
    """

    http_address: str
    threads: int = 192
    max_body_bytes: int = 1048576
    max_timeout_ms: int = 600000
    policy: str = 'expected-time'


class GuardSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Role ``guard``: sidecar of one upstream and its worker.

    Attributes:
        worker: Name of the worker, unique in the deployment.
        http_address: Address where the upstream announces itself.
        platform_address: Address of the platform's agent of the worker; empty
            if there is none.
        max_slots: Largest number of slots that an upstream may announce.
        max_connections: Largest number of connections to the upstream.
        queue_per_slot: Length of the queue, as a multiple of the slots.
        patience_ms: How long past its deadline an attempt keeps its slot.
        max_answer_bytes: Largest answer of the upstream.
        announcement_ms: How long an announcement is valid unless repeated.
        report_interval_ms: Interval at which the agent is asked for a report.
        heartbeat_interval_ms: Longest time between two heartbeats to the
            leader; changes are sent with the next report.
    """

    worker: str
    http_address: str
    platform_address: str = ''
    max_slots: int = 8
    max_connections: int = 64
    queue_per_slot: float = 1.0
    patience_ms: int = 30000
    max_answer_bytes: int = 8388608
    announcement_ms: int = 3000
    report_interval_ms: int = 500
    heartbeat_interval_ms: int = 1000


class WorkflowEntrySettings(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
):
    """Role ``workflow_entry``: HTTP API for callers of workflows.

    Attributes:
        http_address: Address for callers, as ``host:port``.
        readiness_address: Address of the readiness check of the balancer.
        threads: Number of server threads, the limit of requests in flight.
        max_body_bytes: Largest request body.
        grace_s: Time between a stop request and the kill of the process.
    """

    http_address: str
    readiness_address: str
    threads: int = 24
    max_body_bytes: int = 1048576
    grace_s: float = 6


class WorkflowGuardSettings(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
):
    """Role ``workflow_guard``: sidecar of one worker that runs tasks.

    Attributes:
        http_address: Address where the worker announces itself.
        worker_address: Address of the worker.
        call_threads: Concurrent calls to the worker, in addition to polls.
        look_wait_ms: How long a poll may wait for the end of a run.
        report_interval_ms: Longest time between two reports to the leader.
        run_lease_ms: Duration of the leases that leaders grant; a restarted
            guard assumes that one was granted just before.
        max_lease_ms: Longest lease that the worker keeps.
    """

    http_address: str
    worker_address: str
    call_threads: int = 3
    look_wait_ms: int = 500
    report_interval_ms: int = 500
    run_lease_ms: int = 8000
    max_lease_ms: int = 10000


class TokenSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A bearer token of the administration API.

    Attributes:
        token: The secret, at least 16 characters.
        name: Name of its user, recorded in the history.
        role: ``reader``, ``operator`` or ``administrator``.
        team: The team for which it may submit jobs; empty for all.
    """

    token: str
    name: str
    role: str
    team: str = ''


class AdminSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The administration API.

    Attributes:
        is_loopback_open: Whether requests from loopback need no token.
        tokens: The accepted tokens.
    """

    is_loopback_open: bool = False
    tokens: tuple[TokenSettings, ...] = ()


class StatsdSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The statsd server that receives metrics.

    Attributes:
        host: Host of the server; empty to send nothing.
        port: UDP port of the server.
        prefix: First part of every metric name, before the process name.
    """

    host: str = ''
    port: int = 8125
    prefix: str = 'cumintack'


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Logging.

    Attributes:
        level: The lowest level to write: debug, info, warning or error.
        events_file: File to which timeline events are appended as JSON lines,
            so that they outlive the process; empty for none.
    """

    level: str = 'info'
    events_file: str = ''


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one process.

    Attributes:
        name: Name of the process, unique in the deployment.
        data_centre: Data centre of the process.
        link_address: Address on which its links listen, as ``host:port``.
        control_replicas: The replicas of the control group.
        entries: The entries of the deployment.
        control: Settings of role control; set if the process has it.
        entry: Settings of role entry; set if the process has it.
        guard: Settings of role guard; set if the process has it.
        workflow_entry: Settings of role workflow_entry; set if the process
            has it.
        workflow_guard: Settings of role workflow_guard; set if the process
            has it.
        seeds: Addresses of some control replicas, used if ``control_replicas``
            is empty: each is named by its host, and its links listen on
            ``link_port``.
        link_port: Link port of the seeds.
        label: Human-readable name of the machine, shown in logs.
        metrics_address: Address of the metrics page, as ``host:port``; empty
            to disable.
        admin: The administration API.
        statsd: The statsd server that receives metrics.
        log: Logging.
        keys_file: File with the secret key of the deployment; empty for links
            without encryption and authentication.
        drain_timeout_ms: Longest wait for work in flight when stopping.
        timeline_events: Number of timeline events kept in memory.
    """

    name: str
    data_centre: str
    link_address: str
    control_replicas: tuple[PeerSettings, ...] = ()
    entries: tuple[PeerSettings, ...] = ()
    control: ControlSettings | None = None
    entry: EntrySettings | None = None
    guard: GuardSettings | None = None
    admin: AdminSettings = AdminSettings()
    statsd: StatsdSettings = StatsdSettings()
    log: LogSettings = LogSettings()
    keys_file: str = ''
    drain_timeout_ms: int = 60000
    timeline_events: int = 20000
    workflow_entry: WorkflowEntrySettings | None = None
    workflow_guard: WorkflowGuardSettings | None = None
    seeds: tuple[str, ...] = ()
    link_port: int = 0
    label: str = ''
    metrics_address: str = ''


def get_roles(settings: Settings) -> tuple[str, ...]:
    """Get the roles of a process.

    Args:
        settings: Its settings.

    Returns:
        The names of the roles that are set.
    """
    return tuple(role for role in ROLE_NAMES if getattr(settings, role))


def compute_service_reserve(service_slots: int) -> Resources:
    """Compute the resources that are reserved for a service on its worker.

    Args:
        service_slots: Slots of the upstream.

    Returns:
        One core and 1024 MB for each slot.
    """
    return Resources(service_slots * 1000, service_slots * 1024)


def load_settings(path: pathlib.Path) -> Result[Settings, list[str]]:
    """Load settings from a file and validate them.

    Args:
        path: The YAML file.

    Returns:
        The settings, or one line for each problem.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return Err([f'{path}: {error}'])
    return parse_settings(text, str(path))


def parse_settings(text: str, source: str) -> Result[Settings, list[str]]:
    """Parse settings and validate them.

    Args:
        text: The YAML text.
        source: Name of the file, for the lines of problems.

    Returns:
        The settings, or one line for each problem.
    """
    try:
        raw = yaml.safe_load(text)
    except (yaml.YAMLError, RecursionError, ValueError) as error:
        one_line = ' '.join(str(error).split())
        return Err([f'{source}: {one_line}'])
    if not isinstance(raw, dict):
        return Err([f'{source}: expected a mapping of settings'])
    problems = _find_structure_problems(raw, source)
    if problems:
        return Err(problems)
    settings = _resolve_seeds(msgspec.convert(raw, Settings))
    problems = [
        f'{source}: {problem}'
        for check in SETTINGS_CHECKS
        for problem in check(settings)
    ]
    return Err(problems) if problems else Ok(settings)


def _resolve_seeds(settings: Settings) -> Settings:
    if settings.control_replicas:
        return settings
    hosts = [seed.rpartition(':')[0] for seed in settings.seeds]
    replicas = tuple(
        PeerSettings(host, f'{host}:{settings.link_port}') for host in hosts
    )
    return msgspec.structs.replace(settings, control_replicas=replicas)


def _find_structure_problems(raw: dict[Any, Any], source: str) -> list[str]:
    problems = []
    fields = {field.name: field for field in msgspec.structs.fields(Settings)}
    for key in raw:
        if key not in fields:
            problems.append(f'{source}: {key}: unknown key')
    for name, field in fields.items():
        if name not in raw:
            if field.required:
                problems.append(f'{source}: {name}: missing')
            continue
        try:
            msgspec.convert(raw[name], field.type)
        except msgspec.ValidationError as error:
            problems.append(
                f'{source}: {_format_type_problem(name, str(error))}'
            )
    return problems


def _format_type_problem(name: str, message: str) -> str:
    detail, _, location = message.partition(' - at `$')
    path = location.rstrip('`')
    return f'{name}{path}: {detail}'


def _check_name(settings: Settings) -> list[str]:
    problems = []
    for key in ('name', 'data_centre'):
        text = getattr(settings, key)
        if (
            not text
            or len(text) > MAX_NAME_LENGTH
            or not text.replace('-', '').replace('.', '').isalnum()
        ):
            problems.append(
                f'{key}: must have 1 to 64 characters, only letters, digits, '
                'hyphens and dots',
            )
    return problems


def _check_roles(settings: Settings) -> list[str]:
    roles = get_roles(settings)
    problems = []
    if not roles:
        problems.append('control, entry, guard: at least one role is required')
    if not settings.control_replicas:
        problems.append('control_replicas: at least one is required')
    names = [peer.name for peer in settings.control_replicas]
    is_listed = settings.name in names or bool(settings.seeds)
    if 'control' in roles and not is_listed:
        problems.append(
            f'control_replicas: {settings.name!r} has role control, '
            'but is not listed',
        )
    if len(set(names)) != len(names):
        problems.append('control_replicas: duplicate name')
    if settings.entry and settings.entry.policy not in POLICY_NAMES:
        problems.append(
            f'entry.policy: must be one of {", ".join(POLICY_NAMES)}'
        )
    control = settings.control
    if control is not None and control.step_order not in STEP_ORDERS:
        problems.append(
            f'control.step_order: {control.step_order!r} is not one of '
            + ', '.join(STEP_ORDERS)
        )
    if control is not None and control.placement not in PLACEMENTS:
        problems.append(
            f'control.placement: {control.placement!r} is not one of '
            + ', '.join(PLACEMENTS)
        )
    if settings.guard and settings.guard.worker != settings.name:
        problems.append('guard.worker: must be the name of the process')
    return problems


def _check_address(key: str, address: str) -> list[str]:
    if is_address(address):
        return []
    return [f'{key}: {address!r} is not host:port']


def _check_addresses(settings: Settings) -> list[str]:
    problems = _check_address('link_address', settings.link_address)
    for index, peer in enumerate(settings.control_replicas):
        key = f'control_replicas[{index}].address'
        problems.extend(_check_address(key, peer.address))
    for index, peer in enumerate(settings.entries):
        problems.extend(
            _check_address(f'entries[{index}].address', peer.address)
        )
    for key, address in _list_optional_addresses(settings):
        if address:
            problems.extend(_check_address(key, address))
    return problems


def _list_optional_addresses(settings: Settings) -> list[tuple[str, str]]:
    """List the addresses of the roles, by path; those of other roles too."""
    addresses = [('metrics_address', settings.metrics_address)]
    for role in ROLE_NAMES:
        section = getattr(settings, role)
        names = section.__struct_fields__ if section else ()
        addresses.extend(
            (f'{role}.{name}', getattr(section, name))
            for name in names
            if name.endswith('_address')
        )
    return addresses


def _check_numbers(settings: Settings) -> list[str]:
    problems: list[str] = []
    for role in ROLE_NAMES:
        section = getattr(settings, role)
        names = section.__struct_fields__ if section else ()
        problems.extend(
            f'{role}.{name}: must be greater than 0'
            for name in names
            if name not in ZERO_ALLOWED
            and _is_not_positive(getattr(section, name))
        )
    control = settings.control
    if control and control.election_timeout_ms < control.heartbeat_ms * 3:
        problems.append(
            'control.election_timeout_ms: must be at least 3 heartbeats',
        )
    return problems


def _is_not_positive(setting: object) -> bool:
    is_flag = isinstance(setting, bool)
    return isinstance(setting, (int, float)) and not is_flag and setting <= 0


def _check_tokens(settings: Settings) -> list[str]:
    problems = []
    for index, token in enumerate(settings.admin.tokens):
        path = f'admin.tokens[{index}]'
        if len(token.token) < MIN_TOKEN_LENGTH:
            problems.append(f'{path}.token: must have at least 16 characters')
        if token.role not in TOKEN_ROLES:
            problems.append(
                f'{path}.role: must be one of {", ".join(TOKEN_ROLES)}'
            )
    return problems


SETTINGS_CHECKS = (
    _check_name,
    _check_roles,
    _check_addresses,
    _check_numbers,
    _check_tokens,
)
