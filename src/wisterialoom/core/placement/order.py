"""Orders to backend servers to load or unload models and adapters."""

from __future__ import annotations

import enum
from dataclasses import dataclass

__all__ = ["Action", "Order", "OrderOutcome"]


class Action(enum.Enum):
    """What an order requests."""

    LOAD = "load"
    UNLOAD = "unload"


class OrderOutcome(enum.Enum):
    """How an order ended from the sender's point of view."""

    ACCEPTED = "accepted"
    """The server is carrying the order out."""
    ALREADY_APPLIED = "holds"
    """The server is already in the requested state."""
    CONFLICT = "conflict"
    """Another order is in progress, or the server's order count differs."""
    FENCED = "fenced"
    """A lease holder with a higher fencing token has sent orders."""
    REFUSED = "refused"
    """The server does not accept such an order, or is a different server."""
    UNKNOWN = "unknown"
    """No answer arrived; the order may still take effect at any time."""


@dataclass(frozen=True, slots=True)
class Order:
    """One order to one backend server.

    Attributes:
        server_id: Id of the server.
        action: Load or unload.
        model: Name of the model.
        adapter: Adapter of that model; empty for the model itself.
        expected_count: Number of orders that the server must have accepted so far.
        from_store: Whether the weights come from the rate-limited weight store.
    """

    server_id: str
    action: Action
    model: str
    adapter: str
    expected_count: int
    from_store: bool = False

    @property
    def resource(self) -> str:
        """Model and adapter as one key."""
        return f"{self.model}/{self.adapter}" if self.adapter else self.model
