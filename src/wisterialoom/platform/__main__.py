"""Command `python -m wisterialoom.platform`: run one instance on the platform."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import click
import orjson
import uvloop

from wisterialoom.core.teams import Declaration
from wisterialoom.platform.app import PlatformApp
from wisterialoom.platform.decode import decode_deployment, DecodeError
from wisterialoom.platform.log import set_up_platform_logs
from wisterialoom.platform.settings import PlatformSettings, SettingsError
from wisterialoom.platform.team_decode import read_teams

if TYPE_CHECKING:
    from wisterialoom.core.teams import TeamDirectory


@click.command()
@click.option("--metrics-port", default=0, help="Port that serves metrics; 0 for none.")
@click.option("--check-settings", is_flag=True, help="Print the settings and exit.")
@click.option(
    "--check-config",
    type=click.Path(path_type=Path, dir_okay=False),
    help="Check a configuration, as it is stored, and exit.",
)
def main(metrics_port: int, *, check_settings: bool, check_config: Path | None) -> None:
    """Run one instance on the platform until it receives SIGTERM."""
    if check_config is not None:
        check_configuration(check_config)
        return
    try:
        settings = PlatformSettings.from_environment(metrics_port)
    except SettingsError as error:
        raise click.ClickException(str(error)) from error
    if check_settings:
        click.echo(settings)
        return
    set_up_platform_logs(settings.instance)
    uvloop.run(serve(settings))


def check_configuration(path: Path) -> None:
    """Print what is wrong with a configuration.

    Args:
        path: File with the `spec` of the object in the store, as JSON.

    Raises:
        ClickException: The configuration cannot be used.
        Exit: It can be used, but its teams have faults.
    """
    try:
        spec = orjson.loads(path.read_bytes())
        deployment = decode_deployment(spec)
        teams, problems = read_teams(spec)
    except (OSError, ValueError, DecodeError) as error:
        raise click.ClickException(f"{path}: {error}") from error
    for problem in problems:
        click.echo(f"team {problem.team}: {problem.fault}", err=True)
    click.echo(f"version {deployment.version}, {describe_teams(teams)}")
    if problems:
        raise click.exceptions.Exit(1)


def describe_teams(teams: TeamDirectory) -> str:
    """Return what a configuration says about teams, for the operator."""
    match teams.declaration:
        case Declaration.ABSENT:
            return "no list of teams: no API key is needed"
        case Declaration.EMPTY | Declaration.UNREADABLE:
            return "0 teams: no API key is accepted"
        case Declaration.USABLE:
            return f"{len(teams.by_name)} teams"


async def serve(settings: PlatformSettings) -> None:
    """Run the application until it stops."""
    await PlatformApp(settings).run()


if __name__ == "__main__":
    main()
