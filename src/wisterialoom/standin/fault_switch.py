"""Faults that tests switch on in a stand-in by `POST /faults`."""

from __future__ import annotations

from dataclasses import asdict, dataclass, fields
from typing import Any

import orjson
from aiohttp import web

__all__ = ["FaultSwitch", "abort", "json_response"]


@dataclass
class FaultSwitch:
    """Base of the faults of one stand-in; counts of -1 stand for all."""

    def update(self, changes: dict[str, Any]) -> None:
        """Set the attributes that are named.

        Raises:
            ValueError: A name is unknown.
        """
        known = {item.name for item in fields(self)}
        unknown = set(changes) - known
        if unknown:
            raise ValueError(f"unknown {sorted(unknown)}: use {sorted(known)}")
        for name, value in changes.items():
            setattr(self, name, value)

    def take(self, name: str) -> bool:
        """Use up one of a counted fault; tell whether there was one."""
        count: int = getattr(self, name)
        if count > 0:
            setattr(self, name, count - 1)
        return count != 0

    async def answer(self, request: web.Request) -> web.Response:
        """Handle `POST /faults`; answer with the faults in force."""
        try:
            self.update(orjson.loads(await request.read()))
        except (ValueError, TypeError, AttributeError) as error:
            return web.Response(status=400, text=str(error))
        return json_response(asdict(self))


def json_response(
    value: object, status: int = 200, headers: dict[str, str] | None = None
) -> web.Response:
    """Return an answer in JSON."""
    return web.Response(
        body=orjson.dumps(value),
        status=status,
        headers=headers,
        content_type="application/json",
    )


def abort(request: web.Request) -> web.Response:
    """Close the connection without an answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()
