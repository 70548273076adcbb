"""Tests of `wisterialoom.core.configuration.document_check`."""

import re
from dataclasses import replace

import pytest

from wisterialoom.core.configuration.document import ClaimSettings
from wisterialoom.core.configuration.document_check import (
    check_change,
    DocumentError,
    read_document,
)
from wisterialoom.core.object_store import MAX_OBJECT_BYTES

DIGEST = "ab" * 32

VALID = f"""
[deployment]
name = "desk"
lease_s = 10
[deployment.claims]
buckets = 16
[[availability_zones]]
name = "bg-south-1"
[[models]]
name = "drafter"
version = "3"
memory_mb = 16_000
servers = "role=drafting"
[[adapters]]
name = "notes"
model = "drafter"
version = "1"
[[server_groups]]
name = "drafting"
selector = "kind=engine,role=drafting"
memory_mb = 80_000
adapter_pool_mb = 4_000
[[server_groups]]
name = "registry"
selector = "kind=service,role=registry"
kind = "service"
[[labels]]
selector = "name=worker-3"
key = "drain"
value = "true"
[[traffic_classes]]
name = "urgent"
priority = 0
[[callers]]
name = "member"
api_key_sha256 = "{DIGEST}"
traffic_class = "urgent"
[[traffic]]
name = "registrations"
path = "/registrations*"
servers = "role=registry"
idempotent = false
[[traffic]]
name = "rest"
"""


def faults_of(body):
    with pytest.raises(DocumentError) as caught:
        read_document(body.encode() if isinstance(body, str) else body)
    return caught.value.faults


def test_valid_document():
    document = read_document(VALID.encode())
    assert document.models[0].memory_mb == 16_000
    assert document.deployment.lease_s == 10.0
    assert not document.traffic[0].idempotent


INVALID = {
    ("priority = 0", 'priority = "0"'): "traffic_classes[urgent].priority",
    ("priority = 0", ""): "traffic_classes[urgent].priority",
    ('name = "desk"', ""): "deployment.name",
    ('name = "desk"', 'name = "desk"\nnmae = 3'): "deployment.nmae",
    ("lease_s = 10", "lease_s = nan"): "deployment.lease_s",
    ("lease_s = 10", "lease_s = 1"): "deployment.lease_s",
    ("buckets = 16", "buckets = 0"): "deployment.claims.buckets",
    ("buckets = 16", "buckets = 2.5"): "deployment.claims.buckets",
    ('version = "3"', "version = 2026-01-01"): "models[drafter].version",
    ('version = "3"', 'version = "a@b"'): "models[drafter].version",
    ("= 16_000", "= 76_001"): "models[drafter].memory_mb",
    ('"role=drafting"', '"role=filing"'): "models[drafter].servers",
    ('"role=drafting"', '"role!=filing"'): None,
    ('"role=drafting"', '"=x"'): "models[drafter].servers",
    ('model = "drafter"', 'model = "draft"'): "adapters[notes].model",
    ('name = "notes"', 'name = "drafter"'): "models and adapters",
    ('name = "notes"', 'name = "notes"\nmemory_mb = 4_001'): (
        "adapters[notes].memory_mb"
    ),
    ("pool_mb = 4_000", "pool_mb = 80_000"): "server_groups[drafting].adapter_pool_mb",
    ('kind = "service"', 'kind = "plain"'): "server_groups[registry].kind",
    ('value = "true"', 'value = "yes"'): "labels[name=worker-3]",
    ('key = "drain"', 'key = "name"'): "labels[name=worker-3]",
    ('ss = "urgent"', 'ss = "late"'): "callers[member].traffic_class",
    ('name = "urgent"', 'name = "late"'): "callers[member].traffic_class",
    (DIGEST, DIGEST.upper()): "callers[member].api_key_sha256",
    ('servers = "role=registry"', 'servers = "role=order"'): (
        "traffic[registrations].servers"
    ),
    ('path = "/registrations*"', 'path = "/*/x"'): "traffic[registrations].path",
    ('path = "/registrations*"', ""): "traffic[rest]",
    ("idempotent = false", 'idempotent = "false"'): "traffic[registrations].idempotent",
    ('name = "rest"', 'name = "rest"\nmethods = ["get"]'): "traffic[rest].methods",
    ('name = "rest"', 'name = "rest"\nmethods = [1]'): "traffic[rest].methods[0]",
    ('name = "rest"', 'name = "rest"\nmodels = ["x"]'): "traffic[rest].models",
    ('name = "rest"', 'name = "rest"\ncallers = ["x"]'): "traffic[rest].callers",
    ("[[models]]", "[models]"): "models",
}


@pytest.mark.parametrize(("change", "place"), INVALID.items())
def test_each_fault_names_its_place_and_a_remedy(change, place):
    assert change[0] in VALID
    body = VALID.replace(change[0], change[1], 1)
    if place is None:
        # The changed document is valid.
        read_document(body.encode())
        return
    faults = faults_of(body)
    assert place in [fault.place for fault in faults]
    assert all(fault.remedy for fault in faults)


def test_all_faults_are_reported_at_once():
    body, expected = VALID, set()
    for change in (
        ('name = "desk"', 'nmae = "desk"'),
        ("lease_s = 10", 'lease_s = "x"'),
        ("= 16_000", "= 76_001"),
        ('model = "drafter"', 'model = "draft"'),
        ('ss = "urgent"', 'ss = "late"'),
        (DIGEST, "?"),
    ):
        body = body.replace(*change, 1)
        expected.add(INVALID.get(change, ""))
    expected = expected - {""} | {
        "deployment.nmae",
        "deployment.name",
        "deployment.lease_s",
        "callers[member].api_key_sha256",
    }
    faults = faults_of(body)
    assert {fault.place for fault in faults} == expected
    assert len(faults) == len(expected)


@pytest.mark.parametrize(
    "body", [b"\xff", b"a = ", b"", b"#" * (MAX_OBJECT_BYTES + 1), b"models = [3]"]
)
def test_unreadable_document_is_refused(body):
    faults = faults_of(body)
    assert re.search("file|deployment|models", faults[0].place)


def test_fixed_settings_cannot_change():
    old = read_document(VALID.encode())
    check_change(old, old)
    claims = ClaimSettings(buckets=32, retention_s=60.0)
    other = replace(old.deployment, name="other", claims=claims)
    with pytest.raises(DocumentError) as caught:
        check_change(old, replace(old, deployment=other))
    assert [fault.place for fault in caught.value.faults] == [
        "deployment.name",
        "deployment.claims.buckets",
        "deployment.claims.retention_s",
    ]
