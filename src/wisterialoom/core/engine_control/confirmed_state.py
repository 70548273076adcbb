"""Newest confirmed state of one engine."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisterialoom.core.engine import EngineState

__all__ = ["ConfirmedState"]

PAUSE_THRESHOLD_S = 1.0
"""Shortest gap between two events that counts as a pause of the process."""

NEVER = float("-inf")


@dataclass(slots=True)
class ConfirmedState:
    """The newest confirmed state of an engine.

    Attributes:
        state: The state; `None` if none is confirmed.
        accept_since: When the state arrived, or was invalidated. Answers to requests
            sent before that may be older than the state and are dropped.
        confirmed_at: When the answer to an order last confirmed the state.
        needs_order: Earlier orders may still take effect, or the engine has
            restarted; only the answer to a new order can confirm the state.
        resumed_at: When this process last resumed after a pause.
        confirmed_incarnation: Incarnation of the engine when its state was last
            confirmed under a valid lease.
        last_event_at: When this process last handled an event.
    """

    state: EngineState | None = None
    accept_since: float = NEVER
    confirmed_at: float = NEVER
    needs_order: bool = True
    resumed_at: float = NEVER
    confirmed_incarnation: str = ""
    last_event_at: float | None = None

    def detect_pause(self, now: float) -> None:
        """Detect a pause of this process, which invalidates what was confirmed.

        Whatever was requested before the pause may be out of date by now.
        """
        if (
            self.last_event_at is not None
            and now - self.last_event_at > PAUSE_THRESHOLD_S
        ):
            self.needs_order = True
            self.accept_since = now
            self.resumed_at = now
        self.last_event_at = now

    def reset(self, now: float) -> None:
        """Forget the state, when the lease is taken or lost."""
        self.state = None
        self.needs_order = True
        self.accept_since = now

    def accepts(self, sent_at: float) -> bool:
        """Return whether the answer to a request sent at this time may be used."""
        return sent_at >= self.accept_since

    def adopt_read(self, now: float, state: EngineState) -> None:
        """Use the state that a read returned."""
        if self.state is None or state.incarnation != self.state.incarnation:
            self.needs_order = True
        self.state = state
        self.accept_since = now

    def adopt_answer(self, now: float, state: EngineState, *, leased: bool) -> None:
        """Use the state that came with the answer to an order, which confirms it.

        Args:
            now: Monotonic time in seconds.
            state: The engine's state after the order.
            leased: Whether the lease is valid.
        """
        self.needs_order = False
        self.confirmed_at = now
        self.state = state
        self.accept_since = now
        if leased:
            self.confirmed_incarnation = state.incarnation

    @property
    def is_same_incarnation(self) -> bool:
        """Whether the engine has not restarted since confirmed under a valid lease."""
        state = self.state
        return state is not None and state.incarnation == self.confirmed_incarnation
