"""Measures the size and processing cost of stored objects, and the memory of a core."""

from __future__ import annotations

import hashlib
import tracemalloc
from functools import partial
from typing import TYPE_CHECKING, TypeVar

from wisterialoom.core.claims.claim_bucket import ClaimBucket
from wisterialoom.core.claims.claim_entry import ClaimEntry, ClaimState
from wisterialoom.core.configuration.document_check import read_document
from wisterialoom.core.fleet.instance_list import InstanceList, ListedInstance
from wisterialoom.core.fleet.rendezvous import first
from wisterialoom.core.requests.request import StoredAnswer
from wisterialoom.lab.fleet import Fleet
from wisterialoom.object_api.codec import decode_instances, encode_instances
from wisterialoom.slopes.clock import cost_us
from wisterialoom.slopes.fit import Slope
from wisterialoom.slopes.site import make_document, Site, SiteSize

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["measure_memory", "measure_objects"]

T = TypeVar("T")

ANSWER = StoredAnswer(200, "application/json", b"{" + b"x" * 100 + b"}")
EXPIRY = 1_900_000_000


def measure_objects() -> list[Slope]:
    """Return the slopes for instance lists, claim buckets, documents and rendezvous."""
    buckets = {float(n): _bucket(n) for n in (500, 1_000, 2_000)}
    documents = {float(n): make_document(SiteSize(models=n)) for n in (50, 100, 200)}
    names = {float(n): [f"entry-{x:04}" for x in range(n)] for n in (50, 100, 200)}
    lists = {float(n): _encode_list(n) for n in (50, 200, 800)}
    return [
        _slope("server directory", "list", "bytes", "instance", lists, _byte_count),
        _slope("server directory", "reading", "us", "instance", lists, _decode_list_us),
        _slope(
            "claim home", "size of a bucket", "bytes", "claim", buckets, _bucket_bytes
        ),
        _slope(
            "claim home",
            "draft and body of a commit",
            "us",
            "claim",
            buckets,
            _commit_us,
        ),
        _slope("configuration relay", "size", "bytes", "model", documents, _byte_count),
        _slope(
            "configuration relay",
            "reading",
            "us",
            "model",
            documents,
            _read_document_us,
        ),
        _slope("any duty", "first by rendezvous", "us", "member", names, _rank_us),
    ]


def _slope(
    role: str,
    quantity: str,
    unit: str,
    per: str,
    inputs: dict[float, T],
    measure: Callable[[T], float],
) -> Slope:
    points = {size: measure(item) for size, item in inputs.items()}
    return Slope.through(role, quantity, unit, per, points)


def _encode_list(count: int) -> bytes:
    instances = tuple(
        ListedInstance(
            f"writer-{number:04}",
            "7f3a9c21",
            f"10.20.{number // 250}.{number % 250}:8000",
            "region-1-zone-2",
            {"kind": "engine", "role": "drafting", "accelerators": "8"},
        )
        for number in range(count)
    )
    return encode_instances(InstanceList(instances))


def _decode_list_us(body: bytes) -> float:
    return cost_us(partial(decode_instances, body))


def _bucket(count: int) -> ClaimBucket:
    bucket = ClaimBucket(1)
    for number in range(count):
        digest = hashlib.sha256(str(number).encode()).hexdigest()[:32]
        nonce = f"entry-0123.1800000000.{number}"
        entry = ClaimEntry(
            digest, nonce, digest, "entry-0123", EXPIRY, ClaimState.DONE, ANSWER
        )
        bucket.put(entry)
    return bucket


def _bucket_bytes(bucket: ClaimBucket) -> float:
    return float(bucket.size)


def _commit_us(bucket: ClaimBucket) -> float:
    return cost_us(lambda: bucket.copy().encode())


def _byte_count(body: bytes) -> float:
    return float(len(body))


def _read_document_us(body: bytes) -> float:
    return cost_us(partial(read_document, body))


def _rank_us(names: list[str]) -> float:
    return cost_us(partial(first, "steward/writer-0123", names))


def measure_memory() -> list[Slope]:
    """Return the slopes of an instance's memory by members, engines and models."""
    members = {float(n): _fleet_memory(n) for n in (10, 20, 40)}
    engines = {float(n): _site_memory(SiteSize(engines=n)) for n in (12, 24, 48)}
    models = {float(n): _site_memory(SiteSize(models=n)) for n in (24, 48, 96)}
    role = "entry instance"
    return [
        Slope.through("member", "memory of the table", "bytes", "member", members),
        Slope.through(role, "memory of the core", "bytes", "engine", engines),
        Slope.through(role, "memory of the core", "bytes", "model", models),
    ]


def _fleet_memory(members: int) -> float:
    tracemalloc.start()
    fleet = Fleet(1)
    fleet.seeds = ("10.0.0.0:7",)
    for number in range(members):
        fleet.start(f"entry-{number:04}")
    fleet.run_for(60.0)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used / members


def _site_memory(size: SiteSize) -> float:
    tracemalloc.start()
    site = Site(size)
    site.run(30.0)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used / size.entries
