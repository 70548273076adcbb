"""A stand-in for the platform's instance list, which lags, sans I/O."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from wisterialoom.core.fleet.instance_list import InstanceList, InstanceState

if TYPE_CHECKING:
    from wisterialoom.core.fleet.instance_list import ListedInstance

__all__ = ["InstanceRegistry"]


@dataclass
class InstanceRegistry:
    """Instances as they are, and as the list tells them some time later.

    Attributes:
        lag_s: Age of what the list tells.
        frozen: The list does not change any more.
        instances: Instances as they are now.
        versions: Lists with the moment from which each was true.
    """

    lag_s: float = 0.0
    frozen: bool = False
    instances: dict[str, ListedInstance] = field(default_factory=dict)
    versions: list[tuple[float, InstanceList]] = field(default_factory=list)
    shown: InstanceList = field(default_factory=InstanceList)

    def register(self, now: float, instance: ListedInstance) -> None:
        """Add an instance, or replace the one of the same name."""
        self.instances[instance.name] = instance
        self._remember(now)

    def mark_leaving(self, now: float, name: str) -> None:
        """Mark an instance as leaving; does nothing if it is unknown."""
        instance = self.instances.get(name)
        if instance is not None:
            self.register(now, replace(instance, state=InstanceState.LEAVING))

    def remove(self, now: float, name: str) -> None:
        """Remove an instance."""
        self.instances.pop(name, None)
        self._remember(now)

    def _remember(self, now: float) -> None:
        listing = InstanceList(tuple(sorted(self.instances.values(), key=_name)))
        self.versions.append((now, listing))

    def listing(self, now: float) -> InstanceList:
        """Return what the list tells at a moment."""
        while not self.frozen and self.versions:
            since, listing = self.versions[0]
            if since + self.lag_s > now:
                break
            self.shown = listing
            del self.versions[0]
        return self.shown


def _name(instance: ListedInstance) -> str:
    return instance.name
