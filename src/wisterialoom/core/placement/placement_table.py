"""What the model servers hold, as the holder of the placement lease tells it."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["ServerPlacement", "PlacementTable"]


@dataclass(frozen=True, slots=True)
class ServerPlacement:
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
        placements: What each server holds.
        checksums: Checksum of each.
    """

    def __init__(self) -> None:
        self.placements: dict[str, ServerPlacement] = {}
        self.checksums: dict[str, int] = {}

    def put(self, server_id: str, placement: ServerPlacement) -> None:
        """Take what a server holds."""
        if self.placements.get(server_id) != placement:
            self.checksums[server_id] = placement.checksum(server_id)
        self.placements[server_id] = placement

    def remove(self, server_id: str) -> None:
        """Forget a server."""
        self.placements.pop(server_id, None)
        self.checksums.pop(server_id, None)

    def replace(self, placements: dict[str, ServerPlacement]) -> None:
        """Take what all servers hold; forget any other."""
        for server_id in self.placements.keys() - placements.keys():
            self.remove(server_id)
        for server_id, placement in placements.items():
            self.put(server_id, placement)

    def digest(self, server_ids: Iterable[str]) -> int:
        """Return a checksum over some servers."""
        total = sum(self.checksums.get(server_id, 0) for server_id in server_ids)
        return total & 0xFFFFFFFF
