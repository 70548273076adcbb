"""An instance's view of one backend server: resident models, load and health."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wisterialoom.core.brittle_services import ServerUse
from wisterialoom.core.crash_suspects import ServerStart
from wisterialoom.core.ejection import Ejection
from wisterialoom.core.request_limit import RequestLimit
from wisterialoom.core.serving.server_notices import StartNotices

if TYPE_CHECKING:
    from wisterialoom.core.serving.measured_capacity import MeasuredCapacity

__all__ = ["UNKNOWN_COUNT", "BackendServer", "BackendView", "ResidentModel"]

UNKNOWN_COUNT = -1
"""Order count of a directory entry that does not report its server's models."""

LOAD_MAX_AGE_S = 2.0
"""Age above which a reported load is ignored; about four report intervals."""

FLEET_LOAD_MIN_REPORT_AGE_S = 0.3
"""Age of a server's own load report above which fleet load may replace it.

The fleet load is the sum of the requests that all instances have in progress at the
server.
"""

REFUSAL_BACKOFF_S = 0.15
"""Time during which a server that refused a request as full gets no further request.

It is the time in which a server's queue advances by one step.
"""


@dataclass(frozen=True, slots=True)
class ResidentModel:
    """A model resident on a backend server, with its resident adapters."""

    name: str
    version: int = 0
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class BackendServer:
    """The latest description that a backend server published of itself.

    Attributes:
        id: Identity of this incarnation.
        started_ms: Wall-clock start time in milliseconds; 0 if not reported.
        service: Service that the server belongs to.
        address: `IP:port`.
        availability_zone: Availability zone in which the server runs.
        slots: Maximum number of requests that the server runs concurrently.
        draining: Whether the server is shutting down and takes no new requests.
        order_count: Orders accepted since the server started, or `UNKNOWN_COUNT`.
        models: Resident models; meaningful only if `order_count` is reported.
        removal_in_s: Seconds until the server is removed, if it announced that.
        software_version: Version of the server's software, not of its weights; empty
            while it is not known.
    """

    id: str
    started_ms: int
    service: str
    address: str
    availability_zone: str
    slots: int
    draining: bool
    order_count: int
    models: tuple[ResidentModel, ...] = ()
    removal_in_s: float | None = None
    software_version: str = ""


