"""Quarantine of workers on which several different jobs fail.

A single failing job may be at fault itself. If several different jobs fail on
one worker without a success in between, the worker is the likely cause and is
quarantined. Each further quarantine without a success in between is twice as
long, up to a maximum.
"""

import msgspec

from cumintack.state.commands import MarkWorker
from cumintack.state.jobs import ReportKind, TaskReport
from cumintack.state.tables import ControlTables

FAILED_JOBS_LIMIT = 3
INITIAL_QUARANTINE_S = 60.0
MAX_QUARANTINE_S = 3600.0


class FailureRecord(msgspec.Struct):
    """Failures on one worker.

    Attributes:
        failed_jobs: Jobs that failed since the last success.
        next_quarantine_s: Length of the next quarantine.
        release_at_s: When the current quarantine ends, 0 if there is none.
    """

    failed_jobs: set[str] = set()
    next_quarantine_s: float = INITIAL_QUARANTINE_S
    release_at_s: float = 0


class WorkerHealth(msgspec.Struct):
    """Failure records of all workers, by worker name."""

    records: dict[str, FailureRecord] = {}


def record_reports(
    health: WorkerHealth,
    tables: ControlTables,
    reports: list[TaskReport],
    now_s: float,
) -> None:
    """Record completed and failed attempts.

    Args:
        health: The failure records, changed in place.
        tables: The replicated state.
        reports: New reports of workers.
        now_s: The current time.
    """
    for report in reports:
        if report.kind is ReportKind.completed:
            record = health.records.get(report.worker)
            if record is not None and not record.release_at_s:
                health.records.pop(report.worker)
        elif report.kind is ReportKind.failed:
            record = health.records.setdefault(report.worker, FailureRecord())
            job_id = tables.tasks[report.task_id].job_id
            record.failed_jobs.add(job_id)


def update_quarantine(
    health: WorkerHealth,
    tables: ControlTables,
    now_s: float,
) -> list[MarkWorker]:
    """Start quarantines that are due, and end those that are over.

    Args:
        health: The failure records, changed in place.
        tables: The replicated state.
        now_s: The current time.

    Returns:
        The operations to propose.
    """
    operations = []
    for name, record in health.records.items():
        worker = tables.workers.get(name)
        if worker is None:
            continue
        is_quarantine_over = 0 < record.release_at_s <= now_s
        if is_quarantine_over and worker.is_quarantined:
            operations.append(_release(name, record))
        elif not record.release_at_s and _has_too_many_failures(record):
            operations.append(_quarantine(name, record, now_s))
    return operations


def _has_too_many_failures(record: FailureRecord) -> bool:
    return len(record.failed_jobs) >= FAILED_JOBS_LIMIT


def _release(name: str, record: FailureRecord) -> MarkWorker:
    record.release_at_s = 0
    record.failed_jobs = set()
    return MarkWorker(name, is_quarantined=False)


def _quarantine(
    name: str,
    record: FailureRecord,
    now_s: float,
) -> MarkWorker:
    record.release_at_s = now_s + record.next_quarantine_s
    record.next_quarantine_s = min(
        MAX_QUARANTINE_S, record.next_quarantine_s * 2
    )
    return MarkWorker(name, is_quarantined=True)
