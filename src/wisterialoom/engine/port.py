"""Executes the core's commands to model engines."""

from __future__ import annotations

import asyncio
from typing import Any, TYPE_CHECKING

from wisterialoom.core.engine import (
    OrderNotSent,
    ReadState,
    SendOrder,
    StateRead,
    StateUnavailable,
)
from wisterialoom.engine.client import EngineUnavailableError

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from wisterialoom.core.message import Event
    from wisterialoom.engine.client import EngineClient

__all__ = ["EnginePort"]


class EnginePort:
    """Runs each command in a separate task and delivers the resulting event.

    Attributes:
        client: Client of the engines.
        address_of: Returns the `IP:port` of a backend server, or `None` if unknown.
        deliver: Delivers an event to the core.
        tasks: Calls in progress.
        running: Whether commands are accepted; false before `start` and after
            `stop`.
    """

    def __init__(
        self,
        client: EngineClient,
        address_of: Callable[[str], str | None],
        deliver: Callable[[Event], None],
    ) -> None:
        self.client = client
        self.address_of = address_of
        self.deliver = deliver
        self.tasks: set[asyncio.Task[None]] = set()
        self.running = False

    async def start(self) -> None:
        """Start accepting commands."""
        self.running = True

    async def stop(self) -> None:
        """Cancel the calls in progress and await their end.

        An order already sent may still take effect; its journal entry is kept.
        """
        self.running = False
        tasks = tuple(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def execute(self, command: SendOrder | ReadState) -> None:
        """Start executing a command; its one resulting event is delivered later."""
        if not self.running:
            return
        match command:
            case SendOrder():
                call = self._send(command)
            case ReadState(server):
                call = self._read(server)
        self._spawn(call)

    def _spawn(self, call: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(call)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _send(self, command: SendOrder) -> None:
        server, order = command.server, command.order
        address = self.address_of(server)
        if address is None:
            self.deliver(OrderNotSent(server, order.order_id))
            return
        answer = await self.client.send_order(
            server, address, order, command.valid_until
        )
        self.deliver(answer)

    async def _read(self, server: str) -> None:
        address = self.address_of(server)
        if address is None:
            self.deliver(StateUnavailable(server))
            return
        try:
            state = await self.client.read_state(address)
        except EngineUnavailableError:
            self.deliver(StateUnavailable(server))
            return
        self.deliver(StateRead(server, state))
