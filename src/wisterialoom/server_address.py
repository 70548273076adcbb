"""Addresses of backend servers in the entries that describe them."""

from __future__ import annotations

import re

__all__ = ["is_server_address"]

MAX_PORT = 65_535

ADDRESS = re.compile(r"(?:[A-Za-z0-9._-]+|\[[0-9A-Fa-f:.]+\]):([0-9]{1,5})")
"""Host or IP address, and port."""


def is_server_address(text: str) -> bool:
    """Return whether a text is a host or an IP address with a port."""
    found = ADDRESS.fullmatch(text)
    return found is not None and 0 < int(found[1]) <= MAX_PORT
