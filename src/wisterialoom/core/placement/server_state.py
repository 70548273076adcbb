"""The placement lease holder's view of one server that runs models."""

from __future__ import annotations

from dataclasses import dataclass, field

from wisterialoom.core.placement.order import Action, Order, OrderOutcome

__all__ = ["ServerReport", "ServerState"]

MAX_REPORT_LAG_S = 0.5
"""Maximum age of a received report; twice the usual lag.

A report received later than this after an order reflects that order.
"""

UNKNOWN_BACKOFF_S = 0.3
"""Pause after an unanswered order, until a report shows whether it was applied."""

MAX_QUICK_CONFLICTS = 3
"""Consecutive conflicts after which a report is read before the next order."""

CONFLICT_BACKOFF_S = 0.04
"""Pause after a conflict, up to `MAX_QUICK_CONFLICTS` in a row.

It lasts a few round trips between availability zones.
"""


@dataclass(frozen=True, slots=True)
class ServerReport:
    """The state that a server reports, a few hundred milliseconds old.

    Attributes:
        started_ms: Wall-clock time at which the server started, in milliseconds.
        count: Number of orders accepted since the server started.
        busy: Whether a load or unload of a model is in progress.
        models: Resident adapters by resident model.
        in_memory: Models whose weights are in host memory.
        on_disk: Models whose weights are on local disk.
    """

    started_ms: int
    count: int
    busy: bool
    models: dict[str, frozenset[str]]
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()


