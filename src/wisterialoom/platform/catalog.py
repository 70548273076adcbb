"""The configuration and the backend servers, as the store has them."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

from wisterialoom.platform._tasks import TaskGroup
from wisterialoom.platform.decode import (
    decode_deployment,
    decode_server,
    DecodeError,
)
from wisterialoom.platform.watcher import KindWatcher

if TYPE_CHECKING:
    from collections.abc import Callable

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
        servers: Backend servers that are listed or not yet given up.
        missing: Servers that were not listed after an outage, with the moment at
            which they are given up.
        told: State and start of each server, as last logged.
        settled_at: Monotonic time until which servers may be missing after an outage.
    """

    def __init__(
        self,
        store: StoreClient,
        dispatcher: Dispatcher,
        changed: Callable[[], None],
    ) -> None:
        self.dispatcher = dispatcher
        self.changed = changed
        self.servers: dict[str, BackendServer] = {}
        self.missing: dict[str, float] = {}
        self.settled_at = float("-inf")
        self.told: dict[str, tuple[bool, int]] = {}
        self.config = KindWatcher(
            CONFIG_KIND, store, self._list_config, self._change_config
        )
        self.workers = KindWatcher(
            SERVER_KIND,
            store,
            self._list_servers,
            self._change_servers,
            gathers=True,
        )
        self.tasks = TaskGroup()

    @property
    def known(self) -> bool:
        """Both the configuration and the servers have been read."""
        return self.dispatcher.deployment is not None and self.workers.revision > 0

    def start(self) -> None:
        """Begin to follow the store."""
        self.tasks.spawn(self.config.run())
        self.tasks.spawn(self.workers.run())

    async def stop(self) -> None:
        """Stop following the store."""
        await self.tasks.stop()

    # Configuration.

    def _list_config(self, listing: StoreListing, _: float | None) -> None:
        for found in listing.objects:
            self._take_config(found)

    def _change_config(self, answer: WatchAnswer) -> None:
        for found in answer.changed:
            self._take_config(found)

    def _take_config(self, found: StoreObject) -> None:
        if found.name != CONFIG_NAME:
            return
        try:
            deployment = decode_deployment(found.spec)
        except DecodeError as error:
            logger.error("configuration refused", extra={"error": str(error)})
            return
        current = self.dispatcher.deployment
        if current is not None and deployment.version <= current.version:
            return
        self.dispatcher.deployment = deployment
        logger.info(
            "configuration in force",
            extra={"version": deployment.version, "revision": found.revision},
        )
        self.changed()

    # Backend servers.

    def _list_servers(self, listing: StoreListing, lost_since: float | None) -> None:
        now = time.monotonic()
        listed = {}
        for found in listing.objects:
            server = self._decode(found)
            if server is not None:
                listed[server.id] = server
        if lost_since is not None:
            for server_id in self.servers.keys() - listed.keys():
                self.settled_at = now + RETURN_S
                self.missing.setdefault(server_id, self.settled_at)
                listed[server_id] = self.servers[server_id]
        for server_id in listed.keys() & {found.name for found in listing.objects}:
            self.missing.pop(server_id, None)
        self.servers = listed
        self._apply()

    def _change_servers(self, answer: WatchAnswer) -> None:
        for found in answer.changed:
            server = self._decode(found)
            if server is None:
                self.servers.pop(found.name, None)
                continue
            self.missing.pop(server.id, None)
            self.servers[server.id] = server
        now = time.monotonic()
        if self.workers.lost_since is not None:
            self.settled_at = now + RETURN_S
        for server_id in answer.removed:
            known = self.servers.get(server_id)
            if known is not None and not known.draining and now < self.settled_at:
                # It may have lapsed with the store; a living server is back soon.
                self.missing.setdefault(server_id, self.settled_at)
                continue
            self.servers.pop(server_id, None)
            self.missing.pop(server_id, None)
        self._apply()

    def give_up_missing(self, now: float) -> None:
        """Drop servers that were not listed again in time after an outage."""
        if self.workers.lost_since is not None:
            return
        for server_id, until in list(self.missing.items()):
            if now < until:
                continue
            del self.missing[server_id]
            if self.servers.pop(server_id, None) is not None:
                logger.info("server not listed again", extra={"server": server_id})
                self._apply()

    def _apply(self) -> None:
        self._log_changes()
        if self.dispatcher.set_servers(self.servers):
            self.changed()

    def _log_changes(self) -> None:
        before = self.told
        now = {
            server_id: (server.draining, server.born_ms)
            for server_id, server in self.servers.items()
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
                    "revision": self.workers.revision,
                },
            )
        self.told = now

    def _decode(self, found: StoreObject) -> BackendServer | None:
        try:
            return decode_server(found.name, found.spec)
        except DecodeError as error:
            logger.warning("server entry passed over", extra={"error": str(error)})
            return None
