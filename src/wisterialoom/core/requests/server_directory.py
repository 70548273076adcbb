"""Puts the platform's list, the document and words of leaving servers together."""

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
READS_PER_S = 100.0
"""Reads of the list by the whole fleet, which bounds the rate of large fleets."""

FIRST_READ_S = 0.2
"""Time over which the first reads of instances started together are spread."""

PULL_INTERVAL_S = 1.0
"""Least time between two questions to peers, in seconds."""

ANSWER_LIMIT_S = 10.0
"""A read without an answer is given up after this time."""


class ServerDirectory:
    """Part of the core that knows the backend servers.

    Attributes:
        name: Name of this instance.
        peers: The other entry instances.
        configured: A document is in force.
        listed: The list was read, or a peer told of it.
        groups: Server groups of the document with their selectors.
        labels: Operators' labels with their selectors.
        records: What is known of each listed name.
        built: Servers by name, until something about them changes; `None` for
            those that no group picks.
        servers: The servers as last told to the other parts.
        fleet: Count of entry instances.
        read_due: Moment of the next read of the list; `None` before the first.
        read_at: Moment of the read in progress; `None` if there is none.
    """

    listens: ClassVar[tuple[type[Event], ...]] = (
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
        self.pull_due = 0.0
        self.configured = False
        self.listed = False
        self.groups: list[tuple[ServerGroup, Selector]] = []
        self.labels: list[tuple[Selector, Label]] = []
        self.records: dict[str, ServerRecord] = {}
        self.built: dict[str, BackendServer | None] = {}
        self.servers: tuple[BackendServer, ...] | None = None
        self.fleet = 1
        self.read_due: float | None = None
        self.read_at: float | None = None

    def handle(self, now: float, event: Event) -> list[Output]:
        """Take one event and return what follows from it."""
        match event:
            case Tick():
                return self._read(now)
            case InstanceListRead(listing=listing):
                self.read_at = None
                self._take_listing(now, listing)
            case InstanceListUnavailable():
                self.read_at = None
                return self._ask_peer(now)
            case PeerReceived(sender=sender, message=message):
                return self._take_peer(now, sender, message)
            case MembersChanged(members=members):
                self.fleet = max(1, len(members))
                self.peers = tuple(x for x in members if x.name != self.name)
                return []
            case ConfigChanged(document=document):
                self._take_document(document)
            case ServerLeavingSeen(server, incarnation):
                return self._see_leaving(now, server, incarnation)
            case LoadReported(load=load):
                if not load.leaving:
                    return []
                return self._see_leaving(now, load.server, load.incarnation)
        return self._tell()

    # The list.

    def _read(self, now: float) -> list[Output]:
        if self.read_due is None:
            self.read_due = now + self.rng.random() * FIRST_READ_S
        if self.read_at is not None and now - self.read_at > ANSWER_LIMIT_S:
            self.read_at = None
        if now < self.read_due or self.read_at is not None:
            return []
        interval_s = max(MIN_READ_INTERVAL_S, self.fleet / READS_PER_S)
        self.read_due = now + interval_s * (0.75 + self.rng.random() / 4)
        self.read_at = now
        return [ReadInstanceList()]

    def _take_listing(self, now: float, listing: InstanceList) -> None:
        # The list holds the entry instances too, so an empty one is a fault of it.
        if not listing.instances:
            return
        self.listed = True
        listed = {item.name: item for item in listing.instances if not _is_entry(item)}
        for name, item in listed.items():
            if self._record(now, name).list(now, item):
                self.built.pop(name, None)
        for name in self.records.keys() - listed.keys():
            self.records[name].miss()
            if self.records[name].has_expired(now):
                del self.records[name]
                self.built.pop(name, None)

    def _see_leaving(self, now: float, name: str, incarnation: str) -> list[Output]:
        if not self._record(now, name).leave(now, incarnation):
            return []
        self.built.pop(name, None)
        return self._tell()

    def _record(self, now: float, name: str) -> ServerRecord:
        return self.records.setdefault(name, ServerRecord(name, now))

    # The list from peers, for an instance that has never read it.

    def _ask_peer(self, now: float) -> list[Output]:
        if self.listed or not self.peers or now < self.pull_due:
            return []
        self.pull_due = now + PULL_INTERVAL_S
        peer = self.rng.choice(self.peers)
        return [SendPeer(peer.name, peer.address, ListingPull())]

    def _take_peer(self, now: float, sender: str, message: PeerMessage) -> list[Output]:
        match message:
            case ListingPull() if self.listed:
                peers = [item for item in self.peers if item.name == sender]
                push = ListingPush(self._listed_servers())
                return [SendPeer(item.name, item.address, push) for item in peers]
            case ListingPush(servers=servers) if not self.listed:
                instances = tuple(_instance(item) for item in servers)
                self._take_listing(now, InstanceList(instances))
                return self._tell()
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

    # The document.

    def _take_document(self, document: Document) -> None:
        self.groups = [(g, Selector.parse(g.selector)) for g in document.server_groups]
        self.labels = [
            (Selector.parse(label.selector), label) for label in document.labels
        ]
        self.configured = True
        self.built.clear()

    # What follows from both.

    def _tell(self) -> list[Output]:
        if not self.configured or not self.listed:
            return []
        present = [item for item in self.records.values() if item.is_present()]
        built = [self._server(record) for record in present]
        found = (server for server in built if server is not None)
        servers = tuple(sorted(found, key=lambda server: server.name))
        if servers == self.servers:
            return []
        self.servers = servers
        return [ServersChanged(servers)]

    def _server(self, record: ServerRecord) -> BackendServer | None:
        if record.name not in self.built:
            self.built[record.name] = self._build(record)
        return self.built[record.name]

    def _build(self, record: ServerRecord) -> BackendServer | None:
        listed = record.listed
        if listed is None:
            return None
        platform = {**listed.labels, "name": listed.name}
        group = self._group(platform)
        if group is None:
            return None
        marks = {
            label.key: label.value
            for selector, label in self.labels
            if selector.matches(platform)
        }
        return BackendServer(
            name=listed.name,
            incarnation=listed.incarnation,
            address=listed.address,
            availability_zone=listed.availability_zone,
            labels={**platform, **marks},
            group=group.name,
            kind=group.kind,
            leaving=record.is_leaving(),
            drained=DRAIN_LABEL in marks,
        )

    def _group(self, labels: dict[str, str]) -> ServerGroup | None:
        kind = labels.get("kind")
        for group, selector in self.groups:
            if kind in (None, group.kind) and selector.matches(labels):
                return group
        return None


def _instance(item: ListedServer) -> ListedInstance:
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
