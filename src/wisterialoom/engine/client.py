"""Client of a model engine's orders and state."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import orjson
from aiohttp import ClientError, ClientTimeout

from wisterialoom.core.engine import (
    OrderDone,
    OrderLost,
    OrderNotSent,
    OrderRefusal,
    OrderRefused,
)
from wisterialoom.core.error import WisterialoomError
from wisterialoom.engine.cache_events import read_reports
from wisterialoom.engine.codec import decode_state, encode_order, state_from_json
from wisterialoom.no_resend import no_resend

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from aiohttp import ClientSession

    from wisterialoom.core.engine import EngineState, Order
    from wisterialoom.core.requests.prefix_index import CacheEvents

__all__ = ["EngineClient", "EngineUnavailableError"]

REFUSED = 409
"""Status of an order that was refused and changed nothing."""


class EngineUnavailableError(WisterialoomError):
    """Raised when an engine did not tell its state."""


class EngineClient:
    """Orders and state reads, each tried once.

    Attributes:
        session: Session that the calls share; its owner closes it.
        order_timeout_s: Time for an order, a whole model load included.
        state_timeout_s: Time for a state read.
    """

    def __init__(
        self,
        session: ClientSession,
        order_timeout_s: float = 60.0,
        state_timeout_s: float = 1.0,
    ) -> None:
        self.session = session
        self.order_timeout_s = order_timeout_s
        self.state_timeout_s = state_timeout_s

    async def send_order(
        self, server: str, address: str, order: Order, valid_until: float
    ) -> OrderDone | OrderRefused | OrderLost | OrderNotSent:
        """Send an order; a missing or unreadable answer makes it lost.

        Args:
            server: Identifier of the backend server.
            address: `IP:port`.
            order: The order.
            valid_until: Monotonic time after which no body may leave.
        """
        body = _GuardedBody(encode_order(order), valid_until)
        try:
            async with self.session.post(
                f"http://{address}/orders",
                data=body.chunks(),
                headers=body.headers,
                timeout=ClientTimeout(total=self.order_timeout_s),
                allow_redirects=False,
                middlewares=(no_resend,),
            ) as response:
                return _read_answer(
                    server, order.order_id, response.status, await response.read()
                )
        except (ClientError, TimeoutError, OSError, ValueError, KeyError):
            if not body.released:
                return OrderNotSent(server, order.order_id)
            return OrderLost(server, order.order_id)

    async def read_state(self, address: str) -> EngineState:
        """Read an engine's state.

        Raises:
            EngineUnavailableError: It did not tell.
        """
        body = await self._get(f"http://{address}/state")
        try:
            return decode_state(body)
        except (ValueError, KeyError, TypeError) as error:
            raise _unavailable(address, error) from error

    async def read_cache_events(
        self, server: str, address: str, after: int
    ) -> tuple[CacheEvents, ...]:
        """Read the changes of an engine's prefix cache after a serial.

        Returns:
            A report for each stretch without a gap, in order.

        Raises:
            EngineUnavailableError: It did not tell.
        """
        body = await self._get(f"http://{address}/cache_events?after={after}")
        try:
            return read_reports(server, body)
        except (ValueError, KeyError, TypeError) as error:
            raise _unavailable(address, error) from error

    async def _get(self, url: str) -> bytes:
        try:
            async with self.session.get(
                url,
                timeout=ClientTimeout(total=self.state_timeout_s),
                allow_redirects=False,
                raise_for_status=True,
            ) as response:
                return await response.read()
        except (ClientError, TimeoutError, OSError) as error:
            raise _unavailable(url, error) from error


def _unavailable(what: str, error: Exception) -> EngineUnavailableError:
    return EngineUnavailableError(
        f"{what} gave no usable answer ({type(error).__name__}); "
        "check that the engine runs and try again"
    )


class _GuardedBody:
    """An order's body that leaves only while the sender's lease is valid.

    The check comes after the connection is made, however long that took: an
    engine cannot act on a request whose body never came.

    Attributes:
        released: The body may have left.
    """

    def __init__(self, body: bytes, valid_until: float) -> None:
        self.body = body
        self.valid_until = valid_until
        self.released = False
        self.headers = {
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
        }

    async def chunks(self) -> AsyncIterator[bytes]:
        # The loop's own clock stands still while the process is paused.
        if time.monotonic() > self.valid_until:
            raise TimeoutError("the lease ran out before the order was sent")
        self.released = True
        yield self.body


def _read_answer(
    server: str, order_id: str, status: int, body: bytes
) -> OrderDone | OrderRefused | OrderLost:
    item = orjson.loads(body)
    if status == 200:
        return OrderDone(server, order_id, state_from_json(item["state"]))
    if status == REFUSED:
        reason = OrderRefusal(item["reason"])
        state = state_from_json(item["state"]) if item.get("state") else None
        return OrderRefused(server, order_id, reason, state)
    return OrderLost(server, order_id)
