"""Directory of backend servers.

The directory combines the platform's instance list, the configuration document
and the reports of leaving servers.
"""

from __future__ import annotations

from typing import ClassVar, TYPE_CHECKING

from wisterialoom.core.configuration.selector import Selector
from wisterialoom.core.fleet.instance_list import (
    InstanceList,
    InstanceListRead,
    InstanceListUnavailable,
    InstanceState,
    ListedInstance,
    ReadInstanceList,
)
from wisterialoom.core.fleet.peer import (
    ListedServer,
    ListingPull,
    ListingPush,
    PeerReceived,
    SendPeer,
)
from wisterialoom.core.message import Event, Tick
from wisterialoom.core.notice import (
    BackendServer,
    ConfigChanged,
    LoadReported,
    MembersChanged,
    ServerLeavingSeen,
    ServersChanged,
)
from wisterialoom.core.requests._server_record import ServerRecord

if TYPE_CHECKING:
    import random

    from wisterialoom.core.configuration.document import Document, Label, ServerGroup
    from wisterialoom.core.fleet.peer import PeerMessage
    from wisterialoom.core.message import Output
    from wisterialoom.core.notice import Member

__all__ = ["DRAIN_LABEL", "ServerDirectory"]

DRAIN_LABEL = "drain"
"""Operators' label that takes a backend server out of service."""

ENTRY_KIND = "entry"
MIN_READ_INTERVAL_S = 2.0
"""Least interval between two reads of the list by one instance, in seconds."""

READS_PER_S = 100.0
"""Reads of the list per second by all instances together.

A larger fleet reads less often per instance, so that the platform's load is bounded.
"""

FIRST_READ_SPREAD_S = 0.2
"""Time over which instances that start together spread their first reads."""

PULL_INTERVAL_S = 1.0
"""Least interval between two pulls of the list from peers, in seconds."""

READ_TIMEOUT_S = 10.0
"""Time after which a read without an answer is abandoned, in seconds."""


