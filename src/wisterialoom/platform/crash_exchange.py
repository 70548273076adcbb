"""Reports crashes, and requests that are held back for them, to other instances."""

from __future__ import annotations

import asyncio
import itertools
import logging
import time
from typing import TYPE_CHECKING

from wisterialoom.core.crash_watch import HeldTraits, shift
from wisterialoom.platform._tasks import TaskGroup, wait_for
from wisterialoom.platform.hints import CrashHint

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisterialoom.core.crash_watch import CrashMessage, CrashWatch
    from wisterialoom.platform.peers import PeerLink

__all__ = ["CrashExchange"]

logger = logging.getLogger(__name__)

COPY_INTERVAL_S = 0.5
"""Interval between copies of all verdicts to some instances.

Who has started since, or has missed a message, gets each verdict in such a copy.
"""

COPIES = 2
"""Instances that get a copy each time, in turn."""

MAX_COPIED = 64
"""Verdicts in one copy; further ones follow with the next."""


class CrashExchange:
    """Carries the messages of a `CrashWatch`, and lets it decide.

    Attributes:
        instance: Name of this instance.
        peers: Datagrams between instances.
        watch: Decides which requests are held back.
        held_changed: Called when other requests than before are held back.
        wake_event: Set when there is something to report or to decide.
        known_revision: Revision of what is held back at the last decision.
        copied_at: Monotonic time of the last copies.
        turns: Counts the copies, to choose who gets the next ones.
        tasks: The task that sends messages.
    """

    def __init__(
        self,
        instance: str,
        peers: PeerLink,
        watch: CrashWatch,
        held_changed: Callable[[], None],
    ) -> None:
        self.instance = instance
        self.peers = peers
        self.watch = watch
        self.held_changed = held_changed
        self.wake_event = asyncio.Event()
        self.known_revision = 0
        self.copied_at = float("-inf")
        self.turns = itertools.count()
        self.tasks = TaskGroup()

    def start(self) -> None:
        """Start sending messages."""
        self.watch.wake = self.wake_event.set
        self.tasks.supervise("crash_exchange", self._run)

    async def stop(self) -> None:
        """Stop sending messages."""
        await self.tasks.stop()

    def handle_hint(self, hint: CrashHint) -> None:
        """Handle a message of another instance."""
        now = time.monotonic()
        self.watch.handle(now, shift(hint.message, now))
        self.wake_event.set()

    async def _run(self) -> None:
        while True:
            pause_s = self.watch.pause_s(time.monotonic())
            if pause_s is None:
                await self.wake_event.wait()
            else:
                await wait_for(self.wake_event, pause_s)
            self.wake_event.clear()
            now = time.monotonic()
            self._decide(now)
            for message in self.watch.take_messages(now):
                self._send(now, message, self.peers.addresses_except(self.instance))
            self._copy_verdicts(now)

    def _decide(self, now: float) -> None:
        before = self.watch.quarantine.verdicts()
        for item in self.watch.decide(now):
            logger.warning(
                "requests held back, servers crashed on them",
                extra={
                    "trait": item.trait,
                    "crashes": item.count,
                    "servers": sorted(start.server for start in item.crashes),
                },
            )
        for trait, verdict in self.watch.quarantine.verdicts().items():
            known = before.get(trait)
            if known is not None and known.held and not verdict.held:
                logger.info("requests no longer held back", extra={"trait": trait})
        if self.watch.quarantine.revision != self.known_revision:
            self.known_revision = self.watch.quarantine.revision
            self.held_changed()

    def _send(self, now: float, message: CrashMessage, addresses: list[str]) -> None:
        hint = CrashHint(self.instance, shift(message, -now))
        self.peers.send_all(hint, addresses)

    def _copy_verdicts(self, now: float) -> None:
        """Send all verdicts to the next instances, so that none lacks any for long."""
        verdicts = list(self.watch.quarantine.verdicts().items())
        others = sorted(self.peers.addresses_except(self.instance))
        if not verdicts or not others or now - self.copied_at < COPY_INTERVAL_S:
            return
        self.copied_at = now
        turn = next(self.turns)
        first = turn * MAX_COPIED % len(verdicts)
        copy = HeldTraits(dict(verdicts[first : first + MAX_COPIED]))
        chosen = {
            others[(turn * COPIES + number) % len(others)] for number in range(COPIES)
        }
        self._send(now, copy, sorted(chosen))
