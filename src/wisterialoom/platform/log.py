"""Rate-limited logs as JSON lines on standard output."""

from __future__ import annotations

import logging
import sys
import time
from typing import TYPE_CHECKING

from wisterialoom.log import json_formatter, log_stream, PipeWriter

if TYPE_CHECKING:
    from typing import TextIO

__all__ = [
    "RateLimitedHandler",
    "age_ms",
    "dropped_line_counts",
    "set_up_platform_logs",
]

LINES_PER_S = 150.0
"""Sustained rate of log lines; at most about 50 KB per second."""

BURST_LINES = 600.0
"""Log lines that may be written in a burst."""

MAX_AGE_MS = 1_000_000
"""Age that is logged for anything older, and for what was never known."""


class RateLimitedHandler(logging.StreamHandler["TextIO | PipeWriter"]):
    """Limits the rate of log lines with a token bucket.

    Errors are always written. The first line after dropped ones has their number in
    the field `left_out`.

    Attributes:
        tokens: Lines that may be written now.
        refilled_at: Monotonic time of the last refill.
        left_out: Lines dropped since the last one written.
        total_dropped: Lines dropped since the start because of the rate limit.
    """

    def __init__(self, stream: TextIO | PipeWriter) -> None:
        super().__init__(stream)
        self.tokens = BURST_LINES
        self.refilled_at = time.monotonic()
        self.left_out = 0
        self.total_dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record if the rate limit allows it."""
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
        unwritten = self.unwritten_count
        super().emit(record)
        self.left_out = self.left_out + 1 if self.unwritten_count > unwritten else 0

    @property
    def unwritten_count(self) -> int:
        """Number of lines that nobody read in time, so that there was no room."""
        return self.stream.dropped if isinstance(self.stream, PipeWriter) else 0


def set_up_platform_logs(instance: str) -> None:
    """Write log records to standard output, one JSON object per line.

    Args:
        instance: Name of this instance, added to each line.
    """
    handler = RateLimitedHandler(log_stream(sys.stdout))
    handler.setFormatter(json_formatter(instance))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    logging.getLogger("aiohttp").setLevel(logging.ERROR)


def age_ms(now: float, moment: float) -> int:
    """Return the age of a monotonic time in milliseconds, for a log line."""
    return int(min(MAX_AGE_MS, (now - moment) * 1e3))


def dropped_line_counts() -> dict[str, int]:
    """Return the number of log lines dropped since the start, by reason."""
    handlers = [
        handler
        for handler in logging.getLogger().handlers
        if isinstance(handler, RateLimitedHandler)
    ]
    return {
        "rate": sum(handler.total_dropped for handler in handlers),
        "not_read": sum(handler.unwritten_count for handler in handlers),
    }
