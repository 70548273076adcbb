"""The steward of one engine: it holds the lease and gives the orders."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wisterialoom.core.engine import (
    LoadAdapter,
    LoadModel,
    NoOperation,
    OrderDone,
    OrderLost,
    OrderNotSent,
    OrderRefusal,
    OrderRefused,
    ReadState,
    SendOrder,
    StateRead,
    StateUnavailable,
    UnloadAdapter,
    UnloadModel,
)
from wisterialoom.core.engine_control.confirmed_state import ConfirmedState
from wisterialoom.core.engine_control.handover import Handover
from wisterialoom.core.engine_control.lease import Lease, LeaseChange
from wisterialoom.core.engine_control.memory_account import MemoryAccount
from wisterialoom.core.engine_control.order_backoff import Backoffs, RETRY_S
from wisterialoom.core.engine_control.order_choice import choose_order, Target
from wisterialoom.core.engine_control.order_journal import OrderJournal
from wisterialoom.core.engine_control.order_table import key_of, OrderTable
from wisterialoom.core.engine_control.state_report import StateReport
from wisterialoom.core.object_store import ObjectEvent

if TYPE_CHECKING:
    from wisterialoom.core.configuration.document import ServerGroup
    from wisterialoom.core.engine import Action, EngineState, ModelKey
    from wisterialoom.core.engine_control.lease import Holder
    from wisterialoom.core.engine_control.order_table import Load, SentOrder
    from wisterialoom.core.message import Event, Output
    from wisterialoom.core.notice import BackendServer
    from wisterialoom.core.object_store import OperationIds

__all__ = ["EngineController"]

STATE_INTERVAL_S = 1.0
"""Time between two reads of an engine's state, in seconds."""

LANDING_S = 1.5
"""An order without an answer for this long is looked for in the state."""

DRAIN_NOTICE_S = 2.0
"""A model is announced as draining this long before it is unloaded."""

UNREACHABLE_READS = 3
"""Reads in a row without an answer after which an engine counts as unreachable."""

NEVER = float("-inf")


