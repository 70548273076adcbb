"""Addresses of the form `IP:port`, or `[IP]:port` for IPv6."""

from __future__ import annotations

import ipaddress

from wisterialoom.core.error import WisterialoomError

__all__ = ["PeerAddressError", "format_address", "parse_address"]

MAX_PORT = 65_535


class PeerAddressError(WisterialoomError):
    """Raised when an address is no IP number with a port."""


def parse_address(address: str) -> tuple[str, int]:
    """Return host and port; names are never looked up.

    Raises:
        PeerAddressError: The text is not of the form `IP:port`.
    """
    host, _, port = address.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        number = int(port)
        text = str(ipaddress.ip_address(host))
    except ValueError:
        number, text = -1, ""
    if not 0 <= number <= MAX_PORT:
        raise PeerAddressError(f"{address!r} is no address: write IP:port")
    return text, number


def format_address(host: str, port: int) -> str:
    """Return the text form of a host and port."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
