"""Follows the configuration and the backend servers in the store."""

from __future__ import annotations

import logging
import time
from dataclasses import replace
from typing import Any, TYPE_CHECKING

from wisterialoom.core.fleet import FIRST_REVISION, ServerTable
from wisterialoom.core.serving.routing import NO_VERSION
from wisterialoom.platform._tasks import TaskGroup
from wisterialoom.platform.decode import (
    decode_deployment,
    decode_server,
    DecodeError,
    says_draining,
)
from wisterialoom.platform.store import StoreRestoredError, StoreUnavailableError
from wisterialoom.platform.team_decode import drop_unreadable_teams, without_keys
from wisterialoom.platform.watcher import KindWatcher

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisterialoom.core.fleet import Revision, TableEntry, ViewPromise
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

RELIST_TIMEOUT_S = 2.0
"""Time within which a running server must be listed again after a store outage."""

RESTORE_RELIST_TIMEOUT_S = 4.0
"""The same time after a restore of the store.

A server first has to notice that its entry is gone, which takes up to a few heartbeats.
"""


class Catalog:
    """Keeps the dispatcher's deployment and servers current.

    Attributes:
        dispatcher: Receives the deployment and the servers.
        changed: Called when a change may affect requests.
        on_update: Called when a change should be sent to other instances.
        table: Backend servers that are listed, or missing but not yet dropped.
        logged_states: Draining flag and start time of each server, as last logged.
        relist_deadline: Monotonic time until which servers may be missing after an
            outage or a restore of the store.
        restore_deadline: The same time after a restore.
        is_role_decided: Whether it was decided if this instance follows the store.
            Before that it reads everything once.
        config_spec: The configuration in force, as stored, but without API keys.
        unreadable: Objects of the store that could not be decoded.
        config_confirmed_at: Monotonic time at which the configuration in force here
            was current, as another instance confirmed it.
        servers_confirmed_at: The same time for the servers.
    """

    def __init__(
        self,
        store: StoreClient,
        dispatcher: Dispatcher,
        changed: Callable[[], None],
        promise: ViewPromise,
    ) -> None:
        self.dispatcher = dispatcher
        self.changed = changed
        self.on_update: Callable[[], None] = lambda: None
        self.table = ServerTable()
        self.relist_deadline = float("-inf")
        self.restore_deadline = float("-inf")
        self.logged_states: dict[str, tuple[bool, int]] = {}
        self.is_role_decided = False
        self.config_spec: Any = None
        self.unreadable = store.unreadable
        self.config_confirmed_at = float("-inf")
        self.servers_confirmed_at = float("-inf")
        self.config = KindWatcher(
            CONFIG_KIND,
            store,
            self._list_config,
            self._change_config,
            promise=promise,
        )
        self.server_watcher = KindWatcher(
            SERVER_KIND,
            store,
            self._list_servers,
            self._change_servers,
            batches_changes=True,
            prerequisite=self.config,
            promise=promise,
        )
        self.config.on_lost = self.server_watcher.record_failure
        for watcher in (self.config, self.server_watcher):
            watcher.on_confirmed = lambda: self.on_update()
        self.tasks = TaskGroup()

    @property
    def is_loaded(self) -> bool:
        """Whether both the configuration and the servers have been read."""
        return self.dispatcher.deployment is not None and self.has_servers

    @property
    def has_servers(self) -> bool:
        """Whether the servers have been read, or copied from another instance."""
        return self.server_watcher.revision > FIRST_REVISION

    @property
    def is_complete(self) -> bool:
        """Whether all is known that the store has; there may be no configuration."""
        has_config = self.dispatcher.deployment is not None or self.config.listed
        return has_config and self.has_servers

    @property
    def config_version(self) -> int:
        """Version of the configuration in force, `NO_VERSION` before the first one."""
        deployment = self.dispatcher.deployment
        return deployment.version if deployment is not None else NO_VERSION

    @property
    def config_current_at(self) -> float:
        """Monotonic time at which the configuration was last known to be current."""
        return max(self.config.checked_at, self.config_confirmed_at)

    @property
    def servers_current_at(self) -> float:
        """Monotonic time at which the servers were last known to be current."""
        return max(self.server_watcher.checked_at, self.servers_confirmed_at)

    @property
    def current_at(self) -> float:
        """Monotonic time at which the whole view was last known to be current."""
        return min(self.config_current_at, self.servers_current_at)

    def set_limits(self, promise: ViewPromise, instances: int) -> None:
        """Set the limits on the age of the view, and the size of the fleet."""
        for watcher in (self.config, self.server_watcher):
            watcher.promise = promise
            watcher.max_retry_s = promise.max_retry_s(instances)

    def start(self) -> None:
        """Start the tasks that read and follow the store once that is decided."""
        self.tasks.supervise("config_watcher", self.config.run)
        self.tasks.supervise("server_watcher", self.server_watcher.run)

    async def stop(self) -> None:
        """Stop following the store."""
        await self.tasks.stop()

    def read_store(self) -> None:
        """Read everything once; who follows the store then is decided later."""
        self.config.set_active(active=True)
        self.server_watcher.set_active(active=True)

    # Updates from other instances.

    def set_active(self, *, active: bool) -> None:
        """Follow the store directly, or rely on updates from other instances.

        Args:
            active: Whether this instance follows the store.
        """
        self.is_role_decided = True
        self.config.set_active(active=active)
        self.server_watcher.set_active(active=active)

    def confirm_current(
        self,
        config_at: float,
        servers_at: float,
        config_revision: Revision,
        revision: Revision,
    ) -> None:
        """Record another instance's confirmation that the state here is current.

        Args:
            config_at: Monotonic time at which the configuration was current.
            servers_at: Monotonic time at which the servers were current.
            config_revision: Store revision up to which the configuration is current.
            revision: Store revision up to which the servers are current.
        """
        self.config_confirmed_at = max(self.config_confirmed_at, config_at)
        self.servers_confirmed_at = max(self.servers_confirmed_at, servers_at)
        self.config.confirm(config_revision)
        self.server_watcher.confirm(revision)

    def apply_config(self, spec: Any) -> None:
        """Apply a configuration from the store or from another instance.

        An invalid configuration is logged and ignored, and so is one that is not
        newer than the configuration in force.

        Args:
            spec: The configuration as stored.
        """
        spec = drop_unreadable_teams(spec)
        try:
            current = self.dispatcher.deployment
            teams = current.teams if current is not None else None
            deployment = decode_deployment(spec, teams)
        except DecodeError as error:
            self.unreadable.record(CONFIG_KIND, CONFIG_NAME, str(error))
            return
        self.unreadable.record_readable(CONFIG_KIND, CONFIG_NAME)
        if deployment.version <= self.config_version:
            return
        self.config_spec = without_keys(spec)
        self.dispatcher.deployment = deployment
        history = self.dispatcher.streams.history
        history.set_longest_timeout(deployment.longest_stream_s)
        logger.info(
            "configuration in force",
            extra={
                "version": deployment.version,
                "teams": deployment.teams.declaration.value,
                "revision": self.config.revision,
                "watches": self.config.active_event.is_set(),
            },
        )
        self.changed()
        self.on_update()

    def begin_era(self, revision: Revision) -> None:
        """Record a revision of the store, as an answer or another instance named it.

        After a restore of the store, the servers that it does not list yet are kept for
        a while.

        Args:
            revision: Revision at which the store is.
        """
        now = time.monotonic()
        if not self.table.begin_era(now, revision):
            return
        self.restore_deadline = now + RESTORE_RELIST_TIMEOUT_S
        self.relist_deadline = self.restore_deadline
        logger.warning(
            "servers kept over a restore of the store",
            extra={"era": revision.era, "servers": len(self.table.servers)},
        )

    def apply_entries(self, entries: dict[str, TableEntry]) -> None:
        """Apply server changes announced by another instance."""
        now = time.monotonic()
        complete_to = self.server_watcher.revision
        if self.table.merge(now, complete_to, entries):
            self._update_dispatcher()

    def learn_software_versions(self, versions: dict[tuple[str, int], str]) -> None:
        """Apply the software versions of servers, by id and start time."""
        if self.table.learn_software_versions(versions):
            self._update_dispatcher()

    async def read_software_versions(self) -> None:
        """Read the software versions of all servers from the store."""
        try:
            listing = await self.server_watcher.store.list(SERVER_KIND)
        except (StoreUnavailableError, StoreRestoredError):
            return
        servers = [
            server for found in listing.objects if (server := self._decode(found))
        ]
        self.learn_software_versions(
            {
                (server.id, server.started_ms): server.software_version
                for server in servers
            }
        )

    def apply_table(
        self,
        revision: Revision,
        entries: dict[str, TableEntry],
        window_s: float = 0.0,
    ) -> None:
        """Replace all servers by another instance's complete table.

        Args:
            revision: Store revision of the table; a table older than the servers
                here is ignored.
            entries: All entries by server id.
            window_s: Time for which the other instance still awaits entries that may
                have expired in an outage of the store. It does not apply here if the
                store has served this instance all along.
        """
        if revision < self.server_watcher.revision:
            return
        now = time.monotonic()
        self.begin_era(revision)
        if self.server_watcher.is_served:
            window_s = 0.0
        until = max(
            self.restore_deadline, now + min(window_s, RESTORE_RELIST_TIMEOUT_S)
        )
        self.table.adopt(now, revision, entries, keep_until=until)
        self.server_watcher.confirm(revision)
        # The copy is complete, so that a watch can continue from its revision.
        self.server_watcher.listed = True
        self._update_dispatcher()

    def _keep_until(self, now: float) -> float | None:
        """Return until when servers that are not listed stay in use, if at all."""
        return self.relist_deadline if now < self.relist_deadline else None

    # Configuration.

    def _list_config(
        self, listing: StoreListing, _known: Revision, _lost_since: float | None
    ) -> None:
        for found in listing.objects:
            self._apply_config_object(found)
        if not self.is_role_decided:
            self.config.set_active(active=False)

    def _change_config(self, answer: WatchAnswer, _known: Revision) -> None:
        for found in answer.changed:
            self._apply_config_object(found)

    def _apply_config_object(self, found: StoreObject) -> None:
        if found.name == CONFIG_NAME:
            self.apply_config(found.spec)

    # Backend servers.

    def _list_servers(
        self, listing: StoreListing, known: Revision, lost_since: float | None
    ) -> None:
        now = time.monotonic()
        self.begin_era(listing.revision)
        if listing.revision < known:
            self.table.restart(now, now + RESTORE_RELIST_TIMEOUT_S)
        if lost_since is not None:
            self.relist_deadline = max(self.relist_deadline, now + RELIST_TIMEOUT_S)
        keep_until = self._keep_until(now)
        listed = set()
        for found in listing.objects:
            server = self._decode(found)
            if server is not None:
                self.table.put(now, found.revision, server, listed=True)
            else:
                self._keep_unreadable(now, found)
            listed.add(found.name)
        # The last readable state of such an entry stays in force.
        listed |= set(listing.unreadable)
        for server_id in self.table.listed.keys() - listed:
            self.table.remove(now, listing.revision, server_id, keep_until=keep_until)
        if not self.is_role_decided:
            self.server_watcher.set_active(active=False)
        self._update_dispatcher()

    def _change_servers(self, answer: WatchAnswer, known: Revision) -> None:
        now = time.monotonic()
        for found in answer.changed:
            if found.revision <= known:
                continue
            server = self._decode(found)
            if server is None:
                if found.name in answer.created_again:
                    self.table.remove(now, found.revision, found.name)
                self._keep_unreadable(now, found)
                continue
            self.table.put(now, found.revision, server)
        if self.server_watcher.lost_since is not None:
            self.relist_deadline = max(self.relist_deadline, now + RELIST_TIMEOUT_S)
        servers = self.table.servers
        for server_id in answer.removed if answer.revision > known else ():
            current = servers.get(server_id)
            # The entry may have expired because the store was unavailable. A server
            # that is running registers again soon.
            is_leaving = current is not None and current.draining
            keep_until = None if is_leaving else self._keep_until(now)
            self.table.remove(now, answer.revision, server_id, keep_until=keep_until)
        self._update_dispatcher()

    def drop_missing_servers(self, now: float) -> None:
        """Drop servers that were not listed again in time after an outage.

        No server is dropped while the view is not current.

        Args:
            now: Monotonic time.
        """
        if self.table.forget_old(now):
            self._update_dispatcher()
        for server_id in self.table.drop_lapsed(now, self.servers_current_at):
            logger.info(
                "server dropped, not listed again after an outage",
                extra={
                    "server": server_id,
                    "removed_at": self.table.entries[server_id].revision,
                    "revision": self.server_watcher.revision,
                },
            )
            self._update_dispatcher()

    def _update_dispatcher(self) -> None:
        servers = self.table.servers
        history = self.dispatcher.streams.history
        history.set_servers(time.monotonic(), servers.values())
        if self._log_changes(servers):
            self.on_update()
        if self.dispatcher.set_servers(servers):
            self.changed()

    def _log_changes(self, servers: dict[str, BackendServer]) -> bool:
        previous = self.logged_states
        now = {
            server_id: (server.draining, server.started_ms)
            for server_id, server in servers.items()
        }
        for server_id in previous.keys() | now.keys():
            if previous.get(server_id) == now.get(server_id):
                continue
            state = "gone"
            if server_id in now:
                state = "draining" if now[server_id][0] else "ready"
            logger.info(
                "server",
                extra={
                    "server": server_id,
                    "state": state,
                    "rests_for_ms": self._rests_for_ms(server_id),
                    "revision": self.server_watcher.revision,
                    "watches": self.server_watcher.active_event.is_set(),
                },
            )
        self.logged_states = now
        return now != previous

    def _rests_for_ms(self, server_id: str) -> int:
        """Return for how long a known server still wants nothing."""
        notices = self.dispatcher.notices.find(server_id)
        if notices is None:
            return 0
        return int(max(0.0, notices.rests_until - time.monotonic()) * 1e3)

    def _decode(self, found: StoreObject) -> BackendServer | None:
        try:
            server = decode_server(found.name, found.spec)
        except DecodeError as error:
            self.unreadable.record(SERVER_KIND, found.name, str(error))
            return None
        self.unreadable.record_readable(SERVER_KIND, found.name)
        return server

    def _keep_unreadable(self, now: float, found: StoreObject) -> None:
        """Keep the last readable state of a server whose entry cannot be decoded.

        Its state alone may still be readable; a server that drains gets no requests.
        """
        server = self.table.servers.get(found.name)
        if server is not None and not server.draining and says_draining(found.spec):
            draining = replace(server, draining=True)
            self.table.put(now, found.revision, draining)
