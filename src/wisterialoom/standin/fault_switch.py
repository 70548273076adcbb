"""Faults that tests inject into an emulator with `POST /faults`."""

from __future__ import annotations

from dataclasses import asdict, dataclass, fields
from typing import Any

import orjson
from aiohttp import web

__all__ = ["FaultSwitch", "abort", "json_response"]


@dataclass
class FaultSwitch:
    """Base of the faults of an emulator.

    The attributes of a subclass are the faults. Integer attributes may count the
    occurrences that are left, where -1 means always.
    """

    def update(self, changes: dict[str, Any]) -> None:
        """Set attributes by name.

        Raises:
            ValueError: If a name is not an attribute.
        """
        known = {item.name for item in fields(self)}
        unknown = set(changes) - known
        if unknown:
            raise ValueError(f"unknown {sorted(unknown)}: use {sorted(known)}")
        for name, value in changes.items():
            setattr(self, name, value)

    def consume(self, name: str) -> bool:
        """Use one occurrence of a counted fault; return whether one was left."""
        count: int = getattr(self, name)
        if count > 0:
            setattr(self, name, count - 1)
        return count != 0

    async def handle_post(self, request: web.Request) -> web.Response:
        """Handle `POST /faults`; respond with the faults in force."""
        try:
            self.update(orjson.loads(await request.read()))
        except (ValueError, TypeError, AttributeError) as error:
            return web.Response(status=400, text=str(error))
        return json_response(asdict(self))


def json_response(
    value: object, status: int = 200, headers: dict[str, str] | None = None
) -> web.Response:
    """Return a JSON response."""
    return web.Response(
        body=orjson.dumps(value),
        status=status,
        headers=headers,
        content_type="application/json",
    )


def abort(request: web.Request) -> web.Response:
    """Close the connection without a response."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()
