"""Links to the other entry instances: UDP for small updates, TCP for all else."""

from __future__ import annotations

import asyncio
import random
import time
from typing import cast, TYPE_CHECKING

from wisterialoom.peer._address import format_address, parse_address, PeerAddressError
from wisterialoom.peer._inbox import Inbox
from wisterialoom.peer._outbox import Outbox
from wisterialoom.peer.codec import decode, encode, MAX_DATAGRAM_BYTES, PeerCodecError
from wisterialoom.peer.counters import PeerCounters
from wisterialoom.peer.seal import Seal, SEAL_BYTES, SealError

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisterialoom.core.fleet.peer import PeerReceived, SendPeer

__all__ = ["PeerLinks"]

UDP = "udp"
TCP = "tcp"

PORT_ATTEMPTS = 20
"""Maximum number of attempts to find a port that is free for both UDP and TCP."""

IDLE_CHECK_INTERVAL_S = 10.0
"""Time between two checks for idle incoming connections."""


class PeerLinks:
    """Sends and receives peer messages, without a guarantee of delivery.

    Attributes:
        name: Name of this entry instance.
        deliver: Called with each received message.
        address: `IP:port` at which peers reach this instance. If the settings give
            none, it is empty until `start` reads it from the socket.
        seal: Authenticates the messages.
        counters: Counters of messages sent, received and dropped.
        outboxes: Queues of outgoing frames, by address.
        inbox: Incoming TCP connections.
    """

    def __init__(
        self,
        name: str,
        deliver: Callable[[PeerReceived], None],
        *,
        address: str = "",
        keys: tuple[bytes, ...] = (),
    ) -> None:
        self.name = name
        self.deliver = deliver
        self.address = address
        self.seal = Seal(keys, counter=time.time_ns())
        self.counters = PeerCounters()
        self.rng = random.Random()
        self.outboxes: dict[str, Outbox] = {}
        self.inbox = Inbox(self._receive_frame, self.counters)
        self.server: asyncio.Server | None = None
        self.datagrams: asyncio.DatagramTransport | None = None
        self.idle_check_task: asyncio.Task[None] | None = None

    async def start(self, listen: str) -> str:
        """Open the sockets.

        Args:
            listen: `IP:port` to listen on; port 0 selects a free port.

        Returns:
            The address that peers should use.

        Raises:
            PeerAddressError: `listen` is not an IP address with a port.
            OSError: The port is in use.
        """
        host, port = parse_address(listen)
        self.server, self.datagrams = await self._bind(host, port)
        bound = self.datagrams.get_extra_info("sockname")
        self.address = self.address or format_address(bound[0], bound[1])
        self.idle_check_task = asyncio.get_running_loop().create_task(
            self._close_idle_connections()
        )
        return self.address

    async def _bind(
        self, host: str, port: int
    ) -> tuple[asyncio.Server, asyncio.DatagramTransport]:
        for attempt in range(PORT_ATTEMPTS):
            server = await self._listen(host, port)
            bound_port = server.sockets[0].getsockname()[1]
            try:
                return server, await self._open_datagrams(host, bound_port)
            except OSError:
                server.close()
                if port or attempt == PORT_ATTEMPTS - 1:
                    raise
        raise AssertionError("unreachable")

    async def _listen(self, host: str, port: int) -> asyncio.Server:
        loop = asyncio.get_running_loop()
        return await loop.create_server(self.inbox.connection, host, port)

    async def _open_datagrams(self, host: str, port: int) -> asyncio.DatagramTransport:
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramProtocol(self._receive_datagram), (host, port)
        )
        return transport

    async def _close_idle_connections(self) -> None:
        while True:
            await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
            self.inbox.close_idle()

    async def stop(self) -> None:
        """Close all sockets; frames that wait for an open connection are sent first."""
        if self.idle_check_task is not None:
            self.idle_check_task.cancel()
            await asyncio.gather(self.idle_check_task, return_exceptions=True)
        if self.server is not None:
            self.server.close()
        await asyncio.gather(
            *[outbox.close() for outbox in list(self.outboxes.values())]
        )
        self.inbox.close()
        if self.datagrams is not None:
            self.datagrams.close()
            self.datagrams = None

    def send(self, command: SendPeer) -> None:
        """Send a message; a message that cannot be sent is dropped and counted."""
        try:
            host, port = parse_address(command.address)
            payload = encode(self.name, command.message)
        except PeerAddressError:
            self.counters.dropped_address += 1
            return
        except PeerCodecError:
            self.counters.dropped_encoding += 1
            return
        if command.message.reliable:
            sent = self._send_frame(command.address, host, port, payload)
        else:
            sent = self._send_datagram(command.address, host, port, payload)
        if sent:
            self.counters.count_sent(command.message)

    def _send_datagram(
        self, address: str, host: str, port: int, payload: bytes
    ) -> bool:
        if len(payload) > MAX_DATAGRAM_BYTES:
            self.counters.dropped_too_large += 1
            return False
        if self.datagrams is None:
            self.counters.dropped_socket += 1
            return False
        data = self.seal.seal(payload, address, UDP)
        try:
            self.datagrams.sendto(data, (host, port))
        except OSError:
            self.counters.dropped_socket += 1
            return False
        self.counters.datagrams_sent += 1
        self.counters.datagram_bytes_sent += len(data)
        return True

    def _send_frame(self, address: str, host: str, port: int, payload: bytes) -> bool:
        if self.datagrams is None:
            self.counters.dropped_socket += 1
            return False
        outbox = self.outboxes.get(address)
        if outbox is None:
            outbox = Outbox(
                host,
                port,
                self.counters,
                self.rng,
                lambda _: self._remove_outbox(address),
            )
            self.outboxes[address] = outbox
        return outbox.put(self.seal.seal(payload, address, TCP))

    def _remove_outbox(self, address: str) -> None:
        self.outboxes.pop(address, None)

    def _receive_datagram(self, data: bytes) -> None:
        self.counters.datagrams_received += 1
        self.counters.datagram_bytes_received += len(data)
        self._receive(data, UDP)

    def _receive_frame(self, data: bytes) -> bool:
        return self._receive(data, TCP)

    def _receive(self, data: bytes, channel: str) -> bool:
        limit = MAX_DATAGRAM_BYTES + SEAL_BYTES
        try:
            if channel == UDP and len(data) > limit:
                raise PeerCodecError(f"datagram larger than {limit} bytes")
            opened = self.seal.open(data, self.address, channel)
            event = decode(opened.payload)
            self.seal.check_counter(event.sender, channel, opened.counter)
        except PeerCodecError:
            self.counters.dropped_malformed += 1
            return False
        except SealError:
            self.counters.dropped_unauthentic += 1
            return False
        self.counters.count_received(event.message)
        self.deliver(event)
        return True


class _DatagramProtocol(asyncio.DatagramProtocol):
    """Passes on each received datagram, and ignores errors of single sends."""

    def __init__(self, receive: Callable[[bytes], None]) -> None:
        self.receive = receive

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: object) -> None:
        self.receive(data)

    def error_received(self, exc: Exception) -> None:
        """Ignore the ICMP errors that are returned for peers that no longer run."""
