"""JSON bodies of the platform's API.

Each field has the platform's name on the wire and the project's name in the
code. A comment explains the platform's names that are misleading.

Numbers are bounded where they are decoded. The messages between processes
hold 64 bits, and no process may end because of a number that another program
has written.
"""

from typing import Annotated

import msgspec

# What decoding raises for a body that is malformed, not UTF-8, out of range or
# nested too deeply.
DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
# Largest integer that JSON documents represent exactly in every program.
MAX_NUMBER = 9007199254740991

Number = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
# Identifier of a task.
TaskName = Annotated[str, msgspec.Meta(max_length=1024)]
Real = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]


class WireStep(msgspec.Struct, frozen=True):
    """A step of a job; zero, false and empty fields may be omitted."""

    count: Count
    cores_milli: Count = msgspec.field(name='cpu', default=0)
    memory_mb: Count = msgspec.field(name='mem_mb', default=0)
    accelerators: Count = msgspec.field(name='gpu', default=0)
    estimate_ms: Count = msgspec.field(name='est_runtime_ms', default=0)
    depends_on: tuple[Count, ...] = ()
    is_checkpointed: bool = msgspec.field(name='checkpointable', default=False)
    is_gang: bool = msgspec.field(name='gang', default=False)
    is_one_rack: bool = msgspec.field(name='same_rack', default=False)
    label: str = msgspec.field(name='required_label', default='')
    data_rack: str = ''
    # The platform calls a worker a server.
    max_per_worker: Count = msgspec.field(name='max_per_server', default=0)
    is_copyable: bool = msgspec.field(name='speculative', default=False)
    is_long_running: bool = msgspec.field(name='long_running', default=False)
    image: str = ''
    target_ms: Count = 0
    is_best_effort: bool = msgspec.field(name='fills', default=False)
    may_miss: Count | None = None


class WireJob(msgspec.Struct, frozen=True):
    """A job submitted by a requester."""

    steps: tuple[WireStep, ...]
    # Not a specification, but text of up to 4,000 bytes for the worker.
    program: str = msgspec.field(name='spec', default='')
    repeat_count: Count = 0
    # Not a delay, but the wall time of the first occurrence in Unix ms.
    first_at_ms: Count = msgspec.field(name='initial_delay_ms', default=0)
    interval_ms: Count = 0


class WireAdvice(msgspec.Struct, frozen=True):
    """Expected latency of the adviser of a queue."""

    decide_ms: Number = 0
    # Not a period, but the additional time for each worker in a request.
    each_worker_ms: Number = msgspec.field(name='advice_period_ms', default=0)
    valid_ms: Number = 0


class WireRoute(msgspec.Struct, frozen=True):
    """A route; the platform calls a queue a route."""

    name: str
    host: str
    path_prefix: str
    # The service is the pool of workers that run the tasks.
    pool: str = msgspec.field(name='service')
    timeout_ms: Number
    # Not the whole objective, but the slack that is added to it.
    slack_ms: Number = msgspec.field(name='slo_ms', default=0)
    priority: Number = 0
    attempts: Number = 1
    stretch: Real = 1
    advice: WireAdvice | None = None


class WireService(msgspec.Struct, frozen=True):
    """A service; the platform calls a pool of workers a service."""

    name: str
    is_capacity_checked: bool = msgspec.field(
        name='enforce_capacity',
        default=False,
    )
    is_standby: bool = msgspec.field(name='standby', default=False)
    health_path: str = ''


class WireLimits(msgspec.Struct, frozen=True):
    """Limits for requests."""

    max_body_bytes: Number = 0


class WireConfiguration(msgspec.Struct, frozen=True):
    """A complete configuration."""

    version: Number
    routes: tuple[WireRoute, ...]
    services: tuple[WireService, ...]
    limits: WireLimits = WireLimits()


class WireCapacity(msgspec.Struct, frozen=True):
    """Resources of a worker."""

    cores_milli: Count = msgspec.field(name='cpu')
    memory_mb: Count = msgspec.field(name='mem_mb')
    accelerators: Count = msgspec.field(name='gpu')


