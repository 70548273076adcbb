"""Datagrams between instances: demand to the lease holder, placement to all.

Both are hints: a lost, late or repeated one costs time, never correctness.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import orjson

from wisterialoom.core.error import WisterialoomError
from wisterialoom.core.placement.fleet_demand import DemandReport

__all__ = [
    "Hello",
    "Hint",
    "HintError",
    "PlacementHint",
    "Released",
    "ServerHint",
    "decode_hint",
    "encode_hint",
]


class HintError(WisterialoomError):
    """Raised when a datagram is not one of an instance of this version."""


@dataclass(frozen=True, slots=True)
class Hello:
    """Tells that an instance is there."""

    instance: str
    address: str


@dataclass(frozen=True, slots=True)
class Released:
    """Tells that the holder of the placement lease has let it go."""

    holder: str
    epoch: int


@dataclass(frozen=True, slots=True)
class ServerHint:
    """What a model server holds and how busy it is.

    Attributes:
        count: Orders that it has accepted.
        models: Adapters by resident model.
        unloading: Models that take no new requests.
        busy: Requests of all instances in progress at it.
    """

    count: int
    models: dict[str, frozenset[str]]
    unloading: frozenset[str]
    busy: int


@dataclass(frozen=True, slots=True)
class PlacementHint:
    """What the holder of the placement lease knows.

    Attributes:
        holder: The holder.
        address: Its `IP`.
        epoch: Its fencing number.
        serial: Increases with each hint of an epoch.
        renewal: Serial of the last renewal of the lease.
        members: Address by instance; empty if they are not told this time.
        servers: Model servers by id; only those that have changed, at most times.
        ready_in_s: Time until models and adapters that are being loaded can serve.
    """

    holder: str
    address: str
    epoch: int
    serial: int
    renewal: int
    members: dict[str, str]
    servers: dict[str, ServerHint]
    ready_in_s: dict[str, float]


Hint = Hello | DemandReport | PlacementHint | Released


def encode_hint(hint: Hint) -> bytes:
    """Encode a hint as one datagram."""
    item: list[Any]
    match hint:
        case Hello():
            item = ["h", hint.instance, hint.address]
        case Released():
            item = ["r", hint.holder, hint.epoch]
        case DemandReport():
            item = [
                "d",
                hint.instance,
                hint.boot,
                hint.waiting,
                hint.arrivals,
                hint.running,
            ]
        case PlacementHint():
            servers = {
                server_id: [
                    server.count,
                    {name: sorted(held) for name, held in server.models.items()},
                    sorted(server.unloading),
                    server.busy,
                ]
                for server_id, server in hint.servers.items()
            }
            item = [
                "p",
                hint.holder,
                hint.address,
                hint.epoch,
                hint.serial,
                hint.renewal,
                hint.members,
                servers,
                {name: round(left, 3) for name, left in hint.ready_in_s.items()},
            ]
    return orjson.dumps(item)


def decode_hint(data: bytes) -> Hint:
    """Decode a datagram.

    Raises:
        HintError: It is none of an instance of this version.
    """
    try:
        item = orjson.loads(data)
        match item:
            case ["h", str(instance), str(address)]:
                return Hello(instance, address)
            case ["r", str(holder), int(epoch)]:
                return Released(holder, epoch)
            case ["d", str(instance), str(boot), dict(w), dict(a), dict(r)]:
                return DemandReport(instance, boot, w, a, r)
            case ["p", str(holder), str(address), int(epoch), int(serial), *rest]:
                renewal, members, servers, ready = rest
                return PlacementHint(
                    holder=holder,
                    address=address,
                    epoch=epoch,
                    serial=serial,
                    renewal=int(renewal),
                    members=members,
                    servers={
                        server_id: _decode_server(entry)
                        for server_id, entry in servers.items()
                    },
                    ready_in_s=ready,
                )
    except (ValueError, TypeError, AttributeError) as error:
        raise HintError(
            f"datagram dropped: {error!r}; check what else sends to the inner ports"
        ) from error
    raise HintError("datagram dropped: unknown kind; check versions of instances")


def _decode_server(entry: list[Any]) -> ServerHint:
    count, models, unloading, busy = entry
    return ServerHint(
        count=int(count),
        models={name: frozenset(held) for name, held in models.items()},
        unloading=frozenset(unloading),
        busy=int(busy),
    )
