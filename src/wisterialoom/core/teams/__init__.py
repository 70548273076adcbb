"""Teams of callers: their API keys, their quotas and their shares of capacity."""

from wisterialoom.core.teams.team import Quota, QuotaUnit, Team
from wisterialoom.core.teams.team_directory import (
    Declaration,
    key_digest,
    TeamDirectory,
)

__all__ = ["Declaration", "Quota", "QuotaUnit", "Team", "TeamDirectory", "key_digest"]
