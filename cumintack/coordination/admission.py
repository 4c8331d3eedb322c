"""Admission at a guard: slots, a short queue, and memory of attempts.

The guard is the one place that knows whether an attempt was handed to the
upstream, so the promise of "not run" is made here and nowhere else. Each
attempt it has seen is remembered until no message about it can still be on
its way, withdrawn ones as well: a dispatch may arrive after its withdrawal.
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

SERVICE_TIME_WEIGHT = 0.1
FIRST_SERVICE_TIME_S = 0.005
SETTLED_S = 0.3
SETTLED_FACTOR = 2.0


class AdmissionSettings(msgspec.Struct, frozen=True):
    """Limits of a guard.

    Attributes:
        queue_per_slot: Requests kept waiting, as a multiple of the slots.
        memory_s: How long an ended attempt is remembered.
        patience_s: How long past its deadline an attempt keeps its slot
            while the upstream has not answered.
    """

    queue_per_slot: float = 1.0
    memory_s: float = 120.0
    patience_s: float = 30.0


class AttemptStatus(enum.Enum):
    """Where an attempt is."""

    queued = 'queued'
    running = 'running'
    overdue = 'overdue'
    ended = 'ended'


class AttemptRecord(msgspec.Struct):
    """What a guard remembers of an attempt.

    Attributes:
        key: Request and attempt.
        entry: The entry that asked last.
        status: Where the attempt is.
        deadline_s: When its time is over, by the clock of the guard.
        request: The request, until it is handed over.
        answer: The answer, once there is one.
        started_at_s: When it was handed over.
    """

    key: AttemptKey
    entry: str
    status: AttemptStatus
    deadline_s: float
    request: Request | None = None
    answer: Answer | None = None
    started_at_s: float = 0


class Ended(msgspec.Struct, frozen=True):
    """When an attempt ended, in the order in which attempts ended."""

    key: AttemptKey
    forget_at_s: float


class Queued(msgspec.Struct, frozen=True, order=True):
    """Place of an attempt in the queue, earliest deadline first."""

    deadline_s: float
    number: int
    key: AttemptKey


class Admission(msgspec.Struct):
    """State of the admission of one guard, changed in place.

    Attributes:
        settings: The limits.
        worker: Name of the worker.
        incarnation: Changes when the guard restarts.
        service: Service of the upstream, empty while there is none.
        slots: Slots announced.
        busy: Slots in use.
        foreign: Slots in use by requests that this incarnation did not hand
            over: those of a former one, as announced by the upstream.
        is_leaving: Whether new work is refused.
        queue: Waiting attempts as a heap.
        queued: Number of waiting attempts that were not withdrawn.
        attempts: Attempts by key.
        ended: Ended attempts in order.
        running: Keys of the attempts that use a slot.
        service_time_s: Recent time of the upstream for one request.
        numbers: Numbers given to queued attempts so far.
    """

    settings: AdmissionSettings
    worker: str
    incarnation: str
    service: str = ''
    slots: int = 0
    busy: int = 0
    foreign: int = 0
    is_leaving: bool = False
    queue: list[Queued] = []
    queued: int = 0
    attempts: dict[AttemptKey, AttemptRecord] = {}
    ended: collections.deque[Ended] = msgspec.field(
        default_factory=collections.deque,
    )
    running: set[AttemptKey] = set()
    service_time_s: float = FIRST_SERVICE_TIME_S
    numbers: int = 0


def get_queue_limit(admission: Admission) -> int:
    """Get the number of requests that may wait.

    Args:
        admission: The state.

    Returns:
        At least one while there is an upstream.
    """
    limit = int(admission.slots * admission.settings.queue_per_slot)
    return max(1, limit) if admission.slots else 0


def announce(admission: Admission, service: str, slots: int) -> None:
    """Take an upstream into service, or change its slots.

    Args:
        admission: The state.
        service: Its service.
        slots: Requests that it serves at once.
    """
    admission.service = service
    admission.slots = slots
    admission.is_leaving = False


def leave(admission: Admission, now_s: float) -> list[Effect]:
    """Refuse new work and what waits; what runs goes on.

    Args:
        admission: The state.
        now_s: The time.

    Returns:
        The refusals.
    """
    admission.is_leaving = True
    effects: list[Effect] = []
    for place in sorted(admission.queue):
        record = admission.attempts[place.key]
        if record.status is AttemptStatus.queued:
            effects.extend(_refuse(admission, record, 'leaving', now_s))
    admission.queue = []
    return effects


def is_idle(admission: Admission) -> bool:
    """Tell whether nothing waits or runs.

    Args:
        admission: The state.

    Returns:
        True if the process may stop without cutting anything off.
    """
    return not (admission.busy or admission.queued)


def handle_dispatch(
    admission: Admission,
    entry: str,
    dispatch: Dispatch,
    now_s: float,
) -> list[Effect]:
    """Admit, queue or refuse an attempt; a repeated one changes nothing.

    Args:
        admission: The state.
        entry: The entry that asks.
        dispatch: The attempt.
        now_s: The time.

    Returns:
        A hand-over, an answer, or nothing while it waits.
    """
    request = dispatch.request
    key = (request.request_id, dispatch.attempt)
    known = admission.attempts.get(key)
    if known is not None:
        known.entry = entry
        return _repeat_answer(known)
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
    reason = _find_refusal(admission, request, dispatch.remaining_s)
    admission.queued += 1
    if reason:
        return _refuse(admission, record, reason, now_s)
    if _has_room(admission):
        return _start(admission, record, now_s)
    admission.numbers += 1
    heapq.heappush(
        admission.queue,
        Queued(record.deadline_s, admission.numbers, key),
    )
    return []


def _has_room(admission: Admission) -> bool:
    return admission.busy + admission.foreign < admission.slots


def _repeat_answer(record: AttemptRecord) -> list[Effect]:
    if record.answer is None:
        return []
    return [Send(record.entry, record.answer)]


def _find_refusal(
    admission: Admission,
    request: Request,
    remaining_s: float,
) -> str:
    if admission.is_leaving or not admission.slots:
        return 'leaving' if admission.is_leaving else 'no upstream'
    if request.service != admission.service:
        return 'other service'
    if not _has_room(admission):
        if admission.queued >= get_queue_limit(admission):
            return 'queue full'
        rounds = (admission.queued + 1) / admission.slots
        wait_s = rounds * admission.service_time_s
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
    return _end(admission, record, answer, now_s)


def _end(
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
    forget_at_s = max(now_s, record.deadline_s) + admission.settings.memory_s
    admission.ended.append(Ended(record.key, forget_at_s))
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
    timeout_s = record.deadline_s - now_s + admission.settings.patience_s
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
    """Withdraw an attempt if it was not handed over.

    An attempt not seen yet is remembered as withdrawn, so that its dispatch,
    should it arrive later, is refused as well. A guard that restarted can't
    know what its former incarnation did and promises nothing.

    Args:
        admission: The state.
        entry: The entry that asks.
        withdrawal: The attempt.
        now_s: The time.

    Returns:
        The answer of the attempt if it has one now.
    """
    key = (withdrawal.request_id, withdrawal.attempt)
    record = admission.attempts.get(key)
    if record is not None:
        record.entry = entry
        if record.status is AttemptStatus.queued:
            return _refuse(admission, record, 'withdrawn', now_s)
        return _repeat_answer(record)
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
    """Take the end of a handed-over attempt and start the next one.

    Args:
        admission: The state.
        answer: How the attempt ended at the upstream.
        now_s: The time.

    Returns:
        The answer for the entry and hand-overs of waiting attempts.
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
        effects.extend(_end(admission, record, answer, now_s))
    else:
        record.status = AttemptStatus.ended
        effects.append(RecordEvent('guard.late', key[0], answer.kind.value))
    effects.extend(_start_waiting(admission, now_s))
    return effects


