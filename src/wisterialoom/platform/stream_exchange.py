"""Shares between instances which software version began each stream.

While one version serves alone, nothing is shared. Otherwise some instances are told of
each stream that begins, and a record of the unfinished ones is kept in the store, for
the case that all instances end at once.
"""

from __future__ import annotations

import asyncio
import logging
import time
from typing import Any, TYPE_CHECKING

from wisterialoom.core.fleet import rendezvous
from wisterialoom.core.serving.origin_question import OriginQuestion
from wisterialoom.core.serving.software_versions import sole_version
from wisterialoom.core.serving.stream_origin import StreamOrigin
from wisterialoom.platform._tasks import TaskGroup, wait_for
from wisterialoom.platform.fields import DECODE_ERRORS, read_mapping, read_names
from wisterialoom.platform.hints import OriginAnswer, OriginWanted, StreamsBegun
from wisterialoom.platform.lease_manager import lease_clock
from wisterialoom.platform.store import (
    ObjectConflictError,
    StoreRestoredError,
    StoreUnavailableError,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable, Iterator

    from wisterialoom.core.serving.dispatcher import Dispatcher
    from wisterialoom.core.serving.request_flow import RequestFlow
    from wisterialoom.platform.catalog import Catalog
    from wisterialoom.platform.hints import StreamHint
    from wisterialoom.platform.peers import PeerLink
    from wisterialoom.platform.store import StoreClient

__all__ = ["StreamExchange"]

logger = logging.getLogger(__name__)

STREAM_KIND = "wisterialoom-streams"

TOLD = 4
"""Other instances that are told of a stream.

Any of them may end together with the instance that serves it.
"""

ASKED = 8
"""Other instances that are asked where a stream began.

More than are told, as instances differ for a while in who the others are.
"""

ANSWER_S = 0.1
"""Time within which other instances answer; several round trips between zones."""

CONFIRM_S = 0.5
CONFIRM_CHECK_S = 0.02
"""Longest wait for the view to be confirmed, and the interval between two looks.

Watchers confirm it more often than that.
"""

CHECK_S = 0.25
"""Interval between checks for gaps in the view, and for streams to forget."""

MIN_WRITE_INTERVAL_S = 0.3
"""Minimum time between two records of unfinished streams in the store."""

WRITES_PER_S = 20.0
"""Records that all instances together write in a second at most."""

LIST_INTERVAL_S = 0.3
"""Minimum time between two reads of the records of all instances."""

VIEW_GAP_S = 2.0
"""Age of the view from which a version may have come and gone unnoticed."""

SUSPEND_S = 0.5
"""Growth of the time spent suspended from which a suspension is inferred."""


def suspended_s() -> float:
    """Return the seconds that the machine has spent suspended."""
    return lease_clock() - time.monotonic()


class StreamExchange:
    """Finds out which version began a stream, and lets other instances find out.

    Attributes:
        instance: Name of this instance.
        peers: Datagrams between instances.
        store: Store that keeps the records.
        dispatcher: Decides where streams go on.
        catalog: Tells how current the servers are.
        read_versions: Reads the record of earlier versions from the store.
        holds_lease: Returns whether this instance keeps that record.
        questions: Questions in progress, by stream and service, each with an event
            that is set once nothing more is to be expected.
        shared_services: Services of which streams are shared.
        written_revision: Revision of the unfinished streams in the store's record.
        inherited: Whether the record of an earlier process of this instance was read.
        is_recorded: Whether the store has a record of this instance.
        suspended_s: Seconds spent suspended, as of the last check.
        trusted_after: Monotonic time after which the view must have been confirmed.
        listed_at: Monotonic time at which the records were last read.
        listing: Read of the records in progress.
        counts: Streams that were taken up, by what was known of their version.
        tasks: The task that shares streams.
    """

    def __init__(
        self,
        instance: str,
        peers: PeerLink,
        store: StoreClient,
        dispatcher: Dispatcher,
        catalog: Catalog,
        read_versions: Callable[[], Awaitable[None]],
        holds_lease: Callable[[], bool],
    ) -> None:
        self.instance = instance
        self.peers = peers
        self.store = store
        self.dispatcher = dispatcher
        self.catalog = catalog
        self.read_versions = read_versions
        self.holds_lease = holds_lease
        self.questions: dict[tuple[str, str], tuple[OriginQuestion, asyncio.Event]] = {}
        self.shared_services: set[str] = set()
        self.written_revision = 0
        self.inherited = False
        self.is_recorded = False
        self.suspended_s = suspended_s()
        self.trusted_after = float("-inf")
        self.listed_at = float("-inf")
        self.listing: asyncio.Task[None] | None = None
        self.counts: dict[str, int] = {}
        self.tasks = TaskGroup()
        self.streams = dispatcher.streams
        self.streams.origins.on_begin = self._share

    def start(self) -> None:
        """Start to share streams."""
        self.tasks.supervise("stream_exchange", self._run)

    async def stop(self) -> None:
        """Stop sharing streams; their records stay in the store."""
        await self.tasks.stop()
        if self.listing is not None:
            self.listing.cancel()

    # Finding the version of a stream that a caller takes up.

    async def find(self, flow: RequestFlow) -> None:
        """Find the version that began the stream of a request, if anyone knows it."""
        known_by = "nobody"
        for name, look in (
            ("this_instance", self._find_here),
            ("instances", self._ask_instances),
            ("store", self._ask_store),
        ):
            flow.stream_version = await look(flow)
            if flow.stream_version is not None:
                known_by = name
                break
        self.counts[known_by] = self.counts.get(known_by, 0) + 1

    async def _find_here(self, flow: RequestFlow) -> str | None:
        now = time.monotonic()
        self._check_view(now)
        is_current = self._is_current(now)
        return self.streams.find_here(now, flow, is_current=is_current)

    def _is_current(self, now: float) -> bool:
        limit_s = self.catalog.server_watcher.promise.max_age_s
        trusted_after = max(now - limit_s, self.trusted_after)
        return self.catalog.servers_current_at > trusted_after

    async def _ask_instances(self, flow: RequestFlow) -> str | None:
        profile = flow.profile
        stream = profile.taken_up_stream
        addresses = list(self._others(stream, ASKED))
        if not addresses:
            return None
        key = (stream, profile.service)
        if key not in self.questions:
            self.questions[key] = (OriginQuestion(len(addresses)), asyncio.Event())
            wanted = OriginWanted(self.instance, stream, profile.service)
            self.peers.send_all(wanted, addresses)
        question, done_event = self.questions[key]
        await wait_for(done_event, ANSWER_S)
        self.questions.pop(key, None)
        if question.origin is not None:
            self.streams.origins.record(time.monotonic(), stream, question.origin)
            return await self._find_here(flow)
        # What this instance has seen itself counts, too, however old it is.
        own = self.streams.history.known(time.monotonic(), profile.service)
        return question.sole_version(own)

    async def _ask_store(self, flow: RequestFlow) -> str | None:
        history = self.streams.history
        await self._wait_until_current()
        if history.possible(time.monotonic(), flow.profile.service) is None:
            try:
                await self.read_versions()
            except (StoreUnavailableError, StoreRestoredError):
                return None
            version = await self._find_here(flow)
            if version is not None:
                return version
        await self._read_records()
        return await self._find_here(flow)

    async def _wait_until_current(self) -> None:
        """Wait a moment for the view to be confirmed, as after a start."""
        until = time.monotonic() + CONFIRM_S
        while not self._is_current(now := time.monotonic()) and now < until:
            await asyncio.sleep(CONFIRM_CHECK_S)

    async def _read_records(self) -> None:
        """Read the records of all instances, with others that want the same."""
        if self.listing is None or self.listing.done():
            if time.monotonic() - self.listed_at < LIST_INTERVAL_S:
                return
            self.listed_at = time.monotonic()
            self.listing = asyncio.create_task(self._list_records())
        await asyncio.shield(self.listing)

    async def _list_records(self) -> None:
        try:
            listing = await self.store.list(STREAM_KIND)
        except (StoreUnavailableError, StoreRestoredError):
            return
        now = time.monotonic()
        for found in listing.objects:
            for stream, origin in _decode_record(found.spec):
                if self.streams.origins.find(stream) is None:
                    self.streams.origins.record(now, stream, origin)

    def _check_view(self, now: float) -> None:
        """Notice times in which versions may have come and gone unseen."""
        suspended = suspended_s()
        paused_s, self.suspended_s = suspended - self.suspended_s, suspended
        if paused_s > SUSPEND_S:
            self.trusted_after = now
        # The holder itself keeps the record of versions that others read after a gap.
        # The first view is a copy, which is confirmed a moment later.
        seen_at = max(
            self.catalog.servers_current_at, self.streams.history.observed_since
        )
        is_old = now - seen_at > VIEW_GAP_S
        if paused_s > VIEW_GAP_S or (is_old and not self.holds_lease()):
            self.streams.history.record_gap(now)

    # Letting others know.

    def handle_hint(self, hint: StreamHint, address: str) -> None:
        """Handle a message of another instance.

        Args:
            hint: The message.
            address: Address of the sender.
        """
        now = time.monotonic()
        match hint:
            case StreamsBegun(origins=origins):
                for stream, origin in origins.items():
                    self.streams.origins.record(now, stream, origin)
            case OriginWanted(stream=stream, service=service):
                self._answer(now, stream, service, address)
            case OriginAnswer():
                self._record_answer(hint)

    def _record_answer(self, answer: OriginAnswer) -> None:
        asked = self.questions.get((answer.stream, answer.asked_service))
        if asked is None:
            return
        question, done_event = asked
        origin = None
        if answer.version:
            origin = StreamOrigin(answer.service, answer.version)
        possible = None if answer.possible is None else frozenset(answer.possible)
        question.record(answer.instance, origin, possible)
        if question.is_done:
            done_event.set()

    def _answer(self, now: float, stream: str, service: str, address: str) -> None:
        self._check_view(now)
        origin = self.streams.origins.find(stream)
        possible = self.streams.history.possible(now, service)
        answer = OriginAnswer(
            self.instance,
            stream,
            service,
            origin.service if origin else "",
            origin.version if origin else "",
            tuple(sorted(possible)) if possible is not None else None,
        )
        self.peers.send(answer, address)

    def _share(self, stream: str, origin: StreamOrigin) -> None:
        """Tell other instances of a stream, unless its service has one version."""
        if origin.service in self.shared_services:
            self._tell(stream, origin)

    def _tell(self, stream: str, origin: StreamOrigin) -> None:
        hint = StreamsBegun(self.instance, {stream: origin})
        self.peers.send_all(hint, list(self._others(stream, TOLD)))

    def _others(self, stream: str, count: int) -> Iterator[str]:
        """Yield the addresses of the instances that are told of a stream."""
        members = self.peers.members
        names = rendezvous.rank(stream, members.keys() - {self.instance})
        for name in names[:count]:
            yield members[name]

    async def _run(self) -> None:
        written_at = float("-inf")
        while True:
            await asyncio.sleep(CHECK_S)
            now = time.monotonic()
            self._check_view(now)
            self.streams.origins.forget_old(now, self.streams.history.retention_s)
            self._choose_shared(now)
            interval_s = max(
                MIN_WRITE_INTERVAL_S, len(self.peers.members) / WRITES_PER_S
            )
            if now - written_at >= interval_s and await self._write_record():
                written_at = now

    def _choose_shared(self, now: float) -> None:
        """Decide which services have streams to share; tell those in progress."""
        origins = self.streams.origins
        history = self.streams.history
        shared = {
            service
            for service in history.listed
            if sole_version(history.possible(now, service)) is None
        }
        for stream, origin in origins.unfinished_origins():
            if origin.service in shared - self.shared_services:
                self._tell(stream, origin)
        if shared != self.shared_services:
            self.shared_services = shared
            self.written_revision = -1
            logger.info("streams are shared", extra={"services": sorted(shared)})

    async def _write_record(self) -> bool:
        """Write the unfinished streams to the store; return whether it was called."""
        origins = self.streams.origins
        if not self.shared_services or self.written_revision == origins.revision:
            return False
        try:
            if not self.inherited:
                await self._inherit()
            revision = origins.revision
            spec = _encode_record(
                (stream, origin)
                for stream, origin in origins.unfinished_origins()
                if origin.service in self.shared_services
            )
            if self.is_recorded:
                await self.store.replace(STREAM_KIND, self.instance, spec)
            else:
                await self.store.create(STREAM_KIND, self.instance, spec)
                self.is_recorded = True
        except ObjectConflictError:
            self.inherited = False
        except (StoreUnavailableError, StoreRestoredError):
            # It may be gone after a restore.
            self.inherited = False
        else:
            self.written_revision = revision
        return True

    async def _inherit(self) -> None:
        """Read the record of an earlier process of this instance, to keep it."""
        found = await self.store.read(STREAM_KIND, self.instance)
        self.is_recorded = found is not None
        self.inherited = True
        if found is None:
            return
        now = time.monotonic()
        origins = self.streams.origins
        for stream, origin in _decode_record(found.spec):
            if origins.find(stream) is None:
                origins.record(now, stream, origin)
            origins.unfinished.setdefault(stream, now)


def _encode_record(origins: Iterable[tuple[str, StreamOrigin]]) -> dict[str, Any]:
    streams: dict[str, dict[str, list[str]]] = {}
    for stream, origin in origins:
        versions = streams.setdefault(origin.service, {})
        versions.setdefault(origin.version, []).append(stream)
    return {"streams": streams}


def _decode_record(spec: Any) -> list[tuple[str, StreamOrigin]]:
    """Decode a record; one that cannot be read has no streams."""
    try:
        return [
            (stream, StreamOrigin(service, version))
            for service, versions in read_mapping(spec["streams"]).items()
            for version, streams in read_mapping(versions).items()
            if version
            for stream in read_names(streams)
        ]
    except DECODE_ERRORS as error:
        logger.warning("record of streams ignored", extra={"error": repr(error)})
        return []
