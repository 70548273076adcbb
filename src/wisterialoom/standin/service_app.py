"""HTTP emulator of a service that serves no models and accepts any method and path.

`POST /faults` sets attributes of `ServiceFault`, and `GET /records` returns the record
of runs. Every other request counts as a run.
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
CONTROL_PATHS = frozenset({"/faults", "/records"})


@dataclass
class ServiceFault(FaultSwitch):
    """Faults in force.

    Each occurrence of a counted fault decrements its count; -1 means always.

    Attributes:
        leaving: Whether new requests are refused with a response that announces that
            the service is leaving.
        delay_s: Duration of each run in seconds.
        error_status: Status of the response after a run; 0 means 200.
        drop_before: Count of connections that are closed before the run.
        drop_after: Count of connections that are closed after the run.
    """

    leaving: bool = False
    delay_s: float = 0.0
    error_status: int = 0
    drop_before: int = 0
    drop_after: int = 0


class ServiceApp:
    """HTTP application of an emulated service.

    Attributes:
        name: Identifier of the backend server.
        fault: Faults in force.
        record: Record of the requests that ran.
        in_progress: Number of requests in progress.
        app: The aiohttp application.
    """

    def __init__(self, name: str = "service") -> None:
        self.name = name
        self.fault = ServiceFault()
        self.record = RunRecord()
        self.in_progress = 0
        self.app = web.Application(
            middlewares=[self._middleware()], client_max_size=MAX_BODY_BYTES
        )
        self.app.add_routes(
            [
                web.post("/faults", self.fault.handle_post),
                web.get("/records", self.read_records),
            ]
        )

    def _middleware(self) -> Middleware:
        # A catch-all route would still refuse methods that aiohttp does not know.
        @web.middleware
        async def run(request: web.Request, handler: Handler) -> web.StreamResponse:
            if request.path in CONTROL_PATHS:
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
        if self.fault.consume("drop_before"):
            return abort(request)
        now = asyncio.get_running_loop().time()
        target = f"{request.method} {request.path_qs}"
        run = self.record.begin(now, target, request.headers, body)
        # The run completes even if the caller disconnects.
        await asyncio.shield(asyncio.ensure_future(asyncio.sleep(self.fault.delay_s)))
        run.ended = "done"
        if self.fault.consume("drop_after"):
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

    async def read_records(self, request: web.Request) -> web.Response:
        """Respond with the runs and the repeated runs."""
        return json_response(self.record.to_json())
