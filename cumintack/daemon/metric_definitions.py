"""Names of all metrics, with kind, unit and meaning.

One table, so that the reference page and the tests that hold it against the
code have one source.
"""

import msgspec


class MetricName(msgspec.Struct, frozen=True):
    """A metric.

    Attributes:
        name: Name below ``PREFIX.PROCESS``.
        kind: ``counter``, ``gauge``, ``timer`` or ``histogram``.
        unit: Unit of the number.
        meaning: One sentence.
    """

    name: str
    kind: str
    unit: str
    meaning: str


def _count(name: str, meaning: str) -> MetricName:
    return MetricName(name, 'counter', 'events', meaning)


METRIC_DEFINITIONS = (
    _count('advice.asked', 'Questions to the outside adviser of queues.'),
    _count('gate.unknown', 'Workflow calls whose outcome is not known.'),
    _count('guard.call-done', 'Calls to the worker that did what was asked.'),
    _count('guard.call-refused', 'Calls to the worker that it refused.'),
    _count('guard.call-unanswered', 'Calls to the worker without an answer.'),
    _count('guard.look-failed', 'Looks at the worker without an answer.'),
    _count('run.alone', 'Runs of gangs that waited for the others in vain.'),
    _count('run.broken', 'Runs that ended because another of the gang did.'),
    _count('run.done', 'Runs that did their work.'),
    _count('run.failed', 'Runs that failed.'),
    _count('run.lapsed', 'Runs whose lease ran out at the worker.'),
    _count('run.lost', 'Runs whose worker is gone or silent too long.'),
    _count('run.placed', 'Runs recorded with their worker.'),
    _count('run.refused', 'Runs that never started at their worker.'),
    _count('run.stopped', 'Runs that were stopped.'),
    _count('workflow.cancelled', 'Workflows cancelled.'),
    _count('workflow.handed-in', 'Workflows handed in, again or not.'),
    MetricName('gate.submit', 'histogram', 's', 'From an entry to a commit.'),
    MetricName('guard.call', 'histogram', 's', 'A call to the worker.'),
    _count('config.in_force', 'Configurations taken into force.'),
    _count('control.completed', 'Tasks completed.'),
    _count('control.failed', 'Attempts of tasks that failed.'),
    _count('control.lapsed', 'Leases that ran out.'),
    _count('control.leading', 'Terms in which the process led.'),
    _count('control.placed', 'Tasks placed on workers.'),
    _count('control.started', 'Attempts that started.'),
    _count('control.stop-requested', 'Evictions and drains asked for.'),
    _count('control.stopped', 'Attempts that stopped with a checkpoint.'),
    _count('control.vanished', 'Attempts that their worker lost.'),
    _count('control.write_failed', 'Writes that the disk refused.'),
    _count('entry.completed', 'Requests answered by an upstream.'),
    _count('entry.dispatched', 'Attempts sent to guards.'),
    _count('entry.ejected', 'Guards ejected as slow.'),
    _count('entry.guard_gone', 'Guards that left or fell silent.'),
    _count('entry.guard_joined', 'Guards heard for the first time.'),
    _count('entry.guard_leaving', 'Guards that said they leave.'),
    _count('entry.hedged', 'Second attempts of slow requests.'),
    _count('entry.late', 'Answers that came late or twice.'),
    _count('entry.mismatched', 'Answers from a guard that was not asked.'),
    _count('entry.not-run', 'Requests ended as not run after an attempt.'),
    _count('entry.refused', 'Requests refused on arrival.'),
    _count('entry.repeated', 'Keyed requests that found a claim.'),
    _count('entry.unknown', 'Requests ended as unknown.'),
    _count('guard.announced', 'Upstreams that came or changed.'),
    _count('guard.completed', 'Attempts answered by the upstream.'),
    _count('guard.late', 'Answers of the upstream after the deadline.'),
    _count('guard.leaving', 'Times that the upstream left.'),
    _count('guard.lost', 'Attempts lost on silent connections.'),
    _count('guard.not-run', 'Attempts refused or withdrawn.'),
    _count('guard.platform_failed', 'Calls to the agent that failed.'),
    _count('guard.started', 'Attempts handed to the upstream.'),
    _count('guard.unknown', 'Attempts whose end is unknown.'),
    MetricName('config.revision', 'gauge', 'revision', 'Revision in force.'),
    MetricName('guard.busy', 'gauge', 'slots', 'Slots in use.'),
    MetricName('guard.queued', 'gauge', 'requests', 'Requests waiting.'),
    MetricName('links.sent', 'gauge', 'messages', 'Messages sent.'),
    MetricName('links.received', 'gauge', 'messages', 'Messages received.'),
    MetricName('links.bytes_sent', 'gauge', 'bytes', 'Bytes sent.'),
    MetricName('links.bytes_received', 'gauge', 'bytes', 'Bytes received.'),
    MetricName('links.dropped', 'gauge', 'messages', 'Messages not sent.'),
    MetricName('links.malformed', 'gauge', 'messages', 'Messages dropped.'),
    MetricName('links.redialled', 'gauge', 'links', 'Silent links redialled.'),
    MetricName('entry.completed', 'timer', 'ms', 'Time of answered requests.'),
    MetricName('entry.not-run', 'timer', 'ms', 'Time of refused requests.'),
    MetricName('entry.unknown', 'timer', 'ms', 'Time of unknown requests.'),
    MetricName('guard.served', 'timer', 'ms', 'Time of the upstream.'),
)
