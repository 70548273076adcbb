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
    """What the platform says of an instance."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """One instance as the platform lists it.

    Attributes:
        name: Identifier of the instance.
        incarnation: Changes when an instance of this name starts anew.
        address: `IP:port`.
        availability_zone: Name of the availability zone.
        labels: The platform's labels; `kind` is `entry`, `engine` or `service`.
        state: Live or leaving.
    """

    name: str
    incarnation: str
    address: str
    availability_zone: str
    labels: dict[str, str] = field(default_factory=dict)
    state: InstanceState = InstanceState.LIVE


@dataclass(frozen=True, slots=True)
class InstanceList:
    """The whole list; it lags behind reality."""

    instances: tuple[ListedInstance, ...] = ()


@dataclass(frozen=True, slots=True)
class ReadInstanceList(Command):
    """Read the list; answered by one of the two events below."""


@dataclass(frozen=True, slots=True)
class InstanceListRead(Event):
    """The platform's list, as of some moments ago."""

    listing: InstanceList


@dataclass(frozen=True, slots=True)
class InstanceListUnavailable(Event):
    """The platform did not answer."""
