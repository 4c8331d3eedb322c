"""Each promise is shown to be caught by a history that breaks it."""

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


def _create_record(*, is_accepted: bool = True) -> oracle.Record:
    holds = {name: Resources(4000, 4000) for name in ('guard-1', 'guard-2')}
    record = oracle.Record(holds)
    workflow = oracle.SeenWorkflow(PROGRAM, STEPS, 2)
    oracle.take_submission(record, WORKFLOW, workflow)
    if is_accepted:
        oracle.take_answer(record, WORKFLOW, 200)
    return record


def _start(
    record: oracle.Record,
    task_id: str = FIRST,
    run: int = 1,
    worker: str = 'guard-1',
    checkpoint: str = '',
) -> None:
    started = (task_id, run, PROGRAM, checkpoint)
    oracle.take_start(record, worker, started, 100)


def _list_rules(record: oracle.Record) -> set[str]:
    return {violation.rule for violation in record.violations}


def _end(record: oracle.Record, kind: str, run: int = 1) -> None:
    oracle.take_end(record, FIRST, run, kind)


def test_good_history_is_good() -> None:
    """What the system should do breaks nothing."""
    record = _create_record()
    _start(record)
    _end(record, 'done')
    oracle.take_settled(record, FIRST, 1, 'done')
    _start(record, SECOND)
    oracle.take_end(record, SECOND, 1, 'done')
    oracle.take_status(record, WORKFLOW, 'completed')
    assert not oracle.judge_end(record)


def _run_side_by_side(record: oracle.Record) -> None:
    _start(record)
    _start(record, run=2, worker='guard-2')


def _run_after_settled(record: oracle.Record) -> None:
    _start(record)
    _end(record, 'done')
    oracle.take_settled(record, FIRST, 1, 'done')
    _start(record, run=2)


def _settle_after_restart(record: oracle.Record) -> None:
    _start(record)
    _end(record, 'done')
    _start(record, run=2)
    oracle.take_settled(record, FIRST, 1, 'done')


def _run_out_of_order(record: oracle.Record) -> None:
    _start(record, SECOND)


def _run_too_often(record: oracle.Record) -> None:
    for run in (1, 2, 3):
        _start(record, run=run)
        _end(record, 'failed', run)


def _run_too_much(record: oracle.Record) -> None:
    _start(record)
    other = 'fedcba9876543210'
    workflow = oracle.SeenWorkflow(PROGRAM, STEPS, 2)
    oracle.take_submission(record, other, workflow)
    _start(record, f'{other}.0.0.0')


def _run_unasked(record: oracle.Record) -> None:
    _start(record, 'fedcba9876543210.0.0.0')


def _run_with_foreign_checkpoint(record: oracle.Record) -> None:
    _start(record, checkpoint='of another task')


def _run_after_cancel(record: oracle.Record) -> None:
    record.workflows[WORKFLOW].cancelled_at_s = 1
    _start(record)


def _show_completed_early(record: oracle.Record) -> None:
    oracle.take_status(record, WORKFLOW, 'completed')


def _show_nothing(record: oracle.Record) -> None:
    oracle.take_status(record, WORKFLOW, 'gone')


def _show_failed(record: oracle.Record) -> None:
    oracle.take_status(record, WORKFLOW, 'failed')


def _read_old_version(record: oracle.Record) -> None:
    oracle.take_version_read(record, 5, 4)


@pytest.mark.parametrize(
    ('breaks', 'rule'),
    [
        (_run_side_by_side, 'twice'),
        (_run_after_settled, 'twice'),
        (_settle_after_restart, 'twice'),
        (_run_out_of_order, 'order'),
        (_run_too_often, 'budget'),
        (_run_too_much, 'limit'),
        (_run_unasked, 'unasked'),
        (_run_with_foreign_checkpoint, 'unasked'),
        (_run_after_cancel, 'unasked'),
        (_show_completed_early, 'mixed'),
        (_show_nothing, 'lost'),
        (_show_failed, 'lost'),
        (_read_old_version, 'config'),
    ],
)
def test_broken_promise_is_caught(
    breaks: Callable[[oracle.Record], None],
    rule: str,
) -> None:
    """The history breaks just the promise that it is meant to break."""
    record = _create_record()
    breaks(record)
    assert _list_rules(record) == {rule}


def test_open_workflow_is_lost_at_the_end() -> None:
    """What was accepted has to end."""
    record = _create_record()
    assert {seen.rule for seen in oracle.judge_end(record)} == {'lost'}


def test_refusal_that_runs_is_caught() -> None:
    """What was refused each time must not run."""
    record = _create_record(is_accepted=False)
    oracle.take_answer(record, WORKFLOW, 503)
    _start(record)
    assert {seen.rule for seen in oracle.judge_end(record)} == {'refused'}
