"""Tests that the examples are valid and have the documented sizes."""

import hashlib
from pathlib import Path

import pytest

from wisterialoom.core.configuration.document_check import read_document
from wisterialoom.settings import Settings

EXAMPLES = Path(__file__).parent.parent / "examples"
DOCUMENTS = {
    # Name: numbers of models, adapters, availability zones, engines in a group.
    "association-filing-desk": (20, 80, 4, 6),
    "papelera-ribera": (30, 120, 3, 9),
}


def test_every_example_is_tested():
    names = {path.stem for path in EXAMPLES.glob("*.toml")}
    assert names == {*DOCUMENTS, "entry"}
    Settings.load(EXAMPLES / "entry.toml")


@pytest.mark.parametrize(("name", "sizes"), DOCUMENTS.items())
def test_example_document_is_valid_and_has_its_sizes(name, sizes):
    document = read_document((EXAMPLES / f"{name}.toml").read_bytes())
    models, adapters, zones, workers = sizes
    assert len(document.models) == models
    assert len(document.adapters) == adapters
    assert len(document.availability_zones) == zones
    for caller in document.callers:
        key = f"example-key-of-{caller.name}"
        assert caller.api_key_sha256 == hashlib.sha256(key.encode()).hexdigest()
    engines = [group for group in document.server_groups if group.kind == "engine"]
    capacity = max(group.memory_mb - group.adapter_pool_mb for group in engines)
    assert sum(model.memory_mb for model in document.models) > workers * capacity
    assert any(item.may_wait for item in document.traffic_classes)
    assert any(not rule.idempotent and rule.servers for rule in document.traffic)
