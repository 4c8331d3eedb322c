"""Admission control at a guard: slots, a short queue and attempt records.

Only the guard knows whether an attempt was forwarded to the upstream, so only
the guard decides that an attempt was not run. It keeps a record of every
attempt until no message about the attempt can still be in transit. Withdrawn
attempts are recorded too, since a dispatch may arrive after its withdrawal.
"""

import collections
import enum
import heapq

import msgspec

from cumintack.coordination.effects import (
    AttemptKey,
    Effect,
    ForwardRequest,
    RecordEvent,
    ResetConnections,
    Send,
    create_not_run_answer,
)
from cumintack.state.requests import (
    Answer,
    Dispatch,
    OutcomeKind,
    Request,
    Withdrawal,
)

# Weight of the latest sample in the moving average of the service time.
SERVICE_TIME_WEIGHT = 0.1
INITIAL_SERVICE_TIME_S = 0.005
# An attempt is compared with the report of the upstream only if it was
# forwarded longer ago than both this and this multiple of the service time.
MIN_RECONCILE_AGE_S = 0.3
RECONCILE_AGE_FACTOR = 2.0


class AdmissionSettings(msgspec.Struct, frozen=True):
    """Limits of a guard.

    Attributes:
        queue_per_slot: Maximum queue length, as a multiple of the slots.
        retention_s: How long the record of an ended attempt is kept.
        overdue_grace_s: How long past its deadline an attempt keeps its slot
            while the upstream has not answered.
    """

    queue_per_slot: float = 1.0
    retention_s: float = 120.0
    overdue_grace_s: float = 30.0


class AttemptStatus(enum.Enum):
    """State of an attempt at the guard.

    An ``overdue`` attempt was reported as unknown at its deadline, but still
    uses a slot, since the upstream may be working on it.
    """

    queued = 'queued'
    running = 'running'
    overdue = 'overdue'
    ended = 'ended'


class AttemptRecord(msgspec.Struct):
    """Record of an attempt at a guard.

    Attributes:
        key: Request identifier and attempt number.
        entry: The entry that sent the latest message about the attempt.
        status: State of the attempt.
        deadline_s: Deadline by the clock of the guard.
        request: The request, until it is forwarded.
        answer: The answer, once there is one.
        started_at_s: When the request was forwarded.
    """

    key: AttemptKey
    entry: str
    status: AttemptStatus
    deadline_s: float
    request: Request | None = None
    answer: Answer | None = None
    started_at_s: float = 0


class EndedAttempt(msgspec.Struct, frozen=True):
    """An ended attempt and the time until which its record is kept."""

    key: AttemptKey
    retain_until_s: float


class QueuedAttempt(msgspec.Struct, frozen=True, order=True):
    """An attempt in the queue, ordered by the earliest deadline."""

    deadline_s: float
    sequence: int
    key: AttemptKey


class Admission(msgspec.Struct):
    """State of the admission of one guard, changed in place.

    Attributes:
        settings: The limits.
        worker: Name of the worker.
        incarnation: Changes when the guard restarts.
        service: Service of the upstream, empty while there is none.
        slots: Concurrent requests that the upstream announced it can serve.
        busy: Slots in use by requests that this incarnation forwarded.
        inherited_busy: Most slots in use by requests that a previous
            incarnation of the guard forwarded; None until the upstream has
            reported how many requests it works on.
        is_leaving: Whether new attempts are refused.
        queue: Heap of queued attempts, with those withdrawn since.
        queued: Number of queued attempts that were not withdrawn.
        attempts: Records of attempts by key.
        ended: Ended attempts in the order in which they ended.
        running: Keys of the attempts that use a slot.
        service_time_s: Moving average of the upstream's time per request.
        last_sequence: Sequence number of the latest queued attempt.
    """

    settings: AdmissionSettings
    worker: str
    incarnation: str
    service: str = ''
    slots: int = 0
    busy: int = 0
    inherited_busy: int | None = None
    is_leaving: bool = False
    queue: list[QueuedAttempt] = []
    queued: int = 0
    attempts: dict[AttemptKey, AttemptRecord] = {}
    ended: collections.deque[EndedAttempt] = msgspec.field(
        default_factory=collections.deque,
    )
    running: set[AttemptKey] = set()
    service_time_s: float = INITIAL_SERVICE_TIME_S
    last_sequence: int = 0


