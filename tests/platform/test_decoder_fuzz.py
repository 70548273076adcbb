"""Each decoder, fed with mutated valid messages, raises its documented error only.

An unexpected error ended the task that decoded, or closed a socket for good.
"""

from __future__ import annotations

import contextlib
import copy
import zlib
from typing import Any, TYPE_CHECKING

import orjson
import pytest
from hypothesis import given, HealthCheck, settings, strategies as st

from tests.platform.fakes import config
from tests.platform.odd_values import with_value
from tests.platform.test_wire import ENTRY, HINTS, settings_table
from wisterialoom.core.fleet import Revision, TableEntry
from wisterialoom.core.placement.placement_table import ServerPlacement
from wisterialoom.core.serving.backend import BackendServer
from wisterialoom.core.teams.allowance_message import (
    AllowanceGrant,
    AllowanceReply,
    AllowanceRequest,
    TeamRequest,
)
from wisterialoom.platform.decode import decode_deployment, decode_server, DecodeError
from wisterialoom.platform.fields import DECODE_ERRORS, MAX_COUNT
from wisterialoom.platform.hint_codec import decode_hint, encode_hint
from wisterialoom.platform.hints import (
    AllowanceGranted,
    AllowanceWanted,
    BrittleRejection,
    ConfigCopy,
    CopyWanted,
    Hint,
    HintError,
    KeysAnswer,
    KeysQuestion,
    LostPaths,
    News,
    PlacementChange,
    ServerLimit,
    ServerLimits,
    ServersCopy,
    StoreReached,
    TurnsGranted,
    TurnsWanted,
)
from wisterialoom.platform.lease_manager import _decode_record, _decode_versions
from wisterialoom.platform.orders import _decode_report
from wisterialoom.platform.peers import PeerLink
from wisterialoom.platform.settings import PlatformSettings, SettingsError
from wisterialoom.platform.store import StoreObject
from wisterialoom.platform.store_json import encode_value
from wisterialoom.platform.stream_exchange import (
    _decode_record as _decode_stream_record,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

ENTRIES = {
    "i-1": TableEntry(Revision(1, 4), decode_server("i-1", ENTRY), changed_at=0.0),
    "i-2": TableEntry(Revision(1, 5), None, changed_at=0.0),
}

ALL_HINTS: list[Hint] = [
    *HINTS,
    News("f", 1, 0.1, 0.2, 3, Revision(1, 2), Revision(0, 3), 77, ENTRIES),
    CopyWanted("f", 3, -1),
    ConfigCopy.from_spec(config()),
    ServersCopy("f", Revision(1, 2), 0, 1, ENTRIES),
    StoreReached("f", Revision(1, 2)),
    BrittleRejection("f", "i-1", 2.5),
    LostPaths("f", ("scribe",)),
    ServerLimits(
        "f", {"i-1": ServerLimit(1, 2.5, 0.1), "i-2": ServerLimit(1, None, 0)}
    ),
    TurnsWanted("f", {"i-1": 4}),
    TurnsGranted("f", {"i-1": 4}),
    KeysQuestion("f", 4),
    KeysAnswer("f", 4, 7, 0.25),
    AllowanceWanted("f", AllowanceRequest(9, 7, {"t": TeamRequest(500.0, 400.0)})),
    AllowanceGranted(
        "f", AllowanceReply(3, 9, {"t": AllowanceGrant(500.0, 0.3)}, {"u": 1.5})
    ),
]

LEASE = {
    "holder": "front-1",
    "boot": "b",
    "epoch": 3,
    "address": "10.0.0.1",
    "serial": 4,
    "released": False,
    "versions": {"scribe": ["v1", "v2"]},
}

REPORT = {
    "born": 1,
    "sequence": 4,
    "busy": False,
    "models": [{"name": "m0", "version": 1, "adapters": ["a1"]}],
    "coming": ["m0/a2@1"],
    "atHand": {"inMemory": ["m1", {"name": "m2"}], "onDisk": []},
}

STREAMS = {"streams": {"scribe": {"v1": ["a1", "a2"]}}}

odd_values = st.one_of(
    st.none(),
    st.booleans(),
    st.sampled_from(
        [0, -1, 2**53, 2**63, 2**64 - 1, 1e300, -1e300, 0.5, "", "x", "9" * 5000]
    ),
    st.sampled_from([[], {}, [[]], [{}], {"a": []}, {"": None}, [None], "\x00", "\n"]),
).map(copy.deepcopy)

FUZZ = settings(
    derandomize=True,
    deadline=None,
    max_examples=1200,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)


def paths(item: Any, at: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    found = [at] if at else []
    if isinstance(item, dict):
        for key, value in item.items():
            found += paths(value, (*at, key))
    elif isinstance(item, list):
        for index, value in enumerate(item):
            found += paths(value, (*at, index))
    return found


def mutate(item: Any, data: st.DataObject) -> Any:
    """Replace, remove or add a field or two."""
    item = copy.deepcopy(item)
    for _ in range(data.draw(st.integers(1, 2))):
        known = paths(item)
        if not known:
            return item
        *parents, last = data.draw(st.sampled_from(known))
        target = item
        for key in parents:
            target = target[key]
        match data.draw(st.sampled_from(["set", "set", "remove", "add"])):
            case "set":
                target[last] = data.draw(odd_values)
            case "remove":
                del target[last]
            case _ if isinstance(target, dict):
                target[data.draw(st.sampled_from(["", "x", "\x00"]))] = data.draw(
                    odd_values
                )
            case _:
                target.insert(last, data.draw(odd_values))
    return item


def as_json(item: Any) -> Any:
    return orjson.loads(orjson.dumps(item))


def plain(hint: Hint) -> Any:
    data = encode_hint(hint)
    if data[:1] != b"[":
        data = zlib.decompress(data)
    return orjson.loads(data)


@FUZZ
@given(st.sampled_from(ALL_HINTS), st.data())
def test_mutated_hint_raises_only_hint_errors(hint: Hint, data: st.DataObject):
    """What is decoded can be encoded again, as other instances are told of it."""
    raw = orjson.dumps(mutate(plain(hint), data))
    with contextlib.suppress(HintError):
        found = decode_hint(raw)
        encode_hint(found)
        if isinstance(found, ConfigCopy):
            found.unpack()


@FUZZ
@given(st.sampled_from(ALL_HINTS), st.data())
def test_hint_with_mutated_bytes_raises_only_hint_errors(
    hint: Hint, data: st.DataObject
):
    raw = bytearray(encode_hint(hint))
    for _ in range(data.draw(st.integers(1, 3))):
        at = data.draw(st.integers(0, max(0, len(raw) - 1)))
        raw[at : at + data.draw(st.integers(0, 2))] = data.draw(st.binary(max_size=2))
    with contextlib.suppress(HintError):
        decode_hint(bytes(raw))


@FUZZ
@given(st.data())
def test_mutated_server_entry_raises_only_decode_errors(data: st.DataObject):
    entry = {**ENTRY, "born": 5, "remainingMs": 20}
    spec = as_json(mutate(entry, data))
    with contextlib.suppress(DecodeError):
        server = decode_server("i-1", spec)
        assert isinstance(server, BackendServer)
        entries = {"i-1": TableEntry(Revision(1, 4), server, changed_at=0.0)}
        encode_hint(ServersCopy("f", Revision(1, 2), 0, 1, entries))


@FUZZ
@given(st.data())
def test_mutated_configuration_raises_only_decode_errors(data: st.DataObject):
    spec = as_json(mutate(config(), data))
    with contextlib.suppress(DecodeError):
        deployment = decode_deployment(spec)
        encode_hint(CopyWanted("f", deployment.version, 0))
        ConfigCopy.from_spec(spec)


@FUZZ
@given(st.data())
def test_mutated_lease_record_raises_nothing(data: st.DataObject):
    """An epoch beyond 64 bits could not be written back."""
    spec = as_json(mutate(LEASE, data))
    found = StoreObject("placement", Revision(1, 4), spec)
    record = _decode_record(found)
    if record is not None:
        orjson.dumps([record.epoch + 1, record.serial + 1, record.holder])
    orjson.dumps(_decode_versions(found))


@FUZZ
@given(st.data())
def test_mutated_report_raises_only_report_errors(data: st.DataObject):
    with contextlib.suppress(*DECODE_ERRORS):
        report = _decode_report(as_json(mutate(REPORT, data)))
        hash((report.in_memory, report.on_disk))


@FUZZ
@given(st.data())
def test_mutated_stream_record_raises_nothing(data: st.DataObject):
    for stream, origin in _decode_stream_record(as_json(mutate(STREAMS, data))):
        assert isinstance(stream, str)
        orjson.dumps([stream, origin.service, origin.version])


@FUZZ
@given(st.data())
def test_mutated_settings_raise_only_settings_errors(data: st.DataObject):
    bounds = {"graceS": 8.0, "retryBudgetRatio": 0.2, "leaseMs": 3000, "drainMs": 2000}
    table = settings_table(bounds=bounds, limits={"linkMbps": 100.0})
    with contextlib.suppress(SettingsError):
        PlatformSettings.from_table(mutate(table, data))


def test_error_in_the_handler_of_a_hint_does_not_close_the_socket(
    caplog: pytest.LogCaptureFixture,
):
    """An error that left the protocol closed the socket of the event loop in use."""

    def fail(*_: object) -> None:
        raise RuntimeError("unexpected")

    handler: Callable[[Hint, str], None] = fail
    link = PeerLink(1, handler)
    link.datagram_received(encode_hint(CopyWanted("f", 3, -1)), ("127.0.0.2", 1))
    assert link.failed == 1
    assert "report this as a bug" in caplog.text


DEEP = [orjson.loads(b"[" * depth + b"]" * depth) for depth in (300, 1000, 1020)]


def with_deep_values(item: Any) -> Iterator[Any]:
    """Return copies of which each has a field that is nested very deeply."""
    for path in paths(item):
        for value in (*DEEP, [DEEP[-1]], {"x": DEEP[-1]}):
            yield with_value(item, path, value)


def test_deeply_nested_fields_raise_only_documented_errors():
    """Guards against decoders that fail as they print, compare or encode a value.

    Such values can be decoded, but are too deep for the interpreter or the encoder.
    """
    for hint in ALL_HINTS:
        for item in with_deep_values(plain(hint)):
            with contextlib.suppress(HintError):
                encode_hint(decode_hint(encode_value(item)))
    for spec in with_deep_values({**ENTRY, "born": 5, "remainingMs": 20}):
        with contextlib.suppress(DecodeError):
            server = decode_server("i-1", spec)
            entries = {"i-1": TableEntry(Revision(1, 4), server, changed_at=0.0)}
            encode_hint(ServersCopy("f", Revision(1, 2), 0, 1, entries))
    for spec in with_deep_values(config() | {"tenants": [{"name": "t"}]}):
        with contextlib.suppress(DecodeError):
            decode_deployment(spec)
    for spec in with_deep_values(LEASE):
        found = StoreObject("placement", Revision(1, 4), spec)
        _decode_record(found)
        _decode_versions(found)
    for spec in with_deep_values(STREAMS):
        _decode_stream_record(spec)
    for item in with_deep_values(REPORT):
        with contextlib.suppress(*DECODE_ERRORS):
            _decode_report(item)


@pytest.mark.parametrize("count", [MAX_COUNT, MAX_COUNT + 1, 2**53 - 1])
def test_count_of_a_server_can_still_grow_when_it_is_told_to_others(count: int):
    """Guards against a count that an order takes beyond what others decode.

    The placement of all servers in the same message was lost then.
    """
    counts = []
    with contextlib.suppress(DecodeError):
        counts.append(decode_server("i-1", {**ENTRY, "sequence": count}).order_count)
    with contextlib.suppress(*DECODE_ERRORS):
        counts.append(_decode_report({**REPORT, "sequence": count}).count)
    for found in counts:
        placement = ServerPlacement({}, frozenset(), found + 1)
        change = PlacementChange("f", 1, 2, {"i-1": placement, "i-2": None})
        assert decode_hint(encode_hint(change)) == change
    assert bool(counts) is (count <= MAX_COUNT)


@pytest.mark.parametrize("epoch", [MAX_COUNT, MAX_COUNT + 1, 2**53 - 1])
def test_epoch_after_that_of_a_record_can_be_told_to_others(epoch: int):
    """Guards against an epoch whose successor no other instance decodes.

    The placement was then known to its holder alone.
    """
    found = StoreObject("placement", Revision(1, 4), {**LEASE, "epoch": epoch})
    record = _decode_record(found)
    if record is not None:
        change = PlacementChange("f", record.epoch + 1, 2, {})
        assert decode_hint(encode_hint(change)) == change
    assert (record is not None) is (epoch <= MAX_COUNT)
