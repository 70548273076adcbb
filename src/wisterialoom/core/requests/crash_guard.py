"""Holds requests back at one instance that crash its backend servers."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from wisterialoom.core.crash_suspects import ServerStart
from wisterialoom.core.crash_watch import CrashWatch
from wisterialoom.core.request_trait import OWN_PREFIX, part_traits
from wisterialoom.core.requests.request import AttemptResult

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisterialoom.core.requests.in_flight_request import InFlightRequest
    from wisterialoom.core.requests.request import Classified
    from wisterialoom.core.requests.server_view import ServerView

__all__ = ["CrashGuard", "own_trait_of"]


MAX_BLOCKS = 16
"""Leading blocks of a prompt that count as traits."""


def own_trait_of(classified: Classified) -> str:
    """Return the trait that only the same request of the same caller shares."""
    text = f"{classified.caller}\0{classified.request.body_sha256}"
    return OWN_PREFIX + hashlib.sha256(text.encode()).hexdigest()[:12]


class CrashGuard:
    """Learns from lost attempts which requests crash servers.

    Attributes:
        watch: Decides what is held back.
        has_new_holds: Whether more is held back than the waiting requests were
            checked for.
    """

    def __init__(self, name: str) -> None:
        self.watch = CrashWatch(name, frozenset({name}))
        self.has_new_holds = False

    def record_output(self, now: float, classified: Classified) -> None:
        """Record that a server has begun to answer a request."""
        self.watch.record_output(now, _traits(classified))

    def record_end(
        self,
        now: float,
        in_flight: InFlightRequest,
        view: ServerView,
        result: AttemptResult,
    ) -> None:
        """Learn from the end of an attempt.

        Servers that leave break connections off as well, and so does an attempt that
        is cancelled as it takes too long.
        """
        start = _start(view)
        match result:
            case AttemptResult.COMPLETED | AttemptResult.SERVER_ERROR:
                self.record_output(now, in_flight.classified)
            case AttemptResult.NOT_SENT:
                self.watch.record_down(start)
            case AttemptResult.LOST:
                if in_flight.first_byte or in_flight.timed_out or view.closed:
                    return
                traits = _traits(in_flight.classified)
                self.watch.record_loss(now, start, in_flight.dispatched_at, traits)

    def record_listed(
        self, before: dict[str, ServerView], now_listed: Iterable[ServerView]
    ) -> None:
        """Record which servers have gone, or have started again.

        Args:
            before: Views of the servers listed before, by name.
            now_listed: Views of the servers listed now.
        """
        remaining = {_start(view) for view in now_listed if not view.closed}
        for view in before.values():
            if _start(view) not in remaining:
                self.watch.record_down(_start(view))

    def decide(self, now: float) -> None:
        """Decide what is held back."""
        if self.watch.decide(now):
            self.has_new_holds = True
        # Instances of this interface do not report to each other.
        self.watch.take_messages(float("inf"))

    def is_held(self, classified: Classified) -> bool:
        """Return whether requests like this one are held back."""
        return self._held_trait(classified) is not None

    def begin_trial(self, now: float, classified: Classified) -> bool:
        """Return whether a held request is sent, to see whether it is answered now."""
        held = self._held_trait(classified)
        return held is not None and self.watch.begin_trial(now, held)

    def _held_trait(self, classified: Classified) -> str | None:
        if not self.watch.quarantine.held_count:
            return None
        return self.watch.quarantine.held_trait(_traits(classified))


def _traits(classified: Classified) -> tuple[str, ...]:
    blocks = classified.request.prefix_hashes[:MAX_BLOCKS]
    parts = [f"{block:x}" for block in blocks]
    return (*part_traits(parts), own_trait_of(classified))


def _start(view: ServerView) -> ServerStart:
    return ServerStart(f"{view.server.name}/{view.server.incarnation}", 0)
