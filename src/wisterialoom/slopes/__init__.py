"""Measures what each role costs per message, peer, server, model and claim.

Run `python -m wisterialoom.slopes --out DIRECTORY`; docs/CAPACITY.md is worked out
from its tables.
"""

from __future__ import annotations

from wisterialoom.slopes.fit import Slope
from wisterialoom.slopes.table import write_tables

__all__ = ["Slope", "write_tables"]
