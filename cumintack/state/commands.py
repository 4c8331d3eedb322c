"""Replicated commands and their outcomes.

A command is applied at most once: it carries a session and a sequence, and
a repeated one gets the first outcome again.
"""

import msgspec

from cumintack.state.claims import Claim, RecordedAnswer
from cumintack.state.errors import StepError
from cumintack.state.jobs import JobSpec, Placement, TaskReport
from cumintack.state.resources import Resources
from cumintack.state.workers import WorkerSpec
from cumintack.state.workflows import WorkflowOperation

Setting = bool | int | float | str


class ConfigurationChange(msgspec.Struct, frozen=True):
    """One key to set; ``expected_version`` is 0 for a key not yet set."""

    key: str
    setting: Setting
    expected_version: int | None = None


class SetConfiguration(msgspec.Struct, frozen=True, tag=True):
    """Set some keys, all or none."""

    changes: tuple[ConfigurationChange, ...]


class SetTeam(msgspec.Struct, frozen=True, tag=True):
    """Create or change a team with its quota and its fair share."""

    name: str
    quota: Resources
    share: float = 1.0


class SubmitJob(msgspec.Struct, frozen=True, tag=True):
    """Submit a job."""

    spec: JobSpec


class CancelJobs(msgspec.Struct, frozen=True, tag=True):
    """Cancel jobs in one pass."""

    job_ids: tuple[str, ...]


class HoldJob(msgspec.Struct, frozen=True, tag=True):
    """Keep the pending tasks of a job from being placed, or release them."""

    job_id: str
    is_held: bool
    reason: str = ''


class RegisterWorkers(msgspec.Struct, frozen=True, tag=True):
    """Register workers as the platform describes them."""

    workers: tuple[WorkerSpec, ...]


class MarkWorker(msgspec.Struct, frozen=True, tag=True):
    """Drain or quarantine a worker, or end that."""

    name: str
    is_draining: bool | None = None
    is_quarantined: bool | None = None


class PlaceTasks(msgspec.Struct, frozen=True, tag=True):
    """Bind pending tasks to workers."""

    placements: tuple[Placement, ...]


class ReportTasks(msgspec.Struct, frozen=True, tag=True):
    """Record what happened to attempts."""

    reports: tuple[TaskReport, ...]


class ClaimRequest(msgspec.Struct, frozen=True, tag=True):
    """Claim an idempotency key before the first dispatch."""

    claim_key: str
    request_id: str
    entry: str


class SettleClaim(msgspec.Struct, frozen=True, tag=True):
    """Record how a claimed request ended.

    Without an answer the outcome is unknown, or, with ``has_run`` false, the
    request did not run and the key is free again.
    """

    claim_key: str
    request_id: str
    answer: RecordedAnswer | None = None
    has_run: bool = True


Operation = (
    SetConfiguration
    | SetTeam
    | SubmitJob
    | CancelJobs
    | HoldJob
    | RegisterWorkers
    | MarkWorker
    | PlaceTasks
    | ReportTasks
    | ClaimRequest
    | SettleClaim
    | WorkflowOperation
)


class Command(msgspec.Struct, frozen=True):
    """An operation with what makes it applicable at most once.

    Attributes:
        session: The session of the sender; empty for an operation that
            changes nothing when it is applied again.
        sequence: Number within the session, starting at 1.
        author: Who asked, for people.
        proposed_at_ms: Wall time at the leader, in ms since 1970.
        operation: What to do.
    """

    session: str
    sequence: int
    author: str
    proposed_at_ms: int
    operation: Operation


class Outcome(msgspec.Struct, frozen=True):
    """Outcome of a command.

    Attributes:
        index: Index of the log entry that first applied the command.
        error: Why nothing was changed, if so.
        names: Names of what was made or changed.
        claim: The claim that holds the key, for claim requests.
    """

    index: int = 0
    error: StepError | None = None
    names: tuple[str, ...] = ()
    claim: Claim | None = None
