"""Which way requests take to a server: directly, through another instance, or none."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wisterialoom.core.crash_watch import CrashWatch
from wisterialoom.core.ejection import Ejection
from wisterialoom.core.serving.helper_choice import HelperChoice
from wisterialoom.core.serving.request_flow import AttemptVerdict
from wisterialoom.core.serving.server_path import PathTable

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wisterialoom.core.serving.backend import BackendView

__all__ = ["WayFinder"]

BROKEN = (AttemptVerdict.LOST, AttemptVerdict.TIMED_OUT)
"""Verdicts after which the path to a server is probed."""


@dataclass
class WayFinder:
    """Chooses the way to each server, and learns from how attempts end.

    Attributes:
        views: Backend servers by id.
        crash_watch: Told of servers that cannot be connected to.
        paths: The paths from this instance to the servers.
        helpers: The instances that requests can go through.
    """

    views: Mapping[str, BackendView]
    crash_watch: CrashWatch = field(default_factory=CrashWatch)
    paths: PathTable = field(default_factory=PathTable)
    helpers: HelperChoice = field(default_factory=lambda: HelperChoice(""))

    def is_direct(self, view: BackendView) -> bool:
        """Return whether requests to a server take no other instance's help."""
        return not self.paths.is_lost(view.server.id, view.server.service)

    def exists(self, now: float, view: BackendView) -> bool:
        """Return whether there is any way to a server."""
        if self.is_direct(view):
            return True
        return self.helpers.is_available(now, view.server.service)

    def choose(self, now: float, view: BackendView) -> str:
        """Return the instance to send a request through; empty for the direct way."""
        if self.is_direct(view):
            return ""
        return self.helpers.choose(now, view.server.service) or ""

    def set_servers(self) -> None:
        """Forget the paths to servers that are gone."""
        self.paths.set_servers(
            {server_id: view.server.service for server_id, view in self.views.items()}
        )

    def record_end(
        self, now: float, view: BackendView, via: str, verdict: AttemptVerdict
    ) -> bool:
        """Learn from the end of an attempt.

        Args:
            now: Monotonic time.
            view: The server.
            via: Instance that the attempt went through; empty if it went directly.
            verdict: How it ended.

        Returns:
            Whether the end speaks about the way alone, and not about the server.
        """
        if via:
            self.helpers.end(now, via, helped=_helped(verdict))
            return verdict is AttemptVerdict.NO_HELP
        if verdict is AttemptVerdict.NOT_SENT:
            return self.record_not_opened(now, view)
        if verdict in BROKEN:
            self.record_doubt(now, view)
        return False

    def record_doubt(self, now: float, view: BackendView) -> None:
        """Record that a server did not answer, whether or not the path is to blame."""
        self.paths.record_doubt(now, view.server.id, view.server.service)

    def record_opened(self, now: float, view: BackendView) -> bool:
        """Record a new connection; return whether the path was lost before."""
        server = view.server
        return self.paths.record_opened(now, server.id, server.service)

    def record_not_opened(self, now: float, view: BackendView) -> bool:
        """Record a failure to connect; return whether another way can be taken.

        Once the path is lost, what was held against the server counts no longer: it
        may have been the path all along. The server may as well be gone, so a single
        request is sent the other way until one is answered.
        """
        self.crash_watch.record_down(view.start)
        service = view.server.service
        known_lost = self.paths.lost_services()
        listed = [
            server_id
            for server_id, other in self.views.items()
            if other.server.service == service
        ]
        newly_lost = self.paths.record_failed(now, view.server.id, service, listed)
        if not self.helpers.is_available(now, service):
            return False
        if newly_lost:
            view.ejection = Ejection(ejected_at=now, probing=True)
        if service in self.paths.lost_services() - known_lost:
            # That all are gone at once is less likely than that the links are.
            for server_id in listed:
                self.views[server_id].ejection = Ejection()
        return True

    def is_cut_off(self, now: float, service: str) -> bool:
        """Return whether others reach a service of which this instance reaches none."""
        if service not in self.paths.lost_services():
            return False
        return self.helpers.is_available(now, service)


def _helped(verdict: AttemptVerdict) -> bool | None:
    match verdict:
        case AttemptVerdict.NO_HELP:
            return False
        case AttemptVerdict.LOST | AttemptVerdict.TIMED_OUT | AttemptVerdict.CANCELLED:
            return None
    return True
