"""Duties and members of the fleet of instances; no I/O."""

from __future__ import annotations

from wisterialoom.core.fleet.change_feed import ChangeFeed
from wisterialoom.core.fleet.placement_lease import (
    LeaseRecord,
    LeaseStep,
    PlacementLease,
    ReadLease,
    TakeLease,
    WriteLease,
)
from wisterialoom.core.fleet.server_table import ServerTable, TableEntry
from wisterialoom.core.fleet.watcher_role import (
    MAX_RANK,
    WATCHER_MAX_AGE_S,
    WatcherRole,
)

__all__ = [
    "WATCHER_MAX_AGE_S",
    "MAX_RANK",
    "ChangeFeed",
    "LeaseRecord",
    "LeaseStep",
    "PlacementLease",
    "ReadLease",
    "ServerTable",
    "TableEntry",
    "TakeLease",
    "WatcherRole",
    "WriteLease",
]
