"""Warns operators of a document that this instance cannot read."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from wisterialoom.core.message import Command, Event, Output
from wisterialoom.core.notice import ConfigRefused

__all__ = ["ConfigWarning", "LogWarning"]


@dataclass(frozen=True, slots=True)
class LogWarning(Command):
    """Log a warning and count it.

    Attributes:
        reason: Label of the counter.
        message: What happened, and how to correct it.
    """

    reason: str
    message: str


class ConfigWarning:
    """Issues a warning for each refused document."""

    handled_events: ClassVar[tuple[type[Event], ...]] = (ConfigRefused,)

    def handle(self, now: float, event: Event) -> list[Output]:
        """Process one event and return the resulting commands and notices.

        Args:
            now: Monotonic time in seconds; unused.
            event: The event.
        """
        match event:
            case ConfigRefused(generation=generation, problem=problem):
                message = (
                    f"generation {generation} of the configuration cannot be read by "
                    "this instance; the previous one stays in force until a corrected "
                    f"document is applied: {problem}"
                )
                return [LogWarning("config_refused", message)]
        return []
