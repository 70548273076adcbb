"""Builds the parts of one entry instance and connects them."""

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
    from wisterialoom.core.requests.selection_policy import SelectionPolicy
    from wisterialoom.core.window import WindowPolicy

__all__ = ["EntryParts", "InstanceIdentity", "PlacementPolicy"]

DRAINING_PARTS = frozenset({"request_path", "claims", "jobs", "stewards", "membership"})
"""Names of the parts that must report `PartDrained` before the instance exits."""


class PlacementPolicy(enum.Enum):
    """The policy that decides which models are resident on which servers."""

    DEMAND = "demand"
    STATIC = "static"
    RECENCY = "recency"


@dataclass(frozen=True, slots=True)
class InstanceIdentity:
    """Identity and address of an entry instance.

    Attributes:
        name: Identifier, unique in the deployment.
        boot_id: Identity of the process; differs between processes of the same name.
        boot_number: Start number; greater for each later process of the same name.
        address: `IP:port` at which peers reach the instance.
        availability_zone: Name of the availability zone.
        seeds: Addresses of the peers to contact first.
    """

    name: str
    boot_id: str
    boot_number: int
    address: str
    availability_zone: str
    seeds: tuple[str, ...] = ()


@dataclass(frozen=True)
class EntryParts:
    """The parts of one entry instance, and the core that connects them.

    Attributes:
        config: Follows the configuration.
        membership: Tracks the other entry instances.
        directory: Tracks the backend servers.
        controllers: Controls the engines whose lease this instance holds.
        claims: Manages claims of idempotency keys.
        jobs: Manages deferred jobs.
        path: Routes, queues and dispatches requests.
        core: Hands events to all parts.
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
        choice: SelectionPolicy | None = None,
    ) -> EntryParts:
        """Build every part of an instance.

        Args:
            identity: Identity of the instance.
            rng: Source of random choices.
            wall_clock: Returns the wall-clock time in seconds.
            policy: How in-flight limits are computed; `None` for the default.
            placement: Policy that decides which models are resident where.
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
        path = RequestPath(
            zone, name=identity.name, policy=policy, choice=choice, rng=rng
        )
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
