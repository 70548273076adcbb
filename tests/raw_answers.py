"""Answers of servers that speak HTTP by hand, for what no library sends."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

__all__ = ["reset"]


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection instead of closing it."""
    raw = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
