"""Puts the parts of one entry instance together."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from wisterialoom.core.claim import ClaimKeeper
from wisterialoom.core.config_follower import ConfigFollower
from wisterialoom.core.entry import EntryCore
from wisterialoom.core.membership import Membership
from wisterialoom.core.request_path import RequestPath
from wisterialoom.core.server_directory import ServerDirectory
from wisterialoom.core.static_planner import StaticPlanner
from wisterialoom.core.stewards import Stewards

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from wisterialoom.core.window import WindowPolicy

__all__ = ["EntryParts", "Identity"]

DRAINING_PARTS = frozenset({"request_path", "claims", "stewards", "membership"})
"""Parts that report `PartDrained` before the instance exits."""


@dataclass(frozen=True, slots=True)
class Identity:
    """Who an entry instance is.

    Attributes:
        name: Identifier, unique in the deployment.
        boot_id: Differs between any two processes of this name.
        boot_number: Greater for each later process of this name.
        address: `IP:port` at which peers reach it.
        availability_zone: Name of the availability zone.
        seeds: Addresses of peers to begin with.
    """

    name: str
    boot_id: str
    boot_number: int
    address: str
    availability_zone: str
    seeds: tuple[str, ...] = ()


@dataclass(frozen=True)
class EntryParts:
    """The parts of one entry instance, and the core that they make up.

    Attributes:
        config: Follows the configuration.
        membership: Knows the other entry instances.
        directory: Knows the backend servers.
        stewards: Steers the engines whose lease this instance holds.
        claims: Claims of idempotency keys.
        path: Carries requests.
        core: All of them together.
    """

    config: ConfigFollower
    membership: Membership
    directory: ServerDirectory
    stewards: Stewards
    claims: ClaimKeeper
    path: RequestPath
    core: EntryCore

    @classmethod
    def from_identity(
        cls,
        identity: Identity,
        rng: random.Random,
        wall_clock: Callable[[], float],
        *,
        policy: WindowPolicy | None = None,
    ) -> EntryParts:
        """Build every part of an instance.

        Args:
            identity: Who the instance is.
            rng: Source of random choices.
            wall_clock: Returns the wall-clock time in seconds.
            policy: How in-flight limits are found; `None` for the default.
        """
        zone = identity.availability_zone
        config = ConfigFollower(identity.name, zone, rng)
        membership = Membership(
            identity.name,
            identity.address,
            zone,
            seeds=identity.seeds,
            rng=rng,
            incarnation=identity.boot_number,
        )
        directory = ServerDirectory(rng)
        stewards = Stewards(identity.name, identity.boot_id)
        claims = ClaimKeeper(identity.name, identity.boot_id, wall_clock)
        path = RequestPath(zone, policy=policy)
        planner = StaticPlanner()
        parts = (config, membership, directory, planner, stewards, claims, path)
        core = EntryCore(parts, DRAINING_PARTS)
        return cls(config, membership, directory, stewards, claims, path, core)
