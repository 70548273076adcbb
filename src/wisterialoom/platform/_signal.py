"""Wakes tasks that wait for a change."""

from __future__ import annotations

import asyncio

__all__ = ["Signal"]


class Signal:
    """Wakes the requests that wait for a change, such as a free slot or a reply.

    Attributes:
        waiters: One future for each waiting request.
    """

    def __init__(self) -> None:
        self.waiters: set[asyncio.Future[None]] = set()

    def wake(self) -> None:
        """Wake all waiting requests."""
        waiters, self.waiters = self.waiters, set()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait(self, timeout_s: float) -> None:
        """Wait until woken or until the timeout expires."""
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.add(waiter)
        try:
            async with asyncio.timeout(timeout_s):
                await waiter
        except TimeoutError:
            pass
        finally:
            self.waiters.discard(waiter)
