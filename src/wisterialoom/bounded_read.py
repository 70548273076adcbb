"""Reads answers that could go on without end."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import ClientPayloadError

if TYPE_CHECKING:
    from aiohttp import ClientResponse

__all__ = ["AnswerTooLargeError", "read_bounded"]


class AnswerTooLargeError(ClientPayloadError):
    """Raised if an answer is longer than any that the sender has reason to send."""


async def read_bounded(response: ClientResponse, max_bytes: int) -> bytes:
    """Read an answer to its end.

    Args:
        response: The answer; its connection is closed if it is too long.
        max_bytes: Number of bytes above which it is.

    Raises:
        AnswerTooLargeError: The answer is longer than `max_bytes`.
        aiohttp.ClientPayloadError: The answer is incomplete.
    """
    body = bytearray()
    while data := await response.content.readany():
        body += data
        if len(body) > max_bytes:
            response.close()
            raise AnswerTooLargeError(
                f"the answer has over {max_bytes} bytes; check what sends it"
            )
    return bytes(body)
