"""The command that shows the state of the deployment."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING

import click

from wisterialoom.cli.connection import platform_options
from wisterialoom.cli.exit_code import ExitCode
from wisterialoom.cli.output import echo_json, echo_table, json_option
from wisterialoom.operator.status import read_status

if TYPE_CHECKING:
    from aiohttp import ClientSession

    from wisterialoom.cli.connection import Connection
    from wisterialoom.operator.status import DeploymentStatus

__all__ = ["status"]


@click.command()
@click.argument("instances", nargs=-1, metavar="[IP:PORT]...")
@platform_options
@json_option
def status(
    instances: tuple[str, ...], *, connection: Connection, as_json: bool
) -> None:
    """Show instances, generations in force, resident and unreachable models.

    Queries the entry instances at the admin addresses IP:PORT, and those that the
    platform lists with a label `admin`. The exit code is 6 if something needs
    attention: an instance does not respond or is not fresh, generations differ, a
    model is unreachable, or the platform returns no instance list.
    """
    if not instances and not connection.url:
        raise click.UsageError("give admin addresses, the platform, or both")

    async def fetch(session: ClientSession) -> DeploymentStatus:
        platform = connection.client(session) if connection.url else None
        return await read_status(platform, session, instances, connection.timeout_s)

    state = connection.run_with_session(fetch)
    if as_json:
        echo_json(_as_json(state))
    else:
        _echo(state)
    if not state.is_healthy:
        raise SystemExit(ExitCode.ATTENTION)


def _as_json(state: DeploymentStatus) -> dict[str, object]:
    data = asdict(state)
    for listed, item in zip(data["listed"], state.listed, strict=True):
        listed["state"] = item.state.value
    generations = {str(key): count for key, count in state.generations.items()}
    return {
        **data,
        "generations": generations,
        "residence": state.residence,
        "well": state.is_healthy,
    }


def _echo(state: DeploymentStatus) -> None:
    echo_table(
        ["INSTANCE", "ADMIN", "GENERATION", "FRESH", "MEMBERS", "PROBLEM"],
        [
            (i.name or "-", i.address, i.generation, i.fresh, len(i.members), i.problem)
            for i in state.instances
        ],
    )
    if state.listed:
        click.echo()
        echo_table(
            ["LISTED", "KIND", "AVAILABILITY ZONE", "STATE", "ADDRESS"],
            [
                (
                    i.name,
                    i.labels.get("kind", "-"),
                    i.availability_zone,
                    i.state.value,
                    i.address,
                )
                for i in state.listed
            ],
        )
    click.echo()
    echo_table(
        ["SERVER", "LEAVING", "STEWARD", "RESIDENT"],
        [(s.name, s.leaving, s.steward or "-", len(s.resident)) for s in state.servers],
    )
    click.echo()
    echo_table(
        ["MODEL", "RESIDENT ON"],
        [(model, ", ".join(names)) for model, names in state.residence.items()],
    )
    for item in state.unreachable:
        where = ", ".join(item.instances)
        click.echo(f"UNREACHABLE: {item.model}: {item.reason} (at {where})")
    if state.platform_problem:
        click.echo(f"NO INSTANCE LIST: {state.platform_problem}")
