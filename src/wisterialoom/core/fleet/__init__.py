"""Roles, leases and membership of the fleet of instances, without any I/O."""

from __future__ import annotations

from wisterialoom.core.fleet.change_feed import ChangeFeed
from wisterialoom.core.fleet.first_view import FirstView, ViewSource
from wisterialoom.core.fleet.link_class import LinkClass
from wisterialoom.core.fleet.placement_lease import (
    LeaseRecord,
    LeaseStep,
    PlacementLease,
    ReadLease,
    TakeLease,
    WriteLease,
)
from wisterialoom.core.fleet.revision import FIRST_REVISION, Revision
from wisterialoom.core.fleet.server_table import ServerTable, TableEntry
from wisterialoom.core.fleet.store_progress import StoreProgress
from wisterialoom.core.fleet.view_promise import ViewPromise
from wisterialoom.core.fleet.watcher_role import MAX_RANK, WatcherRole

__all__ = [
    "FIRST_REVISION",
    "MAX_RANK",
    "ChangeFeed",
    "FirstView",
    "LeaseRecord",
    "LeaseStep",
    "LinkClass",
    "PlacementLease",
    "ReadLease",
    "Revision",
    "ServerTable",
    "StoreProgress",
    "TableEntry",
    "TakeLease",
    "ViewPromise",
    "ViewSource",
    "WatcherRole",
    "WriteLease",
]
