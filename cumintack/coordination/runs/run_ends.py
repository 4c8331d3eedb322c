"""Detection of ended runs from a single report of a guard."""

from cumintack.protocol.run_messages import (
    LEASE_EXPIRED,
    WORKER_ENDED,
    RunKey,
    RunReport,
)
from cumintack.state.workflows import RunEnd, RunEndKind


def get_task_and_run(key: RunKey) -> tuple[str, int]:
    """Split the key of a run into its fields.

    Args:
        key: The key of the run.

    Returns:
        The task identifier and the run number.
    """
    return (key.task_id, key.run)


class RunEndDetector:
    """Detects the runs whose end follows from one report."""

    __slots__ = ('_closed_reasons', '_ended_by_key', '_running_keys', '_report')

    def __init__(self, report: RunReport) -> None:
        """Index the lists of the report by run."""
        self._report = report
        self._ended_by_key = {ended.key: ended for ended in report.ended}
        self._closed_reasons = {run.key: run.reason for run in report.closed}
        self._running_keys = {run.key for run in report.running}

    def find(self, key: RunKey, lifetime: str) -> RunEnd | None:
        """Return how a run on an incarnation of the worker ended, if it did."""
        reported = self._report.facts.lifetime
        if lifetime == reported:
            return self._find_in_same_incarnation(key)
        # A start in flight may have reached the new incarnation instead.
        if lifetime < reported and key in self._ended_by_key:
            return self._create_listed_end(key)
        if lifetime < reported and self._is_absent(key):
            return self._create_lost_end(key, lifetime)
        return None

    def _is_absent(self, key: RunKey) -> bool:
        """Return whether the reported incarnation certainly lacks a run.

        Nothing outlives the incarnation on which it runs. A poll is needed
        only for runs that the reported incarnation may have started.
        """
        if key in self._running_keys:
            return False
        is_listed_in_full = (
            self._report.is_looked and self._report.lists_all_ends
        )
        if is_listed_in_full or self._report.is_gone:
            return True
        possibly_started = self._report.possibly_started
        return possibly_started is not None and key not in possibly_started

    def _create_lost_end(self, key: RunKey, lifetime: str) -> RunEnd:
        """Create the end of a run whose incarnation of the worker is over."""
        loss = self._report.loss
        is_crash = loss is not None and loss.lifetime == lifetime
        kind = RunEndKind.crashed if is_crash else RunEndKind.lost
        return RunEnd(*get_task_and_run(key), kind)

    def _create_listed_end(self, key: RunKey) -> RunEnd:
        ended = self._ended_by_key[key]
        kind = RunEndKind(ended.kind)
        return RunEnd(*get_task_and_run(key), kind, ended.checkpoint)

    def _find_in_same_incarnation(self, key: RunKey) -> RunEnd | None:
        if key in self._ended_by_key:
            return self._create_listed_end(key)
        reason = self._closed_reasons.get(key)
        if self._report.is_gone or reason == WORKER_ENDED:
            return self._create_lost_end(key, self._report.facts.lifetime)
        if reason == LEASE_EXPIRED:
            return RunEnd(*get_task_and_run(key), RunEndKind.lost)
        if reason is not None:
            return RunEnd(*get_task_and_run(key), RunEndKind.refused)
        return None
