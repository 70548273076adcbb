"""Reading and validation of the deployment's document."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialoom.core.configuration._document_memory import memory_faults
from wisterialoom.core.configuration._document_names import name_faults
from wisterialoom.core.configuration._document_values import value_faults
from wisterialoom.core.configuration._toml_reader import read_toml
from wisterialoom.core.configuration.document import Document
from wisterialoom.core.fault import Fault, InvalidInputError
from wisterialoom.core.object_store import MAX_OBJECT_BYTES

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = [
    "DocumentError",
    "Fault",
    "check_change",
    "check_document",
    "read_document",
]


class DocumentError(InvalidInputError):
    """Raised when a document has faults or may not replace the one in force."""


def read_document(body: bytes) -> Document:
    """Read and check a document.

    Args:
        body: TOML text in UTF-8; its tables are the fields of `Document`.

    Raises:
        DocumentError: The document has faults; the error lists all of them.
    """
    if len(body) > MAX_OBJECT_BYTES:
        problem = f"has {len(body)} bytes, but the limit is {MAX_OBJECT_BYTES}"
        raise DocumentError([Fault("file", problem, "shorten its comments or names")])
    reading = read_toml(body, Document)
    faults = list(reading.faults)
    if reading.value is not None:
        found = check_document(reading.value)
        faults += [fault for fault in found if not fault.follows(reading.faults)]
    if faults:
        raise DocumentError(faults)
    return _as_document(reading.value)


def check_document(document: Document) -> tuple[Fault, ...]:
    """Return all semantic faults of a document."""
    return (
        *name_faults(document),
        *value_faults(document),
        *memory_faults(document),
    )


def check_change(old: Document, new: Document) -> None:
    """Check that a document may replace the one in force.

    Raises:
        DocumentError: The new document changes a setting that cannot change.
    """
    faults = tuple(_change_faults(old, new))
    if faults:
        raise DocumentError(faults)


def _change_faults(old: Document, new: Document) -> Iterable[Fault]:
    before, after = old.deployment, new.deployment
    if after.name != before.name:
        yield Fault(
            "deployment.name",
            f"is {after.name!r}, but the document in force is of deployment "
            f"{before.name!r}",
            "apply it to its own deployment, or keep the name",
        )
    if after.claims.buckets != before.claims.buckets:
        yield Fault(
            "deployment.claims.buckets",
            f"would change from {before.claims.buckets} to {after.claims.buckets}, "
            "and the keys claimed so far would no longer be found",
            f"keep {before.claims.buckets}",
        )
    if after.claims.retention_s < before.claims.retention_s:
        yield Fault(
            "deployment.claims.retention_s",
            f"would drop from {before.claims.retention_s} s to "
            f"{after.claims.retention_s} s, and keys would be removed too early",
            f"keep at least {before.claims.retention_s}",
        )


def _as_document(value: object) -> Document:
    if not isinstance(value, Document):
        raise TypeError(value)
    return value