class ServerDirectory:
    """Core component that maintains the set of backend servers.

    Attributes:
        rng: Random numbers that spread reads and select peers.
        name: Name of this instance.
        peers: The other entry instances.
        next_pull_at: Monotonic time from which a peer may be asked for the list.
        configured: Whether a configuration document has been applied.
        listed: Whether the list was read or received from a peer.
        groups: Server groups of the document with their selectors.
        labels: Operators' labels with their selectors.
        records: Records by name in the list.
        server_cache: Backend servers by name, dropped when their record or the
            document changes; `None` for names that match no group.
        servers: The servers as last published to the other components.
        instance_count: Number of entry instances.
        next_read_at: Monotonic time of the next read of the list; `None` before the
            first.
        read_started_at: Start of the read in progress; `None` if there is none.
    """

    handled_events: ClassVar[tuple[type[Event], ...]] = (
        Tick,
        InstanceListRead,
        InstanceListUnavailable,
        ConfigChanged,
        MembersChanged,
        PeerReceived,
        ServerLeavingSeen,
        LoadReported,
    )

    def __init__(self, rng: random.Random, name: str = "") -> None:
        self.rng = rng
        self.name = name
        self.peers: tuple[Member, ...] = ()
        self.next_pull_at = 0.0
        self.configured = False
        self.listed = False
        self.groups: list[tuple[ServerGroup, Selector]] = []
        self.labels: list[tuple[Selector, Label]] = []
        self.records: dict[str, ServerRecord] = {}
        self.server_cache: dict[str, BackendServer | None] = {}
        self.servers: tuple[BackendServer, ...] | None = None
        self.instance_count = 1
        self.next_read_at: float | None = None
        self.read_started_at: float | None = None

    def handle(self, now: float, event: Event) -> list[Output]:
        """Handle one event and return the resulting outputs."""
        match event:
            case Tick():
                return self._start_read(now)
            case InstanceListRead(listing=listing):
                self.read_started_at = None
                self._apply_listing(now, listing)
            case InstanceListUnavailable():
                self.read_started_at = None
                return self._pull_from_peer(now)
            case PeerReceived(sender=sender, message=message):
                return self._handle_peer_message(now, sender, message)
            case MembersChanged(members=members):
                self.instance_count = max(1, len(members))
                self.peers = tuple(x for x in members if x.name != self.name)
                return []
            case ConfigChanged(document=document):
                self._apply_document(document)
            case ServerLeavingSeen(server, incarnation):
                return self._mark_leaving(now, server, incarnation)
            case LoadReported(load=load):
                if not load.leaving:
                    return []
                return self._mark_leaving(now, load.server, load.incarnation)
        return self._publish_changes()

    # The platform's list.

    def _start_read(self, now: float) -> list[Output]:
        if self.next_read_at is None:
            self.next_read_at = now + self.rng.random() * FIRST_READ_SPREAD_S
        if (
            self.read_started_at is not None
            and now - self.read_started_at > READ_TIMEOUT_S
        ):
            self.read_started_at = None
        if now < self.next_read_at or self.read_started_at is not None:
            return []
        interval_s = max(MIN_READ_INTERVAL_S, self.instance_count / READS_PER_S)
        self.next_read_at = now + interval_s * (0.75 + self.rng.random() / 4)
        self.read_started_at = now
        return [ReadInstanceList()]

    def _apply_listing(self, now: float, listing: InstanceList) -> None:
        # The list contains the entry instances too, so an empty list is faulty.
        if not listing.instances:
            return
        self.listed = True
        listed = {item.name: item for item in listing.instances if not _is_entry(item)}
        for name, item in listed.items():
            if self._get_record(now, name).update(now, item):
                self.server_cache.pop(name, None)
        for name in self.records.keys() - listed.keys():
            self.records[name].record_missing()
            if self.records[name].has_expired(now):
                del self.records[name]
                self.server_cache.pop(name, None)

    def _mark_leaving(self, now: float, name: str, incarnation: str) -> list[Output]:
        if not self._get_record(now, name).mark_leaving(now, incarnation):
            return []
        self.server_cache.pop(name, None)
        return self._publish_changes()

    def _get_record(self, now: float, name: str) -> ServerRecord:
        return self.records.setdefault(name, ServerRecord(name, now))

    # The list from peers, for an instance that has not been able to read it.

    def _pull_from_peer(self, now: float) -> list[Output]:
        if self.listed or not self.peers or now < self.next_pull_at:
            return []
        self.next_pull_at = now + PULL_INTERVAL_S
        peer = self.rng.choice(self.peers)
        return [SendPeer(peer.name, peer.address, ListingPull())]

    def _handle_peer_message(
        self, now: float, sender: str, message: PeerMessage
    ) -> list[Output]:
        match message:
            case ListingPull() if self.listed:
                peers = [item for item in self.peers if item.name == sender]
                push = ListingPush(self._listed_servers())
                return [SendPeer(item.name, item.address, push) for item in peers]
            case ListingPush(servers=servers) if not self.listed:
                instances = tuple(_to_listed_instance(item) for item in servers)
                self._apply_listing(now, InstanceList(instances))
                return self._publish_changes()
        return []

    def _listed_servers(self) -> tuple[ListedServer, ...]:
        return tuple(
            ListedServer(
                name=item.name,
                incarnation=item.incarnation,
                address=item.address,
                availability_zone=item.availability_zone,
                labels=item.labels,
                leaving=record.is_leaving(),
            )
            for record in self.records.values()
            if (item := record.listed) is not None and record.is_present()
        )

    # The configuration document.

    def _apply_document(self, document: Document) -> None:
        self.groups = [(g, Selector.parse(g.selector)) for g in document.server_groups]
        self.labels = [
            (Selector.parse(label.selector), label) for label in document.labels
        ]
        self.configured = True
        self.server_cache.clear()

    # The resulting servers.

    def _publish_changes(self) -> list[Output]:
        if not self.configured or not self.listed:
            return []
        present = [item for item in self.records.values() if item.is_present()]
        found = [self._get_server(record) for record in present]
        matching = (server for server in found if server is not None)
        servers = tuple(sorted(matching, key=lambda server: server.name))
        if servers == self.servers:
            return []
        self.servers = servers
        return [ServersChanged(servers)]

    def _get_server(self, record: ServerRecord) -> BackendServer | None:
        if record.name not in self.server_cache:
            self.server_cache[record.name] = self._build(record)
        return self.server_cache[record.name]

    def _build(self, record: ServerRecord) -> BackendServer | None:
        listed = record.listed
        if listed is None:
            return None
        platform_labels = {**listed.labels, "name": listed.name}
        group = self._find_group(platform_labels)
        if group is None:
            return None
        operator_labels = {
            label.key: label.value
            for selector, label in self.labels
            if selector.matches(platform_labels)
        }
        return BackendServer(
            name=listed.name,
            incarnation=listed.incarnation,
            address=listed.address,
            availability_zone=listed.availability_zone,
            labels={**platform_labels, **operator_labels},
            group=group.name,
            kind=group.kind,
            leaving=record.is_leaving(),
            drained=DRAIN_LABEL in operator_labels,
        )

    def _find_group(self, labels: dict[str, str]) -> ServerGroup | None:
        kind = labels.get("kind")
        for group, selector in self.groups:
            if kind in (None, group.kind) and selector.matches(labels):
                return group
        return None


def _to_listed_instance(item: ListedServer) -> ListedInstance:
    state = InstanceState.LEAVING if item.leaving else InstanceState.LIVE
    return ListedInstance(
        name=item.name,
        incarnation=item.incarnation,
        address=item.address,
        availability_zone=item.availability_zone,
        labels=item.labels,
        state=state,
    )


def _is_entry(listed: ListedInstance) -> bool:
    return listed.labels.get("kind") == ENTRY_KIND
