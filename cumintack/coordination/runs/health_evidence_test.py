"""Tests of workers that say that they are unhealthy, truly or not."""

import msgspec

from cumintack.coordination.runs.admission_advice import AdviceState
from cumintack.coordination.runs.candidate_index import (
    CandidateIndex,
    mark_changed,
)
from cumintack.coordination.runs.failure_tracking import (
    is_on_probation,
    record_failure,
)
from cumintack.coordination.runs.health_evidence import (
    UNHEALTHY_STALL_SHARE,
    record_health,
)
from cumintack.coordination.runs.interference_model import InterferenceModel
from cumintack.coordination.runs.placement import (
    SchedulingPass,
    place_waiting,
)
from cumintack.coordination.runs.run_reconciliation import (
    apply_orders,
    create_report,
    record_worker_info,
)
from cumintack.coordination.runs.stall_detection import (
    STALL_TIMEOUT_S,
    detect_stalled_runs,
)
from cumintack.coordination.runs.waiting.step_ranking import rank_waiting_steps
from cumintack.coordination.runs.unanswered_calls import (
    create_worker_run_state,
)
from cumintack.coordination.runs.worker_run_state import WorkerRunState
from cumintack.coordination.runs.worker_views import (
    WorkerView,
    is_schedulable,
    list_placed_runs,
)
from cumintack.protocol.run_messages import (
    RunKey,
    RunningRun,
    RunOrders,
    WorkerInfo,
)
from cumintack.state._workflow_transitions import apply_workflow_operation
from cumintack.state.queues import Pool, Queue, QueueConfiguration
from cumintack.state.resources import Resources
from cumintack.state.workflows import (
    AcceptWorkflow,
    RecordRuns,
    ReplaceQueues,
    RunStart,
    StepSpec,
    WorkflowSpec,
    WorkflowTables,
)

WORKFLOW_ID = '0123456789abcdef'
NEED = Resources(1000, 100)
HEALTHY = 'healthy'
UNHEALTHY = 'unhealthy'
PATH = '/health'


def _create_worker_info(name: str, lifetime: str = '1') -> WorkerInfo:
    return WorkerInfo(
        name, f'{lifetime}.{name}', 'pool', 'yard', Resources(4000, 400), ()
    )


def _create_view(name: str) -> WorkerView:
    return WorkerView(
        name,
        _create_worker_info(name),
        0,
        0,
        is_usable=True,
        is_unhealthy=name == UNHEALTHY,
    )


def _accept(task_count: int) -> WorkflowTables:
    tables = WorkflowTables()
    queue = Queue('queue', 'host', '/queue/', 'pool')
    step = StepSpec(task_count, NEED, 1000)
    path = f'/queue/{WORKFLOW_ID}'
    for operation in (
        ReplaceQueues(QueueConfiguration(1, (queue,), (Pool('pool'),))),
        AcceptWorkflow(
            WORKFLOW_ID, 'host', path, WorkflowSpec('text', (step,))
        ),
    ):
        apply_workflow_operation(tables, operation, 0)
    return tables


def _count_placed(task_count: int) -> dict[str, int]:
    """Place a step on two workers, and count its tasks on each."""
    tables = _accept(task_count)
    index = CandidateIndex()
    views = {name: _create_view(name) for name in (UNHEALTHY, HEALTHY)}
    for name in views:
        mark_changed(index, name)
    scheduling_pass = SchedulingPass(
        tables, views, index, {}, InterferenceModel(), AdviceState(), 0
    )
    starts = place_waiting(scheduling_pass, rank_waiting_steps({}, tables, 0))
    return {
        guard: sum(start.guard == guard for start in starts) for guard in views
    }


# Guards against tasks that go to a worker which may fail all that it runs while
# others have room, and against a false answer that takes away a worker.
def test_unhealthy_worker_gets_what_fits_nowhere_else() -> None:
    """Four tasks fit on each worker."""
    assert _count_placed(4) == {HEALTHY: 4, UNHEALTHY: 0}
    assert _count_placed(6) == {HEALTHY: 4, UNHEALTHY: 2}


# Guards against a second task that fails on a worker that has warned of it.
def test_one_failure_excludes_an_unhealthy_worker() -> None:
    """A healthy worker is excluded after two."""
    views = [_create_view(name) for name in (UNHEALTHY, HEALTHY)]
    for view in views:
        record_failure(view, 0)
    assert [is_schedulable(view, 0.1) for view in views] == [False, True]
    assert [is_on_probation(view, 0.1) for view in views] == [True, False]


# Guards against tasks that stand still for longer than needed to see it.
def test_unhealthy_worker_stalls_sooner() -> None:
    """Its progress is missing for more than half of the usual time."""
    tables = _accept(1)
    key = RunKey(f'{WORKFLOW_ID}.0.0.0', 1)
    elapsed_s = STALL_TIMEOUT_S * UNHEALTHY_STALL_SHARE + 0.1
    stalled = {}
    for name in (UNHEALTHY, HEALTHY):
        view = _create_view(name)
        apply_workflow_operation(tables, _start_on(view), 0)
        view.running = {key: RunningRun(key, '', 10, 0, has_details=True)}
        placed_runs = list_placed_runs(tables, name)
        detect_stalled_runs(placed_runs, view, 0)
        stalled[name] = detect_stalled_runs(placed_runs, view, elapsed_s)
        tables = _accept(1)
    assert stalled == {UNHEALTHY: [key], HEALTHY: []}


def _start_on(view: WorkerView) -> RecordRuns:
    task_id = f'{WORKFLOW_ID}.0.0.0'
    start = RunStart(task_id, 1, view.guard, view.facts.lifetime)
    return RecordRuns(starts=(start,))


# Guards against an answer that counts for the next incarnation, or goes on to
# count once the configuration has no health path any more.
def test_answer_counts_for_its_incarnation_and_while_it_is_probed() -> None:
    """The guard reports it until then."""
    state = create_worker_run_state(0, 8, 10)
    record_worker_info(state, _create_worker_info('worker'), 30)
    orders = RunOrders(
        1, 1, '1.worker', 30, 8, 0, (), (), fence=1, health_path=PATH
    )
    apply_orders(state, orders, 30)
    assert record_health(state, '1.worker', is_healthy=False)
    assert not record_health(state, '1.worker', is_healthy=False)
    assert _is_reported_unhealthy(state, 30.1)
    unprobed = msgspec.structs.replace(orders, number=2, health_path='')
    apply_orders(state, unprobed, 30.2)
    assert not _is_reported_unhealthy(state, 30.2)
    apply_orders(state, msgspec.structs.replace(orders, number=3), 30.3)
    record_health(state, '1.worker', is_healthy=False)
    record_worker_info(state, _create_worker_info('worker', '2'), 31)
    assert not _is_reported_unhealthy(state, 31)
    assert not record_health(state, '1.worker', is_healthy=False)


def _is_reported_unhealthy(state: WorkerRunState, now_s: float) -> bool:
    report = create_report(state, now_s)
    assert report is not None
    return report.is_unhealthy
