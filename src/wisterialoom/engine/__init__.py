"""Model engines as the daemon's control side meets them."""

from __future__ import annotations

from wisterialoom.engine.client import EngineClient, EngineUnavailableError
from wisterialoom.engine.port import EnginePort

__all__ = ["EngineClient", "EnginePort", "EngineUnavailableError"]
