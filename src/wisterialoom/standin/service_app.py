"""A stand-in for a plain service behind HTTP: any method, any path.

`POST /faults` sets any of `ServiceFault`'s attributes and `GET /records` tells
what ran; every other call is a run.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from aiohttp import web

from wisterialoom.standin.fault_switch import abort, FaultSwitch, json_response
from wisterialoom.standin.run_record import REQUEST_ID_HEADER, RunRecord

if TYPE_CHECKING:
    from aiohttp.typedefs import Handler, Middleware

__all__ = ["ServiceApp", "ServiceFault"]

MAX_BODY_BYTES = 16_000_000
OWN_PATHS = frozenset({"/faults", "/records"})


@dataclass
class ServiceFault(FaultSwitch):
    """Faults in force; counts are used up one by one, and -1 stands for all.

    Attributes:
        leaving: New requests are refused, and every answer says so.
        delay_s: Time of each run.
        error_status: Status of the answer after a run; 0 for 200.
        drop_before: Count of connections dropped before the run.
        drop_after: Count of connections dropped after the run.
    """

    leaving: bool = False
    delay_s: float = 0.0
    error_status: int = 0
    drop_before: int = 0
    drop_after: int = 0


class ServiceApp:
    """The service's HTTP application.

    Attributes:
        name: Identifier of the backend server.
        fault: Faults in force.
        record: What ran.
        in_progress: Requests that are being answered.
        app: The application to serve.
    """

    def __init__(self, name: str = "service") -> None:
        self.name = name
        self.fault = ServiceFault()
        self.record = RunRecord()
        self.in_progress = 0
        self.app = web.Application(
            middlewares=[self._dispatcher()], client_max_size=MAX_BODY_BYTES
        )
        self.app.add_routes(
            [
                web.post("/faults", self.fault.answer),
                web.get("/records", self.tell_records),
            ]
        )

    def _dispatcher(self) -> Middleware:
        # A route for any path would still refuse methods it does not know.
        @web.middleware
        async def run(request: web.Request, handler: Handler) -> web.StreamResponse:
            if request.path in OWN_PATHS:
                return await handler(request)
            self.in_progress += 1
            try:
                return await self._run(request)
            finally:
                self.in_progress -= 1

        return run

    async def _run(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        leaving = {"X-Leaving": "1"} if self.fault.leaving else {}
        if self.fault.leaving:
            headers = {"X-Not-Started": "1", **leaving}
            return json_response({"error": "leaving"}, 503, headers)
        if self.fault.take("drop_before"):
            return abort(request)
        now = asyncio.get_running_loop().time()
        target = f"{request.method} {request.path_qs}"
        run = self.record.begin(now, target, request.headers, body)
        # The run takes effect whether or not the caller stays.
        await asyncio.shield(asyncio.ensure_future(asyncio.sleep(self.fault.delay_s)))
        run.ended = "done"
        if self.fault.take("drop_after"):
            return abort(request)
        return json_response(
            {
                "service": self.name,
                "request_id": run.request_id,
                "digest": run.digest,
                "runs": len(self.record.runs),
            },
            self.fault.error_status or 200,
            {REQUEST_ID_HEADER: run.request_id},
        )

    async def tell_records(self, request: web.Request) -> web.Response:
        """Answer with what ran and what ran twice."""
        return json_response(self.record.to_json())
