"""Time limits that keep an instance's view of the store as current as promised.

A change in the store must be in force at each instance within a promised time. An
instance that follows watchers learns of a change only while one of them reads the
store, and cannot tell a quiet store from watchers that have lost it. It therefore
counts the time since its view was last confirmed, and reads the store itself early
enough to keep the promise for a change that came right after the confirmation.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ViewPromise"]

WATCH_WAIT_SHARE = 0.375
MAX_AGE_SHARE = 0.6
START_SPREAD_SHARE = 0.125
CALL_TIMEOUT_SHARE = 0.2
"""Shares of the promised time for the limits below.

Age, spread and call follow each other and leave a twentieth and more for the event
loop. A watch and the interval between two messages of a watcher end before the age.
"""

MAX_WATCH_WAIT_S = 2.0
MAX_AGE_S = 5.0
MAX_CALL_TIMEOUT_S = 0.8
"""Upper limits for long promises; a lost connection is noticed earlier than needed."""

MIN_RETRY_S = 1.0
RETRY_S_PER_INSTANCE = 0.01
"""Pause between two calls to a store that does not answer, by the size of the fleet.

All instances together then make a hundred calls a second in an outage.
"""


@dataclass(frozen=True, slots=True)
class ViewPromise:
    """Limits in seconds that follow from the promised time.

    Attributes:
        limit_s: Time within which each change must be in force at each instance.
    """

    limit_s: float

    @classmethod
    def from_config(cls, config_apply_s: float, drain_s: float) -> ViewPromise:
        """Create the limits for both kinds of changes.

        Args:
            config_apply_s: Time within which a configuration must be in force.
            drain_s: Time within which a leaving server must get no more requests.
        """
        return cls(min(config_apply_s, drain_s))

    @property
    def watch_wait_s(self) -> float:
        """Time after which a watcher confirms its view, even if nothing changes."""
        return min(MAX_WATCH_WAIT_S, WATCH_WAIT_SHARE * self.limit_s)

    @property
    def max_age_s(self) -> float:
        """Time since the last confirmation after which an instance reads the store."""
        return min(MAX_AGE_S, MAX_AGE_SHARE * self.limit_s)

    @property
    def start_spread_s(self) -> float:
        """Time over which instances begin to read, so that few need to."""
        return START_SPREAD_SHARE * self.limit_s

    @property
    def call_timeout_s(self) -> float:
        """Time for an answer, beyond the wait that the call asked for."""
        return min(MAX_CALL_TIMEOUT_S, CALL_TIMEOUT_SHARE * self.limit_s)

    def max_retry_s(self, instances: int) -> float:
        """Return the longest pause between two calls that the store does not answer."""
        return min(
            max(MIN_RETRY_S, RETRY_S_PER_INSTANCE * instances),
            max(MIN_RETRY_S, self.limit_s),
        )