def _start_waiting(admission: Admission, now_s: float) -> list[Effect]:
    effects: list[Effect] = []
    while admission.queue and _has_room(admission):
        place = heapq.heappop(admission.queue)
        record = admission.attempts[place.key]
        if record.status is not AttemptStatus.queued:
            continue
        if place.deadline_s - now_s < admission.service_time_s:
            effects.extend(
                _refuse(admission, record, 'deadline can not be met', now_s),
            )
            continue
        effects.extend(_start(admission, record, now_s))
    return effects


def handle_tick(admission: Admission, now_s: float) -> list[Effect]:
    """Let time pass: refuse what waited too long, report what is overdue.

    An overdue attempt is unknown to its entry, but it keeps its slot until
    the upstream answers, since the upstream may still be working on it.

    Args:
        admission: The state.
        now_s: The time.

    Returns:
        The answers.
    """
    effects: list[Effect] = []
    while admission.queue and admission.queue[0].deadline_s <= now_s:
        place = heapq.heappop(admission.queue)
        record = admission.attempts[place.key]
        if record.status is AttemptStatus.queued:
            effects.extend(
                _refuse(admission, record, 'deadline passed', now_s),
            )
    for key in admission.running:
        record = admission.attempts[key]
        is_running = record.status is AttemptStatus.running
        if is_running and record.deadline_s <= now_s:
            effects.extend(_report_overdue(admission, record, now_s))
    _forget_old(admission, now_s)
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
    effects = _end(admission, record, answer, now_s)
    record.status = AttemptStatus.overdue
    return effects


