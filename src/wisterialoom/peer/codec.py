"""Peer messages as bytes, by the accelerated compact protocol of Thrift."""

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
"""Largest message, in bytes; a whole configuration document fits."""

MAX_DATAGRAM_BYTES = 1_200
"""Largest message that goes by UDP, in bytes; no path splits it."""

MAX_ITEMS = 20_000
"""Most items of one list or map."""

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
"""Every class that the codec knows."""

FIELDS = {cls: f"as_{cls.__name__}" for cls in MESSAGE_CLASSES}
CONVERTERS = {cls: StructConverter(cls) for cls in MESSAGE_CLASSES}


class PeerCodecError(WisterialoomError):
    """Raised when bytes are no peer message, or a message does not fit in one."""


def encode(sender: str, message: PeerMessage) -> bytes:
    """Return a message as bytes.

    Args:
        sender: Name of the entry instance that sends it.
        message: The message.

    Raises:
        PeerCodecError: Its class is unknown, a value is out of range, or it
            takes more than `MAX_MESSAGE_BYTES`.
    """
    converter = CONVERTERS.get(type(message))
    if converter is None:
        name = type(message).__name__
        raise PeerCodecError(f"{name} is no peer message: add it to peer.thrift")
    try:
        wire = Message(**{FIELDS[type(message)]: converter.to_wire(message)})
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
    """Return the message that some bytes stand for.

    Raises:
        PeerCodecError: They stand for none, or for one of another version.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise PeerCodecError(f"{len(data)} bytes are too many: refuse the sender")
    try:
        envelope = _read(data)
        version, sender = envelope.version, envelope.sender
        message = _message(envelope) if version == VERSION else None
    except Exception as error:
        # The library raises many classes on malformed input, some of them bare.
        raise PeerCodecError(
            f"malformed message; check the sender's release: {error}"
        ) from error
    if version != VERSION:
        raise PeerCodecError(
            f"protocol version {version} instead of {VERSION}: "
            "run releases with the same version"
        )
    if not sender or message is None:
        raise PeerCodecError("no sender or no message; check the sender's release")
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
        raise ValueError("bytes are left over")
    return envelope


def _message(envelope: Envelope) -> PeerMessage | None:
    if envelope.message is None:
        return None
    found: PeerMessage | None = None
    for message_class, field in FIELDS.items():
        wire = getattr(envelope.message, field)
        if wire is None:
            continue
        if found is not None:
            raise ValueError("two messages in one envelope")
        found = CONVERTERS[message_class].from_wire(wire)
    return found
