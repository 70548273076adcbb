"""Background tasks whose failures are logged, and which are restarted if needed."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine, Mapping

__all__ = ["TaskGroup", "restart_counts", "wait_for"]

logger = logging.getLogger(__name__)

FIRST_RESTART_S = 0.1
MAX_RESTART_S = 5.0
"""First and longest pause before a task is restarted.

An instance whose view of the store must be at most 2 s old still keeps it after a
single error. An error that recurs costs other systems one call in 5 s.
"""

STABLE_S = 30.0
"""Time after which a task that ran without an error counts as sound again."""

_restarts: dict[str, int] = {}


def restart_counts() -> Mapping[str, int]:
    """Return how often each task of this process was restarted, by its name."""
    return _restarts


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

    def supervise(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Run a task until the group stops, and restart it after an unexpected error.

        Args:
            name: Name of the task in logs and metrics, one of a few.
            run: Starts the task, which must not depend on state of an earlier run.
        """
        self.spawn(self._supervise(name, run))

    async def _supervise(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        pause_s = FIRST_RESTART_S
        while True:
            started = time.monotonic()
            try:
                return await run()
            except Exception:
                _restarts[name] = _restarts.get(name, 0) + 1
                if time.monotonic() - started > STABLE_S:
                    pause_s = FIRST_RESTART_S
                logger.exception(
                    "task failed and is restarted; report this as a bug",
                    extra={"task_name": name, "pause_s": pause_s},
                )
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_RESTART_S, 2 * pause_s)

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
