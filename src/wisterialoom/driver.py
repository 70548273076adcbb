"""Runs a core on the event loop: delivers events and executes commands."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from typing import TYPE_CHECKING

from wisterialoom.core.message import Tick, TICK_INTERVAL_S, WakeAt

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisterialoom.core.entry import EntryCore
    from wisterialoom.core.message import Command, Event

__all__ = ["Driver"]

logger = logging.getLogger(__name__)


class Driver:
    """Delivers events to a core and passes its commands to the application.

    Attributes:
        core: The core.
        execute: Executes a command; must not block.
        pending: Events that arrived while the core handled another one.
        handling: Whether the core is handling an event.
        busy_s: Processor time spent in the core and its commands, in seconds.
        tick_task: Task that delivers a `Tick` at a fixed interval.
    """

    def __init__(self, core: EntryCore, execute: Callable[[Command], None]) -> None:
        self.core = core
        self.execute = execute
        self.pending: deque[Event] = deque()
        self.handling = False
        self.busy_s = 0.0
        self.tick_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start delivering ticks."""
        self.tick_task = asyncio.get_running_loop().create_task(self._tick())

    async def stop(self) -> None:
        """Stop delivering ticks."""
        if self.tick_task is not None:
            self.tick_task.cancel()
            await asyncio.gather(self.tick_task, return_exceptions=True)

    def deliver(self, event: Event) -> None:
        """Deliver an event to the core and execute the resulting commands.

        An event that arrives while another one is handled is queued.
        """
        self.pending.append(event)
        if self.handling:
            return
        self.handling = True
        started = time.perf_counter()
        try:
            while self.pending:
                self._handle(self.pending.popleft())
        finally:
            self.handling = False
            self.busy_s += time.perf_counter() - started

    def _handle(self, event: Event) -> None:
        # The event loop's clock does not advance within an iteration, and so would
        # not show that the process was paused.
        for command in self.core.handle(time.monotonic(), event):
            match command:
                case WakeAt(at=at):
                    delay = max(0.0, at - time.monotonic())
                    loop = asyncio.get_running_loop()
                    loop.call_later(delay, self.deliver, Tick())
                case _:
                    self.execute(command)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            try:
                self.deliver(Tick())
            except Exception:
                logger.exception("internal error: a tick failed; report this as a bug")
