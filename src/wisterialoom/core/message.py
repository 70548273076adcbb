"""Base classes of everything that enters or leaves the core."""

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
    """Something that the shell has to carry out for the core."""


@dataclass(frozen=True, slots=True)
class Tick(Event):
    """Time has passed; sent every `TICK_INTERVAL_S` and after each `WakeAt`."""


@dataclass(frozen=True, slots=True)
class WakeAt(Command):
    """Send a `Tick` at this moment.

    Attributes:
        at: Monotonic time in seconds.
    """

    at: float


@dataclass(frozen=True, slots=True)
class Notice(Event):
    """A typed message from one part of the core to others.

    Parts return notices beside commands; `EntryCore` hands each to the parts
    that listen for its class. Senders do not know the receivers.
    """


Output: TypeAlias = Command | Notice
"""What a part returns."""


class Part(Protocol):
    """One part of the core.

    Attributes:
        listens: Classes of the events that the part wants; a subclass counts.
    """

    listens: ClassVar[tuple[type[Event], ...]]

    def handle(self, now: float, event: Event) -> list[Output]:
        """Take one event and return what follows from it.

        Args:
            now: Monotonic time in seconds.
            event: What happened.
        """
        ...
