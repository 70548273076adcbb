"""The persistent ledger of one engine: its lease and its unfinished loads."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass

from wisterialoom.core.error import WisterialoomError

__all__ = ["JournalEntry", "Ledger", "LedgerError", "ledger_key"]

LEDGER_PREFIX = "ledgers/"


class LedgerError(WisterialoomError):
    """Raised when the body of a ledger cannot be decoded."""


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
        adapter: Whether `key` names an adapter.
        holder: Name of the entry instance that sent the order.
        boot_id: Identity of that instance's process.
        epoch: Epoch of that instance's lease.
        closed: Whether the holder recorded that the order's connection has closed.
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
    """The persistent state of one engine's lease and order journal.

    Attributes:
        holder: Name of the entry instance that holds the lease.
        boot_id: Identity of the holder's process.
        epoch: Number of takeovers of the lease.
        released: Whether the holder released the lease.
        write_id: Identity of the last write, by which a writer recognizes it if the
            answer was lost.
        entries: Loads that may still take effect.
        resident: `name@version` of resident models and adapters; may be out of date.
    """

    holder: str = ""
    boot_id: str = ""
    epoch: int = 0
    released: bool = True
    write_id: str = ""
    entries: tuple[JournalEntry, ...] = ()
    resident: tuple[str, ...] = ()

    def encode(self) -> bytes:
        """Return the body to store in the object API."""
        return json.dumps(asdict(self), separators=(",", ":")).encode()

    @classmethod
    def decode(cls, body: bytes) -> Ledger:
        """Decode a body; an empty body gives a ledger without a holder.

        Raises:
            LedgerError: The body is not a valid ledger.
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
                f"cannot decode the ledger ({error}); restore its last valid version, "
                "or stop its engine and delete the object"
            ) from error
