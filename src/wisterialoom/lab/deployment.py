"""A whole simulated deployment: entry instances, engines and services."""

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
from wisterialoom.lab.weight_store import SimulatedWeightStore
from wisterialoom.lab.world import World
from wisterialoom.standin.engine_memory import EngineMemory
from wisterialoom.standin.weight_store import WeightStore

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisterialoom.core.configuration.document import Document
    from wisterialoom.core.requests.selection_policy import SelectionPolicy
    from wisterialoom.core.window import WindowPolicy
    from wisterialoom.standin.engine_batch import BatchSettings

__all__ = ["CONFIG_KEY", "Deployment", "FleetServer"]

CONFIG_KEY = "config/document"
WALL_CLOCK_START_S = 1_800_000_000.0

LISTING_DELAY_S = 5.0
"""Time for which the instance list still shows an ended process, in seconds."""


@dataclass(frozen=True, slots=True)
class FleetServer:
    """A backend server that a deployment starts with.

    Attributes:
        name: Identifier of the server.
        availability_zone: Name of the availability zone.
        labels: Labels set by the platform; `kind` is `engine` or `service`.
        memory_mb: Accelerator memory; used for engines only.
        checks_fencing: Whether an engine refuses orders with an old fencing number;
            used for engines only.
        batch: Speed and limits of the batch; used for engines only.
    """

    name: str
    availability_zone: str
    labels: dict[str, str]
    memory_mb: int = 0
    checks_fencing: bool = True
    batch: BatchSettings | None = None


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request that a caller sent, with its entry instance and send time."""

    request: Request
    entry: str
    at: float


@dataclass
class Deployment:
    """Entry instances and backend servers that run one configuration document.

    Attributes:
        document: Configuration document applied at the start.
        body: TOML source of the document.
        servers: Backend servers by name.
        zones: Availability zones that the entry instances are spread over.
        seed: Seed of every random choice.
        policy: Computes the in-flight limits; `None` for the default policy.
        placement: Decides which models are resident on which engines.
        choice: Selects the server of a request; `None` for the default policy.
        keep_trace: Keep every event and command, to show them with a failed check.
        world: The virtual clock and the fakes.
        entries: Components of each entry instance by name, also after its end.
        sent: Every request sent, by request id.
        boot_counts: Number of starts of each entry instance, and the incarnation
            of each restarted backend server.
        serving: Simulates the backend servers that serve dispatched attempts.
        kill_times: Times at which each entry instance was killed.
        unroutable_count: Number of requests that arrived while no entry instance
            was ready.
        last_request_number: Number in the latest generated request id.
    """

    document: Document
    body: bytes
    servers: dict[str, FleetServer]
    zones: tuple[str, ...]
    seed: int = 1
    policy: WindowPolicy | None = None
    placement: PlacementPolicy = PlacementPolicy.DEMAND
    choice: SelectionPolicy | None = None
    keep_trace: bool = True
    world: World = field(init=False)
    entries: dict[str, EntryParts] = field(default_factory=dict)
    sent: dict[str, SentRequest] = field(default_factory=dict)
    boot_counts: dict[str, int] = field(default_factory=dict)
    kill_times: dict[str, list[float]] = field(default_factory=dict)
    unroutable_count: int = 0
    last_request_number: int = 0

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
        """Build a deployment from a document's TOML and its backend servers.

        Raises:
            DocumentError: The document is invalid.
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
        order_port = self.world.order_port
        order_port.weight_store = SimulatedWeightStore(
            self.world.schedule, weights, times
        )
        for server in self.servers.values():
            if server.labels.get("kind") == "engine":
                memory = EngineMemory(server.memory_mb, server.checks_fencing)
                order_port.engines[server.name] = FakeEngine(memory)
                self.serving.add_engine(server.name, server.batch)
            else:
                self.serving.add_service(server.name)
            self._set_listed(server.name, self._listed_server(server))

    def _listed_server(self, server: FleetServer) -> ListedInstance:
        return ListedInstance(
            name=server.name,
            incarnation="1",
            address="127.0.0.1:1",
            availability_zone=server.availability_zone,
            labels=server.labels,
        )

    # The platform's instance list.

    def _set_listed(self, name: str, listed: ListedInstance | None) -> None:
        others = [x for x in self.world.listing.instances if x.name != name]
        found = (*others, listed) if listed is not None else tuple(others)
        self.world.listing = InstanceList(tuple(found))

    def _update_listed(self, name: str, **changes: object) -> None:
        for item in self.world.listing.instances:
            if item.name == name:
                self._set_listed(name, replace(item, **changes))  # type: ignore[arg-type]

    # Entry instances.

    def start_entries(self, count: int) -> None:
        """Start `entry-1` to `entry-N`."""
        for number in range(1, count + 1):
            self.start_entry(f"entry-{number}")

    def start_entry(self, name: str) -> None:
        """Start the process of an entry instance under a new boot id."""
        boot = self.boot_counts.get(name, 0) + 1
        self.boot_counts[name] = boot
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
        self._set_listed(name, ListedInstance(name, str(boot), name, zone, labels))

    def wall_clock(self) -> float:
        """Return the simulated wall-clock time in seconds since the epoch."""
        return WALL_CLOCK_START_S + self.world.now

    def kill_entry(self, name: str) -> None:
        """Kill an entry instance; it stays listed for `LISTING_DELAY_S`."""
        self.world.kill(name)
        self.kill_times.setdefault(name, []).append(self.world.now)
        delay = LISTING_DELAY_S
        self.world.schedule.after(delay, lambda: self._unlist_entry_if_ended(name))

    def _unlist_entry_if_ended(self, name: str) -> None:
        if not self.world.hosts[name].alive:
            self._set_listed(name, None)

    def was_killed_since(self, name: str, since: float) -> bool:
        """Return whether an entry instance was killed at or after a time."""
        return any(at >= since for at in self.kill_times.get(name, []))

    def stop_entry(self, name: str) -> None:
        """Ask an entry instance to stop; its process ends once it has drained."""
        self._update_listed(name, state=InstanceState.LEAVING)
        self.world.send(name, DrainRequested())
        self._end_when_drained(name)

    def _end_when_drained(self, name: str) -> None:
        host = self.world.hosts[name]
        if host.drained:
            host.alive = False
            self._set_listed(name, None)
        elif host.alive:
            self.world.schedule.after(0.1, lambda: self._end_when_drained(name))

    @property
    def ready(self) -> list[str]:
        """Sorted names of the entry instances that the load balancer sends to."""
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

    def begin_leaving(self, name: str) -> None:
        """Make a backend server leave.

        The server itself announces that it leaves. Readers of the instance list see
        it as leaving after the lag of the list.
        """
        self.serving.servers[name].fault.leaving = True
        self._update_listed(name, state=InstanceState.LEAVING)

    def unlist(self, name: str) -> None:
        """Remove a backend server from the instance list while it keeps running."""
        self._set_listed(name, None)

    def kill_server(self, name: str) -> None:
        """Kill a backend server; it stays listed for `LISTING_DELAY_S`."""
        self.serving.kill(name)
        delay = LISTING_DELAY_S
        self.world.schedule.after(delay, lambda: self._unlist_server_if_ended(name))

    def _unlist_server_if_ended(self, name: str) -> None:
        if self.serving.servers[name].down:
            self._set_listed(name, None)

    def restart_server(self, name: str) -> None:
        """Restart a backend server with empty memory and a new incarnation."""
        if not self.serving.servers[name].down:
            self.serving.kill(name)
        count = self.boot_counts.get(name, 1) + 1
        self.boot_counts[name] = count
        self.serving.revive(name, str(count))
        self.serving.servers[name].fault.leaving = False
        listed = self._listed_server(self.servers[name])
        self._set_listed(name, replace(listed, incarnation=str(count)))

    # Callers.

    def next_request_id(self) -> str:
        """Return a request id that has not been used yet."""
        self.last_request_number += 1
        return f"r{self.last_request_number}"

    def send(self, request: Request, entry: str = "") -> str:
        """Send a request through the load balancer or to a given entry instance.

        Returns:
            Name of the entry instance; empty if none was ready.
        """
        ready = self.ready
        if not entry and not ready:
            self.unroutable_count += 1
            return ""
        entry = entry or self.rng.choice(ready)
        self.sent[request.request_id] = SentRequest(request, entry, self.world.now)
        self.world.send(entry, RequestArrived(request))
        return entry
