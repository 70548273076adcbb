"""The configuration and the backend servers, as the store has them."""

from __future__ import annotations

import logging
import time
from typing import Any, TYPE_CHECKING

from wisterialoom.core.fleet import ServerTable
from wisterialoom.platform._tasks import TaskGroup
from wisterialoom.platform.decode import (
    decode_deployment,
    decode_server,
    DecodeError,
)
from wisterialoom.platform.watcher import KindWatcher

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisterialoom.core.fleet import TableEntry
    from wisterialoom.core.serving.backend import BackendServer
    from wisterialoom.core.serving.dispatcher import Dispatcher
    from wisterialoom.platform.store import (
        StoreClient,
        StoreListing,
        StoreObject,
        WatchAnswer,
    )

__all__ = ["Catalog"]

logger = logging.getLogger(__name__)

CONFIG_KIND = "config"
CONFIG_NAME = "main"
SERVER_KIND = "servers"

RETURN_S = 2.0
"""Time that a living server may take to be listed again after an outage."""


class Catalog:
    """Keeps the dispatcher's deployment and servers current.

    Attributes:
        dispatcher: Takes what is learned.
        changed: Called when requests may be affected.
        on_update: Called when other instances should learn of a change.
        table: Backend servers that are listed or not yet given up.
        missing: Servers that were not listed after an outage, with the moment at
            which they are given up.
        logged_states: State and start of each server, as last logged.
        settled_at: Monotonic time until which servers may be missing after an outage.
        config_spec: The configuration in force as the store has it.
        confirmed_at: Monotonic time at which another instance last knew that the
            configuration in force here was current.
    """

    def __init__(
        self,
        store: StoreClient,
        dispatcher: Dispatcher,
        changed: Callable[[], None],
    ) -> None:
        self.dispatcher = dispatcher
        self.changed = changed
        self.on_update: Callable[[], None] = lambda: None
        self.table = ServerTable()
        self.missing: dict[str, float] = {}
        self.settled_at = float("-inf")
        self.logged_states: dict[str, tuple[bool, int]] = {}
        self.config_spec: Any = None
        self.confirmed_at = float("-inf")
        self.config = KindWatcher(
            CONFIG_KIND, store, self._list_config, self._change_config
        )
        self.server_watcher = KindWatcher(
            SERVER_KIND,
            store,
            self._list_servers,
            self._change_servers,
            batches_changes=True,
        )
        self.tasks = TaskGroup()

    @property
    def known(self) -> bool:
        """Both the configuration and the servers have been read."""
        return (
            self.dispatcher.deployment is not None and self.server_watcher.revision > 0
        )

    @property
    def config_version(self) -> int:
        """Version of the configuration in force; 0 before the first."""
        deployment = self.dispatcher.deployment
        return deployment.version if deployment is not None else 0

    @property
    def config_current_at(self) -> float:
        """Monotonic time at which the configuration was known to be current."""
        return max(self.config.checked_at, self.confirmed_at)

    def start(self) -> None:
        """Begin to follow the store."""
        self.tasks.spawn(self.config.run())
        self.tasks.spawn(self.server_watcher.run())

    async def stop(self) -> None:
        """Stop following the store."""
        await self.tasks.stop()

    # What other instances know.

    def set_active(self, *, active: bool) -> None:
        """Follow the store itself, or leave that to others."""
        self.config.set_active(active=active)
        self.server_watcher.set_active(active=active)

    def confirm_current(
        self, config_at: float, config_revision: int, revision: int
    ) -> None:
        """Take another instance's word that what is known here is current."""
        self.confirmed_at = max(self.confirmed_at, config_at)
        self.config.confirm(config_revision)
        self.server_watcher.confirm(revision)

    def take_config(self, spec: Any) -> None:
        """Take a configuration, from the store or from another instance."""
        try:
            deployment = decode_deployment(spec)
        except DecodeError as error:
            logger.error("configuration refused", extra={"error": str(error)})
            return
        if deployment.version <= self.config_version:
            return
        self.dispatcher.deployment = deployment
        self.config_spec = spec
        logger.info(
            "configuration in force",
            extra={
                "version": deployment.version,
                "revision": self.config.revision,
                "watches": self.config.active_event.is_set(),
            },
        )
        self.changed()
        self.on_update()

    def take_entries(self, entries: dict[str, TableEntry]) -> None:
        """Take changes that another instance told of."""
        if self._take(entries):
            self._apply()

    def _take(self, entries: dict[str, TableEntry]) -> bool:
        now = time.monotonic()
        taken = False
        for server_id, entry in entries.items():
            known = self.table.entries.get(server_id)
            if known is not None and known.revision >= entry.revision:
                continue
            if entry.server is None:
                self.table.remove(now, entry.revision, server_id)
            else:
                self.table.put(now, entry.revision, entry.server)
            self.missing.pop(server_id, None)
            taken = True
        return taken

    def take_table(self, revision: int, entries: dict[str, TableEntry]) -> None:
        """Take all servers that another instance knows, as of a revision."""
        if revision < self.server_watcher.revision:
            return
        now = time.monotonic()
        for server_id in self.table.servers.keys() - entries.keys():
            self.table.remove(now, revision, server_id)
            self.missing.pop(server_id, None)
        self.server_watcher.confirm(revision)
        self._take(entries)
        self._apply()

    # Configuration.

    def _list_config(self, listing: StoreListing, _: float | None) -> None:
        for found in listing.objects:
            self._take_config(found)

    def _change_config(self, answer: WatchAnswer) -> None:
        for found in answer.changed:
            self._take_config(found)

    def _take_config(self, found: StoreObject) -> None:
        if found.name == CONFIG_NAME:
            self.take_config(found.spec)

    # Backend servers.

    def _list_servers(self, listing: StoreListing, lost_since: float | None) -> None:
        now = time.monotonic()
        listed = set()
        for found in listing.objects:
            server = self._decode(found)
            if server is not None:
                self.table.put(now, found.revision, server, listed=True)
                listed.add(server.id)
        for server_id in self.table.servers.keys() - listed:
            if lost_since is None:
                self.table.remove(now, listing.revision, server_id)
            else:
                self.settled_at = now + RETURN_S
                self.missing.setdefault(server_id, self.settled_at)
        for server_id in listed:
            self.missing.pop(server_id, None)
        self._apply()

    def _change_servers(self, answer: WatchAnswer) -> None:
        now = time.monotonic()
        for found in answer.changed:
            server = self._decode(found)
            if server is None:
                self.table.remove(now, found.revision, found.name)
                continue
            self.missing.pop(server.id, None)
            self.table.put(now, found.revision, server)
        if self.server_watcher.lost_since is not None:
            self.settled_at = now + RETURN_S
        servers = self.table.servers
        for server_id in answer.removed:
            known = servers.get(server_id)
            if known is not None and not known.draining and now < self.settled_at:
                # It may have lapsed with the store; a living server is back soon.
                self.missing.setdefault(server_id, self.settled_at)
                continue
            self.table.remove(now, answer.revision, server_id)
            self.missing.pop(server_id, None)
        self._apply()

    def give_up_missing(self, now: float) -> None:
        """Drop servers that were not listed again in time after an outage."""
        self.table.forget_removed(now)
        if self.server_watcher.lost_since is not None:
            return
        for server_id, until in list(self.missing.items()):
            if now < until:
                continue
            del self.missing[server_id]
            if self.table.remove(now, self.server_watcher.revision, server_id):
                logger.info("server not listed again", extra={"server": server_id})
                self._apply()

    def _apply(self) -> None:
        servers = self.table.servers
        if self._log_changes(servers):
            self.on_update()
        if self.dispatcher.set_servers(servers):
            self.changed()

    def _log_changes(self, servers: dict[str, BackendServer]) -> bool:
        before = self.logged_states
        now = {
            server_id: (server.draining, server.started_ms)
            for server_id, server in servers.items()
        }
        for server_id in before.keys() | now.keys():
            if before.get(server_id) == now.get(server_id):
                continue
            state = "gone"
            if server_id in now:
                state = "draining" if now[server_id][0] else "ready"
            logger.info(
                "server",
                extra={
                    "server": server_id,
                    "state": state,
                    "revision": self.server_watcher.revision,
                    "watches": self.server_watcher.active_event.is_set(),
                },
            )
        self.logged_states = now
        return now != before

    def _decode(self, found: StoreObject) -> BackendServer | None:
        try:
            return decode_server(found.name, found.spec)
        except DecodeError as error:
            logger.warning("server entry passed over", extra={"error": str(error)})
            return None
