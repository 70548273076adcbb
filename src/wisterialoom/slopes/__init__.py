"""Measures how the cost of each role grows per message, peer, server, model and claim.

Run `python -m wisterialoom.slopes --out DIRECTORY`. The figures in docs/CAPACITY.md
are derived from the tables that this command writes.
"""

from __future__ import annotations

from wisterialoom.slopes.fit import Slope
from wisterialoom.slopes.table import write_tables

__all__ = ["Slope", "write_tables"]
