"""What the model servers hold, as the holder of the placement lease tells it."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["Holding", "PlacementTable"]


@dataclass(frozen=True, slots=True)
class Holding:
    """What a model server holds.

    Attributes:
        models: Adapters by resident model.
        unloading: Models that take no new requests.
        count: Orders that it had accepted then.
    """

    models: dict[str, frozenset[str]]
    unloading: frozenset[str]
    count: int

    def checksum(self, server_id: str) -> int:
        """Return a checksum that the order of models and adapters does not change."""
        models = sorted((name, sorted(held)) for name, held in self.models.items())
        text = repr((server_id, models, sorted(self.unloading)))
        return zlib.crc32(text.encode())


class PlacementTable:
    """Holdings by server id.

    Attributes:
        holdings: What each server holds.
        checksums: Checksum of each.
    """

    def __init__(self) -> None:
        self.holdings: dict[str, Holding] = {}
        self.checksums: dict[str, int] = {}

    def put(self, server_id: str, holding: Holding) -> None:
        """Take what a server holds."""
        if self.holdings.get(server_id) != holding:
            self.checksums[server_id] = holding.checksum(server_id)
        self.holdings[server_id] = holding

    def remove(self, server_id: str) -> None:
        """Forget a server."""
        self.holdings.pop(server_id, None)
        self.checksums.pop(server_id, None)

    def replace(self, holdings: dict[str, Holding]) -> None:
        """Take what all servers hold; forget any other."""
        for server_id in self.holdings.keys() - holdings.keys():
            self.remove(server_id)
        for server_id, holding in holdings.items():
            self.put(server_id, holding)

    def digest(self, server_ids: Iterable[str]) -> int:
        """Return a checksum over some servers."""
        total = sum(self.checksums.get(server_id, 0) for server_id in server_ids)
        return total & 0xFFFFFFFF
