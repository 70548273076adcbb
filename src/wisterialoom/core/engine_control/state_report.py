"""Load reports of a controller about its engine, for the other instances."""

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
"""Serials reserved for one epoch.

Reports of a later epoch, that is of a newer controller, thus have greater serials.
"""


@dataclass(slots=True)
class StateReport:
    """Turns states of one engine into load reports, one for each change.

    Attributes:
        server: Identifier of the backend server.
        controller: Name of this entry instance.
        serial: Count of reports.
        state: State of the last report; `None` before the first.
        unreachable: Whether the last report called the engine unreachable.
        draining: Models and adapters that the last report called draining.
    """

    server: str
    controller: str
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
        """Return a report if anything has changed since the last one.

        Args:
            state: Newest state of the engine; `None` before the first.
            draining: Models and adapters about to be unloaded.
            epoch: Count of lease takeovers of the server.
            unreachable: Several consecutive reads of the engine's state failed.
        """
        announced = frozenset(draining)
        if state is None and not unreachable:
            return []
        content = (state, announced, unreachable)
        if content == (self.state, self.draining, self.unreachable):
            return []
        self.state, self.draining, self.unreachable = content
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
            steward=self.controller,
            unreachable=unreachable,
        )
        return [LoadReported(load, own=True)]