def reconcile_busy(
    admission: Admission,
    busy: int,
    now_s: float,
) -> list[Effect]:
    """Compare the slots in use with what the upstream says it works on.

    A request that was handed over a while ago and that the upstream does not
    know sits on a connection that went silent. If none of the older ones is
    known there, all are lost: they end as unknown and fresh connections are
    opened. If only some are, slots of overdue attempts are given back.

    Args:
        admission: The state.
        busy: Requests that the upstream has received and not answered.
        now_s: The time.

    Returns:
        Answers for lost attempts, hand-overs of waiting ones.
    """
    admission.foreign = max(0, busy - admission.busy)
    settled_s = max(SETTLED_S, SETTLED_FACTOR * admission.service_time_s)
    settled = [
        key
        for key in admission.running
        if now_s - admission.attempts[key].started_at_s > settled_s
    ]
    recent = admission.busy - len(settled)
    excess = min(len(settled), admission.busy - recent - busy)
    if excess <= 0:
        return _start_waiting(admission, now_s)
    settled.sort(key=lambda key: admission.attempts[key].started_at_s)
    effects: list[Effect] = []
    if busy:
        overdue = [
            key
            for key in settled
            if admission.attempts[key].status is AttemptStatus.overdue
        ]
        lost = overdue[:excess]
    else:
        lost = settled
        effects.append(ResetConnections())
    for key in lost:
        effects.extend(_lose(admission, key, now_s))
    effects.extend(_start_waiting(admission, now_s))
    return effects


def _lose(
    admission: Admission,
    key: AttemptKey,
    now_s: float,
) -> list[Effect]:
    record = admission.attempts[key]
    admission.running.discard(key)
    admission.busy -= 1
    note = RecordEvent('guard.lost', key[0], 'the connection went silent')
    if record.status is not AttemptStatus.running:
        record.status = AttemptStatus.ended
        return [note]
    answer = Answer(
        key[0],
        key[1],
        admission.worker,
        OutcomeKind.unknown,
        'the connection to the upstream went silent',
    )
    return [*_end(admission, record, answer, now_s), note]


def _forget_old(admission: Admission, now_s: float) -> None:
    ended = admission.ended
    while ended and ended[0].forget_at_s <= now_s:
        key = ended.popleft().key
        if key not in admission.running:
            admission.attempts.pop(key, None)
