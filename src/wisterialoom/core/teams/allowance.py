"""An instance's side of the quotas: allowance that it borrowed and may use.

Requests are charged against a local stock. What is expected soon is asked for in
advance; a request that finds no allowance waits for the holder's reply. While the
holder is not heard, the instance uses a share of its own.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wisterialoom.core.teams.allowance_ledger import CHARGE_VALID_S, KNOWN_FOR_S
from wisterialoom.core.teams.allowance_message import AllowanceRequest, TeamRequest
from wisterialoom.core.teams.quota_bound import own_share, OwnShare, QuotaBound

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from wisterialoom.core.teams.allowance_message import AllowanceReply
    from wisterialoom.core.teams.team import Quota

__all__ = ["Allowance", "Charge", "Denied", "WAIT_S"]

WAIT_S = 0.15
"""Longest wait of a request for the holder's reply."""

REPEAT_S = 0.06
"""Time without a reply after which the holder is asked again; datagrams get lost."""

IDLE_REPEAT_S = 0.2
"""The same while no request waits."""

MIN_INTERVAL_S = 0.02
"""Minimum time between two requests to the holder."""

AHEAD_S = 0.25
"""Time whose expected use is asked for in advance."""

RATE_MEMORY_S = 1.0
"""Time over which the expected use is measured."""

HOLDER_SILENT_S = 0.5
"""Time without a reply after which the own share is used."""

PROBE_AFTER_S = 0.45
"""Time without a sign of the holder after which it is asked for one."""

OWN_SHARE_FOR_S = 110.0
"""Time for which the own share is used; the holder reserves it for a little longer."""

DENIAL_MEMORY_EACH_S = 0.0025
"""Time for which a refusal by the holder is remembered, per instance.

Requests of a team over its quota would otherwise each cost two messages.
"""

MIN_DENIAL_MEMORY_S = 0.05
"""Least time for which a refusal by the holder is remembered."""

MAX_ASKED = 64
"""Requests to the holder whose replies are still accepted."""


@dataclass(slots=True)
class Charge:
    """Allowance that a request has taken.

    Attributes:
        team: Name of the team.
        amount: Cost of the request.
        charged_at: Time at which it was taken.
        until: Time at which the allowance expires.
        is_own: Whether it came from the instance's own share.
        is_pending: Whether the request has not been sent yet.
    """

    team: str
    amount: float
    charged_at: float
    until: float
    is_own: bool = False
    is_pending: bool = True


@dataclass(frozen=True, slots=True)
class Denied:
    """The team has no credit for the request.

    Attributes:
        retry_s: Time until it is expected to have.
    """

    retry_s: float


@dataclass(slots=True)
class Stock:
    """What this instance has for one team.

    Attributes:
        limit: Limit of the team.
        lots: Amounts that may be used, and the times at which they expire.
        pending: Cost of the requests that were charged and are not sent yet.
        returned: Total of what was granted and certainly not used.
        own: Total of what was used of the own share.
        waiting: Cost of each request that waits for allowance.
        asked_for: Waiting requests of which the holder was told.
        mean_cost: Cost of recent requests.
        demand: Cost wanted lately, decaying over `RATE_MEMORY_S`.
        demand_at: Time at which `demand` was computed.
        denied_at: Time of the holder's last refusal.
        denied_until: Time at which the credit then sufficed.
        denied_cost: Cost that was refused.
        own_level: Cost saved up of the own share.
        own_at: Time at which `own_level` was computed.
        told: Stock and totals that the holder was last told of.
    """

    limit: Quota
    lots: deque[tuple[float, float]] = field(default_factory=deque)
    pending: float = 0.0
    returned: float = 0.0
    own: float = 0.0
    waiting: dict[object, float] = field(default_factory=dict)
    asked_for: frozenset[object] = frozenset()
    mean_cost: float = 0.0
    demand: float = 0.0
    demand_at: float = 0.0
    denied_at: float = float("-inf")
    denied_until: float = float("-inf")
    denied_cost: float = 0.0
    own_level: float = 0.0
    own_at: float = 0.0
    told: tuple[float, float, float] = (0.0, 0.0, 0.0)

    @property
    def amount(self) -> float:
        """Allowance that may be used."""
        return sum(amount for _, amount in self.lots)


