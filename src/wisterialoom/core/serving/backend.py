"""One backend server as an instance sees it: placement, load and health."""

from __future__ import annotations

from dataclasses import dataclass, field

from wisterialoom.core.ejection import Ejection

__all__ = ["UNKNOWN_COUNT", "BackendServer", "BackendView", "ResidentModel"]

UNKNOWN_COUNT = -1
"""Order count of an entry that does not tell what its server holds."""

LOAD_MAX_AGE_S = 2.0
"""Age after which a reported load is no longer used; some four server reports."""

FLEET_LOAD_AFTER_S = 0.3
"""Age of a server's own report above which the count of instances is better."""

REFUSAL_BACKOFF_S = 0.15
"""Pause after a server refused a request because it is full; one step of its queue."""


@dataclass(frozen=True, slots=True)
class ResidentModel:
    """A model that a backend server holds, with its adapters."""

    name: str
    version: int = 0
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class BackendServer:
    """What a backend server last told about itself.

    Attributes:
        id: Identity of this incarnation.
        started_ms: Wall-clock time of its start in milliseconds; 0 if not told.
        service: Service that it belongs to.
        address: `IP:port`.
        availability_zone: Where it runs.
        slots: Requests that it runs at once.
        draining: It is leaving and takes no new work.
        order_count: Orders that it has accepted since its start, or `UNKNOWN_COUNT`.
        models: Models that it holds, if `order_count` is told.
        removal_in_s: Time until it is taken away, if it told.
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


@dataclass
class BackendView:
    """A backend server with what this instance has seen of it.

    Attributes:
        server: What it told last.
        in_flight: Attempts of this instance in progress.
        reported_busy: Running and waiting requests that it last reported.
        reported_at: Monotonic time of that report.
        in_flight_at_report: Attempts of this instance when it reported.
        pending_prefill_tokens: Prompt tokens of attempts here without an answer yet.
        ejection: Health as seen by attempts.
        models: Adapters by resident model, the newest known.
        unloading: Models that are being unloaded.
        placement_count: Order count that `models` belongs to.
        full_until: Monotonic time until which it gets no request, as it was full.
        absent_until: Monotonic time until which a model or adapter is passed over
            here, as the server refused it.
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
    absent_until: dict[str, float] = field(default_factory=dict)

    def note_report(self, now: float, running: int, waiting: int) -> None:
        """Take a load that the server reported with an answer."""
        self.reported_busy = running + waiting
        self.reported_at = now
        self.in_flight_at_report = self.in_flight

    def record_fleet_busy(self, now: float, busy: int) -> None:
        """Take the requests of all instances, unless the server told lately."""
        if now - self.reported_at > FLEET_LOAD_AFTER_S:
            self.note_report(now, busy, 0)

    def busy(self, now: float) -> float:
        """Estimate the requests at this server, those of other instances included."""
        if now - self.reported_at > LOAD_MAX_AGE_S:
            return float(self.in_flight)
        change = self.in_flight - self.in_flight_at_report
        return float(max(self.in_flight, self.reported_busy + change))

    def set_placement(
        self,
        count: int,
        models: dict[str, frozenset[str]],
        unloading: frozenset[str] = frozenset(),
    ) -> bool:
        """Take what the server holds after a count of orders; tell if it changed."""
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
        """Tell whether a model and adapter are resident, as far as known."""
        adapters = self.models.get(model)
        if adapters is None or model in self.unloading:
            return False
        return not adapter or adapter in adapters

    def can_serve(self, now: float, model: str, adapter: str) -> bool:
        """Tell whether a request for a model and adapter may be sent here."""
        skipped_until = self.skipped_until(model, adapter)
        return self.is_resident(model, adapter) and now >= skipped_until

    def skipped_until(self, model: str, adapter: str) -> float:
        """Return the time until which a refusal about a model and adapter counts."""
        return self.absent_until.get(f"{model}/{adapter}", float("-inf"))

    def note_absent(self, now: float, model: str, adapter: str, for_s: float) -> None:
        """Note that the server refused a model or adapter as not resident."""
        self.absent_until[f"{model}/{adapter}"] = now + for_s

    def note_full(self, now: float) -> None:
        """Note that the server refused a request because it has no room."""
        self.full_until = now + REFUSAL_BACKOFF_S
