"""Client side of the platform's object API and instance list."""

from __future__ import annotations

from wisterialoom.object_api.client import PlatformClient, PlatformUnavailableError
from wisterialoom.object_api.port import PlatformPort

__all__ = ["PlatformClient", "PlatformPort", "PlatformUnavailableError"]
