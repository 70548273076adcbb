"""The ledger of one engine: its lease and the loads that may still happen."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass

from wisterialoom.core.error import WisterialoomError

__all__ = ["JournalEntry", "Ledger", "LedgerError", "ledger_key"]

LEDGER_PREFIX = "ledgers/"


class LedgerError(WisterialoomError):
    """Raised when the body of a ledger cannot be read."""


def ledger_key(server: str) -> str:
    """Return the key of a backend server's ledger in the object API."""
    return LEDGER_PREFIX + server


@dataclass(frozen=True, slots=True)
class JournalEntry:
    """A load that was, or may have been, ordered.

    Attributes:
        order_id: Identity of the order.
        key: `name@version` of the model or adapter.
        memory_mb: Accelerator memory that the load takes, in MB.
        adapter: It is an adapter.
        holder: Name of the entry instance that ordered.
        boot_id: Identity of its process.
        epoch: Epoch of its lease.
        closed: Its holder wrote that the order's connection has closed.
    """

    order_id: str
    key: str
    memory_mb: int
    adapter: bool
    holder: str
    boot_id: str
    epoch: int
    closed: bool = False


@dataclass(frozen=True, slots=True)
class Ledger:
    """What lasts about one engine.

    Attributes:
        holder: Name of the entry instance that holds the lease.
        boot_id: Identity of the holder's process.
        epoch: Count of takeovers.
        released: The holder gave the lease up.
        write_id: Identity of the write, to recognize it after a lost answer.
        entries: Loads that may still happen.
        resident: `name@version` of what was resident; may be out of date.
    """

    holder: str = ""
    boot_id: str = ""
    epoch: int = 0
    released: bool = True
    write_id: str = ""
    entries: tuple[JournalEntry, ...] = ()
    resident: tuple[str, ...] = ()

    def encode(self) -> bytes:
        """Return the body that the object API keeps."""
        return json.dumps(asdict(self), separators=(",", ":")).encode()

    @classmethod
    def decode(cls, body: bytes) -> Ledger:
        """Build from a body; an empty one gives a ledger nobody holds.

        Raises:
            LedgerError: The body is not that of a ledger.
        """
        if not body:
            return cls()
        try:
            fields = json.loads(body)
            fields["entries"] = tuple(JournalEntry(**x) for x in fields["entries"])
            fields["resident"] = tuple(fields["resident"])
            return cls(**fields)
        except (ValueError, TypeError, KeyError) as error:
            raise LedgerError(
                f"a ledger cannot be read ({error}); restore its last good version "
                "or, with its engine stopped, delete the object"
            ) from error
