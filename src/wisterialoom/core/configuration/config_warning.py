"""Tells operators of a document that this instance cannot read."""

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
        message: What happened and what to do about it.
    """

    reason: str
    message: str


class ConfigWarning:
    """Turns each refused document into a warning."""

    listens: ClassVar[tuple[type[Event], ...]] = (ConfigRefused,)

    def handle(self, now: float, event: Event) -> list[Output]:
        """Take one event and return what follows from it.

        Args:
            now: Monotonic time in seconds; plays no role.
            event: What happened.
        """
        match event:
            case ConfigRefused(generation=generation, problem=problem):
                message = (
                    f"generation {generation} cannot be read here, and the last one "
                    f"stays in force; apply a corrected document: {problem}"
                )
                return [LogWarning("config_refused", message)]
        return []
