"""A model of instances, releases and ends of instances: no stream is joined."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest

from tests.test_dispatcher import flow
from wisterialoom.core.serving.backend import BackendServer
from wisterialoom.core.serving.origin_question import OriginQuestion
from wisterialoom.core.serving.software_versions import VersionHistory
from wisterialoom.core.serving.stream_origin import StreamOrigin
from wisterialoom.core.serving.stream_versions import StreamVersions

INSTANCES = 5
STEP_S = 0.1
STEPS = 900
LIFE_S = 10.0
"""Time after its begin for which a caller may take a stream up."""

VIEW_LAG_S = 1.0
WRITE_INTERVAL_S = 0.4
RENEWAL_S = 0.6
VIEW_LIMIT_S = 1.2
GAP_S = 2.0
"""Times of the adapter, which the model follows."""


@dataclass
class Instance:
    """One process: what it has decided and learned since its start."""

    streams: StreamVersions = field(default_factory=StreamVersions)
    current_at: float = float("-inf")
    cut_until: float = float("-inf")


@dataclass
class World:
    """The servers' versions, the store's records and the instances.

    Attributes:
        servers: Version by server id, as the store lists it.
        seen: Past contents of the list, with their times.
        versions: Versions that the holder of the lease, the first instance, recorded.
        records: Streams that each instance recorded.
        begun: Version and time of each stream that callers may take up.
    """

    rng: random.Random
    now: float = 0.0
    servers: dict[str, str] = field(default_factory=lambda: {"i-0": "v0", "i-1": "v0"})
    seen: list[tuple[float, dict[str, str]]] = field(default_factory=list)
    versions: dict[str, list[str]] | None = None
    records: dict[int, dict[str, StreamOrigin]] = field(default_factory=dict)
    begun: dict[str, tuple[str, float]] = field(default_factory=dict)
    instances: list[Instance] = field(
        default_factory=lambda: [Instance() for _ in range(INSTANCES)]
    )
    count: int = 0
    joined: int = 0
    refused: int = 0
    continued: int = 0

    def change_servers(self) -> None:
        """Release another version, forward or back, or let servers leave."""
        if len(self.servers) > 2 and self.rng.random() < 0.5:
            del self.servers[self.rng.choice(sorted(self.servers))]
        else:
            self.count += 1
            self.servers[f"i-{self.count + 1}"] = f"v{self.rng.randrange(3)}"

    def observe(self) -> None:
        self.seen.append((self.now, dict(self.servers)))
        for instance in self.instances:
            if self.now < instance.cut_until:
                continue
            lag_s = self.rng.uniform(0.0, VIEW_LAG_S)
            at, servers = next(
                (item for item in reversed(self.seen) if item[0] <= self.now - lag_s),
                self.seen[0],
            )
            if at <= instance.current_at:
                continue
            instance.current_at = at
            instance.streams.history.set_servers(
                self.now,
                [
                    BackendServer(
                        name, 1, "s", "ip", "a", 8, False, 0, software_version=version
                    )
                    for name, version in servers.items()
                ],
            )

    def keep_records(self) -> None:
        holder = self.instances[0].streams.history
        if self.due(RENEWAL_S) and self.now >= self.instances[0].cut_until:
            self.versions = holder.to_record(self.now) or self.versions
        for number, instance in enumerate(self.instances):
            if number and self.now - instance.current_at > GAP_S:
                instance.streams.history.record_gap(self.now)
            if self.due(WRITE_INTERVAL_S) and self.now >= instance.cut_until:
                self.records[number] = dict(
                    instance.streams.origins.unfinished_origins()
                )

    def due(self, interval_s: float) -> bool:
        return int(self.now / interval_s) != int((self.now - STEP_S) / interval_s)

    def end_instances(self, share: float) -> None:
        for number in range(INSTANCES):
            if self.rng.random() < share:
                started = Instance()
                for stream, origin in self.records.get(number, {}).items():
                    started.streams.origins.record(self.now, stream, origin)
                    started.streams.origins.unfinished[stream] = self.now
                self.instances[number] = started

    def begin(self) -> None:
        """Begin a stream at a server that an instance knows."""
        instance = self.rng.choice(self.instances)
        history = instance.streams.history
        known = sorted(history.listed.get("s", ()))
        if not known:
            return
        version = self.rng.choice(sorted(history.settled(self.now, "s")))
        stream = f"stream{len(self.begun)}"
        self.begun[stream] = (version, self.now)
        origin = StreamOrigin("s", version)
        instance.streams.origins.begin(self.now, stream, origin)
        for other in self.rng.sample(self.instances, 3):
            if self.rng.random() < 0.8 and self.now >= other.cut_until:
                other.streams.origins.record(self.now, stream, origin)

    def take_up(self) -> None:
        alive = [
            stream for stream, (_, at) in self.begun.items() if self.now - at < LIFE_S
        ]
        if not alive:
            return
        stream = self.rng.choice(alive)
        version = self.find(self.rng.choice(self.instances), stream)
        if version is None:
            self.refused += 1
        elif version == self.begun[stream][0]:
            self.continued += 1
        else:
            self.joined += 1

    def find(self, instance: Instance, stream: str) -> str | None:
        request = flow(service="s", takes_up=stream)
        streams = instance.streams

        def look() -> str | None:
            is_current = self.now - instance.current_at < VIEW_LIMIT_S
            return streams.find_here(self.now, request, is_current=is_current)

        version = look()
        if version is not None:
            return version
        others = [other for other in self.instances if other is not instance]
        question = OriginQuestion(len(others))
        for number, other in enumerate(others):
            if max(instance.cut_until, other.cut_until) > self.now:
                continue
            if self.rng.random() < 0.9:
                origin = other.streams.origins.find(stream)
                possible = other.streams.history.possible(self.now, "s")
                question.record(str(number), origin, possible)
        if question.origin is not None:
            return question.origin.version
        version = question.sole_version(streams.history.known(self.now, "s"))
        if version is not None or self.now < instance.cut_until:
            return version
        if streams.history.possible(self.now, "s") is None:
            streams.history.record_earlier(self.now, self.versions)
        for record in self.records.values():
            for name, origin in record.items():
                streams.origins.record(self.now, name, origin)
        return look()

    def run(self) -> None:
        for instance in self.instances:
            instance.streams.history.record_earlier(self.now, {})
        for _ in range(STEPS):
            self.now += STEP_S
            draw = self.rng.random()
            if draw < 0.02:
                self.change_servers()
            elif draw < 0.025:
                self.end_instances(1.0)
            elif draw < 0.03:
                self.end_instances(0.5)
            elif draw < 0.035:
                self.rng.choice(self.instances).cut_until = self.now + 6.0
            self.observe()
            self.keep_records()
            self.begin()
            self.take_up()


@pytest.mark.parametrize("seed", range(40))
def test_no_stream_is_joined_from_two_versions(seed):
    world = World(random.Random(seed))
    world.run()
    assert world.joined == 0
    assert world.continued > world.refused


def test_origin_at_another_service_is_not_used():
    streams = StreamVersions(VersionHistory())
    streams.origins.record(0.0, "a1", StreamOrigin("other", "v1"))
    request = flow(service="s", takes_up="a1")
    assert streams.find_here(1.0, request, is_current=True) is None


def test_version_of_an_outdated_view_is_not_trusted():
    streams = StreamVersions(VersionHistory())
    streams.history.record_earlier(0.0, {"s": ["v1"]})
    streams.history.set_servers(0.0, [])
    request = flow(service="s", takes_up="a1")
    assert streams.find_here(1.0, request, is_current=True) == "v1"
    assert streams.find_here(1.0, request, is_current=False) is None
