"""Bodies as the platform writes them.

Each field carries the platform's name on the wire and ours in the code; a
comment stands where the platform's name misleads.
"""

import msgspec


class WireStep(msgspec.Struct, frozen=True):
    """A step of a job; fields that are zero, false or empty are left out."""

    count: int
    cores_milli: int = msgspec.field(name='cpu', default=0)
    memory_mb: int = msgspec.field(name='mem_mb', default=0)
    accelerators: int = msgspec.field(name='gpu', default=0)
    estimate_ms: int = msgspec.field(name='est_runtime_ms', default=0)
    depends_on: tuple[int, ...] = ()
    is_checkpointed: bool = msgspec.field(name='checkpointable', default=False)
    is_gang: bool = msgspec.field(name='gang', default=False)
    is_one_rack: bool = msgspec.field(name='same_rack', default=False)
    label: str = msgspec.field(name='required_label', default='')
    data_rack: str = ''
    # A server is a worker here.
    max_per_worker: int = msgspec.field(name='max_per_server', default=0)
    is_copyable: bool = msgspec.field(name='speculative', default=False)
    is_long_running: bool = msgspec.field(name='long_running', default=False)
    image: str = ''
    target_ms: int = 0
    is_best_effort: bool = msgspec.field(name='fills', default=False)
    may_miss: int | None = None


class WireJob(msgspec.Struct, frozen=True):
    """A job as a requester hands it in."""

    steps: tuple[WireStep, ...]
    # Not a specification: text for the worker, of up to 4,000 bytes.
    program: str = msgspec.field(name='spec', default='')
    repeat_count: int = 0
    # Not a delay: the wall time of the first occurrence, in ms since 1970.
    first_at_ms: int = msgspec.field(name='initial_delay_ms', default=0)
    interval_ms: int = 0


class WireAdvice(msgspec.Struct, frozen=True):
    """Times of the adviser of a queue."""

    decide_ms: int = 0
    # Not a period: time more for each worker named in a question.
    each_worker_ms: int = msgspec.field(name='advice_period_ms', default=0)
    valid_ms: int = 0


class WireRoute(msgspec.Struct, frozen=True):
    """A route, which is a queue."""

    name: str
    host: str
    path_prefix: str
    # A service names the pool of workers that run the tasks.
    pool: str = msgspec.field(name='service')
    timeout_ms: int
    # The objective's slack, not the whole objective.
    slack_ms: int = msgspec.field(name='slo_ms', default=0)
    priority: int = 0
    attempts: int = 1
    stretch: float = 1
    advice: WireAdvice | None = None


class WireService(msgspec.Struct, frozen=True):
    """A service, which is a pool of workers."""

    name: str
    is_capacity_checked: bool = msgspec.field(
        name='enforce_capacity',
        default=False,
    )
    is_standby: bool = msgspec.field(name='standby', default=False)


class WireLimits(msgspec.Struct, frozen=True):
    """Limits of requests."""

    max_body_bytes: int = 0


class WireConfiguration(msgspec.Struct, frozen=True):
    """A complete configuration."""

    version: int
    routes: tuple[WireRoute, ...]
    services: tuple[WireService, ...]
    limits: WireLimits = WireLimits()


class WireCapacity(msgspec.Struct, frozen=True):
    """What a worker holds."""

    cores_milli: int = msgspec.field(name='cpu', default=0)
    memory_mb: int = msgspec.field(name='mem_mb', default=0)
    accelerators: int = msgspec.field(name='gpu', default=0)


class WireHeartbeat(msgspec.Struct, frozen=True):
    """What a worker says of itself."""

    # A service names the pool that the worker belongs to.
    pool: str = msgspec.field(name='service')
    address: str
    data_centre: str = msgspec.field(name='zone')
    state: str
    # Rises with each heartbeat of one life of the worker.
    sequence: int
    # Unix ms of the start of this life.
    born_ms: int = msgspec.field(name='born')
    capacity: WireCapacity
    labels: tuple[str, ...] = ()
    leaves_in_ms: float = msgspec.field(name='drain_remaining_ms', default=0)


class WireHoldRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Question for the lists of a worker, which may extend its lease."""

    term: int = msgspec.field(name='fencing_token')
    # Ends up to this number are recorded here and may be forgotten there.
    settled_number: int = msgspec.field(name='ack_seq')
    # A time on the worker's clock up to which all that runs there may run.
    lease_until_ms: int = msgspec.field(name='deadline_ms', default=0)
    wait_ms: int = 0


class WireHoldReply(msgspec.Struct, frozen=True):
    """Lists of a worker; rows of another writer are sorted out one by one."""

    clock_ms: int
    born_ms: int = msgspec.field(name='born')
    running: tuple[msgspec.Raw, ...] = ()
    ended: tuple[msgspec.Raw, ...] = msgspec.field(
        name='finished',
        default=(),
    )


class WireRunning(msgspec.Struct, frozen=True, array_like=True):
    """A row of what runs."""

    task_id: str
    run: int
    checkpoint: str
    percent: float
    # Tail latency in ms of a serving task, else the milli-cores in use.
    measurement: float = 0


class WireEnded(msgspec.Struct, frozen=True, array_like=True):
    """A row of what ended."""

    number: int
    task_id: str
    run: int
    kind: str
    checkpoint: str


class WireStart(msgspec.Struct, frozen=True, omit_defaults=True):
    """Start a run."""

    task_id: str = msgspec.field(name='task')
    run: int
    program: str = msgspec.field(name='spec')
    # The lease of all that runs on the worker, on the worker's clock.
    lease_until_ms: int = msgspec.field(name='deadline_ms')
    term: int = msgspec.field(name='fencing_token')
    checkpoint: str = ''
    ticket: str = ''


class WireStop(msgspec.Struct, frozen=True):
    """Stop a run."""

    task_id: str = msgspec.field(name='task')
    run: int
    term: int = msgspec.field(name='fencing_token')


class WirePace(msgspec.Struct, frozen=True):
    """Let a run work at a share of its speed."""

    task_id: str = msgspec.field(name='task')
    run: int
    percent: int
    term: int = msgspec.field(name='fencing_token')


class WireAdviceRequest(msgspec.Struct, frozen=True):
    """Question to the adviser."""

    # Names a step of an occurrence: three parts of a task's name.
    step: str
    worker_ids: tuple[str, ...] = msgspec.field(name='workers')


class WireAdviceReply(msgspec.Struct, frozen=True):
    """Answer of the adviser."""

    # Rows of worker and ticket; workers that are not named are not allowed.
    rows: tuple[tuple[str, str], ...] = msgspec.field(name='good')
    valid_ms: int


class WireCallReply(msgspec.Struct, frozen=True):
    """Answer of a worker to a call."""

    clock_ms: int = 0
    reason: str = ''
