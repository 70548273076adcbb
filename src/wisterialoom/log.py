"""Logging as JSON lines on standard error."""

from __future__ import annotations

import logging
import os
import stat
import sys
from typing import TYPE_CHECKING

from pythonjsonlogger.json import JsonFormatter

if TYPE_CHECKING:
    from typing import TextIO

__all__ = ["PipeWriter", "configure_logging", "json_formatter", "log_stream"]


class PipeWriter:
    """Writes lines to a pipe or socket, and drops those that would have to wait.

    A write to a full pipe blocks until it is read. The event loop would stand still
    for as long as whoever collects the logs does.

    Attributes:
        descriptor: File descriptor, which is set to non-blocking.
        dropped: Number of lines that were dropped or cut.
        is_cut: Whether the last line was written in part.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.dropped = 0
        self.is_cut = False
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write a line, or drop it if there is no room for it or no reader."""
        data = text.encode("utf-8", "backslashreplace")
        if self.is_cut:
            data = b"\n" + data
        try:
            written = os.write(self.descriptor, data)
        except OSError:
            self.dropped += 1
            return 0
        self.is_cut = written < len(data)
        self.dropped += self.is_cut
        return len(text)

    def flush(self) -> None:
        """Do nothing; lines are written at once."""


def log_stream(stream: TextIO) -> TextIO | PipeWriter:
    """Return what to write log lines with.

    Args:
        stream: Standard output or error. It is returned unless it is a pipe or a
            socket; files do not block for long, and a terminal is shared.
    """
    try:
        stream.flush()
        descriptor = stream.fileno()
        mode = os.fstat(descriptor).st_mode
    except (OSError, ValueError):
        return stream
    if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
        return PipeWriter(descriptor)
    return stream


def json_formatter(instance: str) -> JsonFormatter:
    """Return the formatter for the log records of an instance."""
    return JsonFormatter(
        "%(asctime)s %(levelname)s %(name)s %(message)s",
        rename_fields={"asctime": "at", "levelname": "level", "name": "logger"},
        static_fields={"instance": instance},
    )


def configure_logging(level: str, instance: str) -> None:
    """Write log records to standard error, as one JSON object per line.

    Args:
        level: `debug`, `info`, `warning` or `error`.
        instance: Name of the entry instance, included in each line.
    """
    handler = logging.StreamHandler(log_stream(sys.stderr))
    handler.setFormatter(json_formatter(instance))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