@dataclass
class BackendView:
    """A backend server with the load and health that this instance observes.

    Attributes:
        server: Latest description published by the server.
        in_flight: Attempts of this instance in progress at the server.
        reported_busy: Running and waiting requests in the last load report.
        reported_at: Monotonic time of that report.
        in_flight_at_report: Value of `in_flight` when that report arrived.
        pending_prefill_tokens: Prompt tokens of this instance's attempts that the
            server has not begun to answer.
        ejection: Outlier ejection state, fed by the results of attempts.
        models: Resident adapters by resident model, from the newest source.
        unloading: Models that are being unloaded.
        placement_count: Order count at which `models` was valid.
        full_until: Monotonic time until which the server gets no request because it
            refused one as full.
        kept_until: Monotonic time until which free slots are kept for streams that
            have begun and can go on at few servers.
        notices: What this start of the server has said about itself in answers.
        relayed: Whether requests go through another instance, as the server is not
            reached directly.
        is_lone: Whether no other server with its software version has the model of the
            request that is being sent.
        limit: Keeps to the request rate that the server named.
        capacity: What the server takes well; `None` if that is not measured.
        absent_until: Monotonic time until which a model or adapter is not requested
            here because the server refused it as not resident, by `model/adapter`.
    """

    server: BackendServer
    in_flight: int = 0
    reported_busy: int = 0
    reported_at: float = float("-inf")
    in_flight_at_report: int = 0
    pending_prefill_tokens: int = 0
    ejection: Ejection = field(default_factory=Ejection)
    models: dict[str, frozenset[str]] = field(default_factory=dict)
    unloading: frozenset[str] = frozenset()
    placement_count: int = -1
    full_until: float = float("-inf")
    kept_until: float = float("-inf")
    notices: StartNotices = field(default_factory=StartNotices)
    relayed: bool = False
    is_lone: bool = False
    limit: RequestLimit = field(default_factory=RequestLimit)
    capacity: MeasuredCapacity | None = None
    absent_until: dict[str, float] = field(default_factory=dict)

    def record_report(self, now: float, running: int, waiting: int) -> None:
        """Record a load that the server reported with an answer."""
        self.reported_busy = running + waiting
        self.reported_at = now
        self.in_flight_at_report = self.in_flight

    def record_fleet_busy(self, now: float, busy: int) -> None:
        """Record the fleet-wide load, unless the server's own report is recent."""
        if now - self.reported_at > FLEET_LOAD_MIN_REPORT_AGE_S:
            self.record_report(now, busy, 0)

    def busy(self, now: float) -> float:
        """Estimate the requests at this server, including other instances' requests.

        Without a recent load report, only this instance's requests are counted.
        """
        if now - self.reported_at > LOAD_MAX_AGE_S:
            return float(self.in_flight)
        change = self.in_flight - self.in_flight_at_report
        return float(max(self.in_flight, self.reported_busy + change))

    def load(self, now: float) -> float:
        """Return the requests at this server as a fraction of what it takes.

        A measured server that is slow counts as loaded while it is idle, too.
        """
        slots = max(1, self.server.slots)
        busy = self.busy(now)
        if self.capacity is None:
            return busy / slots
        return (busy + 1.0) / self.capacity.slots(now, slots) - 1.0 / slots

    def set_placement(
        self,
        count: int,
        models: dict[str, frozenset[str]],
        unloading: frozenset[str] = frozenset(),
    ) -> bool:
        """Record the resident models; older information than the current is ignored.

        Args:
            count: Number of orders the server had accepted at that time.
            models: Resident adapters by resident model.
            unloading: Models that are being unloaded.

        Returns:
            Whether the resident or unloading models changed.
        """
        if count < self.placement_count:
            return False
        changed = models != self.models or unloading != self.unloading
        self.placement_count = count
        self.models = models
        self.unloading = unloading
        if changed:
            self.absent_until.clear()
        return changed

    def is_resident(self, model: str, adapter: str) -> bool:
        """Return whether a model and adapter are listed as resident here."""
        adapters = self.models.get(model)
        if adapters is None or model in self.unloading:
            return False
        return not adapter or adapter in adapters

    def can_serve(self, now: float, model: str, adapter: str) -> bool:
        """Return whether a request for a model and adapter may be sent here."""
        skipped_until = self.skipped_until(model, adapter)
        return self.is_resident(model, adapter) and now >= skipped_until

    def skipped_until(self, model: str, adapter: str) -> float:
        """Return the time until which a model and adapter are not requested here."""
        return self.absent_until.get(f"{model}/{adapter}", float("-inf"))

    def record_absent(self, now: float, model: str, adapter: str, for_s: float) -> None:
        """Record that the server refused a model or adapter as not resident."""
        self.absent_until[f"{model}/{adapter}"] = now + for_s

    @property
    def start(self) -> ServerStart:
        """The start of the server that this view is about."""
        return ServerStart(self.server.id, self.server.started_ms)

    @property
    def draining(self) -> bool:
        """Whether the server takes no new requests, by its entry or its own word."""
        return self.notices.leaving or self.server.draining

    def wanted_at(self, now: float) -> float:
        """Return the monotonic time from which the server wants a request."""
        return max(self.notices.wanted_at(), self.limit.free_at(now))

    def free_at(self, now: float) -> float:
        """Return the monotonic time from which the server may get requests."""
        return max(self.full_until, self.wanted_at(now), self.ejection.until)

    def is_restricted(self, now: float) -> bool:
        """Return whether the server wants fewer requests than it has slots, or none."""
        if now < self.notices.rests_until:
            return True
        limit_per_s = self.limit.limit_per_s
        return limit_per_s is not None and limit_per_s < self.server.slots

    def use(self) -> ServerUse:
        """Return how much of the server is used."""
        return ServerUse(
            server=self.server.id,
            service=self.server.service,
            slots=self.server.slots,
            in_flight=self.in_flight,
            reported_busy=self.reported_busy,
            reported_at=self.reported_at,
            in_flight_at_report=self.in_flight_at_report,
        )

    def record_full(self, now: float) -> None:
        """Record that the server refused a request because all slots are taken."""
        self.full_until = now + REFUSAL_BACKOFF_S
