"""Measures how many requests a backend server takes well, from what it answers.

Answers the load pattern of uneven servers: some of a service are slower than others or
share their machines, so that a choice by free slots alone keeps sending them as much as
the fast ones, and their callers wait.

Each instance compares the servers of a service with each other: the time of an answer
is divided by the queue that the request found, and by the pace that the server stated
for that moment. A server whose figure is twice the service's median counts as having
half of its slots. As only ratios count, a fleet that slows down as a whole is not
throttled, and instances agree without messages as they all see the same servers. A
server that states a wrong pace is corrected by its own measured latency. Rejections
lower a server's slots by a factor, and time raises them again step by step (AIMD).
"""

from __future__ import annotations

import math
import statistics
from dataclasses import dataclass, field

__all__ = ["MeasuredCapacity", "ServiceSpeed"]

SAMPLE_WEIGHT = 0.3
"""Weight of a new sample in a server's mean work time."""

MEMORY_S = 8.0
"""Time without samples in which a measured difference fades to a third."""

MIN_SPEED = 0.2
MAX_SPEED = 1.5
"""Limits of the measured speed; a slow server keeps a few requests, which show when it
has recovered."""

PACE_MEMORY_S = 0.3
"""Time in which the pace that a server stated fades to a third; it changes many times a
second."""

MIN_PACE = 0.5
MAX_PACE = 4.0
"""Limits of the pace that a server is believed."""

NEW_FACTOR = 0.5
"""Part of its slots that a server gets which joins a running service (slow start)."""

RISE_PER_S = 0.2
"""Rise of the factor in a second. It does not depend on answers: an instance that sends
a few requests a second would otherwise prefer the servers that it happened to ask."""

FALL = 0.8
"""Factor by which a rejection lowers the slots."""

MIN_FACTOR = 0.3


@dataclass
class ServiceSpeed:
    """Mean work times of the servers of one service.

    Attributes:
        work_s: Mean work time in seconds, by server that has answered.
    """

    work_s: dict[str, float] = field(default_factory=dict)

    def median_s(self) -> float | None:
        """Return the median work time; `None` if too few servers are measured."""
        if len(self.work_s) < 2:
            return None
        return statistics.median(self.work_s.values())


@dataclass
class MeasuredCapacity:
    """What one start of a server takes well, as this instance measured it.

    Attributes:
        server: Identity of the server.
        service: Work times of all servers of its service.
        mean_s: Mean work time in seconds at the usual pace.
        samples: Number of samples.
        sampled_at: Monotonic time of the last sample.
        pace: Pace that the server stated last; 1 is usual, 2 takes twice as long.
        pace_at: Monotonic time of that statement.
        factor: Part of the slots that rejections and a recent start leave.
        factor_at: Monotonic time to which that applies; `None` until it is first asked
            for.
    """

    server: str
    service: ServiceSpeed
    mean_s: float = 0.0
    samples: int = 0
    sampled_at: float = float("-inf")
    pace: float = 1.0
    pace_at: float = float("-inf")
    factor: float = 1.0
    factor_at: float | None = float("-inf")

    def record_joined(self) -> None:
        """Record that the server has joined a service that was running."""
        self.factor = NEW_FACTOR
        self.factor_at = None

    def record_pace(self, now: float, pace: float) -> None:
        """Record how long work takes at the server at this moment, 1 as usual."""
        self.pace = min(MAX_PACE, max(MIN_PACE, pace))
        self.pace_at = now

    def record_answer(
        self, now: float, latency_s: float, busy: float, slots: int
    ) -> None:
        """Record an answer.

        Args:
            now: Monotonic time.
            latency_s: Time from sending the request to the end of the answer.
            busy: Requests at the server when this one was sent.
            slots: Requests that the server runs at once.
        """
        queue = max(1.0, (busy + 1.0) / max(1, slots))
        sample_s = latency_s / queue / self.current_pace(now)
        weight = max(SAMPLE_WEIGHT, 1.0 / (self.samples + 1))
        self.mean_s += weight * (sample_s - self.mean_s)
        self.samples += 1
        self.sampled_at = now
        self.service.work_s[self.server] = self.mean_s

    def record_rejected(self, now: float) -> None:
        """Record that the server turned a request away as all its slots are taken."""
        self.factor = max(MIN_FACTOR, self.current_factor(now) * FALL)
        self.factor_at = now

    def current_factor(self, now: float) -> float:
        """Return the part of the slots that rejections and a recent start leave."""
        if self.factor_at is None:
            self.factor_at = now
        return min(1.0, self.factor + RISE_PER_S * (now - self.factor_at))

    def forget(self) -> None:
        """Take the server out of its service's work times."""
        self.service.work_s.pop(self.server, None)

    def current_pace(self, now: float) -> float:
        """Return the stated pace, faded towards the usual one with its age."""
        age_s = now - self.pace_at
        return 1.0 + (self.pace - 1.0) * math.exp(-age_s / PACE_MEMORY_S)

    def speed(self, now: float) -> float:
        """Return the server's speed, compared with the median of its service."""
        median_s = self.service.median_s()
        ratio = 1.0
        if median_s and self.mean_s > 0:
            fading = math.exp(-(now - self.sampled_at) / MEMORY_S)
            ratio = (median_s / self.mean_s) ** fading
        return min(MAX_SPEED, max(MIN_SPEED, ratio / self.current_pace(now)))

    def slots(self, now: float, slots: int) -> float:
        """Return the requests that the server takes well.

        Args:
            now: Monotonic time.
            slots: Slots that the server declares.
        """
        return max(1.0, slots * self.speed(now) * self.current_factor(now))
