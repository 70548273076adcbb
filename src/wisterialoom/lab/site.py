"""Named deployments for scenarios and measurements."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from wisterialoom.core.error import WisterialoomError
from wisterialoom.lab.deployment import Deployment, FleetServer
from wisterialoom.standin.engine_batch import BatchSettings

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["SITES", "UnknownSiteError", "open_site"]

SMALL_MEMORY_MB = 40_000

ROLE_MEMORY_MB = {
    "drafting": 80_000,
    "review": 80_000,
    "writer": 48_000,
    "old-writer": 48_000,
}
"""Accelerator memory of an engine by role, in MB; other roles are services."""

UNFENCED_ROLES = ("review", "old-writer")
"""Roles whose engines execute any order, without a check of its fencing number."""

BATCH = BatchSettings(slots=16, max_batch=40, token_gap_s=0.03)
"""Speed of an engine; a batch of 39 meets a target of 74 ms between tokens."""

SMALL_DOCUMENT = b"""
[deployment]
name = "small"
lease_s = 6.0

[[availability_zones]]
name = "az-1"
[availability_zones.delay_ms]
az-2 = 5.0

[[availability_zones]]
name = "az-2"
[availability_zones.delay_ms]
az-1 = 5.0

[[models]]
name = "drafting"
version = "1"
memory_mb = 16000
load_s = 2.0

[[models]]
name = "review"
version = "1"
memory_mb = 16000
load_s = 2.0

[[models]]
name = "filing"
version = "1"
memory_mb = 20000
load_s = 2.0

[[models]]
name = "archive"
version = "1"
memory_mb = 20000
load_s = 2.0

[[models]]
name = "summary"
version = "1"
memory_mb = 24000
load_s = 2.0

[[adapters]]
name = "drafting-sofia"
model = "drafting"
version = "1"
memory_mb = 100

[[server_groups]]
name = "checking"
selector = "kind=engine,checks=yes"
memory_mb = 40000
adapter_pool_mb = 2000
slots = 8
checks_fencing = true

[[server_groups]]
name = "trusting"
selector = "kind=engine,checks=no"
memory_mb = 40000
adapter_pool_mb = 2000
slots = 8
checks_fencing = false
order_lifetime_s = 25.0

[[server_groups]]
name = "registry"
selector = "kind=service"
kind = "service"
slots = 16

[[traffic_classes]]
name = "urgent"
priority = 0
first_token_s = 1.4
load_wait_s = 60.0

[[traffic_classes]]
name = "deferred"
priority = 10
may_wait = true
max_wait_s = 120.0

[[callers]]
name = "desk"
api_key_sha256 = "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"
traffic_class = "urgent"
classes = ["urgent", "deferred"]
max_concurrent = 2000

[[traffic]]
name = "registrations"
path = "/registry/*"
methods = ["POST"]
servers = "kind=service"
idempotent = false

[[traffic]]
name = "lookups"
path = "/registry/*"
servers = "kind=service"
"""

SITES = ("small", "association-filing-desk", "papelera-ribera")


class UnknownSiteError(WisterialoomError):
    """Raised when no deployment has the given name."""


def _small_fleet() -> Iterator[FleetServer]:
    for number, checks in enumerate(("yes", "yes", "no"), start=1):
        yield FleetServer(
            name=f"engine-{number}",
            availability_zone=f"az-{(number - 1) % 2 + 1}",
            labels={"kind": "engine", "checks": checks},
            memory_mb=SMALL_MEMORY_MB,
            checks_fencing=checks == "yes",
        )
    for number in (1, 2):
        labels = {"kind": "service"}
        yield FleetServer(f"registry-{number}", f"az-{number}", labels)


def _fleet(zones: list[str], roles: dict[str, int]) -> Iterator[FleetServer]:
    """Yield the servers of each role, spread over the availability zones.

    Args:
        zones: Names of the availability zones.
        roles: Number of servers by role.
    """
    for role, count in roles.items():
        kind = "engine" if role in ROLE_MEMORY_MB else "service"
        for number in range(1, count + 1):
            labels = {"kind": kind, "role": role}
            yield FleetServer(
                name=f"{role}-{number}",
                availability_zone=zones[number % len(zones)],
                labels=labels,
                memory_mb=ROLE_MEMORY_MB.get(role, 0),
                checks_fencing=role not in UNFENCED_ROLES,
                batch=BATCH,
            )


def open_site(
    name: str, *, examples: Path = Path("examples"), seed: int = 1
) -> Deployment:
    """Return a deployment by name, with no entry instance started.

    Args:
        name: One of `SITES`.
        examples: Folder of the example documents.
        seed: Seed of every random choice.

    Raises:
        UnknownSiteError: No site has this name.
    """
    match name:
        case "small":
            return Deployment.from_toml(SMALL_DOCUMENT, _small_fleet(), seed=seed)
        case "association-filing-desk":
            zones = [f"bg-south-{number}" for number in range(1, 5)]
            roles = {"drafting": 4, "review": 2, "filing": 4}
        case "papelera-ribera":
            zones = [f"ar-centro-{number}" for number in range(1, 4)]
            roles = {"writer": 7, "old-writer": 2, "orders": 3}
        case _:
            raise UnknownSiteError(
                f"unknown site {name!r}; use one of {', '.join(SITES)}"
            )
    body = (examples / f"{name}.toml").read_bytes()
    return Deployment.from_toml(body, _fleet(zones, roles), seed=seed)
