"""The lease that lets one instance give all orders about placement.

A holder gives orders for a short time after it sent its last renewal. Others take the
lease only when its record has not changed for that time and a gap, so that the orders
of two holders never lie close together. All times come from a clock that counts
suspends.

Where backend servers check fencing numbers, an old holder cannot do harm: the gap is
short, and a holder that the store does not answer goes on while the others hear it and
none has taken the lease. A holder that was suspended does not go on.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass, replace

__all__ = [
    "LeaseRecord",
    "LeaseStep",
    "PlacementLease",
    "ReadLease",
    "TakeLease",
    "WriteLease",
]

HOLD_SHARE = 0.55
"""Time that a renewal lets a holder give orders, in lease lengths."""

RENEW_SHARE = 0.2
"""Time between two renewals, in lease lengths."""

GAP_SHARE = 1.1
"""Least time between the orders of two holders, in lease lengths."""

FENCED_GAP_SHARE = 0.15
"""That gap where servers refuse old fencing numbers, in lease lengths."""

EXTENSION_S = 30.0
"""Longest time without a renewal that a fenced holder goes on; a long outage."""

SUSPEND_S = 1.0
"""Time between two steps that shows a suspended process; steps come 20 a second."""

HEARD_SHARE = 0.3
"""Silence of the holder after which the record is read, in lease lengths."""

READ_SHARE = 0.25
"""Time between two reads of the record, in lease lengths."""

SLOW_LINK_S = 0.6
"""Time that an instance with a slow link leaves the lease to others; their stagger and
two looks at the record."""

STAGGER_S = 0.3
"""Largest delay before a take, so that instances do not race for it."""


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """What the store keeps.

    Attributes:
        holder: Instance that holds the lease.
        boot: Identity of its process.
        epoch: Fencing number; increases with each holder.
        address: `IP` of the holder.
        serial: Count of its renewals, so that each write changes the object.
        released: The holder has given its last order.
    """

    holder: str
    boot: str
    epoch: int
    address: str
    serial: int = 0
    released: bool = False


@dataclass(frozen=True, slots=True)
class ReadLease:
    """Read the record."""


@dataclass(frozen=True, slots=True)
class TakeLease:
    """Write a record of a new holder; create it if `revision` is 0."""

    record: LeaseRecord
    revision: int


@dataclass(frozen=True, slots=True)
class WriteLease:
    """Write a renewal or a release."""

    record: LeaseRecord
    revision: int


LeaseStep = ReadLease | TakeLease | WriteLease


class PlacementLease:
    """Decides when to read, take, renew and release the lease.

    Attributes:
        me: Name of this instance.
        boot: Identity of this process.
        address: `IP` of this instance.
        lease_s: Length of the lease.
        record: Record as last seen; `None` if there is none or it is not known.
        revision: Its revision; 0 if there is none.
        seen_at: When that revision was first seen.
        read: The record has been read at least once.
        holding: This process is the holder as last seen.
        valid_until: Time until which this process may give orders.
        heard_at: When another holder was last heard.
        heard_serial: Epoch and serial of its last renewal that it told of.
        serial_heard_at: When that serial was first heard.
        fenced: Backend servers refuse orders with an old fencing number.
        extended_until: Time until which a fenced holder goes on without renewals.
        stepped_at: When the last step was asked for.
        takeover_delay_s: Time for which the lease is left to others.
        read_at: When the record was first read.
    """

    def __init__(
        self,
        me: str,
        boot: str,
        address: str,
        lease_s: float,
        *,
        fenced: bool,
        slow_link: bool = False,
    ) -> None:
        self.me = me
        self.boot = boot
        self.address = address
        self.lease_s = lease_s
        self.record: LeaseRecord | None = None
        self.revision = 0
        self.seen_at = float("-inf")
        self.read = False
        self.holding = False
        self.valid_until = float("-inf")
        self.heard_at = float("-inf")
        self.heard_serial = (0, 0)
        self.serial_heard_at = float("-inf")
        self.fenced = fenced
        self.extended_until = float("-inf")
        self.stepped_at = float("-inf")
        self.next_read = float("-inf")
        self.next_renewal = float("-inf")
        self.takeover_delay_s = SLOW_LINK_S if slow_link else 0.0
        self.read_at = float("-inf")

    def is_valid(self, now: float) -> bool:
        """Tell whether this process may give an order now."""
        if not self.holding:
            return False
        if now < self.valid_until:
            return True
        awake = now - self.stepped_at < SUSPEND_S
        return self.fenced and awake and now < self.extended_until

    @property
    def epoch(self) -> int:
        """Fencing number of the record as last seen."""
        return self.record.epoch if self.record else 0

    def step(self, now: float) -> LeaseStep | None:
        """Return the call to make now, if any."""
        if now - self.stepped_at >= SUSPEND_S:
            self.extended_until = float("-inf")
        self.stepped_at = now
        if self.holding:
            if now < self.next_renewal:
                return None
            assert self.record is not None
            renewed = replace(self.record, serial=self.record.serial + 1)
            return WriteLease(renewed, self.revision)
        if self.read and self.is_open(now):
            taken = LeaseRecord(self.me, self.boot, self.epoch + 1, self.address)
            return TakeLease(taken, self.revision)
        heard = now - self.heard_at < HEARD_SHARE * self.lease_s
        if heard or now < self.next_read:
            return None
        self.next_read = now + READ_SHARE * self.lease_s
        return ReadLease()

    def is_open(self, now: float) -> bool:
        """Tell whether this process may take the lease."""
        if self.record is None:
            return now - self.read_at >= self.takeover_delay_s
        if self.record.holder == self.me:
            # An earlier process of this instance; it has ended.
            return True
        if now - self.heard_at < HEARD_SHARE * self.lease_s:
            return False
        unseen_s = now - self.seen_at
        draw = zlib.crc32(f"{self.me}{self.epoch}".encode()) / 2**32
        unseen_s -= STAGGER_S * draw + self.takeover_delay_s
        gap = FENCED_GAP_SHARE if self.fenced else GAP_SHARE
        if self.record.released:
            return unseen_s > (0.0 if self.fenced else gap * self.lease_s)
        return unseen_s > (HOLD_SHARE + gap) * self.lease_s

    def record_read(
        self, now: float, record: LeaseRecord | None, revision: int
    ) -> None:
        """Take the record as the store has it."""
        if revision != self.revision:
            self.seen_at = now
        if record is not None and (record.epoch, record.serial) == self.heard_serial:
            self.seen_at = min(self.seen_at, self.serial_heard_at)
        if not self.read:
            self.read_at = now
        self.read = True
        self.record = record
        self.revision = revision
        mine = record is not None and (record.holder, record.boot) == (
            self.me,
            self.boot,
        )
        if self.holding and not mine:
            self.drop(now)
        elif mine and record is not None and not record.released:
            # A write of this process took effect although its answer was lost.
            self.holding = True
            self.next_renewal = now

    def record_write(
        self, sent_at: float, now: float, record: LeaseRecord, revision: int
    ) -> None:
        """Take the success of a write that was sent at a time."""
        self.record = record
        self.revision = revision
        self.seen_at = now
        self.read = True
        if record.released:
            self.holding = False
            self.valid_until = float("-inf")
            return
        self.holding = True
        self.valid_until = sent_at + HOLD_SHARE * self.lease_s
        self.extended_until = sent_at + EXTENSION_S
        self.next_renewal = sent_at + RENEW_SHARE * self.lease_s

    def record_failure(self, now: float) -> None:
        """Take the failure of a call; ask again before the lease runs out."""
        self.next_read = now + READ_SHARE * self.lease_s
        self.next_renewal = now + RENEW_SHARE * self.lease_s / 2

    def record_conflict(self, now: float) -> None:
        """Take a failed condition: the record is not what it was."""
        self.next_read = now
        self.read = False
        if self.holding:
            self.drop(now)

    def drop(self, now: float) -> None:
        """Give no more orders."""
        self.holding = False
        self.valid_until = float("-inf")
        self.next_read = now

    def record_holder(self, now: float, epoch: int, serial: int) -> None:
        """Note a sign of life of another holder, and the renewal that it told of."""
        if epoch < self.epoch:
            return
        self.heard_at = now
        if self.holding and epoch > self.epoch:
            self.drop(now)
        if (epoch, serial) > self.heard_serial:
            self.heard_serial = (epoch, serial)
            self.serial_heard_at = now

    def record_release(self, now: float, epoch: int) -> None:
        """Note that the holder has let the lease go; read the record at once."""
        if epoch >= self.epoch and not self.holding:
            self.heard_at = float("-inf")
            self.next_read = now

    def release(self) -> WriteLease | None:
        """Return the write that lets others take the lease sooner."""
        if not self.holding or self.record is None:
            return None
        self.holding = False
        self.valid_until = float("-inf")
        return WriteLease(replace(self.record, released=True), self.revision)
