"""Distributes the store's contents among instances, so that few have to read it.

Only some instances, the watchers, read the store. A watcher sends all other instances
a `News` message several times a second and at each change: which configuration and
servers it has, and the age of this view. An instance whose view differs requests a
copy. An instance that receives messages of too few watchers becomes a watcher itself;
`WatcherRole` decides this.
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
    from collections.abc import Callable

    from wisterialoom.core.fleet import Revision, TableEntry
    from wisterialoom.platform.catalog import Catalog
    from wisterialoom.platform.peers import PeerLink

__all__ = ["Relay"]

logger = logging.getLogger(__name__)

ROLE_CHECK_S = 0.15
"""Interval between two decisions about the watcher role."""

ANNOUNCE_INTERVAL_S = 0.3
"""Interval between messages of a watcher.

A watcher counts as lost after three missing messages.
"""

CHANGE_RESEND_S = 1.0
"""Time for which each message includes a change again, in case one is lost."""

MIN_COPY_REQUEST_INTERVAL_S = 0.2
"""Minimum time between two requests for a copy.

More than ten round trips between availability zones.
"""

SERVERS_PER_PART = 200
"""Servers in one datagram; each takes about 100 bytes of at most 60 KB."""


class Relay:
    """Sends this instance's view of the store to other instances and applies theirs.

    Attributes:
        me: Name of this instance.
        catalog: This instance's view of configuration and servers.
        peers: Datagrams between instances.
        record_era: Called with the era of the store that a watcher names.
        role: Decides whether this instance reads the store.
        copy_requested_at: Monotonic time of the last request for a copy.
        sent_at: Monotonic time of the last `News` message.
        packed_config: Version of the configuration and its encoded copy; `None`
            before the first request for one.
        parts: Received parts of an incomplete copy of the servers, by watcher and
            revision.
        wake_event: Set at each change of the catalog.
        tasks: The task that sends messages and updates the role.
    """

    def __init__(
        self,
        me: str,
        catalog: Catalog,
        peers: PeerLink,
        record_era: Callable[[int], None],
        *,
        slow_link: bool = False,
    ) -> None:
        self.me = me
        self.catalog = catalog
        self.peers = peers
        self.record_era = record_era
        self.role = WatcherRole(_rank(me, slow_link=slow_link))
        self.copy_requested_at = float("-inf")
        self.sent_at = float("-inf")
        self.packed_config: tuple[int, ConfigCopy] | None = None
        self.parts: dict[tuple[str, Revision], dict[int, dict[str, TableEntry]]] = {}
        self.wake_event = asyncio.Event()
        self.tasks = TaskGroup()
        catalog.on_update = self.wake_event.set

    def start(self) -> None:
        """Begin to send messages and to update the watcher role."""
        self.tasks.spawn(self._run())

    async def stop(self) -> None:
        """Stop sending; another instance takes the watcher role over."""
        await self.tasks.stop()

    async def _run(self) -> None:
        while not self.catalog.is_loaded:
            await wait_for(self.wake_event, ROLE_CHECK_S)
            self.wake_event.clear()
        # Until its first complete view, every instance reads the store. From now on
        # this one does so only while it is a watcher.
        self.catalog.set_active(active=self.role.active)
        while True:
            changed = await wait_for(self.wake_event, ROLE_CHECK_S)
            self.wake_event.clear()
            now = time.monotonic()
            if not self.role.has_followed:
                self.role.lower_ranked = self._count_lower_ranked()
            if self.role.step(now):
                self.catalog.set_active(active=self.role.active)
                logger.info(
                    "watcher role",
                    extra={
                        "on": self.role.active,
                        "heard": len(self.role.live_watchers(now)),
                        "revision": self.catalog.server_watcher.revision,
                    },
                )
            if self.role.active and (
                changed or now - self.sent_at >= ANNOUNCE_INTERVAL_S
            ):
                self._publish(now)

    def _count_lower_ranked(self) -> int | None:
        """Count the known instances of lower rank, as if all had fast links."""
        others = self.peers.members.keys() - {self.me}
        if not others:
            return None
        return sum(_rank(name, slow_link=False) < self.role.rank for name in others)

    def _publish(self, now: float) -> None:
        config_age_s = now - self.catalog.config.checked_at
        age_s = now - self.catalog.server_watcher.checked_at
        if max(config_age_s, age_s) > WATCHER_MAX_AGE_S:
            # Others would not count this instance as a watcher any more. Without its
            # messages they take the role over.
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
            changes=self.catalog.table.changed_since(now - CHANGE_RESEND_S),
        )
        self.peers.send_all(news, self.peers.addresses_except(self.me))

    def handle_news(self, news: News, address: str) -> None:
        """Apply a watcher's message, and request a copy if its view is newer.

        Args:
            news: The message.
            address: Address of the watcher.
        """
        now = time.monotonic()
        catalog = self.catalog
        self.role.record_message(now, news.watcher, news.rank)
        if news.revision.era < catalog.table.era_start.era:
            # The watcher has yet to notice a restore of the store.
            return
        self.record_era(news.revision.era)
        catalog.begin_era(news.revision)
        if news.changes:
            catalog.apply_entries(news.changes)
        differs = news.digest != catalog.table.digest
        newer = differs and news.revision >= catalog.server_watcher.revision
        if newer or news.config_version > catalog.config_version:
            self._request_copy(now, address)
            return
        # A watcher whose view is older than that of others still counts as one.
        current_at = now - max(news.config_age_s, news.age_s)
        self.role.record_agreement(now, news.watcher, current_at)
        if not differs and news.config_version == catalog.config_version:
            catalog.confirm_current(
                now - news.config_age_s, news.config_revision, news.revision
            )

    def _request_copy(self, now: float, address: str) -> None:
        if now - self.copy_requested_at < MIN_COPY_REQUEST_INTERVAL_S:
            return
        self.copy_requested_at = now
        request = CopyWanted(
            self.me, self.catalog.config_version, self.catalog.table.digest
        )
        self.peers.send(request, address)

    def answer(self, request: CopyWanted, address: str) -> None:
        """Send another instance the configuration and servers that it lacks."""
        catalog = self.catalog
        if not catalog.is_loaded:
            return
        if catalog.config_version > request.config_version:
            self.peers.send(self._pack_config(), address)
        if catalog.table.digest == request.digest:
            return
        entries = [
            (server_id, entry)
            for server_id, entry in catalog.table.entries.items()
            if entry.server is not None
        ]
        starts = range(0, len(entries), SERVERS_PER_PART) or range(1)
        copy = ServersCopy(self.me, catalog.server_watcher.revision, 0, len(starts), {})
        for part, start in enumerate(starts):
            chunk = dict(entries[start : start + SERVERS_PER_PART])
            self.peers.send(replace(copy, part=part, entries=chunk), address)

    def _pack_config(self) -> ConfigCopy:
        version = self.catalog.config_version
        if self.packed_config is None or self.packed_config[0] != version:
            copy = ConfigCopy.from_spec(self.catalog.config_spec)
            self.packed_config = (version, copy)
        return self.packed_config[1]

    def apply_config(self, copy: ConfigCopy) -> None:
        """Apply a copy of the configuration."""
        try:
            spec = copy.unpack()
        except HintError as error:
            logger.warning(
                "invalid configuration copy ignored", extra={"error": str(error)}
            )
            return
        self.catalog.apply_config(spec)

    def apply_servers(self, copy: ServersCopy) -> None:
        """Store one part of a copy of the servers, and apply the copy once complete."""
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
        self.catalog.apply_table(copy.revision, entries)


def _rank(name: str, *, slow_link: bool) -> int:
    """Return the rank for the watcher role: by name, with slow links last."""
    by_name = zlib.crc32(name.encode()) // 2
    return by_name + (MAX_RANK // 2 if slow_link else 0)
