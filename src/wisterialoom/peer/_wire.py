"""Conversion between core data classes and the generated Thrift classes."""

from __future__ import annotations

import dataclasses
import enum
import math
from collections.abc import Callable
from typing import Any, get_args, get_origin, get_type_hints, TypeAlias

from wisterialoom.peer.gen import ttypes

__all__ = ["StructConverter"]

Convert: TypeAlias = Callable[[Any], Any]


class StructConverter:
    """Converts one data class to and from its Thrift class of the same name.

    Fields that have their default value are omitted on the wire.

    Attributes:
        data_class: The data class.
        wire_class: The generated Thrift class.
        fields: Name, default, conversion to the wire and conversion from the wire of
            each field.
    """

    def __init__(self, data_class: type[Any]) -> None:
        self.data_class = data_class
        self.wire_class: Any = getattr(ttypes, data_class.__name__)
        hints = get_type_hints(data_class)
        self.fields: list[tuple[str, Any, Convert, Convert]] = [
            (field.name, _default(field), *_conversions(hints[field.name]))
            for field in dataclasses.fields(data_class)
        ]

    def to_wire(self, value: Any) -> Any:
        """Convert an instance of the data class to a Thrift object."""
        wire = self.wire_class()
        for name, default, to_wire, _ in self.fields:
            item = getattr(value, name)
            if item != default:
                setattr(wire, name, to_wire(item))
        return wire

    def from_wire(self, wire: Any) -> Any:
        """Convert a Thrift object to an instance of the data class.

        Raises:
            ValueError: A field without a default is missing, or a value is not
                valid for its type.
        """
        values = {}
        for name, default, _, from_wire in self.fields:
            item = getattr(wire, name)
            if item is not None:
                values[name] = from_wire(item)
            elif default is dataclasses.MISSING:
                raise ValueError(f"{self.data_class.__name__}.{name} is missing")
        return self.data_class(**values)


def _default(field: dataclasses.Field[Any]) -> Any:
    if field.default_factory is not dataclasses.MISSING:
        return field.default_factory()
    return field.default


def _conversions(hint: Any) -> tuple[Convert, Convert]:
    origin = get_origin(hint)
    if origin is tuple:
        to_item, from_item = _conversions(get_args(hint)[0])
        if to_item is _identity:
            return list, tuple
        return (
            lambda items: [to_item(item) for item in items],
            lambda items: tuple([from_item(item) for item in items]),
        )
    if origin is dict:
        return _map_conversions(get_args(hint)[1])
    if dataclasses.is_dataclass(hint):
        converter = StructConverter(hint)  # type: ignore[arg-type]
        return converter.to_wire, converter.from_wire
    if isinstance(hint, type) and issubclass(hint, enum.IntEnum):
        return int, hint
    if hint is float:
        return _finite, _finite
    if hint in (str, int, bool, bytes):
        return _identity, _identity
    raise TypeError(f"no conversion for {hint!r}: add one to {__name__}")


def _map_conversions(hint: Any) -> tuple[Convert, Convert]:
    to_item, from_item = _conversions(hint)
    return (
        lambda items: {key: to_item(item) for key, item in items.items()},
        lambda items: {key: from_item(item) for key, item in items.items()},
    )


def _identity(value: Any) -> Any:
    return value


def _finite(value: float) -> float:
    if not math.isfinite(value):
        raise ValueError(f"{value} is not a finite number")
    return value
