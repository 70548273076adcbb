"""Policies that select a backend server among those with free slots."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["SelectionPolicy", "LeastCost", "PowerOfTwoChoices", "RandomSelection"]


@dataclass(frozen=True, slots=True)
class SelectionPolicy:
    """Base class of the selection policies."""


@dataclass(frozen=True, slots=True)
class LeastCost(SelectionPolicy):
    """Select the server with the least expected time to first output."""


@dataclass(frozen=True, slots=True)
class RandomSelection(SelectionPolicy):
    """Select a server at random; a baseline for comparisons."""


@dataclass(frozen=True, slots=True)
class PowerOfTwoChoices(SelectionPolicy):
    """Select the less loaded of two random servers; a baseline for comparisons.

    The load is the one that the servers reported.
    """
