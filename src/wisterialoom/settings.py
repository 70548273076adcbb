"""Settings of an entry instance, read from its TOML file."""

from __future__ import annotations

from dataclasses import dataclass, field
from ipaddress import ip_address
from pathlib import Path
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

from wisterialoom.core.configuration._toml_reader import read_toml
from wisterialoom.core.fault import Fault, InvalidInputError

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = [
    "Instance",
    "Limits",
    "Listen",
    "Log",
    "Peers",
    "Platform",
    "Settings",
    "SettingsError",
    "split_address",
]

MAX_PORT = 65_535
MIN_KEY_LENGTH = 16
"""Least length of a peer secret, in characters."""

MIN_MEMORY_MB = 128.0
MIN_DESCRIPTORS = 256

LOG_LEVELS = ("debug", "info", "warning", "error")


class SettingsError(InvalidInputError):
    """Raised if a settings file cannot be read or is invalid."""


@dataclass(frozen=True, slots=True)
class Instance:
    """Identity of this entry instance.

    Attributes:
        name: Identifier, unique in the deployment.
        availability_zone: Availability zone in which the instance runs.
    """

    name: str
    availability_zone: str


@dataclass(frozen=True, slots=True)
class Listen:
    """Addresses on which the instance listens, as `IP:port`; port 0 picks a free port.

    Attributes:
        callers: HTTP for callers.
        peers: TCP and UDP for other entry instances.
        admin: HTTP for operators: health, metrics and status.
    """

    callers: str = "127.0.0.1:8080"
    peers: str = "127.0.0.1:8081"
    admin: str = "127.0.0.1:8082"


@dataclass(frozen=True, slots=True)
class Platform:
    """Access to the platform's object API and instance list.

    Attributes:
        url: `http://IP:port`, optionally with a path.
        timeout_s: Timeout of a call other than a watch.
    """

    url: str
    timeout_s: float = 2.0


@dataclass(frozen=True, slots=True)
class Peers:
    """Access to the other entry instances, which are discovered through the seeds.

    Attributes:
        seeds: Peer addresses as `IP:port`; may contain this instance's own.
        advertise: `IP:port` at which peers reach this instance; empty for
            `listen.peers`.
        keys: Secrets shared by all entry instances, at least 16 characters each;
            messages are authenticated with the first and accepted with any. Without
            a key, peer messages are not authenticated.
    """

    seeds: tuple[str, ...] = ()
    advertise: str = ""
    keys: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the resources that callers can occupy.

    Attributes:
        max_body_bytes: Largest body of a request.
        max_header_bytes: Largest request line or header field. A head may have 128
            times as many bytes.
        max_concurrent: Greatest number of requests in progress, waiting ones
            included.
        memory_mb: Memory for the process, in MB of 1,000,000 bytes. What callers
            send, and what they have yet to read, is bounded within it.
        max_descriptors: File descriptors that the process may open. Connections of
            callers use two fifths of them, or of the system's limit if that is lower.
    """

    max_body_bytes: int = 8_000_000
    max_header_bytes: int = 16_384
    max_concurrent: int = 4_096
    memory_mb: float = 1_024.0
    max_descriptors: int = 16_384


@dataclass(frozen=True, slots=True)
class Log:
    """Logging, as JSON lines to standard error.

    Attributes:
        level: `debug`, `info`, `warning` or `error`.
    """

    level: str = "info"


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of an entry instance."""

    instance: Instance
    platform: Platform
    listen: Listen = field(default_factory=Listen)
    peers: Peers = field(default_factory=Peers)
    limits: Limits = field(default_factory=Limits)
    log: Log = field(default_factory=Log)

    @classmethod
    def load(cls, path: str | Path) -> Settings:
        """Read a settings file.

        Raises:
            SettingsError: If the file cannot be read or is invalid; all faults are
                listed.
        """
        try:
            body = Path(path).read_bytes()
        except OSError as error:
            problem = error.strerror or str(error)
            fault = Fault(str(path), problem, "name a readable settings file")
            raise SettingsError([fault]) from error
        return cls.parse(body)

    @classmethod
    def parse(cls, body: bytes) -> Settings:
        """Parse settings from TOML text in UTF-8.

        Raises:
            SettingsError: If the text is invalid; all faults are listed.
        """
        result = read_toml(body, cls)
        faults = list(result.faults)
        if isinstance(result.value, cls):
            found = _validate(result.value)
            faults += [fault for fault in found if not fault.follows(result.faults)]
        if faults or not isinstance(result.value, cls):
            raise SettingsError(faults)
        return result.value


