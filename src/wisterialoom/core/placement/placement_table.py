"""Resident models of all servers, as the placement lease holder announces them."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["Holding", "PlacementTable"]


@dataclass(frozen=True, slots=True)
class Holding:
    """The resident models of one server.

    Attributes:
        models: Resident adapters by resident model.
        unloading: Models that take no new requests.
        count: Number of orders that the server had accepted in this state.
    """

    models: dict[str, frozenset[str]]
    unloading: frozenset[str]
    count: int

    def checksum(self, server_id: str) -> int:
        """Return a checksum independent of the order of models and adapters."""
        models = sorted((name, sorted(held)) for name, held in self.models.items())
        text = repr((server_id, models, sorted(self.unloading)))
        return zlib.crc32(text.encode())


class PlacementTable:
    """The resident models of all servers, with a digest to compare copies of it.

    Attributes:
        holdings: Resident models by server id.
        checksums: Checksum of each entry of `holdings`, by server id.
    """

    def __init__(self) -> None:
        self.holdings: dict[str, Holding] = {}
        self.checksums: dict[str, int] = {}

    def put(self, server_id: str, holding: Holding) -> None:
        """Set the resident models of a server."""
        if self.holdings.get(server_id) != holding:
            self.checksums[server_id] = holding.checksum(server_id)
        self.holdings[server_id] = holding

    def remove(self, server_id: str) -> None:
        """Remove a server."""
        self.holdings.pop(server_id, None)
        self.checksums.pop(server_id, None)

    def replace(self, holdings: dict[str, Holding]) -> None:
        """Replace the table; servers that are not in `holdings` are removed."""
        for server_id in self.holdings.keys() - holdings.keys():
            self.remove(server_id)
        for server_id, holding in holdings.items():
            self.put(server_id, holding)

    def digest(self, server_ids: Iterable[str]) -> int:
        """Return a combined checksum of the given servers."""
        total = sum(self.checksums.get(server_id, 0) for server_id in server_ids)
        return total & 0xFFFFFFFF
