"""Tests of peer links on loopback: delivery, limits, authentication, lost peers."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest
from hypothesis import given, settings, strategies as st

from wisterialoom.core.fleet.peer import ConfigPull, ConfigPush, IndirectPing, SendPeer
from wisterialoom.peer import _outbox
from wisterialoom.peer.link import PeerLinks
from wisterialoom.peer.seal import ReplayWindow, Seal, SealError, WINDOW_SIZE

LISTEN = "127.0.0.1:0"


class Peer:
    """Peer links and the messages that they received."""

    def __init__(self, name, keys=()):
        self.received = []
        self.links = PeerLinks(name, self.received.append, keys=keys)

    def send(self, other, *messages):
        for message in messages:
            self.links.send(SendPeer(other.links.name, other.links.address, message))


@contextlib.asynccontextmanager
async def started(*peers):
    try:
        for peer in peers:
            await peer.links.start(LISTEN)
        yield peers
    finally:
        for peer in peers:
            await peer.links.stop()


async def until(condition):
    async with asyncio.timeout(10.0):
        while not condition():
            await asyncio.sleep(0.01)


def contents(peer):
    return [event.message for event in peer.received]


@pytest.mark.parametrize("keys", [(), (b"new", b"old")])
async def test_datagrams_and_frames_arrive(keys):
    async with started(Peer("a", keys), Peer("b", keys[::-1])) as (a, b):
        frames = [ConfigPush(n, b"x" * 100_000) for n in range(20)]
        a.send(b, *frames)
        a.send(b, IndirectPing(1, "c"))
        await until(lambda: len(b.received) == 21)
        assert [m for m in contents(b) if isinstance(m, ConfigPush)] == frames
        assert IndirectPing(1, "c") in contents(b)
        assert {event.sender for event in b.received} == {"a"}
        assert a.links.counters.connects == 1
        assert a.links.counters.sent == {"ConfigPush": 20, "IndirectPing": 1}
        assert b.links.counters.received == a.links.counters.sent


async def test_messages_that_cannot_be_sent_are_dropped_and_counted():
    async with started(Peer("a"), Peer("b")) as (a, b):
        a.send(b, IndirectPing(1, "x" * 2_000), ConfigPull(2**70))
        a.links.send(SendPeer("c", "entry-3:1", ConfigPull(1)))
        counters = a.links.counters
        assert counters.dropped_too_large == 1
        assert counters.dropped_encoding == 1
        assert counters.dropped_address == 1
        assert counters.sent == {}


async def test_messages_without_a_shared_key_are_dropped():
    valid, other_key, no_key = Peer("a", (b"k",)), Peer("b", (b"other",)), Peer("c")
    async with started(valid, other_key, no_key, Peer("d", (b"k",))) as (*_, d):
        for peer in (other_key, no_key):
            peer.send(d, IndirectPing(1, "x"), ConfigPull(1))
        await until(lambda: d.links.counters.dropped_unauthentic == 4)
        valid.send(d, ConfigPull(2))
        await until(lambda: d.received)
        assert contents(d) == [ConfigPull(2)]


async def test_repeated_datagrams_are_dropped():
    async with started(Peer("a", (b"k",)), Peer("b", (b"k",))) as (a, b):
        sent = []
        send = a.links.datagrams.sendto
        a.links.datagrams = type("Spy", (), {})()
        a.links.datagrams.sendto = lambda *args: (sent.append(args), send(*args))
        a.send(b, IndirectPing(1, "x"))
        send(*sent[0])
        await until(lambda: b.links.counters.datagrams_received == 2)
        assert len(b.received) == 1
        assert b.links.counters.dropped_unauthentic == 1
        a.links.datagrams = a.links.server = None


async def test_lost_peer_uses_bounded_memory_and_is_reached_after_a_restart(
    monkeypatch,
):
    monkeypatch.setattr(_outbox, "FRAME_LIFETIME_S", 0.2)
    b = Peer("b")
    await b.links.start("127.0.0.2:0")  # No other process uses this port later.
    async with started(Peer("a")) as (a,):
        a.send(b, ConfigPull(1))
        await until(lambda: b.received)
        address = b.links.address
        await b.links.stop()
        for n in range(2_000):
            a.send(b, ConfigPush(n, b"x" * 100_000))
        outbox = a.links.outboxes[address]
        assert outbox.waiting_bytes <= _outbox.MAX_BYTES
        assert len(outbox.frames) <= _outbox.MAX_FRAMES
        counters = a.links.counters
        assert counters.dropped_queue_full > 1_900
        await until(lambda: (a.send(b, ConfigPull(2)), counters.dropped_expired)[1] > 0)
        other = Peer("b")
        await other.links.start(address)
        try:
            await until(lambda: (a.send(other, ConfigPull(7)), other.received)[1])
        finally:
            await other.links.stop()


async def test_idle_connections_are_closed_and_reopened(monkeypatch):
    monkeypatch.setattr(_outbox, "IDLE_S", 0.05)
    async with started(Peer("a"), Peer("b")) as (a, b):
        a.send(b, ConfigPull(1))
        await until(lambda: not a.links.outboxes and not b.links.inbox.connections)
        a.send(b, ConfigPull(2))
        await until(lambda: len(b.received) == 2)
        b.links.inbox.idle_s = -1.0
        b.links.inbox.close_idle()
        await until(lambda: not b.links.inbox.connections)


async def test_connection_to_a_peer_that_reads_nothing_is_dropped(monkeypatch):
    monkeypatch.setattr(_outbox, "STALL_TIMEOUT_S", 0.2)
    with socket.create_server(("127.0.0.1", 0)) as unresponsive:
        host, port = unresponsive.getsockname()
        async with started(Peer("a")) as (a,):
            command = SendPeer("b", f"{host}:{port}", ConfigPush(1, b"x" * 900_000))
            counters = a.links.counters
            await until(lambda: (a.links.send(command), counters.connects)[1] > 2)
            assert counters.frames_sent < 40


async def test_invalid_bytes_are_counted_and_close_the_connection():
    async with started(Peer("a")) as (a,):
        host, port = a.links.address.split(":")
        for data in (b"\xff\xff\xff\xff", b"\x00\x00\x00\x02zz"):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            with contextlib.suppress(ConnectionError):
                assert await asyncio.wait_for(reader.read(), 10.0) == b""
            writer.close()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.sendto(b"\x00zz", (host, int(port)))
        counters = a.links.counters
        await until(
            lambda: counters.dropped_malformed + counters.dropped_unauthentic == 3
        )
        assert a.received == []


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(st.integers(1, 3 * WINDOW_SIZE), max_size=60))
def test_replay_window_accepts_each_counter_once(counters):
    window, seen = ReplayWindow(), set()
    for counter in counters:
        fresh = counter not in seen and counter > max(seen, default=0) - WINDOW_SIZE
        assert window.accept(counter) is fresh
        seen.add(counter)


def test_seal_is_valid_for_one_receiver_and_one_channel():
    seal = Seal((b"k",), counter=5)
    data = seal.seal(b"payload", "10.0.0.1:1", "udp")
    assert seal.open(data, "10.0.0.1:1", "udp").payload == b"payload"
    changed = data[:12] + bytes([data[12] ^ 1]) + data[13:]
    for case in ((data, "10.0.0.2:1", "udp"), (data, "10.0.0.1:1", "tcp")):
        with pytest.raises(SealError):
            seal.open(*case)
    with pytest.raises(SealError):
        seal.open(changed, "10.0.0.1:1", "udp")
