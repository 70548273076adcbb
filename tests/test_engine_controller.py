"""Tests of `wisterialoom.core.engine_control.engine_controller`."""

from tests.fleet import make_document
from wisterialoom.core.engine import (
    EngineState,
    ModelKey,
    OrderDone,
    ReadState,
    SendOrder,
    StateRead,
)
from wisterialoom.core.engine_control.engine_controller import EngineController
from wisterialoom.core.engine_control.lease import Holder
from wisterialoom.core.notice import BackendServer
from wisterialoom.core.object_store import ObjectRead, ObjectWritten, OperationIds

KEY = "ledgers/s"


def make_controller():
    """Return a steward of a checking engine that has just proved its state."""
    group = make_document({"a": 60}).server_groups[0]
    server = BackendServer("s", "1", "127.0.0.1:1", "z", {}, "checking", "engine")
    me, ids = Holder("me", "boot"), OperationIds("stewards")
    controller = EngineController.from_group(server, group, me, ids, 4.0)
    controller.tick(0.0, 0)
    controller.handle(0.0, ObjectRead(controller.lease.op, KEY, 0, b""))
    controller.tick(0.1, 0)
    outputs = controller.handle(0.2, ObjectWritten(controller.lease.op, KEY, 1))
    return controller, outputs


def orders(outputs):
    return [x.order for x in outputs if isinstance(x, SendOrder)]


def test_read_that_was_asked_before_a_newer_answer_is_dropped():
    controller, outputs = make_controller()
    first = orders(outputs)[0].order_id
    outputs = controller.handle(0.3, OrderDone("s", first, EngineState("1")))
    assert ReadState("s") in outputs
    controller.confirmed_state.needed = True
    second = orders(controller.tick(0.35, 0))[0].order_id
    newer = EngineState("1", models={ModelKey("a", "1"): 60})
    controller.handle(0.4, OrderDone("s", second, newer))
    controller.handle(0.5, StateRead("s", EngineState("1")))
    assert controller.confirmed_state.state is newer


def test_answers_from_before_a_pause_prove_nothing():
    controller, outputs = make_controller()
    late = OrderDone("s", orders(outputs)[0].order_id, EngineState("1"))
    controller.handle(60.0, late)
    assert controller.confirmed_state.state is None
    assert controller.confirmed_state.needed
