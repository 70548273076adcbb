"""Commands that run an entry instance or the demo."""

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
    """Run one entry instance until it receives a signal to stop.

    SIGTERM or SIGINT begins a graceful shutdown: new requests are refused, and
    requests in progress are completed.
    """
    from wisterialoom.app import run
    from wisterialoom.settings import Settings

    run(Settings.load(config))


@click.command()
@click.option("--serve", is_flag=True, help="Keep serving until interrupted.")
def demo(*, serve: bool) -> None:
    """Run a small deployment with emulated servers in one process."""
    from wisterialoom.demo import run

    sys.exit(run(serve=serve))
