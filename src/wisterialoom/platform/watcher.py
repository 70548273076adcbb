"""Keeps a view of one kind of objects current: lists them, then watches changes."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

from wisterialoom.core.fleet import FIRST_REVISION
from wisterialoom.platform.store import (
    CALL_TIMEOUT_S,
    HistoryGoneError,
    StoreRestoredError,
    StoreUnavailableError,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisterialoom.core.fleet import Revision
    from wisterialoom.platform.store import (
        StoreClient,
        StoreListing,
        WatchAnswer,
    )

__all__ = ["KindWatcher"]

logger = logging.getLogger(__name__)

WATCH_WAIT_S = 2.0
"""Wait of one watch call; limits how long a broken connection stays undetected."""

BATCH_DELAY_S = 0.6
"""Pause after changes, so that the next call returns several at once.

This saves calls to the store. A draining server is still noticed within a third of
the time that servers usually have to drain.
"""

FIRST_READ_TIMEOUT_S = 0.4
MAX_READ_TIMEOUT_S = 6.0
"""First and longest read timeout of a list.

The first timeout is short, because an instance cannot serve without its first list. It
doubles with each failure, because a store that many instances call at once is slow.
"""

FIRST_RETRY_S = 0.1
MAX_RETRY_S = 1.0
"""First and longest pause after a failed call."""


class KindWatcher:
    """Follows one kind of objects in the store.

    Attributes:
        kind: Kind of the objects.
        store: Client of the store.
        on_listing: Called with each complete list and the value of `lost_since`.
        on_changes: Called with the answer of each watch.
        batches_changes: Whether to wait after changes to collect more of them; for
            frequent changes that may be some tenths of a second late.
        checked_at: Monotonic time at which the view was last known to be current.
        lost_since: Monotonic time of the first failed call since the last answer;
            `None` if the store answers.
        revision: Revision of the view; `FIRST_REVISION` before the first list.
        read_timeout_s: Read timeout of the next list.
        listed: Whether a list has been read from which watches can continue.
        active_event: Set while this instance reads the store itself.
        on_confirmed: Called when the first watch after a start of reading has shown
            whether the view is current.
        confirmed: Whether the view was confirmed since this instance began to read.
    """

    def __init__(
        self,
        kind: str,
        store: StoreClient,
        on_listing: Callable[[StoreListing, float | None], None],
        on_changes: Callable[[WatchAnswer], None],
        *,
        batches_changes: bool = False,
    ) -> None:
        self.kind = kind
        self.batches_changes = batches_changes
        self.store = store
        self.on_listing = on_listing
        self.on_changes = on_changes
        self.checked_at = float("-inf")
        self.lost_since: float | None = None
        self.revision = FIRST_REVISION
        self.read_timeout_s = FIRST_READ_TIMEOUT_S
        self.listed = False
        self.active_event = asyncio.Event()
        self.on_confirmed: Callable[[], None] = lambda: None
        self.confirmed = False

    async def run(self) -> None:
        """List and watch the objects until canceled."""
        pause_s = FIRST_RETRY_S
        while True:
            await self.active_event.wait()
            try:
                await self._step()
                pause_s = FIRST_RETRY_S
                self.read_timeout_s = CALL_TIMEOUT_S
                self._record_answer()
            except HistoryGoneError:
                self.listed = False
                logger.info(
                    "store history expired, listing again", extra={"kind": self.kind}
                )
            except StoreRestoredError as error:
                self.listed = False
                logger.warning(
                    "store restored, listing again",
                    extra={"kind": self.kind, "error": str(error)},
                )
            except StoreUnavailableError as error:
                self._record_failure(error)
                await asyncio.sleep(pause_s)
                if self.revision > FIRST_REVISION:
                    pause_s = min(MAX_RETRY_S, pause_s * 2)
                self.read_timeout_s = min(MAX_READ_TIMEOUT_S, 2 * self.read_timeout_s)

    def set_active(self, *, active: bool) -> None:
        """Start or stop reading the store.

        A call in progress still ends normally after a stop.
        """
        if active == self.active_event.is_set():
            return
        if active:
            self.confirmed = False
            self.active_event.set()
        else:
            self.active_event.clear()
            # From now on other instances confirm the view, so that an outage that
            # only this instance saw is irrelevant.
            self.lost_since = None

    def confirm(self, revision: Revision) -> None:
        """Record that another instance confirmed the view at a revision."""
        self.revision = max(self.revision, revision)

    async def _step(self) -> None:
        started = time.monotonic()
        if not self.listed:
            listing = await self.store.list(
                self.kind, read_timeout_s=self.read_timeout_s
            )
            self.revision = listing.revision
            self.listed = True
            self.on_listing(listing, self.lost_since)
        else:
            # A new watcher's view counts for other instances only once it is confirmed,
            # so the first call does not wait for a change.
            wait_s = WATCH_WAIT_S if self.confirmed else 0.0
            answer = await self.store.watch(self.kind, self.revision, wait_s)
            self.revision = max(self.revision, answer.revision)
            self.checked_at = started
            self.on_changes(answer)
            if not self.confirmed:
                self.confirmed = True
                self.on_confirmed()
            elif answer.changed or answer.removed:
                if self.batches_changes:
                    await asyncio.sleep(BATCH_DELAY_S)
            elif time.monotonic() - started >= wait_s:
                # Nothing changed during the wait, so the view was current until its
                # end.
                self.checked_at += wait_s
            return
        self.checked_at = started
        self.confirmed = True

    def _record_answer(self) -> None:
        if self.lost_since is None:
            return
        lost_s = time.monotonic() - self.lost_since
        self.lost_since = None
        logger.warning(
            "store regained",
            extra={"kind": self.kind, "lost_s": lost_s, "revision": self.revision},
        )

    def _record_failure(self, error: StoreUnavailableError) -> None:
        if self.lost_since is not None:
            return
        self.lost_since = time.monotonic()
        logger.warning(
            "store lost",
            extra={"kind": self.kind, "error": str(error), "revision": self.revision},
        )
