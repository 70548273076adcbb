"""Stand-in of a model server, run as a process of its own: `python3 engine.py ...`.

It streams numbered events after a wait, as a server does whose batch is full, and
writes a line for each run to standard output.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import time

from standin.http11 import encode, Message, read_message
from standin.plain import common_headers

EVENTS = 5
EVENT_GAP_S = 0.05


class EngineServer:
    """One model server with a single model resident.

    Attributes:
        server_id: Its id.
        model: Its model.
        first_s: Time from a request to its first event.
        slots: Requests that it runs at once.
        running: Requests in progress.
        fence: Highest fencing number seen.
    """

    def __init__(self, server_id: str, model: str, first_s: float) -> None:
        self.server_id = server_id
        self.model = model
        self.first_s = first_s
        self.slots = 64
        self.running = 0
        self.fence = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection, and drop a request when its connection closes."""
        try:
            while (request := await read_message(reader)) is not None:
                if request.get("expect-instance") not in ("", self.server_id):
                    other = [("Instance-Id", self.server_id)]
                    writer.write(encode("HTTP/1.1 421 Misdirected Request", other))
                elif request.target == "/v1/report":
                    writer.write(self.json(200, self.report()))
                elif request.target == "/v1/order":
                    self.order(request, writer)
                else:
                    await self.run(request, writer)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    def json(self, status: int, item: object) -> bytes:
        """Encode an answer to a call about orders."""
        head = [("Content-Type", "application/json"), ("Instance-Id", self.server_id)]
        return encode(f"HTTP/1.1 {status} X", head, json.dumps(item).encode())

    def report(self) -> dict[str, object]:
        """Return the server's report."""
        return {
            "stage": "colocated",
            "models": [{"name": self.model, "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "waiting": 0,
            "running": self.running,
            "kvUsed": 0,
            "kvTotal": 171517,
            "handles": 0,
            "born": 1_700_000_000_000,
        }

    def order(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Answer an order; the only declared model is resident already."""
        body = json.loads(request.body)
        if body["fence"] < self.fence:
            writer.write(self.json(412, {}))
            return
        self.fence = body["fence"]
        resident = body["operation"] == "model_load" and body["model"] == self.model
        writer.write(self.json(200 if resident else 409, {}))

    async def run(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Stream the events of one request."""
        request_id = request.get("attempt-id")
        print(json.dumps({"run": request_id, "at": time.monotonic()}), flush=True)
        self.running += 1
        try:
            headers = [
                *common_headers(request, self.server_id),
                ("Content-Type", "text/event-stream"),
                ("Transfer-Encoding", "chunked"),
                ("Server-Load", f"{self.running},0,{self.slots}"),
            ]
            await asyncio.sleep(self.first_s)
            lines = [f"{name}: {value}" for name, value in headers]
            head = "\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""])
            writer.write(head.encode())
            for number in range(1, EVENTS + 1):
                event = b"id: %d\ndata: %s\n\n" % (number, request_id.encode())
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(EVENT_GAP_S)
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1


async def main() -> None:
    """Listen until killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--host", required=True)
    parser.add_argument("--model", required=True)
    parser.add_argument("--first-s", type=float, required=True)
    options = parser.parse_args()
    server = EngineServer(options.id, options.model, options.first_s)
    listener = await asyncio.start_server(server.serve, options.host, 0)
    port = listener.sockets[0].getsockname()[1]
    print(json.dumps({"address": f"{options.host}:{port}"}), flush=True)
    await listener.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
