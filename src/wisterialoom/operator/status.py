"""The state of the deployment, combined from the status of each instance."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from aiohttp import ClientError, ClientTimeout
from pydantic import TypeAdapter, ValidationError

from wisterialoom.bounded_read import read_bounded
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
"""Label in the platform's instance list with the admin address of an instance."""


@dataclass(frozen=True, slots=True)
class InstanceStatus:
    """The status that one entry instance reports.

    Attributes:
        address: Admin address of the instance.
        name: Name of the instance; empty if it did not respond.
        generation: Generation of the configuration in force there.
        fresh: Whether that configuration is confirmed to be the newest.
        members: Names of the members in its view.
        problem: Why there is no status; empty if the instance responded.
    """

    address: str
    name: str = ""
    generation: int = 0
    fresh: bool = False
    members: tuple[str, ...] = ()
    problem: str = ""


@dataclass(frozen=True, slots=True)
class ServerStatus:
    """A backend server in the view of an entry instance.

    Attributes:
        name: Name of the server.
        resident: Resident models and adapters, as `name@version`.
        leaving: Whether the server is shutting down.
        steward: Name of the instance that controls the server; empty if there is
            none or if this view does not include it.
    """

    name: str
    resident: tuple[str, ...] = ()
    leaving: bool = False
    steward: str = ""


@dataclass(frozen=True, slots=True)
class UnreachableModel:
    """A model or adapter that can't be reached.

    Attributes:
        model: Name of the model or adapter.
        reason: Why it cannot be reached.
        instances: Names of the entry instances that report it.
    """

    model: str
    reason: str
    instances: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class StatusAnswer:
    """Response of an entry instance to `/status`, as far as it is used here."""

    instance: str
    generation: int
    fresh: bool
    members: tuple[str, ...] = ()
    servers: tuple[ServerStatus, ...] = ()
    unreachable: tuple[UnreachableModel, ...] = ()


STATUS_ADAPTER = TypeAdapter(StatusAnswer)

MAX_STATUS_BYTES = 8_000_000
"""Largest status of an instance, in bytes; it names every server."""


@dataclass(frozen=True, slots=True)
class DeploymentStatus:
    """The state of the whole deployment.

    Attributes:
        listed: The platform's instance list.
        instances: Status of the entry instances, in the order of the requests.
        servers: Backend servers, sorted by name.
        unreachable: Models that some instance cannot reach, sorted by model and
            reason.
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
        """Number of instances by the generation in force there."""
        answered = (item.generation for item in self.instances if not item.problem)
        return dict(sorted(Counter(answered).items()))

    @property
    def is_healthy(self) -> bool:
        """Whether nothing needs an operator's attention."""
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
    """Query the platform and the entry instances.

    Args:
        platform: The platform with the instance list; `None` to omit the list.
        session: HTTP session for the requests to the instances.
        addresses: Admin addresses, in addition to those in the instance list.
        timeout_s: Timeout of each request, in seconds.
    """
    listed: tuple[ListedInstance, ...] = ()
    problem = ""
    if platform is not None:
        try:
            listed = (await platform.instances()).instances
        except PlatformUnavailableError as error:
            problem = str(error)
    listed_addresses = (
        item.labels[ADMIN_LABEL] for item in listed if ADMIN_LABEL in item.labels
    )
    all_addresses = dict.fromkeys([*addresses, *listed_addresses])
    answers = await asyncio.gather(
        *(_fetch_status(session, address, timeout_s) for address in all_addresses)
    )
    return _combine(listed, problem, list(answers))


async def _fetch_status(
    session: ClientSession, address: str, timeout_s: float
) -> tuple[InstanceStatus, StatusAnswer | None]:
    url = f"http://{address}/status"
    try:
        async with session.get(url, timeout=ClientTimeout(timeout_s)) as response:
            response.raise_for_status()
            body = await read_bounded(response, MAX_STATUS_BYTES)
            answer = STATUS_ADAPTER.validate_json(body)
    except ValidationError as error:
        first = error.errors()[0]
        problem = f"its response has an unknown form: {first['loc']}: {first['msg']}"
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
            servers[server.name] = _preferred_view(servers.get(server.name), server)
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


def _preferred_view(current: ServerStatus | None, other: ServerStatus) -> ServerStatus:
    """Choose between two views of a server.

    A view of a server that is shutting down takes precedence, and then the view of
    the server's controller.
    """
    if current is None or other.leaving or (other.steward and not current.steward):
        return other
    return current
