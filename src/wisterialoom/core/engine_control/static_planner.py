"""Static placement, a baseline that the planner is compared with.

The plan depends on the document and the listed engines alone, not on demand, so
that every instance computes the same one.
"""

from __future__ import annotations

from typing import ClassVar, TYPE_CHECKING

from wisterialoom.core.configuration.selector import Selector
from wisterialoom.core.engine import ModelKey
from wisterialoom.core.notice import ConfigChanged, PlanComputed, ServersChanged

if TYPE_CHECKING:
    from wisterialoom.core.configuration.document import Document, Model
    from wisterialoom.core.message import Event, Output
    from wisterialoom.core.notice import BackendServer

__all__ = ["StaticPlanner"]


class StaticPlanner:
    """Plans the models of each engine without regard to demand.

    Attributes:
        document: Configuration in force; `None` before the first.
        servers: Engines that are not leaving.
    """

    handled_events: ClassVar[tuple[type[Event], ...]] = (ConfigChanged, ServersChanged)

    def __init__(self) -> None:
        self.document: Document | None = None
        self.servers: tuple[BackendServer, ...] = ()

    def handle(self, now: float, event: Event) -> list[Output]:
        """Handle one event; see `Part`.

        Args:
            now: Monotonic time in seconds; not used.
            event: The event.
        """
        match event:
            case ConfigChanged(document=document):
                self.document = document
            case ServersChanged(servers=servers):
                self.servers = tuple(
                    server
                    for server in servers
                    if server.kind == "engine" and not server.leaving
                )
        return self._plan()

    def _plan(self) -> list[Output]:
        if self.document is None:
            return []
        groups = {group.name: group for group in self.document.server_groups}
        free = {
            server.name: groups[server.group].memory_mb
            - groups[server.group].adapter_pool_mb
            for server in self.servers
            if server.group in groups
        }
        held: dict[str, list[str]] = {name: [] for name in free}
        for _ in self.servers:
            for model in self.document.models:
                self._place(model, free, held)
        return [self._plan_of(name, models) for name, models in held.items()]

    def _place(
        self, model: Model, free: dict[str, int], held: dict[str, list[str]]
    ) -> None:
        selector = Selector.parse(model.servers)
        key = str(ModelKey(model.name, model.version))
        fitting = [
            server.name
            for server in self.servers
            if selector.matches(server.labels)
            and free.get(server.name, 0) >= model.memory_mb
            and key not in held[server.name]
        ]
        if fitting:
            name = max(fitting, key=lambda item: (free[item], item))
            free[name] -= model.memory_mb
            held[name].append(key)

    def _plan_of(self, server: str, models: list[str]) -> PlanComputed:
        assert self.document is not None
        names = {ModelKey.parse(text).name for text in models}
        group = next(x.group for x in self.servers if x.name == server)
        server_group = next(x for x in self.document.server_groups if x.name == group)
        free_mb = server_group.adapter_pool_mb
        adapters = []
        for adapter in self.document.adapters:
            if adapter.model in names and adapter.memory_mb <= free_mb:
                free_mb -= adapter.memory_mb
                adapters.append(str(ModelKey(adapter.name, adapter.version)))
        return PlanComputed(server, tuple(models), tuple(adapters))
