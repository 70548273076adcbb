"""Tells answers that end with their connection from those that were cut off."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import ClientOSError, ClientResponse

if TYPE_CHECKING:
    from aiohttp.client_proto import ResponseHandler
    from aiohttp.connector import Connection

__all__ = ["TrackedResponse", "was_reset"]


class TrackedResponse(ClientResponse):
    """A response that keeps a reference to the protocol of its connection.

    aiohttp drops its own reference at the end of the response, but `was_reset` needs
    the protocol's exception afterwards.

    Attributes:
        protocol: Protocol of the connection that the response arrives on.
    """

    protocol: ResponseHandler | None = None

    async def start(self, connection: Connection) -> ClientResponse:
        """Begin to read the response."""
        self.protocol = connection.protocol
        return await super().start(connection)


def was_reset(response: ClientResponse) -> bool:
    """Return whether a connection reset ended an answer that has no length.

    An answer without a length ends when its connection closes, and aiohttp treats a
    reset like a regular close. Without this check a truncated answer would pass as
    complete.
    """
    framed = "Content-Length" in response.headers or (
        response.headers.get("Transfer-Encoding", "").lower() == "chunked"
    )
    protocol = response.protocol if isinstance(response, TrackedResponse) else None
    if framed or protocol is None:
        return False
    return isinstance(protocol.exception(), ClientOSError)
