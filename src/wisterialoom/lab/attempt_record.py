"""Timing and result of each attempt, recorded for measurements."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisterialoom.core.requests.request import AttemptResult, Classified

__all__ = ["AttemptRecord"]


@dataclass
class AttemptRecord:
    """One attempt as its sender saw it; all times are virtual, in seconds.

    Attributes:
        request_id: Identifier of the request.
        number: Number of the attempt for its request, from 1.
        server: Identifier of the backend server.
        classified: The request and its rules. Its `arrived` is on the clock of
            the entry instance, which is skewed against the virtual clock.
        sent: Time of the dispatch.
        result: How the attempt ended; `None` while it runs.
        first: Time of the first token at the server; `None` before it.
        ended: Time at which its end was reported; `None` before that.
        tokens: Number of tokens generated.
        token_gap_s: Mean time between tokens; 0 for fewer than two tokens.
    """

    request_id: str
    number: int
    server: str
    classified: Classified
    sent: float
    result: AttemptResult | None = None
    first: float | None = None
    ended: float | None = None
    tokens: int = 0
    token_gap_s: float = 0.0

    @property
    def first_token_s(self) -> float | None:
        """Seconds from the dispatch to the first token; `None` before that token."""
        return None if self.first is None else self.first - self.sent
