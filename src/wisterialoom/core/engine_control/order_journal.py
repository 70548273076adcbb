"""Journal of the loads that may still take effect on one engine."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from wisterialoom.core.engine import ModelKey

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisterialoom.core.engine_control.lease import Holder
    from wisterialoom.core.ledger import JournalEntry

__all__ = ["OrderJournal", "PossibleLoad"]


@dataclass(slots=True)
class PossibleLoad:
    """A load whose memory is counted whether or not it takes effect.

    Attributes:
        entry: Entry of the load in the ledger.
        closed_at: When its connection was first known to be closed; `None` while
            the order may still be sent or be in progress.
    """

    entry: JournalEntry
    closed_at: float | None = None

    @property
    def key(self) -> ModelKey:
        """The model or adapter that is loaded."""
        return ModelKey.parse(self.entry.key)


class OrderJournal:
    """Loads by this or former lease holders that may still take effect on an engine.

    Attributes:
        me: Identity of this process.
        loads: Possible loads by order id.
    """

    def __init__(self, me: Holder) -> None:
        self.me = me
        self.loads: dict[str, PossibleLoad] = {}

    def add(self, entry: JournalEntry) -> None:
        """Add a load that has not been sent yet, so that it is counted."""
        self.loads[entry.order_id] = PossibleLoad(entry)

    def close(self, order_id: str, now: float) -> None:
        """Record that an order's connection has closed."""
        load = self.loads.get(order_id)
        if load is not None and load.closed_at is None:
            load.closed_at = now

    def forget(self, order_id: str) -> None:
        """Remove a load that was not sent and never will be."""
        self.loads.pop(order_id, None)

    def adopt(self, entries: Iterable[JournalEntry], now: float) -> None:
        """Add the loads that former holders may have ordered, as the ledger lists them.

        Loads of other processes that the ledger no longer lists are removed: a later
        holder has proved that they can no longer take effect. An entry of an
        earlier process of this instance counts as closed now.
        """
        entries = tuple(entries)
        named = {entry.order_id for entry in entries}
        for order_id, load in list(self.loads.items()):
            if order_id not in named and not self.is_own(load.entry):
                del self.loads[order_id]
        for entry in entries:
            if entry.order_id in self.loads:
                continue
            earlier_process = entry.holder == self.me.name
            closed_at = now if entry.closed or earlier_process else None
            self.loads[entry.order_id] = PossibleLoad(entry, closed_at=closed_at)

    def open_holders(self) -> dict[Holder, int]:
        """Return former holders with open loads, and the highest epoch of those."""
        found: dict[Holder, int] = {}
        for load in self.loads.values():
            entry = load.entry
            if load.closed_at is not None or self.is_own(entry):
                continue
            holder = replace(self.me, name=entry.holder, boot_id=entry.boot_id)
            found[holder] = max(entry.epoch, found.get(holder, 0))
        return found

    def is_own(self, entry: JournalEntry) -> bool:
        """Return whether this process wrote an entry."""
        return (entry.holder, entry.boot_id) == (self.me.name, self.me.boot_id)

    def close_holder(self, name: str, epoch: int, now: float) -> None:
        """Record that a former holder released its epochs up to the given one."""
        for load in self.loads.values():
            entry = load.entry
            former = entry.holder == name and not self.is_own(entry)
            if former and entry.epoch <= epoch and load.closed_at is None:
                load.closed_at = now

    def has_open(self, epoch: int) -> bool:
        """Return whether this process has open loads of epochs up to the given one."""
        return any(
            load.closed_at is None
            and self.is_own(load.entry)
            and load.entry.epoch <= epoch
            for load in self.loads.values()
        )

    def settle(self, sampled_after: float, lifetime_s: float) -> None:
        """Remove the loads that can no longer take effect, given a newer state.

        Args:
            sampled_after: The state was sampled after this moment.
            lifetime_s: How long an order may still take effect after its connection
                closed. It is 0 on engines that check fencing numbers: there, each
                load is sent after an answered order, which voided all earlier ones.
        """
        for order_id, load in list(self.loads.items()):
            closed_at = load.closed_at
            if closed_at is not None and closed_at + lifetime_s <= sampled_after:
                del self.loads[order_id]

    def entries(self) -> tuple[JournalEntry, ...]:
        """Return the entries to write to the ledger."""
        return tuple(
            replace(load.entry, closed=True)
            if load.closed_at is not None
            else load.entry
            for load in self.loads.values()
        )
