"""Tracks the other instances and the holder of the placement lease.

Instances find each other through the holder, whose address the lease record names: each
sends it demand reports, and it announces all members to all.
"""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

from wisterialoom.core.placement.fleet_demand import DemandReport
from wisterialoom.platform._tasks import TaskGroup, wait_for
from wisterialoom.platform.hints import (
    AllowanceGranted,
    AllowanceWanted,
    BrittleRejection,
    ConfigCopy,
    CopyWanted,
    CrashHint,
    KeysAnswer,
    KeysQuestion,
    LostPaths,
    News,
    OriginAnswer,
    OriginWanted,
    PlacementChange,
    PlacementHint,
    PlacementWanted,
    QuotaHint,
    Released,
    RelistWindow,
    ServerHint,
    ServerLimits,
    ServersCopy,
    ServerVersions,
    StoreReached,
    StreamHint,
    StreamsBegun,
    TurnsGranted,
    TurnsWanted,
    VersionsWanted,
)
from wisterialoom.platform.lease_manager import lease_clock
from wisterialoom.platform.placement_feed import members_digest
from wisterialoom.platform.placement_view import DigestMismatch

if TYPE_CHECKING:
    from wisterialoom.core.serving.dispatcher import Dispatcher
    from wisterialoom.platform.crash_exchange import CrashExchange
    from wisterialoom.platform.hints import Hint, KeyHint
    from wisterialoom.platform.key_exchange import KeyExchange
    from wisterialoom.platform.limit_exchange import LimitExchange
    from wisterialoom.platform.peers import PeerLink
    from wisterialoom.platform.placement_controller import PlacementController
    from wisterialoom.platform.placement_view import PlacementView
    from wisterialoom.platform.quota_exchange import QuotaExchange
    from wisterialoom.platform.relay import Relay
    from wisterialoom.platform.stream_exchange import StreamExchange

__all__ = ["Fleet"]

logger = logging.getLogger(__name__)

REPORT_INTERVAL_S = 0.4
"""Time between two demand reports while demand changes."""

IDLE_REPORT_INTERVAL_S = 1.0
"""Time between two demand reports while nothing changes."""

ARRIVAL_RESEND_S = 1.5
"""Time for which a changed arrival count is sent again, as datagrams can be lost."""

REPORT_BATCH_S = 0.002
"""Time for which a report is delayed, so that it covers all requests that begin to
wait in about one iteration of the event loop."""

MEMBER_TIMEOUT_S = 6.0
"""Time without a message after which an instance no longer counts as a member."""


