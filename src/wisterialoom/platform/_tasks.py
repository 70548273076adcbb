"""Background tasks whose failures are logged."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Coroutine

__all__ = ["TaskGroup", "wait_for"]

logger = logging.getLogger(__name__)


async def wait_for(event: asyncio.Event, timeout_s: float) -> bool:
    """Wait until an event is set or a timeout expires.

    Args:
        event: Event to wait for.
        timeout_s: Longest wait in seconds.

    Returns:
        Whether the event is set.
    """
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return event.is_set()
    return True


class TaskGroup:
    """Tasks of one owner, which cancels the remaining ones when it stops.

    Attributes:
        tasks: Tasks in progress.
    """

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[None]] = set()

    def spawn(self, call: Coroutine[object, object, None]) -> None:
        """Run a coroutine as a task of the group."""
        task = asyncio.get_running_loop().create_task(call)
        self.tasks.add(task)
        task.add_done_callback(self.on_done)

    def on_done(self, task: asyncio.Task[None]) -> None:
        """Remove a finished task and log its exception, if any."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error("task failed; report this as a bug", exc_info=task.exception())

    async def stop(self) -> None:
        """Cancel the remaining tasks and wait for them to end."""
        tasks = tuple(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