class WireHeartbeat(msgspec.Struct, frozen=True, kw_only=True):
    """Heartbeat of a worker to the guard on its machine.

    Fields that are not used are decoded as well: a heartbeat that lacks one,
    or has one of another type, comes from another program.
    """

    # The service is the pool to which the worker belongs.
    pool: str = msgspec.field(name='service')
    address: str
    data_centre: str = msgspec.field(name='zone')
    software: str = msgspec.field(name='version')
    slots: Count
    state: str
    # How much longer the worker remains slow after its start.
    cold_for_ms: Real = msgspec.field(name='cold_remaining_ms')
    # Increases with each heartbeat of one incarnation of the worker.
    sequence: Count
    # Start of this incarnation in Unix ms.
    born_ms: Count = msgspec.field(name='born')
    clock_ms: Count
    capacity: WireCapacity
    labels: tuple[str, ...]
    # Given while the worker drains.
    leaves_in_ms: Real | msgspec.UnsetType = msgspec.field(
        name='drain_remaining_ms', default=msgspec.UNSET
    )
    machine: str | msgspec.UnsetType = msgspec.UNSET


class WireLeave(msgspec.Struct, frozen=True):
    """Departure of a worker, which may describe it like a heartbeat does."""

    pool: str | msgspec.UnsetType = msgspec.field(
        name='service', default=msgspec.UNSET
    )
    address: str | msgspec.UnsetType = msgspec.UNSET
    data_centre: str | msgspec.UnsetType = msgspec.field(
        name='zone', default=msgspec.UNSET
    )
    born_ms: Count | msgspec.UnsetType = msgspec.field(
        name='born', default=msgspec.UNSET
    )


class WireHoldRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Poll of the runs of a worker, which may also extend its lease."""

    token: int = msgspec.field(name='fencing_token')
    # Acknowledges ended runs up to this number; the worker may drop them.
    settled_number: int = msgspec.field(name='ack_seq')
    # End of the lease of all runs of the worker, on the worker's clock.
    lease_until_ms: int = msgspec.field(name='deadline_ms', default=0)
    wait_ms: int = 0


class WireHoldReply(msgspec.Struct, frozen=True):
    """Runs of a worker; rows are decoded one by one to drop invalid ones."""

    clock_ms: Count
    born_ms: Count = msgspec.field(name='born')
    # An answer without one of the lists says nothing about the runs.
    running: tuple[msgspec.Raw, ...]
    ended: tuple[msgspec.Raw, ...] = msgspec.field(name='finished')


class WireRunKey(msgspec.Struct, frozen=True, array_like=True):
    """The first fields of a row about a run."""

    task_id: TaskName
    run: Count


class WireRunning(msgspec.Struct, frozen=True, array_like=True):
    """A run that is running."""

    task_id: TaskName
    run: Count
    checkpoint: str
    percent: float
    # Tail latency in ms of a latency-critical task, else used milli-cores.
    measurement: float = 0


class WireEnded(msgspec.Struct, frozen=True, array_like=True):
    """A run that ended."""

    number: Count
    task_id: TaskName
    run: Count
    kind: str
    checkpoint: str


class WireStart(msgspec.Struct, frozen=True, omit_defaults=True):
    """Request to start a run."""

    task_id: str = msgspec.field(name='task')
    run: int
    program: str = msgspec.field(name='spec')
    # End of the lease of all runs of the worker, on the worker's clock.
    lease_until_ms: int = msgspec.field(name='deadline_ms')
    token: int = msgspec.field(name='fencing_token')
    checkpoint: str = ''
    ticket: str = ''


class WireStop(msgspec.Struct, frozen=True):
    """Request to stop a run."""

    task_id: str = msgspec.field(name='task')
    run: int
    token: int = msgspec.field(name='fencing_token')


class WirePace(msgspec.Struct, frozen=True):
    """Request to throttle a run to a percentage of its full speed."""

    task_id: str = msgspec.field(name='task')
    run: int
    percent: int
    token: int = msgspec.field(name='fencing_token')


class WireAdviceRequest(msgspec.Struct, frozen=True):
    """Request to the external adviser."""

    # Identifies a step of an occurrence: the first three of the four
    # components of a task identifier.
    step: str
    worker_ids: tuple[str, ...] = msgspec.field(name='workers')


class WireAdviceReply(msgspec.Struct, frozen=True):
    """Reply of the external adviser."""

    # Pairs of worker and admission ticket; other workers are not admitted.
    rows: tuple[tuple[str, str], ...] = msgspec.field(name='good')
    valid_ms: Number


class WireCallReply(msgspec.Struct, frozen=True):
    """Reply of a worker to a call that starts, stops or throttles a run."""

    reason: str = ''
