"""State of an entry: nothing that can't be rebuilt from others."""

import enum
import random

import msgspec

from cumintack.coordination.guard_selection import GuardView
from cumintack.coordination.token_bucket import TokenBucket
from cumintack.state.configuration import Configuration
from cumintack.state.requests import Request


class RoutingPolicy(enum.Enum):
    """How an entry chooses guards.

    ``round_robin`` is the baseline: guards in turn, without limits, second
    attempts or ejection.
    """

    expected_time = 'expected-time'
    round_robin = 'round-robin'


class RequestStage(enum.Enum):
    """Where a pending request is."""

    open = 'open'
    claiming = 'claiming'
    withdrawing = 'withdrawing'


class AttemptState(msgspec.Struct):
    """An attempt of a pending request.

    Attributes:
        number: Its number within the request.
        worker: The guard that it was sent to.
        incarnation: The incarnation of that guard.
        sent_at_s: When it was sent.
        is_ended: Whether its end is known, or known to stay unknown.
        is_withdrawn: Whether it was asked back.
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
        deadline_s: When its time is over.
        arrived_at_s: When it arrived.
        stage: Where it is.
        attempts: Attempts by number.
        has_unknown: Whether an attempt ended unknown.
        is_claimed: Whether it holds the claim of its key.
        claim_key: The key it claims, or empty.
        is_timeout_recorded: Whether a slow attempt of it was already counted.
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


class Due(msgspec.Struct, frozen=True, order=True):
    """When to look at a request again."""

    at_s: float
    request_id: str


class LatencyEstimate(msgspec.Struct):
    """Recent answer time of a service and its spread."""

    mean_s: float = 0
    deviation_s: float = 0
    samples: int = 0


class EntryState(msgspec.Struct):
    """State of one entry, changed in place.

    Attributes:
        name: Name of the entry.
        data_centre: Where it stands.
        generator: Source of tie-breaks, seeded by the process.
        retry_budget: Tokens for retries.
        configuration: The configuration in force.
        guards: Guards by worker.
        guards_by_service: The same by service.
        known: Guards that were ever heard and have not said goodbye; one
            that died is missing from a time line, not forgotten by it.
        pending: Requests without an outcome.
        due: When to look at requests, as a heap.
        in_flight: Requests in flight by service.
        team_in_flight: Requests in flight by service and team.
        team_buckets: Rate of each team.
        latencies: Recent answer times by service.
        policy: How guards are chosen.
        turn: Number of the next turn, for the baseline.
    """

    name: str
    data_centre: str
    generator: random.Random
    retry_budget: TokenBucket
    configuration: Configuration = msgspec.field(default_factory=Configuration)
    guards: dict[str, GuardView] = {}
    guards_by_service: dict[str, list[GuardView]] = {}
    known: set[str] = set()
    pending: dict[str, PendingRequest] = {}
    due: list[Due] = []
    in_flight: dict[str, int] = {}
    team_in_flight: dict[tuple[str, str], int] = {}
    team_buckets: dict[str, TokenBucket] = {}
    latencies: dict[str, LatencyEstimate] = {}
    policy: RoutingPolicy = RoutingPolicy.expected_time
    turn: int = 0
