"""Faults of a backend server while it serves requests."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["ServingFault"]


@dataclass
class ServingFault:
    """Faults in force; shares are of the attempts.

    Attributes:
        delay_s: One-way delay between entry instances and the server.
        leaving: New requests are refused before they start.
        cut_before: Share whose connection breaks before the request runs.
        cut_midway: Share cut between the first and the last token.
        cut_after: Share that runs to its end and whose answer is lost.
        late: Share whose end comes late.
        late_s: Greatest lateness.
        error: Share answered by an error after the run.
        cut_off: Names of entry instances that cannot connect.
    """

    delay_s: float = 0.002
    leaving: bool = False
    cut_before: float = 0.0
    cut_midway: float = 0.0
    cut_after: float = 0.0
    late: float = 0.0
    late_s: float = 30.0
    error: float = 0.0
    cut_off: set[str] = field(default_factory=set)
