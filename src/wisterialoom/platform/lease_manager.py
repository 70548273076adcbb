"""Reads, takes and renews the placement lease in the store."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

from wisterialoom.core.fleet import (
    LeaseRecord,
    PlacementLease,
    ReadLease,
    TakeLease,
    WriteLease,
)
from wisterialoom.platform.store import (
    ObjectExistsError,
    StoreUnavailableError,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisterialoom.platform.store import StoreClient, StoreObject

__all__ = ["LeaseManager", "lease_clock"]

logger = logging.getLogger(__name__)

LEASE_KIND = "wisterialoom-leases"
LEASE_NAME = "placement"

RENEWAL_TIMEOUT_S = 0.5
"""Longest wait for a renewal, so that another can be sent before the lease ends."""


def lease_clock() -> float:
    """Return a monotonic time that counts suspends, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class LeaseManager:
    """Carries out what the lease decides.

    Attributes:
        lease: Decides about the lease.
        store: Keeps its record.
        note_holder: Told the name and address of the holder.
        taken: Called when this instance has taken the lease.
        failures: Calls in a row that failed.
    """

    def __init__(
        self,
        lease: PlacementLease,
        store: StoreClient,
        note_holder: Callable[[str, str], None],
        taken: Callable[[], None],
    ) -> None:
        self.lease = lease
        self.store = store
        self.note_holder = note_holder
        self.taken = taken
        self.failures = 0

    async def run(self) -> None:
        """Read, take and renew the lease until cancelled."""
        while True:
            step = self.lease.step(lease_clock())
            if step is None:
                await asyncio.sleep(0.05)
                continue
            sent_at = lease_clock()
            try:
                if isinstance(step, ReadLease):
                    found = await self.store.read(LEASE_KIND, LEASE_NAME)
                    self._record_read(found)
                    continue
                written = await self._write(step.record, step.revision)
            except ObjectExistsError:
                self.lease.record_conflict(lease_clock())
                continue
            except StoreUnavailableError as error:
                self.lease.record_failure(lease_clock())
                self.failures += 1
                if self.failures == 1:
                    logger.warning("lease call failed", extra={"error": str(error)})
                await asyncio.sleep(0.1)
                continue
            self.lease.record_write(
                sent_at, lease_clock(), step.record, written.revision
            )
            if self.failures:
                logger.info("lease calls answered", extra={"failed": self.failures})
                self.failures = 0
            if isinstance(step, TakeLease):
                self.taken()

    def _record_read(self, found: StoreObject | None) -> None:
        record = _decode_record(found) if found is not None else None
        revision = found.revision if found is not None else 0
        self.lease.record_read(lease_clock(), record, revision)
        if record is not None and not record.released:
            self.note_holder(record.holder, record.address)

    async def _write(self, record: LeaseRecord, revision: int) -> StoreObject:
        spec = {
            "holder": record.holder,
            "boot": record.boot,
            "epoch": record.epoch,
            "address": record.address,
            "serial": record.serial,
            "released": record.released,
        }
        if revision == 0:
            return await self.store.create(LEASE_KIND, LEASE_NAME, spec)
        return await self.store.replace(
            LEASE_KIND, LEASE_NAME, spec, revision, timeout_s=RENEWAL_TIMEOUT_S
        )

    async def release(self, release: WriteLease) -> bool:
        """Write that the holder gives no more orders; tell whether it is written."""
        try:
            await self._write(release.record, release.revision)
        except (StoreUnavailableError, ObjectExistsError) as error:
            logger.warning("lease not released", extra={"error": str(error)})
            return False
        return True


def _decode_record(found: StoreObject) -> LeaseRecord | None:
    spec = found.spec
    try:
        return LeaseRecord(
            holder=str(spec["holder"]),
            boot=str(spec["boot"]),
            epoch=int(spec["epoch"]),
            address=str(spec["address"]),
            serial=int(spec["serial"]),
            released=bool(spec["released"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        logger.error("lease record unreadable", extra={"error": repr(error)})
        return None
