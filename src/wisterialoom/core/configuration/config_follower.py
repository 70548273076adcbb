"""Follows the configuration in the object API and holds the document in force.

In each availability zone one member, the first by rendezvous hashing, is the relay
that watches the configuration object. The other members see a new generation in
heartbeats and pull its body from a peer that has it. All instances also read the
object at a low rate, in case relays fail.

An instance that is cut off from the object API alone continues with the
configuration that its peers confirm. During a general outage of the object API, no
new configuration can be accepted; instances that are in contact with each other keep
serving with the one they have, and its age is reported. An instance that is cut off
from the object API and its peers, or that resumes after a pause, is not fresh until
the object API or a fresh peer has confirmed its configuration. If an availability
zone with several instances is cut off, they cannot distinguish this from a general
outage, and continue with the configuration they have until the connection is
restored.
"""

from __future__ import annotations

from typing import ClassVar, TYPE_CHECKING

from wisterialoom.core.configuration._config_body import pack, unpack
from wisterialoom.core.configuration._config_freshness import Freshness
from wisterialoom.core.configuration._config_object import (
    AGED_S,
    AGED_SPREAD_S,
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
"""Time between two freshness reports while nothing changes."""

FIRST_READ_SPREAD_S = 0.2
"""Time over which the first reads of instances started together are spread."""

BEHIND_LIMIT_S = 3.0
"""Time after which an instance that is behind a live peer is no longer fresh."""


class ConfigFollower:
    """The component of the core that follows the configuration.

    Attributes:
        name: Name of this instance.
        availability_zone: Availability zone of this instance.
        document: The document in force; `None` before the first.
        generation: Generation of the document in force.
        latest_generation: Highest generation seen; above `generation` if its
            document cannot be read by this version of the program.
        packed: Text of the latest generation, compressed for peers.
        relay: Whether this instance watches the object for its availability zone.
        peers: The other members and their generations.
        behind_since: Monotonic time since which a live peer has had a higher
            generation; `None` if no peer has.
        freshness: Whether the configuration is confirmed to be the newest.
        aged: Whether its age has led to a read by this instance.
        object: Reads and watches of the object.
        puller: Pulls from peers.
        reported: The last report of the freshness.
        reported_at: Monotonic time of that report.
    """

    handled_events: ClassVar[tuple[type[Event], ...]] = (
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
        self.latest_generation = 0
        self.packed = b""
        self.relay = False
        self.peers = ConfigPeers()
        self.behind_since: float | None = None
        self.freshness = Freshness()
        self.aged = False
        self.object = ConfigObject(rng, PART)
        self.puller = ConfigPuller(rng)
        self.reported: ConfigFreshness | None = None
        self.reported_at = 0.0

    @property
    def members(self) -> dict[str, Member]:
        """Other members by name."""
        return self.peers.members

    def handle(self, now: float, event: Event) -> list[Output]:
        """Process one event and return the resulting commands and notices."""
        first = self.freshness.last_event_at is None
        if first:
            self.object.read_due = now + FIRST_READ_SPREAD_S
            self.object.advance_read(now, FIRST_READ_SPREAD_S)
        if self.freshness.observe(now):
            self.object.reset(now)
            self.puller.reset(now)
            self.peers.states.clear()
        outputs = self._dispatch(now, event)
        return [*outputs, *self._report(now)]

    def _dispatch(self, now: float, event: Event) -> list[Output]:
        match event:
            case Tick():
                return self._tick(now)
            case MembersChanged(members=members):
                self._set_members(members)
            case PeerReceived(sender, Heartbeat() | HeartbeatAck() as heartbeat):
                return self._handle_heartbeat(now, sender, heartbeat)
            case PeerReceived(sender, ConfigPull() as pull):
                return self._answer_pull(now, sender, pull)
            case PeerReceived(sender, ConfigPush() as push):
                return self._handle_push(now, sender, push)
            case ObjectRead() | ObjectUnavailable() if self.object.ops.owns(event.op):
                return self._handle_response(now, event)
        return []

    # Membership and ticks.

    def _set_members(self, members: tuple[Member, ...]) -> None:
        key = f"{PART}/{self.availability_zone}"
        zone = [
            m.name for m in members if m.availability_zone == self.availability_zone
        ]
        self.relay = rendezvous.first(key, zone) == self.name
        self.peers.set_members(m for m in members if m.name != self.name)

    def _tick(self, now: float) -> list[Output]:
        self._update_behind(now)
        outputs: list[Output] = []
        unconfirmed = self.freshness.unconfirmed_since is not None
        if self.behind_since is not None or unconfirmed:
            outputs += self._pull(now)
        aged = self.freshness.age_s(now) > AGED_S
        if aged and not self.aged:
            self.object.advance_read(now, AGED_SPREAD_S)
        self.aged = aged
        outputs += self.object.due_calls(
            now,
            latest_generation=self.latest_generation,
            interval_s=read_interval_s(
                fleet=len(self.peers.members) + 1,
                relay=self.relay,
                unconfirmed=unconfirmed or self.freshness.is_nearly_isolated(now),
                age_s=self.freshness.age_s(now),
            ),
            watching=self.relay,
        )
        return outputs

    def _update_behind(self, now: float) -> None:
        if self.peers.highest_generation(now) <= self.latest_generation:
            self.behind_since = None
        elif self.behind_since is None:
            self.behind_since = now

    # Peers.

    def _handle_heartbeat(
        self, now: float, sender: str, heartbeat: Heartbeat | HeartbeatAck
    ) -> list[Output]:
        fresh = _sender_is_fresh(heartbeat)
        self.peers.update(now, sender, heartbeat.generation, fresh=fresh)
        if fresh:
            self.freshness.record_contact(now)
            if heartbeat.generation <= self.latest_generation:
                self.freshness.update_age(now, heartbeat.config_age_ms / 1_000)
        if heartbeat.generation > self.latest_generation:
            return self._pull(now)
        return []

    def _pull(self, now: float) -> list[Output]:
        candidates = self.peers.candidates(now, self.latest_generation)
        command = self.puller.next_pull(now, self.latest_generation, candidates)
        if command is not None:
            return [command]
        if self.puller.end_round_if_exhausted(now, candidates):
            self.object.advance_read(now, 0.0)
        return []

    def _answer_pull(self, now: float, sender: str, pull: ConfigPull) -> list[Output]:
        member = self.peers.members.get(sender)
        if member is None:
            return []
        body = self.packed if self.latest_generation > pull.generation else b""
        age_ms = int(self._age_s(now) * 1_000)
        message = ConfigPush(self.latest_generation, body, pull.serial, age_ms)
        return [SendPeer(sender, member.address, message)]

    def _handle_push(self, now: float, sender: str, push: ConfigPush) -> list[Output]:
        sent_at = self.puller.complete(sender, push)
        age_s = push.config_age_ms / 1_000
        fresh = _sender_is_fresh(push)
        outputs = self._accept(now, push.generation, unpack(push.body))
        if sent_at is not None and fresh and push.generation <= self.latest_generation:
            self.freshness.confirm(sent_at, now, age_s)
            self.puller.reset(now)
        return outputs

    # Reads and watches of the object.

    def _handle_response(
        self, now: float, event: ObjectRead | ObjectUnavailable
    ) -> list[Output]:
        sent_at = self.object.complete(now, event)
        if sent_at is None or isinstance(event, ObjectUnavailable):
            return []
        outputs = self._accept(now, event.version, event.body)
        self.freshness.record_contact(now)
        if event.version == self.latest_generation:
            self.freshness.confirm(sent_at, now)
        return outputs

    def _accept(self, now: float, generation: int, body: bytes) -> list[Output]:
        """Put a document in force if its generation is higher and it has no faults."""
        if generation <= self.latest_generation or not body:
            return []
        self.latest_generation, self.packed = generation, pack(body)
        self._update_behind(now)
        try:
            document = read_document(body)
        except DocumentError as error:
            return [ConfigRefused(generation, str(error))]
        self.document, self.generation = document, generation
        return [ConfigChanged(generation, document)]

    # Reports.

    def _is_fresh(self, now: float) -> bool:
        if self.generation == 0 or self.freshness.unconfirmed_since is not None:
            return False
        return self.behind_since is None or now - self.behind_since < BEHIND_LIMIT_S

    def _age_s(self, now: float) -> float:
        return self.freshness.age_s(now) if self._is_fresh(now) else STALE_AGE_MS / 1e3

    def _report(self, now: float) -> list[Output]:
        fresh = self._is_fresh(now)
        report = ConfigFreshness(
            self.generation, fresh, self._age_s(now), self.latest_generation
        )
        last = self.reported
        if (
            last is not None
            and (last.generation, last.fresh, last.latest_generation)
            == (report.generation, report.fresh, report.latest_generation)
            and now - self.reported_at < REPORT_INTERVAL_S
        ):
            return []
        self.reported, self.reported_at = report, now
        return [report]


def _sender_is_fresh(message: Heartbeat | HeartbeatAck | ConfigPush) -> bool:
    """Return whether the sender has a configuration and reports it as fresh."""
    return message.generation > 0 and message.config_age_ms < STALE_AGE_MS
