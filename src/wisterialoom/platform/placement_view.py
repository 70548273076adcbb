"""Placement on the model servers, as received from the lease holder."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialoom.core.placement.placement_table import PlacementTable

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from wisterialoom.core.placement.placement_table import ServerPlacement
    from wisterialoom.core.serving.dispatcher import Dispatcher
    from wisterialoom.platform.hints import PlacementHint

__all__ = ["DigestMismatch", "PlacementView"]

MAX_MISMATCH_S = 0.5
"""Time for which the view here may differ from the holder's before a resync.

It covers two broadcasts of the holder, which are at most 0.4 s apart.
"""

RESYNC_INTERVAL_S = 0.6
"""Minimum time between two requests for the complete state."""


class PlacementView:
    """Maintains the placement that the dispatcher uses.

    Attributes:
        dispatcher: Receives the placement of each server.
        changed: Called when a change may affect requests.
        table: Placement of each server.
    """

    def __init__(self, dispatcher: Dispatcher, changed: Callable[[], None]) -> None:
        self.dispatcher = dispatcher
        self.changed = changed
        self.table = PlacementTable()

    def apply_hint(self, now: float, hint: PlacementHint, members_digest: int) -> bool:
        """Apply a hint of the lease holder.

        Args:
            now: Monotonic time.
            hint: The hint.
            members_digest: Checksum over the instances known here.

        Returns:
            Whether the state here now matches the holder's.
        """
        views = self.dispatcher.views
        self._record(hint.servers)
        known = sorted(self.table.placements.keys() & views.keys())
        agreed = self.table.digest(known) ^ members_digest == hint.digest
        if agreed:
            for server_id, busy in zip(known, hint.busy, strict=False):
                views[server_id].record_fleet_busy(now, busy)
        self._update_dispatcher(now, hint.ready_in_s)
        return agreed

    def apply_change(self, servers: dict[str, ServerPlacement | None]) -> None:
        """Apply changes of some servers that the lease holder sent ahead of a hint.

        Args:
            servers: Placement of each changed server; `None` if it has left.
        """
        self._record(servers)
        if self._set_placements(servers.keys()):
            self.changed()

    def replace(
        self,
        now: float,
        placements: dict[str, ServerPlacement],
        busy: dict[str, int],
        ready_in_s: dict[str, float],
    ) -> None:
        """Replace the placement while this instance holds the lease itself.

        Args:
            now: Monotonic time.
            placements: Placement of each server.
            busy: Requests of all instances in progress, by server.
            ready_in_s: Time until each model or adapter that is being loaded can
                serve.
        """
        views = self.dispatcher.views
        self.table.replace(placements)
        for server_id in placements.keys() & views.keys():
            views[server_id].record_fleet_busy(now, busy[server_id])
        self._update_dispatcher(now, ready_in_s)

    def _record(self, servers: dict[str, ServerPlacement | None]) -> None:
        for server_id, placement in servers.items():
            if placement is None:
                self.table.remove(server_id)
            else:
                self.table.put(server_id, placement)

    def _update_dispatcher(self, now: float, ready_in_s: dict[str, float]) -> None:
        self.dispatcher.record_loads(now, ready_in_s)
        if self._set_placements(self.table.placements.keys()):
            self.changed()

    def _set_placements(self, server_ids: Iterable[str]) -> bool:
        """Pass placements on; return whether waiting requests may proceed."""
        wake = False
        for server_id in server_ids:
            placement = self.table.placements.get(server_id)
            view = self.dispatcher.views.get(server_id)
            if placement is None or view is None:
                continue
            # Set the placement even if its order count is unchanged: an outdated entry
            # in the store may have set the old models with the same count.
            wake |= view.set_placement(
                placement.count, placement.models, placement.unloading
            )
        return wake


class DigestMismatch:
    """Decides when to request the complete state from the lease holder.

    Attributes:
        mismatch_since: Monotonic time since which the state here has differed from
            the holder's, or `None` if it matches.
        requested_at: Monotonic time of the last request.
    """

    def __init__(self) -> None:
        self.mismatch_since: float | None = None
        self.requested_at = float("-inf")

    def resync_due(self, now: float, *, agreed: bool) -> bool:
        """Record whether a hint matched the state here.

        Args:
            now: Monotonic time.
            agreed: Whether the state here matches the holder's.

        Returns:
            Whether to request the complete state now.
        """
        if agreed:
            self.mismatch_since = None
            return False
        if self.mismatch_since is None:
            self.mismatch_since = now
        if (
            now - self.mismatch_since < MAX_MISMATCH_S
            or now - self.requested_at < RESYNC_INTERVAL_S
        ):
            return False
        self.requested_at = now
        return True