@dataclass
class ServerState:
    """The last confirmed state of one server, updated with the orders sent to it.

    Attributes:
        server_id: Id of the server.
        started_ms: Wall-clock time at which the server started, in milliseconds.
        count: Number of orders that the server is assumed to have accepted.
        models: Resident adapters by resident model. The dictionary is replaced, never
            changed in place, because announcements keep references to it.
        in_memory: Models whose weights are in host memory.
        on_disk: Models whose weights are on local disk.
        order: Order that was sent and has not been answered.
        loading: Model that is being loaded; empty if none.
        unloading: Model that is being unloaded; empty if none.
        announced: Model whose unload is about to be ordered; empty if none.
        retiring: Models that get no new requests and are unloaded when idle.
        done_at: Expected end of the load or unload in progress.
        hold_until: Monotonic time before which no order is sent.
        last_order_at: Monotonic time of the last order or its answer.
        needs_report: Whether a report must confirm the state before the next order.
        report_due: Monotonic time from which a report is useful.
        loaded_at: Monotonic time at which each model or adapter was loaded.
        conflicts: Number of consecutive conflicts.
        software_version: Version of the server's software; empty if it is not known.
        is_local_load: Whether the load in progress reads from host memory or disk.
    """

    server_id: str
    started_ms: int
    count: int = 0
    models: dict[str, frozenset[str]] = field(default_factory=dict)
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    order: Order | None = None
    loading: str = ""
    unloading: str = ""
    announced: str = ""
    retiring: frozenset[str] = frozenset()
    done_at: float = 0.0
    hold_until: float = 0.0
    last_order_at: float = float("-inf")
    needs_report: bool = True
    report_due: float = 0.0
    loaded_at: dict[str, float] = field(default_factory=dict)
    conflicts: int = 0
    is_local_load: bool = False
    software_version: str = ""

    @property
    def occupied(self) -> bool:
        """Whether a load or unload of a model is in progress."""
        return bool(self.loading or self.unloading)

    @property
    def draining_models(self) -> frozenset[str]:
        """Models that get no new requests."""
        return self.retiring | ({self.unloading, self.announced} - {""})

    def may_order(self, now: float) -> bool:
        """Return whether an order may be sent now."""
        return (
            self.order is None
            and not self.occupied
            and not self.needs_report
            and now >= self.hold_until
        )

    def settle(self, now: float) -> bool:
        """Treat a short load as complete once its expected duration has passed.

        Waiting for a report would delay requests by a few hundred milliseconds. If the
        load takes longer, the server refuses early requests and orders, which is
        harmless.

        Returns:
            Whether a load was marked as complete.
        """
        if not (self.loading and self.is_local_load and now >= self.done_at):
            return False
        self.models = {**self.models, self.loading: frozenset()}
        self.loaded_at[self.loading] = now
        self.loading = ""
        return True

    def record_sent(self, now: float, order: Order) -> None:
        """Record an order that is being sent."""
        self.order = order
        self.last_order_at = now

    def record_answer(
        self,
        now: float,
        order: Order,
        outcome: OrderOutcome,
        load_duration_s: float,
        *,
        idle: bool = False,
    ) -> None:
        """Record the answer to an order.

        Args:
            now: Monotonic time in seconds.
            order: The order.
            outcome: How the order ended.
            load_duration_s: Expected duration of the load in seconds.
            idle: Whether the model to unload has no running requests.
        """
        self.order = None
        self.last_order_at = now
        match outcome:
            case OrderOutcome.ACCEPTED:
                self.count += 1
                self.conflicts = 0
                self._apply(now, order, load_duration_s, idle=idle)
            case OrderOutcome.ALREADY_APPLIED if (
                order.adapter and order.action is Action.UNLOAD
            ):
                # An idle adapter is unloaded at once, and the server counts the order.
                self.count += 1
                self._apply(now, order, load_duration_s, idle=idle)
            case OrderOutcome.ALREADY_APPLIED:
                if order.adapter:
                    self._apply(now, order, load_duration_s, idle=idle)
                self._request_report(now)
            case OrderOutcome.CONFLICT if self.conflicts < MAX_QUICK_CONFLICTS:
                # Most likely the preceding unload is not complete yet.
                self.conflicts += 1
                self.hold_until = now + CONFLICT_BACKOFF_S
            case _:
                self.conflicts = 0
                self.hold_until = now + UNKNOWN_BACKOFF_S
                self._request_report(now + UNKNOWN_BACKOFF_S)

    def _request_report(self, at: float) -> None:
        self.needs_report = True
        self.report_due = at

    def _apply(
        self, now: float, order: Order, load_duration_s: float, *, idle: bool
    ) -> None:
        if order.adapter:
            held = self.models.get(order.model, frozenset())
            if order.action is Action.LOAD:
                held |= {order.adapter}
                self.loaded_at[order.resource] = now
            else:
                held -= {order.adapter}
            self.models = {**self.models, order.model: held}
            return
        self.done_at = now + load_duration_s
        self.is_local_load = not order.from_store
        self.report_due = self.done_at
        if order.action is Action.LOAD:
            self.loading = order.model
        elif idle:
            # An idle model is unloaded at once. A load that arrives before the unload
            # is complete is refused as a conflict and sent again.
            self.models = {
                name: held for name, held in self.models.items() if name != order.model
            }
            self.in_memory |= {order.model}
            self.hold_until = now + CONFLICT_BACKOFF_S / 2
        else:
            self.unloading = order.model

    def record_report(self, now: float, report: ServerReport) -> bool:
        """Record a server's report; return whether its resident models changed."""
        before = self.models
        restarted = report.started_ms != self.started_ms
        settled = now - self.last_order_at > MAX_REPORT_LAG_S and self.order is None
        self.in_memory = report.in_memory
        self.on_disk = report.on_disk
        if restarted:
            self.started_ms = report.started_ms
            self.loading = self.unloading = ""
        stale = report.count < self.count and not (restarted or settled)
        if stale:
            self.report_due = now + 0.1
            return False
        adapters_unsettled = (
            report.count == self.count and not settled and not restarted
        )
        self.count = report.count
        self._take_models(now, report, keep_adapters=adapters_unsettled)
        if report.busy:
            self.needs_report = True
            self.report_due = max(now + 0.1, min(self.done_at, now + 0.5))
        else:
            self.loading = self.unloading = ""
            self.needs_report = False
        return before != self.models

    def _take_models(
        self, now: float, report: ServerReport, *, keep_adapters: bool
    ) -> None:
        models = dict(report.models)
        if keep_adapters:
            for name in models.keys() & self.models.keys():
                models[name] |= self.models[name]
        for name in models.keys() - self.models.keys():
            self.loaded_at[name] = now
        self.models = models
