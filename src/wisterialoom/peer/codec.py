"""Encodes and decodes peer messages with the accelerated compact protocol of Thrift."""

from __future__ import annotations

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from wisterialoom.core.error import WisterialoomError
from wisterialoom.core.fleet import peer
from wisterialoom.core.fleet.peer import PeerMessage, PeerReceived
from wisterialoom.peer._wire import StructConverter
from wisterialoom.peer.gen.constants import VERSION
from wisterialoom.peer.gen.ttypes import Envelope, Message

__all__ = [
    "MAX_DATAGRAM_BYTES",
    "MAX_MESSAGE_BYTES",
    "MESSAGE_CLASSES",
    "PeerCodecError",
    "decode",
    "encode",
]

MAX_MESSAGE_BYTES = 1_100_000
"""Maximum size of a message; a complete configuration document fits."""

MAX_DATAGRAM_BYTES = 1_200
"""Maximum size of a message sent over UDP.

Datagrams of this size are not fragmented on any usual network path.
"""

MAX_ITEMS = 20_000
"""Maximum number of items in a list or map."""

MESSAGE_CLASSES: tuple[type[PeerMessage], ...] = (
    peer.Heartbeat,
    peer.HeartbeatAck,
    peer.IndirectPing,
    peer.ConfigPull,
    peer.ConfigPush,
    peer.ClaimRequest,
    peer.ClaimAnswer,
    peer.NonceQuery,
    peer.NonceAnswer,
    peer.LetGo,
    peer.ConfirmLetGo,
    peer.DemandReport,
    peer.PlanMessage,
    peer.StateSync,
    peer.LoadPull,
    peer.ListingPull,
    peer.ListingPush,
)
"""Every message class that can be encoded."""

UNION_FIELDS = {cls: f"as_{cls.__name__}" for cls in MESSAGE_CLASSES}
CONVERTERS = {cls: StructConverter(cls) for cls in MESSAGE_CLASSES}


class PeerCodecError(WisterialoomError):
    """Raised when bytes are not a valid message, or a message cannot be encoded."""


def encode(sender: str, message: PeerMessage) -> bytes:
    """Encode a message.

    Args:
        sender: Name of the entry instance that sends the message.
        message: The message.

    Raises:
        PeerCodecError: The class is unknown, a value is out of range, or the encoded
            message is larger than `MAX_MESSAGE_BYTES`.
    """
    converter = CONVERTERS.get(type(message))
    if converter is None:
        name = type(message).__name__
        raise PeerCodecError(
            f"{name} is not a known peer message: add it to peer.thrift"
        )
    try:
        wire = Message(**{UNION_FIELDS[type(message)]: converter.to_wire(message)})
        data = _write(Envelope(version=VERSION, sender=sender, message=wire))
    except Exception as error:
        raise PeerCodecError(
            f"{type(message).__name__} cannot be encoded; correct the value: {error}"
        ) from error
    if len(data) > MAX_MESSAGE_BYTES:
        raise PeerCodecError(
            f"{type(message).__name__} takes {len(data)} bytes; "
            f"split it to stay under {MAX_MESSAGE_BYTES}"
        )
    return data


def decode(data: bytes) -> PeerReceived:
    """Decode a message.

    Raises:
        PeerCodecError: The bytes are not a valid message of this protocol version.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise PeerCodecError(
            f"message of {len(data)} bytes is too large; check the sender's release"
        )
    try:
        envelope = _read(data)
        version, sender = envelope.version, envelope.sender
        message = _decode_message(envelope) if version == VERSION else None
    except Exception as error:
        # The library raises many exception classes for malformed input, some of
        # them builtin.
        raise PeerCodecError(
            f"malformed message; check the sender's release: {error}"
        ) from error
    if version != VERSION:
        raise PeerCodecError(
            f"protocol version {version} instead of {VERSION}: "
            "run releases with the same version"
        )
    if not sender or message is None:
        raise PeerCodecError(
            "message without a sender or content; check the sender's release"
        )
    return PeerReceived(sender, message)


def _write(envelope: Envelope) -> bytes:
    buffer = TMemoryBuffer()
    envelope.write(TCompactProtocolAccelerated(buffer, fallback=False))
    data: bytes = buffer.getvalue()
    return data


def _read(data: bytes) -> Envelope:
    buffer = TMemoryBuffer(data)
    protocol = TCompactProtocolAccelerated(
        buffer,
        fallback=False,
        string_length_limit=len(data),
        container_length_limit=min(MAX_ITEMS, len(data)),
    )
    envelope = Envelope()
    envelope.read(protocol)
    if buffer.cstringio_buf.tell() != len(data):
        raise ValueError("unexpected bytes after the message")
    return envelope


def _decode_message(envelope: Envelope) -> PeerMessage | None:
    if envelope.message is None:
        return None
    found: PeerMessage | None = None
    for message_class, field in UNION_FIELDS.items():
        wire = getattr(envelope.message, field)
        if wire is None:
            continue
        if found is not None:
            raise ValueError("two messages in one envelope")
        found = CONVERTERS[message_class].from_wire(wire)
    return found
