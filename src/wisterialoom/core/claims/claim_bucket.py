"""The claims that are stored in one object, and the changes to them."""

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
"""Largest encoded answer that is stored in the bucket itself, in bytes."""


@dataclass(frozen=True, slots=True)
class Change:
    """A requested change of one claim; applying it again has no further effect.

    Attributes:
        key: Hash of caller and idempotency key.
        nonce: Identity of the claim attempt that requests the change.
    """

    key: str
    nonce: str


@dataclass(frozen=True, slots=True)
class Claim(Change):
    """Claim the key if no other nonce holds it.

    Attributes:
        digest: Hash of the request's content.
        owner: Instance that received the request.
        expiry: Wall-clock time after which the claim is removed.
        replaces: Nonce of a claim that its owner has abandoned, so that this claim
            may replace it; empty if there is none.
    """

    digest: str
    owner: str
    expiry: int
    replaces: str = ""


@dataclass(frozen=True, slots=True)
class Settle(Change):
    """Record how the request that holds the claim ended.

    Attributes:
        entry: The claim with its final state.
    """

    entry: ClaimEntry


@dataclass(frozen=True, slots=True)
class Release(Change):
    """Release a key whose holder has not dispatched its request and never will."""


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result of a change.

    Attributes:
        state: `GRANTED` if the object contains the change.
        entry: The entry under the key after the change.
        maybe_written: Whether a change that failed may nevertheless be in the
            object, now or later.
    """

    state: ClaimStateWire
    entry: ClaimEntry | None = None
    maybe_written: bool = False


@dataclass
class ClaimBucket:
    """The claims of one object, as of one version of it.

    Attributes:
        version: Version of the object.
        lines: Serialized entries by key.
        entries: Entries by key.
        size: Length of the object's body in bytes.
        open_claims: Number of claims that are not settled.
        dropped: Keys of the answer objects whose entries were pruned.
    """

    version: int = ABSENT
    lines: dict[str, bytes] = field(default_factory=dict)
    entries: dict[str, ClaimEntry] = field(default_factory=dict)
    size: int = 0
    open_claims: int = 0
    dropped: list[str] = field(default_factory=list)

    @classmethod
    def decode(cls, version: int, body: bytes) -> ClaimBucket:
        """Decode the body of an object."""
        bucket = cls(version)
        for line in body.splitlines():
            bucket.put(ClaimEntry.decode(line), line)
        return bucket

    def encode(self) -> bytes:
        """Encode the claims as the body of the object."""
        return b"".join(line + b"\n" for line in self.lines.values())

    def copy(self) -> ClaimBucket:
        """Return a copy that can be changed independently."""
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
        """Remove the entry under a key, if any."""
        entry = self.entries.pop(key, None)
        if entry is None:
            return
        self.size -= len(self.lines.pop(key)) + 1
        self.open_claims -= entry.state is ClaimState.CLAIMED

    def prune(self, wall_time: float) -> None:
        """Remove entries whose retention is over."""
        expired = [
            entry for entry in self.entries.values() if entry.expiry <= wall_time
        ]
        for entry in expired:
            self.remove(entry.key)
            if entry.answer_object:
                self.dropped.append(entry.answer_object)

    def apply(self, change: Change) -> tuple[Verdict, bool]:
        """Apply a change in place if it is allowed.

        Returns:
            The result of the change, and whether the bucket was modified.
        """
        match change:
            case Claim():
                return self._claim(change)
            case Settle(entry=entry):
                return self._settle(change, entry)
            case _:
                return self._release(change)

    def _claim(self, change: Claim) -> tuple[Verdict, bool]:
        existing = self.entries.get(change.key)
        if existing is not None and existing.nonce == change.nonce:
            return Verdict(ClaimStateWire.GRANTED, existing), False
        if existing is not None and not _replaceable(existing, change):
            return Verdict(ClaimStateWire.HELD, existing), False
        entry = ClaimEntry(
            change.key, change.nonce, change.digest, change.owner, change.expiry
        )
        line = entry.encode()
        if not self._has_capacity(len(line) + 1):
            return Verdict(ClaimStateWire.FULL), False
        self.put(entry, line)
        return Verdict(ClaimStateWire.GRANTED, entry), True

    def _has_capacity(self, size: int) -> bool:
        # Reserve space for the answer that will settle each open claim, so that
        # a settlement never fails because the bucket is full.
        reserved = (self.open_claims + 1) * INLINE_ANSWER_BYTES
        return self.size + size + reserved <= MAX_OBJECT_BYTES

    def _settle(self, change: Change, entry: ClaimEntry) -> tuple[Verdict, bool]:
        existing = self.entries.get(change.key)
        if existing is None or existing.nonce != change.nonce:
            return Verdict(ClaimStateWire.HELD, existing), False
        if existing.state is not ClaimState.CLAIMED:
            return Verdict(ClaimStateWire.GRANTED, existing), False
        self.put(entry)
        return Verdict(ClaimStateWire.GRANTED, entry), True

    def _release(self, change: Change) -> tuple[Verdict, bool]:
        existing = self.entries.get(change.key)
        if existing is None or existing.nonce != change.nonce:
            return Verdict(ClaimStateWire.GRANTED, existing), False
        if existing.state is not ClaimState.CLAIMED:
            # The request did run, so its settlement must be kept. The release was
            # sent because a late message showed the claim as still open.
            return Verdict(ClaimStateWire.GRANTED, existing), False
        self.remove(change.key)
        return Verdict(ClaimStateWire.GRANTED), True


def _replaceable(existing: ClaimEntry, change: Claim) -> bool:
    return existing.state is ClaimState.CLAIMED and existing.nonce == change.replaces
