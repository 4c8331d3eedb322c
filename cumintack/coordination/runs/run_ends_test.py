"""What one report tells of runs that were meant for a former life."""

import pytest

from cumintack.coordination.runs.run_ends import RunEndDetector
from cumintack.protocol.run_messages import (
    EndedRun,
    RunKey,
    RunningRun,
    RunReport,
    WorkerInfo,
)
from cumintack.state.resources import Resources
from cumintack.state.workflows import RunEndKind

KEY = RunKey('0123456789abcdef.0.0.1', 1)
FORMER = '000001.worker'
PRESENT = '000002.worker'


def _create_finder(
    running: tuple[RunningRun, ...] = (),
    ended: tuple[EndedRun, ...] = (),
) -> RunEndDetector:
    facts = WorkerInfo(
        'worker',
        PRESENT,
        'pool',
        'north-yard',
        Resources(32000, 128000),
        (),
    )
    return RunEndDetector(
        RunReport(
            0,
            1,
            facts,
            running,
            ended,
            (),
            is_looked=True,
            is_answering=True,
            is_gone=False,
            unsure_for_s=0,
        ),
    )


def test_run_of_a_former_life_is_lost() -> None:
    """What the present life does not show is over."""
    end = _create_finder().find(KEY, FORMER)
    assert end is not None
    assert end.kind is RunEndKind.lost


def test_late_start_that_runs_is_not_over() -> None:
    """The present life may carry out a start for its former."""
    row = RunningRun(KEY, '', 10, 0, has_details=False)
    assert _create_finder((row,)).find(KEY, FORMER) is None


@pytest.mark.parametrize('kind', ['done', 'failed', 'stopped'])
def test_late_start_ends_as_the_worker_lists(kind: str) -> None:
    """An end of it counts as it is, so that what is done stays done."""
    row = EndedRun(1, KEY, kind, 'saved')
    end = _create_finder((), (row,)).find(KEY, FORMER)
    assert end is not None
    assert end.kind.value == kind
    assert end.checkpoint == 'saved'
