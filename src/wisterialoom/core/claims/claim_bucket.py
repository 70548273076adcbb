"""The claims that share one object, and the changes that may be made to them."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from wisterialoom.core.claims.claim_entry import ClaimEntry, ClaimState
from wisterialoom.core.fleet.peer import ClaimStateWire
from wisterialoom.core.object_store import ABSENT, MAX_OBJECT_BYTES

__all__ = [
    "INLINE_ANSWER_BYTES",
    "Change",
    "Claim",
    "ClaimBucket",
    "Release",
    "Settle",
    "Verdict",
]

INLINE_ANSWER_BYTES = 512
"""Largest encoded answer that is kept in the bucket itself, in bytes."""


@dataclass(frozen=True, slots=True)
class Change:
    """A wanted change of one claim; repeating it does no harm.

    Attributes:
        key: Hash of caller and idempotency key.
        nonce: Identity of the attempt that wants it.
    """

    key: str
    nonce: str


@dataclass(frozen=True, slots=True)
class Claim(Change):
    """Take the key if nobody holds it.

    Attributes:
        digest: Hash of the request's content.
        owner: Entry instance that asks.
        expiry: Wall-clock time after which the claim is forgotten.
        replaces: Nonce that its owner has given up, and that may be replaced.
    """

    digest: str
    owner: str
    expiry: int
    replaces: str = ""


@dataclass(frozen=True, slots=True)
class Settle(Change):
    """Record how the holder of the nonce ended."""

    entry: ClaimEntry


@dataclass(frozen=True, slots=True)
class Release(Change):
    """Free a key whose holder never will dispatch."""


@dataclass(frozen=True, slots=True)
class Verdict:
    """What became of a change.

    Attributes:
        state: `GRANTED` if the change is in the object.
        entry: The entry under the key afterwards.
        maybe_written: For a failure: the change may be in the object, now or
            later.
    """

    state: ClaimStateWire
    entry: ClaimEntry | None = None
    maybe_written: bool = False


@dataclass
class ClaimBucket:
    """Claims by key, at one version of their object.

    Attributes:
        version: Of the object.
        lines: Serialized entries by key.
        size: Length of the body in bytes.
        open_claims: Count of claims that are not settled.
        dropped: Answer objects of entries that were pruned.
    """

    version: int = ABSENT
    lines: dict[str, bytes] = field(default_factory=dict)
    entries: dict[str, ClaimEntry] = field(default_factory=dict)
    size: int = 0
    open_claims: int = 0
    dropped: list[str] = field(default_factory=list)

    @classmethod
    def decode(cls, version: int, body: bytes) -> ClaimBucket:
        """Build from the body of the object."""
        bucket = cls(version)
        for line in body.splitlines():
            bucket.put(ClaimEntry.decode(line), line)
        return bucket

    def encode(self) -> bytes:
        """Return the body of the object."""
        return b"".join(line + b"\n" for line in self.lines.values())

    def copy(self) -> ClaimBucket:
        """Return a draft that may be changed."""
        return replace(
            self, lines=dict(self.lines), entries=dict(self.entries), dropped=[]
        )

    def put(self, entry: ClaimEntry, line: bytes | None = None) -> None:
        """Add or replace an entry."""
        self.remove(entry.key)
        line = line or entry.encode()
        self.lines[entry.key] = line
        self.entries[entry.key] = entry
        self.size += len(line) + 1
        self.open_claims += entry.state is ClaimState.CLAIMED

    def remove(self, key: str) -> None:
        """Remove an entry if there is one."""
        entry = self.entries.pop(key, None)
        if entry is None:
            return
        self.size -= len(self.lines.pop(key)) + 1
        self.open_claims -= entry.state is ClaimState.CLAIMED

    def prune(self, wall: float) -> None:
        """Remove entries whose retention is over."""
        old = [entry for entry in self.entries.values() if entry.expiry <= wall]
        for entry in old:
            self.remove(entry.key)
            if entry.answer_object:
                self.dropped.append(entry.answer_object)

    def apply(self, change: Change) -> tuple[Verdict, bool]:
        """Make a change in place if it may be made.

        Returns:
            What becomes of it, and whether the bucket changed.
        """
        match change:
            case Claim():
                return self._claim(change)
            case Settle(entry=entry):
                return self._settle(change, entry)
            case _:
                return self._release(change)

    def _claim(self, change: Claim) -> tuple[Verdict, bool]:
        held = self.entries.get(change.key)
        if held is not None and held.nonce == change.nonce:
            return Verdict(ClaimStateWire.GRANTED, held), False
        if held is not None and not _replaceable(held, change):
            return Verdict(ClaimStateWire.HELD, held), False
        entry = ClaimEntry(
            change.key, change.nonce, change.digest, change.owner, change.expiry
        )
        line = entry.encode()
        if not self._has_room(len(line) + 1):
            return Verdict(ClaimStateWire.FULL), False
        self.put(entry, line)
        return Verdict(ClaimStateWire.GRANTED, entry), True

    def _has_room(self, size: int) -> bool:
        # Every open claim keeps room for the answer that will settle it.
        reserved = (self.open_claims + 1) * INLINE_ANSWER_BYTES
        return self.size + size + reserved <= MAX_OBJECT_BYTES

    def _settle(self, change: Change, entry: ClaimEntry) -> tuple[Verdict, bool]:
        held = self.entries.get(change.key)
        if held is None or held.nonce != change.nonce:
            return Verdict(ClaimStateWire.HELD, held), False
        if held.state is not ClaimState.CLAIMED:
            return Verdict(ClaimStateWire.GRANTED, held), False
        self.put(entry)
        return Verdict(ClaimStateWire.GRANTED, entry), True

    def _release(self, change: Change) -> tuple[Verdict, bool]:
        held = self.entries.get(change.key)
        if held is None or held.nonce != change.nonce:
            return Verdict(ClaimStateWire.GRANTED, held), False
        if held.state is not ClaimState.CLAIMED:
            # It did run: what freed it had heard of the claim only, too late.
            return Verdict(ClaimStateWire.GRANTED, held), False
        self.remove(change.key)
        return Verdict(ClaimStateWire.GRANTED), True


def _replaceable(held: ClaimEntry, change: Claim) -> bool:
    return held.state is ClaimState.CLAIMED and held.nonce == change.replaces
