"""Client middleware that keeps `aiohttp` from resending a request by itself.

If a reused connection breaks, `aiohttp` resends GET, PUT and DELETE requests
although the first copy may have taken effect. A conditional update would then
conflict with itself, and a request that must run at most once could run twice.
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
    """Raised if a connection breaks after bytes of a request may have been sent."""


async def no_resend(
    request: ClientRequest, handler: ClientHandlerType
) -> ClientResponse:
    """Turn a broken connection into an error that `aiohttp` does not retry.

    Raises:
        ConnectionLostError: If the connection breaks after it was established.
    """
    try:
        return await handler(request)
    except (ClientConnectorError, ConnectionTimeoutError):
        raise
    except (ClientOSError, ServerDisconnectedError) as error:
        raise ConnectionLostError(str(error)) from error


def was_never_sent(error: BaseException) -> bool:
    """Return whether an error proves that no byte of the request was sent."""
    return isinstance(error, (ClientConnectorError, ConnectionTimeoutError))
