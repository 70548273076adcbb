"""A small fleet of controllers and engines for tests of memory and placement."""

from __future__ import annotations

from wisterialoom.core.configuration.document import (
    Deployment,
    Document,
    Model,
    ServerGroup,
)
from wisterialoom.core.engine import LoadModel, ModelKey, SendOrder
from wisterialoom.core.engine_control.engine_controllers import EngineControllers
from wisterialoom.core.fleet.instance_list import (
    InstanceList,
    ListedInstance,
    ReadInstanceList,
)
from wisterialoom.core.fleet.peer import MemberStatus, PlanEntry
from wisterialoom.core.message import Command, Notice, Tick
from wisterialoom.core.notice import (
    BackendServer,
    ConfigChanged,
    Member,
    MembersChanged,
    PlanComputed,
    ServersChanged,
)
from wisterialoom.lab.fault import OrderFault, StoreFault
from wisterialoom.lab.order_port import FakeEngine
from wisterialoom.lab.world import World
from wisterialoom.standin.engine_memory import EngineMemory

LEASE_S = 4.0
LIFETIME_S = 20.5
LOAD_S = 3.0
CAPACITY_MB = 100
POOL_MB = 20
LISTING_INTERVAL_S = 1.0


class PartsCore:
    """Some parts of the core, which pass notices to each other."""

    def __init__(self, parts):
        self.parts = parts
        self.notices = []
        self.listing_due = 0.0
        self.before_load = None

    def handle(self, now, event):
        commands = []
        events = [event]
        if isinstance(event, Tick) and now >= self.listing_due:
            self.listing_due = now + LISTING_INTERVAL_S
            commands.append(ReadInstanceList())
        while events:
            event = events.pop(0)
            for part in self.parts:
                if isinstance(event, part.handled_events):
                    for output in part.handle(now, event):
                        if isinstance(output, Command):
                            commands.append(output)
                        else:
                            events.append(output)
                            self.notices.append(output)
        assert all(isinstance(x, Notice) for x in self.notices)
        if self.before_load is not None and any(map(_is_load, commands)):
            call, self.before_load = self.before_load, None
            call()
        return commands


def _is_load(command):
    return isinstance(command, SendOrder) and isinstance(
        command.order.action, LoadModel
    )


def make_document(sizes, *, lease_s=LEASE_S, adapters=()):
    groups = tuple(
        ServerGroup(
            name=name,
            selector=f"group={name}",
            memory_mb=CAPACITY_MB + POOL_MB,
            adapter_pool_mb=POOL_MB,
            checks_fencing=name == "checking",
            order_lifetime_s=LIFETIME_S,
        )
        for name in ("checking", "trusting")
    )
    return Document(
        deployment=Deployment("test", lease_s=lease_s),
        models=tuple(
            Model(name, "1", memory_mb=size, load_s=LOAD_S)
            for name, size in sizes.items()
        ),
        adapters=tuple(adapters),
        server_groups=groups,
    )


