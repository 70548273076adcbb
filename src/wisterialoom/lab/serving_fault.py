"""Faults that are injected into a simulated backend server."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["ServingFault"]


@dataclass
class ServingFault:
    """Faults of one server; fractions are of the attempts at the server.

    Attributes:
        delay_s: One-way network delay between entry instances and the server.
        leaving: Whether new requests are refused before they start.
        cut_before: Fraction whose connection breaks before the request runs.
        cut_midway: Fraction whose connection breaks between first and last token.
        cut_after: Fraction that runs to completion but whose answer is lost.
        late: Fraction whose end is reported late.
        late_s: Maximum lateness in seconds.
        error: Fraction answered by an error after the run.
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
