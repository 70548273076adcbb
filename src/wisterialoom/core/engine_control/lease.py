"""Lease on one engine, kept in its ledger; it needs no shared clock."""

from __future__ import annotations

import enum
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from wisterialoom.core.ledger import Ledger, ledger_key, LedgerError
from wisterialoom.core.object_store import (
    ABSENT,
    ObjectConflict,
    ObjectRead,
    ObjectUnavailable,
    ObjectWritten,
    ReadObject,
    WriteObject,
)

if TYPE_CHECKING:
    from wisterialoom.core.ledger import JournalEntry
    from wisterialoom.core.object_store import ObjectEvent, OperationIds

__all__ = ["Holder", "Lease", "LeaseChange"]

RETRY_S = 0.5
"""Wait before the ledger is read again after a failed operation, in seconds."""

EXPIRY_FACTOR = 1.1
"""Lease lengths after which a candidate considers a lease expired.

More than 1, since the clocks of two instances may run at different speeds.
"""

NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class Holder:
    """Identity of one process of an entry instance.

    Attributes:
        name: Name of the entry instance.
        boot_id: Identity of the process, unique among those of this name.
    """

    name: str
    boot_id: str


class LeaseChange(enum.Enum):
    """How an answer of the object API changed the lease."""

    NONE = "none"
    TAKEN = "taken"
    COMMITTED = "committed"
    RELEASED = "released"
    LOST = "lost"


