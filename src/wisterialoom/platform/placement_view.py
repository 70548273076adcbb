"""What the model servers hold, as this instance knows it from the lease holder."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialoom.core.placement.placement_table import PlacementTable

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisterialoom.core.placement.placement_table import ServerPlacement
    from wisterialoom.core.serving.dispatcher import Dispatcher
    from wisterialoom.platform.hints import PlacementHint

__all__ = ["DigestMismatch", "PlacementView"]

DISAGREE_S = 0.5
"""Time for which what is known here may differ from what the holder tells; two of its
messages to all."""

ASK_S = 0.6
"""Least time between two requests for everything."""


class PlacementView:
    """Keeps the dispatcher's placement current.

    Attributes:
        dispatcher: Takes what the servers hold.
        changed: Called when requests may be affected.
        table: What the servers hold.
    """

    def __init__(self, dispatcher: Dispatcher, changed: Callable[[], None]) -> None:
        self.dispatcher = dispatcher
        self.changed = changed
        self.table = PlacementTable()

    def take_hint(self, now: float, hint: PlacementHint, members_digest: int) -> bool:
        """Take a hint; tell whether all is known that its sender knows."""
        views = self.dispatcher.views
        for server_id, placement in hint.servers.items():
            if placement is None:
                self.table.remove(server_id)
            else:
                self.table.put(server_id, placement)
        known = sorted(self.table.placements.keys() & views.keys())
        agreed = self.table.digest(known) ^ members_digest == hint.digest
        if agreed:
            for server_id, busy in zip(known, hint.busy, strict=False):
                views[server_id].record_fleet_busy(now, busy)
        self._apply(now, hint.ready_in_s)
        return agreed

    def take(
        self,
        now: float,
        placements: dict[str, ServerPlacement],
        busy: dict[str, int],
        ready_in_s: dict[str, float],
    ) -> None:
        """Take what this instance knows as the holder of the lease."""
        views = self.dispatcher.views
        self.table.replace(placements)
        for server_id in placements.keys() & views.keys():
            views[server_id].record_fleet_busy(now, busy[server_id])
        self._apply(now, ready_in_s)

    def _apply(self, now: float, ready_in_s: dict[str, float]) -> None:
        self.dispatcher.take_placement(now, ready_in_s)
        wake = False
        for server_id, placement in self.table.placements.items():
            view = self.dispatcher.views.get(server_id)
            if view is None:
                continue
            # Each time, as an entry in the store may have had the same count and
            # the models of before.
            wake |= view.set_placement(
                placement.count, placement.models, placement.unloading
            )
        if wake:
            self.changed()


class DigestMismatch:
    """Tells when to ask the holder for everything.

    Attributes:
        since: Monotonic time since which what is known here differs, if it does.
        asked_at: Monotonic time of the last request.
    """

    def __init__(self) -> None:
        self.since: float | None = None
        self.asked_at = float("-inf")

    def resync_due(self, now: float, *, agreed: bool) -> bool:
        """Note a hint; tell whether to ask now."""
        if agreed:
            self.since = None
            return False
        if self.since is None:
            self.since = now
        if now - self.since < DISAGREE_S or now - self.asked_at < ASK_S:
            return False
        self.asked_at = now
        return True
