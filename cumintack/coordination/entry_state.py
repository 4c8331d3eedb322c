"""State of an entry, all of which can be rebuilt from other processes."""

import enum
import random

import msgspec

from cumintack.coordination.guard_selection import GuardView
from cumintack.coordination.token_bucket import TokenBucket
from cumintack.state.configuration import Configuration
from cumintack.state.requests import Request


class RoutingPolicy(enum.Enum):
    """How an entry chooses guards.

    ``round_robin`` is a baseline for comparison: guards in turn, without
    limits, retries or ejection.
    """

    expected_time = 'expected-time'
    round_robin = 'round-robin'


class RequestStage(enum.Enum):
    """Stage of a pending request.

    An ``open`` request may get further attempts, a ``claiming`` one waits for
    the claim on its idempotency key, and the open attempts of a
    ``withdrawing`` one are withdrawn shortly before its deadline.
    """

    open = 'open'
    claiming = 'claiming'
    withdrawing = 'withdrawing'


class AttemptState(msgspec.Struct):
    """An attempt of a pending request.

    Attributes:
        number: Its number within the request.
        worker: The worker of the guard that it was sent to.
        incarnation: The incarnation of that guard.
        sent_at_s: When it was sent.
        is_ended: Whether no more answer to it is expected.
        is_withdrawn: Whether a withdrawal was sent.
    """

    number: int
    worker: str
    incarnation: str
    sent_at_s: float
    is_ended: bool = False
    is_withdrawn: bool = False


class PendingRequest(msgspec.Struct):
    """A request that has no outcome yet.

    Attributes:
        request: The request.
        deadline_s: When its timeout expires.
        arrived_at_s: When it arrived.
        stage: Stage of the request.
        attempts: Attempts by number.
        has_unknown: Whether the outcome of an attempt is unknown.
        is_claimed: Whether it holds the claim on its idempotency key.
        claim_key: The key under which it is claimed, or empty.
        is_timeout_recorded: Whether a slow attempt of it was already recorded
            against a guard.
    """

    request: Request
    deadline_s: float
    arrived_at_s: float
    stage: RequestStage = RequestStage.open
    attempts: dict[int, AttemptState] = {}
    has_unknown: bool = False
    is_claimed: bool = False
    claim_key: str = ''
    is_timeout_recorded: bool = False


class ScheduledCheck(msgspec.Struct, frozen=True, order=True):
    """Time at which a request is to be checked."""

    at_s: float
    request_id: str


class LatencyEstimate(msgspec.Struct):
    """Moving averages of a service's answer time and its deviation."""

    mean_s: float = 0
    deviation_s: float = 0
    samples: int = 0


class EntryState(msgspec.Struct):
    """State of one entry, changed in place.

    Attributes:
        name: Name of the entry.
        data_centre: Data centre of the entry.
        generator: Random numbers for sampling guards, seeded by the process.
        retry_budget: Tokens for retries.
        configuration: The configuration in force.
        guards: Guards by worker.
        guards_by_service: The same guards by service.
        known_guards: Guards that ever sent a heartbeat and have not sent a
            ``Goodbye``. A timeline query expects events from each of them, so
            that one that crashed is reported as missing.
        pending: Requests without an outcome, by identifier.
        scheduled_checks: Heap of the scheduled checks of requests.
        in_flight: Requests in flight by service.
        team_in_flight: Requests in flight by service and team.
        team_buckets: Rate limiter of each team.
        latencies: Answer times by service.
        policy: How guards are chosen.
        round_robin_index: Counter of choices under the round-robin policy.
    """

    name: str
    data_centre: str
    generator: random.Random
    retry_budget: TokenBucket
    configuration: Configuration = msgspec.field(default_factory=Configuration)
    guards: dict[str, GuardView] = {}
    guards_by_service: dict[str, list[GuardView]] = {}
    known_guards: set[str] = set()
    pending: dict[str, PendingRequest] = {}
    scheduled_checks: list[ScheduledCheck] = []
    in_flight: dict[str, int] = {}
    team_in_flight: dict[tuple[str, str], int] = {}
    team_buckets: dict[str, TokenBucket] = {}
    latencies: dict[str, LatencyEstimate] = {}
    policy: RoutingPolicy = RoutingPolicy.expected_time
    round_robin_index: int = 0
