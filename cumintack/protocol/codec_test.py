"""Tests that the codec handles arbitrary bytes and rejects other versions."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from cumintack.protocol.codec import (
    PROTOCOL_VERSION,
    Envelope,
    decode_envelope,
    encode_envelope,
)
from cumintack.protocol.messages import GuardStatus, Ping
from cumintack.protocol.run_messages import (
    EndedRun,
    RunKey,
    RunningRun,
    RunOrders,
    RunReport,
    WorkerInfo,
    WorkerLoss,
)
from cumintack.state.events import HybridTimestamp
from cumintack.state.resources import Resources

STATUS = GuardStatus(
    'worker-1',
    'i1',
    'north-yard',
    'rounds-desk',
    8,
    8,
    0,
    0,
    is_leaving=False,
    revision=3,
)


def test_round_trip() -> None:
    """Decoding returns the envelope that was encoded."""
    envelope = Envelope(
        PROTOCOL_VERSION, 'a', 'i', HybridTimestamp(1, 2), STATUS
    )
    decoded = decode_envelope(encode_envelope(envelope))
    assert decoded == Ok(envelope)


@given(encoded=st.binary(max_size=200))
def test_any_bytes(encoded: bytes) -> None:
    """Arbitrary bytes give an envelope or an error, never an exception."""
    assert isinstance(decode_envelope(encoded), (Ok, Err))


@given(position=st.integers(0, 10000), byte=st.integers(0, 255))
def test_changed_byte(position: int, byte: int) -> None:
    """A changed byte gives an envelope or an error, never an exception."""
    envelope = Envelope(
        PROTOCOL_VERSION, 'a', 'i', HybridTimestamp(1, 2), STATUS
    )
    encoded = bytearray(encode_envelope(envelope))
    encoded[position % len(encoded)] = byte
    assert isinstance(decode_envelope(bytes(encoded)), (Ok, Err))


def test_other_version() -> None:
    """A message of another protocol version is rejected."""
    envelope = Envelope(
        PROTOCOL_VERSION + 1, 'a', 'i', HybridTimestamp(), Ping(1)
    )
    decoded = decode_envelope(msgspec.msgpack.encode(envelope))
    assert isinstance(decoded, Err)
    assert 'version' in decoded.err_value.detail


KEY = RunKey('0123456789abcdef.0.0.0', 1)
REPORT = RunReport(
    1.5,
    1,
    WorkerInfo('w', '1.w', 'pool', 'zone', Resources(1, 1), ()),
    (),
    (),
    (),
    is_looked=True,
    is_answering=True,
    is_gone=False,
    unsure_for_s=0,
)
ORDERS = RunOrders(1, 1, '1.w', 1.5, 8, 0, (), ())


# Guards against numbers without a bound that end the process that uses them.
@pytest.mark.parametrize('number', [float('inf'), float('-inf'), float('nan')])
@pytest.mark.parametrize(
    ('message', 'field'),
    [
        (REPORT, 'unsure_for_s'),
        (REPORT, 'late_calls_for_s'),
        (REPORT, 'sent_at_s'),
        (ORDERS, 'echoed_sent_at_s'),
        (ORDERS, 'lease_s'),
    ],
)
def test_numbers_without_bound(
    message: RunReport | RunOrders, field: str, number: float
) -> None:
    """The message is dropped, and the error names its sender."""
    changed = msgspec.structs.replace(message, **{field: number})
    assert _find_sender_of_error(changed) == 'guard-1'


# Guards against lists of a report that end the leader.
@pytest.mark.parametrize(
    'changes',
    [
        {'running': (RunningRun(KEY, '', float('nan'), 0, False),)},
        {'running': (RunningRun(KEY, '', 0, float('inf'), False),)},
        {'ended': (EndedRun(1, KEY, 'unheard of', ''),)},
        {'loss': WorkerLoss('1.w', float('inf'), 0, True)},
        {'unsure_for_s': 1e300},
        {'unsure_for_s': -1},
    ],
)
def test_odd_report(changes: dict[str, object]) -> None:
    """What no guard can mean is dropped as a whole."""
    changed = msgspec.structs.replace(REPORT, **changes)
    assert _find_sender_of_error(changed) == 'guard-1'


def _find_sender_of_error(message: RunReport | RunOrders) -> str:
    envelope = Envelope(
        PROTOCOL_VERSION, 'guard-1', 'i', HybridTimestamp(), message
    )
    decoded = decode_envelope(encode_envelope(envelope))
    assert isinstance(decoded, Err)
    return decoded.err_value.peer
