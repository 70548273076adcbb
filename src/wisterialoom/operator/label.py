"""Edits of the document's labels that leave the rest of its text alone."""

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
EMPTY_LINE = re.compile(r"\s*(#.*)?$")


class LabelEditError(WisterialoomError):
    """Raised when the document's form doesn't allow for a safe edit."""


@dataclass(frozen=True, slots=True)
class LabelEdit:
    """Sets or removes one label on what a selector picks.

    Attributes:
        selector: Over backend servers.
        key: Label key.
        value: Label value; `None` removes the label.
    """

    selector: str
    key: str
    value: str | None

    def edit(self, body: bytes) -> bytes:
        """Return the text with the change; comments and layout stay.

        Raises:
            SelectorError: The selector can't be read.
            LabelEditError: The text can't be edited without other changes.
        """
        Selector.parse(self.selector)
        text = body.decode()
        before = tomllib.loads(text)
        wanted = self._wanted(before.get(TABLE, []))
        if wanted == before.get(TABLE, []):
            return body
        edited = self._edit_text(text)
        after = tomllib.loads(edited)
        if after.get(TABLE, []) != wanted or _rest(after) != _rest(before):
            raise LabelEditError(
                "the labels of this document can't be edited one by one; use "
                "`wisterialoom config get`, edit the file, and apply it"
            )
        return edited.encode()

    def _wanted(self, labels: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """Return the labels as they should be after the edit."""
        found = [index for index, item in enumerate(labels) if self._is_same(item)]
        if self.value is None:
            return [item for i, item in enumerate(labels) if i not in found]
        if not found:
            return [*labels, self._entry({})]
        changed = {**labels[found[0]], "value": self.value}
        return [
            changed if i == found[0] else item
            for i, item in enumerate(labels)
            if i not in found[1:]
        ]

    def _edit_text(self, text: str) -> str:
        document = tomlkit.parse(text)
        labels = document.get(TABLE)
        if labels is None:
            labels = tomlkit.aot()
            document.append(TABLE, labels)
        if not isinstance(labels, AoT):
            document[TABLE] = self._wanted(labels.unwrap())
            return tomlkit.dumps(document)
        found = [index for index, item in enumerate(labels) if self._is_same(item)]
        if self.value is not None and found:
            labels[found.pop(0)]["value"] = self.value
        elif self.value is not None:
            labels.append(self._entry(tomlkit.table()))
        return _without(tomlkit.dumps(document), found)

    def _entry(self, table: Any) -> Any:
        table["selector"] = self.selector
        table["key"] = self.key
        table["value"] = self.value
        return table

    def _is_same(self, item: Any) -> bool:
        if item.get("key") != self.key:
            return False
        mine = Selector.parse(self.selector)
        other = Selector.parse(item.get("selector", ""))
        return set(mine.requirements) == set(other.requirements)


def _rest(data: dict[str, Any]) -> dict[str, Any]:
    return {key: value for key, value in data.items() if key != TABLE}


def _without(text: str, entries: Container[int]) -> str:
    """Cut out `[[labels]]` entries by number, but no comments after them.

    tomlkit counts comments that follow an entry as part of it.
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
    while end and EMPTY_LINE.match(block[end - 1]):
        end -= 1
    return block[end:]
