"""Loads that may still take effect on one engine, however late."""

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
    """A load whose memory is counted although it may not be resident.

    Attributes:
        entry: What the ledger says of it.
        closed_at: When its connection was known to be closed; `None` while it
            may still be sent, or be on its connection.
    """

    entry: JournalEntry
    closed_at: float | None = None

    @property
    def key(self) -> ModelKey:
        """The model or adapter."""
        return ModelKey.parse(self.entry.key)


class OrderJournal:
    """Possible loads of one engine, this holder's and former holders'.

    Attributes:
        me: Identity of this process.
        loads: Possible loads by order id.
    """

    def __init__(self, me: Holder) -> None:
        self.me = me
        self.loads: dict[str, PossibleLoad] = {}

    def add(self, entry: JournalEntry) -> None:
        """Count a load from now on; it has not been sent yet."""
        self.loads[entry.order_id] = PossibleLoad(entry)

    def close(self, order_id: str, now: float) -> None:
        """Note that an order's connection has closed."""
        load = self.loads.get(order_id)
        if load is not None and load.closed_at is None:
            load.closed_at = now

    def forget(self, order_id: str) -> None:
        """Drop a load that was never sent and never will be."""
        self.loads.pop(order_id, None)

    def adopt(self, entries: Iterable[JournalEntry], now: float) -> None:
        """Count what a ledger says that former holders may have ordered.

        What others ordered and the ledger no longer names was proved over.
        """
        entries = tuple(entries)
        named = {entry.order_id for entry in entries}
        for order_id, load in list(self.loads.items()):
            if order_id not in named and not self.is_own(load.entry):
                del self.loads[order_id]
        for entry in entries:
            if entry.order_id in self.loads:
                continue
            predecessor = entry.holder == self.me.name
            closed_at = now if entry.closed or predecessor else None
            self.loads[entry.order_id] = PossibleLoad(entry, closed_at=closed_at)

    def open_holders(self) -> dict[Holder, int]:
        """Return former holders with open loads, and the highest epoch."""
        found: dict[Holder, int] = {}
        for load in self.loads.values():
            entry = load.entry
            if load.closed_at is not None or self.is_own(entry):
                continue
            holder = replace(self.me, name=entry.holder, boot_id=entry.boot_id)
            found[holder] = max(entry.epoch, found.get(holder, 0))
        return found

    def is_own(self, entry: JournalEntry) -> bool:
        """Tell whether this process made an entry."""
        return (entry.holder, entry.boot_id) == (self.me.name, self.me.boot_id)

    def close_holder(self, name: str, epoch: int, now: float) -> None:
        """Note that a former holder let go of its epochs up to one."""
        for load in self.loads.values():
            entry = load.entry
            former = entry.holder == name and not self.is_own(entry)
            if former and entry.epoch <= epoch and load.closed_at is None:
                load.closed_at = now

    def has_open(self, epoch: int) -> bool:
        """Tell whether this process has open orders of epochs up to one."""
        return any(
            load.closed_at is None
            and self.is_own(load.entry)
            and load.entry.epoch <= epoch
            for load in self.loads.values()
        )

    def settle(self, sampled_after: float, lifetime_s: float) -> None:
        """Drop the loads that an engine's state proves to be over.

        Args:
            sampled_after: The state was taken after this moment.
            lifetime_s: How long after its connection closed an order may still
                take effect; 0 on engines that check fencing, where each load
                follows on an answered order, which made all earlier ones void.
        """
        for order_id, load in list(self.loads.items()):
            closed_at = load.closed_at
            if closed_at is not None and closed_at + lifetime_s <= sampled_after:
                del self.loads[order_id]

    def entries(self) -> tuple[JournalEntry, ...]:
        """Return what the ledger has to keep."""
        return tuple(
            replace(load.entry, closed=True)
            if load.closed_at is not None
            else load.entry
            for load in self.loads.values()
        )
