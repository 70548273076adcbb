"""What is proved of one engine's state, and since when."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisterialoom.core.engine import EngineState

__all__ = ["ConfirmedState"]

PAUSE_S = 1.0
"""A gap between two events that counts as a pause of the process."""

NEVER = float("-inf")


@dataclass(slots=True)
class ConfirmedState:
    """The newest proved state of an engine.

    Attributes:
        state: The state; `None` if nothing is proved.
        floor: When it arrived; what was asked for before that is dropped.
        proved_at: When an answered order last proved it.
        needed: Something happened that only a newer order can settle.
        woke_at: When this process last woke from a pause.
        trusted_incarnation: The engine's, when last proved under a valid lease.
        last_event_at: When this process last ran.
    """

    state: EngineState | None = None
    floor: float = NEVER
    proved_at: float = NEVER
    needed: bool = True
    woke_at: float = NEVER
    trusted_incarnation: str = ""
    last_event_at: float | None = None

    def note_time(self, now: float) -> None:
        """Compare clocks: after a pause nothing is proved any more."""
        if self.last_event_at is not None and now - self.last_event_at > PAUSE_S:
            self.needed = True
            self.floor = now
            self.woke_at = now
        self.last_event_at = now

    def start_over(self, now: float) -> None:
        """Forget the state, as a new holder does."""
        self.state = None
        self.needed = True
        self.floor = now

    def accepts(self, asked_at: float) -> bool:
        """Tell whether an answer is newer than what is known."""
        return asked_at >= self.floor

    def adopt_read(self, now: float, state: EngineState) -> None:
        """Take the state that a read returned."""
        if self.state is None or state.incarnation != self.state.incarnation:
            self.needed = True
        self.state = state
        self.floor = now

    def adopt_answer(self, now: float, state: EngineState, *, leased: bool) -> None:
        """Take the state that came with the answer to an order.

        Args:
            now: Monotonic time in seconds.
            state: The engine's state after the order.
            leased: The lease is valid.
        """
        self.needed = False
        self.proved_at = now
        self.state = state
        self.floor = now
        if leased:
            self.trusted_incarnation = state.incarnation

    @property
    def is_trusted(self) -> bool:
        """The engine has not started anew since it was proved under the lease."""
        state = self.state
        return state is not None and state.incarnation == self.trusted_incarnation
