"""Logging as JSON lines on standard error."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

__all__ = ["json_formatter", "configure_logging"]


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
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(json_formatter(instance))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
