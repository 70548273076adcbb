"""Addresses of the form `IP:port`, or `[IP]:port` for IPv6."""

from __future__ import annotations

import ipaddress

from wisterialoom.core.error import WisterialoomError

__all__ = ["PeerAddressError", "format_address", "parse_address"]

MAX_PORT = 65_535


class PeerAddressError(WisterialoomError):
    """Raised when an address is not an IP address with a port."""


def parse_address(address: str) -> tuple[str, int]:
    """Return the host and port of an address; host names are never resolved.

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
        raise PeerAddressError(
            f"{address!r} is not an address of the form IP:port; "
            "give an IP address, not a host name, and a port up to 65535"
        )
    return text, number


def format_address(host: str, port: int) -> str:
    """Return the text form of a host and port."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
