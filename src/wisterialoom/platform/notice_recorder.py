"""Follows what backend servers say about themselves in their answers."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisterialoom.core.serving.dispatcher import Dispatcher
    from wisterialoom.core.serving.request_flow import RequestFlow
    from wisterialoom.platform.headers import ServerNotice

__all__ = ["NoticeRecorder"]

logger = logging.getLogger(__name__)


class NoticeRecorder:
    """Passes notices of servers on to the dispatcher, and logs changes.

    Attributes:
        dispatcher: Decides by the notices.
        limit_changed: Called with a server that named another limit, or none any more.
    """

    def __init__(
        self, dispatcher: Dispatcher, limit_changed: Callable[[str], None]
    ) -> None:
        self.dispatcher = dispatcher
        self.limit_changed = limit_changed

    def record(self, server_id: str, notice: ServerNotice) -> None:
        """Follow a server that is leaving, limits requests, or wants none for a time.

        Only an answer to a request shows that a server no longer names a limit.
        """
        now = time.monotonic()
        if notice.leaving and self.dispatcher.record_leaving(server_id):
            logger.info("server says that it leaves", extra={"server": server_id})
        if notice.hold_off_s:
            self.dispatcher.record_rest(now, server_id, notice.hold_off_s)
            logger.info(
                "server wants nothing for a while",
                extra={"server": server_id, "for_ms": int(notice.hold_off_s * 1e3)},
            )
        if notice.limit_per_s is not None:
            self._record_limit(now, server_id, notice.limit_per_s, now)

    def record_head(self, flow: RequestFlow, notice: ServerNotice) -> None:
        """Follow a server whose answer to a request has begun."""
        now = time.monotonic()
        load = notice.load
        running, waiting = (load.running, load.waiting) if load else (0, 0)
        self.dispatcher.record_response_head(
            now,
            flow,
            running,
            waiting,
            has_load=load is not None,
            pace=load.pace if load else None,
        )
        self.record(flow.in_flight_at, notice)
        if not notice.hold_off_s:
            self.dispatcher.record_taken(flow.in_flight_at)
        if notice.limit_per_s is None and notice.is_limit_readable:
            self._record_limit(now, flow.in_flight_at, None, flow.sent_at)
        rejections = notice.brittle_rejections
        as_of = now if rejections is not None else flow.sent_at
        service = flow.profile.service
        self.dispatcher.brittle.record(now, service, rejections, as_of)

    def _record_limit(
        self, now: float, server_id: str, limit_per_s: float | None, as_of: float
    ) -> None:
        if self.dispatcher.record_limit(now, server_id, limit_per_s, as_of):
            self.limit_changed(server_id)
            logger.info(
                "server names a limit" if limit_per_s is not None else "limit ended",
                extra={"server": server_id, "limit_per_s": limit_per_s},
            )
