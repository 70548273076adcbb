"""What is proved of one engine's state, and since when."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisterialoom.core.engine import EngineState

__all__ = ["ConfirmedState"]

PAUSE_THRESHOLD_S = 1.0
"""A gap between two events that counts as a pause of the process."""

NEVER = float("-inf")


@dataclass(slots=True)
class ConfirmedState:
    """The newest proved state of an engine.

    Attributes:
        state: The state; `None` if nothing is proved.
        accept_since: When it arrived; what was asked for before that is dropped.
        confirmed_at: When an answered order last proved it.
        needs_order: Something happened that only a newer order can settle.
        resumed_at: When this process last woke from a pause.
        confirmed_incarnation: The engine's, when last proved under a valid lease.
        last_event_at: When this process last ran.
    """

    state: EngineState | None = None
    accept_since: float = NEVER
    confirmed_at: float = NEVER
    needs_order: bool = True
    resumed_at: float = NEVER
    confirmed_incarnation: str = ""
    last_event_at: float | None = None

    def detect_pause(self, now: float) -> None:
        """Compare clocks: after a pause nothing is proved any more."""
        if (
            self.last_event_at is not None
            and now - self.last_event_at > PAUSE_THRESHOLD_S
        ):
            self.needs_order = True
            self.accept_since = now
            self.resumed_at = now
        self.last_event_at = now

    def reset(self, now: float) -> None:
        """Forget the state, as a new holder does."""
        self.state = None
        self.needs_order = True
        self.accept_since = now

    def accepts(self, sent_at: float) -> bool:
        """Tell whether an answer is newer than what is known."""
        return sent_at >= self.accept_since

    def adopt_read(self, now: float, state: EngineState) -> None:
        """Take the state that a read returned."""
        if self.state is None or state.incarnation != self.state.incarnation:
            self.needs_order = True
        self.state = state
        self.accept_since = now

    def adopt_answer(self, now: float, state: EngineState, *, leased: bool) -> None:
        """Take the state that came with the answer to an order.

        Args:
            now: Monotonic time in seconds.
            state: The engine's state after the order.
            leased: The lease is valid.
        """
        self.needs_order = False
        self.confirmed_at = now
        self.state = state
        self.accept_since = now
        if leased:
            self.confirmed_incarnation = state.incarnation

    @property
    def is_same_incarnation(self) -> bool:
        """The engine has not started anew since it was proved under the lease."""
        state = self.state
        return state is not None and state.incarnation == self.confirmed_incarnation
