"""The platform's list of live and leaving instances."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from wisterialoom.core.message import Command, Event

__all__ = [
    "InstanceList",
    "InstanceListRead",
    "InstanceListUnavailable",
    "InstanceState",
    "ListedInstance",
    "ReadInstanceList",
]


class InstanceState(enum.Enum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """One instance as the platform lists it.

    Attributes:
        name: Identifier of the instance.
        incarnation: Differs for each start of an instance of this name.
        address: `IP:port`.
        availability_zone: Name of the availability zone.
        labels: Labels from the platform; `kind` is `entry`, `engine` or `service`.
        state: Whether the instance is live or leaving.
    """

    name: str
    incarnation: str
    address: str
    availability_zone: str
    labels: dict[str, str] = field(default_factory=dict)
    state: InstanceState = InstanceState.LIVE


@dataclass(frozen=True, slots=True)
class InstanceList:
    """The complete list; it may lag behind the actual state of the fleet.

    Attributes:
        instances: The instances.
        unreadable: What is wrong with each entry that describes no instance, by name.
    """

    instances: tuple[ListedInstance, ...] = ()
    unreadable: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ReadInstanceList(Command):
    """Read the list.

    The answer is `InstanceListRead` or `InstanceListUnavailable`.
    """


@dataclass(frozen=True, slots=True)
class InstanceListRead(Event):
    """The platform returned its list, which may be some moments old."""

    listing: InstanceList


@dataclass(frozen=True, slots=True)
class InstanceListUnavailable(Event):
    """The platform did not answer a request for its list."""
