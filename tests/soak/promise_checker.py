"""Checks the promises of the service from what callers and servers observe."""

from __future__ import annotations

import re
from collections import Counter
from dataclasses import dataclass, field
from typing import Any, TYPE_CHECKING

from tests.platform.fakes import FakeModelServer, FakePlainServer

if TYPE_CHECKING:
    from aiohttp import web

__all__ = ["CheckedModelServer", "CheckedPlainServer", "PromiseChecker"]

NOT_EXECUTED_STATUSES = {408, 421, 429, 503}
"""Statuses that promise that a request was not executed and never will be."""

AT_MOST_ONCE_ROUTES = {"deposit", "once"}
"""Routes whose requests may be executed at most once."""

EVENT = re.compile(rb"id: (\d+)\ndata: (\d+)\n\n")
VERSION = re.compile(rb"^: (\S+)$", re.MULTILINE)
"""A comment in each event, which names the version of the server's software."""


@dataclass
class PromiseChecker:
    """Records what callers and servers observe, and the violated promises.

    Attributes:
        violations: One line for each violation.
        runs: Number of executions by request id.
        refused: Status of each request of an at-most-once route that was answered
            as not executed.
        holders: Holder by fencing number, from the orders that servers received.
        answers: Number of answers by route and status.
        checks_versions: Whether all instances keep streams at one software version.
    """

    violations: list[str] = field(default_factory=list)
    runs: Counter[str] = field(default_factory=Counter)
    refused: dict[str, int] = field(default_factory=dict)
    holders: dict[int, str] = field(default_factory=dict)
    answers: Counter[str] = field(default_factory=Counter)
    checks_versions: bool = True

    def report(self, promise: str, detail: str) -> None:
        self.violations.append(f"{promise}: {detail}")

    def record_run(self, request_id: str) -> None:
        self.runs[request_id] += 1
        route = request_id.partition("-")[0]
        if route in AT_MOST_ONCE_ROUTES and self.runs[request_id] > 1:
            self.report("at most one execution", f"{request_id} was executed again")
        if request_id in self.refused:
            status = self.refused[request_id]
            self.report(
                "not executed", f"{request_id} was executed after status {status}"
            )

    def record_answer(
        self, request_id: str, status: int, body: bytes, complete: bool
    ) -> None:
        route = request_id.partition("-")[0]
        self.answers[f"{route} {status}{'' if complete else ' cut'}"] += 1
        if status in NOT_EXECUTED_STATUSES and route in AT_MOST_ONCE_ROUTES:
            self.refused[request_id] = status
            if self.runs[request_id]:
                self.report(
                    "not executed", f"{request_id} was executed before status {status}"
                )
        if status != 200:
            return
        if route in ("draft", "once"):
            self.check_stream(request_id, body, complete)
        elif complete and f"q={request_id}".encode() not in body:
            self.report(
                "answer belongs to the request", f"{request_id} got {body[:60]!r}"
            )

    def check_stream(self, request_id: str, body: bytes, complete: bool) -> None:
        """Check a stream, with what the caller has from the tries before."""
        versions = sorted(set(VERSION.findall(body)))
        if self.checks_versions and len(versions) > 1:
            self.report("one version in a stream", f"{request_id} got {versions}")
        numbers = [int(number) for number, _ in EVENT.findall(body)]
        if numbers != list(range(1, len(numbers) + 1)):
            self.report("events in order", f"{request_id} got {numbers}")
        if complete and len(numbers) != EVENTS:
            self.report(
                "incomplete streams are recognizable",
                f"{request_id} ended after {len(numbers)}",
            )

    def record_order(
        self, body: dict[str, Any], model_count: int, adapter_count: int
    ) -> None:
        fence, holder = body["fence"], body["holder"]
        if self.holders.setdefault(fence, holder) != holder:
            self.report(
                "one holder per fence",
                f"fence {fence}: {holder}, {self.holders[fence]}",
            )
        if model_count > MODEL_CAPACITY:
            self.report("memory", f"{model_count} models ordered by {holder}")
        if adapter_count > ADAPTER_CAPACITY:
            self.report(
                "adapter slots", f"{adapter_count} adapters ordered by {holder}"
            )


EVENTS = 12
MODEL_CAPACITY = 3
"""Number of 70 GB models that fit into the 220 GB of the fake servers."""

ADAPTER_CAPACITY = 2


@dataclass
class CheckedModelServer(FakeModelServer):
    """A fake model server that reports its executions and orders to the checker."""

    checker: PromiseChecker = field(default_factory=PromiseChecker)

    def event(self, number: int) -> bytes:
        return b": %s\n" % self.version.encode() + super().event(number)

    def record_run(self, request_id: str) -> None:
        self.checker.record_run(request_id)

    async def on_order(self, request: web.Request) -> web.Response:
        answer = await super().on_order(request)
        if answer.status in (200, 202):
            body = self.orders[-1]
            loading = body["operation"] == "model_load" and not body.get("adapter")
            model_count = len(self.models) + (
                loading and body["model"] not in self.models
            )
            adapter_count = sum(len(names) for names in self.models.values())
            self.checker.record_order(body, model_count, adapter_count)
        return answer


@dataclass
class CheckedPlainServer(FakePlainServer):
    """A fake plain server that reports its executions to the checker."""

    checker: PromiseChecker = field(default_factory=PromiseChecker)

    def record_run(self, request_id: str) -> None:
        self.checker.record_run(request_id)
