"""Keeps bytes of malformed requests, such as API keys, out of the log."""

from __future__ import annotations

import logging

from aiohttp.http_exceptions import HttpProcessingError

__all__ = ["hide_request_bytes"]

SERVER_LOGGER = logging.getLogger("aiohttp.server")


def hide_request_bytes() -> None:
    """Log only the kind of each error in a request that cannot be parsed.

    The messages of these errors quote the header line, also one with an API key.
    """
    SERVER_LOGGER.addFilter(_reduce)


def _reduce(record: logging.LogRecord) -> bool:
    if record.exc_info:
        error = record.exc_info[1]
        if isinstance(error, HttpProcessingError):
            record.exc_info = None
            record.exc_text = None
            record.msg = "malformed request"
            record.args = ()
            record.error = type(error).__name__
    return True
