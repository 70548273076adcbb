"""JSON encoding of the platform's instance list."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

import orjson

from wisterialoom.core.fleet.instance_list import (
    InstanceList,
    InstanceState,
    ListedInstance,
)
from wisterialoom.server_address import is_server_address

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["decode_instances", "encode_instances", "instance_from_json"]


MAX_TEXT_CHARS = 256
"""Longest name, address or label of an instance."""

MAX_LABELS = 100
"""Largest number of labels of an instance."""

ENTRY_ERRORS = (KeyError, TypeError, ValueError, AttributeError)
"""Errors of `instance_from_json` for an object that describes no instance."""


def instance_from_json(item: dict[str, Any]) -> ListedInstance:
    """Build an instance from its JSON object.

    Raises:
        KeyError: A field is missing.
        TypeError: A field has another type.
        ValueError: A field is out of range.
        AttributeError: There is something else than an object.
    """
    address = _read_text(item["address"], may_be_empty=True)
    if address and not is_server_address(address):
        raise ValueError("the address has no host or no port")
    labels = item.get("labels", {})
    if len(labels) > MAX_LABELS:
        raise ValueError(f"there are {len(labels)} labels")
    return ListedInstance(
        name=_read_text(item["name"]),
        incarnation=_read_text(item["incarnation"]),
        address=address,
        availability_zone=_read_text(item["availability_zone"], may_be_empty=True),
        labels={
            _read_text(key): _read_text(value, may_be_empty=True)
            for key, value in labels.items()
        },
        state=InstanceState(_read_text(item.get("state", "live"))),
    )


def _read_text(value: Any, *, may_be_empty: bool = False) -> str:
    if not isinstance(value, str):
        raise TypeError(f"a {type(value).__name__} instead of text")
    if len(value) > MAX_TEXT_CHARS or not (value or may_be_empty):
        raise ValueError(f"a text of {len(value)} characters")
    if not value.isprintable():
        raise ValueError("a text with control characters")
    return value


def decode_instances(
    body: bytes, known: Mapping[str, ListedInstance] | None = None
) -> InstanceList:
    """Decode an instance list from JSON.

    An entry that describes no instance affects no other.

    Args:
        body: The list.
        known: Instances by name, which stay as they were if their entries cannot be
            decoded.

    Raises:
        ValueError: The body is not JSON.
        KeyError: There is no list.
        TypeError: There is something else.
    """
    found = []
    unreadable = {}
    for item in orjson.loads(body)["instances"]:
        try:
            found.append(instance_from_json(item))
        except ENTRY_ERRORS as error:
            name = item.get("name") if isinstance(item, dict) else None
            if not isinstance(name, str):
                name = ""
            unreadable[name[:MAX_TEXT_CHARS]] = f"{error!r:.200}"
            if known is not None and name in known:
                found.append(known[name])
    return InstanceList(tuple(found), unreadable)


def encode_instances(listing: InstanceList) -> bytes:
    """Encode an instance list as JSON."""
    return orjson.dumps({"instances": listing.instances})
