"""Which runs are over, as far as one report of a guard can tell."""

from cumintack.protocol.run_messages import LAPSED, RunKey, RunReport
from cumintack.state.workflows import RunEnd, RunEndKind


def get_task_and_run(key: RunKey) -> tuple[str, int]:
    """Split a run into its task and its number.

    Args:
        key: The run.

    Returns:
        The identifier of the task, and the number.
    """
    return (key.task_id, key.run)


class RunEndDetector:
    """Tells from one report which runs are over."""

    __slots__ = ('_closed_reasons', '_ended_by_key', '_running_keys', '_report')

    def __init__(self, report: RunReport) -> None:
        """Sort what the report lists."""
        self._report = report
        self._ended_by_key = {ended.key: ended for ended in report.ended}
        self._closed_reasons = {run.key: run.reason for run in report.closed}
        self._running_keys = {run.key for run in report.running}

    def find(self, key: RunKey, lifetime: str) -> RunEnd | None:
        """Return how a run on some life of the worker ended, if it did."""
        reported = self._report.facts.lifetime
        if lifetime == reported:
            return self._find_in_same_incarnation(key)
        # A start that was on its way may have reached the new life.
        if lifetime < reported and key in self._ended_by_key:
            return self._create_listed_end(key)
        is_absent = self._report.is_looked and key not in self._running_keys
        if lifetime < reported and is_absent:
            return RunEnd(*get_task_and_run(key), RunEndKind.lost)
        return None

    def _create_listed_end(self, key: RunKey) -> RunEnd:
        ended = self._ended_by_key[key]
        kind = RunEndKind(ended.kind)
        return RunEnd(*get_task_and_run(key), kind, ended.checkpoint)

    def _find_in_same_incarnation(self, key: RunKey) -> RunEnd | None:
        if key in self._ended_by_key:
            return self._create_listed_end(key)
        reason = self._closed_reasons.get(key)
        if self._report.is_gone or reason == LAPSED:
            return RunEnd(*get_task_and_run(key), RunEndKind.lost)
        if reason is not None:
            return RunEnd(*get_task_and_run(key), RunEndKind.refused)
        return None
