"""Which servers this instance reaches itself, and which only through others.

Failures to connect say as much about the links of this instance as about the server. A
server that this instance does not reach may serve all others, so it is not given up:
requests go to it through an instance that reaches it, until a probe connects again.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

__all__ = ["PathTable", "ServerPath"]

FAILURES_TO_LOSE = 2
"""Consecutive failures to connect after which the path to a server counts as lost."""

LOST_TO_LOSE_ALL = 3
"""Lost paths to servers of a service after which those to its others are doubted."""

PROBE_INTERVAL_S = 0.4
"""Time between two probes of a lost path."""

MAX_PROBE_INTERVAL_S = 2.0
"""Time between two probes of a path that has long been lost; the server may be down."""

PROBE_GROWTH = 1.3
"""Growth of the time between two probes with each failure."""

MAX_REPEATS = 16
"""Failures after which that time no longer grows."""

MAX_DOUBTED = 4
"""Other servers of a service that are probed at the same time after one was lost."""

RECENT_S = 1.0
"""Age up to which a connection shows that a path works."""

MAX_PROBES = 16
"""Probes in progress at the same time."""


@dataclass
class ServerPath:
    """The path from this instance to one server.

    Attributes:
        service: Service of the server.
        failures: Consecutive failures to connect.
        lost: Whether requests take another way.
        opened_at: Monotonic time of the last connection that was established.
        probe_at: Monotonic time of the next probe; `None` if none is needed.
        probing: Whether a probe is in progress.
    """

    service: str
    failures: int = 0
    lost: bool = False
    opened_at: float = float("-inf")
    probe_at: float | None = None
    probing: bool = False


@dataclass
class PathTable:
    """The paths to all servers, from what requests and probes show.

    Only new connections count as evidence that a path works: those that were open
    before may go on while new ones are refused. While a service is unreached, a probe
    of each of its servers is due or in progress, as no request is sent to them.

    Attributes:
        paths: Paths that failed since the last connection, or were ever opened, by
            id of the server.
        all_lost_at: Monotonic time since which a service's servers all count as
            lost, except those that were reached since.
    """

    paths: dict[str, ServerPath] = field(default_factory=dict)
    all_lost_at: dict[str, float] = field(default_factory=dict)

    def set_servers(self, services: Mapping[str, str]) -> None:
        """Forget servers that are gone, and probe new ones of unreached services.

        Args:
            services: Service of each server by id.
        """
        for server_id in self.paths.keys() - services.keys():
            del self.paths[server_id]
        for service in self.all_lost_at.keys() - set(services.values()):
            del self.all_lost_at[service]
        if not self.all_lost_at:
            return
        for server_id in services.keys() - self.paths.keys():
            service = services[server_id]
            if service in self.all_lost_at:
                probe_at = self.all_lost_at[service]
                self.paths[server_id] = ServerPath(service, probe_at=probe_at)

    def is_lost(self, server_id: str, service: str) -> bool:
        """Return whether requests to a server take another way."""
        path = self.paths.get(server_id)
        if path is not None and path.lost:
            return True
        since = self.all_lost_at.get(service)
        return since is not None and (path is None or path.opened_at < since)

    def lost_services(self) -> frozenset[str]:
        """Return the services of which no server is reached."""
        return frozenset(self.all_lost_at)

    def record_opened(self, now: float, server_id: str, service: str) -> bool:
        """Record a new connection; return whether the path was lost before."""
        was_lost = self.is_lost(server_id, service)
        path = self.paths.setdefault(server_id, ServerPath(service))
        path.failures = 0
        path.lost = False
        path.opened_at = now
        path.probe_at = None
        if self.all_lost_at.pop(service, None) is not None:
            # The others are probed before they are used again.
            self._doubt_others(now, service, lost=True)
        return was_lost

    def record_failed(
        self, now: float, server_id: str, service: str, listed: Iterable[str]
    ) -> bool:
        """Record a failure to connect.

        Args:
            now: Monotonic time.
            server_id: Id of the server.
            service: Its service.
            listed: Ids of all servers of the service.

        Returns:
            Whether the path is lost from now on.
        """
        path = self.paths.setdefault(server_id, ServerPath(service))
        was_lost = self.is_lost(server_id, service)
        path.failures += 1
        repeats = min(MAX_REPEATS, max(0, path.failures - FAILURES_TO_LOSE))
        growth = PROBE_GROWTH**repeats
        interval_s = min(MAX_PROBE_INTERVAL_S, PROBE_INTERVAL_S * growth)
        path.probe_at = now if path.failures < FAILURES_TO_LOSE else now + interval_s
        path.lost = path.lost or path.failures >= FAILURES_TO_LOSE
        if path.lost and service not in self.all_lost_at:
            self._check_service(now, service, list(listed))
        return path.lost and not was_lost

    def record_restarted(self, server_id: str) -> None:
        """Probe a lost path at once, as its server is listed as started again."""
        path = self.paths.get(server_id)
        if path is not None and path.probe_at is not None:
            path.probe_at = float("-inf")

    def record_doubt(self, now: float, server_id: str, service: str) -> None:
        """Record a connection that broke or fell silent; a probe follows."""
        path = self.paths.setdefault(server_id, ServerPath(service))
        if path.probe_at is None:
            path.probe_at = now

    def take_probes(self, now: float) -> list[str]:
        """Return the servers to probe now."""
        free = MAX_PROBES - sum(path.probing for path in self.paths.values())
        due = [
            (path.probe_at, server_id)
            for server_id, path in self.paths.items()
            if path.probe_at is not None and path.probe_at <= now and not path.probing
        ]
        taken = [server_id for _, server_id in sorted(due)[: max(0, free)]]
        for server_id in taken:
            self.paths[server_id].probing = True
        return taken

    def end_probe(self, server_id: str) -> None:
        """Record that a probe is no longer in progress."""
        path = self.paths.get(server_id)
        if path is not None:
            path.probing = False

    def next_probe_at(self) -> float | None:
        """Return the monotonic time of the next probe; `None` if none is needed."""
        times = [
            path.probe_at
            for path in self.paths.values()
            if path.probe_at is not None and not path.probing
        ]
        return min(times, default=None)

    def _check_service(self, now: float, service: str, listed: list[str]) -> None:
        """Doubt all servers of a service if none was reached since some were lost."""
        lost = [
            path
            for path in self.paths.values()
            if path.service == service and path.lost
        ]
        for server_id in listed:
            self.paths.setdefault(server_id, ServerPath(service))
        self._doubt_others(now, service, lost=False)
        if len(lost) < min(LOST_TO_LOSE_ALL, len(listed)):
            return
        first_lost_s = FAILURES_TO_LOSE * PROBE_INTERVAL_S
        opened_at = max(
            (path.opened_at for path in self.paths.values() if path.service == service),
            default=float("-inf"),
        )
        if now - opened_at > first_lost_s:
            self.all_lost_at[service] = now
            for path in self.paths.values():
                if path.service == service and path.probe_at is None:
                    path.probe_at = now

    def _doubt_others(self, now: float, service: str, *, lost: bool) -> None:
        """Probe the other servers of a service.

        Args:
            now: Monotonic time.
            service: The service.
            lost: Whether they count as lost until then, if not reached for a while.
        """
        doubted = [
            path
            for path in self.paths.values()
            if path.service == service and now - path.opened_at > RECENT_S
        ]
        for path in doubted if lost else doubted[:MAX_DOUBTED]:
            if path.probe_at is None:
                path.probe_at = now
            else:
                path.probe_at = min(path.probe_at, now + PROBE_INTERVAL_S)
            path.lost = path.lost or lost
