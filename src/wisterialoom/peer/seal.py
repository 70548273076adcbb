"""Authentication of peer messages by a shared key, with replay protection."""

from __future__ import annotations

import hashlib
import hmac
import struct
from collections import OrderedDict
from dataclasses import dataclass

from wisterialoom.core.error import WisterialoomError

__all__ = ["SEAL_BYTES", "Opened", "ReplayWindow", "Seal", "SealError"]

PLAIN = b"\x00"
SEALED = b"\x01"

TAG_BYTES = 16
"""Length of the truncated HMAC-SHA256, in bytes."""

COUNTER = struct.Struct(">Q")

SEAL_BYTES = len(SEALED) + COUNTER.size + TAG_BYTES
"""Bytes that a seal adds to a message."""

WINDOW = 1_024
"""Messages by which one may arrive after a later one of the same sender."""

MAX_SENDERS = 4_096
"""Senders whose counters are remembered; the longest silent is forgotten."""


class SealError(WisterialoomError):
    """Raised when a message is not authentic, or is a repeat of an earlier one."""


@dataclass(frozen=True, slots=True)
class Opened:
    """The content of a sealed message.

    Attributes:
        payload: The bytes that were sealed.
        counter: The sender's counter; `None` if no key is in use.
    """

    payload: bytes
    counter: int | None


class Seal:
    """Seals messages with the first key and opens them with any.

    A seal covers the receiver's address and the channel, so a message cannot
    be sent on to another instance. Keys rotate in two steps: add the new key
    behind the old one everywhere, then move it to the front.

    Attributes:
        keys: Shared keys; without any, messages are neither sealed nor checked.
        counter: Last counter used; starts at the wall clock in nanoseconds so
            that it also rises over restarts under the same name.
    """

    def __init__(self, keys: tuple[bytes, ...], counter: int) -> None:
        self.keys = keys
        self.counter = counter
        self.windows: OrderedDict[tuple[str, str], ReplayWindow] = OrderedDict()

    def seal(self, payload: bytes, address: str, channel: str) -> bytes:
        """Return a payload sealed for the instance at an address."""
        if not self.keys:
            return PLAIN + payload
        self.counter += 1
        data = SEALED + COUNTER.pack(self.counter) + payload
        return data + _tag(self.keys[0], data, address, channel)

    def open(self, data: bytes, address: str, channel: str) -> Opened:
        """Check and unwrap what came for this instance's address.

        Raises:
            SealError: It is not authentic.
        """
        if not self.keys:
            return _open_plain(data)
        if data[:1] != SEALED or len(data) < SEAL_BYTES:
            raise SealError("message without a seal; give every instance the peer key")
        body, tag = data[:-TAG_BYTES], data[-TAG_BYTES:]
        if not any(
            hmac.compare_digest(tag, _tag(key, body, address, channel))
            for key in self.keys
        ):
            raise SealError(
                "seal of no known key; compare peer keys and advertised addresses"
            )
        (counter,) = COUNTER.unpack_from(body, 1)
        return Opened(body[1 + COUNTER.size :], counter)

    def check_counter(self, sender: str, channel: str, counter: int | None) -> None:
        """Refuse a repeat; to be called once for each message of a sender.

        Raises:
            SealError: The counter was seen before, or is too old to tell.
        """
        if counter is None:
            return
        window = self.windows.setdefault((sender, channel), ReplayWindow())
        self.windows.move_to_end((sender, channel))
        while len(self.windows) > MAX_SENDERS:
            self.windows.popitem(last=False)
        if not window.accept(counter):
            raise SealError(
                f"repeated or outdated message of {sender}; "
                "if it lasts, check that its clock is right and its name unique"
            )


class ReplayWindow:
    """Counters seen of one sender.

    Counters rise with each message to whatever receiver, so a window counts
    messages of the sender in all.

    Attributes:
        highest: Highest counter seen.
        seen: Bit n is set if `highest - n` was seen.
    """

    def __init__(self) -> None:
        self.highest = 0
        self.seen = 0

    def accept(self, counter: int) -> bool:
        """Record a counter; tell whether it is new."""
        ahead = counter - self.highest
        if ahead > 0:
            kept = self.seen << ahead if ahead < WINDOW else 0
            self.seen = (kept | 1) & ((1 << WINDOW) - 1)
            self.highest = counter
            return True
        bit = 1 << -ahead if -ahead < WINDOW else 0
        if not bit or self.seen & bit:
            return False
        self.seen |= bit
        return True


def _open_plain(data: bytes) -> Opened:
    if data[:1] != PLAIN:
        raise SealError("sealed message but no peer key here; set it in the settings")
    return Opened(data[1:], None)


def _tag(key: bytes, body: bytes, address: str, channel: str) -> bytes:
    context = f"{channel} {address}\n".encode()
    return hmac.digest(key, context + body, hashlib.sha256)[:TAG_BYTES]
