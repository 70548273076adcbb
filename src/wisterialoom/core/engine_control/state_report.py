"""What a steward tells the others of its engine."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from wisterialoom.core.engine import EngineState
from wisterialoom.core.fleet.peer import ServerLoad
from wisterialoom.core.notice import LoadReported

if TYPE_CHECKING:
    from collections.abc import Collection

    from wisterialoom.core.engine import ModelKey
    from wisterialoom.core.message import Output

__all__ = ["StateReport"]

EPOCH_SERIALS = 1 << 24
"""Serials kept for one epoch: a newer steward's reports win."""


@dataclass(slots=True)
class StateReport:
    """Turns states of one engine into load reports, each state once.

    Attributes:
        server: Identifier of the backend server.
        steward: Name of this entry instance.
        serial: Count of reports.
    """

    server: str
    steward: str
    serial: int = 0
    state: EngineState | None = None
    unreachable: bool = False
    draining: frozenset[ModelKey] = frozenset()

    def make(
        self,
        state: EngineState | None,
        draining: Collection[ModelKey],
        epoch: int,
        *,
        unreachable: bool = False,
    ) -> list[Output]:
        """Return a report if anything is new since the last one.

        Args:
            now: Monotonic time in seconds; plays no role.
            state: As last told by the engine; `None` before the first.
            draining: Models about to be unloaded.
            epoch: Count of takeovers of the server.
            unreachable: The engine did not tell its state several times.
        """
        announced = frozenset(draining)
        if state is None and not unreachable:
            return []
        news = (state, announced, unreachable)
        if news == (self.state, self.draining, self.unreachable):
            return []
        self.state, self.draining, self.unreachable = news
        state = state or EngineState("")
        self.serial += 1
        held = {**state.models, **state.adapters}
        usable = sorted(str(key) for key in held if key not in announced)
        load = ServerLoad(
            server=self.server,
            serial=epoch * EPOCH_SERIALS + self.serial,
            running=state.running,
            waiting=state.waiting,
            resident=tuple(usable),
            draining=tuple(sorted(map(str, announced))),
            leaving=state.leaving,
            incarnation=state.incarnation,
            kv_free=round(state.kv_free * 100),
            steward=self.steward,
            unreachable=unreachable,
        )
        return [LoadReported(load, own=True)]
