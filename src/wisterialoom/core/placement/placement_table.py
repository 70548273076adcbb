"""Resident models of all servers, as the placement lease holder announces them."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["PlacementTable", "ServerPlacement"]


@dataclass(frozen=True, slots=True)
class ServerPlacement:
    """The resident models of one server.

    Attributes:
        models: Resident adapters by resident model.
        unloading: Models that take no new requests.
        count: Number of orders that the server had accepted in this state.
    """

    models: dict[str, frozenset[str]]
    unloading: frozenset[str]
    count: int

    def takes(self, resource: str) -> bool:
        """Return whether new requests for a model and adapter may be sent here."""
        model, _, adapter = resource.partition("/")
        adapters = self.models.get(model)
        if adapters is None or model in self.unloading:
            return False
        return not adapter or adapter in adapters

    def checksum(self, server_id: str) -> int:
        """Return a checksum independent of the order of models and adapters."""
        models = sorted((name, sorted(held)) for name, held in self.models.items())
        text = repr((server_id, models, sorted(self.unloading)))
        return zlib.crc32(text.encode())


class PlacementTable:
    """The resident models of all servers, with a digest to compare copies of it.

    Attributes:
        placements: Resident models by server id.
        checksums: Checksum of each entry of `placements`, by server id.
    """

    def __init__(self) -> None:
        self.placements: dict[str, ServerPlacement] = {}
        self.checksums: dict[str, int] = {}

    def put(self, server_id: str, placement: ServerPlacement) -> None:
        """Set the resident models of a server."""
        if self.placements.get(server_id) != placement:
            self.checksums[server_id] = placement.checksum(server_id)
        self.placements[server_id] = placement

    def remove(self, server_id: str) -> None:
        """Remove a server."""
        self.placements.pop(server_id, None)
        self.checksums.pop(server_id, None)

    def replace(self, placements: dict[str, ServerPlacement]) -> None:
        """Replace the table; servers that are not in `placements` are removed."""
        for server_id in self.placements.keys() - placements.keys():
            self.remove(server_id)
        for server_id, placement in placements.items():
            self.put(server_id, placement)

    def digest(self, server_ids: Iterable[str]) -> int:
        """Return a combined checksum of the given servers."""
        total = sum(self.checksums.get(server_id, 0) for server_id in server_ids)
        return total & 0xFFFFFFFF
