"""The command line."""

from __future__ import annotations

from wisterialoom.cli.main import cli, main

__all__ = ["cli", "main"]
