"""Messages by which instances borrow allowance from the holder of the quotas.

Each message states totals or the present state, so that a lost, late, duplicated or
reordered one loses allowance at most and never adds any.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["AllowanceGrant", "AllowanceReply", "AllowanceRequest", "TeamRequest"]


@dataclass(frozen=True, slots=True)
class TeamRequest:
    """What an instance wants for a team, and what it still has.

    Attributes:
        need: Cost of the requests that wait for allowance.
        first: Cost of the first of them.
        ahead: Cost that is expected soon, beyond `need`.
        stock: Allowance that is neither used nor expired.
        returned: Total of what was granted and certainly not used.
        own: Total of what was used of the instance's own share.
    """

    need: float = 0.0
    first: float = 0.0
    ahead: float = 0.0
    stock: float = 0.0
    returned: float = 0.0
    own: float = 0.0


@dataclass(frozen=True, slots=True)
class AllowanceRequest:
    """Asks the holder for allowance.

    Attributes:
        serial: Increases with each request, also over restarts of the process.
        seen: Serial of the last request whose reply arrived.
        teams: What is wanted, by team.
    """

    serial: int
    seen: int
    teams: dict[str, TeamRequest]


@dataclass(frozen=True, slots=True)
class AllowanceGrant:
    """Allowance for a team.

    Attributes:
        amount: Cost that may be used.
        valid_s: Time for which it may be used, from the sending of the request.
    """

    amount: float
    valid_s: float


@dataclass(frozen=True, slots=True)
class AllowanceReply:
    """Answers an `AllowanceRequest`.

    Attributes:
        epoch: Fencing number of the holder.
        serial: Serial of the request.
        granted: Allowance by team.
        retry_s: Time until the team's credit suffices, for teams whose need is not met.
    """

    epoch: int
    serial: int
    granted: dict[str, AllowanceGrant]
    retry_s: dict[str, float]
