"""A whole deployment on the virtual clock: entries, engines, services."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from wisterialoom.core.assembly import EntryParts, InstanceIdentity, PlacementPolicy
from wisterialoom.core.configuration.document_check import read_document
from wisterialoom.core.fleet.instance_list import (
    InstanceList,
    InstanceState,
    ListedInstance,
)
from wisterialoom.core.notice import DrainRequested
from wisterialoom.core.requests.request import Request, RequestArrived
from wisterialoom.lab.order_port import FakeEngine
from wisterialoom.lab.serving import Serving
from wisterialoom.lab.weight_store import LabWeightStore
from wisterialoom.lab.world import World
from wisterialoom.standin.engine_memory import EngineMemory
from wisterialoom.standin.weight_store import WeightStore

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisterialoom.core.configuration.document import Document
    from wisterialoom.core.requests.choice import Choice
    from wisterialoom.core.window import WindowPolicy
    from wisterialoom.standin.engine_batch import BatchSettings

__all__ = ["CONFIG_KEY", "Deployment", "FleetServer"]

CONFIG_KEY = "config/document"
WALL_CLOCK_START_S = 1_800_000_000.0

LISTING_DELAY_S = 5.0
"""Time for which the instance list still shows what has died, in seconds."""


@dataclass(frozen=True, slots=True)
class FleetServer:
    """A backend server that a deployment starts with.

    Attributes:
        name: Identifier.
        availability_zone: Name of the availability zone.
        labels: The platform's labels; `kind` is `engine` or `service`.
        memory_mb: Accelerator memory, for engines.
        checks_fencing: For engines.
        batch: Speed and limits, for engines.
    """

    name: str
    availability_zone: str
    labels: dict[str, str]
    memory_mb: int = 0
    checks_fencing: bool = True
    batch: BatchSettings | None = None


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request that a caller sent, as the callers' side remembers it."""

    request: Request
    entry: str
    at: float


