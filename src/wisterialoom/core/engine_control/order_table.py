"""The orders of one holder to one engine: ids, fences, and what is unanswered."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wisterialoom.core.engine import (
    Fence,
    LoadAdapter,
    LoadModel,
    Order,
    UnloadAdapter,
    UnloadModel,
)
from wisterialoom.core.ledger import JournalEntry

if TYPE_CHECKING:
    from wisterialoom.core.engine import Action, EngineState, ModelKey
    from wisterialoom.core.engine_control.lease import Holder

__all__ = ["Load", "OrderTable", "SentOrder", "key_of"]

Load = LoadModel | LoadAdapter
"""An order that takes memory."""


def key_of(action: Action) -> ModelKey | None:
    """Return the model or adapter that an action is about."""
    match action:
        case LoadModel(model=key) | UnloadModel(model=key):
            return key
        case LoadAdapter(adapter=key) | UnloadAdapter(adapter=key):
            return key
    return None


@dataclass(slots=True)
class SentOrder:
    """An order without an answer.

    Attributes:
        order: The order.
        sent_at: When it was sent.
        landed: A state showed that the engine has accepted it.
    """

    order: Order
    sent_at: float
    landed: bool = False


@dataclass(slots=True)
class OrderTable:
    """Makes orders with increasing fences and keeps them until answered.

    Attributes:
        server: Identifier of the backend server.
        me: Identity of this process.
        sequence: Count of ids and fences given out; never starts over.
        sent: Orders without an answer, by id.
        intended: A load that is journaled, or about to be, and not sent.
    """

    server: str
    me: Holder
    sequence: int = 0
    sent: dict[str, SentOrder] = field(default_factory=dict)
    intended: tuple[JournalEntry, Load] | None = None

    @property
    def idle(self) -> bool:
        """Nothing was ordered that has not been answered."""
        return not self.sent and self.intended is None

    @property
    def unlanded(self) -> list[SentOrder]:
        """Orders that the engine may not have accepted yet."""
        return [sent for sent in self.sent.values() if not sent.landed]

    @property
    def keys(self) -> set[ModelKey]:
        """Models and adapters of the orders without an answer."""
        keys = (key_of(sent.order.action) for sent in self.sent.values())
        return {key for key in keys if key is not None}

    def next_id(self, epoch: int) -> str:
        """Return an order id that was never given out."""
        self.sequence += 1
        me = self.me
        return f"{me.name}/{me.boot_id}/{self.server}/{epoch}.{self.sequence}"

    def intend(self, epoch: int, action: Load) -> JournalEntry:
        """Return the journal entry of a load that is to be sent."""
        entry = JournalEntry(
            order_id=self.next_id(epoch),
            key=str(key_of(action)),
            memory_mb=action.memory_mb,
            adapter=isinstance(action, LoadAdapter),
            holder=self.me.name,
            boot_id=self.me.boot_id,
            epoch=epoch,
        )
        self.intended = (entry, action)
        return entry

    def make(self, now: float, epoch: int, action: Action, order_id: str) -> Order:
        """Return an order that is sent now."""
        self.sequence += 1
        order = Order(order_id, Fence(epoch, self.sequence), action)
        self.sent[order_id] = SentOrder(order, now)
        return order

    def note_landed(self, state: EngineState) -> None:
        """Mark the loads that a state shows."""
        shown = {*state.loading, *state.models, *state.adapters}
        for sent in self.sent.values():
            action = sent.order.action
            if isinstance(action, Load) and key_of(action) in shown:
                sent.landed = True
