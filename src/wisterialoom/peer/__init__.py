"""Network links between entry instances: codec, authentication, UDP and TCP."""

from __future__ import annotations

from wisterialoom.peer.codec import decode, encode, PeerCodecError
from wisterialoom.peer.counters import PeerCounters
from wisterialoom.peer.link import PeerLinks
from wisterialoom.peer.seal import Seal, SealError

__all__ = [
    "PeerCodecError",
    "PeerCounters",
    "PeerLinks",
    "Seal",
    "SealError",
    "decode",
    "encode",
]
