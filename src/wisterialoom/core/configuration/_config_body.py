"""Compression of the document's text for transfer between peers."""

from __future__ import annotations

import zlib

from wisterialoom.core.object_store import MAX_OBJECT_BYTES

__all__ = ["pack", "unpack"]


def pack(body: bytes) -> bytes:
    """Compress a text; an empty text stays empty."""
    return zlib.compress(body) if body else b""


def unpack(packed: bytes) -> bytes:
    """Decompress what `pack` returned; empty if it is malformed or too large."""
    reader = zlib.decompressobj()
    try:
        body = reader.decompress(packed, MAX_OBJECT_BYTES)
    except zlib.error:
        return b""
    return body if reader.eof and not reader.unconsumed_tail else b""
