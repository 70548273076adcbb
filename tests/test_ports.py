"""Ports of the tests' servers are not given to anyone else in between."""

import itertools
import os
import socket
from pathlib import Path

import pytest

from tests import ports
from tests.ports import FIRST_PORT, free_port, PORTS, worker_ports

EPHEMERAL = Path("/proc/sys/net/ipv4/ip_local_port_range")


@pytest.mark.skipif(not EPHEMERAL.exists(), reason="the system names no range")
def test_port_is_none_that_a_connection_of_another_test_may_get_meanwhile():
    first, last = map(int, EPHEMERAL.read_text().split())
    for _ in range(200):
        assert not first <= free_port() <= last


def test_no_two_servers_get_the_same_port():
    ports = [free_port() for _ in range(500)]
    assert len(set(ports)) == len(ports)


@pytest.mark.parametrize("count", [1, 5, 6])
def test_no_two_workers_get_the_same_port(count):
    """One that had used many ports came to those of the next between test and bind."""
    ranges = [worker_ports(f"gw{number}", count) for number in range(count)]
    ports = [port for found in ranges for port in found]
    assert len(set(ports)) == len(ports) > PORTS - count
    assert FIRST_PORT <= min(ports) <= max(ports) < FIRST_PORT + PORTS


def test_ports_are_those_of_this_worker():
    worker = os.environ.get("PYTEST_XDIST_WORKER", "gw0")
    count = int(os.environ.get("PYTEST_XDIST_WORKER_COUNT", "1"))
    assert {free_port() for _ in range(50)} <= set(worker_ports(worker, count))


@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_port_in_use_is_left_out(kind, monkeypatch):
    with socket.socket(socket.AF_INET, kind) as user:
        taken = free_port(kind)
        user.bind(("127.0.0.1", taken))
        others = itertools.chain([taken], ports.CANDIDATES)
        monkeypatch.setattr(ports, "CANDIDATES", others)
        assert free_port(socket.SOCK_STREAM, socket.SOCK_DGRAM) != taken
