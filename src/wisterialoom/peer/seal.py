"""Authentication of peer messages with a shared key, and replay protection."""

from __future__ import annotations

import hashlib
import hmac
import struct
from collections import OrderedDict
from dataclasses import dataclass

from wisterialoom.core.error import WisterialoomError

__all__ = ["SEAL_BYTES", "OpenedMessage", "ReplayWindow", "Seal", "SealError"]

PLAIN = b"\x00"
"""First byte of a message without authentication."""

SEALED = b"\x01"
"""First byte of an authenticated message."""

TAG_BYTES = 16
"""Length of the truncated HMAC-SHA256, in bytes."""

COUNTER = struct.Struct(">Q")
"""Format of the counter of an authenticated message."""

SEAL_BYTES = len(SEALED) + COUNTER.size + TAG_BYTES
"""Bytes that a seal adds to a message."""

WINDOW_SIZE = 1_024
"""Number of counters by which a message may be older than the newest of its sender."""

MAX_SENDERS = 4_096
"""Maximum number of replay windows.

The window of the sender that was inactive for longest is dropped first.
"""


class SealError(WisterialoomError):
    """Raised when a message is not authentic, or repeats an earlier one."""


@dataclass(frozen=True, slots=True)
class OpenedMessage:
    """The content of a sealed message.

    Attributes:
        payload: The original bytes.
        counter: Counter of the sender; `None` if no key is in use.
    """

    payload: bytes
    counter: int | None


class Seal:
    """Authenticates messages with the first key, and verifies them with any key.

    The authentication tag covers the receiver's address and the channel, so a message
    cannot be replayed to another instance. Keys are rotated in two steps: append the
    new key after the old one on every instance, then move it to the front.

    Attributes:
        keys: Shared keys; without any, messages are neither sealed nor verified.
        counter: Counter that was used last. It starts at the wall clock in
            nanoseconds, so that it also increases across restarts under one name.
        windows: Replay window by sender and channel, the least recently used first.
    """

    def __init__(self, keys: tuple[bytes, ...], counter: int) -> None:
        self.keys = keys
        self.counter = counter
        self.windows: OrderedDict[tuple[str, str], ReplayWindow] = OrderedDict()

    def seal(self, payload: bytes, address: str, channel: str) -> bytes:
        """Return a payload with the tag for one receiver.

        Args:
            payload: Bytes to send.
            address: Address of the receiver.
            channel: `udp` or `tcp`.
        """
        if not self.keys:
            return PLAIN + payload
        self.counter += 1
        data = SEALED + COUNTER.pack(self.counter) + payload
        return data + _tag(self.keys[0], data, address, channel)

    def open(self, data: bytes, address: str, channel: str) -> OpenedMessage:
        """Verify and unwrap a message that this instance received.

        Raises:
            SealError: The message is not authentic.
        """
        if not self.keys:
            return _open_plain(data)
        if data[:1] != SEALED or len(data) < SEAL_BYTES:
            raise SealError(
                "message is not sealed; configure the peer key on every instance"
            )
        body, tag = data[:-TAG_BYTES], data[-TAG_BYTES:]
        if not any(
            hmac.compare_digest(tag, _tag(key, body, address, channel))
            for key in self.keys
        ):
            raise SealError(
                "no configured key matches the seal; "
                "compare the peer keys and advertised addresses"
            )
        (counter,) = COUNTER.unpack_from(body, 1)
        return OpenedMessage(body[1 + COUNTER.size :], counter)

    def check_counter(self, sender: str, channel: str, counter: int | None) -> None:
        """Reject a repeated message; must be called once for each message.

        Raises:
            SealError: The counter was seen before, or is too old to check.
        """
        if counter is None:
            return
        window = self.windows.setdefault((sender, channel), ReplayWindow())
        self.windows.move_to_end((sender, channel))
        while len(self.windows) > MAX_SENDERS:
            self.windows.popitem(last=False)
        if not window.accept(counter):
            raise SealError(
                f"repeated or outdated message from {sender}; if this persists, check "
                "that its clock is correct and its name is unique"
            )


class ReplayWindow:
    """Counters received from one sender.

    A sender increases its counter with every message to any receiver, so the window
    spans the messages that it sends to all receivers.

    Attributes:
        highest: Highest counter received.
        seen: Bit set in which bit n is set if `highest - n` was received.
    """

    def __init__(self) -> None:
        self.highest = 0
        self.seen = 0

    def accept(self, counter: int) -> bool:
        """Record a counter; tell whether it is new."""
        ahead = counter - self.highest
        if ahead > 0:
            shifted = self.seen << ahead if ahead < WINDOW_SIZE else 0
            self.seen = (shifted | 1) & ((1 << WINDOW_SIZE) - 1)
            self.highest = counter
            return True
        bit = 1 << -ahead if -ahead < WINDOW_SIZE else 0
        if not bit or self.seen & bit:
            return False
        self.seen |= bit
        return True


def _open_plain(data: bytes) -> OpenedMessage:
    if data[:1] != PLAIN:
        raise SealError(
            "message is sealed, but this instance has no peer key; configure it"
        )
    return OpenedMessage(data[1:], None)


def _tag(key: bytes, body: bytes, address: str, channel: str) -> bytes:
    context = f"{channel} {address}\n".encode()
    return hmac.digest(key, context + body, hashlib.sha256)[:TAG_BYTES]
