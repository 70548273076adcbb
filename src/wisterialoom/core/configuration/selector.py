"""Label selectors such as `role=drafting,tier!=old,gpu`."""

from __future__ import annotations

from dataclasses import dataclass
from functools import lru_cache
from typing import TYPE_CHECKING

from wisterialoom.core.error import WisterialoomError

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["Selector", "SelectorError"]

MAX_CACHED_SELECTORS = 4_096
"""Size of the cache of parsed selectors; documents repeat a few of them often."""


class SelectorError(WisterialoomError):
    """Raised when a selector cannot be parsed."""


@dataclass(frozen=True, slots=True)
class Requirement:
    """One comma-separated part of a selector.

    Attributes:
        key: Label key.
        value: Required value; `None` if only the key matters.
        negated: Whether the label must not have this value, or must not exist.
    """

    key: str
    value: str | None
    negated: bool

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Return whether a set of labels meets the requirement."""
        if self.value is None:
            return (self.key in labels) is not self.negated
        return (labels.get(self.key) == self.value) is not self.negated

    def contradicts(self, other: Requirement) -> bool:
        """Return whether no set of labels can meet both requirements."""
        if self.key != other.key:
            return False
        if self.negated != other.negated:
            negative, positive = (self, other) if self.negated else (other, self)
            return negative.value in (None, positive.value)
        if self.negated or None in (self.value, other.value):
            return False
        return self.value != other.value


@dataclass(frozen=True, slots=True)
class Selector:
    """A conjunction of requirements; an empty one matches everything."""

    requirements: tuple[Requirement, ...] = ()

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Return whether a set of labels meets every requirement."""
        return all(item.matches(labels) for item in self.requirements)

    @classmethod
    def parse(cls, text: str) -> Selector:
        """Parse `key=value`, `key!=value`, `key` and `!key`, joined by commas.

        Raises:
            SelectorError: A part has no key or an invalid syntax.
        """
        return _parse(text)


@lru_cache(maxsize=MAX_CACHED_SELECTORS)
def _parse(text: str) -> Selector:
    parts = [part.strip() for part in text.split(",")]
    if parts == [""]:
        return Selector()
    return Selector(tuple(_parse_requirement(part, text) for part in parts))


def _parse_requirement(part: str, text: str) -> Requirement:
    key, operator, value = part, "", ""
    for candidate in ("!=", "="):
        if candidate in part:
            key, operator, value = part.partition(candidate)
            break
    negated = operator == "!="
    if not operator and key.startswith("!"):
        key, negated = key[1:], True
    key, value = key.strip(), value.strip()
    if not key or any(char in "=!" or char.isspace() for char in key + value):
        raise SelectorError(
            f"selector {text!r} has a part {part!r} that cannot be read; "
            "write key=value, key!=value, key or !key, joined by commas"
        )
    return Requirement(key=key, value=value if operator else None, negated=negated)
