"""What other instances answer when they are asked where a stream began."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wisterialoom.core.serving.software_versions import sole_version

if TYPE_CHECKING:
    from wisterialoom.core.serving.stream_origin import StreamOrigin

__all__ = ["OriginQuestion"]


@dataclass
class OriginQuestion:
    """Collects the answers to a question about one stream.

    Attributes:
        asked: Number of instances that were asked.
        possible: Versions that may have begun the stream by each answer, by instance;
            `None` if that instance does not know all of them.
        origin: Where the stream began, if one of them knew.
    """

    asked: int
    possible: dict[str, frozenset[str] | None] = field(default_factory=dict)
    origin: StreamOrigin | None = None

    def record(
        self,
        instance: str,
        origin: StreamOrigin | None,
        possible: frozenset[str] | None,
    ) -> None:
        """Record the answer of an instance."""
        self.possible[instance] = possible
        self.origin = self.origin or origin

    @property
    def is_done(self) -> bool:
        """Whether nothing more is to be expected from further answers."""
        return self.origin is not None or len(self.possible) >= self.asked

    def sole_version(self, own: frozenset[str]) -> str | None:
        """Return the only version that at least half of the instances know of.

        Args:
            own: Versions that this instance has seen itself.
        """
        known = [
            versions for versions in self.possible.values() if versions is not None
        ]
        if not known or 2 * len(known) < self.asked:
            return None
        return sole_version(own.union(*known))
