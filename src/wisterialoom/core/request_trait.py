"""What a request has in common with others, in a form that messages and logs can hold.

A trait is a short hash, so that neither prompts nor bodies leave the instance that
received them.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["is_own", "own_trait", "part_traits"]

OWN_PREFIX = "request-"

DIGEST_BYTES = 6
"""Length of a hash; two of a million traits are equal with a chance of 1 in 500."""


def part_traits(parts: Sequence[str]) -> tuple[str, ...]:
    """Return the traits of a prompt, in the order of its parts.

    Args:
        parts: Ids of the parts of the prompt. The last one belongs to the request
            itself or to its session, so it is no trait.
    """
    return tuple(_trait("part", part) for part in parts[:-1])


def own_trait(method: str, target: str, caller: str, body: bytes) -> str:
    """Return the trait that a request shares only with those that are the same.

    Args:
        method: Method of the request.
        target: Host, path and query.
        caller: What identifies the caller, as it was sent.
        body: The whole body.
    """
    digest = blake2b(digest_size=DIGEST_BYTES, person=b"request")
    for field in (method, target, caller):
        digest.update(field.encode("utf-8", "surrogateescape"))
        digest.update(b"\0")
    digest.update(body)
    return OWN_PREFIX + digest.hexdigest()


def is_own(trait: str) -> bool:
    """Return whether only requests that are the same share a trait."""
    return trait.startswith(OWN_PREFIX)


def _trait(kind: str, text: str) -> str:
    digest = blake2b(text.encode(), digest_size=DIGEST_BYTES, person=kind.encode())
    return f"{kind}-{digest.hexdigest()}"
