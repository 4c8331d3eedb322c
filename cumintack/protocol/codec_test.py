"""Tests that the codec handles arbitrary bytes and rejects other versions."""

import msgspec
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
from cumintack.state.events import HybridTimestamp

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