class Fleet:
    """Entry instances and engines in one simulated world."""

    def __init__(self, seed, *, document, engines, instances=3, make_parts=None):
        self.world = World(seed)
        self.world.listing_lag_s = 0.05
        self.document = document
        self.make_parts = make_parts or (
            lambda name, boot: [EngineControllers(name, boot)]
        )
        self.boot_count = 0
        self.gone = set()
        self.plans = {}
        self.unlisted = set()
        for name, group in engines.items():
            memory = EngineMemory(
                CAPACITY_MB + POOL_MB, checks_fencing=group == "checking"
            )
            engine = FakeEngine(memory, load_s=LOAD_S)
            self.world.order_port.engines[name] = engine
        self.servers = tuple(
            BackendServer(
                name,
                "1",
                "127.0.0.1:1",
                f"zone-{index % 2}",
                {"group": group, "name": name},
                group,
                "engine",
            )
            for index, (name, group) in enumerate(sorted(engines.items()))
        )
        for index in range(instances):
            self.start(f"entry-{index}")

    @property
    def engines(self):
        return self.world.order_port.engines

    @property
    def violations(self):
        return [x for e in self.engines.values() for x in e.memory.violations]

    def start(self, name):
        self.boot_count += 1
        core = PartsCore(self.make_parts(name, f"boot-{self.boot_count}"))
        self.world.add(name, core)
        self.gone.discard(name)
        self.refresh()
        self._send_plan(tuple(self.plans.values()))
        return core

    def freeze_at_load(self, name, *, past_checks):
        """Pause a process after it next decides to load, before it sends the order."""

        def freeze():
            self.world.freeze(name, hold_sends=True, past_checks=past_checks)

        self.world.hosts[name].core.before_load = freeze

    def kill(self, name):
        self.world.kill(name)
        self.gone.add(name)
        self.refresh()

    def refresh(self):
        """Send document, members and servers to every instance; update the listing."""
        names = [x for x, host in self.world.hosts.items() if host.alive]
        self.world.listing = InstanceList(
            tuple(ListedInstance(x, "1", "127.0.0.1:1", "zone-0") for x in names)
        )
        up = [x for x in names if not self.world.hosts[x].frozen]
        members = tuple(
            Member(x, "127.0.0.1:1", "zone-0", 1, MemberStatus.ALIVE)
            for x in sorted(up)
        )
        listed = tuple(x for x in self.servers if x.name not in self.unlisted)
        gone = frozenset(self.gone | (set(names) - set(up)))
        for name in names:
            self.world.send(name, ConfigChanged(1, self.document))
            self.world.send(name, MembersChanged(members, gone))
            self.world.send(name, ServersChanged(listed))

    def plan(self, models_by_server):
        """Give every instance the same plan, highest priority first."""
        entries = tuple(
            PlanEntry(x, tuple(models)) for x, models in models_by_server.items()
        )
        self._send_plan(entries)

    def plan_one(self, server, models, adapters):
        """Give every instance a plan for one server."""
        models = tuple(f"{x}@1" for x in models)
        adapters = tuple(f"{x}@1" for x in adapters)
        self._send_plan((PlanEntry(server, models, adapters),))

    def _send_plan(self, entries):
        self.plans |= {entry.server: entry for entry in entries}
        for name, host in self.world.hosts.items():
            if host.alive:
                for entry in entries:
                    plan = PlanComputed(entry.server, entry.models, entry.adapters)
                    self.world.send(name, plan)

    def set_busy(self, server, name, *, busy):
        """Set whether a model has a request in progress."""
        self.engines[server].memory.busy[ModelKey(name, "1")] = int(busy)

    def recover(self, names):
        """Remove every fault and run every instance."""
        self.unlisted.clear()
        self.world.store_port.fault = StoreFault()
        self.world.links.restore_links()
        for engine in self.engines.values():
            engine.fault = OrderFault()
            engine.memory.busy.clear()
        for name in names:
            self.world.hosts[name].core.before_load = None
            if self.world.hosts[name].alive:
                self.world.thaw(name)
            else:
                self.start(name)
        self.refresh()

    def holder(self, server):
        """Return the running instance that holds the newest lease, or `None`."""
        held = [
            (controller.lease.epoch, name)
            for name, host in self.world.hosts.items()
            if host.alive
            for controller in [host.core.parts[0].controllers.get(server)]
            if controller is not None and controller.lease.holding
        ]
        return max(held)[1] if held else None

    def load_orders(self):
        """Return every order to load a model that was sent."""
        return [x.message for x in self.world.trace if _is_load(x.message)]

    def fences(self):
        """Return the server and the fence of every order that was sent."""
        sent = (x.message for x in self.world.trace)
        return [(x.server, x.order.fence) for x in sent if isinstance(x, SendOrder)]

    def resident(self, server):
        """Return `name@version` of what an engine holds."""
        memory = self.engines[server].memory
        return {str(key) for key in (*memory.models, *memory.adapters)}
