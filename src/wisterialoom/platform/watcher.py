"""Keeps a view of one kind of objects current: lists them, then watches changes."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

from wisterialoom.core.fleet import FIRST_REVISION, ViewPromise
from wisterialoom.platform.lease_manager import lease_clock
from wisterialoom.platform.store import (
    CALL_TIMEOUT_S,
    HistoryGoneError,
    StoreRestoredError,
    StoreUnavailableError,
    WatchCutError,
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

BATCH_DELAY_S = 0.6
"""Pause after changes, so that the next call returns several at once.

This saves calls to the store. A draining server is still noticed within a third of
the time that servers usually have to drain.
"""

MIN_WATCH_WAIT_S = 0.02
"""Wait below which a watch only confirms the view; some round trips."""

FIRST_READ_TIMEOUT_S = 0.4
MAX_READ_TIMEOUT_S = 6.0
"""First and longest read timeout of a list.

The first timeout is short, because an instance cannot serve without its first list. It
doubles with each failure, because a store that many instances call at once is slow.
"""

MAX_WATCH_TIMEOUT_S = 1.6
"""Longest timeout of a watch beyond its wait.

It begins with that of `ViewPromise` and doubles with each failure, so that a slow store
is still followed.
"""

FIRST_RETRY_S = 0.1
"""Pause after the first failed call; `max_retry_s` is the one after further ones."""


class KindWatcher:
    """Follows one kind of objects in the store.

    Attributes:
        kind: Kind of the objects.
        store: Client of the store.
        on_listing: Called with each complete list, the revision of the view before it,
            and the value of `lost_since`.
        on_changes: Called with the answer of each watch and the revision of the view
            before it. Others may have confirmed a later one than the watch began at.
        batches_changes: Whether to wait after changes to collect more of them; for
            frequent changes that may be some tenths of a second late.
        promise: Limits on the age of the view.
        max_retry_s: Pause after each failed call but the first.
        checked_at: Monotonic time at which the view was last known to be current.
        read_at: Time at which the last call that was answered began, on a clock that
            includes time spent suspended.
        lost_since: Monotonic time of the first failed call since the last answer;
            `None` if the store answers.
        revision: Revision of the view; `FIRST_REVISION` before the first list.
        read_timeout_s: Read timeout of the next list.
        watch_timeout_s: Timeout of the next watch beyond its wait.
        listed: Whether a list has been read from which watches can continue.
        active_event: Set while this instance reads the store itself.
        on_confirmed: Called when the first watch after a start of reading has shown
            whether the view is current.
        on_lost: Called with the error of the first failed call since the last answer.
        prerequisite: Watcher of another kind whose last call must have been answered
            before this one calls, so that an instance that has lost the store makes
            one call at a time.
        answered_event: Set while the last call was answered, and not before the first
            call after a start of reading.
        confirmed: Whether the view was confirmed since this instance began to read.
        was_cut: Whether a watch was cut off while it waited, and no call was answered
            since then. The next call does not wait, as it shows whether the store is
            there.
        cut_at: Monotonic time of the last such cut.
    """

    def __init__(
        self,
        kind: str,
        store: StoreClient,
        on_listing: Callable[[StoreListing, Revision, float | None], None],
        on_changes: Callable[[WatchAnswer, Revision], None],
        *,
        batches_changes: bool = False,
        prerequisite: KindWatcher | None = None,
        promise: ViewPromise,
    ) -> None:
        self.kind = kind
        self.prerequisite = prerequisite
        self.promise = promise
        self.max_retry_s = promise.max_retry_s(1)
        self.watch_timeout_s = promise.call_timeout_s
        self.answered_event = asyncio.Event()
        self.batches_changes = batches_changes
        self.store = store
        self.on_listing = on_listing
        self.on_changes = on_changes
        self.checked_at = float("-inf")
        self.read_at = float("-inf")
        self.lost_since: float | None = None
        self.revision = FIRST_REVISION
        self.read_timeout_s = FIRST_READ_TIMEOUT_S
        self.listed = False
        self.active_event = asyncio.Event()
        self.on_confirmed: Callable[[], None] = lambda: None
        self.on_lost: Callable[[StoreUnavailableError], None] = lambda _: None
        self.confirmed = False
        self.was_cut = False
        self.cut_at = float("-inf")

    @property
    def is_served(self) -> bool:
        """Whether this instance reads the store, and all its calls were answered."""
        return (
            self.active_event.is_set()
            and self.answered_event.is_set()
            and self.confirmed
            and self.lost_since is None
        )

    async def run(self) -> None:
        """List and watch the objects until canceled."""
        pause_s = FIRST_RETRY_S
        while True:
            await self.active_event.wait()
            if self.prerequisite is not None:
                await self.prerequisite.answered_event.wait()
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
            except WatchCutError as error:
                await self._follow_cut(error)
            except StoreUnavailableError as error:
                self.record_failure(error)
                await asyncio.sleep(pause_s)
                if self.revision > FIRST_REVISION:
                    pause_s = self.max_retry_s
                self.read_timeout_s = min(MAX_READ_TIMEOUT_S, 2 * self.read_timeout_s)
                self.watch_timeout_s = min(
                    MAX_WATCH_TIMEOUT_S, 2 * self.watch_timeout_s
                )
            except Exception:
                # An answer may have been applied in part. The task is restarted.
                self.listed = False
                raise

    def set_active(self, *, active: bool) -> None:
        """Start or stop reading the store.

        A call in progress still ends normally after a stop.
        """
        if active == self.active_event.is_set():
            return
        if active:
            self.confirmed = False
            self.answered_event.clear()
            self.active_event.set()
        else:
            self.active_event.clear()
            # From now on other instances confirm the view, so that an outage that
            # only this instance saw is irrelevant.
            self.lost_since = None

    def confirm(self, revision: Revision) -> None:
        """Record that another instance confirmed the view at a revision.

        The events up to it are not read any more, so the view must contain them.
        """
        self.revision = max(self.revision, revision)

    async def _step(self) -> None:
        started = time.monotonic()
        read_began_at = lease_clock()
        if not self.listed:
            since = self.revision
            listing = await self.store.list(
                self.kind, read_timeout_s=self.read_timeout_s
            )
            self.listed = True
            if not since <= listing.revision < self.revision:
                self.revision = listing.revision
                self.on_listing(listing, since, self.lost_since)
            self.read_at = read_began_at
        else:
            # A new watcher's view counts for other instances only once it is confirmed,
            # so the first call does not wait for a change.
            waits = self.confirmed and not self.was_cut
            wait_s = self._wait_s() if waits else 0.0
            answer = await self.store.watch(
                self.kind, self.revision, wait_s, timeout_s=self.watch_timeout_s
            )
            self._adapt_timeout(time.monotonic() - started - wait_s)
            known = self.revision
            self.revision = max(known, answer.revision)
            self.checked_at = started
            self.on_changes(answer, known)
            self.read_at = read_began_at
            if not self.confirmed:
                self.confirmed = True
                self.on_confirmed()
            elif answer.changed or answer.removed:
                if self.batches_changes:
                    await asyncio.sleep(min(BATCH_DELAY_S, self._wait_s()))
            elif (
                time.monotonic() - started >= wait_s
                and answer.revision >= self.store.progress.latest
            ):
                # Nothing changed during the wait, so the view was current until its
                # end.
                self.checked_at += wait_s
            return
        self.checked_at = started
        self.confirmed = True

    def _wait_s(self) -> float:
        """Return the time until the view must be confirmed, in whole milliseconds."""
        confirm_at = self.checked_at + self.promise.watch_wait_s
        left_s = confirm_at - time.monotonic()
        return int(left_s * 1e3) / 1e3 if left_s > MIN_WATCH_WAIT_S else 0.0

    def _adapt_timeout(self, answer_s: float) -> None:
        """Set the timeout of the next watch from the time that an answer took."""
        self.watch_timeout_s = min(
            MAX_WATCH_TIMEOUT_S, max(self.promise.call_timeout_s, 2 * answer_s)
        )

    async def _follow_cut(self, error: WatchCutError) -> None:
        """Ask again at once, unless the watch before was cut off just now, too."""
        self.was_cut = True
        now = time.monotonic()
        pause_s = FIRST_RETRY_S if now < self.cut_at + FIRST_RETRY_S else 0.0
        self.cut_at = now
        logger.info("watch cut off", extra={"kind": self.kind, "error": str(error)})
        await asyncio.sleep(pause_s)

    def _record_answer(self) -> None:
        self.was_cut = False
        self.answered_event.set()
        if self.lost_since is None:
            return
        lost_s = time.monotonic() - self.lost_since
        self.lost_since = None
        logger.warning(
            "store regained",
            extra={"kind": self.kind, "lost_s": lost_s, "revision": self.revision},
        )

    def record_failure(self, error: StoreUnavailableError) -> None:
        """Record that a call about this kind failed, or one that must come before."""
        self.answered_event.clear()
        if self.lost_since is not None:
            return
        self.lost_since = time.monotonic()
        logger.warning(
            "store lost",
            extra={"kind": self.kind, "error": str(error), "revision": self.revision},
        )
        self.on_lost(error)
