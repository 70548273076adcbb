"""Reads, acquires and renews the placement lease in the store."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

from wisterialoom.core.fleet import (
    LeaseRecord,
    PlacementLease,
    ReadLease,
    Revision,
    TakeLease,
)
from wisterialoom.platform.fields import (
    DECODE_ERRORS,
    read_address,
    read_count,
    read_mapping,
    read_names,
    read_text,
)
from wisterialoom.platform.store import (
    ObjectConflictError,
    StoreRestoredError,
    StoreUnavailableError,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisterialoom.core.fleet import LeaseStep, WriteLease
    from wisterialoom.core.serving.software_versions import VersionHistory
    from wisterialoom.platform.store import StoreClient, StoreObject

__all__ = ["LeaseManager", "lease_clock"]

logger = logging.getLogger(__name__)

LEASE_KIND = "wisterialoom-leases"

ABSTAIN_CHECK_S = 0.2
"""Interval between checks whether this instance still leaves the lease to others."""

RENEWAL_TIMEOUT_S = 0.5
"""Timeout of a write to an existing lease record.

A renewal that times out leaves time for another attempt before the lease ends.
"""


def lease_clock() -> float:
    """Return a monotonic time in seconds that includes time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class LeaseManager:
    """Makes the store calls that the lease requires.

    Attributes:
        lease: State machine that decides on each next step.
        store: Store that keeps the lease record.
        record_holder: Called with the name and address of the holder.
        on_taken: Called when this instance has taken the lease.
        abstains: Returns whether this instance should leave the lease to others.
        versions: Software versions of the servers, which the record keeps for
            instances that start later.
        recorded_versions: The versions in the record as last read or written; `None`
            if it does not name all.
        failures: Number of failed calls since the last answer.
    """

    def __init__(
        self,
        lease: PlacementLease,
        store: StoreClient,
        record_holder: Callable[[str, str], None],
        on_taken: Callable[[], None],
        abstains: Callable[[], bool],
        versions: VersionHistory,
    ) -> None:
        self.lease = lease
        self.store = store
        self.record_holder = record_holder
        self.on_taken = on_taken
        self.abstains = abstains
        self.versions = versions
        self.recorded_versions: dict[str, list[str]] | None = None
        self.failures = 0

    async def run(self) -> None:
        """Read, acquire and renew the lease until canceled."""
        while True:
            self.record_era()
            if not self.lease.is_holder and self.abstains():
                await asyncio.sleep(ABSTAIN_CHECK_S)
                continue
            step = self.lease.step(lease_clock())
            if step is None:
                await asyncio.sleep(self.lease.pause_s(lease_clock()))
                continue
            try:
                await self._carry_out(step)
            except StoreRestoredError:
                # The next round begins with the new era.
                continue
            except ObjectConflictError:
                self.lease.record_conflict(lease_clock())
            except StoreUnavailableError as error:
                self.lease.record_failure(lease_clock())
                self.failures += 1
                if self.failures == 1:
                    logger.warning("lease call failed", extra={"error": str(error)})
                await asyncio.sleep(0.1)
                continue
            if self.failures:
                logger.info("lease calls answered", extra={"failed": self.failures})
                self.failures = 0

    def record_era(self) -> None:
        """Give up a lease of an earlier era; the store has lost or may have lost it."""
        held = self.lease.is_holder
        if self.lease.record_era(lease_clock(), self.store.era) and held:
            logger.warning(
                "lease lost, the store was restored",
                extra={"era": self.lease.era, "may_retake": self.lease.may_retake},
            )

    async def _carry_out(self, step: LeaseStep) -> None:
        sent_at = lease_clock()
        if isinstance(step, ReadLease):
            self._record_read(await self._read_record())
            return
        written = await self._write_record(step.record, step.revision)
        self.lease.record_write(
            sent_at, lease_clock(), step.record, written.revision.number
        )
        if isinstance(step, TakeLease):
            self.on_taken()

    async def _read_record(self) -> StoreObject | None:
        if self.store.answered_event.is_set():
            return await self.store.read(
                LEASE_KIND, self._record_name(), era=self.lease.era
            )
        # The store's era, and so the name of the record, is not known yet. A list tells
        # both in one call.
        listing = await self.store.list(LEASE_KIND)
        self.record_era()
        name = self._record_name()
        return next((item for item in listing.objects if item.name == name), None)

    def _record_name(self) -> str:
        """Return the name of this era's record.

        A late write of an earlier era cannot change it, although the store assigns
        the same revisions again.
        """
        era = self.lease.era
        return f"placement-{era}" if era else "placement"

    async def read_versions(self) -> None:
        """Read the software versions that the holder has recorded.

        Raises:
            StoreUnavailableError: The store did not answer.
            StoreRestoredError: The store was restored during the call.
        """
        found = await self._read_record()
        if found is not None:
            self._record_versions(found)

    def _record_versions(self, found: StoreObject) -> None:
        self.recorded_versions = _decode_versions(found)
        self.versions.record_earlier(time.monotonic(), self.recorded_versions)

    def _versions_to_record(self) -> dict[str, list[str]] | None:
        """Return the versions for the record that replaces the one last seen.

        What that one names still counts for an instance that does not know them all.
        """
        versions = self.versions.to_record(time.monotonic())
        if versions is None and self.recorded_versions is not None:
            versions = {
                service: sorted(self.versions.listed.get(service, set()) | set(names))
                for service, names in self.recorded_versions.items()
            }
        self.recorded_versions = versions
        return versions

    def _record_read(self, found: StoreObject | None) -> None:
        if found is not None:
            self._record_versions(found)
        record = _decode_record(found) if found is not None else None
        revision = found.revision.number if found is not None else 0
        self.lease.record_read(lease_clock(), record, revision)
        if record is not None and not record.released:
            self.record_holder(record.holder, record.address)

    async def _write_record(self, record: LeaseRecord, revision: int) -> StoreObject:
        spec = {
            "holder": record.holder,
            "boot": record.boot,
            "epoch": record.epoch,
            "address": record.address,
            "serial": record.serial,
            "released": record.released,
            "versions": self._versions_to_record(),
        }
        name, era = self._record_name(), self.lease.era
        if revision == 0:
            return await self.store.create(LEASE_KIND, name, spec, era=era)
        return await self.store.replace(
            LEASE_KIND,
            name,
            spec,
            Revision(era, revision),
            timeout_s=RENEWAL_TIMEOUT_S,
        )

    async def release(self, release: WriteLease) -> bool:
        """Record in the store that this holder sends no more orders.

        Args:
            release: The write that releases the lease.

        Returns:
            Whether the record was written.
        """
        try:
            await self._write_record(release.record, release.revision)
        except (
            StoreUnavailableError,
            StoreRestoredError,
            ObjectConflictError,
        ) as error:
            logger.warning(
                "cannot release lease, others wait until it expires",
                extra={"error": str(error)},
            )
            return False
        return True


def _decode_versions(found: StoreObject) -> dict[str, list[str]] | None:
    """Decode the versions; holders of an earlier build record none."""
    try:
        versions = found.spec.get("versions")
        if versions is None:
            return None
        return {
            service: list(read_names(names))
            for service, names in read_mapping(versions).items()
        }
    except DECODE_ERRORS as error:
        logger.error("cannot decode versions of servers", extra={"error": repr(error)})
        return None


def _decode_record(found: StoreObject) -> LeaseRecord | None:
    spec = found.spec
    try:
        return LeaseRecord(
            holder=read_text(spec["holder"]),
            boot=read_text(spec["boot"]),
            epoch=read_count(spec["epoch"]),
            address=read_address(spec["address"]),
            serial=read_count(spec["serial"]),
            released=bool(spec["released"]),
        )
    except DECODE_ERRORS as error:
        logger.error("cannot decode lease record", extra={"error": repr(error)})
        return None