def split_address(address: str) -> tuple[str, int]:
    """Split `IP:port`, with IPv6 addresses in brackets.

    Raises:
        ValueError: If the address has another form.
    """
    host, separator, port = address.rpartition(":")
    if not separator or not (port.isascii() and port.isdigit()):
        raise ValueError(f"{address!r} has no port")
    if int(port) > MAX_PORT:
        raise ValueError(f"port {port} is above {MAX_PORT}")
    bracketed = host.startswith("[") and host.endswith("]")
    number = ip_address(host[1:-1] if bracketed else host)
    if (number.version == 6) is not bracketed:
        raise ValueError(
            f"{host!r} must be in brackets if it is IPv6, and without if IPv4"
        )
    return str(number), int(port)


def _validate(settings: Settings) -> Iterator[Fault]:
    for name in ("name", "availability_zone"):
        if not getattr(settings.instance, name):
            yield Fault(f"instance.{name}", "is empty", "give it a name")
    for name in ("callers", "peers", "admin"):
        address = getattr(settings.listen, name)
        yield from _address_faults(f"listen.{name}", address, any_port=True)
    yield from _url_faults(settings.platform.url)
    if settings.peers.advertise:
        yield from _address_faults("peers.advertise", settings.peers.advertise)
    for index, seed in enumerate(settings.peers.seeds):
        yield from _address_faults(f"peers.seeds[{index}]", seed)
    for index, key in enumerate(settings.peers.keys):
        if len(key) < MIN_KEY_LENGTH:
            problem = f"has {len(key)} characters"
            remedy = f"use a random secret of {MIN_KEY_LENGTH} or more"
            yield Fault(f"peers.keys[{index}]", problem, remedy)
    yield from _positive_faults("platform.timeout_s", settings.platform.timeout_s)
    for name in Limits.__dataclass_fields__:
        yield from _positive_faults(f"limits.{name}", getattr(settings.limits, name))
    for name, least in (
        ("memory_mb", MIN_MEMORY_MB),
        ("max_descriptors", MIN_DESCRIPTORS),
    ):
        value = getattr(settings.limits, name)
        if 0 < value < least:
            remedy = f"use {least:g} or more"
            yield Fault(f"limits.{name}", f"is {value:g}", remedy)
    if settings.log.level not in LOG_LEVELS:
        problem = f"{settings.log.level!r} is not a level"
        yield Fault("log.level", problem, f"use one of {', '.join(LOG_LEVELS)}")


def _address_faults(
    place: str, address: str, *, any_port: bool = False
) -> Iterator[Fault]:
    remedy = "write IP:port with an IP number; host names are not looked up"
    try:
        _, port = split_address(address)
    except ValueError as error:
        yield Fault(place, str(error), remedy)
        return
    if port == 0 and not any_port:
        yield Fault(place, "has port 0", "write the port that the peer listens on")


def _url_faults(url: str) -> Iterator[Fault]:
    parts = urlsplit(url)
    if parts.scheme not in ("http", "https"):
        yield Fault("platform.url", f"{url!r} is not a URL", "write http://IP:port")
        return
    default = 443 if parts.scheme == "https" else 80
    has_port = ":" in parts.netloc.rpartition("]")[2]
    address = parts.netloc if has_port else f"{parts.netloc}:{default}"
    yield from _address_faults("platform.url", address)


def _positive_faults(place: str, value: float) -> Iterator[Fault]:
    if value <= 0:
        yield Fault(place, f"is {value}", "use a number above 0")