class Lease:
    """Reads, takes, renews and releases the lease on one engine.

    One operation is in progress at a time. The holder measures the lease from the
    moment it sent the renewing write. A candidate measures from when it first saw
    that version of the ledger, which is always later, so that the two never hold the
    lease at once.

    Attributes:
        server: Identifier of the backend server.
        me: Identity of this process.
        ids: Source of operation identifiers.
        lease_s: Length of the lease in seconds.
        holding: The ledger named this process as the holder when last seen.
        valid_until: Monotonic time at which the lease expires.
        renewed_at: When the last committed write was sent.
        ledger: The ledger as last seen; `None` before the first read.
        version: Version of the ledger as last seen.
        seen_at: When that version was first seen.
        read_due: When to read the ledger again; infinite if that is not necessary.
        op: Identifier of the operation in progress; empty if there is none.
        sent_at: When the last operation was sent.
        writing: Ledger that the operation in progress writes; `None` if it reads.
        writes: Count of writes; part of their identifiers.
        barred_epoch: This process has released all epochs up to this one for good.
        failed_sent_at: When the last operation that failed was sent.
        taken_epoch: Epoch of the last write by which this object tried to take the
            lease.
    """

    def __init__(
        self, server: str, me: Holder, ids: OperationIds, lease_s: float
    ) -> None:
        self.server = server
        self.me = me
        self.ids = ids
        self.lease_s = lease_s
        self.holding = False
        self.valid_until = NEVER
        self.renewed_at = NEVER
        self.ledger: Ledger | None = None
        self.version = ABSENT
        self.seen_at = NEVER
        self.read_due = 0.0
        self.op = ""
        self.sent_at = NEVER
        self.writing: Ledger | None = None
        self.writes = 0
        self.barred_epoch = 0
        self.failed_sent_at = NEVER
        self.taken_epoch = 0

    @property
    def epoch(self) -> int:
        """Epoch of the ledger as last seen; 0 before the first read."""
        return self.ledger.epoch if self.ledger else 0

    def is_valid(self, now: float) -> bool:
        """Return whether the lease is held and has not expired."""
        return self.holding and now < self.valid_until

    def drop(self) -> None:
        """Stop holding the lease, whatever the ledger says."""
        self.holding = False
        self.valid_until = NEVER

    def bar_epochs(self, epoch: int) -> None:
        """Never hold the lease again under this epoch or an earlier one."""
        self.barred_epoch = max(self.barred_epoch, epoch)
        if self.epoch <= self.barred_epoch:
            self.drop()

    def may_take(self, now: float, rank: int) -> bool:
        """Return whether a candidate may take the lease.

        Args:
            now: Monotonic time in seconds.
            rank: Rank of the candidate; those ranked lower, with greater numbers,
                wait longer.
        """
        if self.op or self.holding or self.ledger is None:
            return False
        if self.read_due != float("inf"):
            return False
        seen_for = now - self.seen_at
        if self.ledger.holder == self.me.name or self.ledger.released:
            return seen_for >= rank * self.lease_s
        return seen_for > (1 + rank) * self.lease_s * EXPIRY_FACTOR

    def read(self, now: float) -> ReadObject:
        """Start to read the ledger."""
        self._begin(now)
        self.writing = None
        self.read_due = float("inf")
        return ReadObject(self.op, ledger_key(self.server))

    def take(self, now: float) -> WriteObject:
        """Start to take the lease over; the journal stays as it was."""
        ledger = replace(
            self.ledger or Ledger(),
            holder=self.me.name,
            boot_id=self.me.boot_id,
            epoch=self.epoch + 1,
            released=False,
        )
        self.taken_epoch = ledger.epoch
        return self._write(now, ledger)

    def renew(
        self,
        now: float,
        entries: tuple[JournalEntry, ...],
        resident: tuple[str, ...],
        *,
        release: bool = False,
    ) -> WriteObject:
        """Start to renew or release the lease, and write the journal with it."""
        ledger = replace(
            self.ledger or Ledger(),
            entries=entries,
            resident=resident,
            released=release,
        )
        return self._write(now, ledger)

    def _write(self, now: float, ledger: Ledger) -> WriteObject:
        self._begin(now)
        self.writes += 1
        write_id = f"{self.me.boot_id}/{self.writes}"
        self.writing = replace(ledger, write_id=write_id)
        body = self.writing.encode()
        return WriteObject(self.op, ledger_key(self.server), body, self.version)

    def _begin(self, now: float) -> None:
        self.op = self.ids.next()
        self.sent_at = now

    def handle(self, now: float, event: ObjectEvent) -> LeaseChange:
        """Handle the answer to the operation in progress."""
        if event.op != self.op:
            return LeaseChange.NONE
        self.op = ""
        match event:
            case ObjectWritten(version=version) if self.writing is not None:
                return self._handle_write(now, version, self.writing)
            case ObjectRead(version=version, body=body):
                return self._handle_read(now, version, body)
            case ObjectConflict():
                self.read_due = now
            case ObjectUnavailable():
                self.failed_sent_at = self.sent_at
                self.read_due = now + RETRY_S
        return LeaseChange.NONE

    def _handle_write(self, now: float, version: int, ledger: Ledger) -> LeaseChange:
        taken = not self.holding
        self.version = version
        self.ledger = ledger
        self.seen_at = now
        self.writing = None
        if ledger.released:
            self.drop()
            return LeaseChange.RELEASED
        if ledger.epoch <= self.barred_epoch:
            return LeaseChange.NONE
        self.holding = True
        self.renewed_at = self.sent_at
        self.valid_until = self.sent_at + self.lease_s
        return LeaseChange.TAKEN if taken else LeaseChange.COMMITTED

    def _handle_read(self, now: float, version: int, body: bytes) -> LeaseChange:
        try:
            ledger = Ledger.decode(body)
        except LedgerError:
            self.read_due = now + self.lease_s
            return LeaseChange.NONE
        if version != self.version or self.ledger is None:
            self.seen_at = now
        self.version = version
        self.ledger = ledger
        is_own = (ledger.holder, ledger.boot_id) == (self.me.name, self.me.boot_id)
        # An earlier object of this process may have held the epoch in the ledger.
        # Its fencing numbers are unknown here and could be used twice, so that only
        # an epoch taken by this object counts as held.
        is_own = is_own and ledger.epoch == self.taken_epoch
        barred = ledger.epoch <= self.barred_epoch
        if is_own and not ledger.released and not barred:
            taken, self.holding = not self.holding, True
            return LeaseChange.TAKEN if taken else LeaseChange.COMMITTED
        lost = self.holding
        self.drop()
        return LeaseChange.LOST if lost else LeaseChange.NONE
