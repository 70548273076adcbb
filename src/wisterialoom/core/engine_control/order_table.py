"""Orders of one lease holder to one engine: ids, fences, and pending answers."""

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

__all__ = ["LoadAction", "OrderTable", "SentOrder", "key_of"]

LoadAction = LoadModel | LoadAdapter
"""An action that takes accelerator memory."""


def key_of(action: Action) -> ModelKey | None:
    """Return the model or adapter that an action concerns, if any."""
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
        accepted: A state of the engine showed that it has accepted the order.
    """

    order: Order
    sent_at: float
    accepted: bool = False


@dataclass(slots=True)
class OrderTable:
    """Makes orders with increasing fences and keeps them until answered.

    Attributes:
        server: Identifier of the backend server.
        me: Identity of this process.
        sequence: Count of ids and fences given out; never reset.
        sent: Orders without an answer, by id.
        prepared_load: A load that is in the journal, or about to be, but not sent.
    """

    server: str
    me: Holder
    sequence: int = 0
    sent: dict[str, SentOrder] = field(default_factory=dict)
    prepared_load: tuple[JournalEntry, LoadAction] | None = None

    @property
    def idle(self) -> bool:
        """Whether no order is prepared or waits for its answer."""
        return not self.sent and self.prepared_load is None

    @property
    def unaccepted(self) -> list[SentOrder]:
        """Unanswered orders that the engine is not known to have accepted."""
        return [sent for sent in self.sent.values() if not sent.accepted]

    @property
    def keys(self) -> set[ModelKey]:
        """Models and adapters that orders without an answer concern."""
        keys = (key_of(sent.order.action) for sent in self.sent.values())
        return {key for key in keys if key is not None}

    def next_id(self, epoch: int) -> str:
        """Return an order id that was never used before."""
        self.sequence += 1
        me = self.me
        return f"{me.name}/{me.boot_id}/{self.server}/{epoch}.{self.sequence}"

    def prepare_load(self, epoch: int, action: LoadAction) -> JournalEntry:
        """Prepare a load and return the journal entry to write before sending it."""
        entry = JournalEntry(
            order_id=self.next_id(epoch),
            key=str(key_of(action)),
            memory_mb=action.memory_mb,
            adapter=isinstance(action, LoadAdapter),
            holder=self.me.name,
            boot_id=self.me.boot_id,
            epoch=epoch,
        )
        self.prepared_load = (entry, action)
        return entry

    def make(self, now: float, epoch: int, action: Action, order_id: str) -> Order:
        """Return an order to be sent now, and register it as unanswered."""
        self.sequence += 1
        order = Order(order_id, Fence(epoch, self.sequence), action)
        self.sent[order_id] = SentOrder(order, now)
        return order

    def mark_accepted(self, state: EngineState) -> None:
        """Mark the loads that appear in a state of the engine as accepted."""
        shown = {*state.loading, *state.models, *state.adapters}
        for sent in self.sent.values():
            action = sent.order.action
            if isinstance(action, LoadAction) and key_of(action) in shown:
                sent.accepted = True
