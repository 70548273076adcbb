"""Checks the promises from what callers and backend servers see."""

from __future__ import annotations

import re
from collections import Counter
from dataclasses import dataclass, field
from typing import Any, TYPE_CHECKING

from tests.platform.standin import StandinModelServer, StandinPlainServer

if TYPE_CHECKING:
    from aiohttp import web

__all__ = ["JudgedModelServer", "JudgedPlainServer", "Judge"]

NOT_RUN = {408, 421, 429, 503}
"""Statuses that promise that a request has not run and never will."""

ONCE = {"deposit", "once"}
"""Routes whose requests run once at most."""

EVENT = re.compile(rb"id: (\d+)\ndata: (\d+)\n\n")


@dataclass
class Judge:
    """What was seen, and the promises that were broken.

    Attributes:
        broken: One line for each broken promise.
        runs: Count of runs by request id.
        refused: Requests of `ONCE` routes that were answered as not run.
        holders: Holder by fencing number, from the orders that servers got.
        answers: Count of answers by route and status.
    """

    broken: list[str] = field(default_factory=list)
    runs: Counter[str] = field(default_factory=Counter)
    refused: dict[str, int] = field(default_factory=dict)
    holders: dict[int, str] = field(default_factory=dict)
    answers: Counter[str] = field(default_factory=Counter)

    def say(self, promise: str, detail: str) -> None:
        self.broken.append(f"{promise}: {detail}")

    def note_run(self, request_id: str) -> None:
        self.runs[request_id] += 1
        route = request_id.partition("-")[0]
        if route in ONCE and self.runs[request_id] > 1:
            self.say("runs once", f"{request_id} ran again")
        if request_id in self.refused:
            status = self.refused[request_id]
            self.say("not run", f"{request_id} ran after its {status}")

    def note_answer(
        self, request_id: str, status: int, body: bytes, whole: bool
    ) -> None:
        route = request_id.partition("-")[0]
        self.answers[f"{route} {status}{'' if whole else ' cut'}"] += 1
        if status in NOT_RUN and route in ONCE:
            self.refused[request_id] = status
            if self.runs[request_id]:
                self.say("not run", f"{request_id} had run before its {status}")
        if status != 200:
            return
        if route in ("draft", "once"):
            self.check_stream(request_id, body, whole)
        elif whole and f"q={request_id}".encode() not in body:
            self.say("own answer", f"{request_id} got {body[:60]!r}")

    def check_stream(self, request_id: str, body: bytes, whole: bool) -> None:
        numbers = [int(number) for number, _ in EVENT.findall(body)]
        if numbers != list(range(1, len(numbers) + 1)):
            self.say("events in order", f"{request_id} got {numbers}")
        if whole and len(numbers) != EVENTS:
            self.say("cut looks cut", f"{request_id} ended after {len(numbers)}")

    def note_order(self, body: dict[str, Any], now_held: int, adapters: int) -> None:
        fence, holder = body["fence"], body["holder"]
        if self.holders.setdefault(fence, holder) != holder:
            self.say("one holder", f"fence {fence}: {holder}, {self.holders[fence]}")
        if now_held > MODELS_FIT:
            self.say("memory", f"{now_held} models ordered by {holder}")
        if adapters > ADAPTERS_FIT:
            self.say("adapter places", f"{adapters} adapters ordered by {holder}")


EVENTS = 12
MODELS_FIT = 3
"""Models of 70 GB in the 220 GB of the configuration of the stand-ins."""

ADAPTERS_FIT = 2


@dataclass
class JudgedModelServer(StandinModelServer):
    """A model server that reports its runs and orders."""

    judge: Judge = field(default_factory=Judge)

    def note_run(self, request_id: str) -> None:
        self.judge.note_run(request_id)

    async def on_order(self, request: web.Request) -> web.Response:
        answer = await super().on_order(request)
        if answer.status in (200, 202):
            body = self.orders[-1]
            loading = body["operation"] == "model_load" and not body.get("adapter")
            held = len(self.models) + (loading and body["model"] not in self.models)
            adapters = sum(len(names) for names in self.models.values())
            self.judge.note_order(body, held, adapters)
        return answer


@dataclass
class JudgedPlainServer(StandinPlainServer):
    """A plain server that reports its runs."""

    judge: Judge = field(default_factory=Judge)

    def note_run(self, request_id: str) -> None:
        self.judge.note_run(request_id)
