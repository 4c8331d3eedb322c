"""Definitions of all metrics: name, kind, unit and meaning.

The reference page is generated from this table, and a test checks that each
counter in the code is listed.
"""

import msgspec


class MetricName(msgspec.Struct, frozen=True):
    """The definition of a metric.

    Attributes:
        name: Name after ``PREFIX.PROCESS``.
        kind: ``counter``, ``gauge``, ``timer`` or ``histogram``.
        unit: Unit of its values.
        meaning: Description for the reference page.
    """

    name: str
    kind: str
    unit: str
    meaning: str


def _count(name: str, meaning: str) -> MetricName:
    return MetricName(name, 'counter', 'events', meaning)


METRIC_DEFINITIONS = (
    _count('advice.asked', 'Advice requests to the external adviser.'),
    _count('evacuation.begun', 'Requests to begin an evacuation.'),
    _count('evacuation.ended', 'Requests to end an evacuation.'),
    _count('gate.unknown', 'Workflow calls with unknown outcome.'),
    _count('guard.call-done', 'Calls to the worker that succeeded.'),
    _count('guard.call-refused', 'Calls that the worker refused.'),
    _count('guard.call-unanswered', 'Calls that the worker did not answer.'),
    _count('guard.call-withdrawn', 'Calls that were no longer due when sent.'),
    _count('guard.health-bad', 'Health probes answered as unhealthy.'),
    _count('guard.list-cut', 'Polls that leave out ends of runs.'),
    _count('guard.look-failed', 'Polls of the worker without an answer.'),
    _count('run.alone', 'Gang runs whose peers did not start in time.'),
    _count('run.broken', 'Runs stopped because another of their gang ended.'),
    _count('run.crashed', 'Runs whose worker crashed.'),
    _count('run.done', 'Runs that completed.'),
    _count('run.failed', 'Runs that failed.'),
    _count('run.lapsed', 'Runs whose lease expired at the worker.'),
    _count('run.lost', 'Runs whose worker left or was silent too long.'),
    _count('run.placed', 'Runs assigned to a worker.'),
    _count('run.refused', 'Runs that did not start at their worker.'),
    _count('run.stopped', 'Runs that were stopped.'),
    _count('placement.room-reserved', 'Steps for which room was kept.'),
    _count('run-time.learned', 'Steps whose run time was first observed.'),
    _count('workflow.cancelled', 'Workflows cancelled.'),
    _count(
        'workflow.handed-in', 'Workflows submitted, including resubmissions.'
    ),
    MetricName(
        'gate.submit',
        'histogram',
        's',
        'Time to commit an operation, at the entry.',
    ),
    MetricName('guard.call', 'histogram', 's', 'Time of a call to the worker.'),
    _count('config.in_force', 'Configuration changes applied.'),
    _count('control.completed', 'Tasks completed.'),
    _count('control.failed', 'Task attempts that failed.'),
    _count('control.lapsed', 'Leases that expired.'),
    _count('control.leading', 'Times that the process became leader.'),
    _count('control.placed', 'Tasks placed on workers.'),
    _count('control.started', 'Task attempts that started.'),
    _count(
        'control.stop-requested', 'Stops requested by evictions and drains.'
    ),
    _count('control.stopped', 'Task attempts stopped with a checkpoint.'),
    _count('control.vanished', 'Task attempts missing at their worker.'),
    _count('control.write_failed', 'Failed writes to the data folder.'),
    _count('entry.completed', 'Requests answered by an upstream.'),
    _count('entry.dispatched', 'Attempts dispatched to guards.'),
    _count('entry.ejected', 'Guards ejected by outlier detection.'),
    _count('entry.guard_gone', 'Guards removed after leaving or silence.'),
    _count('entry.guard_joined', 'Guards added after their first status.'),
    _count('entry.guard_leaving', 'Guards that announced that they leave.'),
    _count('entry.hedged', 'Hedged attempts for slow requests.'),
    _count('entry.late', 'Late or duplicate answers.'),
    _count('entry.mismatched', 'Answers from a guard that was not asked.'),
    _count('entry.not-run', 'Requests ended as not run after an attempt.'),
    _count('entry.refused', 'Requests rejected on arrival.'),
    _count('entry.repeated', 'Requests with a claimed idempotency key.'),
    _count('entry.unknown', 'Requests that ended with unknown outcome.'),
    _count('guard.announced', 'Upstream announcements that changed.'),
    _count('guard.completed', 'Attempts answered by the upstream.'),
    _count('guard.late', 'Answers of the upstream after the deadline.'),
    _count('guard.leaving', 'Times that the upstream started to leave.'),
    _count('guard.lost', 'Attempts lost on silent connections.'),
    _count('guard.not-run', 'Attempts refused or withdrawn.'),
    _count('guard.platform_failed', 'Calls to the agent that failed.'),
    _count('guard.started', 'Attempts sent to the upstream.'),
    _count('guard.unknown', 'Attempts with unknown outcome.'),
    _count('node.late-proposal', 'Proposals dropped because of their age.'),
    _count('node.pause', 'Times that the process stood still.'),
    _count('node.foreign-answer', 'Answers to calls of former processes.'),
    MetricName('config.revision', 'gauge', 'revision', 'Revision in use.'),
    MetricName('guard.busy', 'gauge', 'slots', 'Slots in use.'),
    MetricName('guard.queued', 'gauge', 'requests', 'Requests waiting.'),
    MetricName('links.sent', 'gauge', 'messages', 'Messages sent.'),
    MetricName('links.received', 'gauge', 'messages', 'Messages received.'),
    MetricName('links.bytes_sent', 'gauge', 'bytes', 'Bytes sent.'),
    MetricName('links.bytes_received', 'gauge', 'bytes', 'Bytes received.'),
    MetricName('links.dropped', 'gauge', 'messages', 'Messages not sent.'),
    MetricName(
        'links.malformed', 'gauge', 'messages', 'Malformed messages dropped.'
    ),
    MetricName(
        'links.redialled', 'gauge', 'links', 'Silent links reconnected.'
    ),
    MetricName('entry.completed', 'timer', 'ms', 'Time of answered requests.'),
    MetricName(
        'entry.not-run', 'timer', 'ms', 'Time of requests that were not run.'
    ),
    MetricName(
        'entry.unknown', 'timer', 'ms', 'Time of requests with unknown outcome.'
    ),
    MetricName('guard.served', 'timer', 'ms', 'Service time of the upstream.'),
)
