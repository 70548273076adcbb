"""Orders to backend servers about models and adapters, and how they ended."""

from __future__ import annotations

import enum
from dataclasses import dataclass

__all__ = ["Action", "Order", "OrderOutcome"]


class Action(enum.Enum):
    """What an order asks for."""

    LOAD = "load"
    UNLOAD = "unload"


class OrderOutcome(enum.Enum):
    """How an order ended, as far as its sender knows."""

    ACCEPTED = "accepted"
    """It is being carried out."""
    ALREADY_APPLIED = "holds"
    """The server is already in the state that the order asks for."""
    CONFLICT = "conflict"
    """Another order is in progress, or the count of orders differs."""
    FENCED = "fenced"
    """A holder with a higher fencing number has given orders."""
    REFUSED = "refused"
    """The server does not take such an order, or is another one."""
    UNKNOWN = "unknown"
    """No answer came; it may be carried out at any time."""


@dataclass(frozen=True, slots=True)
class Order:
    """One order to one backend server.

    Attributes:
        server_id: The server.
        action: Load or unload.
        model: The model.
        adapter: Adapter of that model; empty for the model itself.
        expected_count: Count of orders that the server must have accepted before.
        from_store: The weights come from the weight store, whose rate is limited.
    """

    server_id: str
    action: Action
    model: str
    adapter: str
    expected_count: int
    from_store: bool = False

    @property
    def resource(self) -> str:
        """Model and adapter in one name."""
        return f"{self.model}/{self.adapter}" if self.adapter else self.model
