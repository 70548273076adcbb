"""Keeps each stream at the version of the software that began it.

What two versions write does not fit together, and servers do not check it. A stream
whose version is not known, or has no server left, ends instead: its caller can start
it afresh.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wisterialoom.core.serving.request_flow import GiveUpReason
from wisterialoom.core.serving.software_versions import (
    sole_version,
    VersionHistory,
)
from wisterialoom.core.serving.stream_origin import StreamOrigin, StreamOrigins

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from wisterialoom.core.serving.backend import BackendView
    from wisterialoom.core.serving.request_flow import RequestFlow, RequestProfile

__all__ = ["StreamVersions"]


@dataclass
class StreamVersions:
    """Decides at which servers a stream may begin or go on.

    Attributes:
        history: Versions that the servers of each service have and had.
        origins: Versions that began streams.
    """

    history: VersionHistory = field(default_factory=VersionHistory)
    origins: StreamOrigins = field(default_factory=StreamOrigins)

    def can_go_on(self, flow: RequestFlow, view: BackendView) -> bool:
        """Return whether a server may serve a request, as far as versions matter."""
        if not flow.profile.route.resumable or flow.stream_version is None:
            return True
        return view.server.software_version == flow.stream_version != ""

    def give_up_reason(
        self, flow: RequestFlow, views: Iterable[BackendView]
    ) -> GiveUpReason | None:
        """Return why a stream cannot go on; `None` if it can, or is a new one.

        Args:
            flow: The request.
            views: Servers of its service that take requests.
        """
        profile = flow.profile
        if profile.takes_up is not None and flow.stream_version is None:
            return GiveUpReason.VERSION_UNKNOWN
        if any(self.can_go_on(flow, view) for view in views):
            return None
        return GiveUpReason.VERSION_LEFT if flow.stream_version is not None else None

    def prefer_settled(
        self, now: float, flow: RequestFlow, views: list[BackendView]
    ) -> list[BackendView]:
        """Return the servers for a new stream whose version all instances know.

        If there are none, all are returned.
        """
        if not flow.profile.route.resumable or flow.stream_version is not None:
            return views
        settled = self.history.settled(now, flow.profile.service)
        return [
            view for view in views if view.server.software_version in settled
        ] or views

    def mark_lone(
        self,
        flow: RequestFlow,
        free: list[BackendView],
        find_holders: Callable[[RequestProfile], list[BackendView]],
    ) -> None:
        """Mark the servers whose loss would end the stream that a request begins.

        Args:
            flow: The request.
            free: Servers that it may be sent to now.
            find_holders: Returns the servers that have its model resident.
        """
        holders: list[BackendView] = []
        if len({view.server.software_version for view in free}) > 1:
            holders = find_holders(flow.profile)
        versions = Counter(view.server.software_version for view in holders)
        matters = bool(holders) and flow.profile.route.resumable
        for view in free:
            view.is_lone = matters and versions[view.server.software_version] < 2

    def record_output(self, now: float, flow: RequestFlow) -> None:
        """Record that a whole event is about to be passed on to the caller."""
        profile = flow.profile
        if not profile.route.resumable:
            return
        flow.has_output = True
        if flow.stream_version is None:
            flow.stream_version = flow.in_flight_version
        if flow.stream_version:
            origin = StreamOrigin(profile.service, flow.stream_version)
            self.origins.begin(now, profile.stream, origin)

    def find_here(
        self, now: float, flow: RequestFlow, *, is_current: bool
    ) -> str | None:
        """Return the version that began a stream, as far as this instance knows.

        Args:
            now: Monotonic time in seconds.
            flow: A request that takes the stream up.
            is_current: Whether the servers are known to be current.
        """
        profile = flow.profile
        origin = self.origins.find(profile.taken_up_stream)
        if origin is not None:
            return origin.version if origin.service == profile.service else None
        if not is_current:
            return None
        return sole_version(self.history.possible(now, profile.service))
