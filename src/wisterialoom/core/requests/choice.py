"""How a backend server is chosen among those with room."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Choice", "LeastCost", "PowerOfTwoChoices", "RandomChoice"]


@dataclass(frozen=True, slots=True)
class Choice:
    """Base class of the choices."""


@dataclass(frozen=True, slots=True)
class LeastCost(Choice):
    """The least expected time to first output."""


@dataclass(frozen=True, slots=True)
class RandomChoice(Choice):
    """Any; a baseline."""


@dataclass(frozen=True, slots=True)
class PowerOfTwoChoices(Choice):
    """Of two at random, the one with the lower reported load; a baseline."""
