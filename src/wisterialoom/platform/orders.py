"""Sends orders to model servers and reads their reports."""

from __future__ import annotations

import asyncio
import logging
from typing import Any, TYPE_CHECKING

import aiohttp
import orjson

from wisterialoom.core.placement.order import Order, OrderOutcome
from wisterialoom.core.placement.server_state import ServerReport
from wisterialoom.no_resend import no_resend, was_never_sent
from wisterialoom.platform.decode import decode_models
from wisterialoom.platform.headers import EXPECTED_SERVER

if TYPE_CHECKING:
    from aiohttp import ClientSession

__all__ = ["OrderClient"]

logger = logging.getLogger(__name__)

ORDER_TIMEOUT_S = 0.5
"""Longest wait for an answer; a healthy server takes one round trip."""

OUTCOMES = {
    202: OrderOutcome.ACCEPTED,
    200: OrderOutcome.ALREADY_APPLIED,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.FENCED,
}


class OrderClient:
    """Calls model servers.

    Attributes:
        holder: Name that orders are given under.
        session: Connections to the servers.
        counts: Orders by outcome, and reports.
    """

    def __init__(self, holder: str, session: ClientSession) -> None:
        self.holder = holder
        self.session = session
        self.counts: dict[str, int] = {}

    async def send(self, order: Order, address: str, epoch: int) -> OrderOutcome:
        """Send one order, once.

        Args:
            order: The order.
            address: `IP:port` of its server.
            epoch: Fencing number of the lease.
        """
        body: dict[str, Any] = {
            "operation": f"model_{order.action.value}",
            "model": order.model,
            "expected": order.expected_count,
            "holder": self.holder,
            "fence": epoch,
        }
        if order.adapter:
            body["adapter"] = order.adapter
        outcome, detail = await self._post(body, address, order.server_id)
        self._count(outcome.value)
        logger.info(
            "order",
            extra={
                "server": order.server_id,
                "action": order.action.value,
                "model": order.resource,
                "expected_count": order.expected_count,
                "epoch": epoch,
                "from_store": order.from_store,
                "outcome": outcome.value,
                "detail": detail,
            },
        )
        return outcome

    async def _post(
        self, body: dict[str, Any], address: str, server_id: str
    ) -> tuple[OrderOutcome, str]:
        headers = {"Content-Type": "application/json", EXPECTED_SERVER: server_id}
        try:
            async with (
                asyncio.timeout(ORDER_TIMEOUT_S),
                self.session.post(
                    f"http://{address}/v1/order",
                    data=orjson.dumps(body),
                    headers=headers,
                    middlewares=(no_resend,),
                ) as response,
            ):
                data = await response.read()
                outcome = OUTCOMES.get(response.status, OrderOutcome.REFUSED)
                return outcome, f"{response.status} {data[:200]!r}"
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            if was_never_sent(error):
                return OrderOutcome.REFUSED, repr(error)
            return OrderOutcome.UNKNOWN, repr(error)

    async def report(self, address: str, server_id: str) -> ServerReport | None:
        """Read a server's report; `None` if it gave none that can be read."""
        self._count("report")
        try:
            async with (
                asyncio.timeout(ORDER_TIMEOUT_S),
                self.session.get(
                    f"http://{address}/v1/report",
                    headers={EXPECTED_SERVER: server_id},
                    middlewares=(no_resend,),
                ) as response,
            ):
                data = await response.read()
                if response.status != 200:
                    return None
                return _decode_report(orjson.loads(data))
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            orjson.JSONDecodeError,
            KeyError,
            TypeError,
            AttributeError,
        ) as error:
            logger.info("no report", extra={"server": server_id, "error": repr(error)})
            return None

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1


def _decode_report(item: dict[str, Any]) -> ServerReport:
    models = {
        model.name: frozenset(model.adapters) for model in decode_models(item["models"])
    }
    for coming in item.get("coming") or ():
        # MODEL/NAME@VERSION: an adapter on its way, which takes a place already.
        model, _, rest = str(coming).partition("/")
        name = rest.partition("@")[0]
        if model in models and name:
            models[model] |= {name}
    at_hand = item.get("atHand") or {}
    return ServerReport(
        started_ms=int(item.get("born", 0)),
        count=int(item["sequence"]),
        busy=bool(item["busy"]),
        models=models,
        in_memory=_names(at_hand.get("inMemory")),
        on_disk=_names(at_hand.get("onDisk")),
    )


def _names(items: Any) -> frozenset[str]:
    found = set()
    for item in items or ():
        found.add(str(item["name"]) if isinstance(item, dict) else str(item))
    return frozenset(found)
