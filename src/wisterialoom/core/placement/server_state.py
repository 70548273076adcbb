"""What the holder of the placement lease knows of one model server."""

from __future__ import annotations

from dataclasses import dataclass, field

from wisterialoom.core.placement.order import Action, Order, OrderOutcome

__all__ = ["ServerReport", "ServerState"]

SETTLE_S = 0.5
"""Age of the last order above which a report cannot be older than it; twice the lag."""

UNKNOWN_HOLD_S = 0.3
"""Pause after an order without an answer, until a report shows what became of it."""

QUICK_CONFLICTS = 3
"""Conflicts after which a report is read before the next order."""

QUICK_CONFLICT_S = 0.04
"""Pause after such a conflict; some round trips between zones."""


@dataclass(frozen=True, slots=True)
class ServerReport:
    """A server's own account, some hundred milliseconds old.

    Attributes:
        started_ms: Wall-clock time of its start.
        count: Orders accepted since its start.
        busy: A load or unload of a model is in progress.
        models: Adapters by resident model.
        at_hand: Models whose weights it has in memory or on disk.
    """

    started_ms: int
    count: int
    busy: bool
    models: dict[str, frozenset[str]]
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()


@dataclass
class ServerState:
    """One model server.

    Attributes:
        server_id: Its id.
        started_ms: Wall-clock time of its start.
        count: Orders that it has accepted, as far as known.
        models: Adapters by resident model; replaced at each change, as others keep
            what they were told.
        in_memory: Models whose weights are in its memory.
        on_disk: Models whose weights are on its disk.
        order: Order that was sent and has no answer yet.
        loading: Model that is being loaded; empty if none.
        unloading: Model that is being unloaded; empty if none.
        announced: Model whose unload is about to be ordered; empty if none.
        retiring: Models that get no new requests and are unloaded once they are idle.
        done_at: Expected end of the load or unload in progress.
        hold_until: No order is sent before this time.
        last_order_at: Monotonic time of the last order.
        needs_report: The state must be confirmed before the next order.
        loaded_at: Monotonic time at which each model or adapter was loaded.
        conflicts: Conflicts in a row.
        is_local_load: The load in progress comes from the server's memory or disk.
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

    @property
    def occupied(self) -> bool:
        """A load or unload of a model is in progress."""
        return bool(self.loading or self.unloading)

    @property
    def draining_models(self) -> frozenset[str]:
        """Models that get no new requests."""
        return self.retiring | ({self.unloading, self.announced} - {""})

    def may_order(self, now: float) -> bool:
        """Tell whether an order may be sent now."""
        return (
            self.order is None
            and not self.occupied
            and not self.needs_report
            and now >= self.hold_until
        )

    def settle(self, now: float) -> bool:
        """Take a short load as done when its time is over; tell whether it is.

        Requests and orders that come too early are refused without harm, while a
        report would tell some hundred milliseconds late.
        """
        if not (self.loading and self.is_local_load and now >= self.done_at):
            return False
        self.models = {**self.models, self.loading: frozenset()}
        self.loaded_at[self.loading] = now
        self.loading = ""
        return True

    def sent(self, now: float, order: Order) -> None:
        """Note an order that is being sent."""
        self.order = order
        self.last_order_at = now

    def answered(
        self,
        now: float,
        order: Order,
        outcome: OrderOutcome,
        load_duration_s: float,
        *,
        idle: bool = False,
    ) -> None:
        """Take the answer to an order.

        Args:
            now: Monotonic time in seconds.
            order: The order.
            outcome: How it ended.
            load_duration_s: Expected duration of a load.
            idle: The model that is unloaded has no requests.
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
                # An adapter without requests leaves at once, and the order counts.
                self.count += 1
                self._apply(now, order, load_duration_s, idle=idle)
            case OrderOutcome.ALREADY_APPLIED:
                if order.adapter:
                    self._apply(now, order, load_duration_s, idle=idle)
                self._ask(now)
            case OrderOutcome.CONFLICT if self.conflicts < QUICK_CONFLICTS:
                # Most likely the unload before is not over yet.
                self.conflicts += 1
                self.hold_until = now + QUICK_CONFLICT_S
            case _:
                self.conflicts = 0
                self.hold_until = now + UNKNOWN_HOLD_S
                self._ask(now + UNKNOWN_HOLD_S)

    def _ask(self, at: float) -> None:
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
            # It leaves at once; a load that comes too early is refused as a conflict.
            self.models = {
                name: held for name, held in self.models.items() if name != order.model
            }
            self.in_memory |= {order.model}
            self.hold_until = now + QUICK_CONFLICT_S / 2
        else:
            self.unloading = order.model

    def take_report(self, now: float, report: ServerReport) -> bool:
        """Take a server's report; tell whether its models have changed."""
        before = self.models
        reborn = report.started_ms != self.started_ms
        settled = now - self.last_order_at > SETTLE_S and self.order is None
        self.in_memory = report.in_memory
        self.on_disk = report.on_disk
        if reborn:
            self.started_ms = report.started_ms
            self.loading = self.unloading = ""
        stale = report.count < self.count and not (reborn or settled)
        if stale:
            self.report_due = now + 0.1
            return False
        adapters_unsettled = report.count == self.count and not settled and not reborn
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
