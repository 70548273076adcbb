"""The core of one entry instance: dispatches events to its parts."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from wisterialoom.core.message import Command, Event, Notice, Part
from wisterialoom.core.notice import Drained, DrainRequested, PartDrained

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["EntryCore"]


class EntryCore:
    """Hands each event to the parts that listen for its class.

    Notices that a part returns are handed to the other parts within the same call, in
    the order in which they were returned.

    Attributes:
        parts: All parts, in the order in which they handle an event.
        listeners: Listening parts by event class, filled when a class first occurs.
        undrained_parts: Names of parts that have not yet reported `PartDrained`.
        draining: Whether the instance is stopping.
    """

    def __init__(self, parts: Sequence[Part], draining_parts: frozenset[str]) -> None:
        """Build the core from its parts.

        Args:
            parts: The parts.
            draining_parts: Names of the parts that report `PartDrained` before the
                instance exits.
        """
        self.parts = tuple(parts)
        self.listeners: dict[type[Event], tuple[Part, ...]] = {}
        self.undrained_parts = set(draining_parts)
        self.draining = False

    def handle(self, now: float, event: Event) -> list[Command]:
        """Handle one event and return the resulting commands.

        Args:
            now: Monotonic time in seconds.
            event: What happened.
        """
        commands: list[Command] = []
        pending: deque[Event] = deque([event])
        while pending:
            current = pending.popleft()
            commands += self._track_draining(current)
            for part in self._parts_for(type(current)):
                for output in part.handle(now, current):
                    match output:
                        case Notice():
                            pending.append(output)
                        case Command():
                            commands.append(output)
        return commands

    def _parts_for(self, kind: type[Event]) -> tuple[Part, ...]:
        found = self.listeners.get(kind)
        if found is None:
            found = tuple(x for x in self.parts if issubclass(kind, x.handled_events))
            self.listeners[kind] = found
        return found

    def _track_draining(self, event: Event) -> list[Command]:
        match event:
            case DrainRequested():
                self.draining = True
            case PartDrained(part=part) if part in self.undrained_parts:
                self.undrained_parts.discard(part)
                if self.draining and not self.undrained_parts:
                    return [Drained()]
        return []
