"""Encoding of messages between processes.

Each message travels in an envelope with the protocol version, so that a
process of another version is rejected at its first message instead of being
misinterpreted later.
"""

import msgspec
from result import Err, Ok, Result

from cumintack.protocol.messages import Message
from cumintack.state.errors import ErrorCode, StepError
from cumintack.state.events import HybridTimestamp

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 16777216


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender and timestamp.

    Attributes:
        version: Protocol version.
        sender: Name of the sending process.
        incarnation: Changes when the sender restarts.
        stamp: Hybrid timestamp of the sender.
        message: The message.
    """

    version: int
    sender: str
    incarnation: str
    stamp: HybridTimestamp
    message: Message


class _Header(msgspec.Struct, frozen=True, array_like=True):
    """The first fields of an envelope."""

    version: int
    sender: str


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Envelope)
_HEADER_DECODER = msgspec.msgpack.Decoder(_Header)
_DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


def encode_envelope(envelope: Envelope) -> bytes:
    """Encode an envelope.

    Args:
        envelope: The envelope.

    Returns:
        The encoded bytes.
    """
    return _ENCODER.encode(envelope)


def decode_envelope(encoded: bytes) -> Result[Envelope, StepError]:
    """Decode an envelope from an untrusted peer.

    Args:
        encoded: The received bytes.

    Returns:
        The envelope, or an error that describes the problem.
    """
    if len(encoded) > MAX_MESSAGE_BYTES:
        detail = f'{len(encoded)} bytes'
        return Err(_create_error(ErrorCode.too_large, '', detail))
    try:
        envelope = _DECODER.decode(encoded)
    except _DECODE_ERRORS as error:
        sender = _decode_sender(encoded)
        return Err(_create_error(ErrorCode.invalid, sender, str(error)))
    if envelope.version != PROTOCOL_VERSION:
        return Err(
            _create_error(
                ErrorCode.invalid,
                envelope.sender,
                f'version {envelope.version}',
            ),
        )
    return Ok(envelope)


def _decode_sender(encoded: bytes) -> str:
    """Return the sender of an envelope whose message can't be decoded."""
    try:
        return _HEADER_DECODER.decode(encoded).sender
    except _DECODE_ERRORS:
        return ''


def _create_error(code: ErrorCode, sender: str, detail: str) -> StepError:
    return StepError(code, 'codec.decode', sender, detail)