@dataclass(slots=True)
class EngineController:
    """Steers one engine while this process holds its lease.

    An order's memory counts from before it is sent until it is proved that it
    can no longer take effect: a journal entry in the ledger comes before each
    load. On engines that check fencing the proof is the answer to a later order,
    and each load follows on one; on others it is time after the connection has
    closed.

    Attributes:
        server: The backend server.
        group: Its server group.
        me: Identity of this process.
        lease: The lease and the ledger.
        journal: Loads that may still happen.
        target: What the engine should hold; `None` before the first plan.
        confirmed_state: What is proved of the engine's state.
        orders: Orders without an answer.
        verify: Another holder was seen; read the ledger before going on.
        draining: When each announced model or adapter may be unloaded.
        paused_until: No order before this moment, after one went wrong.
        releasing: The lease is being given up; no more orders.
        stopping: The instance is stopping; the lease is not taken any more.
        may_journal: The platform lists this instance, so that others can tell
            when it is gone; without that no order to engines that do not check.
    """

    server: BackendServer
    group: ServerGroup
    me: Holder
    lease: Lease
    journal: OrderJournal
    report: StateReport
    orders: OrderTable
    confirmed_state: ConfirmedState = field(default_factory=ConfirmedState)
    handover: Handover = field(default_factory=Handover)
    backoffs: Backoffs = field(default_factory=Backoffs)
    target: Target | None = None
    last_wanted: dict[ModelKey, float] = field(default_factory=dict)
    draining: dict[ModelKey, float] = field(default_factory=dict)
    verify: bool = False
    read_asked_at: float | None = None
    silent_reads: int = 0
    read_due: float = NEVER
    paused_until: float = NEVER
    releasing: bool = False
    stopping: bool = False
    may_journal: bool = False

    @classmethod
    def from_group(
        cls,
        server: BackendServer,
        group: ServerGroup,
        me: Holder,
        ids: OperationIds,
        lease_s: float,
    ) -> EngineController:
        """Build for a backend server of a server group."""
        return cls(
            server=server,
            group=group,
            me=me,
            lease=Lease(server.name, me, ids, lease_s),
            journal=OrderJournal(me),
            report=StateReport(server.name, me.name),
            orders=OrderTable(server.name, me),
        )

    @property
    def lifetime_s(self) -> float:
        """How long after its connection closed an order may take effect."""
        return 0.0 if self.group.checks_fencing else self.group.order_lifetime_s

    @property
    def is_done(self) -> bool:
        """Nothing is held or under way that would be lost with this object."""
        return not self.lease.holding and not self.lease.op and self.orders.idle

    def set_target(self, now: float, target: Target) -> None:
        """Take a newer plan."""
        self.target = target
        for key in (*target.models, *target.adapters):
            self.last_wanted[key] = now

    def may_order(self, now: float) -> bool:
        """Tell whether this process may give orders now.

        On engines that check fencing the last holder may go on when the object
        API is down: a takeover needs a conditional update and raises the fence.
        """
        if self.verify or self.releasing or not self.lease.holding:
            return False
        if now < self.paused_until:
            return False
        if self.lease.is_valid(now):
            return self.group.checks_fencing or self.may_journal
        return self.group.checks_fencing and self._may_go_on_alone()

    def _may_go_on_alone(self) -> bool:
        """Tell whether only an outage keeps the lease from being renewed.

        An attempt to renew must have failed since this process last paused, and
        the engine must not have started anew since the lease ran out: a new
        incarnation has forgotten the fence that a takeover raised.
        """
        since = max(self.confirmed_state.woke_at, self.lease.valid_until)
        return self.lease.failed_sent_at >= since and self.confirmed_state.is_trusted

    def handle(self, now: float, event: Event) -> list[Output]:
        """Take an answer from the engine or the object API."""
        self.confirmed_state.note_time(now)
        match event:
            case ObjectEvent():
                self._take_lease_change(now, self.lease.handle(now, event))
            case StateRead(state=state):
                self._take_read(now, state)
            case StateUnavailable():
                self.read_asked_at = None
                self.silent_reads += 1
            case OrderDone(order_id=order_id, state=state):
                self._take_answer(now, order_id, state)
            case OrderRefused(order_id=order_id, reason=reason, state=told):
                self._take_refusal(now, order_id, reason, told)
            case OrderLost(order_id=order_id):
                self._take_loss(now, order_id)
            case OrderNotSent(order_id=order_id):
                self.orders.sent.pop(order_id, None)
                self.journal.forget(order_id)
        return self.step(now)

    # Answers.

    def _take_lease_change(self, now: float, change: LeaseChange) -> None:
        match change:
            case LeaseChange.TAKEN:
                self._begin_holding(now)
            case LeaseChange.LOST | LeaseChange.RELEASED:
                self.end_holding(now)
        if change is not LeaseChange.NONE:
            self.verify = False

    def _begin_holding(self, now: float) -> None:
        self.confirmed_state.start_over(now)
        self.read_due = now
        if self.lease.ledger is not None:
            self.journal.adopt(self.lease.ledger.entries, now)

    def end_holding(self, now: float) -> None:
        """Stop ordering; what is under way stays in the journal."""
        self.lease.drop()
        self.confirmed_state.start_over(now)
        self.releasing = False
        self.draining.clear()
        self._drop_intended()

    def _drop_intended(self) -> None:
        if self.orders.intended is not None:
            self.journal.forget(self.orders.intended[0].order_id)
            self.orders.intended = None

    def _take_read(self, now: float, state: EngineState) -> None:
        asked_at, self.read_asked_at = self.read_asked_at, None
        self.silent_reads = 0
        if asked_at is None or not self.confirmed_state.accepts(asked_at):
            self.read_due = now
            return
        if state.fence is not None and state.fence.epoch > self.lease.epoch:
            self._doubt_lease(now)
        self.confirmed_state.adopt_read(now, state)
        self.orders.note_landed(state)
        self._settle(state, asked_at)

    def _close(self, now: float, order_id: str) -> SentOrder | None:
        self.journal.close(order_id, now)
        return self.orders.sent.pop(order_id, None)

    def _take_answer(self, now: float, order_id: str, state: EngineState) -> None:
        sent = self._close(now, order_id)
        if sent is None:
            return
        key = key_of(sent.order.action)
        if key is not None:
            self.backoffs.clear(key)
        self._adopt_answer(now, sent, state)

    def _take_refusal(
        self,
        now: float,
        order_id: str,
        reason: OrderRefusal,
        state: EngineState | None,
    ) -> None:
        sent = self._close(now, order_id)
        if sent is None:
            return
        self._back_off(now, sent.order.action)
        if reason is OrderRefusal.STALE_FENCE:
            self.confirmed_state.needed = True
            self.paused_until = now + RETRY_S
            if sent.order.fence.epoch == self.lease.epoch:
                self._doubt_lease(now)
        elif state is not None:
            self._adopt_answer(now, sent, state)
        else:
            self.read_due = now

    def _take_loss(self, now: float, order_id: str) -> None:
        sent = self._close(now, order_id)
        if sent is None:
            return
        self._back_off(now, sent.order.action)
        self.confirmed_state.needed = True
        self.paused_until = now + RETRY_S
        self.read_due = now

    def _adopt_answer(self, now: float, sent: SentOrder, state: EngineState) -> None:
        if not self.lease.holding or sent.order.fence.epoch != self.lease.epoch:
            return
        if not self.confirmed_state.accepts(sent.sent_at):
            self.read_due = now
            return
        self.confirmed_state.adopt_answer(now, state, leased=self.lease.is_valid(now))
        self._settle(state, sent.sent_at)

    def _settle(self, state: EngineState, sampled_after: float) -> None:
        self.journal.settle(sampled_after, self.lifetime_s)
        held = {*state.models, *state.adapters}
        for key in [x for x in self.draining if x not in held]:
            del self.draining[key]

    def _doubt_lease(self, now: float) -> None:
        self.verify = True
        self.lease.read_due = min(self.lease.read_due, now)

    def _back_off(self, now: float, action: Action) -> None:
        key = key_of(action)
        if key is not None:
            self.backoffs.add(key, now)

    # Lease.

    def tick(self, now: float, place: int | None) -> list[Output]:
        """Let time pass.

        Args:
            now: Monotonic time in seconds.
            place: Rank of this instance for the server, 0 first; `None` if it
                is not a candidate.
        """
        self.confirmed_state.note_time(now)
        if self.lease.holding:
            self._consider_release(now, place)
            return self.step(now)
        if place is None or self.stopping or self.lease.op:
            return []
        interval = self.lease.lease_s * (1 if place else 0.25)
        if now >= min(self.lease.read_due, self.lease.sent_at + interval):
            return [self.lease.read(now)]
        if self.lease.is_open(now, place):
            return [self.lease.take(now)]
        return []

    def let_go(self, now: float, epoch: int) -> None:
        """Never order again under epochs up to this one."""
        self.lease.bar(epoch)
        if not self.lease.holding:
            self.end_holding(now)

    def _consider_release(self, now: float, place: int | None) -> None:
        if self.stopping:
            self.releasing = True
            return
        due = self.handover.is_due(now, place, self.lease.lease_s)
        if due and self.orders.idle and not self.draining:
            self.handover.note(now)
            self.releasing = True

    # Decisions.

    def step(self, now: float) -> list[Output]:
        """Return what should be done now, if this process holds the lease."""
        if not self.lease.holding:
            return []
        outputs: list[Output] = []
        outputs += self._give_orders(now)
        outputs += self._keep_lease(now)
        outputs += self._read_state(now)
        unreachable = self.silent_reads >= UNREACHABLE_READS
        outputs += self.report.make(
            self.confirmed_state.state,
            self.draining,
            self.lease.epoch,
            unreachable=unreachable,
        )
        return outputs

    def _keep_lease(self, now: float) -> list[Output]:
        if self.lease.op:
            return []
        if now >= self.lease.read_due:
            return [self.lease.read(now)]
        if self.lease.read_due != float("inf"):
            return []
        if self.releasing and self.orders.idle:
            return [self._write_ledger(now, release=True)]
        pending = self.orders.intended is not None and not self._is_committed()
        if pending or now >= self.lease.renewed_at + self.lease.lease_s / 3:
            return [self._write_ledger(now, release=False)]
        return []

    def _write_ledger(self, now: float, *, release: bool) -> Output:
        entries, resident = self.journal.entries(), self._resident()
        return self.lease.renew(now, entries, resident, release=release)

    def _resident(self) -> tuple[str, ...]:
        state = self.confirmed_state.state
        return tuple(sorted(map(str, state.models))) if state else ()

    def _is_committed(self) -> bool:
        if self.orders.intended is None or self.lease.ledger is None:
            return False
        return self.orders.intended[0] in self.lease.ledger.entries

    def _read_state(self, now: float) -> list[Output]:
        if self.read_asked_at is not None or now < self.read_due:
            return []
        if any(now - sent.sent_at < LANDING_S for sent in self.orders.unlanded):
            return []
        self.read_asked_at = now
        self.read_due = now + STATE_INTERVAL_S
        return [ReadState(self.server.name)]

    def _give_orders(self, now: float) -> list[Output]:
        if not self.may_order(now):
            self._drop_intended()
            return []
        if self.orders.unlanded:
            return []
        if self.group.checks_fencing and self.confirmed_state.needed:
            return [self._send(now, NoOperation())]
        state, target = self.confirmed_state.state, self.target
        if state is None or target is None or self.server.leaving:
            return []
        action = self._choose(now, state, target)
        self._forget_changed_mind(action)
        match action:
            case UnloadModel(model=key) | UnloadAdapter(adapter=key):
                return self._unload(now, key, action)
            case LoadModel() | LoadAdapter():
                return self._load(now, action)
        return []

    def _choose(self, now: float, state: EngineState, target: Target) -> Action | None:
        intended = self.orders.intended
        others = [
            load
            for load in self.journal.loads.values()
            if intended is None or load.entry is not intended[0]
        ]
        account = MemoryAccount.from_state(
            state,
            others,
            memory_mb=self.group.memory_mb,
            adapter_pool_mb=self.group.adapter_pool_mb,
        )
        skip = frozenset(self.backoffs.waiting(now) | self.orders.keys)
        return choose_order(
            target, state, account, skip=skip, last_wanted=self.last_wanted
        )

    def _forget_changed_mind(self, action: Action | None) -> None:
        if self.orders.intended is not None and self.orders.intended[1] != action:
            self._drop_intended()
        key = key_of(action) if action is not None else None
        for drained in [x for x in self.draining if x != key]:
            del self.draining[drained]

    def _unload(self, now: float, key: ModelKey, action: Action) -> list[Output]:
        due = self.draining.setdefault(key, now + DRAIN_NOTICE_S)
        return [self._send(now, action)] if now >= due else []

    def _load(self, now: float, action: Load) -> list[Output]:
        if self.orders.intended is None:
            self.journal.add(self.orders.intend(self.lease.epoch, action))
        if self.lease.is_valid(now) and not self._is_committed():
            return []
        if self.group.checks_fencing and self.confirmed_state.proved_at != now:
            return [self._send(now, NoOperation())]
        assert self.orders.intended is not None
        entry, self.orders.intended = self.orders.intended[0], None
        return [self._send(now, action, order_id=entry.order_id)]

    def _send(self, now: float, action: Action, order_id: str = "") -> SendOrder:
        epoch = self.lease.epoch
        order_id = order_id or self.orders.next_id(epoch)
        order = self.orders.make(now, epoch, action, order_id)
        valid_until = self.lease.valid_until
        if self.group.checks_fencing:
            valid_until = now + self.lease.lease_s
        return SendOrder(self.server.name, order, valid_until)
