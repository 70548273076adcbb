"""Commands that run emulators of the platform and of backend servers."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

import click

if TYPE_CHECKING:
    from collections.abc import Callable


__all__ = ["standin"]

LOOPBACK = "127.0.0.1"


@click.group()
def standin() -> None:
    """Run emulators of the platform and backend servers, for trials and tests only.

    Each prints a JSON line with its address when it listens, and stops on SIGTERM
    or SIGINT; backend servers complete their requests first.
    """


def _address_options(command: Callable[..., Any]) -> Callable[..., Any]:
    host = click.option(
        "--host", default=LOOPBACK, show_default=True, help="IP number to listen on."
    )
    port = click.option(
        "--port",
        type=click.IntRange(0, 65_535),
        default=0,
        show_default=True,
        help="Port to listen on; 0 selects a free one.",
    )
    return host(port(command))


def _server_options(command: Callable[..., Any]) -> Callable[..., Any]:
    options = (
        click.option("--name", required=True, help="Name in the instance list."),
        click.option(
            "--platform",
            default="",
            metavar="URL",
            help="Platform to register with; none if omitted.",
        ),
        click.option("--availability-zone", default="", help="Availability zone."),
        click.option(
            "--incarnation",
            default="",
            help="Unique id of this start; generated if omitted.",
        ),
        click.option(
            "--label",
            "labels",
            multiple=True,
            metavar="KEY=VALUE",
            callback=lambda _ctx, _param, items: _labels(items),
            help="Label in the instance list; may be repeated.",
        ),
    )
    for option in reversed(options):
        command = option(command)
    return _address_options(command)


def _seconds(name: str, default: float, text: str) -> Callable[..., Any]:
    kind = click.FloatRange(min=0.0)
    return click.option(name, type=kind, default=default, show_default=True, help=text)


def _count(name: str, default: int, text: str) -> Callable[..., Any]:
    kind = click.IntRange(min=1)
    return click.option(name, type=kind, default=default, show_default=True, help=text)


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
@_seconds("--loads-per-s", 2.0, "Model loads that may start each second.")
@_count("--full-speed-loads", 8, "Concurrent model loads without slowdown.")
@_count("--adapter-full-speed-loads", 60, "Concurrent adapter loads without slowdown.")
def platform(**options: Any) -> None:
    """Run an emulated platform with object API, instance list and weight store."""
    from wisterialoom.standin.run import run_platform

    run_platform(**options)


@standin.command()
@_server_options
@_count("--memory-mb", 80_000, "Accelerator memory.")
@_count("--slots", 8, "Concurrent requests at full speed.")
@_seconds("--load-s", 5.0, "Time of a model load at full speed.")
@_seconds("--first-token-s", 0.1, "Time to the first token of an empty prompt.")
@_seconds("--token-gap-s", 0.03, "Time between tokens at full speed.")
@click.option(
    "--checks-fencing/--ignores-fencing",
    default=True,
    show_default=True,
    help="Whether orders with an old fencing number are refused.",
)
def engine(**options: Any) -> None:
    """Run an emulated model engine."""
    from wisterialoom.standin.run import run_engine

    run_engine(**options)


@standin.command()
@_server_options
@_seconds("--delay-s", 0.0, "Time of each call.")
def service(**options: Any) -> None:
    """Run an emulated plain service."""
    from wisterialoom.standin.run import run_service

    run_service(**options)
