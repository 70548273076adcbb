"""Controller of one engine: holds its lease and sends its load and unload orders."""

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
    from wisterialoom.core.engine_control.order_table import LoadAction, SentOrder
    from wisterialoom.core.message import Event, Output
    from wisterialoom.core.notice import BackendServer
    from wisterialoom.core.object_store import OperationIds

__all__ = ["EngineController"]

STATE_INTERVAL_S = 1.0
"""Time between two reads of an engine's state, in seconds."""

ACCEPT_WAIT_S = 1.5
"""Time for which an unaccepted order holds back state reads, in seconds.

An order that still has no answer by then is looked for in the engine's state.
"""

DRAIN_NOTICE_S = 2.0
"""Time between announcing a model as draining and unloading it, in seconds."""

FAILED_READS_LIMIT = 3
"""Consecutive failed reads after which an engine counts as unreachable."""

NEVER = float("-inf")


@dataclass(slots=True)
class EngineController:
    """Controls one engine while this process holds its lease.

    The memory of a load is counted from before the order is sent until the order
    can no longer take effect. To that end, each load is written to the journal in
    the ledger before it is sent. On engines that check fencing numbers, the answer
    to a later order proves that earlier orders are void, so that each load is sent
    right after such an answer. On other engines, an order is void once its lifetime
    has passed since its connection closed.

    Attributes:
        server: The backend server.
        group: Its server group.
        me: Identity of this process.
        lease: The lease and the ledger.
        journal: Loads that may still take effect.
        report: Turns states of the engine into load reports.
        target: What the engine should hold; `None` before the first plan.
        confirmed_state: Newest confirmed state of the engine.
        orders: Orders without an answer.
        handover: Decides when to hand the lease over to a preferred instance.
        backoffs: Waits after orders that were refused or lost.
        last_planned: When each model or adapter was last part of the plan.
        lease_unverified: There are signs of another holder; no order is sent until
            the ledger has been read again.
        draining: When each model or adapter announced as draining may be unloaded.
        read_sent_at: When the state read that is in progress was sent; `None` if
            there is none.
        failed_reads: Consecutive state reads that failed.
        read_due: When to read the engine's state next.
        paused_until: No order is sent before this moment, after one was lost or
            refused for its fencing number.
        releasing: The lease is being released; no more orders are sent.
        stopping: The instance is stopping; the lease is not taken any more.
        is_listed: The platform lists this instance, so that other instances can
            tell when it has ended. Without that, engines that do not check fencing
            numbers are sent no orders.
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
    last_planned: dict[ModelKey, float] = field(default_factory=dict)
    draining: dict[ModelKey, float] = field(default_factory=dict)
    lease_unverified: bool = False
    read_sent_at: float | None = None
    failed_reads: int = 0
    read_due: float = NEVER
    paused_until: float = NEVER
    releasing: bool = False
    stopping: bool = False
    is_listed: bool = False

    @classmethod
    def from_group(
        cls,
        server: BackendServer,
        group: ServerGroup,
        me: Holder,
        ids: OperationIds,
        lease_s: float,
    ) -> EngineController:
        """Build a controller for a backend server of a server group."""
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
        """How long an order may still take effect after its connection closed."""
        return 0.0 if self.group.checks_fencing else self.group.order_lifetime_s

    @property
    def is_done(self) -> bool:
        """Whether this object holds no lease and has no operation in progress."""
        return not self.lease.holding and not self.lease.op and self.orders.idle

    def set_target(self, now: float, target: Target) -> None:
        """Follow a newer plan."""
        self.target = target
        for key in (*target.models, *target.adapters):
            self.last_planned[key] = now

    def may_order(self, now: float) -> bool:
        """Return whether this process may send orders now.

        On engines that check fencing numbers, the last holder may continue while
        the object API is down. Another instance can take over only by a conditional
        update, and then raises the fence, so that the engine refuses older orders.
        """
        if self.lease_unverified or self.releasing or not self.lease.holding:
            return False
        if now < self.paused_until:
            return False
        if self.lease.is_valid(now):
            return self.group.checks_fencing or self.is_listed
        return self.group.checks_fencing and self._may_order_without_lease()

    def _may_order_without_lease(self) -> bool:
        """Return whether an outage alone keeps the lease from being renewed.

        A renewal sent since the lease expired, and since this process last paused,
        must have failed. The engine must not have restarted since its state was
        confirmed under a valid lease: a restarted engine no longer knows the
        fencing number that a takeover raised.
        """
        since = max(self.confirmed_state.resumed_at, self.lease.valid_until)
        return (
            self.lease.failed_sent_at >= since
            and self.confirmed_state.is_same_incarnation
        )

    def handle(self, now: float, event: Event) -> list[Output]:
        """Handle an answer of the engine or of the object API."""
        self.confirmed_state.detect_pause(now)
        match event:
            case ObjectEvent():
                self._handle_lease_change(now, self.lease.handle(now, event))
            case StateRead(state=state):
                self._handle_state(now, state)
            case StateUnavailable():
                self.read_sent_at = None
                self.failed_reads += 1
            case OrderDone(order_id=order_id, state=state):
                self._handle_done(now, order_id, state)
            case OrderRefused(order_id=order_id, reason=reason, state=reported):
                self._handle_refusal(now, order_id, reason, reported)
            case OrderLost(order_id=order_id):
                self._handle_loss(now, order_id)
            case OrderNotSent(order_id=order_id):
                self.orders.sent.pop(order_id, None)
                self.journal.forget(order_id)
        return self.step(now)

    # Answers.

    def _handle_lease_change(self, now: float, change: LeaseChange) -> None:
        match change:
            case LeaseChange.TAKEN:
                self._begin_holding(now)
            case LeaseChange.LOST | LeaseChange.RELEASED:
                self.end_holding(now)
        if change is not LeaseChange.NONE:
            self.lease_unverified = False

    def _begin_holding(self, now: float) -> None:
        self.confirmed_state.reset(now)
        self.read_due = now
        if self.lease.ledger is not None:
            self.journal.adopt(self.lease.ledger.entries, now)

    def end_holding(self, now: float) -> None:
        """Stop sending orders; loads that were sent stay in the journal."""
        self.lease.drop()
        self.confirmed_state.reset(now)
        self.releasing = False
        self.draining.clear()
        self._cancel_prepared_load()

    def _cancel_prepared_load(self) -> None:
        if self.orders.prepared_load is not None:
            self.journal.forget(self.orders.prepared_load[0].order_id)
            self.orders.prepared_load = None

    def _handle_state(self, now: float, state: EngineState) -> None:
        sent_at, self.read_sent_at = self.read_sent_at, None
        self.failed_reads = 0
        if sent_at is None or not self.confirmed_state.accepts(sent_at):
            self.read_due = now
            return
        if state.fence is not None and state.fence.epoch > self.lease.epoch:
            self._recheck_lease(now)
        self.confirmed_state.adopt_read(now, state)
        self.orders.mark_accepted(state)
        self._settle(state, sent_at)

    def _close(self, now: float, order_id: str) -> SentOrder | None:
        self.journal.close(order_id, now)
        return self.orders.sent.pop(order_id, None)

    def _handle_done(self, now: float, order_id: str, state: EngineState) -> None:
        sent = self._close(now, order_id)
        if sent is None:
            return
        key = key_of(sent.order.action)
        if key is not None:
            self.backoffs.clear(key)
        self._adopt_answer(now, sent, state)

    def _handle_refusal(
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
            self.confirmed_state.needs_order = True
            self.paused_until = now + RETRY_S
            if sent.order.fence.epoch == self.lease.epoch:
                self._recheck_lease(now)
        elif state is not None:
            self._adopt_answer(now, sent, state)
        else:
            self.read_due = now

    def _handle_loss(self, now: float, order_id: str) -> None:
        sent = self._close(now, order_id)
        if sent is None:
            return
        self._back_off(now, sent.order.action)
        self.confirmed_state.needs_order = True
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

    def _recheck_lease(self, now: float) -> None:
        self.lease_unverified = True
        self.lease.read_due = min(self.lease.read_due, now)

    def _back_off(self, now: float, action: Action) -> None:
        key = key_of(action)
        if key is not None:
            self.backoffs.add(key, now)

    # Lease.

    def tick(self, now: float, rank: int | None) -> list[Output]:
        """Read, take, renew or release the lease when due, and send due orders.

        Args:
            now: Monotonic time in seconds.
            rank: Rank of this instance for the server, 0 for the preferred one;
                `None` if it is not a candidate.
        """
        self.confirmed_state.detect_pause(now)
        if self.lease.holding:
            self._consider_release(now, rank)
            return self.step(now)
        if rank is None or self.stopping or self.lease.op:
            return []
        interval = self.lease.lease_s * (1 if rank else 0.25)
        if now >= min(self.lease.read_due, self.lease.sent_at + interval):
            return [self.lease.read(now)]
        if self.lease.may_take(now, rank):
            return [self.lease.take(now)]
        return []

    def bar_epochs(self, now: float, epoch: int) -> None:
        """Never send orders again under this epoch or an earlier one."""
        self.lease.bar_epochs(epoch)
        if not self.lease.holding:
            self.end_holding(now)

    def _consider_release(self, now: float, rank: int | None) -> None:
        if self.stopping:
            self.releasing = True
            return
        due = self.handover.is_due(now, rank, self.lease.lease_s)
        if due and self.orders.idle and not self.draining:
            self.handover.record(now)
            self.releasing = True

    # Decisions.

    def step(self, now: float) -> list[Output]:
        """Return what to do now; nothing unless this process holds the lease."""
        if not self.lease.holding:
            return []
        outputs: list[Output] = []
        outputs += self._send_next_order(now)
        outputs += self._keep_lease(now)
        outputs += self._read_state(now)
        unreachable = self.failed_reads >= FAILED_READS_LIMIT
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
        pending = self.orders.prepared_load is not None and not self._is_committed()
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
        if self.orders.prepared_load is None or self.lease.ledger is None:
            return False
        return self.orders.prepared_load[0] in self.lease.ledger.entries

    def _read_state(self, now: float) -> list[Output]:
        if self.read_sent_at is not None or now < self.read_due:
            return []
        if any(now - sent.sent_at < ACCEPT_WAIT_S for sent in self.orders.unaccepted):
            return []
        self.read_sent_at = now
        self.read_due = now + STATE_INTERVAL_S
        return [ReadState(self.server.name)]

    def _send_next_order(self, now: float) -> list[Output]:
        if not self.may_order(now):
            self._cancel_prepared_load()
            return []
        if self.orders.unaccepted:
            return []
        if self.group.checks_fencing and self.confirmed_state.needs_order:
            return [self._send(now, NoOperation())]
        state, target = self.confirmed_state.state, self.target
        if state is None or target is None or self.server.leaving:
            return []
        action = self._choose(now, state, target)
        self._cancel_superseded(action)
        match action:
            case UnloadModel(model=key) | UnloadAdapter(adapter=key):
                return self._unload(now, key, action)
            case LoadModel() | LoadAdapter():
                return self._load(now, action)
        return []

    def _choose(self, now: float, state: EngineState, target: Target) -> Action | None:
        prepared_load = self.orders.prepared_load
        others = [
            load
            for load in self.journal.loads.values()
            if prepared_load is None or load.entry is not prepared_load[0]
        ]
        account = MemoryAccount.from_state(
            state,
            others,
            memory_mb=self.group.memory_mb,
            adapter_pool_mb=self.group.adapter_pool_mb,
        )
        skip = frozenset(self.backoffs.waiting(now) | self.orders.keys)
        return choose_order(
            target, state, account, skip=skip, last_planned=self.last_planned
        )

    def _cancel_superseded(self, action: Action | None) -> None:
        if (
            self.orders.prepared_load is not None
            and self.orders.prepared_load[1] != action
        ):
            self._cancel_prepared_load()
        key = key_of(action) if action is not None else None
        for drained in [x for x in self.draining if x != key]:
            del self.draining[drained]

    def _unload(self, now: float, key: ModelKey, action: Action) -> list[Output]:
        due = self.draining.setdefault(key, now + DRAIN_NOTICE_S)
        return [self._send(now, action)] if now >= due else []

    def _load(self, now: float, action: LoadAction) -> list[Output]:
        if self.orders.prepared_load is None:
            self.journal.add(self.orders.prepare_load(self.lease.epoch, action))
        if self.lease.is_valid(now) and not self._is_committed():
            return []
        if self.group.checks_fencing and self.confirmed_state.confirmed_at != now:
            return [self._send(now, NoOperation())]
        assert self.orders.prepared_load is not None
        entry, self.orders.prepared_load = self.orders.prepared_load[0], None
        return [self._send(now, action, order_id=entry.order_id)]

    def _send(self, now: float, action: Action, order_id: str = "") -> SendOrder:
        epoch = self.lease.epoch
        order_id = order_id or self.orders.next_id(epoch)
        order = self.orders.make(now, epoch, action, order_id)
        valid_until = self.lease.valid_until
        if self.group.checks_fencing:
            valid_until = now + self.lease.lease_s
        return SendOrder(self.server.name, order, valid_until)
