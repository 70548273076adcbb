"""Lease that permits a single instance to send all placement orders.

The holder may send orders for a short time after it sent its last renewal. Another
instance takes the lease only if the lease record has not changed for that time plus a
gap, so that orders of two holders are never close together. All times come from a
clock that keeps running while the machine is suspended.

If the backend servers check fencing tokens, they reject orders of a former holder.
The gap is then short, and a holder that gets no answer from the store continues as
long as no other instance has taken the lease; the others do not take it while they
receive messages of the holder. A holder whose process was suspended does not continue.

The store may be restored from a copy, and the record is then older or gone. Each era of
the store therefore has a record of its own, and fencing tokens begin with the era, so
that none is used twice even if nobody remembers the last one. The holder of the era
before takes the lease at once if nobody else can have taken it; all others wait until
its last renewal has expired.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass, replace

from wisterialoom.core.fleet.link_class import LinkClass

__all__ = [
    "LeaseRecord",
    "LeaseStep",
    "PlacementLease",
    "ReadLease",
    "TakeLease",
    "WriteLease",
]

HOLD_SHARE = 0.55
"""Time for which a renewal permits orders, as a share of the lease length."""

RENEW_SHARE = 0.2
"""Time between two renewals, as a share of the lease length."""

GAP_SHARE = 1.1
"""Minimum time between orders of two holders, as a share of the lease length."""

FENCED_GAP_SHARE = 0.15
"""The same gap if the backend servers reject old fencing tokens."""

EXTENSION_S = 30.0
"""Maximum time that a fenced holder continues without a renewal.

It covers a long outage of the store.
"""

SUSPEND_S = 1.0
"""Time between two steps from which a suspension of the process is inferred."""

STEP_INTERVAL_S = 0.05
IDLE_STEP_INTERVAL_S = 0.2
"""Times between two steps; the longer one while nothing is due.

Nothing is due to other instances while they hear the holder.
"""

HOLDER_TIMEOUT_SHARE = 0.3
"""Time without a message of the holder after which the record is read.

Given as a share of the lease length.
"""

FIRST_RETRY_S = 0.1
RETRY_GROWTH = 1.5
"""Time before the first read is tried again, and its growth with each failure."""

READ_SHARE = 0.25
"""Time between two reads of the record, as a share of the lease length."""

LINK_DELAYS_S = {LinkClass.FAST: 0.0, LinkClass.MEDIUM: 0.1, LinkClass.SLOW: 0.6}
"""Additional delay before an instance takes the lease, by its link.

For a slow link it covers the stagger of most other instances and two reads of the
record by them, so that one of them takes the lease first.
"""

MAX_READ_DELAY_S = 0.1
"""Maximum part of this delay by which the first read of the record is put off."""

ERA_SHIFT = 20
"""Bits of a fencing token below the era; a million holders in one era."""

STAGGER_S = 1.0
"""Maximum additional delay before taking the lease.

