"""Ports for servers that need to know their port before they listen."""

from __future__ import annotations

import itertools
import os
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

FIRST_PORT, PORTS = 21000, 11000
"""Ports below those that the system gives to connections and to servers on port 0."""

STEP = 101
"""Distance between the first ports of two processes with successive ids."""


def worker_ports(worker: str, count: int) -> range:
    """Return the ports of a worker of pytest-xdist, which no other worker uses.

    Args:
        worker: Its id: `gw` and its number.
        count: Number of workers.
    """
    size = PORTS // count
    first = FIRST_PORT + int(worker.removeprefix("gw")) * size
    return range(first, first + size)


def _candidates() -> Iterator[int]:
    worker = os.environ.get("PYTEST_XDIST_WORKER", "gw0")
    ports = worker_ports(worker, int(os.environ.get("PYTEST_XDIST_WORKER_COUNT", "1")))
    for number in itertools.count(os.getpid() * STEP):
        yield ports[number % len(ports)]


CANDIDATES = _candidates()


def free_port(*kinds: socket.SocketKind) -> int:
    """Return a port that no socket of these kinds uses, and that no other call gets.

    Args:
        kinds: The kinds of sockets; just streams if none is given.
    """
    for port in itertools.islice(CANDIDATES, PORTS):
        if all(_is_free(port, kind) for kind in kinds or [socket.SOCK_STREAM]):
            return port
    raise OSError("no port is free")


def _is_free(port: int, kind: socket.SocketKind) -> bool:
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
