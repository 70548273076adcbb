"""Counters of the peer links."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["PeerCounters"]


@dataclass
class PeerCounters:
    """What went over the peer links, and what did not and why.

    Attributes:
        datagrams_sent: Datagrams handed to the socket.
        datagrams_received: Datagrams that came, whatever they held.
        datagram_bytes_sent: Their bytes.
        datagram_bytes_received: Their bytes.
        frames_sent: Frames handed to a TCP connection.
        frames_received: Frames that came, whatever they held.
        frame_bytes_sent: Their bytes.
        frame_bytes_received: Their bytes.
        connects: TCP connections opened.
        connect_failures: TCP connections that could not be opened.
        dropped_address: Not sent: the address is no IP number with a port.
        dropped_encoding: Not sent: the codec refused the message.
        dropped_too_large: Not sent: larger than a datagram may be.
        dropped_socket: Not sent: the socket refused it.
        dropped_queue_full: Not sent: too much waits for that peer.
        dropped_expired: Not sent: it waited too long for a connection.
        dropped_malformed: Received and not understood.
        dropped_unauthentic: Received without a valid seal, or a repeat.
        dropped_connections: Incoming connections refused above the limit.
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
        """Count a message by its class."""
        name = type(message).__name__
        self.sent[name] = self.sent.get(name, 0) + 1

    def count_received(self, message: object) -> None:
        """Count a message by its class."""
        name = type(message).__name__
        self.received[name] = self.received.get(name, 0) + 1