The delay is derived from the name of the instance and the epoch, so that of 200
instances only some read the record before the first of them has taken the lease.
"""


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """The lease as stored in the store.

    Attributes:
        holder: Name of the instance that holds the lease.
        boot: Identifier of the holder's process.
        epoch: Fencing token; increases with each holder, also over eras of the store.
        address: IP address of the holder.
        serial: Number of renewals; it makes each write change the object.
        released: Whether the holder has released the lease and sends no more orders.
    """

    holder: str
    boot: str
    epoch: int
    address: str
    serial: int = 0
    released: bool = False


@dataclass(frozen=True, slots=True)
class ReadLease:
    """Request to read the record."""


@dataclass(frozen=True, slots=True)
class TakeLease:
    """Request to write the record of a new holder.

    Attributes:
        record: Record to write.
        revision: Revision that the record must still have; 0 to create it.
    """

    record: LeaseRecord
    revision: int


@dataclass(frozen=True, slots=True)
class WriteLease:
    """Request to write a renewal or a release.

    Attributes:
        record: Record to write.
        revision: Revision that the record must still have.
    """

    record: LeaseRecord
    revision: int


LeaseStep = ReadLease | TakeLease | WriteLease


class PlacementLease:
    """Decides when to read, take, renew and release the lease.

    All times are in seconds, of a clock that keeps running during a suspension.

    Attributes:
        me: Name of this instance.
        boot: Identifier of this process.
        address: IP address of this instance.
        lease_s: Length of the lease.
        first_start: Whether the whole system starts for the first time, so that no
            other process can hold a lease that the store has lost.
        era: Era of the store that the record belongs to; 0 if the store names none.
        era_seen_at: Time at which that era was first seen.
        last_epoch: Highest fencing token seen.
        may_retake: Whether this process held the lease when the store was restored.
        record: Record as last read or written; `None` if none is known.
        revision: Revision of the record; 0 if there is none.
        revision_seen_at: Time at which that revision was first seen.
        was_read: Whether the record was read or written since the last conflict.
        is_holder: Whether the record, as last seen, names this process as the holder.
        valid_until: Time until which the last renewal permits orders.
        holder_seen_at: Time of the last message from another holder.
        announced_serial: Epoch and serial of the last renewal that a holder announced.
        announced_serial_at: Time at which that serial was first received.
        fenced: Whether backend servers reject orders with an old fencing token.
        extended_until: Time until which a fenced holder continues without renewals.
        stepped_at: Time of the last call of `step`.
        next_read: Time of the next read.
        next_renewal: Time of the next renewal.
        takeover_delay_s: Additional delay before this instance takes the lease.
        first_read_at: Time of the first read, or of the first one after a conflict.
        start_spread_s: Time over which the first reads of instances are spread.
        failures: Number of failed calls since the last successful one.
    """

    def __init__(
        self,
        me: str,
        boot: str,
        address: str,
        lease_s: float,
        *,
        fenced: bool,
        link: LinkClass = LinkClass.FAST,
        first_start: bool = False,
        start_spread_s: float = 0.0,
    ) -> None:
        self.me = me
        self.boot = boot
        self.address = address
        self.lease_s = lease_s
        self.first_start = first_start
        self.era = 0
        self.era_seen_at = float("-inf")
        self.last_epoch = 0
        self.may_retake = False
        self.record: LeaseRecord | None = None
        self.revision = 0
        self.revision_seen_at = float("-inf")
        self.was_read = False
        self.is_holder = False
        self.valid_until = float("-inf")
        self.holder_seen_at = float("-inf")
        self.announced_serial = (0, 0)
        self.announced_serial_at = float("-inf")
        self.fenced = fenced
        self.extended_until = float("-inf")
        self.stepped_at = float("-inf")
        self.next_read = float("-inf")
        self.next_renewal = float("-inf")
        self.takeover_delay_s = LINK_DELAYS_S[link]
        self.first_read_at = float("-inf")
        self.start_spread_s = start_spread_s
        self.failures = 0

    def is_valid(self, now: float) -> bool:
        """Return whether this process may send an order now."""
        if not self.is_holder:
            return False
        if now < self.valid_until:
            return True
        awake = now - self.stepped_at < SUSPEND_S
        return self.fenced and awake and now < self.extended_until

    @property
    def epoch(self) -> int:
        """Fencing token of the record as last seen; 0 if there is none."""
        return self.record.epoch if self.record else 0

    def step(self, now: float) -> LeaseStep | None:
        """Return the store call to make now, if any."""
        if self.stepped_at == float("-inf"):
            delay_s = min(MAX_READ_DELAY_S, self.takeover_delay_s)
            if self.start_spread_s:
                self.next_read = now + delay_s + self.start_spread_s * self._jitter()
        if now - self.stepped_at >= SUSPEND_S:
            self.extended_until = float("-inf")
        self.stepped_at = now
        if self.is_holder:
            if now < self.next_renewal:
                return None
            assert self.record is not None
            renewed = replace(self.record, serial=self.record.serial + 1)
            return WriteLease(renewed, self.revision)
        if self.was_read and self.can_take(now):
            epoch = max(self.last_epoch, self.epoch, self.era << ERA_SHIFT) + 1
            taken = LeaseRecord(self.me, self.boot, epoch, self.address)
            return TakeLease(taken, self.revision)
        if now < self.next_read or now < self._holder_expected_until():
            return None
        self.next_read = now + READ_SHARE * self.lease_s
        return ReadLease()

    def pause_s(self, now: float) -> float:
        """Return the time until the next step in seconds."""
        if self.is_holder:
            left_s = self.next_renewal - now
            return min(IDLE_STEP_INTERVAL_S, max(STEP_INTERVAL_S, left_s))
        if now - self.holder_seen_at < HOLDER_TIMEOUT_SHARE * self.lease_s:
            return IDLE_STEP_INTERVAL_S
        return STEP_INTERVAL_S

    def _holder_expected_until(self) -> float:
        """Return the time until which there is nothing to take or to find out.

        After the last renewal that its holder announced, the lease cannot be taken for
        a while. Only its holder, which all instances hear, is worth following then.
        """
        gap = FENCED_GAP_SHARE if self.fenced else GAP_SHARE
        expires_at = self.announced_serial_at + (HOLD_SHARE + gap) * self.lease_s
        return max(
            self.holder_seen_at + HOLDER_TIMEOUT_SHARE * self.lease_s,
            expires_at + self._stagger_s(),
        )

    def can_take(self, now: float) -> bool:
        """Return whether this process may take the lease."""
        if self.record is None:
            return self._can_take_vacant(now)
        if self.record.holder == self.me:
            # The holder is an earlier process of this instance, which has ended.
            return True
        if now - self.holder_seen_at < HOLDER_TIMEOUT_SHARE * self.lease_s:
            return False
        unchanged_s = now - self.revision_seen_at - self._stagger_s()
        gap = FENCED_GAP_SHARE if self.fenced else GAP_SHARE
        if self.record.released:
            # The first read of a released record is staggered already.
            if self.fenced:
                return True
            return unchanged_s > gap * self.lease_s
        return unchanged_s > (HOLD_SHARE + gap) * self.lease_s

    def _can_take_vacant(self, now: float) -> bool:
        """Return whether this process may take a lease that has no record."""
        if self.first_start and not self.last_epoch:
            return now - self.first_read_at >= self.takeover_delay_s
        if self.may_retake:
            return True
        # The record may have been lost with the store's latest changes. Its holder, of
        # which nothing may be known here, renewed it before this era at the latest.
        gap = FENCED_GAP_SHARE if self.fenced else GAP_SHARE
        since = self.era_seen_at if self.era else self.first_read_at
        waited_s = now - since - self._stagger_s()
        return waited_s > (HOLD_SHARE + gap) * self.lease_s

    def _stagger_s(self) -> float:
        return STAGGER_S * self._jitter() + self.takeover_delay_s

    def _jitter(self) -> float:
        """Return a number from 0 to 1 that differs between instances and epochs."""
        return zlib.crc32(f"{self.me}{self.last_epoch}".encode()) / 2**32

    def record_era(self, now: float, era: int) -> bool:
        """Record the era of the store; in a new one, nobody holds the lease.

        Args:
            now: Current time.
            era: Era that an answer of the store or another instance named.

        Returns:
            Whether the era is new here.
        """
        if era <= self.era:
            return False
        is_restore = self.was_read or self.era > 0
        if is_restore:
            self.first_start = False
        was_holder = self.is_holder
        self.may_retake = self.is_valid(now)
        self.era = era
        self.era_seen_at = now
        self.record = None
        self.revision = 0
        self.revision_seen_at = float("-inf")
        self.was_read = False
        if was_holder:
            self.stop_holding(now)
        elif is_restore:
            # The holder takes its lease again first.
            self.holder_seen_at = now
        else:
            self.next_read = now
        return True

    def record_read(
        self, now: float, record: LeaseRecord | None, revision: int
    ) -> None:
        """Record the result of a read."""
        if revision != self.revision:
            self.revision_seen_at = now
        if (
            record is not None
            and (record.epoch, record.serial) == self.announced_serial
        ):
            self.revision_seen_at = min(self.revision_seen_at, self.announced_serial_at)
        self.failures = 0
        if not self.was_read:
            self.first_read_at = now
        self.was_read = True
        self.record = record
        self.revision = revision
        if record is not None:
            self.last_epoch = max(self.last_epoch, record.epoch)
            self.may_retake = False
        is_own = record is not None and (record.holder, record.boot) == (
            self.me,
            self.boot,
        )
        if self.is_holder and not is_own:
            self.stop_holding(now)
        elif is_own and record is not None and not record.released:
            # An earlier write of this process took effect, but its answer was lost.
            self.is_holder = True
            self.next_renewal = now

    def record_write(
        self, sent_at: float, now: float, record: LeaseRecord, revision: int
    ) -> None:
        """Record a successful write.

        Args:
            sent_at: Time at which the write was sent, from which it is valid.
            now: Current time.
            record: Record that was written.
            revision: Its new revision.
        """
        self.failures = 0
        self.record = record
        self.revision = revision
        self.revision_seen_at = now
        self.was_read = True
        self.last_epoch = max(self.last_epoch, record.epoch)
        self.may_retake = False
        if record.released:
            self.is_holder = False
            self.valid_until = float("-inf")
            return
        self.is_holder = True
        self.valid_until = sent_at + HOLD_SHARE * self.lease_s
        self.extended_until = sent_at + EXTENSION_S
        self.next_renewal = sent_at + RENEW_SHARE * self.lease_s

    def record_failure(self, now: float) -> None:
        """Record a failed call; the next one is due before the lease expires.

        An instance that has just started has no view before it has read the record, so
        it tries again sooner at first.
        """
        self.failures += 1
        read_delay_s = READ_SHARE * self.lease_s
        if not self.was_read:
            first_s = FIRST_RETRY_S * RETRY_GROWTH ** (self.failures - 1)
            read_delay_s = min(read_delay_s, first_s)
        self.next_read = now + read_delay_s
        self.next_renewal = now + RENEW_SHARE * self.lease_s / 2

    def record_conflict(self, now: float) -> None:
        """Record that a write was rejected because the record had changed."""
        self.next_read = now
        self.was_read = False
        if self.is_holder:
            self.stop_holding(now)

    def stop_holding(self, now: float) -> None:
        """Stop sending orders; another process is the holder."""
        self.is_holder = False
        self.valid_until = float("-inf")
        self.next_read = now

    def record_holder(self, now: float, epoch: int, serial: int) -> None:
        """Record a message from another holder, with the renewal that it announced.

        Messages of holders with an older epoch, or of an earlier era, are ignored.
        """
        self.last_epoch = max(self.last_epoch, epoch)
        if epoch < self.epoch or epoch < self.era << ERA_SHIFT:
            return
        self.holder_seen_at = now
        if self.is_holder and epoch > self.epoch:
            self.stop_holding(now)
        if (epoch, serial) > self.announced_serial:
            self.announced_serial = (epoch, serial)
            self.announced_serial_at = now

    def record_release(self, now: float, epoch: int) -> None:
        """Record that the holder has released the lease; read the record at once."""
        if epoch >= self.epoch and not self.is_holder:
            self.holder_seen_at = float("-inf")
            self.announced_serial_at = float("-inf")
            self.next_read = now + self._stagger_s()

    def release(self) -> WriteLease | None:
        """Stop being the holder.

        Returns:
            The write that lets other instances take the lease sooner, or `None` if
            this process is not the holder.
        """
        if not self.is_holder or self.record is None:
            return None
        self.is_holder = False
        self.valid_until = float("-inf")
        return WriteLease(replace(self.record, released=True), self.revision)
