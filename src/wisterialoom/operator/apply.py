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
"""Makes the new text of the document from the one in force."""

WRITE_TRIES = 4
"""Writes of one text before an outcome that stays unknown is reported."""

EDIT_TRIES = 12
"""Edits on newer and newer generations before a conflict is reported."""

GENERATION_LINE = re.compile(rb"\A# generation: (\d+)\r?\n")
"""First line of a document that was read from the platform."""


@dataclass(frozen=True, slots=True)
class Applied:
    """A document that was put in force.

    Attributes:
        generation: Under which it was.
        changed: Whether it differs from the one before.
        replaced_by: Newer generation that is in force already; 0 if none is.
        kept: Whether its generation could be kept in the history.
    """

    generation: int
    changed: bool
    replaced_by: int = 0
    kept: bool = True


def split_generation(body: bytes) -> tuple[int | None, bytes]:
    """Take off the first line that names the generation a text was read at."""
    match = GENERATION_LINE.match(body)
    if match is None:
        return None, body
    return int(match[1]), body[match.end() :]


def with_generation(generation: int, body: bytes) -> bytes:
    """Put the line before a text that `split_generation` takes off."""
    return b"# generation: %d\n%s" % (generation, body)


async def apply(
    platform: Platform,
    body: bytes,
    expect: int | None = None,
    *,
    replace_unreadable: bool = False,
) -> Applied:
    """Put a document in force if the generation is still the one that was seen.

    Args:
        platform: Where the document is.
        body: Its text; a first line as by `with_generation` stands for `expect`.
        expect: Generation that the operator saw; 0 if there was none.
        replace_unreadable: Replace a document that can't be read here, though
            nothing then checks what may not change.

    Raises:
        DocumentError: It has faults, or changes what is fixed, or nothing says on
            which generation it is based.
        ConflictError: Another generation is in force.
        OutcomeUnknownError: The platform stopped answering midway.
        PlatformUnavailableError: Nothing was written.
    """
    seen, body = split_generation(body)
    new = read_document(body)
    current = await platform.read(CONFIG_KEY)
    expected = seen if expect is None else expect
    if current.version != ABSENT and current.body == body:
        return Applied(current.version, changed=False)
    if expected is None:
        expected = _only_if_first(current)
    if expected != current.version:
        raise _conflict(expected, current, body)
    if current.version != ABSENT:
        _check_change(current.body, new, replace_unreadable=replace_unreadable)
    return await _write(platform, current, body)


async def change(platform: Platform, edit: Edit) -> Applied:
    """Edit the document in force, again and again while others come first.

    Raises:
        DocumentError: There is no document, or the edited one has faults.
        ConflictError: Others came first too often.
        OutcomeUnknownError: The platform stopped answering midway.
        PlatformUnavailableError: Nothing was written.
    """
    for last in reversed(range(EDIT_TRIES)):
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
            if not last:
                raise
    raise AssertionError


def _only_if_first(current: StoredObject) -> int:
    if current.version == ABSENT:
        return ABSENT
    raise DocumentError(
        [
            Fault(
                "file",
                "does not say on which generation it is based",
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
        await _keep(history, current.version, current.body)
    ambiguous = False
    for _ in range(WRITE_TRIES):
        try:
            version = await platform.write(CONFIG_KEY, body, current.version)
        except VersionConflictError:
            return await _settle(platform, current, body, ambiguous=ambiguous)
        except PlatformUnavailableError as error:
            # The same conditional write once more can't take effect twice.
            ambiguous |= error.ambiguous
            if not ambiguous:
                raise
        else:
            kept = await _keep(history, version, body)
            return Applied(version, changed=True, kept=kept)
    return await _settle(platform, current, body, ambiguous=True)


async def _settle(
    platform: Platform, before: StoredObject, body: bytes, *, ambiguous: bool
) -> Applied:
    """Find out by reading whether a write of unknown outcome took effect."""
    history = History(platform)
    try:
        stored = await platform.read(CONFIG_KEY)
        if ambiguous and stored.version > before.version and stored.body == body:
            kept = await _keep(history, stored.version, body)
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


async def _keep(history: History, generation: int, body: bytes) -> bool:
    # The history is a convenience: a change must not fail by it.
    try:
        await history.keep(generation, body)
    except PlatformUnavailableError:
        return False
    return True
