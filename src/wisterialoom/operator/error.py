"""Errors of operators' commands."""

from __future__ import annotations

from wisterialoom.core.error import WisterialoomError

__all__ = ["ConflictError", "OutcomeUnknownError"]


class ConflictError(WisterialoomError):
    """Raised when another operator's change came first.

    Attributes:
        generation: In force now.
        difference: From what is in force to what was to be applied.
    """

    def __init__(self, expected: int, generation: int, difference: str) -> None:
        super().__init__(
            f"the document in force is generation {generation}, not {expected}; "
            f"take its changes over and apply again with --expect {generation}. "
            f"Applying this one would change:\n{difference}"
        )
        self.generation = generation
        self.difference = difference


class OutcomeUnknownError(WisterialoomError):
    """Raised when the platform stopped answering and a write may have happened."""

    def __init__(self, expected: int) -> None:
        super().__init__(
            "the platform stopped answering before it could be seen whether the "
            "document was written; run `wisterialoom config diff` later, and apply "
            f"again with --expect {expected} if it was not"
        )