def get_queue_limit(admission: Admission) -> int:
    """Get the maximum queue length.

    Args:
        admission: The admission state.

    Returns:
        At least one while there is an upstream, else zero.
    """
    limit = int(admission.slots * admission.settings.queue_per_slot)
    return max(1, limit) if admission.slots else 0


def register_upstream(admission: Admission, service: str, slots: int) -> None:
    """Register an upstream, or change its service and slots.

    Args:
        admission: The admission state.
        service: The service of the upstream.
        slots: Number of requests that it serves concurrently.
    """
    admission.service = service
    admission.slots = slots
    admission.is_leaving = False


def leave(admission: Admission, now_s: float) -> list[Effect]:
    """Refuse queued and new attempts; running ones continue.

    Args:
        admission: The admission state.
        now_s: The current time.

    Returns:
        The refusals of the queued attempts.
    """
    admission.is_leaving = True
    effects: list[Effect] = []
    for queued_attempt in sorted(admission.queue):
        record = admission.attempts[queued_attempt.key]
        if record.status is AttemptStatus.queued:
            effects.extend(_refuse(admission, record, 'leaving', now_s))
    admission.queue = []
    return effects


def is_idle(admission: Admission) -> bool:
    """Return whether no attempt is queued or running.

    Args:
        admission: The admission state.

    Returns:
        True if the process can stop without interrupting an attempt.
    """
    return not (admission.busy or admission.queued)


def handle_dispatch(
    admission: Admission,
    entry: str,
    dispatch: Dispatch,
    now_s: float,
) -> list[Effect]:
    """Start, queue or refuse an attempt.

    A repeated dispatch only resends the answer if there is one already.

    Args:
        admission: The admission state.
        entry: The entry that sent the dispatch.
        dispatch: The attempt.
        now_s: The current time.

    Returns:
        A request to forward, an answer, or nothing while the attempt is
        queued.
    """
    request = dispatch.request
    key = (request.request_id, dispatch.attempt)
    existing = admission.attempts.get(key)
    if existing is not None:
        existing.entry = entry
        return _resend_answer(existing)
    if dispatch.incarnation != admission.incarnation:
        return [
            Send(
                entry,
                Answer(
                    request.request_id,
                    dispatch.attempt,
                    admission.worker,
                    OutcomeKind.unknown,
                    'meant for an earlier incarnation of the guard',
                ),
            ),
        ]
    record = AttemptRecord(
        key,
        entry,
        AttemptStatus.queued,
        now_s + dispatch.remaining_s,
        request,
    )
    admission.attempts[key] = record
    reason = _find_refusal_reason(admission, request, dispatch.remaining_s)
    admission.queued += 1
    if reason:
        return _refuse(admission, record, reason, now_s)
    if _has_free_slot(admission):
        return _start(admission, record, now_s)
    admission.last_sequence += 1
    heapq.heappush(
        admission.queue,
        QueuedAttempt(record.deadline_s, admission.last_sequence, key),
    )
    return []


def _has_free_slot(admission: Admission) -> bool:
    return admission.busy + (admission.inherited_busy or 0) < admission.slots


def _resend_answer(record: AttemptRecord) -> list[Effect]:
    if record.answer is None:
        return []
    return [Send(record.entry, record.answer)]


def _find_refusal_reason(
    admission: Admission,
    request: Request,
    remaining_s: float,
) -> str:
    if admission.is_leaving or not admission.slots:
        return 'leaving' if admission.is_leaving else 'no upstream'
    if request.service != admission.service:
        return 'other service'
    if not _has_free_slot(admission):
        if admission.queued >= get_queue_limit(admission):
            return 'queue full'
        requests_per_slot = (admission.queued + 1) / admission.slots
        wait_s = requests_per_slot * admission.service_time_s
        if wait_s + admission.service_time_s > remaining_s:
            return 'deadline can not be met'
    if remaining_s <= 0:
        return 'deadline passed'
    return ''


def _refuse(
    admission: Admission,
    record: AttemptRecord,
    reason: str,
    now_s: float,
) -> list[Effect]:
    request_id, attempt = record.key
    admission.queued -= 1
    answer = create_not_run_answer(
        request_id, attempt, admission.worker, reason
    )
    return _end_attempt(admission, record, answer, now_s)


