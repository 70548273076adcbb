"""The platform as the daemon meets it: object API and instance list."""

from __future__ import annotations

from wisterialoom.platform.client import PlatformClient, PlatformUnavailableError
from wisterialoom.platform.port import PlatformPort

__all__ = ["PlatformClient", "PlatformPort", "PlatformUnavailableError"]
