"""Replicated commands and their outcomes.

A command with a session and a sequence number is applied at most once; a
repeated one returns the outcome of the first application.
"""

import msgspec

from cumintack.state.claims import Claim, RecordedAnswer
from cumintack.state.errors import StepError
from cumintack.state.jobs import JobSpec, Placement, TaskReport
from cumintack.state.resources import Resources
from cumintack.state.workers import WorkerSpec
from cumintack.state.workflows import SetEvacuation, WorkflowOperation

Setting = bool | int | float | str


class ConfigurationChange(msgspec.Struct, frozen=True):
    """A key to set; ``expected_version`` is 0 for a key that is not set."""

    key: str
    setting: Setting
    expected_version: int | None = None


class SetConfiguration(msgspec.Struct, frozen=True, tag=True):
    """Set configuration keys atomically."""

    changes: tuple[ConfigurationChange, ...]


class SetTeam(msgspec.Struct, frozen=True, tag=True):
    """Create or change a team with its quota and fair share."""

    name: str
    quota: Resources
    share: float = 1.0


class SubmitJob(msgspec.Struct, frozen=True, tag=True):
    """Submit a job."""

    spec: JobSpec


class CancelJobs(msgspec.Struct, frozen=True, tag=True):
    """Cancel several jobs with one command."""

    job_ids: tuple[str, ...]


class HoldJob(msgspec.Struct, frozen=True, tag=True):
    """Hold a job, so that its pending tasks are not placed, or release it."""

    job_id: str
    is_held: bool
    reason: str = ''


class RegisterWorkers(msgspec.Struct, frozen=True, tag=True):
    """Register workers with the specifications given by the platform."""

    workers: tuple[WorkerSpec, ...]


class MarkWorker(msgspec.Struct, frozen=True, tag=True):
    """Start or end draining or quarantining a worker."""

    name: str
    is_draining: bool | None = None
    is_quarantined: bool | None = None


class PlaceTasks(msgspec.Struct, frozen=True, tag=True):
    """Assign pending tasks to workers."""

    placements: tuple[Placement, ...]


class ReportTasks(msgspec.Struct, frozen=True, tag=True):
    """Record reports about attempts."""

    reports: tuple[TaskReport, ...]


class ClaimRequest(msgspec.Struct, frozen=True, tag=True):
    """Claim an idempotency key before the first dispatch."""

    claim_key: str
    request_id: str
    entry: str


class SettleClaim(msgspec.Struct, frozen=True, tag=True):
    """Record the outcome of a claimed request.

    Without an answer the outcome is unknown. If ``has_run`` is false, the
    request did not run and the key is released.
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
    | SetEvacuation
    | WorkflowOperation
)


class Command(msgspec.Struct, frozen=True):
    """An operation with the keys for deduplicating it.

    Attributes:
        session: The session of the sender; empty for an operation of which no
            copies are sent.
        sequence: Number within the session, starting at 1.
        author: Who requested it, for display.
        proposed_at_ms: Wall time at the leader, in ms since 1970.
        operation: The operation to apply.
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
        error: Why nothing was changed, None on success.
        names: Names of the objects created or changed.
        claim: The claim that holds the key, for ``ClaimRequest``.
    """

    index: int = 0
    error: StepError | None = None
    names: tuple[str, ...] = ()
    claim: Claim | None = None
