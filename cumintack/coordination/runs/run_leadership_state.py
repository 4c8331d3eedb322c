"""Soft state of the leader about the workers and their runs."""

import msgspec

from cumintack.coordination.runs.admission_advice import AdviceState
from cumintack.coordination.runs.candidate_index import CandidateIndex
from cumintack.coordination.runs.crash_isolation import SeenLoss
from cumintack.coordination.runs.interference_model import InterferenceModel
from cumintack.coordination.runs.waiting.room_reservation import Reservations
from cumintack.coordination.runs.waiting.run_time_estimates import RunTimeModel
from cumintack.coordination.runs.waiting.step_ranking import CachedRank
from cumintack.coordination.runs.worker_views import WorkerView
from cumintack.protocol.run_messages import RunKey
from cumintack.state.workflows import RunStart, StepKey


class RunSettings(msgspec.Struct, frozen=True):
    """Durations of the leases of workers.

    Attributes:
        lease_s: Duration of a lease.
        previous_leader_grant_s: How long a previous leader may still grant
            leases after this one began to lead.
        is_ordered_by_work: Whether waiting steps are placed in the order of
            their remaining work, not of their due times.
        is_packed: Whether tasks are packed into the smallest gaps, and room is
            kept for waiting tasks that fit nowhere.
    """

    lease_s: float
    previous_leader_grant_s: float
    is_ordered_by_work: bool = False
    is_packed: bool = False


class RunLeadership(msgspec.Struct):
    """Soft state of the leader about the workers and their runs.

    Attributes:
        settings: Durations of leases.
        term: The term of this leader.
        leading_since_s: When this leader began to lead.
        views: The workers, by name of their guard.
        orders_number: Number of the latest orders in this term.
        fence_count: Number of the latest fence given to a guard in this term.
        proposed_ends: Guards of the runs whose end is proposed and not applied
            yet.
        proposed_starts: Starts proposed and not applied yet, by task.
        unrecorded_workflows: Workflows of which a run has begun, to be
            recorded with the next operation.
        proposed_workflows: Those proposed and not applied yet.
        stop_reasons: Runs that are stopped in order to be placed elsewhere,
            each with the reason.
        needs_pass: Whether a scheduling pass could place something new.
        pass_at_s: When the next scheduling pass may run.
        sweep_at_s: When the next check for silent workers is due.
        guards_to_update: Names of guards that need new orders.
        late_calls_until_s: Until when calls that workers left unanswered may
            take effect.
        interference: The interference model of pairs of images.
        advice: The advice received from the external adviser.
        index: The usage of the workers, and the best ones by kind of task.
        cached_ranks: The ranks of waiting steps.
        migrated_at_s: When each task was last migrated.
        reserved_guards: Guards of the workers on which places are reserved,
            by the task that is being migrated.
        losses: The latest unplanned loss of each worker, by guard.
        run_times: Estimates of run times.
        reservations: Room that is kept for waiting tasks.
        reserve_at_s: When the reservations are next decided.
    """

    settings: RunSettings
    term: int
    leading_since_s: float
    views: dict[str, WorkerView] = {}
    orders_number: int = 0
    fence_count: int = 0
    proposed_ends: dict[RunKey, str] = {}
    proposed_starts: dict[str, RunStart] = {}
    unrecorded_workflows: dict[str, None] = {}
    proposed_workflows: dict[str, None] = {}
    stop_reasons: dict[RunKey, str] = {}
    needs_pass: bool = True
    pass_at_s: float = 0
    sweep_at_s: float = 0
    guards_to_update: dict[str, None] = {}
    late_calls_until_s: float = float('-inf')
    interference: InterferenceModel = msgspec.field(
        default_factory=InterferenceModel
    )
    advice: AdviceState = msgspec.field(default_factory=AdviceState)
    index: CandidateIndex = msgspec.field(default_factory=CandidateIndex)
    cached_ranks: dict[StepKey, CachedRank] = {}
    migrated_at_s: dict[str, float] = {}
    reserved_guards: dict[str, str] = {}
    losses: dict[str, SeenLoss] = {}
    run_times: RunTimeModel = msgspec.field(default_factory=RunTimeModel)
    reservations: Reservations = {}
    reserve_at_s: float = 0
