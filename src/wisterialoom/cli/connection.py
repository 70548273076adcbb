"""Connection of the operators' commands to the platform."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any, TYPE_CHECKING, TypeVar

import click

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp import ClientSession

    from wisterialoom.object_api.client import PlatformClient

__all__ = ["PLATFORM_VARIABLE", "Connection", "platform_options"]

T = TypeVar("T")

PLATFORM_VARIABLE = "WISTERIALOOM_PLATFORM"
DEFAULT_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class Connection:
    """Address of the platform, and the timeout of calls to it.

    Attributes:
        url: `http://IP:port`; empty if none was given.
        timeout_s: Timeout of each call, in seconds.
    """

    url: str
    timeout_s: float

    def run(self, work: Callable[[PlatformClient], Awaitable[T]]) -> T:
        """Run a coroutine function with a client of the platform."""
        if not self.url:
            raise click.UsageError(
                f"give the platform's URL by --platform or {PLATFORM_VARIABLE}, or a "
                "settings file by --config"
            )
        return self.run_with_session(lambda session: work(self.client(session)))

    def run_with_session(self, work: Callable[[ClientSession], Awaitable[T]]) -> T:
        """Run a coroutine function with an HTTP session."""
        return asyncio.run(self._run(work))

    def client(self, session: ClientSession) -> PlatformClient:
        """Return a client of the platform."""
        from wisterialoom.object_api.client import PlatformClient

        return PlatformClient(session, self.url, self.timeout_s)

    async def _run(self, work: Callable[[ClientSession], Awaitable[T]]) -> T:
        from wisterialoom.client_session import open_session
        from wisterialoom.server_connection import ServerConnector

        async with open_session(ServerConnector()) as session:
            return await work(session)


def platform_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options for the platform's address to a command.

    The command receives a `connection` argument instead of these options.
    """

    def connect(
        *args: Any, platform: str, timeout: float, config: str | None, **options: Any
    ) -> Any:
        url, timeout_s = platform, timeout
        if not url and config:
            from wisterialoom.settings import Settings

            url = Settings.load(config).platform.url
        return command(*args, connection=Connection(url, timeout_s), **options)

    connect.__name__ = command.__name__
    connect.__doc__ = command.__doc__
    connect.__dict__.update(command.__dict__)
    for option in (
        click.option(
            "--config",
            type=click.Path(exists=True, dir_okay=False),
            help="Settings file of an entry instance, which contains the URL.",
        ),
        click.option(
            "--timeout",
            type=click.FloatRange(min=0.0, min_open=True),
            default=DEFAULT_TIMEOUT_S,
            show_default=True,
            help="Timeout of each call to the platform, in seconds.",
        ),
        click.option(
            "--platform",
            envvar=PLATFORM_VARIABLE,
            show_envvar=True,
            default="",
            metavar="URL",
            help="URL of the platform's API, as http://IP:port.",
        ),
    ):
        connect = option(connect)
    return connect
