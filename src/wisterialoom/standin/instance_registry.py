"""Emulator of the platform's instance list, which lags behind, without I/O."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from wisterialoom.core.fleet.instance_list import InstanceList, InstanceState

if TYPE_CHECKING:
    from wisterialoom.core.fleet.instance_list import ListedInstance

__all__ = ["InstanceRegistry"]


@dataclass
class InstanceRegistry:
    """Registered instances, published in the instance list after a delay.

    Attributes:
        lag_s: Delay in seconds until a change is published.
        frozen: Whether publication is suspended.
        instances: Current instances, by name.
        versions: Unpublished lists, each with the time of the change.
        published: The published list.
    """

    lag_s: float = 0.0
    frozen: bool = False
    instances: dict[str, ListedInstance] = field(default_factory=dict)
    versions: list[tuple[float, InstanceList]] = field(default_factory=list)
    published: InstanceList = field(default_factory=InstanceList)

    def register(self, now: float, instance: ListedInstance) -> None:
        """Add an instance, or replace the instance of the same name."""
        self.instances[instance.name] = instance
        self._record_version(now)

    def mark_leaving(self, now: float, name: str) -> None:
        """Mark an instance as leaving; does nothing if it is unknown."""
        instance = self.instances.get(name)
        if instance is not None:
            self.register(now, replace(instance, state=InstanceState.LEAVING))

    def remove(self, now: float, name: str) -> None:
        """Remove an instance."""
        self.instances.pop(name, None)
        self._record_version(now)

    def _record_version(self, now: float) -> None:
        listing = InstanceList(tuple(sorted(self.instances.values(), key=_name)))
        self.versions.append((now, listing))

    def listing(self, now: float) -> InstanceList:
        """Return the list that is published at the given time."""
        while not self.frozen and self.versions:
            since, listing = self.versions[0]
            if since + self.lag_s > now:
                break
            self.published = listing
            del self.versions[0]
        return self.published


def _name(instance: ListedInstance) -> str:
    return instance.name
