"""Puts the parts of one entry instance together."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

from wisterialoom.core.claims.claim import ClaimManager
from wisterialoom.core.configuration.config_follower import ConfigFollower
from wisterialoom.core.configuration.config_warning import ConfigWarning
from wisterialoom.core.engine_control.demand import Demand
from wisterialoom.core.engine_control.engine_controllers import EngineControllers
from wisterialoom.core.engine_control.lru_planner import LruPlanner
from wisterialoom.core.engine_control.planner import Planner
from wisterialoom.core.engine_control.static_planner import StaticPlanner
from wisterialoom.core.entry import EntryCore
from wisterialoom.core.fleet.membership import Membership
from wisterialoom.core.jobs.job import JobManager
from wisterialoom.core.jobs.job_endpoint import JobEndpoint
from wisterialoom.core.requests.request_path import RequestPath
from wisterialoom.core.requests.server_directory import ServerDirectory

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from wisterialoom.core.message import Part
    from wisterialoom.core.requests.choice import Choice
    from wisterialoom.core.window import WindowPolicy

__all__ = ["EntryParts", "InstanceIdentity", "PlacementPolicy"]

DRAINING_PARTS = frozenset({"request_path", "claims", "jobs", "stewards", "membership"})
"""Parts that report `PartDrained` before the instance exits."""


class PlacementPolicy(enum.Enum):
    """What decides which models are resident where."""

    DEMAND = "demand"
    STATIC = "static"
    RECENCY = "recency"


@dataclass(frozen=True, slots=True)
class InstanceIdentity:
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
        controllers: Steers the engines whose lease this instance holds.
        claims: Claims of idempotency keys.
        jobs: Deferred work.
        path: Carries requests.
        core: All of them together.
    """

    config: ConfigFollower
    membership: Membership
    directory: ServerDirectory
    controllers: EngineControllers
    claims: ClaimManager
    jobs: JobManager
    path: RequestPath
    core: EntryCore

    @classmethod
    def from_identity(
        cls,
        identity: InstanceIdentity,
        rng: random.Random,
        wall_clock: Callable[[], float],
        *,
        policy: WindowPolicy | None = None,
        placement: PlacementPolicy = PlacementPolicy.DEMAND,
        choice: Choice | None = None,
    ) -> EntryParts:
        """Build every part of an instance.

        Args:
            identity: Who the instance is.
            rng: Source of random choices.
            wall_clock: Returns the wall-clock time in seconds.
            policy: How in-flight limits are found; `None` for the default.
            placement: What decides which models are resident where.
            choice: How a server is chosen; `None` for the default.
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
        directory = ServerDirectory(rng, identity.name)
        controllers = EngineControllers(identity.name, identity.boot_id)
        claims = ClaimManager(identity.name, identity.boot_id, wall_clock)
        path = RequestPath(zone, policy=policy, choice=choice, rng=rng)
        jobs = JobManager(identity.name, identity.boot_id, wall_clock)
        parts: tuple[Part, ...] = (
            config,
            membership,
            directory,
            *_planning_parts(identity.name, placement),
            controllers,
            claims,
            jobs,
            JobEndpoint(),
            ConfigWarning(),
            path,
        )
        core = EntryCore(parts, DRAINING_PARTS)
        return cls(config, membership, directory, controllers, claims, jobs, path, core)


def _planning_parts(name: str, placement: PlacementPolicy) -> tuple[Part, ...]:
    match placement:
        case PlacementPolicy.DEMAND:
            return (Demand(name), Planner(name))
        case PlacementPolicy.STATIC:
            return (StaticPlanner(),)
        case PlacementPolicy.RECENCY:
            return (Demand(name), LruPlanner(name))
