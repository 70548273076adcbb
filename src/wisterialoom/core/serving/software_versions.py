"""Which versions of their software the servers of each service have, and had.

A caller takes a broken stream up some seconds after it began. Its origin needs no
record if only one version could have begun it. An instance knows that from what it has
observed for long enough, or from a record of earlier versions that another one kept.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from wisterialoom.core.serving.backend import BackendServer

__all__ = ["MIN_RETENTION_S", "SETTLE_S", "VersionHistory", "sole_version"]

PLACEHOLDER = "\0"
"""Begins what stands for the version of a server that has not told it."""

MIN_RETENTION_S = 30.0
"""Minimum time for which a version counts after its last server has left."""

RETENTION_TIMEOUTS = 2.0
"""The same time in timeouts of the routes whose streams callers may take up.

Callers try again until their own deadline, which is about one timeout.
"""

SETTLE_S = 2.0
"""Time for which a version must be known before it is preferred for new streams.

By then the other instances know it, too, and the holder of the placement lease has
recorded it.
"""


@dataclass
class VersionHistory:
    """Observes the software versions of the servers of each service.

    Attributes:
        retention_s: Seconds for which a version counts after its last server has left.
        listed: Versions that have a server, by service.
        seen_at: Monotonic time since which a version has had servers, by service and
            version.
        gone_at: Monotonic time at which the last server of a version left, by service
            and version.
        observed_since: Monotonic time since which nothing was missed; infinite before
            the first view.
        earlier: Versions before that, by service, as another instance recorded them;
            `None` if they are not known.
        earlier_at: Monotonic time at which `earlier` was read.
    """

    retention_s: float = MIN_RETENTION_S
    listed: dict[str, frozenset[str]] = field(default_factory=dict)
    seen_at: dict[tuple[str, str], float] = field(default_factory=dict)
    gone_at: dict[tuple[str, str], float] = field(default_factory=dict)
    observed_since: float = float("inf")
    earlier: Mapping[str, frozenset[str]] | None = None
    earlier_at: float = float("-inf")

    def set_longest_timeout(self, timeout_s: float) -> None:
        """Adapt the retention to the longest timeout of a stream in seconds."""
        retention_s = RETENTION_TIMEOUTS * timeout_s
        self.retention_s = max(self.retention_s, retention_s)

    def set_servers(self, now: float, servers: Collection[BackendServer]) -> None:
        """Observe the servers that are listed now, draining ones included."""
        self.observed_since = min(self.observed_since, now)
        self.gone_at = {
            key: gone_at
            for key, gone_at in self.gone_at.items()
            if now - gone_at < self.retention_s
        }
        found: dict[str, set[str]] = {}
        for server in servers:
            found.setdefault(server.service, set()).add(_label(server))
        for service in self.listed.keys() | found.keys():
            versions = frozenset(found.get(service, ()))
            known = self.listed.get(service, frozenset())
            for version in versions - known:
                self.seen_at[service, version] = now
            for version in known - versions:
                self.gone_at[service, version] = now
                del self.seen_at[service, version]
            self.listed[service] = versions
        for server in servers:
            if server.software_version:
                self.gone_at.pop((server.service, _placeholder(server)), None)

    def record_earlier(
        self, now: float, versions: Mapping[str, Iterable[str]] | None
    ) -> None:
        """Record the versions that another instance knew of, by service.

        Args:
            now: Monotonic time in seconds.
            versions: The versions; `None` if the other instance did not know all.
        """
        if versions is None:
            return
        known = dict(self.earlier or {}) if self._earlier_counts(now) else {}
        for service, names in versions.items():
            known[service] = known.get(service, frozenset()) | frozenset(names)
        self.earlier = known
        self.earlier_at = now

    def record_gap(self, now: float) -> None:
        """Record that versions may have come and gone without being observed."""
        self.observed_since = now
        self.earlier = None

    def possible(self, now: float, service: str) -> frozenset[str] | None:
        """Return the versions that may have begun a stream which is taken up now.

        Args:
            now: Monotonic time in seconds.
            service: The service.

        Returns:
            The versions, with a placeholder for each server whose version is not
            known. `None` if there may be others.
        """
        if self.earlier is None and now - self.observed_since < self.retention_s:
            return None
        return self.known(now, service)

    def known(self, now: float, service: str) -> frozenset[str]:
        """Return the known ones of the versions that may have begun a stream."""
        found = self.listed.get(service, frozenset()) | {
            version
            for (name, version), gone_at in self.gone_at.items()
            if name == service and now - gone_at < self.retention_s
        }
        if self.earlier is not None and self._earlier_counts(now):
            found |= self.earlier.get(service, frozenset())
        return found

    def _earlier_counts(self, now: float) -> bool:
        return now - self.earlier_at < self.retention_s

    def to_record(self, now: float) -> dict[str, list[str]] | None:
        """Return all possible versions by service; `None` if some may be missing."""
        services = self.listed.keys() | (self.earlier or {}).keys()
        record = {}
        for service in services:
            versions = self.possible(now, service)
            if versions is None:
                return None
            record[service] = sorted(versions)
        return record if self.observed_since <= now else None

    def settled(self, now: float, service: str) -> frozenset[str]:
        """Return the listed versions that all instances can be expected to know.

        These are the ones that have been known for long enough or are recorded; if
        there are none, the ones that have been known for longest.
        """
        listed = self.listed.get(service, frozenset())
        recorded = (self.earlier or {}).get(service, frozenset())
        seen_at = {version: self.seen_at[service, version] for version in listed}
        settled = {
            version
            for version, at in seen_at.items()
            if now - at >= SETTLE_S or version in recorded
        }
        if not settled and seen_at:
            first_at = min(seen_at.values())
            settled = {version for version, at in seen_at.items() if at == first_at}
        return frozenset(settled)


def sole_version(versions: frozenset[str] | None) -> str | None:
    """Return the only one of some versions; `None` if there are more, or none."""
    if versions is None or len(versions) != 1:
        return None
    version = next(iter(versions))
    return None if version.startswith(PLACEHOLDER) else version


def _label(server: BackendServer) -> str:
    return server.software_version or _placeholder(server)


def _placeholder(server: BackendServer) -> str:
    return f"{PLACEHOLDER}{server.id}/{server.started_ms}"
