"""The steward of one engine: it holds the lease and gives the orders."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wisterialoom.core.engine import (
    Fence,
    LoadAdapter,
    LoadModel,
    NoOperation,
    Order,
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
from wisterialoom.core.lease import Lease, LeaseChange
from wisterialoom.core.ledger import JournalEntry
from wisterialoom.core.memory_account import MemoryAccount
from wisterialoom.core.object_store import ObjectEvent
from wisterialoom.core.order_journal import OrderJournal
from wisterialoom.core.steward_choice import choose, Target
from wisterialoom.core.steward_report import StateReport

if TYPE_CHECKING:
    from wisterialoom.core.document import ServerGroup
    from wisterialoom.core.engine import Action, EngineState, ModelKey
    from wisterialoom.core.lease import Holder
    from wisterialoom.core.message import Event, Output
    from wisterialoom.core.notice import BackendServer
    from wisterialoom.core.object_store import OperationIds

__all__ = ["Steward"]

STATE_INTERVAL_S = 1.0
"""Time between two reads of an engine's state, in seconds."""

LANDING_S = 1.5
"""An order without an answer for this long is looked for in the state."""

DRAIN_NOTICE_S = 2.0
"""A model is announced as draining this long before it is unloaded."""

RETRY_S = 0.5
"""First wait before a refused order is tried again, in seconds."""

RETRY_LIMIT_S = 30.0
"""Longest wait before a refused order is tried again, in seconds."""

UNREACHABLE_READS = 3
"""Reads in a row without an answer after which an engine counts as unreachable."""

PAUSE_S = 1.0
"""A gap between two events that counts as a pause of the process."""

HANDOVER_LEASES = 2.0
"""First wait before handing over to a preferred instance, in lease lengths."""

HANDOVER_LEASES_LIMIT = 32.0
"""Longest wait before handing over, in lease lengths."""

NEVER = float("-inf")


@dataclass(slots=True)
class _Sent:
    """An order without an answer."""

    order: Order
    sent_at: float
    landed: bool = False


@dataclass(slots=True)
class _Backoff:
    """When a refused key may be ordered again."""

    until: float = NEVER
    wait_s: float = RETRY_S


