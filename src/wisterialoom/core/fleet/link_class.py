"""Classes of network links, by which instances are preferred for roles of the fleet."""

from __future__ import annotations

import enum

__all__ = ["LinkClass"]

FAST_MBPS = 100.0
MEDIUM_MBPS = 20.0
"""Rates in Mbit/s from which a link is fast or medium.

The lease holder sends each of 200 starting instances 10 KB in about 0.3 s, half of what
a fast link carries. Its placement hints take a seventh of a medium one.
"""


class LinkClass(enum.IntEnum):
    """How much an instance can send to all others; lower classes are preferred."""

    FAST = 0
    MEDIUM = 1
    SLOW = 2

    @classmethod
    def from_mbps(cls, rate: float) -> LinkClass:
        """Return the class of a link.

        Args:
            rate: Rate of the link in Mbit/s.
        """
        if rate >= FAST_MBPS:
            return cls.FAST
        return cls.MEDIUM if rate >= MEDIUM_MBPS else cls.SLOW
