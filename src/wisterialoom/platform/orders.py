"""Sends orders to model servers and reads their reports."""

from __future__ import annotations

import asyncio
import logging
from typing import Any, TYPE_CHECKING

import aiohttp
import orjson

from wisterialoom.bounded_read import read_bounded
from wisterialoom.core.placement.order import Order, OrderOutcome
from wisterialoom.core.placement.server_state import ServerReport
from wisterialoom.no_resend import no_resend, was_never_sent
from wisterialoom.platform.decode import decode_models
from wisterialoom.platform.fields import (
    DECODE_ERRORS,
    read_count,
    read_integer,
    read_text,
)
from wisterialoom.platform.headers import EXPECTED_SERVER, read_notice, SERVER_ID

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import ClientResponse, ClientSession

    from wisterialoom.platform.headers import ServerNotice

__all__ = ["OrderClient"]

logger = logging.getLogger(__name__)

ORDER_TIMEOUT_S = 0.5
"""Timeout of an order or report; a healthy server takes one round trip."""

MAX_ANSWER_BYTES = 1_000_000
"""Largest answer to an order or report; a report of 200 models has some 20 KB."""

OUTCOMES_BY_STATUS = {
    202: OrderOutcome.ACCEPTED,
    200: OrderOutcome.ALREADY_APPLIED,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.FENCED,
}


class OrderClient:
    """Client of the order and report endpoints of model servers.

    Attributes:
        holder: Name of this instance, sent as the holder with each order.
        order_session: Opens a connection for each order. Answers to orders do not say
            which order they belong to, so that a late copy of one would be taken for
            the answer to the next.
        report_session: Reused connections, for reports; an earlier one is recognized
            by its count.
        record_notice: Called with the id of a server and what it says about itself.
        path_doubted: Called with the id of a server that did not answer.
        counts: Number of orders by outcome, and of reports.
    """

    def __init__(
        self,
        holder: str,
        order_session: ClientSession,
        report_session: ClientSession,
        record_notice: Callable[[str, ServerNotice], None],
        path_doubted: Callable[[str], None],
    ) -> None:
        self.holder = holder
        self.record_notice = record_notice
        self.path_doubted = path_doubted
        self.order_session = order_session
        self.report_session = report_session
        self.counts: dict[str, int] = {}

    async def send(self, order: Order, address: str, epoch: int) -> OrderOutcome:
        """Send an order without retries.

        Args:
            order: The order.
            address: `IP:port` of the server.
            epoch: Fencing number of the lease.

        Returns:
            The outcome, which is unknown if the answer was lost.
        """
        body: dict[str, Any] = {
            "operation": f"model_{order.action.value}",
            "model": order.model,
            # Number of orders that the server must have accepted so far.
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
                self.order_session.post(
                    f"http://{address}/v1/order",
                    data=orjson.dumps(body),
                    headers=headers,
                    middlewares=(no_resend,),
                ) as response,
            ):
                data = await read_bounded(response, MAX_ANSWER_BYTES)
                self._record_notice(server_id, response)
                outcome = OUTCOMES_BY_STATUS.get(response.status, OrderOutcome.REFUSED)
                return outcome, f"{response.status} {data[:200]!r}"
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self.path_doubted(server_id)
            if was_never_sent(error):
                return OrderOutcome.REFUSED, repr(error)
            return OrderOutcome.UNKNOWN, repr(error)

    async def read_report(self, address: str, server_id: str) -> ServerReport | None:
        """Read a server's report.

        Args:
            address: `IP:port` of the server.
            server_id: Id of the server.

        Returns:
            The report, or `None` if the server sent no valid one.
        """
        self._count("report")
        try:
            async with (
                asyncio.timeout(ORDER_TIMEOUT_S),
                self.report_session.get(
                    f"http://{address}/v1/report",
                    headers={EXPECTED_SERVER: server_id},
                    middlewares=(no_resend,),
                ) as response,
            ):
                data = await read_bounded(response, MAX_ANSWER_BYTES)
                self._record_notice(server_id, response)
                if response.status != 200:
                    return None
                return _decode_report(orjson.loads(data))
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            *DECODE_ERRORS,
        ) as error:
            self.path_doubted(server_id)
            logger.info(
                "cannot read report", extra={"server": server_id, "error": repr(error)}
            )
            return None

    def _record_notice(self, server_id: str, response: ClientResponse) -> None:
        if response.headers.get(SERVER_ID) in (None, server_id):
            notice = read_notice(response.status, response.headers)
            self.record_notice(server_id, notice)

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1


def _decode_report(item: dict[str, Any]) -> ServerReport:
    models = {
        model.name: frozenset(model.adapters) for model in decode_models(item["models"])
    }
    # "coming" lists adapters that are being loaded, as MODEL/NAME@VERSION. They occupy
    # an adapter slot already.
    for adapter in item.get("coming") or ():
        model, _, rest = str(adapter).partition("/")
        name = rest.partition("@")[0]
        if model in models and name:
            models[model] |= {name}
    # "atHand" lists models that are warm: copies in host memory and on disk.
    warm = item.get("atHand") or {}
    return ServerReport(
        # "born" is the start time of the server in milliseconds.
        started_ms=read_integer(item.get("born", 0)),
        # "sequence" is the number of orders that the server has accepted.
        count=read_count(item["sequence"]),
        busy=bool(item["busy"]),
        models=models,
        in_memory=_names(warm.get("inMemory")),
        on_disk=_names(warm.get("onDisk")),
    )


def _names(items: Any) -> frozenset[str]:
    names = set()
    for item in items or ():
        names.add(read_text(item["name"] if isinstance(item, dict) else item))
    return frozenset(names)
