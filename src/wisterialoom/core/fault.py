"""Faults in what operators wrote, collected so that all are reported at once."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from wisterialoom.core.error import WisterialoomError

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["Fault", "InvalidInputError"]


@dataclass(frozen=True, slots=True)
class Fault:
    """One thing that is wrong in a document or settings file.

    Attributes:
        place: Where, such as `models[drafter].memory_mb`.
        problem: What is wrong.
        remedy: What to do about it.
    """

    place: str
    problem: str
    remedy: str

    def follows(self, others: Iterable[Fault]) -> bool:
        """Tell whether another fault at the same place or above explains this."""
        return any(
            self.place == other.place
            or self.place.startswith((f"{other.place}.", f"{other.place}["))
            for other in others
        )

    def __str__(self) -> str:
        return f"{self.place}: {self.problem}; {self.remedy}"


class InvalidInputError(WisterialoomError):
    """Raised when a document or settings file has faults.

    Attributes:
        faults: Every fault, in the order of the file's tables.
    """

    def __init__(self, faults: Iterable[Fault]) -> None:
        self.faults = tuple(faults)
        count = len(self.faults)
        title = f"{count} fault{'' if count == 1 else 's'}; nothing was taken in"
        super().__init__("\n".join([title, *(f"  {fault}" for fault in self.faults)]))
