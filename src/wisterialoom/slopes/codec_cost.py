"""Measures the cost of encoding, decoding and authenticating peer messages."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from wisterialoom.core.fleet.peer import (
    ConfigPush,
    Heartbeat,
    LoadChange,
    MemberStatus,
    MemberUpdate,
    PeerMessage,
    ServerLoad,
)
from wisterialoom.peer.codec import decode, encode
from wisterialoom.peer.seal import Seal
from wisterialoom.slopes.clock import cost_us
from wisterialoom.slopes.fit import Slope

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["measure_codec"]

ROLE = "peer link"
SENDER = "entry-0123"
ADDRESS = "10.20.30.40:7946"
ITEM_COUNTS = (0, 8, 16, 32)
BODY_BYTES = (10_000, 100_000, 400_000)
INCARNATION = 1_800_000_000_000


def measure_codec() -> list[Slope]:
    """Return the slopes of size and processor time by the content of a message."""
    slopes = _message_slopes("member update", ITEM_COUNTS, _members)
    slopes += _message_slopes("change of load", ITEM_COUNTS, _changes)
    slopes += _message_slopes("whole report with 3 models", ITEM_COUNTS, _full_reports)
    slopes += _message_slopes("byte of configuration", BODY_BYTES, _config)
    return [*slopes, _seal_slope()]


def _message_slopes(
    per: str, sizes: tuple[int, ...], make: Callable[[int], PeerMessage]
) -> list[Slope]:
    messages = {float(size): make(size) for size in sizes}
    encoded = {size: encode(SENDER, message) for size, message in messages.items()}
    return [
        Slope.through(
            ROLE,
            "size of a message",
            "bytes",
            per,
            {size: float(len(data)) for size, data in encoded.items()},
        ),
        Slope.through(
            ROLE,
            "encoding",
            "us",
            per,
            {
                size: cost_us(partial(encode, SENDER, message))
                for size, message in messages.items()
            },
        ),
        Slope.through(
            ROLE,
            "decoding",
            "us",
            per,
            {size: cost_us(partial(decode, data)) for size, data in encoded.items()},
        ),
    ]


def _seal_slope() -> Slope:
    seal = Seal((b"k" * 32,), counter=1)

    def seal_and_open(payload: bytes) -> None:
        seal.open(seal.seal(payload, ADDRESS, "udp"), ADDRESS, "udp")

    costs = {
        float(size): cost_us(partial(seal_and_open, bytes(size)))
        for size in (100, 500, 1_000)
    }
    return Slope.through(ROLE, "sealing and opening", "us", "byte", costs)


def _members(count: int) -> Heartbeat:
    members = tuple(
        MemberUpdate(
            f"entry-{number:04}",
            f"10.20.{number // 250}.{number % 250}:7946",
            "region-1-zone-2",
            INCARNATION + number,
            MemberStatus.ALIVE,
        )
        for number in range(count)
    )
    return Heartbeat(1_000, 20_000, 400, members=members)


def _changes(count: int) -> Heartbeat:
    changes = tuple(
        LoadChange(f"writer-{number:04}", 0, 2**25, 2**25 + 900, 40, 3, 35)
        for number in range(count)
    )
    return Heartbeat(1_000, 20_000, 400, changes=changes)


def _full_reports(count: int) -> Heartbeat:
    resident = tuple(f"quarterly-notes-{n:03}@2026-11-07" for n in range(3))
    loads = tuple(
        ServerLoad(
            server=f"writer-{number:04}",
            serial=2**25 + 900,
            running=40,
            waiting=3,
            resident=resident,
            incarnation="7f3a9c21",
            kv_free=35,
            steward=SENDER,
        )
        for number in range(count)
    )
    return Heartbeat(1_000, 20_000, 400, loads=loads)


def _config(size: int) -> ConfigPush:
    return ConfigPush(20_000, b"x" * size)
