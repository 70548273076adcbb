"""Distributes the store's contents among instances, so that few have to read it.

Only some instances, the watchers, follow the store. A watcher sends all other instances
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

from wisterialoom.core.fleet import (
    FirstView,
    LinkClass,
    MAX_RANK,
    ViewSource,
    WatcherRole,
)
from wisterialoom.platform._tasks import TaskGroup, wait_for
from wisterialoom.platform.hint_codec import split_entries, split_versions
from wisterialoom.platform.hints import (
    ConfigCopy,
    CopyWanted,
    HintError,
    News,
    RelistWindow,
    ServersCopy,
    ServerVersions,
    StoreReached,
    VersionsWanted,
)
from wisterialoom.platform.log import age_ms

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from wisterialoom.core.fleet import Revision, TableEntry, ViewPromise
    from wisterialoom.platform.catalog import Catalog
    from wisterialoom.platform.peers import PeerLink
    from wisterialoom.platform.store import StoreClient

__all__ = ["Relay"]

logger = logging.getLogger(__name__)

ROLE_CHECK_S = 0.15
"""Interval between two decisions about the watcher role."""

FIRST_VIEW_CHECK_S = 0.03
"""Interval between two steps towards the first view; some round trips."""

ANNOUNCE_INTERVAL_S = 0.3
"""Interval between messages of a watcher.

A watcher counts as lost after three missing messages.
"""

ANNOUNCE_MAX_AGE_S = 5.0
"""Age of its view above which a watcher falls silent.

Others do not count it any more, but one that starts may have no better source.
"""

CHANGE_RESEND_S = 0.35
"""Time for which each message of a watcher includes a change again.

Several watchers announce each change. Who misses all of these messages sees it from the
digest and requests a copy.
"""

MIN_COPY_REQUEST_INTERVAL_S = 0.2
"""Minimum time between two requests for a copy, and between two copies to an instance.

More than ten round trips between availability zones.
"""

VERSIONS_REQUEST_INTERVAL_S = 1.0
"""Minimum time between two requests for software versions.

They are lacking for longer only beside watchers of an earlier build.
"""

VERSIONS_ASKED = 3
"""Instances that are asked for software versions at once."""

WARNING_INTERVAL_S = 0.5
"""Minimum time between two warnings of watchers that read a past state."""

NO_SERVERS_DIGEST = -1
"""Digest of an instance that does not know any servers yet.