@dataclass(slots=True)
class Steward:
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
        state: Newest proved state; `None` if nothing is proved.
        sampled_floor: When that state arrived; older samples are dropped.
        proved_at: When an answered order last proved it, on checking engines.
        needs_proof: Something happened that only a newer order can settle.
        verify: Another holder was seen; read the ledger before going on.
        woke_at: When this process last woke from a pause.
        trusted_incarnation: The engine's, when last proved under a valid lease.
        sequence: Count of orders in this epoch.
        sent: Orders without an answer, by order id.
        intended: A load in the journal that has not been sent.
        draining: When each announced model or adapter may be unloaded.
        paused_until: No order before this moment, after one went wrong.
        releasing: The lease is being given up; no more orders.
        stopping: The instance is stopping; the lease is not taken any more.
        misplaced_at: Since when another instance ranks first.
        handover_leases: Wait before handing over to it, in lease lengths.
        may_journal: The platform lists this instance, so that others can tell
            when it is gone; without that no order to engines that do not check.
    """

    server: BackendServer
    group: ServerGroup
    me: Holder
    lease: Lease
    journal: OrderJournal
    report: StateReport
    target: Target | None = None
    last_wanted: dict[ModelKey, float] = field(default_factory=dict)
    state: EngineState | None = None
    sampled_floor: float = NEVER
    proved_at: float = NEVER
    needs_proof: bool = True
    verify: bool = False
    sequence: int = 0
    sent: dict[str, _Sent] = field(default_factory=dict)
    intended: tuple[JournalEntry, Action] | None = None
    draining: dict[ModelKey, float] = field(default_factory=dict)
    backoffs: dict[ModelKey, _Backoff] = field(default_factory=dict)
    read_asked_at: float | None = None
    silent_reads: int = 0
    read_due: float = NEVER
    last_event_at: float | None = None
    woke_at: float = NEVER
    trusted_incarnation: str = ""
    paused_until: float = NEVER
    releasing: bool = False
    stopping: bool = False
    misplaced_at: float | None = None
    handover_leases: float = HANDOVER_LEASES
    may_journal: bool = False

    @classmethod
    def from_group(
        cls,
        server: BackendServer,
        group: ServerGroup,
        me: Holder,
        ids: OperationIds,
        lease_s: float,
    ) -> Steward:
        """Build for a backend server of a server group."""
        return cls(
            server=server,
            group=group,
            me=me,
            lease=Lease(server.name, me, ids, lease_s),
            journal=OrderJournal(me),
            report=StateReport(server.name, me.name),
        )

    @property
    def lifetime_s(self) -> float:
        """How long after its connection closed an order may take effect."""
        return 0.0 if self.group.checks_fencing else self.group.order_lifetime_s

    @property
    def idle(self) -> bool:
        """Nothing was ordered that has not been answered."""
        return not self.sent and self.intended is None

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
        since = max(self.woke_at, self.lease.valid_until)
        return self.lease.failed_sent_at >= since and self.state_is_trusted

    @property
    def state_is_trusted(self) -> bool:
        """The incarnation was proved while the lease was valid."""
        state = self.state
        return state is not None and state.incarnation == self.trusted_incarnation

    def note_time(self, now: float) -> None:
        """Compare clocks: after a pause nothing is proved any more."""
        if self.last_event_at is not None and now - self.last_event_at > PAUSE_S:
            self.needs_proof = True
            self.sampled_floor = now
            self.woke_at = now
        self.last_event_at = now

    def handle(self, now: float, event: Event) -> list[Output]:
        """Take an answer from the engine or the object API."""
        self.note_time(now)
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
                self.sent.pop(order_id, None)
                self.journal.forget(order_id)
        return self.step(now)

    # Answers.

    def _take_lease_change(self, now: float, change: LeaseChange) -> None:
        match change:
            case LeaseChange.TAKEN:
                self._begin_holding(now)
            case LeaseChange.LOST | LeaseChange.RELEASED:
                self.end_holding()
        if change is not LeaseChange.NONE:
            self.verify = False

    def _begin_holding(self, now: float) -> None:
        self.sequence = 0
        self.state = None
        self.needs_proof = True
        self.sampled_floor = now
        self.read_due = now
        if self.lease.ledger is not None:
            self.journal.adopt(self.lease.ledger.entries, now)

    def end_holding(self) -> None:
        """Stop ordering; what is under way stays in the journal."""
        self.lease.drop()
        self.state = None
        self.releasing = False
        self.draining.clear()
        self._drop_intended()

    def _drop_intended(self) -> None:
        if self.intended is not None:
            self.journal.forget(self.intended[0].order_id)
            self.intended = None

    def _take_read(self, now: float, state: EngineState) -> None:
        asked_at, self.read_asked_at = self.read_asked_at, None
        self.silent_reads = 0
        if asked_at is None or asked_at < self.sampled_floor:
            self.read_due = now
            return
        if self.state is None or state.incarnation != self.state.incarnation:
            self.needs_proof = True
        if state.fence is not None and state.fence.epoch > self.lease.epoch:
            self._doubt_lease(now)
        self._adopt(now, state, asked_at, fenced=False)
        for sent in self.sent.values():
            sent.landed = sent.landed or _shows(state, sent.order.action)

    def _take_answer(self, now: float, order_id: str, state: EngineState) -> None:
        sent = self.sent.pop(order_id, None)
        if sent is None:
            return
        self.journal.close(order_id, now)
        key = _key_of(sent.order.action)
        if key is not None:
            self.backoffs.pop(key, None)
        self._adopt_answer(now, sent, state)

    def _take_refusal(
        self,
        now: float,
        order_id: str,
        reason: OrderRefusal,
        state: EngineState | None,
    ) -> None:
        sent = self.sent.pop(order_id, None)
        if sent is None:
            return
        self.journal.close(order_id, now)
        self._back_off(now, sent.order.action)
        if reason is OrderRefusal.STALE_FENCE:
            self.needs_proof = True
            self.paused_until = now + RETRY_S
            if sent.order.fence.epoch == self.lease.epoch:
                self._doubt_lease(now)
        elif state is not None:
            self._adopt_answer(now, sent, state)
        else:
            self.read_due = now

    def _take_loss(self, now: float, order_id: str) -> None:
        sent = self.sent.pop(order_id, None)
        if sent is None:
            return
        self.journal.close(order_id, now)
        self._back_off(now, sent.order.action)
        self.needs_proof = True
        self.paused_until = now + RETRY_S
        self.read_due = now

    def _adopt_answer(self, now: float, sent: _Sent, state: EngineState) -> None:
        if not self.lease.holding or sent.order.fence.epoch != self.lease.epoch:
            return
        if sent.sent_at < self.sampled_floor:
            self.read_due = now
            return
        self.needs_proof = False
        self.proved_at = now
        self._adopt(now, state, sent.sent_at, fenced=self.group.checks_fencing)

    def _adopt(
        self, now: float, state: EngineState, sampled_after: float, *, fenced: bool
    ) -> None:
        self.state = state
        self.sampled_floor = now
        if fenced and self.lease.is_valid(now):
            self.trusted_incarnation = state.incarnation
        self.journal.settle(sampled_after, self.lifetime_s)
        gone = [key for key in self.draining if not _holds(state, key)]
        for key in gone:
            del self.draining[key]

    def _doubt_lease(self, now: float) -> None:
        self.verify = True
        self.lease.read_due = min(self.lease.read_due, now)

    def _back_off(self, now: float, action: Action) -> None:
        key = _key_of(action)
        if key is None:
            return
        backoff = self.backoffs.setdefault(key, _Backoff())
        backoff.until = now + backoff.wait_s
        backoff.wait_s = min(backoff.wait_s * 2, RETRY_LIMIT_S)

    # Lease.

    def tick(self, now: float, place: int | None) -> list[Output]:
        """Let time pass.

        Args:
            now: Monotonic time in seconds.
            place: Rank of this instance for the server, 0 first; `None` if it
                is not a candidate.
        """
        self.note_time(now)
        if self.lease.holding:
            self._consider_handover(now, place)
            return self.step(now)
        if place is None or self.stopping or self.lease.op:
            return []
        interval = self.lease.lease_s * (1 if place else 0.25)
        if now >= min(self.lease.read_due, self.lease.sent_at + interval):
            return [self.lease.read(now)]
        if self.lease.is_open(now, place):
            return [self.lease.take(now)]
        return []

    def let_go(self, epoch: int) -> None:
        """Never order again under epochs up to this one."""
        self.lease.bar(epoch)
        if not self.lease.holding:
            self.end_holding()

    def _consider_handover(self, now: float, place: int | None) -> None:
        if self.stopping:
            self.releasing = True
        elif place == 0:
            self.misplaced_at = None
            self.handover_leases = HANDOVER_LEASES
        elif self.misplaced_at is None:
            self.misplaced_at = now
        elif self.idle and not self.draining and self._has_waited(now):
            self._hand_over(now)

    def _has_waited(self, now: float) -> bool:
        assert self.misplaced_at is not None
        wait_s = self.handover_leases * self.lease.lease_s
        return now - self.misplaced_at > wait_s

    def _hand_over(self, now: float) -> None:
        self.releasing = True
        self.misplaced_at = now
        longer = self.handover_leases * 2
        self.handover_leases = min(longer, HANDOVER_LEASES_LIMIT)

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
            now, self.state, self.draining, self.lease.epoch, unreachable=unreachable
        )
        return outputs

    def _keep_lease(self, now: float) -> list[Output]:
        if self.lease.op:
            return []
        if now >= self.lease.read_due:
            return [self.lease.read(now)]
        pending = self.intended is not None and not self._is_committed()
        due = now >= self.lease.renewed_at + self.lease.lease_s / 3
        wanted = due or pending or (self.releasing and self.idle)
        if not wanted or self.lease.read_due != float("inf"):
            return []
        if self.releasing and self.idle:
            return [self._write_ledger(now, release=True)]
        return [self._write_ledger(now, release=False)]

    def _write_ledger(self, now: float, *, release: bool) -> Output:
        entries, resident = self.journal.entries(), self._resident()
        return self.lease.renew(now, entries, resident, release=release)

    def _resident(self) -> tuple[str, ...]:
        return tuple(sorted(map(str, self.state.models))) if self.state else ()

    def _is_committed(self) -> bool:
        if self.intended is None or self.lease.ledger is None:
            return False
        return self.intended[0] in self.lease.ledger.entries

    def _read_state(self, now: float) -> list[Output]:
        if self.read_asked_at is not None or now < self.read_due:
            return []
        if any(now - sent.sent_at < LANDING_S for sent in self._unlanded()):
            return []
        self.read_asked_at = now
        self.read_due = now + STATE_INTERVAL_S
        return [ReadState(self.server.name)]

    def _unlanded(self) -> list[_Sent]:
        return [sent for sent in self.sent.values() if not sent.landed]

    def _give_orders(self, now: float) -> list[Output]:
        if not self.may_order(now):
            self._drop_intended()
            return []
        if self._unlanded():
            return []
        if self.group.checks_fencing and self.needs_proof:
            return [self._send(now, NoOperation())]
        if self.state is None or self.target is None or self.server.leaving:
            return []
        action = self._choose(now)
        self._forget_changed_mind(action)
        match action:
            case UnloadModel(model=key) | UnloadAdapter(adapter=key):
                return self._unload(now, key, action)
            case LoadModel() | LoadAdapter():
                return self._load(now, action)
        return []

    def _choose(self, now: float) -> Action | None:
        assert self.state is not None
        assert self.target is not None
        others = [
            load
            for load in self.journal.loads.values()
            if self.intended is None or load.entry is not self.intended[0]
        ]
        account = MemoryAccount.from_state(
            self.state,
            others,
            memory_mb=self.group.memory_mb,
            adapter_pool_mb=self.group.adapter_pool_mb,
        )
        waiting = {key for key, x in self.backoffs.items() if now < x.until}
        ordered = {_key_of(sent.order.action) for sent in self.sent.values()}
        skip = frozenset(waiting | {key for key in ordered if key is not None})
        return choose(
            self.target, self.state, account, skip=skip, last_wanted=self.last_wanted
        )

    def _forget_changed_mind(self, action: Action | None) -> None:
        if self.intended is not None and self.intended[1] != action:
            self._drop_intended()
        key = _key_of(action) if action is not None else None
        for drained in [x for x in self.draining if x != key]:
            del self.draining[drained]

    def _unload(self, now: float, key: ModelKey, action: Action) -> list[Output]:
        due = self.draining.setdefault(key, now + DRAIN_NOTICE_S)
        return [self._send(now, action)] if now >= due else []

    def _load(self, now: float, action: LoadModel | LoadAdapter) -> list[Output]:
        if self.intended is None:
            entry = self._entry(self._next_order_id(), action)
            self.intended = (entry, action)
            self.journal.add(entry)
        if self.lease.is_valid(now) and not self._is_committed():
            return []
        if self.group.checks_fencing and self.proved_at != now:
            return [self._send(now, NoOperation())]
        entry, self.intended = self.intended[0], None
        return [self._send(now, action, order_id=entry.order_id)]

    def _next_order_id(self) -> str:
        self.sequence += 1
        me, lease = self.me, self.lease
        return f"{me.name}/{me.boot_id}/{lease.server}/{lease.epoch}.{self.sequence}"

    def _entry(self, order_id: str, action: LoadModel | LoadAdapter) -> JournalEntry:
        return JournalEntry(
            order_id=order_id,
            key=str(_key_of(action)),
            memory_mb=action.memory_mb,
            adapter=isinstance(action, LoadAdapter),
            holder=self.me.name,
            boot_id=self.me.boot_id,
            epoch=self.lease.epoch,
        )

    def _send(self, now: float, action: Action, order_id: str = "") -> SendOrder:
        if not order_id:
            order_id = self._next_order_id()
        self.sequence += 1
        fence = Fence(self.lease.epoch, self.sequence)
        order = Order(order_id, fence, action)
        self.journal.mark_sent(order_id, now)
        self.sent[order_id] = _Sent(order, now)
        valid_until = self.lease.valid_until
        if self.group.checks_fencing:
            valid_until = now + self.lease.lease_s
        return SendOrder(self.server.name, order, valid_until)


def _key_of(action: Action) -> ModelKey | None:
    match action:
        case LoadModel(model=key) | UnloadModel(model=key):
            return key
        case LoadAdapter(adapter=key) | UnloadAdapter(adapter=key):
            return key
    return None


def _holds(state: EngineState, key: ModelKey) -> bool:
    return key in state.models or key in state.adapters


def _shows(state: EngineState, action: Action) -> bool:
    if not isinstance(action, (LoadModel, LoadAdapter)):
        return False
    key = _key_of(action)
    return key in state.loading or key in state.models or key in state.adapters
