"""Conditional updates of the document."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

from wisterialoom.core.configuration.config_follower import CONFIG_KEY
from wisterialoom.core.configuration.document_check import (
    check_change,
    DocumentError,
    Fault,
    read_document,
)
from wisterialoom.core.object_store import ABSENT, StoredObject, VersionConflictError
from wisterialoom.object_api.client import PlatformUnavailableError
from wisterialoom.operator.difference import difference
from wisterialoom.operator.error import ConflictError, OutcomeUnknownError
from wisterialoom.operator.history import History

if TYPE_CHECKING:
    from wisterialoom.core.configuration.document import Document
    from wisterialoom.operator.platform import Platform

__all__ = ["Applied", "Edit", "apply", "change", "split_generation", "with_generation"]

Edit: TypeAlias = Callable[[bytes], bytes]
"""Returns the new text of the document, given the text in force."""

MAX_WRITE_TRIES = 4
"""Writes of one text before an unknown outcome is reported."""

MAX_EDIT_TRIES = 12
"""Edits, each of a newer generation, before a conflict is reported."""

GENERATION_LINE = re.compile(rb"\A# generation: (\d+)\r?\n")
"""First line of a document that was printed by `wisterialoom config get`."""


@dataclass(frozen=True, slots=True)
class Applied:
    """A document that was put in force.

    Attributes:
        generation: Generation of the document.
        changed: Whether the document differs from the one before.
        replaced_by: Newer generation that is already in force; 0 if there is none.
        kept: Whether the generation could be added to the history.
    """

    generation: int
    changed: bool
    replaced_by: int = 0
    kept: bool = True


def split_generation(body: bytes) -> tuple[int | None, bytes]:
    """Remove and parse a first line that names the generation a text is based on."""
    match = GENERATION_LINE.match(body)
    if match is None:
        return None, body
    return int(match[1]), body[match.end() :]


def with_generation(generation: int, body: bytes) -> bytes:
    """Prepend the line that `split_generation` removes."""
    return b"# generation: %d\n%s" % (generation, body)


async def apply(
    platform: Platform,
    body: bytes,
    expect: int | None = None,
    *,
    replace_unreadable: bool = False,
) -> Applied:
    """Put a document in force, if the generation in force is the expected one.

    Args:
        platform: The platform that stores the document.
        body: Text of the document. A first line as written by `with_generation`
            is used as `expect` if that is `None`.
        expect: Generation that the document is based on; 0 if there was none.
        replace_unreadable: Whether to replace a document that this version of the
            program cannot read. The settings that must not change are then not
            checked.

    Raises:
        DocumentError: The document has faults, changes a fixed setting, or does
            not name the generation that it is based on.
        ConflictError: Another generation is in force.
        OutcomeUnknownError: The platform stopped responding during the write.
        PlatformUnavailableError: Nothing was written.
    """
    file_generation, body = split_generation(body)
    new = read_document(body)
    current = await platform.read(CONFIG_KEY)
    expected = file_generation if expect is None else expect
    if current.version != ABSENT and current.body == body:
        return Applied(current.version, changed=False)
    if expected is None:
        expected = _require_no_document(current)
    if expected != current.version:
        raise _conflict(expected, current, body)
    if current.version != ABSENT:
        _check_change(current.body, new, replace_unreadable=replace_unreadable)
    return await _write(platform, current, body)


async def change(platform: Platform, edit: Edit) -> Applied:
    """Edit the document in force, and retry after conflicts with other changes.

    Raises:
        DocumentError: There is no document, or the edited one has faults.
        ConflictError: Too many attempts conflicted with other changes.
        OutcomeUnknownError: The platform stopped responding during the write.
        PlatformUnavailableError: Nothing was written.
    """
    for tries_left in reversed(range(MAX_EDIT_TRIES)):
        current = await platform.read(CONFIG_KEY)
        if current.version == ABSENT:
            remedy = "apply a document first"
            raise DocumentError([Fault("file", "there is no document", remedy)])
        body = edit(current.body)
        if body == current.body:
            return Applied(current.version, changed=False)
        _check_change(current.body, read_document(body), replace_unreadable=False)
        try:
            return await _write(platform, current, body)
        except ConflictError:
            if not tries_left:
                raise
    raise AssertionError


def _require_no_document(current: StoredObject) -> int:
    if current.version == ABSENT:
        return ABSENT
    raise DocumentError(
        [
            Fault(
                "file",
                "does not name the generation that it is based on",
                f"see `wisterialoom config diff`, then use --expect {current.version}",
            )
        ]
    )


def _check_change(body: bytes, new: Document, *, replace_unreadable: bool) -> None:
    try:
        old = read_document(body)
    except DocumentError as error:
        if replace_unreadable:
            return
        problem = f"can't be read by this version of the program ({error.faults[0]})"
        remedy = "use the version that applied it, or --replace-unreadable"
        fault = Fault("the document in force", problem, remedy)
        raise DocumentError([fault]) from error
    check_change(old, new)


def _conflict(expected: int, current: StoredObject, body: bytes) -> ConflictError:
    text = difference(
        current.body,
        body,
        old_name=f"generation {current.version}",
        new_name="this document",
    )
    return ConflictError(expected, current.version, text)


async def _write(platform: Platform, current: StoredObject, body: bytes) -> Applied:
    history = History(platform)
    if current.version != ABSENT:
        await _add_to_history(history, current.version, current.body)
    ambiguous = False
    for _ in range(MAX_WRITE_TRIES):
        try:
            version = await platform.write(CONFIG_KEY, body, current.version)
        except VersionConflictError:
            return await _resolve_write(platform, current, body, ambiguous=ambiguous)
        except PlatformUnavailableError as error:
            # Repeating the same conditional write is safe: it can take effect only
            # once.
            ambiguous |= error.ambiguous
            if not ambiguous:
                raise
        else:
            kept = await _add_to_history(history, version, body)
            return Applied(version, changed=True, kept=kept)
    return await _resolve_write(platform, current, body, ambiguous=True)


async def _resolve_write(
    platform: Platform, before: StoredObject, body: bytes, *, ambiguous: bool
) -> Applied:
    """Determine by reading whether a write with an unknown outcome took effect."""
    history = History(platform)
    try:
        stored = await platform.read(CONFIG_KEY)
        if ambiguous and stored.version > before.version and stored.body == body:
            kept = await _add_to_history(history, stored.version, body)
            return Applied(stored.version, changed=True, kept=kept)
        if ambiguous and stored.version > before.version:
            earlier = await history.find(body, after=before.version)
            if earlier is not None:
                return Applied(earlier, changed=True, replaced_by=stored.version)
    except PlatformUnavailableError as error:
        if ambiguous:
            raise OutcomeUnknownError(before.version) from error
        raise
    if stored.version == before.version:
        raise OutcomeUnknownError(before.version)
    raise _conflict(before.version, stored, body)


async def _add_to_history(history: History, generation: int, body: bytes) -> bool:
    # The history is only a convenience: a change must not fail because of it.
    try:
        await history.add(generation, body)
    except PlatformUnavailableError:
        return False
    return True
