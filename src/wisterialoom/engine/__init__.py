"""Client side of the control API of model engines."""

from __future__ import annotations

from wisterialoom.engine.client import EngineClient, EngineUnavailableError
from wisterialoom.engine.port import EnginePort

__all__ = ["EngineClient", "EnginePort", "EngineUnavailableError"]
