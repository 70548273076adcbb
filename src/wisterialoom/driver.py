"""Runs a core on the event loop: events in, commands out, no decisions."""

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
    """Feeds one core and hands its commands to the application.

    Attributes:
        core: The core.
        carry_out: Takes each command; must not block.
        pending: Events that arrived while the core was busy.
        busy: The core is handling an event.
        busy_s: Processor time spent in the core and its commands, in seconds.
        ticker: Task that sends the ticks.
    """

    def __init__(self, core: EntryCore, carry_out: Callable[[Command], None]) -> None:
        self.core = core
        self.carry_out = carry_out
        self.pending: deque[Event] = deque()
        self.busy = False
        self.busy_s = 0.0
        self.ticker: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to send ticks."""
        self.ticker = asyncio.get_running_loop().create_task(self._tick())

    async def stop(self) -> None:
        """Stop sending ticks."""
        if self.ticker is not None:
            self.ticker.cancel()
            await asyncio.gather(self.ticker, return_exceptions=True)

    def deliver(self, event: Event) -> None:
        """Hand an event to the core and carry out what follows.

        An event that comes while another is handled waits for its turn.
        """
        self.pending.append(event)
        if self.busy:
            return
        self.busy = True
        begun = time.perf_counter()
        try:
            while self.pending:
                self._handle(self.pending.popleft())
        finally:
            self.busy = False
            self.busy_s += time.perf_counter() - begun

    def _handle(self, event: Event) -> None:
        # `time.monotonic` and not the loop's clock, which stands still while an
        # iteration of the loop runs: a pause of the process must show.
        for command in self.core.handle(time.monotonic(), event):
            match command:
                case WakeAt(at=at):
                    delay = max(0.0, at - time.monotonic())
                    loop = asyncio.get_running_loop()
                    loop.call_later(delay, self.deliver, Tick())
                case _:
                    self.carry_out(command)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            try:
                self.deliver(Tick())
            except Exception:
                logger.exception("a tick failed; please report this as a bug")
