"""Charges requests to their teams' quotas, and exchanges allowance with the holder."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import Counter
from typing import TYPE_CHECKING

from wisterialoom.core.teams.allowance import Allowance, Charge, Denied, WAIT_S
from wisterialoom.core.teams.allowance_ledger import AllowanceLedger
from wisterialoom.core.teams.quota_bound import request_cost
from wisterialoom.platform._signal import Signal
from wisterialoom.platform._tasks import TaskGroup, wait_for
from wisterialoom.platform.hints import AllowanceGranted, AllowanceWanted
from wisterialoom.platform.lease_manager import lease_clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisterialoom.core.fleet import PlacementLease
    from wisterialoom.core.serving.request_flow import RequestProfile
    from wisterialoom.core.serving.routing import Deployment
    from wisterialoom.core.teams.allowance_message import (
        AllowanceReply,
        AllowanceRequest,
    )
    from wisterialoom.core.teams.quota_bound import QuotaBound
    from wisterialoom.platform.fleet import Fleet
    from wisterialoom.platform.hints import QuotaHint

__all__ = ["QuotaExchange"]

logger = logging.getLogger(__name__)

TICK_S = 0.1
"""Time between two checks whether the holder is to be asked."""

WAITING_TICK_S = 0.02
"""The same while requests wait for allowance."""

IDLE_TICK_S = 0.5
"""The same while no team has a quota."""

BATCH_S = 0.002
"""Time for which a request to the holder is delayed, so that it covers all requests of
about one iteration of the event loop."""

INSTANCES_INTERVAL_S = 0.5
"""Time between two updates of the list of instances."""

FROZEN_S = 1.0
"""Time between two checks of the lease after which it may have passed on meanwhile."""

LOG_INTERVAL_S = 1.0
"""Minimum time between two log lines about the refusals of a team."""


class QuotaExchange:
    """Carries the messages of an `Allowance` and, at the holder, of a ledger.

    Attributes:
        instance: Name of this instance.
        fleet: Knows the holder, and when other instances were heard.
        lease: Placement lease; its holder keeps the ledger.
        get_deployment: Returns the configuration in force.
        get_bound: Returns what operators allow above the quotas.
        allowance: Allowance of this instance.
        ledger: Buckets of the teams, while this instance holds the lease.
        was_valid: Whether the lease was valid when it was last checked.
        checked_at: Time of that check.
        deployment: Configuration whose quotas are in force here.
        holder_sign: Epoch and serial of the last message from the holder.
        members_heard_at: Monotonic time up to which other instances were heard.
        instances_at: Time of the last update of the list of instances.
        replied: Wakes the requests that wait for a reply.
        refusals: Refused requests by reason.
        messages: Sent messages by kind.
        refused_teams: Refusals of each team since its last log line.
        logged_at: Time of the last log line, by team.
        wake_event: Set when a request waits for allowance.
        tasks: The task that sends messages.
    """

    def __init__(
        self,
        instance: str,
        fleet: Fleet,
        lease: PlacementLease,
        get_deployment: Callable[[], Deployment | None],
        get_bound: Callable[[], QuotaBound],
    ) -> None:
        self.instance = instance
        self.fleet = fleet
        self.lease = lease
        self.get_deployment = get_deployment
        self.get_bound = get_bound
        # Later processes of the instance continue with higher serials.
        self.allowance = Allowance(instance, int(time.time() * 1e3), get_bound())
        self.ledger: AllowanceLedger | None = None
        self.was_valid = False
        self.checked_at = float("-inf")
        self.deployment: Deployment | None = None
        self.holder_sign = (0, 0)
        self.members_heard_at = float("-inf")
        self.instances_at = float("-inf")
        self.replied = Signal()
        self.refusals: Counter[str] = Counter()
        self.messages: Counter[str] = Counter()
        self.refused_teams: Counter[str] = Counter()
        self.logged_at: dict[str, float] = {}
        self.wake_event = asyncio.Event()
        self.tasks = TaskGroup()

    def start(self) -> None:
        """Start sending messages."""
        self.tasks.spawn(self._run())

    async def stop(self) -> None:
        """Stop sending messages."""
        await self.tasks.stop()

    async def charge(self, profile: RequestProfile) -> Charge | Denied | None:
        """Charge a request to its team, and wait for the holder if necessary.

        Args:
            profile: The request.

        Returns:
            The charge or the refusal; `None` if the team has no quota.
        """
        self._update_limits(lease_clock())
        team = profile.team
        stock = self.allowance.stocks.get(team)
        if stock is None:
            return None
        cost = request_cost(stock.limit, profile.token_counts)
        decision = await self._take(team, cost)
        if isinstance(decision, Denied):
            self._record_refusal(team, cost, decision)
        return decision

    async def send(
        self, profile: RequestProfile, charge: Charge | None
    ) -> Charge | Denied | None:
        """Record that a request is about to be sent to a server.

        One that has waited long for its first server is charged again. Further servers
        cost nothing more.

        Args:
            profile: The request.
            charge: What it was charged; `None` if its team has no quota.

        Returns:
            The charge that holds now, or the refusal.
        """
        if charge is None:
            return None
        now = lease_clock()
        if self.allowance.must_renew(now, charge):
            self.allowance.refund(now, charge)
            renewed = await self.charge(profile)
            if not isinstance(renewed, Charge):
                return renewed
            charge = renewed
        self.allowance.settle(charge)
        return charge

    def finish(self, charge: Charge | None, *, not_run: bool) -> None:
        """Give the charge of a request back that certainly did not run.

        Args:
            charge: What it was charged; `None` if its team has no quota.
            not_run: Whether it was refused as not run.
        """
        if charge is not None and (not_run or charge.is_pending):
            self.allowance.refund(lease_clock(), charge)

    def handle_hint(self, hint: QuotaHint, address: str) -> None:
        """Handle a message of another instance.

        Args:
            hint: The message.
            address: Address of the sender.
        """
        now = lease_clock()
        match hint:
            case AllowanceWanted(instance=name, request=request):
                reply = self._grant(now, name, request)
                if reply is not None:
                    self.messages["granted"] += 1
                    granted = AllowanceGranted(self.instance, reply)
                    self.fleet.peers.send(granted, address)
            case AllowanceGranted(reply=reply):
                self._receive(now, reply)

    @property
    def granted_cost(self) -> float:
        """Cost granted to all instances since this one holds the lease."""
        return self.ledger.granted if self.ledger is not None else 0.0

    async def _take(self, team: str, cost: float) -> Charge | Denied:
        allowance = self.allowance
        ticket = object()
        began_at = now = lease_clock()
        decision = allowance.charge(now, team, cost, ticket)
        if decision is not None:
            return decision
        allowance.wait(team, cost, ticket)
        self.wake_event.set()
        try:
            while now < began_at + WAIT_S:
                await self.replied.wait(began_at + WAIT_S - now)
                now = lease_clock()
                decision = allowance.charge(now, team, cost, ticket)
                if decision is not None:
                    return decision
            return allowance.give_up(now, team, cost)
        finally:
            allowance.stop_waiting(team, ticket)

    def _record_refusal(self, team: str, cost: float, denied: Denied) -> None:
        alone = self.allowance.unanswered_since is not None
        reason = "holder_silent" if alone else "no_credit"
        self.refusals[reason] += 1
        self.refused_teams[team] += 1
        now = lease_clock()
        if now - self.logged_at.get(team, float("-inf")) < LOG_INTERVAL_S:
            return
        self.logged_at[team] = now
        logger.info(
            "refused for quota",
            extra={
                "team": team,
                "reason": reason,
                "refused": self.refused_teams.pop(team),
                "cost": int(cost),
                "retry_ms": int(denied.retry_s * 1e3),
                "own_share": self.allowance.own_since is not None,
            },
        )

    def _find_ledger(self, now: float) -> AllowanceLedger | None:
        """Return the ledger while this instance may grant.

        During an outage of the store, the last holder goes on without a valid lease,
        for those instances that hear it.
        """
        if not self.lease.is_holder:
            return None
        is_valid = now < self.lease.valid_until
        was_frozen = now - self.checked_at > FROZEN_S
        was_valid, self.was_valid, self.checked_at = self.was_valid, is_valid, now
        if self.ledger is not None and self.ledger.epoch == self.lease.epoch:
            if not is_valid and (was_valid or was_frozen):
                self.ledger.distrust(now)
                logger.info("keeps the quotas without a valid lease")
        elif not is_valid:
            return None
        else:
            bound = self.allowance.bound
            self.ledger = AllowanceLedger(now, self.lease.epoch, bound)
            self.ledger.record_known(now, self.allowance.names)
            self._set_ledger_limits(now)
            logger.info("keeps the quotas", extra={"epoch": self.lease.epoch})
        return self.ledger

    def _set_ledger_limits(self, now: float) -> None:
        if self.ledger is not None:
            limits = {
                team: stock.limit for team, stock in self.allowance.stocks.items()
            }
            self.ledger.set_limits(now, self.allowance.bound, limits)

    def _update_limits(self, now: float) -> None:
        """Take over the quotas of another configuration, and changed settings."""
        deployment, bound = self.get_deployment(), self.get_bound()
        if deployment is self.deployment and bound == self.allowance.bound:
            return
        self.deployment = deployment
        teams = deployment.teams.by_name if deployment is not None else {}
        limits = {
            name: team.quota
            for name, team in teams.items()
            if team.quota is not None and team.quota.rate_per_s > 0
        }
        self.allowance.set_limits(now, bound, limits)
        self._set_ledger_limits(now)
        for name in self.logged_at.keys() - limits.keys():
            del self.logged_at[name]
            self.refused_teams.pop(name, None)

    def _grant(
        self, now: float, name: str, request: AllowanceRequest
    ) -> AllowanceReply | None:
        ledger = self._find_ledger(now)
        return ledger.handle(now, name, request) if ledger is not None else None

    def _receive(self, now: float, reply: AllowanceReply) -> None:
        self.allowance.receive(now, reply)
        self.replied.wake()

    async def _run(self) -> None:
        while True:
            now = lease_clock()
            self._update_limits(now)
            if self.allowance.stocks:
                self._follow_fleet(now)
                self._send(now)
            await wait_for(self.wake_event, self._pause_s())
            if self.wake_event.is_set():
                self.wake_event.clear()
                await asyncio.sleep(BATCH_S)

    def _pause_s(self) -> float:
        stocks = self.allowance.stocks.values()
        if any(stock.waiting for stock in stocks):
            return WAITING_TICK_S
        return TICK_S if stocks else IDLE_TICK_S

    def _follow_fleet(self, now: float) -> None:
        """Take over which instances exist, and which of them were heard."""
        if now - self.instances_at >= INSTANCES_INTERVAL_S:
            self.instances_at = now
            self.allowance.set_instances(now, self.fleet.peers.members)
        sign = (self.fleet.epoch, self.fleet.serial)
        if sign != self.holder_sign:
            self.holder_sign = sign
            self.allowance.record_holder(now)
        ledger = self._find_ledger(now)
        if ledger is None:
            return
        since, self.members_heard_at = self.members_heard_at, time.monotonic()
        heard = [name for name, at in self.fleet.last_seen.items() if at >= since]
        ledger.record_heard(now, (*heard, self.instance))
        ledger.check_silent(now)
        self.allowance.record_holder(now)

    def _send(self, now: float) -> None:
        request = self.allowance.request(now)
        if request is None:
            return
        reply = self._grant(now, self.instance, request)
        if reply is not None:
            self._receive(now, reply)
        elif self.fleet.holder_address not in ("", self.fleet.address):
            self.messages["wanted"] += 1
            wanted = AllowanceWanted(self.instance, request)
            self.fleet.peers.send(wanted, self.fleet.holder_address)
