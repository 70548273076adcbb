"""Responses of servers that belong to their requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import ClientResponse

from wisterialoom.server_connection import ServerConnection

if TYPE_CHECKING:
    from aiohttp.connector import Connection

__all__ = ["TrackedResponse"]


class TrackedResponse(ClientResponse):
    """A response whose connection knows which request it must belong to."""

    async def start(self, connection: Connection) -> ClientResponse:
        """Begin to read the response.

        Raises:
            ForeignResponseError: The response does not belong to the request.
            MalformedResponseError: The server sent bytes that are no response.
        """
        protocol = connection.protocol
        if isinstance(protocol, ServerConnection):
            sent = self.request_info.headers
            protocol.expected_echo = sent.get(protocol.echo_header, "")
        return await super().start(connection)
