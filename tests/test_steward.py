"""Tests of `wisterialoom.core.stewards.steward`."""

from tests.fleet import make_document
from wisterialoom.core.engine import (
    EngineState,
    ModelKey,
    OrderDone,
    ReadState,
    SendOrder,
    StateRead,
)
from wisterialoom.core.notice import BackendServer
from wisterialoom.core.object_store import ObjectRead, ObjectWritten, OperationIds
from wisterialoom.core.stewards.lease import Holder
from wisterialoom.core.stewards.steward import Steward

KEY = "ledgers/s"


def make_steward():
    """Return a controller that has taken its lease, and what it then sends.

    Its engine checks fencing numbers.
    """
    group = make_document({"a": 60}).server_groups[0]
    server = BackendServer("s", "1", "127.0.0.1:1", "z", {}, "checking", "engine")
    me, ids = Holder("me", "boot"), OperationIds("stewards")
    steward = Steward.from_group(server, group, me, ids, 4.0)
    steward.tick(0.0, 0)
    steward.handle(0.0, ObjectRead(steward.lease.op, KEY, 0, b""))
    steward.tick(0.1, 0)
    outputs = steward.handle(0.2, ObjectWritten(steward.lease.op, KEY, 1))
    return steward, outputs


def orders(outputs):
    return [x.order for x in outputs if isinstance(x, SendOrder)]


def test_state_read_sent_before_a_newer_answer_is_dropped():
    steward, outputs = make_steward()
    first = orders(outputs)[0].order_id
    outputs = steward.handle(0.3, OrderDone("s", first, EngineState("1")))
    assert ReadState("s") in outputs
    steward.confirmed_state.needs_order = True
    second = orders(steward.tick(0.35, 0))[0].order_id
    newer = EngineState("1", models={ModelKey("a", "1"): 60})
    steward.handle(0.4, OrderDone("s", second, newer))
    steward.handle(0.5, StateRead("s", EngineState("1")))
    assert steward.confirmed_state.state is newer


def test_answer_to_an_order_sent_before_a_pause_is_dropped():
    steward, outputs = make_steward()
    late = OrderDone("s", orders(outputs)[0].order_id, EngineState("1"))
    steward.handle(60.0, late)
    assert steward.confirmed_state.state is None
    assert steward.confirmed_state.needs_order
