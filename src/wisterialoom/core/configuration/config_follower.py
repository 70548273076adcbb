"""Follows the configuration in the object API and holds the one in force.

In each availability zone one member, the first by rendezvous hashing, watches the
object; the others hear of a generation by heartbeat and pull its body from the
peer that has it. Reads spread thinly over the fleet cover for relays that fail.

Cut off from the object API alone, an instance goes on with what its peers vouch
for. While the object API is down for all, no configuration can be accepted, and
instances that stay in touch serve with the one they have; its age shows. Cut off
from both, or woken from a pause, an instance isn't fresh until the object API or a
fresh peer has confirmed its configuration. An availability zone that is cut off
with several instances in it can't tell this from an outage for all: they go on
with the configuration they have until the cut heals.
"""

from __future__ import annotations

from typing import ClassVar, TYPE_CHECKING

from wisterialoom.core.configuration._config_body import pack, unpack
from wisterialoom.core.configuration._config_freshness import Freshness
from wisterialoom.core.configuration._config_object import (
    CONFIG_KEY,
    ConfigObject,
    read_interval_s,
)
from wisterialoom.core.configuration._config_peers import ConfigPeers
from wisterialoom.core.configuration._config_pull import ConfigPuller
from wisterialoom.core.configuration.document_check import DocumentError, read_document
from wisterialoom.core.fleet import rendezvous
from wisterialoom.core.fleet.peer import (
    ConfigPull,
    ConfigPush,
    Heartbeat,
    HeartbeatAck,
    PeerReceived,
    SendPeer,
    STALE_AGE_MS,
)
from wisterialoom.core.message import Event, Tick
from wisterialoom.core.notice import (
    ConfigChanged,
    ConfigFreshness,
    ConfigRefused,
    MembersChanged,
)
from wisterialoom.core.object_store import ObjectRead, ObjectUnavailable

if TYPE_CHECKING:
    import random

    from wisterialoom.core.configuration.document import Document
    from wisterialoom.core.message import Output
    from wisterialoom.core.notice import Member

__all__ = ["CONFIG_KEY", "ConfigFollower"]

PART = "config"
REPORT_INTERVAL_S = 1.0
"""Time between two reports of the freshness when nothing changes."""

FIRST_READ_S = 0.2
"""Time over which the first reads of instances started together are spread."""

BEHIND_S = 3.0
"""An instance that can't get what a live peer has is not fresh after this time."""


