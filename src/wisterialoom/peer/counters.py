"""Counters of the peer links."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["PeerCounters"]


@dataclass
class PeerCounters:
    """Traffic of the peer links, and dropped messages by reason.

    Attributes:
        datagrams_sent: Datagrams passed to the socket.
        datagrams_received: Datagrams received, valid or not.
        datagram_bytes_sent: Total size of the datagrams sent.
        datagram_bytes_received: Total size of the datagrams received.
        frames_sent: Frames passed to a TCP connection.
        frames_received: Frames received, valid or not.
        frame_bytes_sent: Total size of the frames sent, with length prefixes.
        frame_bytes_received: Total size of the frames received, with length prefixes.
        connects: TCP connections opened.
        connect_failures: Failed attempts to open a TCP connection.
        dropped_address: Messages not sent because the address is not an IP address
            with a port.
        dropped_encoding: Messages not sent because they could not be encoded.
        dropped_too_large: Messages not sent because they exceed a datagram's limit.
        dropped_socket: Messages not sent because the socket was closed or failed.
        dropped_queue_full: Messages not sent because the peer's queue was full.
        dropped_expired: Messages not sent because they waited too long for a
            connection.
        dropped_malformed: Messages received that could not be decoded.
        dropped_unauthentic: Messages received without a valid seal, or repeated.
        dropped_connections: Incoming connections rejected above the limit.
        sent: Messages sent, by class.
        received: Messages delivered, by class.
    """

    datagrams_sent: int = 0
    datagrams_received: int = 0
    datagram_bytes_sent: int = 0
    datagram_bytes_received: int = 0
    frames_sent: int = 0
    frames_received: int = 0
    frame_bytes_sent: int = 0
    frame_bytes_received: int = 0
    connects: int = 0
    connect_failures: int = 0
    dropped_address: int = 0
    dropped_encoding: int = 0
    dropped_too_large: int = 0
    dropped_socket: int = 0
    dropped_queue_full: int = 0
    dropped_expired: int = 0
    dropped_malformed: int = 0
    dropped_unauthentic: int = 0
    dropped_connections: int = 0
    sent: dict[str, int] = field(default_factory=dict)
    received: dict[str, int] = field(default_factory=dict)

    def count_sent(self, message: object) -> None:
        """Count a sent message by its class."""
        name = type(message).__name__
        self.sent[name] = self.sent.get(name, 0) + 1

    def count_received(self, message: object) -> None:
        """Count a delivered message by its class."""
        name = type(message).__name__
        self.received[name] = self.received.get(name, 0) + 1
