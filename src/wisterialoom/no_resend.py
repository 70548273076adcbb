"""Keep `aiohttp` from sending a request a second time by itself.

When a kept connection breaks, `aiohttp` repeats GET, PUT and DELETE requests
although their first copy may have taken effect. A conditional update would then
conflict with itself, and work that may run once would run twice.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import (
    ClientConnectionError,
    ClientConnectorError,
    ClientOSError,
    ConnectionTimeoutError,
    ServerDisconnectedError,
)

if TYPE_CHECKING:
    from aiohttp import ClientHandlerType, ClientRequest, ClientResponse

__all__ = ["ConnectionLostError", "no_resend", "was_never_sent"]


class ConnectionLostError(ClientConnectionError):
    """Raised when a connection breaks after bytes of a request were sent."""


async def no_resend(
    request: ClientRequest, handler: ClientHandlerType
) -> ClientResponse:
    """Client middleware that turns a broken connection into a final error.

    Raises:
        ConnectionLostError: The connection broke after it was made.
    """
    try:
        return await handler(request)
    except (ClientConnectorError, ConnectionTimeoutError):
        raise
    except (ClientOSError, ServerDisconnectedError) as error:
        raise ConnectionLostError(str(error)) from error


def was_never_sent(error: BaseException) -> bool:
    """Tell whether an error proves that no byte of the request was sent."""
    return isinstance(error, (ClientConnectorError, ConnectionTimeoutError))
