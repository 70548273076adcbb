"""Adapter to the users' platform: translates its messages, decides nothing."""

from __future__ import annotations

__all__: list[str] = []
