"""Tests of `wisterialoom.operator`."""

import asyncio
import tomllib

import pytest
from hypothesis import given, settings, strategies as st

from tests.fake_platform import FakePlatform
from wisterialoom.core.configuration.config_follower import CONFIG_KEY
from wisterialoom.core.configuration.document_check import DocumentError
from wisterialoom.object_api.client import PlatformUnavailableError
from wisterialoom.operator import (
    apply,
    change,
    ConflictError,
    History,
    LabelEdit,
    OutcomeUnknownError,
)
from wisterialoom.operator.apply import with_generation
from wisterialoom.operator.history import MAX_GENERATIONS

VALID = """# The desk.
[deployment]
name = "desk"  # its name

[[traffic_classes]]
name = "urgent"
priority = 0
"""


def body(text=""):
    return (VALID + text).encode()


def make_rule_body(number):
    return body(f'[[traffic]]\nname = "rule-{number}"\n')


async def test_apply_is_conditional_on_the_expected_generation():
    platform = FakePlatform()
    first = await apply(platform, body())
    assert (await apply(platform, body())).changed is False
    with pytest.raises(DocumentError, match="--expect"):
        await apply(platform, make_rule_body(1))
    second = await apply(platform, make_rule_body(1), first.generation)
    with pytest.raises(ConflictError) as caught:
        await apply(platform, make_rule_body(2), first.generation)
    assert caught.value.generation == second.generation
    assert '-name = "rule-1"' in caught.value.difference
    seen = with_generation(second.generation, make_rule_body(2))
    third = await apply(platform, seen)
    assert platform.store.read(CONFIG_KEY).body == make_rule_body(2)
    kept = await History(platform).generations()
    assert kept == [third.generation, second.generation, first.generation]


async def test_faults_and_changed_fixed_settings_are_refused_before_any_write():
    platform = FakePlatform()
    with pytest.raises(DocumentError):
        await apply(platform, b"x = 1")
    first = await apply(platform, body())
    with pytest.raises(DocumentError, match="keep 64"):
        await apply(
            platform, body("[deployment.claims]\nbuckets = 3\n"), first.generation
        )
    assert [key for key, _ in platform.store.history].count(CONFIG_KEY) == 1


async def test_unreadable_document_is_replaced_only_on_request():
    platform = FakePlatform()
    version = platform.store.write(CONFIG_KEY, b"[later]", 0).version
    with pytest.raises(DocumentError, match="--replace-unreadable"):
        await apply(platform, body(), version)
    applied = await apply(platform, body(), version, replace_unreadable=True)
    assert applied.generation > version


async def test_history_keeps_the_last_generations():
    platform = FakePlatform()
    applied = await apply(platform, body())
    for number in range(MAX_GENERATIONS + 5):
        applied = await apply(platform, make_rule_body(number), applied.generation)
    history = History(platform)
    generations = await history.generations()
    assert len(generations) == MAX_GENERATIONS
    assert (await history.read(generations[0])).body == make_rule_body(
        MAX_GENERATIONS + 4
    )
    assert await history.read(1) is None


async def test_interrupted_command_leaves_no_gap_in_the_history():
    platform = FakePlatform()
    generation = platform.store.write(CONFIG_KEY, body(), 0).version
    await apply(platform, make_rule_body(1), generation)
    assert (await History(platform).read(generation)).body == body()


FAULTS = ("", "race", "refused", "lost call", "lost answer", "lost answer, down")


@settings(derandomize=True, deadline=None, max_examples=200)
@given(faults=st.lists(st.sampled_from(FAULTS), max_size=6), edit=st.booleans())
def test_reported_outcome_is_the_actual_outcome(faults, edit):
    """A write with an unknown outcome is resolved, or reported as unknown."""
    platform = FakePlatform(faults, rival=make_rule_body("rival"))
    seen = platform.store.write(CONFIG_KEY, body(), 0).version
    label = LabelEdit("name=w1", "drain", "true")
    result = asyncio.run(try_write(platform, label if edit else None, seen))
    own_texts = (
        label.edit(body()),
        label.edit(make_rule_body("rival")),
        make_rule_body("mine"),
    )
    written = [
        stored.version
        for key, stored in platform.store.history
        if key == CONFIG_KEY and stored.body in own_texts
    ]
    match result:
        case int():
            assert written == [result]
        case "conflict" | "refused":
            assert written == []
        case "unknown":
            assert len(written) <= 1
            assert platform.down or "lost call" in faults


async def try_write(platform, label, seen):
    try:
        if label is not None:
            return (await change(platform, label.edit)).generation
        return (await apply(platform, make_rule_body("mine"), seen)).generation
    except ConflictError:
        return "conflict"
    except OutcomeUnknownError:
        return "unknown"
    except PlatformUnavailableError:
        return "refused"


async def test_concurrent_label_edits_are_all_applied():
    platform = FakePlatform()
    await apply(platform, body())
    edits = [LabelEdit(f"name=w{i}", "drain", "true") for i in range(5)]
    await asyncio.gather(*(change(platform, edit.edit) for edit in edits))
    labels = tomllib.loads(platform.store.read(CONFIG_KEY).body.decode())["labels"]
    assert {item["selector"] for item in labels} == {f"name=w{i}" for i in range(5)}


LABELS = '[[labels]]  # marks\nselector = "a=1, b=2"\nkey = "tier"\nvalue = "old"\n'
INLINE = 'labels = [{selector = "a=1,b=2", key = "tier", value = "old"}]\n'


@pytest.mark.parametrize(
    "text",
    [VALID, VALID + LABELS, LABELS + VALID, INLINE + VALID, LABELS + VALID + LABELS],
)
@pytest.mark.parametrize("value", ["new", None])
def test_label_edit_preserves_the_rest_of_the_document(text, value):
    edit = LabelEdit("b=2,a=1", "tier", value)
    after = edit.edit(text.encode()).decode()
    assert "# The desk." in after
    assert "# its name" in after
    before, data = tomllib.loads(text), tomllib.loads(after)
    labels = data.pop("labels", [])
    before.pop("labels", None)
    assert data == before
    assert [item["value"] for item in labels] == ([value] if value else [])
    assert edit.edit(after.encode()).decode() == after