class Fleet:
    """Tracks the members, sends demand reports and applies placement hints.

    Attributes:
        instance: Name of this instance.
        boot: Identity of this process.
        address: Address of this instance.
        holder_address: Address of the holder of the placement lease; empty if
            unknown.
        epoch: Fencing number of the holder.
        serial: Serial of the last hint from the holder.
        placement: Models on the model servers, as announced by the holder.
        digest_mismatch: Decides when to request everything from the holder because
            the view here has differed for too long.
        last_seen: Monotonic time of the last message from each instance.
        wake_event: Set to send a demand report immediately.
        arrivals_sent: Arrival count last reported for each resource.
        arrivals_changed: Monotonic time at which each of these counts changed.
        reported_to: Address that the last demand report was sent to.
    """

    def __init__(
        self,
        instance: str,
        boot: str,
        address: str,
        peers: PeerLink,
        dispatcher: Dispatcher,
        placement: PlacementView,
    ) -> None:
        self.instance = instance
        self.boot = boot
        self.address = address
        self.peers = peers
        self.dispatcher = dispatcher
        self.placement = placement
        self.digest_mismatch = DigestMismatch()
        self.placement_controller: PlacementController
        self.relay: Relay
        self.limit_exchange: LimitExchange
        self.quota_exchange: QuotaExchange
        self.crash_exchange: CrashExchange
        self.stream_exchange: StreamExchange
        self.key_exchange: KeyExchange
        self.holder_address = ""
        self.epoch = 0
        self.serial = 0
        self.last_seen: dict[str, float] = {}
        self.wake_event = asyncio.Event()
        self.arrivals_sent: dict[str, int] = {}
        self.arrivals_changed: dict[str, float] = {}
        self.reported_to = ""
        self.tasks = TaskGroup()

    def start(self) -> None:
        """Start sending demand reports."""
        self.peers.members[self.instance] = self.address
        self._update_instances()
        self.tasks.supervise("demand", self._send_demand)

    async def stop(self) -> None:
        """Stop sending demand reports."""
        await self.tasks.stop()

    def _update_instances(self) -> None:
        self.dispatcher.set_instances(time.monotonic(), self.peers.members)
        helpers = self.dispatcher.ways.helpers
        helpers.members = self.peers.members
        helpers.drop_gone()

    def handle_hint(self, hint: Hint, address: str) -> None:
        """Handle a hint from another instance.

        Args:
            hint: The hint.
            address: Address of the sender.
        """
        now = time.monotonic()
        match hint:
            case DemandReport(instance=name):
                joined = name not in self.peers.members
                self._record_seen(now, name, address)
                self.placement_controller.record_demand(hint)
                if joined and self.placement_controller.holds_lease:
                    self.placement_controller.feed.send_snapshot(address)
            case Released(epoch=epoch):
                self.placement_controller.lease.record_release(lease_clock(), epoch)
            case PlacementHint():
                self._record_seen(now, hint.holder, hint.address)
                self.apply_placement_hint(hint)
            case PlacementChange(holder=name):
                self._record_seen(now, name, address)
                if self._is_current(hint):
                    self.placement.apply_change(hint.servers)
            case PlacementWanted(instance=name):
                self._record_seen(now, name, address)
                if self.placement_controller.holds_lease:
                    self.placement_controller.feed.send_snapshot(address)
            case (
                News(watcher=name)
                | CopyWanted(instance=name)
                | RelistWindow(instance=name)
                | ServerVersions(instance=name)
                | StoreReached(instance=name)
                | VersionsWanted(instance=name)
            ):
                self._record_seen(now, name, address)
                self.relay.handle_hint(hint, address)
            case (
                AllowanceGranted()
                | AllowanceWanted()
                | BrittleRejection()
                | CrashHint()
                | KeysAnswer()
                | KeysQuestion()
                | LostPaths()
                | OriginAnswer()
                | OriginWanted()
                | ServerLimits()
                | StreamsBegun()
                | TurnsWanted()
                | TurnsGranted()
            ):
                self._record_seen(now, hint.instance, address)
                self._handle_server_hint(hint, address)
            case ConfigCopy() | ServersCopy():
                self.relay.handle_hint(hint, address)

    def _handle_server_hint(
        self,
        hint: ServerHint | StreamHint | KeyHint | QuotaHint,
        address: str,
    ) -> None:
        match hint:
            case KeysQuestion() | KeysAnswer():
                self.key_exchange.handle_hint(hint, address)
            case AllowanceGranted() | AllowanceWanted():
                self.quota_exchange.handle_hint(hint, address)
            case StreamsBegun() | OriginWanted() | OriginAnswer():
                self.stream_exchange.handle_hint(hint, address)
            case LostPaths(instance=name, services=services):
                helpers = self.dispatcher.ways.helpers
                helpers.record_lost_services(
                    time.monotonic(), name, frozenset(services)
                )
            case CrashHint():
                self.crash_exchange.handle_hint(hint)
            case _:
                self.limit_exchange.handle_hint(hint, address)

    def _record_seen(self, now: float, name: str, address: str) -> None:
        self.last_seen[name] = now
        if self.peers.members.get(name) != address:
            self.peers.members[name] = address
            self._update_instances()

    def drop_unresponsive(self, now: float) -> None:
        """Drop members that timed out.

        Only the lease holder does so, as it receives the reports of all instances.
        """
        if not self.placement_controller.holds_lease:
            return
        for name, last_seen in list(self.last_seen.items()):
            if now - last_seen > MEMBER_TIMEOUT_S:
                del self.last_seen[name]
                if self.peers.members.pop(name, None) is not None:
                    logger.info("member silent", extra={"member": name})
                    self._update_instances()

    def apply_placement_hint(self, hint: PlacementHint) -> None:
        """Apply a hint from the holder of the placement lease.

        Hints of earlier epochs and reordered hints are ignored.
        """
        if not self._is_current(hint):
            return
        now = time.monotonic()
        self.holder_address = hint.address
        if hint.holder != self.instance:
            self.placement_controller.lease.record_holder(
                lease_clock(), hint.epoch, hint.renewal
            )
            self._apply_members(hint)
            agreed = self.placement.apply_hint(
                now, hint, members_digest(self.peers.members)
            )
            if self.digest_mismatch.resync_due(now, agreed=agreed):
                self.peers.send(PlacementWanted(self.instance), hint.address)

    def _is_current(self, hint: PlacementHint | PlacementChange) -> bool:
        """Record the epoch and serial of a message; return whether it is the newest."""
        if hint.epoch < self.placement_controller.lease.epoch:
            # A newer holder, possibly this instance, has taken the lease since.
            return False
        if (hint.epoch, hint.serial) <= (self.epoch, self.serial):
            return False
        if hint.epoch != self.epoch:
            logger.info(
                "placement holder", extra={"holder": hint.holder, "epoch": hint.epoch}
            )
        self.epoch, self.serial = hint.epoch, hint.serial
        return True

    def _apply_members(self, hint: PlacementHint) -> None:
        if not (hint.members or hint.members_complete):
            return
        members = {} if hint.members_complete else dict(self.peers.members)
        for name, address in hint.members.items():
            if address:
                members[name] = address
            else:
                members.pop(name, None)
        self.peers.members = members | {self.instance: self.address}
        self._update_instances()

    def record_holder(self, name: str, address: str) -> None:
        """Record the holder of the placement lease.

        A new holder gets a demand report immediately, from which it learns of this
        instance. If this instance is the holder, the timeouts of all other members
        start again.
        """
        if address != self.holder_address:
            self.holder_address = address
            self.wake_event.set()
        if name == self.instance:
            now = time.monotonic()
            self.last_seen = dict.fromkeys(self.peers.members.keys() - {name}, now)

    def holder_to_ask(self) -> str | None:
        """Return the address of another instance that holds the lease.

        Returns:
            The address; empty if there is none, `None` if it is not known yet.
        """
        if self.holder_address not in ("", self.address):
            return self.holder_address
        return "" if self.placement_controller.lease.was_read else None

    def demand_changed(self) -> None:
        """Send demand immediately, as a request waits for another model or adapter."""
        self.wake_event.set()

    async def _send_demand(self) -> None:
        last: DemandReport | None = None
        sent_at = float("-inf")
        while True:
            if await wait_for(self.wake_event, REPORT_INTERVAL_S):
                self.wake_event.clear()
                await asyncio.sleep(REPORT_BATCH_S)
            now = time.monotonic()
            report = self._build_report(now)
            if (
                report == last
                and now - sent_at < IDLE_REPORT_INTERVAL_S
                and self.reported_to == self.holder_address
            ):
                continue
            last, sent_at = report, now
            self.reported_to = self.holder_address
            self.placement_controller.record_demand(report)
            if self.holder_address and not self.placement_controller.holds_lease:
                self.peers.send(report, self.holder_address)

    def _build_report(self, now: float) -> DemandReport:
        for resource, count in self.dispatcher.arrivals.items():
            if self.arrivals_sent.get(resource) != count:
                self.arrivals_sent[resource] = count
                self.arrivals_changed[resource] = now
        recent = {
            resource: self.arrivals_sent[resource]
            for resource, changed_at in self.arrivals_changed.items()
            if now - changed_at < ARRIVAL_RESEND_S
        }
        return DemandReport(
            instance=self.instance,
            boot=self.boot,
            waiting=self.dispatcher.waiting | self.dispatcher.wanted_versions(now),
            arrivals=recent,
            running=self.dispatcher.running(),
        )
