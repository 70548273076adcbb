"""A team of callers that shares API keys, a priority and a quota."""

from __future__ import annotations

import enum
from dataclasses import dataclass

__all__ = ["Quota", "QuotaUnit", "Team"]


class QuotaUnit(enum.Enum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(frozen=True, slots=True)
class Quota:
    """Limit on what the requests of a team cost.

    Attributes:
        rate_per_s: Cost per second that is allowed on average; above 0.
        burst: Cost that is allowed at once.
        unit: What is counted.
        plain_tokens: Cost of a request without token counts, if tokens are counted.
    """

    rate_per_s: float
    burst: float
    unit: QuotaUnit = QuotaUnit.REQUESTS
    plain_tokens: float = 1.0

    def cost(self, token_counts: tuple[int, int] | None) -> float:
        """Return the cost of a request, however often it is sent to servers.

        Args:
            token_counts: Tokens of the prompt and maximum tokens of the answer, as the
                caller stated them; `None` if it stated none that can be decoded.
        """
        if self.unit is QuotaUnit.REQUESTS:
            return 1.0
        if token_counts is None:
            return self.plain_tokens
        return float(sum(token_counts))


@dataclass(frozen=True, slots=True)
class Team:
    """A team of callers.

    Attributes:
        name: Name, unique in its deployment.
        priority: Priority of its requests, instead of the route's; 0 is the most
            urgent. `None` if the route's applies.
        quota: Limit on what its requests cost; `None` if there is no limit.
    """

    name: str
    priority: int | None = None
    quota: Quota | None = None
