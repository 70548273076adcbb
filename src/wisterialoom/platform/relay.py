"""Passes what the watchers of the store know to the other instances.

A watcher tells all others, some times a second and at each change, which configuration
and servers it knows and how old that is. Who disagrees asks for a copy. Who hears too
few watchers follows the store itself, as `WatcherRole` decides.
"""

from __future__ import annotations

import asyncio
import logging
import time
import zlib
from dataclasses import replace
from typing import TYPE_CHECKING

from wisterialoom.core.fleet import MAX_RANK, WATCHER_MAX_AGE_S, WatcherRole
from wisterialoom.platform._tasks import TaskGroup, wait_for
from wisterialoom.platform.hints import (
    ConfigCopy,
    CopyWanted,
    HintError,
    News,
    ServersCopy,
)

if TYPE_CHECKING:
    from wisterialoom.core.fleet import TableEntry
    from wisterialoom.platform.catalog import Catalog
    from wisterialoom.platform.peers import PeerLink

__all__ = ["Relay"]

logger = logging.getLogger(__name__)

STEP_S = 0.15
"""Time between two decisions about the duty."""

NEWS_S = 0.3
"""Time between two messages of a watcher; three lost ones count as its loss."""

REPEAT_S = 1.0
"""Time for which a change is told with each message, against losses."""

ASK_S = 0.2
"""Least time between two requests for a copy; some ten round trips between zones."""

SERVERS_A_PART = 200
"""Servers in one datagram; each takes some 100 bytes of at most 60 KB."""


class Relay:
    """Tells others what is known here, and takes what they tell.

    Attributes:
        me: Name of this instance.
        catalog: What is known here.
        peers: The datagram socket.
        role: Decides who follows the store.
        asked_at: Monotonic time of the last request for a copy.
        sent_at: Monotonic time of the last message.
        packed: Configuration as it is sent to others, with its version.
        parts: Parts of a copy that has not come whole, by watcher and revision.
    """

    def __init__(
        self, me: str, catalog: Catalog, peers: PeerLink, *, slow_link: bool = False
    ) -> None:
        self.me = me
        self.catalog = catalog
        self.peers = peers
        self.role = WatcherRole(_rank(me, slow_link=slow_link))
        self.asked_at = float("-inf")
        self.sent_at = float("-inf")
        self.packed: tuple[int, ConfigCopy] | None = None
        self.parts: dict[tuple[str, int], dict[int, dict[str, TableEntry]]] = {}
        self.wake_event = asyncio.Event()
        self.tasks = TaskGroup()
        catalog.on_update = self.wake_event.set

    def start(self) -> None:
        """Begin to tell others, and to decide about the duty."""
        self.tasks.spawn(self._run())

    async def stop(self) -> None:
        """Fall silent; another watcher takes over."""
        await self.tasks.stop()

    async def _run(self) -> None:
        while not self.catalog.known:
            await wait_for(self.wake_event, STEP_S)
            self.wake_event.clear()
        # The first list has been read; who reads on is decided from here.
        self.catalog.set_active(active=self.role.active)
        while True:
            changed = await wait_for(self.wake_event, STEP_S)
            self.wake_event.clear()
            now = time.monotonic()
            if self.role.step(now):
                self.catalog.set_active(active=self.role.active)
                logger.info(
                    "watch duty",
                    extra={
                        "on": self.role.active,
                        "heard": len(self.role.live_watchers(now)),
                        "revision": self.catalog.server_watcher.revision,
                    },
                )
            if self.role.active and (changed or now - self.sent_at >= NEWS_S):
                self._publish(now)

    def _publish(self, now: float) -> None:
        config_age_s = now - self.catalog.config.checked_at
        age_s = now - self.catalog.server_watcher.checked_at
        if max(config_age_s, age_s) > WATCHER_MAX_AGE_S:
            # No one would count it as a watcher; its silence lets others take over.
            return
        self.sent_at = now
        news = News(
            watcher=self.me,
            rank=self.role.rank,
            config_age_s=config_age_s,
            age_s=age_s,
            config_version=self.catalog.config_version,
            config_revision=self.catalog.config.revision,
            revision=self.catalog.server_watcher.revision,
            digest=self.catalog.table.digest,
            changes=self.catalog.table.changed_since(now - REPEAT_S),
        )
        self.peers.send_all(news, self.peers.others(self.me))

    def take_news(self, news: News, address: str) -> None:
        """Take what a watcher knows; ask for a copy if that is more."""
        now = time.monotonic()
        catalog = self.catalog
        self.role.record_message(now, news.watcher, news.rank)
        if news.changes:
            catalog.take_entries(news.changes)
        differs = news.digest != catalog.table.digest
        newer = differs and news.revision >= catalog.server_watcher.revision
        if newer or news.config_version > catalog.config_version:
            self._ask(now, address)
            return
        # A watcher that lags behind others is as good a watcher.
        current_at = now - max(news.config_age_s, news.age_s)
        self.role.record_agreement(now, news.watcher, current_at)
        if not differs and news.config_version == catalog.config_version:
            catalog.confirm_current(
                now - news.config_age_s, news.config_revision, news.revision
            )

    def _ask(self, now: float, address: str) -> None:
        if now - self.asked_at < ASK_S:
            return
        self.asked_at = now
        wanted = CopyWanted(
            self.me, self.catalog.config_version, self.catalog.table.digest
        )
        self.peers.send(wanted, address)

    def answer(self, wanted: CopyWanted, address: str) -> None:
        """Send another instance what it lacks."""
        catalog = self.catalog
        if not catalog.known:
            return
        if catalog.config_version > wanted.config_version:
            self.peers.send(self._pack_config(), address)
        if catalog.table.digest == wanted.digest:
            return
        entries = [
            (server_id, entry)
            for server_id, entry in catalog.table.entries.items()
            if entry.server is not None
        ]
        starts = range(0, len(entries), SERVERS_A_PART) or range(1)
        copy = ServersCopy(self.me, catalog.server_watcher.revision, 0, len(starts), {})
        for part, start in enumerate(starts):
            chunk = dict(entries[start : start + SERVERS_A_PART])
            self.peers.send(replace(copy, part=part, entries=chunk), address)

    def _pack_config(self) -> ConfigCopy:
        version = self.catalog.config_version
        if self.packed is None or self.packed[0] != version:
            copy = ConfigCopy.from_spec(self.catalog.config_spec)
            self.packed = (version, copy)
        return self.packed[1]

    def take_config(self, copy: ConfigCopy) -> None:
        """Take a copy of the configuration."""
        try:
            spec = copy.unpack()
        except HintError as error:
            logger.warning("configuration from another", extra={"error": str(error)})
            return
        self.catalog.take_config(spec)

    def take_servers(self, copy: ServersCopy) -> None:
        """Take a part of the servers; the last part makes them whole."""
        key = (copy.watcher, copy.revision)
        if key not in self.parts:
            self.parts = {key: {}}
        parts = self.parts[key]
        parts[copy.part] = copy.entries
        if len(parts) < copy.parts:
            return
        self.parts = {}
        entries = {
            server_id: entry
            for part in parts.values()
            for server_id, entry in part.items()
        }
        self.catalog.take_table(copy.revision, entries)


def _rank(name: str, *, slow_link: bool) -> int:
    """Return the rank for the watch: by name, slow links after all others."""
    by_name = zlib.crc32(name.encode()) // 2
    return by_name + (MAX_RANK // 2 if slow_link else 0)
