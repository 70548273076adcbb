"""The holder's side of the quotas: one token bucket per team, from which others borrow.

The level of a bucket and the allowance that instances may still use never exceed the
bucket's depth together. In any window, use is thus at most the depth and what the
bucket gains meanwhile, whichever instances the team's callers use.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import TYPE_CHECKING

from wisterialoom.core.teams.allowance_message import AllowanceGrant, AllowanceReply
from wisterialoom.core.teams.quota_bound import own_share, QuotaBound

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from wisterialoom.core.teams.allowance_message import AllowanceRequest, TeamRequest
    from wisterialoom.core.teams.team import Quota

__all__ = [
    "AllowanceLedger",
    "CHARGE_VALID_S",
    "KNOWN_FOR_S",
    "NEED_VALID_S",
    "STOCK_VALID_S",
]

STOCK_VALID_S = 2.0
"""Time for which allowance that was asked for in advance may be used."""

NEED_VALID_S = 0.3
"""Time for which allowance that requests wait for may be used.

It is used on arrival, so the holder need not be told of it.
"""

CHARGE_VALID_S = 0.5
"""Time within which a charged request must be sent; later it is charged again.

A request that waits for a server would otherwise use allowance long after it expired.
"""

HOLD_MARGIN_S = 0.1
"""Time for which allowance counts as usable after it has expired everywhere."""

ASSUMED_PART = 2 / 3
"""Part of the depth that a new holder assumes its predecessor to have granted.

If that were all of the depth, it could grant nothing until that has expired. What
requests wait for is used on arrival, so more than this is never left.
"""

STOCK_PART = 1 / 3
"""Part of the depth that may be outstanding while more is granted in advance.

Requests that wait are not bound by it: with a limit of 2/3 for them, a team of 4,200
tokens a second lost 1% of its requests with half of the depth left, as what they have
used counts as outstanding for 0.9 s.
"""

AHEAD_PART = 0.25
"""Largest part of the credit that one instance gets in advance at once.

What little is left goes to requests that wait.
"""

SILENT_S = 1.0
"""Time without a message after which an instance is assumed to use its own share."""

UNHEARD_S = SILENT_S + 0.01
"""Time since the last message of an instance that has yet to be heard."""

KNOWN_FOR_S = 120.0
"""Time for which an instance that is not heard counts.

Nobody can tell whether it was killed or is cut off. One that is cut off uses its own
share for a shorter time than this.
"""

MAX_OVERTAKEN = 10_000
"""Requests by which one can be overtaken.

