"""How each attempt went, for measurements."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisterialoom.core.requests.request import AttemptResult, Classified

__all__ = ["AttemptRecord"]


@dataclass
class AttemptRecord:
    """One attempt as its sender saw it; times are virtual, in seconds.

    Attributes:
        request_id: The request.
        number: Counts from 1.
        server: Identifier of the backend server.
        classified: The request and its rules; `arrived` there is on the clock
            of the entry instance, which is skewed.
        sent: Moment of the dispatch.
        result: How it ended; `None` while it runs.
        first: Moment of the first token at the server; `None` before.
        ended: Moment of the end as reported; `None` before.
        tokens: Tokens generated.
        token_gap_s: Mean time between tokens; 0 for fewer than two.
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
        """Seconds from the dispatch to the first token."""
        return None if self.first is None else self.first - self.sent
