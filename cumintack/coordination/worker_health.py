"""Health of workers by the failures of different jobs on them.

One job that fails may be at fault itself. Several different jobs that fail
on one worker, with no success between, speak against the worker: it is
quarantined, and comes back after a while that doubles each time.
"""

import msgspec

from cumintack.state.commands import MarkWorker
from cumintack.state.jobs import ReportKind, TaskReport
from cumintack.state.tables import ControlTables

FAILED_JOBS_LIMIT = 3
FIRST_QUARANTINE_S = 60.0
MAX_QUARANTINE_S = 3600.0


class FailureRecord(msgspec.Struct):
    """Failures of one worker.

    Attributes:
        jobs: Different jobs that failed since the last success.
        quarantine_s: Length of the next quarantine.
        release_at_s: When the quarantine ends, 0 if there is none.
    """

    jobs: set[str] = set()
    quarantine_s: float = FIRST_QUARANTINE_S
    release_at_s: float = 0


class WorkerHealth(msgspec.Struct):
    """Failures by worker."""

    records: dict[str, FailureRecord] = {}


def record_reports(
    health: WorkerHealth,
    tables: ControlTables,
    reports: list[TaskReport],
    now_s: float,
) -> None:
    """Take note of ends of attempts.

    Args:
        health: The failures so far, changed in place.
        tables: The replicated state.
        reports: New reports of workers.
        now_s: The time.
    """
    for report in reports:
        if report.kind is ReportKind.completed:
            record = health.records.get(report.worker)
            if record is not None and not record.release_at_s:
                health.records.pop(report.worker)
        elif report.kind is ReportKind.failed:
            record = health.records.setdefault(report.worker, FailureRecord())
            job_id = tables.tasks[report.task_id].job_id
            record.jobs.add(job_id)


def update_quarantine(
    health: WorkerHealth,
    tables: ControlTables,
    now_s: float,
) -> list[MarkWorker]:
    """Take the workers to quarantine and those to bring back.

    Args:
        health: The failures, changed in place.
        tables: The replicated state.
        now_s: The time.

    Returns:
        The marks to propose.
    """
    marks = []
    for name, record in health.records.items():
        worker = tables.workers.get(name)
        if worker is None:
            continue
        is_over = 0 < record.release_at_s <= now_s
        if is_over and worker.is_quarantined:
            marks.append(_release(name, record))
        elif not record.release_at_s and _is_suspect(record):
            marks.append(_quarantine(name, record, now_s))
    return marks


def _is_suspect(record: FailureRecord) -> bool:
    return len(record.jobs) >= FAILED_JOBS_LIMIT


def _release(name: str, record: FailureRecord) -> MarkWorker:
    record.release_at_s = 0
    record.jobs = set()
    return MarkWorker(name, is_quarantined=False)


def _quarantine(
    name: str,
    record: FailureRecord,
    now_s: float,
) -> MarkWorker:
    record.release_at_s = now_s + record.quarantine_s
    record.quarantine_s = min(MAX_QUARANTINE_S, record.quarantine_s * 2)
    return MarkWorker(name, is_quarantined=True)