It differs from the digest of an empty table, which is a complete view.
"""


class Relay:
    """Sends this instance's view of the store to other instances and applies theirs.

    Attributes:
        me: Name of this instance.
        catalog: This instance's view of configuration and servers.
        peers: Datagrams between instances.
        store: Client of the store; tells what this instance's own calls have shown.
        find_holder: Returns the address of the lease holder; empty if it is nobody
            else, `None` if it is not known yet.
        holds_lease: Returns whether this instance holds the placement lease.
        get_promise: Returns the limits on the age of the view.
        first_view: Decides where the first view comes from.
        role: Decides whether this instance reads the store.
        copy_requested_at: Monotonic time of the last request for a copy.
        answered_at: Monotonic time of the last copy sent to each address.
        sent_at: Monotonic time of the last `News` message.
        heard_version: Newest version of the configuration that a watcher has named.
        warned_at: Monotonic time of the last warning of a watcher.
        packed_config: Version of the configuration and its encoded copy; `None`
            before the first request for one.
        parts: Received parts of an incomplete copy of the servers, by watcher and
            revision.
        windows: Monotonic time until which each instance that has told so awaits
            entries that may have expired in an outage of the store.
        versions_requested_at: Monotonic time of the last request for the software
            versions of servers.
        versions_requests: Number of these requests since all versions were known.
        wake_event: Set at each change of the catalog.
        tasks: The task that sends messages and updates the role.
    """

    def __init__(
        self,
        me: str,
        catalog: Catalog,
        peers: PeerLink,
        store: StoreClient,
        find_holder: Callable[[], str | None],
        holds_lease: Callable[[], bool],
        get_promise: Callable[[], ViewPromise],
        *,
        link: LinkClass = LinkClass.FAST,
    ) -> None:
        self.me = me
        self.catalog = catalog
        self.peers = peers
        self.store = store
        store.on_restore_answered.append(self.doubt_watchers)
        self.find_holder = find_holder
        self.holds_lease = holds_lease
        self.first_view = FirstView()
        self.get_promise = get_promise
        self.role = WatcherRole(_rank(me, link), get_promise())
        self.copy_requested_at = float("-inf")
        self.answered_at: dict[str, float] = {}
        self.sent_at = float("-inf")
        self.heard_version = 0
        self.warned_at = float("-inf")
        self.packed_config: tuple[int, ConfigCopy] | None = None
        self.parts: dict[tuple[str, Revision], dict[int, dict[str, TableEntry]]] = {}
        self.windows: dict[str, float] = {}
        self.versions_requested_at = float("-inf")
        self.versions_requests = 0
        self.wake_event = asyncio.Event()
        self.tasks = TaskGroup()
        catalog.on_update = self.wake_event.set

    def start(self) -> None:
        """Begin to send messages and to update the watcher role."""
        self.tasks.supervise("relay", self._run)

    async def stop(self) -> None:
        """Stop sending; another instance takes the watcher role over."""
        await self.tasks.stop()

    async def _run(self) -> None:
        await self._get_first_view()
        self.catalog.set_active(active=self.role.active)
        while True:
            due_s = self.role.due_in_s(time.monotonic())
            changed = await wait_for(self.wake_event, min(ROLE_CHECK_S, due_s))
            self.wake_event.clear()
            now = time.monotonic()
            self.role.promise = self.get_promise()
            self.catalog.set_limits(self.role.promise, len(self.peers.members))
            if not self.role.has_followed:
                self.role.lower_ranked = self._count_lower_ranked()
                if self.holds_lease():
                    # The others have copied what this instance alone has read.
                    self.role.begin()
            if self.role.step(now):
                self.catalog.set_active(active=self.role.active)
                logger.info(
                    "watcher role",
                    extra={
                        "on": self.role.active,
                        "heard": len(self.role.live_watchers(now)),
                        "view_age_ms": age_ms(now, self.catalog.current_at),
                        "revision": self.catalog.server_watcher.revision,
                    },
                )
            self._request_versions(now)
            if self.role.active and (
                changed or now - self.sent_at >= ANNOUNCE_INTERVAL_S
            ):
                self._publish(now)

    async def _get_first_view(self) -> None:
        """Wait until the servers are known, from the store or another instance.

        The configuration may come later; the operator writes the first one only after
        the instances have started.
        """
        reads_store = False
        while not self.catalog.has_servers:
            now = time.monotonic()
            match self.first_view.step(now, self.find_holder()):
                case ViewSource.ASK_HOLDER:
                    self._send_copy_request(self.find_holder() or "")
                case ViewSource.READ_STORE if not reads_store:
                    reads_store = True
                    self.catalog.read_store()
            await wait_for(self.wake_event, FIRST_VIEW_CHECK_S)
            self.wake_event.clear()

    def _count_lower_ranked(self) -> int | None:
        """Count the known instances of lower rank, as if all links were equal."""
        others = self.peers.members.keys() - {self.me}
        if not others:
            return None
        own = _rank(self.me, LinkClass.FAST)
        return sum(_rank(name, LinkClass.FAST) < own for name in others)

    def _publish(self, now: float) -> None:
        config_age_s = now - self.catalog.config.checked_at
        age_s = now - self.catalog.server_watcher.checked_at
        if max(config_age_s, age_s) > ANNOUNCE_MAX_AGE_S:
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
        if news.changes and not self.peers.fits(news):
            # Others see from the digest that they need a copy.
            news = replace(news, changes={})
        others = self.peers.addresses_except(self.me)
        self._send_versions(news.changes, others)
        if self.catalog.table.lapsed:
            self._send_window(now, others)
        self.peers.send_all(news, others)

    def _send_window(self, now: float, addresses: list[str]) -> None:
        """Tell instances how long servers that a copy lacks must not count as gone."""
        remaining_s = self.catalog.relist_deadline - now
        if remaining_s > 0:
            self.peers.send_all(RelistWindow(self.me, remaining_s), addresses)

    def _send_versions(self, server_ids: Iterable[str], addresses: list[str]) -> None:
        """Tell instances the software versions of servers, some in each datagram."""
        listed = self.catalog.table.listed
        versions = {
            (server.id, server.started_ms): server.software_version
            for server_id in server_ids
            if (server := listed.get(server_id)) and server.software_version
        }
        for part in split_versions(versions):
            self.peers.send_all(ServerVersions(self.me, part), addresses)

    def _request_versions(self, now: float) -> None:
        """Ask for software versions that the messages of watchers did not bring.

        Watchers of an earlier build do not answer; the store does.
        """
        if not self.catalog.table.lacks_software_versions:
            self.versions_requests = 0
            return
        if now - self.versions_requested_at < VERSIONS_REQUEST_INTERVAL_S:
            return
        self.versions_requested_at = now
        self.versions_requests += 1
        if self.versions_requests > 1:
            self.tasks.spawn(self.catalog.read_software_versions())
            return
        others = self.peers.addresses_except(self.me)
        self.peers.send_all(VersionsWanted(self.me), others[:VERSIONS_ASKED])

    def handle_hint(
        self,
        hint: News
        | CopyWanted
        | ConfigCopy
        | RelistWindow
        | ServersCopy
        | ServerVersions
        | StoreReached
        | VersionsWanted,
        address: str,
    ) -> None:
        """Handle a message about the store's contents.

        Args:
            hint: The message.
            address: Address of the sender.
        """
        match hint:
            case News():
                self.handle_news(hint, address)
            case StoreReached():
                self.handle_warning(hint)
            case CopyWanted():
                self.answer(hint, address)
            case ConfigCopy():
                self.apply_config(hint)
            case RelistWindow(instance=name, remaining_s=remaining_s):
                self.windows[name] = time.monotonic() + remaining_s
            case ServersCopy():
                self.apply_servers(hint)
            case ServerVersions(versions=versions):
                self.catalog.learn_software_versions(versions)
            case VersionsWanted():
                self._send_versions(self.catalog.table.listed, [address])

    def handle_news(self, news: News, address: str) -> None:
        """Apply a watcher's message, and request a copy if its view is newer.

        Args:
            news: The message.
            address: Address of the watcher.
        """
        now = time.monotonic()
        catalog = self.catalog
        self.heard_version = max(self.heard_version, news.config_version)
        self.role.record_message(now, news.watcher, news.rank)
        if news.revision.era < max(catalog.table.era_start.era, self.store.era):
            # The watcher has yet to notice a restore of the store.
            return
        if self._is_disproved(now, news):
            self._warn_of_past(now, news)
            return
        self.store.record_revision(max(news.revision, news.config_revision))
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
                now - news.config_age_s,
                now - news.age_s,
                news.config_revision,
                news.revision,
            )

    def _is_disproved(self, now: float, news: News) -> bool:
        """Return whether this instance's own calls contradict a watcher."""
        disproves = self.store.progress.disproves
        return disproves(news.revision, now - news.age_s) or disproves(
            news.config_revision, now - news.config_age_s
        )

    def _warn_of_past(self, now: float, news: News) -> None:
        """Tell all instances that a watcher reads a past state of the store."""
        if now - self.warned_at < WARNING_INTERVAL_S:
            return
        self.warned_at = now
        logger.warning(
            "watcher reads a past state of the store",
            extra={
                "watcher": news.watcher,
                "revision": news.revision,
                "reached": self.store.progress.latest,
            },
        )
        warning = StoreReached(self.me, self.store.progress.latest)
        self.peers.send_all(warning, self.peers.addresses_except(self.me))
        self.doubt_watchers()

    def handle_warning(self, warning: StoreReached) -> None:
        """Doubt the watchers, and answers of the store from before a revision."""
        now = time.monotonic()
        self.store.record_era(warning.revision.era)
        self.store.progress.record_answer(now, warning.revision)
        self.role.doubt(now, at_once=False)
        self.wake_event.set()

    def doubt_watchers(self) -> None:
        """Read the store at once, as the watchers' views are outdated."""
        self.role.doubt(time.monotonic(), at_once=True)
        self.wake_event.set()

    def _request_copy(self, now: float, address: str) -> None:
        if now - self.copy_requested_at < MIN_COPY_REQUEST_INTERVAL_S:
            return
        self.copy_requested_at = now
        self._send_copy_request(address)

    def _send_copy_request(self, address: str) -> None:
        catalog = self.catalog
        digest = catalog.table.digest if catalog.has_servers else NO_SERVERS_DIGEST
        request = CopyWanted(self.me, catalog.config_version, digest)
        self.peers.send(request, address)

    def answer(self, request: CopyWanted, address: str) -> None:
        """Send another instance the configuration and servers that it lacks.

        Requests that it repeats while a copy is on its way are ignored.
        """
        catalog = self.catalog
        now = time.monotonic()
        if now - self.answered_at.get(address, float("-inf")) < (
            MIN_COPY_REQUEST_INTERVAL_S
        ):
            return
        if not catalog.is_complete:
            return
        self.answered_at[address] = now
        if catalog.config_version > request.config_version:
            self.peers.send(self._pack_config(), address)
        if catalog.table.digest == request.digest:
            return
        entries = {
            server_id: entry
            for server_id, entry in catalog.table.entries.items()
            if entry.server is not None
        }
        self._send_versions(entries, [address])
        self._send_window(now, [address])
        parts = split_entries(entries) or [{}]
        copy = ServersCopy(self.me, catalog.server_watcher.revision, 0, len(parts), {})
        for number, part in enumerate(parts):
            self.peers.send(replace(copy, part=number, entries=part), address)

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
        window_s = self.windows.get(copy.watcher, 0.0) - time.monotonic()
        self.catalog.apply_table(copy.revision, entries, max(0.0, window_s))


def _rank(name: str, link: LinkClass) -> int:
    """Return the rank for the watcher role: by link, then by a hash of the name."""
    share = MAX_RANK // len(LinkClass)
    return link * share + zlib.crc32(name.encode()) // len(LinkClass)
