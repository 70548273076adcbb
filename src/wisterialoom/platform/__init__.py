"""Runs an instance on the users' platform.

The modules translate between the platform's messages and the core, which makes the
decisions about requests and placement.
"""

from __future__ import annotations

__all__: list[str] = []
