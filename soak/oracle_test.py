"""For each invariant, the oracle detects a history that violates it."""

from collections.abc import Callable

import pytest

from cumintack.state.resources import Resources
from cumintack.state.workflows import StepSpec
from soak import oracle

WORKFLOW = '0123456789abcdef'
FIRST = f'{WORKFLOW}.0.0.0'
SECOND = f'{WORKFLOW}.0.1.0'
PROGRAM = 'text'
NEED = Resources(3000, 1000)
STEPS = (StepSpec(1, NEED), StepSpec(1, NEED, depends_on=(0,)))


def _create_history(*, is_accepted: bool = True) -> oracle.History:
    capacities = {
        name: Resources(4000, 4000) for name in ('guard-1', 'guard-2')
    }
    history = oracle.History(capacities)
    workflow = oracle.ObservedWorkflow(PROGRAM, STEPS, 2)
    oracle.record_submission(history, WORKFLOW, workflow)
    if is_accepted:
        oracle.record_answer(history, WORKFLOW, 200)
    return history


def _start(
    history: oracle.History,
    task_id: str = FIRST,
    run: int = 1,
    worker: str = 'guard-1',
    checkpoint: str = '',
) -> None:
    started = (task_id, run, PROGRAM, checkpoint)
    oracle.record_start(history, worker, started, 100)


def test_start_after_an_evacuation_is_detected() -> None:
    """Only in the evacuated data centre, and only a while after the request."""
    for now_s, rules in ((110, set()), (160, {'evacuation'})):
        history = _create_history()
        history.data_centres['guard-1'] = 'south-yard'
        history.evacuated_since_s['south-yard'] = 100
        started = (FIRST, 1, PROGRAM, '')
        oracle.record_start(history, 'guard-1', started, now_s)
        assert _list_rules(history) == rules
        oracle.record_start(history, 'guard-2', (FIRST, 2, PROGRAM, ''), now_s)
        assert _list_rules(history) == rules | {'twice'}


def _list_rules(history: oracle.History) -> set[str]:
    return {violation.rule for violation in history.violations}


def _end(history: oracle.History, kind: str, run: int = 1) -> None:
    oracle.record_end(history, FIRST, run, kind)


def test_correct_history_has_no_violations() -> None:
    """A correct history violates no invariant."""
    history = _create_history()
    _start(history)
    _end(history, 'done')
    oracle.record_acknowledged_end(history, FIRST, 1, 'done')
    _start(history, SECOND)
    oracle.record_end(history, SECOND, 1, 'done')
    oracle.record_status(history, WORKFLOW, 'completed')
    assert not oracle.check_final_state(history)


def _run_concurrently(history: oracle.History) -> None:
    _start(history)
    _start(history, run=2, worker='guard-2')


def _run_after_acknowledged_end(history: oracle.History) -> None:
    _start(history)
    _end(history, 'done')
    oracle.record_acknowledged_end(history, FIRST, 1, 'done')
    _start(history, run=2)


def _acknowledge_after_restart(history: oracle.History) -> None:
    _start(history)
    _end(history, 'done')
    _start(history, run=2)
    oracle.record_acknowledged_end(history, FIRST, 1, 'done')


def _run_out_of_order(history: oracle.History) -> None:
    _start(history, SECOND)


def _exceed_attempts(history: oracle.History) -> None:
    for run in (1, 2, 3):
        _start(history, run=run)
        _end(history, 'failed', run)


def _exceed_capacity(history: oracle.History) -> None:
    _start(history)
    other = 'fedcba9876543210'
    workflow = oracle.ObservedWorkflow(PROGRAM, STEPS, 2)
    oracle.record_submission(history, other, workflow)
    _start(history, f'{other}.0.0.0')


def _run_unsubmitted(history: oracle.History) -> None:
    _start(history, 'fedcba9876543210.0.0.0')


def _run_with_foreign_checkpoint(history: oracle.History) -> None:
    _start(history, checkpoint='of another task')


def _run_after_cancel(history: oracle.History) -> None:
    history.workflows[WORKFLOW].cancelled_at_s = 1
    _start(history)


def _report_completed_early(history: oracle.History) -> None:
    oracle.record_status(history, WORKFLOW, 'completed')


def _report_unknown(history: oracle.History) -> None:
    oracle.record_status(history, WORKFLOW, 'gone')


def _report_failed(history: oracle.History) -> None:
    oracle.record_status(history, WORKFLOW, 'failed')


def _read_old_version(history: oracle.History) -> None:
    oracle.record_version_read(history, 5, 4)


@pytest.mark.parametrize(
    ('breaks', 'rule'),
    [
        (_run_concurrently, 'twice'),
        (_run_after_acknowledged_end, 'twice'),
        (_acknowledge_after_restart, 'twice'),
        (_run_out_of_order, 'order'),
        (_exceed_attempts, 'budget'),
        (_exceed_capacity, 'limit'),
        (_run_unsubmitted, 'unasked'),
        (_run_with_foreign_checkpoint, 'unasked'),
        (_run_after_cancel, 'unasked'),
        (_report_completed_early, 'mixed'),
        (_report_unknown, 'lost'),
        (_report_failed, 'lost'),
        (_read_old_version, 'config'),
    ],
)
def test_violated_invariant_is_detected(
    breaks: Callable[[oracle.History], None],
    rule: str,
) -> None:
    """The history violates exactly the invariant given."""
    history = _create_history()
    breaks(history)
    assert _list_rules(history) == {rule}


def test_pending_workflow_is_lost_at_the_end() -> None:
    """An accepted workflow that never ends is a violation."""
    history = _create_history()
    assert {
        violation.rule for violation in oracle.check_final_state(history)
    } == {'lost'}


def test_refused_workflow_that_runs_is_detected() -> None:
    """A workflow of which every submission was refused must not run."""
    history = _create_history(is_accepted=False)
    oracle.record_answer(history, WORKFLOW, 503)
    _start(history)
    assert {
        violation.rule for violation in oracle.check_final_state(history)
    } == {'refused'}
