"""Commands that run the daemon and the demo."""

from __future__ import annotations

import sys

import click

__all__ = ["demo", "entry"]


@click.command()
@click.option(
    "--config",
    required=True,
    type=click.Path(exists=True, dir_okay=False),
    help="Settings file of this instance.",
)
def entry(config: str) -> None:
    """Run one entry instance until it is told to stop.

    SIGTERM or SIGINT begins a graceful shutdown: no new work is taken, and what is
    in progress is finished.
    """
    from wisterialoom.app import run
    from wisterialoom.settings import Settings

    run(Settings.load(config))


@click.command()
@click.option("--serve", is_flag=True, help="Go on serving until interrupted.")
def demo(*, serve: bool) -> None:
    """Run a small deployment with stand-ins in one process."""
    from wisterialoom.demo import run

    sys.exit(run(serve=serve))