@dataclass
class Deployment:
    """Entry instances and backend servers of one document.

    Attributes:
        document: The document applied at the start.
        body: Its TOML.
        servers: Backend servers by name.
        zones: Availability zones that entry instances are spread over.
        seed: Of every random choice.
        policy: How in-flight limits are found; `None` for the default.
        placement: What decides which models are resident where.
        choice: How a server is chosen; `None` for the default.
        keep_trace: Keep every event and command, to explain a failed check.
        world: The virtual clock and the fakes.
        entries: Parts of each running entry instance.
        sent: Every request sent, by id.
        boots: Count of starts by entry instance.
        serving: Serves dispatched attempts.
        killed: When each entry instance was killed.
        turned_away: Requests that no ready instance was there for.
    """

    document: Document
    body: bytes
    servers: dict[str, FleetServer]
    zones: tuple[str, ...]
    seed: int = 1
    policy: WindowPolicy | None = None
    placement: PlacementPolicy = PlacementPolicy.DEMAND
    choice: Choice | None = None
    keep_trace: bool = True
    world: World = field(init=False)
    entries: dict[str, EntryParts] = field(default_factory=dict)
    sent: dict[str, SentRequest] = field(default_factory=dict)
    boots: dict[str, int] = field(default_factory=dict)
    killed: dict[str, list[float]] = field(default_factory=dict)
    turned_away: int = 0
    serial: int = 0

    def __post_init__(self) -> None:
        self.world = World(self.seed, keep_trace=self.keep_trace)
        self.rng = random.Random(self.seed + 1)
        self.serving = Serving(
            self.world.schedule, self.world.rng, self.world.order_port
        )
        self.world.serving = self.serving
        self.store_version = self.world.store_port.put(CONFIG_KEY, self.body)
        self._add_engines()

    @classmethod
    def from_toml(
        cls, body: bytes, servers: Iterable[FleetServer], *, seed: int = 1
    ) -> Deployment:
        """Build from a document's TOML and the servers that it speaks of.

        Raises:
            DocumentError: The document has faults.
        """
        document = read_document(body)
        zones = tuple(zone.name for zone in document.availability_zones) or ("az-1",)
        by_name = {server.name: server for server in servers}
        return cls(document, body, by_name, zones, seed)

    def _add_engines(self) -> None:
        store = self.document.deployment.store
        weights = WeightStore(
            store.loads_per_s, store.full_speed_loads, store.adapter_full_speed_loads
        )
        times = {model.name: model.load_s for model in self.document.models}
        times |= {item.name: item.load_s for item in self.document.adapters}
        port = self.world.order_port
        port.weight_store = LabWeightStore(self.world.schedule, weights, times)
        for server in self.servers.values():
            if server.labels.get("kind") == "engine":
                memory = EngineMemory(server.memory_mb, server.checks_fencing)
                port.engines[server.name] = FakeEngine(memory)
                self.serving.add_engine(server.name, server.batch)
            else:
                self.serving.add_service(server.name)
            self._list(server.name, self._listed_server(server))

    def _listed_server(self, server: FleetServer) -> ListedInstance:
        return ListedInstance(
            name=server.name,
            incarnation="1",
            address="127.0.0.1:1",
            availability_zone=server.availability_zone,
            labels=server.labels,
        )

    # The platform's instance list.

    def _list(self, name: str, listed: ListedInstance | None) -> None:
        others = [x for x in self.world.listing.instances if x.name != name]
        found = (*others, listed) if listed is not None else tuple(others)
        self.world.listing = InstanceList(tuple(found))

    def _relist(self, name: str, **changes: object) -> None:
        for item in self.world.listing.instances:
            if item.name == name:
                self._list(name, replace(item, **changes))  # type: ignore[arg-type]

    # Entry instances.

    def start_entries(self, count: int) -> None:
        """Start `entry-1` to `entry-N`."""
        for number in range(1, count + 1):
            self.start_entry(f"entry-{number}")

    def start_entry(self, name: str) -> None:
        """Start an instance's process, with a new boot id."""
        boot = self.boots.get(name, 0) + 1
        self.boots[name] = boot
        zone = self.zones[(int(name.rpartition("-")[2]) - 1) % len(self.zones)]
        identity = InstanceIdentity(
            name=name,
            boot_id=f"{name}.{boot}",
            boot_number=boot,
            address=name,
            availability_zone=zone,
        )
        rng = random.Random(self.rng.random())
        parts = EntryParts.from_identity(
            identity,
            rng,
            self.wall_clock,
            policy=self.policy,
            placement=self.placement,
            choice=self.choice,
        )
        self.entries[name] = parts
        self.world.add(name, parts.core)
        labels = {"kind": "entry"}
        self._list(name, ListedInstance(name, str(boot), name, zone, labels))

    def wall_clock(self) -> float:
        """Return the wall-clock time in seconds."""
        return WALL_CLOCK_START_S + self.world.now

    def kill_entry(self, name: str) -> None:
        """End an instance's process at once; the list still shows it a while."""
        self.world.kill(name)
        self.killed.setdefault(name, []).append(self.world.now)
        delay = LISTING_DELAY_S
        self.world.schedule.after(delay, lambda: self._forget_entry(name))

    def _forget_entry(self, name: str) -> None:
        if not self.world.hosts[name].alive:
            self._list(name, None)

    def was_killed(self, name: str, since: float) -> bool:
        """Tell whether an instance was killed after a moment."""
        return any(at >= since for at in self.killed.get(name, []))

    def stop_entry(self, name: str) -> None:
        """Ask an instance to stop; its process ends when it has drained."""
        self._relist(name, state=InstanceState.LEAVING)
        self.world.send(name, DrainRequested())
        self._end_when_drained(name)

    def _end_when_drained(self, name: str) -> None:
        host = self.world.hosts[name]
        if host.drained:
            host.alive = False
            self._list(name, None)
        elif host.alive:
            self.world.schedule.after(0.1, lambda: self._end_when_drained(name))

    @property
    def ready(self) -> list[str]:
        """Names of instances that the balancer sends work to, sorted."""
        hosts = self.world.hosts
        return sorted(
            name
            for name, parts in self.entries.items()
            if hosts[name].alive
            and parts.path.classifier is not None
            and parts.path.fresh
            and parts.directory.listed
            and not parts.path.draining
        )

    # Backend servers.

    def leave(self, name: str) -> None:
        """Let a backend server leave: it says so, and the list says so later."""
        self.serving.servers[name].fault.leaving = True
        self._relist(name, state=InstanceState.LEAVING)

    def unlist(self, name: str) -> None:
        """Let the list lose a backend server that goes on running."""
        self._list(name, None)

    def kill_server(self, name: str) -> None:
        """End a backend server; the list still shows it for a while."""
        self.serving.kill(name)
        delay = LISTING_DELAY_S
        self.world.schedule.after(delay, lambda: self._forget_server(name))

    def _forget_server(self, name: str) -> None:
        if self.serving.servers[name].down:
            self._list(name, None)

    def restart_server(self, name: str) -> None:
        """Start a backend server anew, with empty memory."""
        if not self.serving.servers[name].down:
            self.serving.kill(name)
        count = self.boots.get(name, 1) + 1
        self.boots[name] = count
        self.serving.revive(name, str(count))
        self.serving.servers[name].fault.leaving = False
        listed = self._listed_server(self.servers[name])
        self._list(name, replace(listed, incarnation=str(count)))

    # Callers.

    def next_request_id(self) -> str:
        """Return an id that no request has yet."""
        self.serial += 1
        return f"r{self.serial}"

    def send(self, request: Request, entry: str = "") -> str:
        """Send a request through the balancer or to a given instance.

        Returns:
            The instance; empty if none was ready.
        """
        ready = self.ready
        if not entry and not ready:
            self.turned_away += 1
            return ""
        entry = entry or self.rng.choice(ready)
        self.sent[request.request_id] = SentRequest(request, entry, self.world.now)
        self.world.send(entry, RequestArrived(request))
        return entry
