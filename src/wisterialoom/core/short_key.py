"""Keys of bounded size for what callers name."""

from __future__ import annotations

from hashlib import blake2b

__all__ = ["short_key"]

MAX_LENGTH = 128
"""Characters above which a digest stands for a name."""

DIGEST_BYTES = 16


def short_key(name: str) -> str:
    """Return a name, or a digest of it if it is long.

    All instances return the same, as keys are also exchanged between them.
    """
    if len(name) <= MAX_LENGTH:
        return name
    data = name.encode("utf-8", "surrogateescape")
    return blake2b(data, digest_size=DIGEST_BYTES, person=b"key").hexdigest()
