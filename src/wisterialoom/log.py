"""Logs as JSON lines on standard error."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

__all__ = ["json_formatter", "set_up_logs"]


def json_formatter(instance: str) -> JsonFormatter:
    """Return the formatter of every log line of an instance."""
    return JsonFormatter(
        "%(asctime)s %(levelname)s %(name)s %(message)s",
        rename_fields={"asctime": "at", "levelname": "level", "name": "logger"},
        static_fields={"instance": instance},
    )


def set_up_logs(level: str, instance: str) -> None:
    """Send every log record to standard error as one JSON object a line.

    Args:
        level: `debug`, `info`, `warning` or `error`.
        instance: Name of the entry instance, put on each line.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(json_formatter(instance))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