def _end_attempt(
    admission: Admission,
    record: AttemptRecord,
    answer: Answer,
    now_s: float,
) -> list[Effect]:
    record.status = AttemptStatus.ended
    record.request = None
    record.answer = msgspec.structs.replace(
        answer,
        queued=admission.queued,
        busy=admission.busy,
    )
    retain_until_s = (
        max(now_s, record.deadline_s) + admission.settings.retention_s
    )
    admission.ended.append(EndedAttempt(record.key, retain_until_s))
    return [
        Send(record.entry, record.answer),
        RecordEvent(f'guard.{answer.kind.value}', record.key[0], answer.reason),
    ]


def _start(
    admission: Admission,
    record: AttemptRecord,
    now_s: float,
) -> list[Effect]:
    request = record.request
    if request is None:
        return []
    admission.queued -= 1
    admission.busy += 1
    admission.running.add(record.key)
    record.status = AttemptStatus.running
    record.started_at_s = now_s
    record.request = None
    timeout_s = record.deadline_s - now_s + admission.settings.overdue_grace_s
    return [
        ForwardRequest(request, record.key[1], timeout_s),
        RecordEvent('guard.started', record.key[0]),
    ]


def handle_withdrawal(
    admission: Admission,
    entry: str,
    withdrawal: Withdrawal,
    now_s: float,
) -> list[Effect]:
    """Withdraw an attempt if it was not forwarded to the upstream.

    An attempt that has not arrived yet is recorded as withdrawn, so that its
    dispatch is refused if it arrives later. If that withdrawal is meant for
    an earlier incarnation of the guard, it gets no answer instead: this
    incarnation can't know whether the earlier one forwarded the attempt.

    Args:
        admission: The admission state.
        entry: The entry that sent the withdrawal.
        withdrawal: The attempt to withdraw.
        now_s: The current time.

    Returns:
        The answer to the attempt, if it has one now.
    """
    key = (withdrawal.request_id, withdrawal.attempt)
    record = admission.attempts.get(key)
    if record is not None:
        record.entry = entry
        if record.status is AttemptStatus.queued:
            return _refuse(admission, record, 'withdrawn', now_s)
        return _resend_answer(record)
    if withdrawal.incarnation != admission.incarnation:
        return []
    record = AttemptRecord(key, entry, AttemptStatus.queued, now_s)
    admission.attempts[key] = record
    admission.queued += 1
    return _refuse(admission, record, 'withdrawn', now_s)


def handle_upstream_answer(
    admission: Admission,
    answer: Answer,
    now_s: float,
) -> list[Effect]:
    """Handle the end of a forwarded attempt and start queued ones.

    Args:
        admission: The admission state.
        answer: How the attempt ended at the upstream.
        now_s: The current time.

    Returns:
        The answer for the entry, and queued requests to forward.
    """
    key = (answer.request_id, answer.attempt)
    if key not in admission.running:
        return []
    admission.running.discard(key)
    admission.busy -= 1
    record = admission.attempts[key]
    if answer.kind is OutcomeKind.completed:
        admission.service_time_s += SERVICE_TIME_WEIGHT * (
            answer.served_s - admission.service_time_s
        )
    effects: list[Effect] = []
    if record.status is AttemptStatus.running:
        effects.extend(_end_attempt(admission, record, answer, now_s))
    else:
        record.status = AttemptStatus.ended
        effects.append(RecordEvent('guard.late', key[0], answer.kind.value))
    effects.extend(_start_queued(admission, now_s))
    return effects


def _start_queued(admission: Admission, now_s: float) -> list[Effect]:
    effects: list[Effect] = []
    while admission.queue and _has_free_slot(admission):
        queued_attempt = heapq.heappop(admission.queue)
        record = admission.attempts[queued_attempt.key]
        if record.status is not AttemptStatus.queued:
            continue
        if queued_attempt.deadline_s - now_s < admission.service_time_s:
            effects.extend(
                _refuse(admission, record, 'deadline can not be met', now_s),
            )
            continue
        effects.extend(_start(admission, record, now_s))
    return effects


