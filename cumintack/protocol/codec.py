"""Encoding of messages between processes.

An envelope carries the protocol version, so that a process of another
version is refused at its first message and not misread at a later one.
"""

import msgspec
from result import Err, Ok, Result

from cumintack.protocol.messages import Message
from cumintack.state.errors import ErrorCode, StepError
from cumintack.state.events import HybridTimestamp

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 16777216


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender and its time.

    Attributes:
        version: Version of the protocol.
        sender: Name of the sending process.
        incarnation: Changes when the sender restarts.
        stamp: Hybrid time at the sender.
        message: The message.
    """

    version: int
    sender: str
    incarnation: str
    stamp: HybridTimestamp
    message: Message


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Envelope)


def encode_envelope(envelope: Envelope) -> bytes:
    """Encode an envelope.

    Args:
        envelope: The envelope.

    Returns:
        Its bytes.
    """
    return _ENCODER.encode(envelope)


def decode_envelope(encoded: bytes) -> Result[Envelope, StepError]:
    """Decode an envelope from an untrusted peer.

    Args:
        encoded: Bytes as received.

    Returns:
        The envelope, or an error that says what is wrong with the bytes.
    """
    if len(encoded) > MAX_MESSAGE_BYTES:
        return Err(_create_error(ErrorCode.too_large, f'{len(encoded)} bytes'))
    try:
        envelope = _DECODER.decode(encoded)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Err(_create_error(ErrorCode.invalid, str(error)))
    if envelope.version != PROTOCOL_VERSION:
        return Err(
            _create_error(
                ErrorCode.invalid,
                f'version {envelope.version} from {envelope.sender!r}',
            ),
        )
    return Ok(envelope)


def _create_error(code: ErrorCode, detail: str) -> StepError:
    return StepError(code, 'codec.decode', '', detail)
