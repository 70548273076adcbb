"""Commands that run stand-ins of the platform and of backend servers."""

from __future__ import annotations

import time
from importlib import import_module
from typing import Any, TYPE_CHECKING

import click

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["standin"]

RUNNERS = "wisterialoom.standin.run"
"""Module that runs the stand-ins; imported by the commands that need it."""

LOOPBACK = "127.0.0.1"


@click.group()
def standin() -> None:
    """Run small stand-ins, for trials and tests only."""


def _address_options(command: Callable[..., Any]) -> Callable[..., Any]:
    host = click.option(
        "--host", default=LOOPBACK, show_default=True, help="IP number to listen on."
    )
    port = click.option(
        "--port",
        type=click.IntRange(0, 65_535),
        default=0,
        show_default=True,
        help="Port to listen on; 0 takes a free one.",
    )
    return host(port(command))


def _server_options(command: Callable[..., Any]) -> Callable[..., Any]:
    options = (
        click.option("--name", required=True, help="Name in the instance list."),
        click.option(
            "--platform", default="", metavar="URL", help="Where to register."
        ),
        click.option("--availability-zone", default="", help="Where it runs."),
        click.option(
            "--label",
            "labels",
            multiple=True,
            metavar="KEY=VALUE",
            callback=lambda _ctx, _param, items: _labels(items),
            help="Label in the instance list; may be given more than once.",
        ),
    )
    for option in reversed(options):
        command = option(command)
    return _address_options(command)


def _labels(items: tuple[str, ...]) -> dict[str, str]:
    labels = {}
    for item in items:
        key, separator, value = item.partition("=")
        if not key or not separator:
            raise click.BadParameter(f"{item!r} is not KEY=VALUE")
        labels[key] = value
    return labels


@standin.command()
@_address_options
def platform(**options: Any) -> None:
    """Run a stand-in of the platform: object API and instance list."""
    import_module(RUNNERS).run_platform(**options)


@standin.command()
@_server_options
@click.option(
    "--memory-mb",
    type=click.IntRange(min=1),
    default=80_000,
    show_default=True,
    help="Accelerator memory.",
)
@click.option(
    "--slots",
    type=click.IntRange(min=1),
    default=8,
    show_default=True,
    help="Requests served at once at full speed.",
)
@click.option(
    "--checks-fencing/--ignores-fencing",
    default=True,
    show_default=True,
    help="Whether orders with an old fencing number are refused.",
)
@click.option(
    "--load-s", type=float, default=5.0, show_default=True, help="Model load time."
)
@click.option(
    "--first-token-s",
    type=float,
    default=0.1,
    show_default=True,
    help="Time to the first token of an empty prompt.",
)
@click.option(
    "--token-gap-s",
    type=float,
    default=0.03,
    show_default=True,
    help="Time between tokens at full speed.",
)
def engine(**options: Any) -> None:
    """Run a stand-in of a model engine."""
    runners = import_module(RUNNERS)
    runners.run_engine(listing=_take_listing(options), **options)


@standin.command()
@_server_options
def service(**options: Any) -> None:
    """Run a stand-in of a plain service."""
    runners = import_module(RUNNERS)
    runners.run_service(listing=_take_listing(options), **options)


def _take_listing(options: dict[str, Any]) -> Any:
    """Take the options that say how a server is listed out of the others.

    Each start is a new incarnation.
    """
    return import_module(RUNNERS).Listing(
        platform_url=options.pop("platform"),
        incarnation=f"{time.time_ns():x}",
        availability_zone=options.pop("availability_zone"),
        labels=options.pop("labels"),
    )
