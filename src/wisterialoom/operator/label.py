"""Edits of the document's labels that preserve the rest of its text."""

from __future__ import annotations

import re
import tomllib
from dataclasses import dataclass
from typing import Any, TYPE_CHECKING

import tomlkit
from tomlkit.items import AoT

from wisterialoom.core.configuration.selector import Selector
from wisterialoom.core.error import WisterialoomError

if TYPE_CHECKING:
    from collections.abc import Container

__all__ = ["LabelEdit", "LabelEditError"]

TABLE = "labels"
TABLE_LINE = re.compile(r"\s*\[\[\s*labels\s*\]\]")
ANY_TABLE_LINE = re.compile(r"\s*\[")
BLANK_OR_COMMENT_LINE = re.compile(r"\s*(#.*)?$")


class LabelEditError(WisterialoomError):
    """Raised when the document's syntax does not allow a safe edit."""


@dataclass(frozen=True, slots=True)
class LabelEdit:
    """Sets or removes one label of the backend servers that a selector matches.

    Attributes:
        selector: Selector of backend servers.
        key: Label key.
        value: Label value; `None` removes the label.
    """

    selector: str
    key: str
    value: str | None

    def edit(self, body: bytes) -> bytes:
        """Return the edited text, with comments and layout preserved.

        Raises:
            SelectorError: The selector is malformed.
            LabelEditError: The text cannot be edited without other changes.
        """
        Selector.parse(self.selector)
        text = body.decode()
        before = tomllib.loads(text)
        desired = self._desired_labels(before.get(TABLE, []))
        if desired == before.get(TABLE, []):
            return body
        edited = self._edit_text(text)
        after = tomllib.loads(edited)
        if after.get(TABLE, []) != desired or _without_labels(after) != _without_labels(
            before
        ):
            raise LabelEditError(
                "the labels of this document can't be edited one by one; use "
                "`wisterialoom config get`, edit the file, and apply it"
            )
        return edited.encode()

    def _desired_labels(self, labels: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """Return the labels that the edited document must have."""
        matching = [index for index, item in enumerate(labels) if self._matches(item)]
        if self.value is None:
            return [item for i, item in enumerate(labels) if i not in matching]
        if not matching:
            return [*labels, self._fill_entry({})]
        changed = {**labels[matching[0]], "value": self.value}
        return [
            changed if i == matching[0] else item
            for i, item in enumerate(labels)
            if i not in matching[1:]
        ]

    def _edit_text(self, text: str) -> str:
        document = tomlkit.parse(text)
        labels = document.get(TABLE)
        if labels is None:
            labels = tomlkit.aot()
            document.append(TABLE, labels)
        if not isinstance(labels, AoT):
            document[TABLE] = self._desired_labels(labels.unwrap())
            return tomlkit.dumps(document)
        matching = [index for index, item in enumerate(labels) if self._matches(item)]
        if self.value is not None and matching:
            labels[matching.pop(0)]["value"] = self.value
        elif self.value is not None:
            labels.append(self._fill_entry(tomlkit.table()))
        return _remove_entries(tomlkit.dumps(document), matching)

    def _fill_entry(self, table: Any) -> Any:
        table["selector"] = self.selector
        table["key"] = self.key
        table["value"] = self.value
        return table

    def _matches(self, item: Any) -> bool:
        if item.get("key") != self.key:
            return False
        own_selector = Selector.parse(self.selector)
        other_selector = Selector.parse(item.get("selector", ""))
        return set(own_selector.requirements) == set(other_selector.requirements)


def _without_labels(data: dict[str, Any]) -> dict[str, Any]:
    return {key: value for key, value in data.items() if key != TABLE}


def _remove_entries(text: str, entries: Container[int]) -> str:
    """Remove `[[labels]]` entries by index, but keep the comments after them.

    This is done on the text, because tomlkit treats comments that follow an entry as
    part of the entry.
    """
    lines = text.splitlines(keepends=True)
    kept: list[str] = []
    number = -1
    block: list[str] | None = None
    for line in lines:
        if ANY_TABLE_LINE.match(line):
            kept += _trailing_comments(block)
            block = None
        if TABLE_LINE.match(line):
            number += 1
            block = [] if number in entries else None
        (kept if block is None else block).append(line)
    return "".join([*kept, *_trailing_comments(block)])


def _trailing_comments(block: list[str] | None) -> list[str]:
    if block is None:
        return []
    end = len(block)
    while end and BLANK_OR_COMMENT_LINE.match(block[end - 1]):
        end -= 1
    return block[end:]
