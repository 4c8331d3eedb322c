"""Evacuation of data centres on request of an operator.

Nothing is started in an evacuated data centre. Runs that their worker has
listed go on: the request is to send nothing more there, and a stop would lose
their work, or take a long-running task away from its users while the rest of
the fleet may have no room for it. A run that is recorded but not listed yet is
withdrawn, since its guard would go on repeating the start.
"""

from collections.abc import Iterable

from cumintack.coordination.runs.candidate_index import (
    CandidateIndex,
    mark_changed,
)
from cumintack.coordination.runs.worker_views import (
    PlacedRuns,
    WorkerView,
)
from cumintack.protocol.run_messages import RunKey
from cumintack.state.workflows import WorkflowTables, is_evacuated


def update_evacuated_workers(
    views: Iterable[WorkerView], index: CandidateIndex, tables: WorkflowTables
) -> None:
    """Take workers out of placement, or back into it, after a change.

    Args:
        views: The workers, changed in place.
        index: The index of the workers, changed in place.
        tables: The replicated workflow tables.
    """
    for view in views:
        is_now_evacuated = is_evacuated(tables, view.facts.data_centre)
        if view.is_evacuated is not is_now_evacuated:
            view.is_evacuated = is_now_evacuated
            mark_changed(index, view.guard)


def list_unstarted_runs(
    placed_runs: PlacedRuns, view: WorkerView
) -> list[RunKey]:
    """List the runs of an evacuated worker that it has never listed.

    Args:
        placed_runs: The recorded runs on the worker.
        view: The worker as last reported.

    Returns:
        The runs; empty while the guard has no list of the worker, which may
        then run any of them.
    """
    if not view.is_evacuated or not view.is_usable:
        return []
    return [
        placed.key
        for placed in placed_runs.values()
        if placed.key not in view.started_by_s
        and placed.record.lifetime == view.facts.lifetime
    ]
