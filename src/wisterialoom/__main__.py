"""Runs the command line as `python -m wisterialoom`."""

from __future__ import annotations

from wisterialoom.cli import main

if __name__ == "__main__":
    main()