class ConfigFollower:
    """Part of the core that follows the configuration.

    Attributes:
        name: Name of this instance.
        availability_zone: Where it runs.
        document: In force; `None` before the first.
        generation: Of the document in force.
        known: Highest generation seen, readable here or not.
        packed: Text of the highest generation seen, compressed for peers.
        relay: This instance watches for its availability zone.
        peers: The other members and their generations.
        behind_since: Since when a live peer has had a higher generation.
    """

    listens: ClassVar[tuple[type[Event], ...]] = (
        Tick,
        MembersChanged,
        PeerReceived,
        ObjectRead,
        ObjectUnavailable,
    )

    def __init__(self, name: str, availability_zone: str, rng: random.Random) -> None:
        self.name = name
        self.availability_zone = availability_zone
        self.document: Document | None = None
        self.generation = 0
        self.known = 0
        self.packed = b""
        self.relay = False
        self.peers = ConfigPeers()
        self.behind_since: float | None = None
        self.freshness = Freshness()
        self.object = ConfigObject(rng, PART)
        self.puller = ConfigPuller(rng)
        self.reported: ConfigFreshness | None = None
        self.reported_at = 0.0

    @property
    def members(self) -> dict[str, Member]:
        """Other members by name."""
        return self.peers.members

    def handle(self, now: float, event: Event) -> list[Output]:
        """Take one event and return what follows from it."""
        first = self.freshness.event_at is None
        if first:
            self.object.read_due = now + FIRST_READ_S
            self.object.read_soon(now, FIRST_READ_S)
        if self.freshness.observe(now):
            self.object.forget(now)
            self.puller.forget(now)
            self.peers.heard.clear()
        outputs = self._handle(now, event)
        return [*outputs, *self._report(now)]

    def _handle(self, now: float, event: Event) -> list[Output]:
        match event:
            case Tick():
                return self._tick(now)
            case MembersChanged(members=members):
                self._set_members(members)
            case PeerReceived(sender, Heartbeat() | HeartbeatAck() as beat):
                return self._hear(now, sender, beat)
            case PeerReceived(sender, ConfigPull() as pull):
                return self._push(now, sender, pull)
            case PeerReceived(sender, ConfigPush() as push):
                return self._take_push(now, sender, push)
            case ObjectRead() | ObjectUnavailable() if self.object.ops.owns(event.op):
                return self._take_answer(now, event)
        return []

    # Duties.

    def _set_members(self, members: tuple[Member, ...]) -> None:
        key = f"{PART}/{self.availability_zone}"
        zone = [
            m.name for m in members if m.availability_zone == self.availability_zone
        ]
        self.relay = rendezvous.first(key, zone) == self.name
        self.peers.set_members(m for m in members if m.name != self.name)

    def _tick(self, now: float) -> list[Output]:
        self._note_behind(now)
        outputs: list[Output] = []
        in_doubt = self.freshness.doubt_since is not None
        if self.behind_since is not None or in_doubt:
            outputs += self._pull(now)
        outputs += self.object.due(
            now,
            known=self.known,
            interval_s=read_interval_s(
                fleet=len(self.peers.members) + 1,
                relay=self.relay,
                doubt=in_doubt or self.freshness.is_lonely(now),
                age_s=self.freshness.age_s(now),
            ),
            watching=self.relay,
        )
        return outputs

    def _note_behind(self, now: float) -> None:
        if self.peers.peak(now) <= self.known:
            self.behind_since = None
        elif self.behind_since is None:
            self.behind_since = now

    # Peers.

    def _hear(
        self, now: float, sender: str, beat: Heartbeat | HeartbeatAck
    ) -> list[Output]:
        fresh = _vouches(beat)
        self.peers.hear(now, sender, beat.generation, fresh=fresh)
        if fresh:
            self.freshness.hear(now)
            if beat.generation <= self.known:
                self.freshness.hear_age(now, beat.config_age_ms / 1_000)
        if beat.generation > self.known:
            return self._pull(now)
        return []

    def _pull(self, now: float) -> list[Output]:
        candidates = self.peers.candidates(now, self.known)
        command = self.puller.ask(now, self.known, candidates)
        if command is not None:
            return [command]
        if self.puller.exhausted(now, candidates):
            self.object.read_soon(now, 0.0)
        return []

    def _push(self, now: float, sender: str, pull: ConfigPull) -> list[Output]:
        member = self.peers.members.get(sender)
        if member is None:
            return []
        body = self.packed if self.known > pull.generation else b""
        age_ms = int(self._age_s(now) * 1_000)
        message = ConfigPush(self.known, body, pull.serial, age_ms)
        return [SendPeer(sender, member.address, message)]

    def _take_push(self, now: float, sender: str, push: ConfigPush) -> list[Output]:
        asked_at = self.puller.settle(sender, push)
        age_s = push.config_age_ms / 1_000
        fresh = _vouches(push)
        outputs = self._take(now, push.generation, unpack(push.body))
        if asked_at is not None and fresh and push.generation <= self.known:
            self.freshness.confirm(asked_at, now, age_s)
            self.puller.forget(now)
        return outputs

    # The object.

    def _take_answer(
        self, now: float, event: ObjectRead | ObjectUnavailable
    ) -> list[Output]:
        asked_at = self.object.settle(now, event)
        if asked_at is None or isinstance(event, ObjectUnavailable):
            return []
        outputs = self._take(now, event.version, event.body)
        self.freshness.hear(now)
        if event.version == self.known:
            self.freshness.confirm(asked_at, now)
        return outputs

    def _take(self, now: float, generation: int, body: bytes) -> list[Output]:
        """Put a document in force if its generation is higher and it is sound."""
        if generation <= self.known or not body:
            return []
        self.known, self.packed = generation, pack(body)
        self._note_behind(now)
        try:
            document = read_document(body)
        except DocumentError as error:
            return [ConfigRefused(generation, str(error))]
        self.document, self.generation = document, generation
        return [ConfigChanged(generation, document)]

    # Reports.

    def _is_fresh(self, now: float) -> bool:
        if self.generation == 0 or self.freshness.doubt_since is not None:
            return False
        return self.behind_since is None or now - self.behind_since < BEHIND_S

    def _age_s(self, now: float) -> float:
        return self.freshness.age_s(now) if self._is_fresh(now) else STALE_AGE_MS / 1e3

    def _report(self, now: float) -> list[Output]:
        fresh = self._is_fresh(now)
        report = ConfigFreshness(self.generation, fresh, self._age_s(now), self.known)
        last = self.reported
        if (
            last is not None
            and (last.generation, last.fresh, last.known)
            == (report.generation, report.fresh, report.known)
            and now - self.reported_at < REPORT_INTERVAL_S
        ):
            return []
        self.reported, self.reported_at = report, now
        return [report]


def _vouches(message: Heartbeat | HeartbeatAck | ConfigPush) -> bool:
    """Tell whether the sender has a configuration and trusts it to be the newest."""
    return message.generation > 0 and message.config_age_ms < STALE_AGE_MS
