"""JSON encoding of orders to engines and of engine states."""

from __future__ import annotations

from typing import Any

import orjson

from wisterialoom.core.engine import (
    Action,
    EngineState,
    Fence,
    LoadAdapter,
    LoadModel,
    ModelKey,
    NoOperation,
    Order,
    SetRole,
    UnloadAdapter,
    UnloadModel,
)

__all__ = [
    "decode_order",
    "decode_state",
    "encode_order",
    "encode_state",
    "state_from_json",
    "state_to_json",
]


def _action_to_json(action: Action) -> dict[str, Any]:
    match action:
        case LoadModel(model, memory_mb):
            return {"kind": "load_model", "model": str(model), "memory_mb": memory_mb}
        case UnloadModel(model):
            return {"kind": "unload_model", "model": str(model)}
        case LoadAdapter(adapter, model, memory_mb):
            return {
                "kind": "load_adapter",
                "adapter": str(adapter),
                "model": str(model),
                "memory_mb": memory_mb,
            }
        case UnloadAdapter(adapter):
            return {"kind": "unload_adapter", "adapter": str(adapter)}
        case SetRole(role):
            return {"kind": "set_role", "role": role}
        case NoOperation():
            return {"kind": "no_operation"}
        case _:
            raise TypeError(f"unknown action {action!r}: add it to the codec")


def _action_from_json(item: dict[str, Any]) -> Action:
    match item:
        case {"kind": "load_model", "model": model, "memory_mb": memory_mb}:
            return LoadModel(ModelKey.parse(model), memory_mb)
        case {"kind": "unload_model", "model": model}:
            return UnloadModel(ModelKey.parse(model))
        case {
            "kind": "load_adapter",
            "adapter": adapter,
            "model": model,
            "memory_mb": memory_mb,
        }:
            return LoadAdapter(
                ModelKey.parse(adapter), ModelKey.parse(model), memory_mb
            )
        case {"kind": "unload_adapter", "adapter": adapter}:
            return UnloadAdapter(ModelKey.parse(adapter))
        case {"kind": "set_role", "role": role}:
            return SetRole(role)
        case {"kind": "no_operation"}:
            return NoOperation()
        case _:
            raise ValueError(f"unknown action {item!r}: use one of the six kinds")


def encode_order(order: Order) -> bytes:
    """Encode an order as JSON."""
    return orjson.dumps(
        {
            "order_id": order.order_id,
            "fence": {"epoch": order.fence.epoch, "sequence": order.fence.sequence},
            "action": _action_to_json(order.action),
        }
    )


def decode_order(body: bytes) -> Order:
    """Decode an order from JSON.

    Raises:
        ValueError: If the action is unknown or the body is not JSON.
        KeyError: If a field is missing.
    """
    item = orjson.loads(body)
    fence = Fence(item["fence"]["epoch"], item["fence"]["sequence"])
    return Order(item["order_id"], fence, _action_from_json(item["action"]))


def _weights_to_json(weights: dict[ModelKey, int]) -> dict[str, int]:
    return {str(key): memory_mb for key, memory_mb in weights.items()}


def _weights_from_json(item: dict[str, int]) -> dict[ModelKey, int]:
    return {ModelKey.parse(key): memory_mb for key, memory_mb in item.items()}


def state_to_json(state: EngineState) -> dict[str, Any]:
    """Return an engine's state as plain JSON values."""
    fence = state.fence
    return {
        "incarnation": state.incarnation,
        "fence": fence and {"epoch": fence.epoch, "sequence": fence.sequence},
        "models": _weights_to_json(state.models),
        "loading": _weights_to_json(state.loading),
        "adapters": _weights_to_json(state.adapters),
        "memory_mb": state.memory_mb,
        "running": state.running,
        "waiting": state.waiting,
        "busy_models": sorted(str(key) for key in state.busy_models),
        "leaving": state.leaving,
        "kv_free": state.kv_free,
    }


def state_from_json(item: dict[str, Any]) -> EngineState:
    """Build an engine's state from plain JSON values.

    Raises:
        KeyError: If a field is missing.
    """
    fence = item["fence"]
    return EngineState(
        incarnation=item["incarnation"],
        fence=Fence(fence["epoch"], fence["sequence"]) if fence else None,
        models=_weights_from_json(item["models"]),
        loading=_weights_from_json(item["loading"]),
        adapters=_weights_from_json(item["adapters"]),
        memory_mb=item["memory_mb"],
        running=item["running"],
        waiting=item["waiting"],
        busy_models=frozenset(ModelKey.parse(key) for key in item["busy_models"]),
        leaving=item["leaving"],
        kv_free=item["kv_free"],
    )


def encode_state(state: EngineState) -> bytes:
    """Encode a state as JSON."""
    return orjson.dumps(state_to_json(state))


def decode_state(body: bytes) -> EngineState:
    """Decode a state from JSON.

    Raises:
        ValueError: If the body is not JSON.
        KeyError: If a field is missing.
    """
    return state_from_json(orjson.loads(body))
