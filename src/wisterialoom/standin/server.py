"""HTTP server for the application of an emulator."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

if TYPE_CHECKING:
    from types import TracebackType

__all__ = ["StandinServer"]

SHUTDOWN_S = 1.0


class StandinServer:
    """Serves an aiohttp application; also an async context manager.

    Attributes:
        app: The application to serve.
        host: IP address to listen on.
        port: Port to listen on; 0 lets the system choose.
        address: `IP:port` once the server accepts connections.
        runner: Runner of the application.
    """

    def __init__(
        self, app: web.Application, host: str = "127.0.0.1", port: int = 0
    ) -> None:
        self.app = app
        self.host = host
        self.port = port
        self.address = ""
        # Without cancellation, a handler would not notice that its client has
        # disconnected.
        self.runner = web.AppRunner(
            app,
            handler_cancellation=True,
            access_log=None,
            shutdown_timeout=SHUTDOWN_S,
        )

    @property
    def url(self) -> str:
        """Base address for clients."""
        return f"http://{self.address}"

    async def start(self) -> None:
        """Start to accept connections."""
        await self.runner.setup()
        await web.TCPSite(self.runner, self.host, self.port).start()
        host, port = self.runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop the server and close every connection."""
        await self.runner.cleanup()

    async def __aenter__(self) -> StandinServer:
        await self.start()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.stop()
