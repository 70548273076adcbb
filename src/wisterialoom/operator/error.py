"""Errors of the operators' commands."""

from __future__ import annotations

from wisterialoom.core.error import WisterialoomError

__all__ = ["ConflictError", "OutcomeUnknownError"]


class ConflictError(WisterialoomError):
    """Raised when another change was applied in the meantime.

    Attributes:
        generation: Generation in force.
        difference: Difference between the document in force and the new one.
    """

    def __init__(self, expected: int, generation: int, difference: str) -> None:
        super().__init__(
            f"the document in force is generation {generation}, not {expected}; "
            f"merge its changes and apply again with --expect {generation}. "
            f"Applying this document would change:\n{difference}"
        )
        self.generation = generation
        self.difference = difference


class OutcomeUnknownError(WisterialoomError):
    """Raised when the platform stopped responding and a write may have happened."""

    def __init__(self, expected: int) -> None:
        super().__init__(
            "the platform stopped responding, so it is unknown whether the document "
            "was written; run `wisterialoom config diff` later, and apply again with "
            f"--expect {expected} if it was not"
        )