class Allowance:
    """Charges requests of one instance.

    All times are of one clock that includes suspends, so that allowance which expired
    while the process was frozen is not used.

    Attributes:
        instance: Name of this instance.
        bound: What is allowed above the quotas.
        stocks: What it has, by team.
        names: Time at which each instance was last known to exist.
        serial: Serial of the last request to the holder.
        seen: Serial of the last request whose reply arrived.
        epoch: Highest fencing number of a holder that replied.
        asked: Time at which each request without a reply was sent, by serial.
        asked_at: Time of the last request.
        unanswered_since: Time of the first request since the last reply; `None` if all
            were answered.
        heard_at: Time of the last sign of a holder. Before the first, the number of
            instances is not known, and there is no own share.
        own_since: Time since which the own share is used; `None` if it is not.
        shares: Own share by team, for the present names.
        received: Cost received from holders.
    """

    def __init__(self, instance: str, first_serial: int, bound: QuotaBound) -> None:
        self.instance = instance
        self.bound = bound
        self.stocks: dict[str, Stock] = {}
        self.names: dict[str, float] = {}
        self.serial = first_serial
        self.seen = first_serial
        self.epoch = 0
        self.asked: dict[int, float] = {}
        self.asked_at = float("-inf")
        self.unanswered_since: float | None = None
        self.heard_at: float | None = None
        self.own_since: float | None = None
        self.shares: dict[str, OwnShare] = {}
        self.received = 0.0

    def set_limits(
        self, now: float, bound: QuotaBound, limits: Mapping[str, Quota]
    ) -> None:
        """Replace the limits; teams without one are not limited."""
        self.bound = bound
        self.shares.clear()
        for team in self.stocks.keys() - limits.keys():
            del self.stocks[team]
        for team, limit in limits.items():
            stock = self.stocks.get(team)
            if stock is None:
                self.stocks[team] = Stock(limit, demand_at=now, own_at=now)
            else:
                stock.limit = limit

    def set_instances(self, now: float, names: Iterable[str]) -> None:
        """Record which instances exist; those that left count for a while."""
        known = len(self.names)
        for name in (*names, self.instance):
            if name not in self.names:
                self.shares.clear()
            self.names[name] = now
        for name, seen_at in list(self.names.items()):
            if now - seen_at > KNOWN_FOR_S:
                del self.names[name]
        if len(self.names) != known:
            self.shares.clear()

    def record_holder(self, now: float) -> None:
        """Record a sign of the holder."""
        self.heard_at = now

    def charge(
        self, now: float, team: str, cost: float, ticket: object = None
    ) -> Charge | Denied | None:
        """Charge a request, or decide why not.

        Args:
            now: Current time.
            team: Name of its team.
            cost: Its cost.
            ticket: Identity of the request while it waits.

        Returns:
            The charge, the refusal, or `None` if the holder is to be asked.
        """
        stock = self.stocks.get(team)
        if stock is None:
            return Charge(team, 0.0, now, now)
        if ticket not in stock.waiting:
            self._count_demand(now, stock, cost)
        self._expire(now, stock)
        if cost > self.bound.largest_cost(stock.limit):
            return Denied(self.bound.window_s)
        if stock.amount >= cost:
            return self._take(now, team, stock, cost)
        self._check_holder(now)
        if self.own_since is not None:
            return self._charge_own(now, team, stock, cost)
        if cost >= stock.denied_cost and now < self._denied_until(stock):
            return Denied(max(stock.denied_until - now, 0.05))
        return None

    def wait(self, team: str, cost: float, ticket: object) -> None:
        """Record that a request waits for allowance."""
        self.stocks[team].waiting[ticket] = cost

    def stop_waiting(self, team: str, ticket: object) -> None:
        """Record that a request waits no more."""
        stock = self.stocks.get(team)
        if stock is not None:
            stock.waiting.pop(ticket, None)

    def give_up(self, now: float, team: str, cost: float) -> Denied:
        """Return the refusal of a request for which no reply arrived."""
        stock = self.stocks.get(team)
        if stock is None or not stock.limit.rate_per_s:
            return Denied(0.05)
        missing = cost / stock.limit.rate_per_s
        return Denied(min(self.bound.window_s, max(HOLDER_SILENT_S, missing)))

    def settle(self, charge: Charge) -> None:
        """Record that a charged request is being sent."""
        if not charge.is_pending:
            return
        charge.is_pending = False
        stock = self.stocks.get(charge.team)
        if stock is not None and not charge.is_own:
            stock.pending = max(0.0, stock.pending - charge.amount)

    def must_renew(self, now: float, charge: Charge) -> bool:
        """Return whether a request waited too long since it was charged."""
        return charge.is_pending and now - charge.charged_at > CHARGE_VALID_S

    def refund(self, now: float, charge: Charge) -> None:
        """Give back the charge of a request that certainly did not run."""
        was_pending = charge.is_pending
        self.settle(charge)
        stock = self.stocks.get(charge.team)
        if stock is None or not charge.amount:
            return
        if charge.is_own:
            stock.own_level += charge.amount
        elif was_pending and now < charge.until:
            stock.lots.appendleft((charge.until, charge.amount))
        else:
            stock.returned += charge.amount
        charge.amount = 0.0

    def request(self, now: float) -> AllowanceRequest | None:
        """Return the next request to the holder, or `None` if none is due."""
        passed_s = now - self.asked_at
        if passed_s < MIN_INTERVAL_S:
            return None
        teams: dict[str, TeamRequest] = {}
        has_need = has_waiting = False
        for team, stock in self.stocks.items():
            self._expire(now, stock)
            self._return_surplus(now, stock)
            ahead = self._expected(now, stock)
            totals = (stock.amount + stock.pending, stock.returned, stock.own)
            if not stock.waiting and not ahead and totals[1:] == stock.told[1:]:
                continue
            has_waiting |= bool(stock.waiting)
            has_need |= bool(stock.waiting) or ahead > 0
            costs = list(stock.waiting.values())
            # What is in stock does not suffice for the first request.
            need = max(0.0, sum(costs) - stock.amount)
            first = max(0.0, costs[0] - stock.amount) if costs else 0.0
            teams[team] = TeamRequest(need, first, ahead, *totals)
        if self.asked:
            is_due = passed_s >= (REPEAT_S if has_waiting else IDLE_REPEAT_S)
            # A request that came since does not wait for the reply to another.
            is_due |= has_waiting and self._waits_newly()
        elif has_need:
            is_due = True
        elif self.own_since is not None or self._holder_is_quiet(now):
            is_due = passed_s >= IDLE_REPEAT_S
        else:
            is_due = bool(teams) and passed_s >= AHEAD_S
        return self._ask(now, teams) if is_due else None

    def _waits_newly(self) -> bool:
        return any(
            ticket not in stock.asked_for
            for stock in self.stocks.values()
            for ticket in stock.waiting
        )

    def _holder_is_quiet(self, now: float) -> bool:
        heard_at = self.heard_at
        return (
            bool(self.stocks)
            and heard_at is not None
            and now - heard_at > PROBE_AFTER_S
        )

    def _ask(self, now: float, teams: dict[str, TeamRequest]) -> AllowanceRequest:
        for team, wanted in teams.items():
            stock = self.stocks[team]
            stock.told = (wanted.stock, wanted.returned, wanted.own)
            stock.asked_for = frozenset(stock.waiting)
        self.serial += 1
        self.asked[self.serial] = self.asked_at = now
        while len(self.asked) > MAX_ASKED:
            del self.asked[next(iter(self.asked))]
        if self.unanswered_since is None:
            self.unanswered_since = now
        return AllowanceRequest(self.serial, self.seen, teams)

    def receive(self, now: float, reply: AllowanceReply) -> None:
        """Take over a reply; duplicated, overtaken and outdated ones are ignored."""
        sent_at = self.asked.get(reply.serial)
        if sent_at is None or reply.epoch < self.epoch:
            return
        for serial in [serial for serial in self.asked if serial <= reply.serial]:
            del self.asked[serial]
        self.epoch = reply.epoch
        self.seen = reply.serial
        self.heard_at = now
        self.unanswered_since = min(self.asked.values(), default=None)
        self.own_since = None
        for team, grant in reply.granted.items():
            stock = self.stocks.get(team)
            until = sent_at + grant.valid_s
            if stock is not None and until > now:
                stock.lots.append((until, grant.amount))
                self.received += grant.amount
            elif stock is not None:
                stock.returned += grant.amount
        for team, retry_s in reply.retry_s.items():
            stock = self.stocks.get(team)
            if stock is not None:
                costs = stock.waiting.values()
                stock.denied_cost = min(costs, default=0.0)
                stock.denied_at = now
                stock.denied_until = now + retry_s

    def _denied_until(self, stock: Stock) -> float:
        memory_s = max(MIN_DENIAL_MEMORY_S, DENIAL_MEMORY_EACH_S * len(self.names))
        return min(stock.denied_until, stock.denied_at + memory_s)

    def _take(self, now: float, team: str, stock: Stock, cost: float) -> Charge:
        left = cost
        until = float("inf")
        while left > 0:
            lot_until, amount = stock.lots.popleft()
            until = min(until, lot_until)
            if amount > left:
                stock.lots.appendleft((lot_until, amount - left))
            left -= min(amount, left)
        stock.pending += cost
        return Charge(team, cost, now, until)

    def _expire(self, now: float, stock: Stock) -> None:
        kept = deque(lot for lot in stock.lots if lot[0] > now)
        if len(kept) < len(stock.lots):
            stock.returned += stock.amount - sum(amount for _, amount in kept)
            stock.lots = kept

    def _return_surplus(self, now: float, stock: Stock) -> None:
        """Give back what was granted to requests that no longer wait."""
        if stock.waiting or not stock.lots:
            return
        expected = self._demand_rate(now, stock) * 2 * AHEAD_S
        while stock.lots and stock.amount > max(expected, 1.0):
            _, amount = stock.lots.popleft()
            stock.returned += amount

    def _count_demand(self, now: float, stock: Stock, cost: float) -> None:
        stock.demand = self._demand_rate(now, stock) + cost / RATE_MEMORY_S
        stock.demand_at = now
        stock.mean_cost = (
            0.8 * stock.mean_cost + 0.2 * cost if stock.mean_cost else cost
        )

    def _demand_rate(self, now: float, stock: Stock) -> float:
        age = (now - stock.demand_at) / RATE_MEMORY_S
        return stock.demand * max(0.0, 1.0 - age) ** 2 if age < 1.0 else 0.0

    def _expected(self, now: float, stock: Stock) -> float:
        """Return what to ask for in advance."""
        if now < self._denied_until(stock):
            return 0.0
        target = self._demand_rate(now, stock) * AHEAD_S
        have = stock.amount
        if have > 0.5 * target or target < stock.mean_cost:
            return 0.0
        return target - have

    def _check_holder(self, now: float) -> None:
        """Begin to use the own share if the holder is not heard."""
        since = self.unanswered_since
        if self.own_since is not None or self.heard_at is None or since is None:
            return
        if now - since <= HOLDER_SILENT_S:
            return
        # A process that was frozen first asks the holder again.
        began_at = max(since + HOLDER_SILENT_S, now - 2 * HOLDER_SILENT_S)
        self.own_since = began_at
        for stock in self.stocks.values():
            stock.own_level = 0.0
            stock.own_at = began_at

    def _charge_own(
        self, now: float, team: str, stock: Stock, cost: float
    ) -> Charge | Denied:
        share = self.shares.get(team)
        if share is None:
            share = own_share(self.bound, stock.limit, team, self.instance, self.names)
            self.shares[team] = share
        assert self.own_since is not None
        is_over = now - self.own_since > OWN_SHARE_FOR_S
        if not share.part or is_over:
            return Denied(HOLDER_SILENT_S)
        rate = share.part * stock.limit.rate_per_s
        depth = share.part * self.bound.depth(stock.limit)
        gained = rate * (now - stock.own_at)
        stock.own_level = min(depth, stock.own_level + gained)
        stock.own_at = now
        needed = min(cost, depth) if share.may_owe else cost
        if stock.own_level < needed or not rate:
            missing = (needed - stock.own_level) / rate if rate else HOLDER_SILENT_S
            # The holder is usually heard again before a small share suffices.
            return Denied(min(max(missing, 0.05), 2 * HOLDER_SILENT_S))
        stock.own_level -= cost
        stock.own += cost
        return Charge(team, cost, now, now, is_own=True)
