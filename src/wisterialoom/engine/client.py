"""HTTP client for orders to model engines and for their state."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import orjson
from aiohttp import ClientError, ClientTimeout

from wisterialoom.bounded_read import read_bounded
from wisterialoom.core.engine import (
    OrderDone,
    OrderLost,
    OrderNotSent,
    OrderRefusal,
    OrderRefused,
)
from wisterialoom.core.error import WisterialoomError
from wisterialoom.engine.cache_events import decode_cache_events
from wisterialoom.engine.codec import decode_state, encode_order, state_from_json
from wisterialoom.no_resend import no_resend

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from aiohttp import ClientSession

    from wisterialoom.core.engine import EngineState, Order
    from wisterialoom.core.requests.prefix_index import CacheEvents

__all__ = ["EngineClient", "EngineUnavailableError"]

MAX_ANSWER_BYTES = 8_000_000
"""Largest answer of an engine; its cache events are the longest."""

ORDER_REFUSED_STATUS = 409
"""HTTP status of an order that was refused without any effect."""


class EngineUnavailableError(WisterialoomError):
    """Raised if an engine's state or cache events cannot be read."""


class EngineClient:
    """Sends orders and reads state; no call is retried.

    Attributes:
        session: HTTP session shared by all calls; its owner closes it.
        order_timeout_s: Timeout of an order in seconds, which must cover the load
            of a model.
        state_timeout_s: Timeout of a state read in seconds.
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
        """Send an order.

        Args:
            server: Name of the backend server.
            address: Its `IP:port`.
            order: The order.
            valid_until: Monotonic time after which the body must not be sent.

        Returns:
            The result. Without a readable answer, the order is lost if its body may
            have been sent, and otherwise not sent.
        """
        body = _LeaseGuardedBody(encode_order(order), valid_until)
        try:
            async with self.session.post(
                f"http://{address}/orders",
                data=body.chunks(),
                headers=body.headers,
                timeout=ClientTimeout(total=self.order_timeout_s),
                allow_redirects=False,
                middlewares=(no_resend,),
            ) as response:
                return _decode_answer(
                    server,
                    order.order_id,
                    response.status,
                    await read_bounded(response, MAX_ANSWER_BYTES),
                )
        except (ClientError, TimeoutError, OSError, ValueError, KeyError):
            if not body.may_have_been_sent:
                return OrderNotSent(server, order.order_id)
            return OrderLost(server, order.order_id)

    async def read_state(self, address: str) -> EngineState:
        """Read the state of an engine.

        Raises:
            EngineUnavailableError: If the state cannot be read.
        """
        body = await self._get(f"http://{address}/state")
        try:
            return decode_state(body)
        except (ValueError, KeyError, TypeError) as error:
            raise _unavailable(address, error) from error

    async def read_cache_events(
        self, server: str, address: str, after: int
    ) -> tuple[CacheEvents, ...]:
        """Read the changes of an engine's prefix cache after a serial number.

        Returns:
            A report for each run of consecutive serial numbers, in order.

        Raises:
            EngineUnavailableError: If the events cannot be read.
        """
        body = await self._get(f"http://{address}/cache_events?after={after}")
        try:
            return decode_cache_events(server, body)
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
                return await read_bounded(response, MAX_ANSWER_BYTES)
        except (ClientError, TimeoutError, OSError) as error:
            raise _unavailable(url, error) from error


def _unavailable(what: str, error: Exception) -> EngineUnavailableError:
    return EngineUnavailableError(
        f"{what} gave no usable answer ({type(error).__name__}); "
        "check that the engine runs and try again"
    )


class _LeaseGuardedBody:
    """Body of an order that is sent only while the sender's lease is valid.

    The lease is checked after the connection is established, however long that
    took: an engine cannot act on a request whose body it never receives.

    Attributes:
        may_have_been_sent: Whether the body may have been sent.
    """

    def __init__(self, body: bytes, valid_until: float) -> None:
        self.body = body
        self.valid_until = valid_until
        self.may_have_been_sent = False
        self.headers = {
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
        }

    async def chunks(self) -> AsyncIterator[bytes]:
        # The event loop's clock does not advance within an iteration, and so would
        # not show that the process was paused.
        if time.monotonic() > self.valid_until:
            raise TimeoutError("the lease expired before the order was sent")
        self.may_have_been_sent = True
        yield self.body


def _decode_answer(
    server: str, order_id: str, status: int, body: bytes
) -> OrderDone | OrderRefused | OrderLost:
    item = orjson.loads(body)
    if status == 200:
        return OrderDone(server, order_id, state_from_json(item["state"]))
    if status == ORDER_REFUSED_STATUS:
        reason = OrderRefusal(item["reason"])
        state = state_from_json(item["state"]) if item.get("state") else None
        return OrderRefused(server, order_id, reason, state)
    return OrderLost(server, order_id)
