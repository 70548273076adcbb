"""Duties and members of the fleet of instances; no I/O."""

from __future__ import annotations

from wisterialoom.core.fleet.placement_lease import (
    LeaseRecord,
    LeaseStep,
    PlacementLease,
    ReadLease,
    TakeLease,
    WriteLease,
)

__all__ = [
    "LeaseRecord",
    "LeaseStep",
    "PlacementLease",
    "ReadLease",
    "TakeLease",
    "WriteLease",
]
