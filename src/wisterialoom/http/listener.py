"""HTTP listeners of an entry instance; what their callers hold has one bound."""

from __future__ import annotations

import asyncio
import logging
import resource
import time
from typing import cast, TYPE_CHECKING

from aiohttp import web

from wisterialoom.caller_memory import CallerMemory
from wisterialoom.caller_server import CallerRunner, CallerServer
from wisterialoom.core.memory_budget import (
    max_connections,
    MemoryBudget,
    MIN_FIELD_BYTES,
)
from wisterialoom.core.requests.refusal import refuse
from wisterialoom.core.requests.request import Reason
from wisterialoom.counted_connection import CallerLimits, encode_refusal, InputRefusal
from wisterialoom.http.error_answer import bad_request_response, error_response
from wisterialoom.settings import split_address

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisterialoom.settings import Limits

__all__ = ["answer_refused", "Listeners"]

logger = logging.getLogger(__name__)

MAX_HEAD_LINES = 128
"""Lines of the greatest size that a head may have, or as many bytes in shorter ones."""

MIN_CONNECTIONS = 16
"""Connections that a listener keeps open at least."""

CHECK_S = 0.25
"""Interval at which what callers have yet to read is counted."""

SHUTDOWN_TIMEOUT_S = 5.0
"""Time for sending pending answers at shutdown, in seconds."""


class Listeners:
    """Starts and stops the listeners, which share the memory for callers.

    Attributes:
        limits: Limits of the settings.
        next_id: Returns a new request id.
        memory: Counts what is held for the callers of all listeners.
        max_connections: Number of connections that callers may open.
        runners: Listeners that are running, by name, in the order of their start.
    """

    def __init__(self, limits: Limits, next_id: Callable[[], str]) -> None:
        self.limits = limits
        self.next_id = next_id
        self.memory = CallerMemory(
            MemoryBudget.from_memory(
                limits.memory_mb, limits.max_body_bytes, limits.max_header_bytes
            )
        )
        self.max_connections = max_connections(
            limits.memory_mb, open_descriptors(limits.max_descriptors)
        )
        self.runners: dict[str, CallerRunner] = {}
        self._checks: asyncio.Task[None] | None = None

    async def start(
        self, name: str, app: web.Application, address: str, share: float = 1.0
    ) -> str:
        """Serve an application, and return the address on which it listens.

        Args:
            name: Name of the listener in the settings.
            app: The application.
            address: `IP:port`; port 0 picks a free port.
            share: Part of the connections that its callers may open.
        """
        limits = self.limits
        runner = CallerRunner(
            app,
            self._caller_limits(share),
            handler_cancellation=True,
            access_log=None,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            max_line_size=limits.max_header_bytes,
            max_field_size=limits.max_header_bytes,
            max_headers=limits.max_header_bytes // MIN_FIELD_BYTES,
            # Bodies are forwarded as they are, with their `Content-Encoding`.
            auto_decompress=False,
        )
        await runner.setup()
        self.runners[name] = runner
        if self._checks is None:
            self._checks = asyncio.create_task(self._check())
        host, port = split_address(address)
        await web.TCPSite(runner, host, port).start()
        bound = runner.addresses[0]
        return f"{bound[0]}:{bound[1]}"

    async def stop(self) -> None:
        """Stop all listeners, the last one first."""
        for runner in reversed(self.runners.values()):
            await runner.cleanup()
        if self._checks is not None:
            self._checks.cancel()

    def _caller_limits(self, share: float) -> CallerLimits:
        limits = CallerLimits(
            self.memory,
            get_max_head_bytes=lambda: MAX_HEAD_LINES * self.limits.max_header_bytes,
            answer_refused=lambda refusal: answer_refused(refusal, self.next_id()),
        )
        if self.max_connections is not None:
            count = int(share * self.max_connections)
            limits.max_connections = max(MIN_CONNECTIONS, count)
        return limits

    async def _check(self) -> None:
        while True:
            await asyncio.sleep(CHECK_S)
            for runner in self.runners.values():
                if runner.server is not None:
                    cast("CallerServer", runner.server).check(time.monotonic())


def answer_refused(refusal: InputRefusal, request_id: str) -> bytes:
    """Return the answer to a request that is refused before it is parsed."""
    match refusal:
        case InputRefusal.MEMORY:
            response = error_response(refuse(Reason.MEMORY), request_id)
        case InputRefusal.HEAD_TOO_LARGE:
            message = "the head of the request is too large; send a smaller one"
            response = bad_request_response(431, message, request_id)
        case InputRefusal.MALFORMED:
            message = "the bytes are no HTTP request; send one of HTTP/1.1"
            response = bad_request_response(400, message, request_id)
    status = f"{response.status} {response.reason}"
    return encode_refusal(status, response.headers, cast("bytes", response.body))


def open_descriptors(wanted: int) -> int:
    """Return the descriptors that the process may open, as the system permits."""
    permitted, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if permitted == resource.RLIM_INFINITY or permitted >= wanted:
        return wanted
    logger.warning(
        "the system permits fewer open files than limits.max_descriptors: "
        "raise its limit to serve as many callers",
        extra={"permitted": permitted, "max_descriptors": wanted},
    )
    return permitted
