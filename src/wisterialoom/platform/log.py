"""Bounded logs as JSON lines on standard output."""

from __future__ import annotations

import logging
import sys
import time
from typing import TYPE_CHECKING

from wisterialoom.log import json_formatter

if TYPE_CHECKING:
    from typing import TextIO

__all__ = ["RateLimitedHandler", "dropped_line_count", "set_up_platform_logs"]

LINES_PER_S = 150.0
"""Sustained lines a second; some 50 KB a second at most."""

BURST_LINES = 600.0
"""Lines that may come at once."""


class RateLimitedHandler(logging.StreamHandler["TextIO"]):
    """Writes a bounded number of lines, and the count of those left out.

    Attributes:
        tokens: Lines that may be written now.
        refilled_at: Monotonic time of the last refill.
        left_out: Lines left out since the last one written.
        total_dropped: Lines left out since the start.
    """

    def __init__(self, stream: TextIO) -> None:
        super().__init__(stream)
        self.tokens = BURST_LINES
        self.refilled_at = time.monotonic()
        self.left_out = 0
        self.total_dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record if the bound allows it."""
        now = time.monotonic()
        refill = (now - self.refilled_at) * LINES_PER_S
        self.tokens = min(BURST_LINES, self.tokens + refill)
        self.refilled_at = now
        if self.tokens < 1.0 and record.levelno < logging.ERROR:
            self.left_out += 1
            self.total_dropped += 1
            return
        self.tokens -= 1.0
        if self.left_out:
            record.left_out = self.left_out
            self.left_out = 0
        super().emit(record)


def set_up_platform_logs(instance: str) -> None:
    """Send log records to standard output as one JSON object a line.

    Args:
        instance: Name of this instance, put on each line.
    """
    handler = RateLimitedHandler(sys.stdout)
    handler.setFormatter(json_formatter(instance))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    logging.getLogger("aiohttp").setLevel(logging.ERROR)


def dropped_line_count() -> int:
    """Return the log lines that were left out since the start."""
    return sum(
        handler.total_dropped
        for handler in logging.getLogger().handlers
        if isinstance(handler, RateLimitedHandler)
    )
