"""The datagram socket between instances and the addresses of all instances."""

from __future__ import annotations

import asyncio
import logging
from typing import cast, TYPE_CHECKING

from wisterialoom.platform.hint_codec import decode_hint, encode_hint
from wisterialoom.platform.hints import HintError, UnknownHintError
from wisterialoom.platform.unreadable import UnreadableInput

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisterialoom.platform.hints import Hint

__all__ = ["PeerLink"]

logger = logging.getLogger(__name__)

MAX_DATAGRAM_BYTES = 60_000
"""Largest hint that is sent, in bytes; UDP over IPv4 carries at most 65,507."""


class PeerLink(asyncio.DatagramProtocol):
    """Sends and receives hints.

    Attributes:
        port: Port that every instance listens on.
        on_hint: Called with each received hint and the address of its sender.
        members: Address by instance, including this instance.
        transport: Transport of the socket, or `None` before it is open.
        dropped: Number of datagrams that could not be decoded or sent.
        failed: Number of hints whose handling ended with an unexpected error.
        unreadable: Datagrams that could not be decoded; logged once for each sender.
        skipped: Number of datagrams of a kind that only later versions know.
        sent_bytes: Bytes sent, by kind of hint.
    """

    def __init__(self, port: int, on_hint: Callable[[Hint, str], None]) -> None:
        self.port = port
        self.on_hint = on_hint
        self.members: dict[str, str] = {}
        self.transport: asyncio.DatagramTransport | None = None
        self.dropped = 0
        self.failed = 0
        self.unreadable = UnreadableInput()
        self.skipped = 0
        self.sent_bytes: dict[str, int] = {}

    async def start(self, ip: str) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(ip, self.port))

    def stop(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # uvloop's transport does not inherit from asyncio's class.
        self.transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a datagram and pass the hint to the handler."""
        try:
            hint = decode_hint(data)
        except UnknownHintError:
            self.skipped += 1
            return
        except HintError as error:
            self.dropped += 1
            self.unreadable.record("hint", addr[0], str(error))
            return
        try:
            self.on_hint(hint, addr[0])
        except Exception:
            # An error that leaves this method closes the socket.
            self.failed += 1
            logger.exception(
                "hint not handled; report this as a bug",
                extra={"from": addr[0], "kind": type(hint).__name__},
            )

    def error_received(self, exc: Exception) -> None:
        """Count a datagram that could not be delivered."""
        self.dropped += 1

    def addresses_except(self, me: str) -> list[str]:
        """Return the addresses of all instances except the named one.

        Args:
            me: Name of the instance to leave out.
        """
        return [address for name, address in self.members.items() if name != me]

    def fits(self, hint: Hint) -> bool:
        """Return whether a hint fits into a datagram."""
        data = self._encode(hint)
        return data is not None and len(data) <= MAX_DATAGRAM_BYTES

    def _encode(self, hint: Hint) -> bytes | None:
        try:
            return encode_hint(hint)
        except (TypeError, ValueError) as error:
            # Text of a caller or server that is not UTF-8 cannot be encoded.
            self.dropped += 1
            logger.error(
                "hint not sent, it cannot be encoded",
                extra={"kind": type(hint).__name__, "error": f"{error!r:.200}"},
            )
            return None

    def send(self, hint: Hint, address: str) -> None:
        """Send a hint to one instance."""
        self.send_all(hint, [address])

    def send_all(self, hint: Hint, addresses: list[str]) -> None:
        """Send a hint to several instances."""
        if self.transport is None or not addresses:
            return
        data = self._encode(hint)
        if data is None:
            return
        if len(data) > MAX_DATAGRAM_BYTES:
            self.dropped += 1
            logger.error("hint not sent, too large", extra={"bytes": len(data)})
            return
        kind = type(hint).__name__
        sent = len(data) * len(addresses)
        self.sent_bytes[kind] = self.sent_bytes.get(kind, 0) + sent
        for address in addresses:
            try:
                self.transport.sendto(data, (address, self.port))
            except (OSError, ValueError):
                # Such as a network that is down, or an address that is none.
                self.dropped += 1