def handle_tick(admission: Admission, now_s: float) -> list[Effect]:
    """Refuse queued and report running attempts whose deadline passed.

    An overdue attempt is reported to its entry as unknown. It keeps its slot
    until the upstream answers, since the upstream may still be working on it.

    Args:
        admission: The admission state.
        now_s: The current time.

    Returns:
        The answers for the entries.
    """
    effects: list[Effect] = []
    while admission.queue and admission.queue[0].deadline_s <= now_s:
        queued_attempt = heapq.heappop(admission.queue)
        record = admission.attempts[queued_attempt.key]
        if record.status is AttemptStatus.queued:
            effects.extend(
                _refuse(admission, record, 'deadline passed', now_s),
            )
    for key in admission.running:
        record = admission.attempts[key]
        is_running = record.status is AttemptStatus.running
        if is_running and record.deadline_s <= now_s:
            effects.extend(_report_overdue(admission, record, now_s))
    _prune_ended(admission, now_s)
    return effects


def _report_overdue(
    admission: Admission,
    record: AttemptRecord,
    now_s: float,
) -> list[Effect]:
    request_id, attempt = record.key
    answer = Answer(
        request_id,
        attempt,
        admission.worker,
        OutcomeKind.unknown,
        'the upstream did not answer in time',
    )
    effects = _end_attempt(admission, record, answer, now_s)
    record.status = AttemptStatus.overdue
    return effects


def reconcile_busy(
    admission: Admission,
    busy: int,
    now_s: float,
) -> list[Effect]:
    """Compare the slots in use with the requests the upstream works on.

    A request that was forwarded some time ago and that the upstream does not
    count was sent over a connection that has gone silent. If the upstream
    works on no request at all, all these attempts are lost: they end as
    unknown and new connections are opened. If it works on fewer requests than
    slots are in use, only slots of overdue attempts are released.

    Args:
        admission: The admission state.
        busy: Number of requests that the upstream has received and not
            answered.
        now_s: The current time.

    Returns:
        Answers for lost attempts, and queued requests to forward.
    """
    _update_inherited_busy(admission, busy, now_s)
    min_age_s = max(
        MIN_RECONCILE_AGE_S, RECONCILE_AGE_FACTOR * admission.service_time_s
    )
    comparable = [
        key
        for key in admission.running
        if now_s - admission.attempts[key].started_at_s > min_age_s
    ]
    recent_count = admission.busy - len(comparable)
    missing_count = min(len(comparable), admission.busy - recent_count - busy)
    if missing_count <= 0:
        return _start_queued(admission, now_s)
    comparable.sort(key=lambda key: admission.attempts[key].started_at_s)
    effects: list[Effect] = []
    if busy:
        overdue = [
            key
            for key in comparable
            if admission.attempts[key].status is AttemptStatus.overdue
        ]
        lost = overdue[:missing_count]
    else:
        lost = comparable
        effects.append(ResetConnections())
    for key in lost:
        effects.extend(_end_lost_attempt(admission, key, now_s))
    effects.extend(_start_queued(admission, now_s))
    return effects


def _update_inherited_busy(
    admission: Admission, busy: int, now_s: float
) -> None:
    """Lower the bound on the slots that a previous incarnation still uses.

    Only attempts that were forwarded some time ago are certain to be among
    the requests that the upstream reports: a report may be older than the
    latest attempts.
    """
    counted = sum(
        now_s - admission.attempts[key].started_at_s > MIN_RECONCILE_AGE_S
        for key in admission.running
    )
    bound = max(0, busy - counted)
    if admission.inherited_busy is not None:
        bound = min(bound, admission.inherited_busy)
    admission.inherited_busy = bound


def _end_lost_attempt(
    admission: Admission,
    key: AttemptKey,
    now_s: float,
) -> list[Effect]:
    record = admission.attempts[key]
    admission.running.discard(key)
    admission.busy -= 1
    event = RecordEvent('guard.lost', key[0], 'the connection went silent')
    if record.status is not AttemptStatus.running:
        record.status = AttemptStatus.ended
        return [event]
    answer = Answer(
        key[0],
        key[1],
        admission.worker,
        OutcomeKind.unknown,
        'the connection to the upstream went silent',
    )
    return [*_end_attempt(admission, record, answer, now_s), event]


def _prune_ended(admission: Admission, now_s: float) -> None:
    ended = admission.ended
    while ended and ended[0].retain_until_s <= now_s:
        key = ended.popleft().key
        if key not in admission.running:
            admission.attempts.pop(key, None)
