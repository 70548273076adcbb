"""Command `python -m wisterialoom.platform`: run one instance on the platform."""

from __future__ import annotations

import click
import uvloop

from wisterialoom.platform.app import PlatformApp
from wisterialoom.platform.log import set_up_platform_logs
from wisterialoom.platform.settings import PlatformSettings, SettingsError


@click.command()
@click.option("--metrics-port", default=0, help="Port that serves metrics; 0 for none.")
@click.option("--check-settings", is_flag=True, help="Print the settings and exit.")
def main(metrics_port: int, *, check_settings: bool) -> None:
    """Run one instance on the platform until it receives SIGTERM."""
    try:
        settings = PlatformSettings.from_environment(metrics_port)
    except SettingsError as error:
        raise click.ClickException(str(error)) from error
    if check_settings:
        click.echo(settings)
        return
    set_up_platform_logs(settings.instance)
    uvloop.run(serve(settings))


async def serve(settings: PlatformSettings) -> None:
    """Run the application until it stops."""
    await PlatformApp(settings).run()


if __name__ == "__main__":
    main()
