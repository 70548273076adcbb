"""The state of the deployment, put together from what each instance says."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from aiohttp import ClientError, ClientTimeout
from pydantic import TypeAdapter, ValidationError

from wisterialoom.object_api.client import PlatformUnavailableError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from aiohttp import ClientSession

    from wisterialoom.core.fleet.instance_list import ListedInstance
    from wisterialoom.operator.platform import Platform

__all__ = [
    "DeploymentStatus",
    "InstanceStatus",
    "ServerStatus",
    "UnreachableModel",
    "read_status",
]

ADMIN_LABEL = "admin"
"""Platform's label of entry instances that holds their admin address."""


@dataclass(frozen=True, slots=True)
class InstanceStatus:
    """What one entry instance says of itself.

    Attributes:
        address: Its admin address.
        name: Its name; empty if it did not answer.
        generation: Of the configuration in force there.
        fresh: It trusts that configuration to be the newest.
        members: Entry instances that it knows.
        problem: Why nothing is known of it; empty if it answered.
    """

    address: str
    name: str = ""
    generation: int = 0
    fresh: bool = False
    members: tuple[str, ...] = ()
    problem: str = ""


@dataclass(frozen=True, slots=True)
class ServerStatus:
    """A backend server as one of the entry instances sees it."""

    name: str
    resident: tuple[str, ...] = ()
    leaving: bool = False
    steward: str = ""


@dataclass(frozen=True, slots=True)
class UnreachableModel:
    """A model or adapter that can't be reached.

    Attributes:
        model: Its name.
        reason: Why.
        instances: Names of the entry instances that say so.
    """

    model: str
    reason: str
    instances: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class StatusAnswer:
    """What `/status` of an entry instance answers, as far as it is used here."""

    instance: str
    generation: int
    fresh: bool
    members: tuple[str, ...] = ()
    servers: tuple[ServerStatus, ...] = ()
    unreachable: tuple[UnreachableModel, ...] = ()


ANSWER = TypeAdapter(StatusAnswer)


@dataclass(frozen=True, slots=True)
class DeploymentStatus:
    """The whole.

    Attributes:
        listed: The platform's instance list.
        instances: Entry instances, in the order in which they were asked.
        servers: Backend servers by name.
        unreachable: What some instance can't reach, by model and reason.
        platform_problem: Why there is no instance list; empty if there is one.
    """

    listed: tuple[ListedInstance, ...] = ()
    instances: tuple[InstanceStatus, ...] = ()
    servers: tuple[ServerStatus, ...] = ()
    unreachable: tuple[UnreachableModel, ...] = ()
    platform_problem: str = ""

    @property
    def residence(self) -> dict[str, tuple[str, ...]]:
        """Names of the backend servers by resident model or adapter."""
        found: dict[str, list[str]] = {}
        for server in self.servers:
            for model in server.resident:
                found.setdefault(model, []).append(server.name)
        return {model: tuple(names) for model, names in sorted(found.items())}

    @property
    def generations(self) -> dict[int, int]:
        """Count of instances by the generation in force there."""
        answered = (item.generation for item in self.instances if not item.problem)
        return dict(sorted(Counter(answered).items()))

    @property
    def is_well(self) -> bool:
        """Tell whether nothing needs an operator's attention."""
        return (
            not self.platform_problem
            and bool(self.instances)
            and all(item.fresh and not item.problem for item in self.instances)
            and len(self.generations) == 1
            and not self.unreachable
        )


async def read_status(
    platform: Platform | None,
    session: ClientSession,
    addresses: Iterable[str],
    timeout_s: float,
) -> DeploymentStatus:
    """Ask the platform and the entry instances.

    Args:
        platform: Where the instance list is; `None` leaves it out.
        session: For calls to the instances.
        addresses: Admin addresses, besides those in the instance list.
        timeout_s: Time for each call.
    """
    listed: tuple[ListedInstance, ...] = ()
    problem = ""
    if platform is not None:
        try:
            listed = (await platform.instances()).instances
        except PlatformUnavailableError as error:
            problem = str(error)
    known = (item.labels[ADMIN_LABEL] for item in listed if ADMIN_LABEL in item.labels)
    wanted = dict.fromkeys([*addresses, *known])
    answers = await asyncio.gather(
        *(_ask(session, address, timeout_s) for address in wanted)
    )
    return _combine(listed, problem, list(answers))


async def _ask(
    session: ClientSession, address: str, timeout_s: float
) -> tuple[InstanceStatus, StatusAnswer | None]:
    url = f"http://{address}/status"
    try:
        async with session.get(url, timeout=ClientTimeout(timeout_s)) as response:
            response.raise_for_status()
            answer = ANSWER.validate_json(await response.read())
    except ValidationError as error:
        first = error.errors()[0]
        problem = f"its answer has an unknown form: {first['loc']}: {first['msg']}"
        return InstanceStatus(address, problem=problem), None
    except (ClientError, TimeoutError, OSError) as error:
        problem = f"{type(error).__name__}: {error}".rstrip(": ")
        return InstanceStatus(address, problem=problem), None
    instance = InstanceStatus(
        address=address,
        name=answer.instance,
        generation=answer.generation,
        fresh=answer.fresh,
        members=answer.members,
    )
    return instance, answer


def _combine(
    listed: tuple[ListedInstance, ...],
    problem: str,
    answers: list[tuple[InstanceStatus, StatusAnswer | None]],
) -> DeploymentStatus:
    servers: dict[str, ServerStatus] = {}
    unreachable: dict[tuple[str, str], list[str]] = {}
    for _, answer in answers:
        if answer is None:
            continue
        for server in answer.servers:
            servers[server.name] = _newer(servers.get(server.name), server)
        for item in answer.unreachable:
            key = (item.model, item.reason)
            unreachable.setdefault(key, []).append(answer.instance)
    return DeploymentStatus(
        listed=listed,
        instances=tuple(instance for instance, _ in answers),
        servers=tuple(servers[name] for name in sorted(servers)),
        unreachable=tuple(
            UnreachableModel(model, reason, tuple(names))
            for (model, reason), names in sorted(unreachable.items())
        ),
        platform_problem=problem,
    )


def _newer(known: ServerStatus | None, seen: ServerStatus) -> ServerStatus:
    """Choose between two views; the steward's own and a leaving mark count more."""
    if known is None or seen.leaving or (seen.steward and not known.steward):
        return seen
    return known
