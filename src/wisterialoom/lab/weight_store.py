"""The weight store from which all engines of a simulation load."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialoom.core.engine import LoadAdapter, LoadModel

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wisterialoom.core.engine import Action
    from wisterialoom.lab.order_port import FakeEngine
    from wisterialoom.lab.schedule import Schedule
    from wisterialoom.standin.weight_store import WeightStore

__all__ = ["SimulatedWeightStore", "load_seconds"]


def load_seconds(engine: FakeEngine, action: Action) -> float:
    """Return the duration of an action at full speed, in seconds."""
    match action:
        case LoadModel():
            return engine.load_s
        case LoadAdapter():
            return engine.adapter_load_s
        case _:
            return 0.0


class SimulatedWeightStore:
    """Slows down the loads of all engines by the limits of the weight store.

    Attributes:
        schedule: The virtual clock.
        store: The limits and the loads in progress.
        load_s: Load time at full speed in seconds, by the name of a model or
            adapter; a name that is missing uses the engine's own load time.
    """

    def __init__(
        self,
        schedule: Schedule,
        store: WeightStore,
        load_s: Mapping[str, float] | None = None,
    ) -> None:
        self.schedule = schedule
        self.store = store
        self.load_s = dict(load_s or {})

    def duration(self, engine: FakeEngine, action: Action) -> float:
        """Begin an action and return its duration in seconds."""
        seconds = load_seconds(engine, action)
        match action:
            case LoadModel(model):
                seconds = self.load_s.get(model.name, seconds)
                adapter = False
            case LoadAdapter(adapter=key):
                seconds = self.load_s.get(key.name, seconds)
                adapter = True
            case _:
                return seconds
        return self.store.begin(self.schedule.now, seconds, adapter=adapter)
