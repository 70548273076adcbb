"""Follows a kind of objects in the store: list, then watch from its revision."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

from wisterialoom.platform.store import (
    CALL_TIMEOUT_S,
    HistoryGoneError,
    StoreUnavailableError,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisterialoom.platform.store import (
        StoreClient,
        StoreListing,
        WatchAnswer,
    )

__all__ = ["KindWatcher"]

logger = logging.getLogger(__name__)

WATCH_S = 2.0
"""Length of one watch; bounds how long a silent connection goes unnoticed."""

GATHER_S = 0.6
"""Pause after changes in which more of them gather; each call to the store counts.
A server's leaving is acted on within a third of the usual bound."""

FIRST_SILENCE_S = 0.4
MAX_SILENCE_S = 6.0
"""Bounds of the silence after which a list is asked for again. Without the first list
an instance cannot serve; the time doubles, as a store that all ask at once is slow."""

FIRST_RETRY_S = 0.1
MAX_RETRY_S = 1.0
"""Bounds of the pause after a failed call."""


class KindWatcher:
    """Keeps a view of one kind current.

    Attributes:
        kind: Kind of the objects.
        store: Client of the store.
        take_listing: Takes a whole list.
        take_changes: Takes changes after a list.
        batches_changes: Changes are frequent, and may come tenths of a second late.
        checked_at: Monotonic time at which the view was last known to be current.
        lost_since: Monotonic time since which the store does not answer, if so.
        revision: Revision of the view; 0 before the first list.
        silence_s: Silence after which a list is asked for again.
        active_event: Set while this instance follows the store itself.
    """

    def __init__(
        self,
        kind: str,
        store: StoreClient,
        take_listing: Callable[[StoreListing, float | None], None],
        take_changes: Callable[[WatchAnswer], None],
        *,
        batches_changes: bool = False,
    ) -> None:
        self.kind = kind
        self.batches_changes = batches_changes
        self.store = store
        self.take_listing = take_listing
        self.take_changes = take_changes
        self.checked_at = float("-inf")
        self.lost_since: float | None = None
        self.revision = 0
        self.silence_s = FIRST_SILENCE_S
        self.listed = False
        self.active_event = asyncio.Event()
        self.active_event.set()

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        pause_s = FIRST_RETRY_S
        while True:
            await self.active_event.wait()
            try:
                await self._step()
                pause_s = FIRST_RETRY_S
                self.silence_s = CALL_TIMEOUT_S
                self._note_answer()
            except HistoryGoneError:
                self.listed = False
                logger.info("history gone, listing again", extra={"kind": self.kind})
            except StoreUnavailableError as error:
                self._note_failure(error)
                await asyncio.sleep(pause_s)
                if self.revision:
                    pause_s = min(MAX_RETRY_S, pause_s * 2)
                self.silence_s = min(MAX_SILENCE_S, 2 * self.silence_s)

    def set_active(self, *, active: bool) -> None:
        """Begin to follow the store, or leave it to others after the next answer."""
        if active:
            self.active_event.set()
        else:
            self.active_event.clear()
            # Others vouch for the view; what this instance missed does not count.
            self.lost_since = None

    def confirm(self, revision: int) -> None:
        """Take another instance's word that the view is current at a revision."""
        self.revision = max(self.revision, revision)

    async def _step(self) -> None:
        started = time.monotonic()
        if not self.listed:
            listing = await self.store.list(self.kind, silence_s=self.silence_s)
            self.revision = listing.revision
            self.listed = True
            self.take_listing(listing, self.lost_since)
        else:
            answer = await self.store.watch(self.kind, self.revision, WATCH_S)
            self.revision = max(self.revision, answer.revision)
            self.take_changes(answer)
            if answer.changed or answer.removed:
                if self.batches_changes:
                    await asyncio.sleep(GATHER_S)
            elif time.monotonic() - started >= WATCH_S:
                # The store saw no change until the wait was over.
                started += WATCH_S
        self.checked_at = started

    def _note_answer(self) -> None:
        if self.lost_since is None:
            return
        lost_s = time.monotonic() - self.lost_since
        self.lost_since = None
        logger.warning(
            "store regained",
            extra={"kind": self.kind, "lost_s": lost_s, "revision": self.revision},
        )

    def _note_failure(self, error: StoreUnavailableError) -> None:
        if self.lost_since is not None:
            return
        self.lost_since = time.monotonic()
        logger.warning(
            "store lost",
            extra={"kind": self.kind, "error": str(error), "revision": self.revision},
        )