A lower serial is that of a process whose clock was set back before it started.
"""

MAX_RETRY_S = 8.0
"""Longest time after which a caller is asked to try again."""


@dataclass(slots=True)
class Lot:
    """Allowance that an instance may still use.

    Attributes:
        serial: Serial of the request that it answers.
        amount: Cost; 0 once it counts no more.
        until: Time after which it is used or has expired.
    """

    serial: int
    amount: float
    until: float


@dataclass(slots=True)
class Account:
    """What one instance has of one team's allowance.

    Attributes:
        lots: Allowance that it may still use, oldest request first.
        returned: Last known total of what it returned; `None` before its first message.
        own: Last known total of what it used of its own share.
        withheld: What the bucket did not gain while the instance was not heard.
    """

    lots: deque[Lot] = field(default_factory=deque)
    returned: float | None = None
    own: float = 0.0
    withheld: float = 0.0


@dataclass(slots=True)
class Bucket:
    """Credit of one team.

    Attributes:
        limit: Limit of the team.
        depth: Depth if all instances are heard.
        level: Cost that may be granted; negative after a request above the depth.
        counted_at: Time at which `level` was computed.
        outstanding: Sum of all lots.
        expiries: Lots by the time at which they expire; a heap.
        accounts: Accounts by instance.
        rate: Rate at which it fills now.
        cap: Depth now, without the shares of instances that are not heard.
        promised_at: Time until which the credit is promised to refused callers.
        lent: Share that each instance which is not heard may use.
    """

    limit: Quota
    depth: float
    level: float
    counted_at: float
    outstanding: float = 0.0
    expiries: list[tuple[float, int, Lot]] = field(default_factory=list)
    accounts: dict[str, Account] = field(default_factory=dict)
    rate: float = 0.0
    cap: float = 0.0
    promised_at: float = float("-inf")
    lent: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class Member:
    """One instance, as the holder knows it.

    Attributes:
        heard_at: Time of its last message.
        count: Number of instances at that time, by which it divides the limits.
        serial: Serial of its last request.
    """

    heard_at: float
    count: int
    serial: int = 0


class AllowanceLedger:
    """Grants allowance while its instance holds the placement lease.

    All times are of one clock that includes suspends.

    Attributes:
        epoch: Fencing number of the holder.
        bound: What is allowed above the quotas.
        began_at: Time at which this instance became the holder.
        buckets: Buckets by team.
        members: Instances by name.
        silent: Instances that are not heard any more.
        checked_at: Time of the last search for silent instances.
        granted: Cost granted so far.
        refused: Needs that were not met.
        lot_count: Number of lots so far, which orders those that expire together.
    """

    def __init__(self, now: float, epoch: int, bound: QuotaBound) -> None:
        self.epoch = epoch
        self.bound = bound
        self.began_at = now
        self.buckets: dict[str, Bucket] = {}
        self.members: dict[str, Member] = {}
        self.silent: frozenset[str] = frozenset()
        self.checked_at = float("-inf")
        self.granted = 0.0
        self.refused = 0
        self.lot_count = 0

    def set_limits(
        self, now: float, bound: QuotaBound, limits: Mapping[str, Quota]
    ) -> None:
        """Replace the limits.

        A bucket keeps its level, up to its new depth. A new one is empty, as instances
        may have used allowance of an earlier holder, or shares of their own.
        """
        self.bound = bound
        for team in self.buckets.keys() - limits.keys():
            del self.buckets[team]
        for team, limit in limits.items():
            depth = bound.depth(limit)
            bucket = self.buckets.get(team)
            if bucket is None:
                bucket = Bucket(limit, depth, 0.0, now)
                self.buckets[team] = bucket
            else:
                self._fill(now, bucket)
            bucket.limit, bucket.depth = limit, depth
            self._lower(team, bucket)
            bucket.level = min(bucket.level, bucket.cap)

    def record_heard(self, now: float, names: Iterable[str]) -> None:
        """Record that instances were heard just now.

        Args:
            now: Current time.
            names: Names of the instances, of which messages of any kind arrived.
        """
        for name in names:
            member = self.members.get(name)
            if member is None:
                self.members[name] = Member(now, len(self.members) + 1)
            else:
                member.heard_at = now
                member.count = len(self.members)

    def record_known(self, now: float, names: Iterable[str]) -> None:
        """Record instances that a new holder knows but has not heard itself yet.

        They may still borrow from an earlier holder, so each adds its part of the rate
        once it is heard.
        """
        for name in names:
            self.members.setdefault(name, Member(now - UNHEARD_S, 0))
        for member in self.members.values():
            member.count = member.count or len(self.members)
        self.checked_at = float("-inf")
        self.check_silent(now)

    def distrust(self, now: float) -> None:
        """Give up all credit, as another instance may hold the lease by now.

        An instance whose lease has ended, as it does not reach the store, goes on for
        those that still hear it. It grants what they could use as shares of their own:
        a new holder, if there is one, does not hear them.
        """
        for bucket in self.buckets.values():
            self._fill(now, bucket)
            bucket.level = min(bucket.level, 0.0)
        for member in self.members.values():
            member.heard_at = min(member.heard_at, now - UNHEARD_S)
        self.checked_at = float("-inf")
        self.check_silent(now)

    def handle(
        self, now: float, name: str, request: AllowanceRequest
    ) -> AllowanceReply | None:
        """Grant what an instance asks for, as far as the team's credit allows.

        Args:
            now: Current time.
            name: Name of the instance.
            request: Its request.

        Returns:
            The reply; `None` for a request that was handled before, or overtaken.
        """
        self.record_heard(now, (name,))
        member = self.members[name]
        if member.serial - MAX_OVERTAKEN < request.serial <= member.serial:
            return None
        member.serial = request.serial
        self.check_silent(now)
        granted: dict[str, AllowanceGrant] = {}
        retry_s: dict[str, float] = {}
        for team, wanted in request.teams.items():
            bucket = self.buckets.get(team)
            if bucket is None:
                continue
            self._fill(now, bucket)
            account = bucket.accounts.setdefault(name, Account())
            self._settle(now, bucket, account, request.seen, wanted)
            grant = self._grant(bucket, wanted)
            if grant.amount > 0:
                bucket.level -= grant.amount
                bucket.outstanding += grant.amount
                until = now + grant.valid_s + CHARGE_VALID_S + HOLD_MARGIN_S
                lot = Lot(request.serial, grant.amount, until)
                account.lots.append(lot)
                self._watch(bucket, lot)
                granted[team] = grant
                self.granted += grant.amount
            if wanted.need > grant.amount:
                self.refused += 1
                retry_s[team] = self._promise(now, bucket, wanted.need - grant.amount)
        return AllowanceReply(self.epoch, request.serial, granted, retry_s)

    def check_silent(self, now: float) -> None:
        """Lower the rates by the shares of instances that are not heard any more."""
        if now - self.checked_at < 0.05:
            return
        self.checked_at = now
        gone = [
            name
            for name, member in self.members.items()
            if now - member.heard_at > KNOWN_FOR_S
        ]
        for name in gone:
            del self.members[name]
        silent = frozenset(
            name
            for name, member in self.members.items()
            if now - member.heard_at > SILENT_S
        )
        if silent == self.silent and not gone:
            return
        for bucket in self.buckets.values():
            self._fill(now, bucket)
            for name in gone:
                bucket.accounts.pop(name, None)
        self.silent = silent
        for team, bucket in self.buckets.items():
            self._lower(team, bucket)

    def _lower(self, team: str, bucket: Bucket) -> None:
        names = self.members.keys() | {""}
        bucket.lent = {
            name: 1.0 / max(1, self.members[name].count)
            for name in self.silent
            if own_share(self.bound, bucket.limit, team, name, names).part
        }
        part = max(0.0, 1.0 - sum(bucket.lent.values()))
        bucket.rate = bucket.limit.rate_per_s * part
        bucket.cap = bucket.depth * part

    def _fill(self, now: float, bucket: Bucket) -> None:
        elapsed_s = max(0.0, now - bucket.counted_at)
        bucket.counted_at = now
        while bucket.expiries and bucket.expiries[0][0] <= now:
            lot = heappop(bucket.expiries)[2]
            bucket.outstanding -= lot.amount
            lot.amount = 0.0
        for name, part in bucket.lent.items():
            account = bucket.accounts.get(name)
            if account is not None:
                account.withheld += bucket.limit.rate_per_s * elapsed_s * part
        bucket.outstanding = max(0.0, bucket.outstanding)
        top = max(0.0, self._top(now, bucket))
        bucket.level = min(bucket.level + bucket.rate * elapsed_s, top)

    def _watch(self, bucket: Bucket, lot: Lot) -> None:
        self.lot_count += 1
        heappush(bucket.expiries, (lot.until, self.lot_count, lot))

    def _top(self, now: float, bucket: Bucket) -> float:
        """Return the highest level that the outstanding allowance leaves."""
        assumed = 0.0
        hold_s = STOCK_VALID_S + CHARGE_VALID_S + HOLD_MARGIN_S
        if now - self.began_at < hold_s:
            assumed = ASSUMED_PART * bucket.depth
        return bucket.cap - bucket.outstanding - assumed

    def _settle(
        self,
        now: float,
        bucket: Bucket,
        account: Account,
        seen: int,
        wanted: TeamRequest,
    ) -> None:
        """Take over what an instance says about its stock and its use."""
        until = now
        amount = 0.0
        while account.lots and account.lots[0].serial <= seen:
            lot = account.lots.popleft()
            amount += lot.amount
            until = max(until, lot.until)
            lot.amount = 0.0
        bucket.outstanding -= amount
        # What earlier holders granted is not counted here, and the whole stock stays
        # until its last part has expired.
        stock = min(wanted.stock, amount)
        if stock > 0:
            lot = Lot(seen, stock, until)
            account.lots.appendleft(lot)
            self._watch(bucket, lot)
            bucket.outstanding += stock
        bucket.outstanding = max(0.0, bucket.outstanding)
        if account.returned is not None:
            if wanted.returned < account.returned or wanted.own < account.own:
                # The totals of a new process begin at 0.
                account.returned = account.own = 0.0
            bucket.level += wanted.returned - account.returned
            own = wanted.own - account.own
            # A damaged total must not leave the team without credit for good.
            bucket.level -= min(bucket.depth, max(0.0, own - account.withheld))
        account.returned, account.own = wanted.returned, wanted.own
        account.withheld = 0.0
        bucket.level = min(bucket.level, max(0.0, self._top(now, bucket)))

    def _grant(self, bucket: Bucket, wanted: TeamRequest) -> AllowanceGrant:
        amount = max(0.0, min(wanted.need, bucket.level))
        if amount < min(wanted.first, wanted.need):
            # One request above the depth runs alone, from a full bucket.
            is_full = bucket.level >= 0.99 * bucket.cap > 0.0
            amount = wanted.first if is_full else 0.0
        ahead = min(
            wanted.ahead,
            AHEAD_PART * max(0.0, bucket.level - amount),
            max(0.0, STOCK_PART * bucket.depth - bucket.outstanding - amount),
        )
        if amount < wanted.need:
            ahead = 0.0
        valid_s = STOCK_VALID_S if ahead > 0 else NEED_VALID_S
        return AllowanceGrant(math.floor(amount + ahead), valid_s)

    def _promise(self, now: float, bucket: Bucket, need: float) -> float:
        """Return when to try again; callers that are refused later come later."""
        rate = max(bucket.rate, 1e-3 * bucket.limit.rate_per_s, 1e-9)
        begins = max(bucket.promised_at, now - max(bucket.level, 0.0) / rate)
        ready_at = begins + need / rate
        if bucket.level < 0.0:
            ready_at = max(ready_at, now + (need - bucket.level) / rate)
        bucket.promised_at = min(ready_at, now + MAX_RETRY_S)
        return min(max(ready_at - now, 0.05), MAX_RETRY_S)
