"""JSON encoding of the platform's instance list."""

from __future__ import annotations

from typing import Any

import orjson

from wisterialoom.core.fleet.instance_list import (
    InstanceList,
    InstanceState,
    ListedInstance,
)

__all__ = ["decode_instances", "encode_instances", "instance_from_json"]


def instance_from_json(item: dict[str, Any]) -> ListedInstance:
    """Build an instance from its JSON object."""
    return ListedInstance(
        name=item["name"],
        incarnation=item["incarnation"],
        address=item["address"],
        availability_zone=item["availability_zone"],
        labels=dict(item.get("labels", {})),
        state=InstanceState(item.get("state", "live")),
    )


def decode_instances(body: bytes) -> InstanceList:
    """Decode an instance list from JSON."""
    items = orjson.loads(body)["instances"]
    return InstanceList(tuple(instance_from_json(item) for item in items))


def encode_instances(listing: InstanceList) -> bytes:
    """Encode an instance list as JSON."""
    return orjson.dumps({"instances": listing.instances})
