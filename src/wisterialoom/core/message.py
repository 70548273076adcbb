"""Base classes of the events and commands that enter and leave the core."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar, Protocol, TypeAlias

__all__ = [
    "TICK_INTERVAL_S",
    "Command",
    "Event",
    "Notice",
    "Output",
    "Part",
    "Tick",
    "WakeAt",
]

TICK_INTERVAL_S = 0.1
"""Time between two ticks, in seconds."""


@dataclass(frozen=True, slots=True)
class Event:
    """Something that happened outside the core."""


@dataclass(frozen=True, slots=True)
class Command:
    """Something that the surrounding process has to do for the core."""


@dataclass(frozen=True, slots=True)
class Tick(Event):
    """Time has passed; sent every `TICK_INTERVAL_S` and after each `WakeAt`."""


@dataclass(frozen=True, slots=True)
class WakeAt(Command):
    """Request a `Tick` at a given time.

    Attributes:
        at: Monotonic time in seconds.
    """

    at: float


@dataclass(frozen=True, slots=True)
class Notice(Event):
    """A typed message from one part of the core to others.

    Parts return notices along with commands, and `EntryCore` hands each notice to the
    parts that listen for its class. Senders are independent of the receivers.
    """


Output: TypeAlias = Command | Notice
"""A command or notice that a part returns."""


class Part(Protocol):
    """One part of the core.

    Attributes:
        handled_events: Event classes that the part handles, including their subclasses.
    """

    handled_events: ClassVar[tuple[type[Event], ...]]

    def handle(self, now: float, event: Event) -> list[Output]:
        """Handle one event and return the resulting commands and notices.

        Args:
            now: Monotonic time in seconds.
            event: What happened.
        """
        ...
