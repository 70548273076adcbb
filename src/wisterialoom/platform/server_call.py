"""The call of a backend server with a caller's request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import ClientTimeout
from yarl import URL

from wisterialoom.no_resend import no_resend

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from aiohttp import ClientResponse, ClientSession

__all__ = ["CONNECT_TIMEOUT_S", "call_server", "server_url"]

CONNECT_TIMEOUT_S = 0.25
"""Connect timeout; about twenty round trips between availability zones."""


def server_url(address: str, target: str) -> URL:
    """Return the URL of a target, which is sent as it is.

    Args:
        address: `IP:port` of the server.
        target: Path and query. As a URL has no empty query, all of it is the path.
    """
    if not target.startswith("/"):
        return URL(f"http://{address}{target}", encoded=True)
    return URL.build(scheme="http", authority=address, path=target, encoded=True)


def call_server(
    session: ClientSession,
    method: str,
    url: URL,
    body: bytes,
    headers: list[tuple[str, str]],
    *,
    context: object = None,
) -> Awaitable[ClientResponse]:
    """Send a request once, as it is, and return the response when its head is there.

    Args:
        session: Session with the connections to use.
        method: Method of the request.
        url: URL, encoded.
        body: Body; may be empty.
        headers: All headers, in order.
        context: Object that the session's tracing is told of.
    """
    return session.request(
        method,
        url,
        data=body or None,
        headers=headers,
        allow_redirects=False,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        timeout=ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        middlewares=(no_resend,),
        trace_request_ctx=context,
    )
