"""This instance among the others: who is there, who holds the placement lease."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

from wisterialoom.core.placement.fleet_demand import DemandReport
from wisterialoom.platform._tasks import TaskGroup, wait_for
from wisterialoom.platform.hints import (
    ConfigCopy,
    CopyWanted,
    Hello,
    News,
    PlacementHint,
    PlacementWanted,
    Released,
    ServersCopy,
)
from wisterialoom.platform.lease_manager import lease_clock
from wisterialoom.platform.placement_feed import members_digest
from wisterialoom.platform.placement_view import DigestMismatch
from wisterialoom.platform.store import ObjectExistsError, StoreUnavailableError

if TYPE_CHECKING:
    from wisterialoom.core.serving.dispatcher import Dispatcher
    from wisterialoom.platform.hints import Hint
    from wisterialoom.platform.peers import PeerLink
    from wisterialoom.platform.placement_controller import PlacementController
    from wisterialoom.platform.placement_view import PlacementView
    from wisterialoom.platform.relay import Relay
    from wisterialoom.platform.store import StoreClient

__all__ = ["Fleet"]

logger = logging.getLogger(__name__)

MEMBER_KIND = "wisterialoom-members"

REPORT_S = 0.4
"""Time between two demand reports while demand changes."""

IDLE_REPORT_S = 1.0
"""Time between two demand reports while nothing changes."""

RECENT_S = 1.5
"""Arrival counts that changed within this time are sent again, against losses."""

JOIN_S = 0.002
"""Time in which requests that begin to wait share one report; one step of the loop."""

MEMBER_SILENCE_S = 6.0
"""Silence after which an instance no longer counts as a member."""


class Fleet:
    """Keeps members known, sends demand, and takes placement.

    Attributes:
        instance: Name of this instance.
        boot: Identity of this process.
        holder_address: Address of the holder of the placement lease, if heard.
        epoch: Its fencing number.
        serial: Serial of its last hint.
        placement: What the model servers hold, as the holder told.
        digest_mismatch: Tells when what is known here differs for too long.
    """

    def __init__(
        self,
        instance: str,
        boot: str,
        address: str,
        store: StoreClient,
        peers: PeerLink,
        dispatcher: Dispatcher,
        placement: PlacementView,
    ) -> None:
        self.instance = instance
        self.boot = boot
        self.address = address
        self.store = store
        self.peers = peers
        self.dispatcher = dispatcher
        self.placement = placement
        self.digest_mismatch = DigestMismatch()
        self.placement_controller: PlacementController
        self.relay: Relay
        self.holder_address = ""
        self.epoch = 0
        self.serial = 0
        self.last_seen: dict[str, float] = {}
        self.wake_event = asyncio.Event()
        self.arrivals_sent: dict[str, int] = {}
        self.arrivals_changed: dict[str, float] = {}
        self.tasks = TaskGroup()

    def start(self) -> None:
        """Begin to announce this instance and to send demand."""
        self.peers.members[self.instance] = self.address
        self.tasks.spawn(self._announce())
        self.tasks.spawn(self._send_demand())

    async def stop(self) -> None:
        """Stop sending."""
        await self.tasks.stop()

    async def _announce(self) -> None:
        spec = {"address": self.address}
        pause_s = 0.1
        while True:
            try:
                await self._register(spec)
                listing = await self.store.list(MEMBER_KIND)
                break
            except StoreUnavailableError as error:
                logger.info("not registered yet", extra={"error": str(error)})
                await asyncio.sleep(pause_s)
                pause_s = min(1.0, 2 * pause_s)
        for found in listing.objects:
            if isinstance(found.spec, dict) and found.name != self.instance:
                address = found.spec.get("address")
                if isinstance(address, str):
                    self.peers.members.setdefault(found.name, address)
                    self.last_seen.setdefault(found.name, time.monotonic())
        self._note_members()
        self.peers.send_all(
            Hello(self.instance, self.address), self.peers.others(self.instance)
        )

    async def _register(self, spec: dict[str, str]) -> None:
        try:
            await self.store.create(MEMBER_KIND, self.instance, spec)
        except ObjectExistsError as error:
            if error.current is None or error.current.spec != spec:
                await self.store.replace(MEMBER_KIND, self.instance, spec)

    def _note_members(self) -> None:
        self.dispatcher.set_sharing_instances(len(self.peers.members))

    def take(self, hint: Hint, address: str) -> None:
        """Take a hint of another instance."""
        now = time.monotonic()
        match hint:
            case Hello(instance=name):
                self._heard(now, name, hint.address)
            case DemandReport(instance=name):
                self._heard(now, name, address)
                self.placement_controller.take_demand(hint)
            case Released(epoch=epoch):
                self.placement_controller.lease.record_release(lease_clock(), epoch)
            case PlacementHint():
                self._heard(now, hint.holder, hint.address)
                self.take_placement(hint)
            case PlacementWanted(instance=name):
                self._heard(now, name, address)
                if self.placement_controller.holds_lease:
                    self.placement_controller.feed.answer(address)
            case News():
                self._heard(now, hint.watcher, address)
                self.relay.take_news(hint, address)
            case CopyWanted(instance=name):
                self._heard(now, name, address)
                self.relay.answer(hint, address)
            case ConfigCopy():
                self.relay.take_config(hint)
            case ServersCopy():
                self.relay.take_servers(hint)

    def _heard(self, now: float, name: str, address: str) -> None:
        self.last_seen[name] = now
        if self.peers.members.get(name) != address:
            self.peers.members[name] = address
            self._note_members()

    def drop_unresponsive(self, now: float) -> None:
        """Drop members that were not heard for long; the holder hears all."""
        if not self.placement_controller.holds_lease:
            return
        for name, last_seen in list(self.last_seen.items()):
            if now - last_seen > MEMBER_SILENCE_S:
                del self.last_seen[name]
                if self.peers.members.pop(name, None) is not None:
                    logger.info("member silent", extra={"member": name})
                    self._note_members()

    def take_placement(self, hint: PlacementHint) -> None:
        """Take what the holder of the placement lease knows."""
        if hint.epoch < self.placement_controller.lease.epoch:
            # Another has taken the lease since; this instance may be the one.
            return
        if (hint.epoch, hint.serial) <= (self.epoch, self.serial):
            return
        if hint.epoch != self.epoch:
            logger.info(
                "placement holder", extra={"holder": hint.holder, "epoch": hint.epoch}
            )
        now = time.monotonic()
        self.epoch, self.serial = hint.epoch, hint.serial
        self.holder_address = hint.address
        if hint.holder != self.instance:
            self.placement_controller.lease.record_holder(
                lease_clock(), hint.epoch, hint.renewal
            )
            self._take_members(hint)
            agreed = self.placement.take_hint(
                now, hint, members_digest(self.peers.members)
            )
            if self.digest_mismatch.resync_due(now, agreed=agreed):
                self.peers.send(PlacementWanted(self.instance), hint.address)

    def _take_members(self, hint: PlacementHint) -> None:
        if not (hint.members or hint.members_whole):
            return
        members = {} if hint.members_whole else dict(self.peers.members)
        for name, address in hint.members.items():
            if address:
                members[name] = address
            else:
                members.pop(name, None)
        self.peers.members = members | {self.instance: self.address}
        self._note_members()

    def note_holder(self, name: str, address: str) -> None:
        """Note who holds the placement lease, as the store has it."""
        self.holder_address = address
        if name == self.instance:
            now = time.monotonic()
            self.last_seen = dict.fromkeys(self.peers.members.keys() - {name}, now)

    def demand_changed(self) -> None:
        """Send demand at once, as a request waits for something new."""
        self.wake_event.set()

    async def _send_demand(self) -> None:
        last: DemandReport | None = None
        sent_at = float("-inf")
        while True:
            if await wait_for(self.wake_event, REPORT_S):
                self.wake_event.clear()
                await asyncio.sleep(JOIN_S)
            now = time.monotonic()
            report = self._report(now)
            if report == last and now - sent_at < IDLE_REPORT_S:
                continue
            last, sent_at = report, now
            self.placement_controller.take_demand(report)
            if self.placement_controller.holds_lease:
                continue
            if self.holder_address:
                self.peers.send(report, self.holder_address)

    def _report(self, now: float) -> DemandReport:
        for resource, count in self.dispatcher.arrivals.items():
            if self.arrivals_sent.get(resource) != count:
                self.arrivals_sent[resource] = count
                self.arrivals_changed[resource] = now
        recent = {
            resource: self.arrivals_sent[resource]
            for resource, at in self.arrivals_changed.items()
            if now - at < RECENT_S
        }
        return DemandReport(
            instance=self.instance,
            boot=self.boot,
            waiting=dict(self.dispatcher.waiting),
            arrivals=recent,
            running=self.dispatcher.running(),
        )
