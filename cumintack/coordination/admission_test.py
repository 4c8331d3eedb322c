"""Tests that a restarted guard fills no slot that is still in use."""

import msgspec

from cumintack.coordination import admission
from cumintack.coordination.effects import Effect, ForwardRequest
from cumintack.protocol.messages import Dispatch
from cumintack.state.requests import Request

SLOTS = 8
INCARNATION = 'i2'
REQUEST = Request('', 'quotes', '', 'POST', '/', (), b'', 2)


def _create_guard(inherited: int) -> admission.Admission:
    """Return a guard whose previous process left requests at the upstream."""
    guard = admission.Admission(
        admission.AdmissionSettings(), 'worker', INCARNATION
    )
    admission.reconcile_busy(guard, inherited, 0)
    admission.register_upstream(guard, 'quotes', SLOTS)
    return guard


def _dispatch(
    guard: admission.Admission, numbers: range, now_s: float
) -> list[Effect]:
    effects: list[Effect] = []
    for number in numbers:
        request = msgspec.structs.replace(REQUEST, request_id=f'r{number}')
        dispatch = Dispatch(request, 1, INCARNATION, 2)
        effects.extend(
            admission.handle_dispatch(guard, 'entry', dispatch, now_s)
        )
    return effects


def _count_forwarded(effects: list[Effect]) -> int:
    return sum(isinstance(effect, ForwardRequest) for effect in effects)


def test_report_older_than_forwarded_requests_frees_no_slot() -> None:
    """The upstream had not yet received the requests of this process.

    Seen in the bench (service-faults): an upstream got more requests at once
    than its slots after its guard was killed and started again.
    """
    guard = _create_guard(inherited=3)
    effects = _dispatch(guard, range(SLOTS), 1)
    assert _count_forwarded(effects) == SLOTS - 3
    effects = admission.reconcile_busy(guard, 3, 1.05)
    assert not _count_forwarded(effects)


def test_slots_of_previous_process_are_used_once_they_are_free() -> None:
    """A later report counts only the requests of this process."""
    guard = _create_guard(inherited=3)
    effects = _dispatch(guard, range(SLOTS), 1)
    forwarded_count = _count_forwarded(effects)
    effects = admission.reconcile_busy(guard, forwarded_count, 1.5)
    assert _count_forwarded(effects) == 3


def test_recent_requests_are_not_taken_for_inherited_ones() -> None:
    """A bound that has reached zero never rises again."""
    guard = _create_guard(inherited=0)
    _dispatch(guard, range(4), 1)
    admission.reconcile_busy(guard, 4, 1.05)
    assert _count_forwarded(_dispatch(guard, range(4, SLOTS), 1.1)) == 4
