"""Responses of servers that are read to their real end, or not taken for complete."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import ClientOSError, ClientResponse

from wisterialoom.server_connection import ServerConnection

if TYPE_CHECKING:
    from aiohttp.client_proto import ResponseHandler
    from aiohttp.connector import Connection

__all__ = ["read_piece", "TrackedResponse"]


class TrackedResponse(ClientResponse):
    """A response that belongs to its request and knows how its connection ended.

    Attributes:
        protocol: Protocol of the connection that the response arrives on. aiohttp
            drops its own reference at the end of the response, but `read_piece` needs
            the protocol's exception afterwards.
    """

    protocol: ResponseHandler | None = None

    async def start(self, connection: Connection) -> ClientResponse:
        """Begin to read the response.

        Raises:
            ForeignResponseError: The response does not belong to the request.
        """
        protocol = self.protocol = connection.protocol
        if isinstance(protocol, ServerConnection):
            sent = self.request_info.headers
            protocol.expected_echo = sent.get(protocol.echo_header, "")
        return await super().start(connection)


async def read_piece(response: ClientResponse) -> bytes:
    """Return the next bytes of a response, or no bytes at its complete end.

    A response without a length ends when its connection closes, and aiohttp treats a
    reset like a regular close. Without the check here, a truncated response would pass
    as complete.

    Raises:
        aiohttp.ClientPayloadError: The response ended before its length.
        ConnectionResetError: A connection reset ended a response without a length.
    """
    data = await response.content.readany()
    if not data and _was_reset(response):
        raise ConnectionResetError("connection reset during the response")
    return data


def _was_reset(response: ClientResponse) -> bool:
    encodings = response.headers.get("Transfer-Encoding", "").lower()
    framed = "Content-Length" in response.headers or encodings.endswith("chunked")
    protocol = response.protocol if isinstance(response, TrackedResponse) else None
    if framed or protocol is None:
        return False
    return isinstance(protocol.exception(), ClientOSError)
