"""Finds the team to which the API key of a request belongs."""

from __future__ import annotations

import enum
import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from wisterialoom.core.teams.team import Team

__all__ = ["Declaration", "TeamDirectory", "is_usable_key", "key_digest"]

SCHEME = "bearer"

MAX_KEY_CHARS = 1024
"""Longest API key that is looked up, so that oversized headers cost nothing."""


class Declaration(enum.Enum):
    """What a configuration says about its teams.

    Only `ABSENT` opens the routes to requests without a key. A list may be empty
    because its last team was taken out, which revokes all keys.
    """

    ABSENT = "absent"
    """There is no list of teams."""
    EMPTY = "empty"
    """There is a list, and no team in it."""
    UNREADABLE = "unreadable"
    """There are entries in the list, of which none can be decoded."""
    USABLE = "usable"
    """There is a list with teams that can be decoded."""


def is_usable_key(key: str) -> bool:
    """Return whether a key can be sent in a header: visible ASCII, not too long."""
    return 0 < len(key) <= MAX_KEY_CHARS and all("!" <= char <= "~" for char in key)


def key_digest(key: str) -> bytes:
    """Return the SHA-256 digest of an API key.

    Raises:
        ValueError: No request could carry the key.
    """
    if not is_usable_key(key):
        # The message must not contain the key.
        raise ValueError("an API key is empty, too long or not visible ASCII")
    return hashlib.sha256(key.encode()).digest()


@dataclass(frozen=True, slots=True)
class TeamDirectory:
    """The teams of a deployment by name and by API key.

    Only digests of keys are held. A dictionary of digests takes the same time for any
    number of keys, and its timing tells nothing about the keys themselves.

    Attributes:
        declaration: What the configuration says about teams.
        by_name: Teams by name.
        by_digest: Teams by the SHA-256 digests of their keys.
        skipped: Number of declared teams that could not be decoded.
    """

    declaration: Declaration = Declaration.ABSENT
    by_name: Mapping[str, Team] = field(default_factory=dict)
    by_digest: Mapping[bytes, Team] = field(default_factory=dict)
    skipped: int = 0

    @classmethod
    def from_teams(
        cls, teams: Iterable[tuple[Team, Iterable[bytes]]], skipped: int = 0
    ) -> TeamDirectory:
        """Build the directory of a declared list.

        The first team counts if several have the same name or the same key.

        Args:
            teams: Each team with the digests of its keys, see `key_digest`.
            skipped: Number of declared teams that could not be decoded.
        """
        by_name: dict[str, Team] = {}
        by_digest: dict[bytes, Team] = {}
        for team, digests in teams:
            named = by_name.setdefault(team.name, team)
            for digest in digests:
                by_digest.setdefault(digest, named)
        declaration = Declaration.UNREADABLE if skipped else Declaration.EMPTY
        if by_name:
            declaration = Declaration.USABLE
        return cls(declaration, by_name, by_digest, skipped)

    @property
    def needs_key(self) -> bool:
        """Whether requests need the key of a team, unless their route is public."""
        return self.declaration is not Declaration.ABSENT

    def find(self, name: str) -> Team | None:
        """Return the team with a name, if there is one."""
        return self.by_name.get(name)

    def identify(self, authorization_values: Sequence[str]) -> Team | None:
        """Return the team whose key a request carries.

        Args:
            authorization_values: All values of the request's `Authorization` headers.
                Anything but a single `Bearer` key identifies no team.
        """
        if len(authorization_values) != 1:
            return None
        scheme, _, rest = authorization_values[0].strip(" \t").partition(" ")
        key = rest.lstrip(" ")
        if scheme.lower() != SCHEME or not is_usable_key(key):
            return None
        return self.by_digest.get(hashlib.sha256(key.encode()).digest())
