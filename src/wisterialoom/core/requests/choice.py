"""Policies that select a backend server among those with free slots."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Choice", "LeastCost", "PowerOfTwoChoices", "RandomChoice"]


@dataclass(frozen=True, slots=True)
class Choice:
    """Base class of the selection policies."""


@dataclass(frozen=True, slots=True)
class LeastCost(Choice):
    """Select the server with the least expected time to first output."""


@dataclass(frozen=True, slots=True)
class RandomChoice(Choice):
    """Select a server at random; a baseline for comparisons."""


@dataclass(frozen=True, slots=True)
class PowerOfTwoChoices(Choice):
    """Select the less loaded of two random servers; a baseline for comparisons.

    The load is the one that the servers reported.
    """
