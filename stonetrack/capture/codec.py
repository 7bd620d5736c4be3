"""Encodes events, actions and settings of the router's module as msgpack, and decodes them to equal values.

A record is an array: ``[kind, …]``.  Kinds:

- ``HEADER``: ``[0, format, code version, instance, seed, settings]``: a router is created; the records after it belong
  to this router.
- ``EVENT``: ``[1, clock, event, [action, …]]``: one call of ``Router.handle`` and the actions that it returned.
- ``GAP``: ``[2, clock, count]``: ``count`` calls are missing here; the replay of this router ends before them.
- ``STATE``: ``[3, clock, code version, snapshot]``: the router's state at that time (:mod:`.snapshot`); replay resumes
  from it.

An event or action is ``[name, field, …]`` in the order of its dataclass; enums are written as their values.  Codecs are
made from the types at import: a field of an unsupported type fails there, so no capture omits it silently.  A capture
with another number of fields is rejected, and the error names the class.
"""

from __future__ import annotations

import dataclasses
import types
import typing
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec

from stonetrack import api

FORMAT = 1
HEADER, EVENT, GAP, STATE = 0, 1, 2, 3


class CaptureError(ValueError):
    """A capture that can't be read; the message names the segment, the offset and what was found."""


@dataclass(frozen=True, slots=True)
class Header:
    """The creation of a router."""

    version: str
    instance: str
    seed: int
    settings: api.Settings


@dataclass(frozen=True, slots=True)
class Call:
    """One call of ``Router.handle``: the node's clock in nanoseconds, the event, and the returned actions."""

    at: int
    event: api.Event
    actions: tuple[api.Action, ...]


@dataclass(frozen=True, slots=True)
class Gap:
    """A number of missing calls."""

    at: int
    count: int


@dataclass(frozen=True, slots=True)
class State:
    """The router's state after the calls before this record."""

    at: int
    version: str
    data: bytes


Record = Header | Call | Gap | State
EventOrAction = Any  # an event or an action


def _classes_of(union: Any) -> dict[str, type]:
    return {cls.__name__: cls for cls in typing.get_args(union)}


CLASSES_BY_NAME: dict[str, type] = {**_classes_of(api.Event), **_classes_of(api.Action)}
Converter = Callable[[Any], Any]


def _field_codec(kind: Any) -> tuple[Converter | None, Converter | None]:
    """The encoder and decoder of a field's type; None where the value is stored unchanged."""
    if isinstance(kind, types.UnionType):
        inner = [k for k in typing.get_args(kind) if k is not types.NoneType]
        if len(inner) != 1:
            raise TypeError(f"no codec for {kind}")
        return _optional(*_field_codec(inner[0]))
    if typing.get_origin(kind) is tuple:
        encode_value, decode_value = _field_codec(typing.get_args(kind)[0])
        if encode_value is None or decode_value is None:
            return list, tuple
        return (lambda v: [encode_value(each) for each in v]), (lambda v: tuple(decode_value(each) for each in v))
    if isinstance(kind, type) and issubclass(kind, Enum):
        return (lambda v: v.value), kind
    if dataclasses.is_dataclass(kind) and isinstance(kind, type):
        return _struct_codec(kind)
    if kind in (int, float, str, bool):
        return None, None
    raise TypeError(f"no codec for {kind}")


def _optional(
    encode_value: Converter | None, decode_value: Converter | None
) -> tuple[Converter | None, Converter | None]:
    if encode_value is None or decode_value is None:
        return None, None
    return (lambda v: None if v is None else encode_value(v)), (lambda v: None if v is None else decode_value(v))


def _struct_codec(cls: type) -> tuple[Converter, Converter]:
    hints = typing.get_type_hints(cls)
    names = [field.name for field in dataclasses.fields(cls)]
    codecs = [_field_codec(hints[name]) for name in names]
    encoders = [(name, encode_value) for name, (encode_value, _) in zip(names, codecs, strict=True)]
    decoders = [decode_value for _, decode_value in codecs]

    def encode(message: Any) -> list[Any]:
        return [
            getattr(message, name) if encode_value is None else encode_value(getattr(message, name))
            for name, encode_value in encoders
        ]

    def decode(values: list[Any]) -> Any:
        if len(values) != len(decoders):
            known = f"{len(decoders)}: {', '.join(names)}"
            raise CaptureError(f"{cls.__name__}: {len(values)} fields; this version knows {known}")
        return cls(
            *[v if decode_value is None else decode_value(v) for v, decode_value in zip(values, decoders, strict=True)]
        )

    return encode, decode


_CODECS = {name: _struct_codec(cls) for name, cls in CLASSES_BY_NAME.items()}
_encode_msgpack = msgspec.msgpack.Encoder().encode
_decode_msgpack = msgspec.msgpack.Decoder().decode


def to_array(message: EventOrAction) -> list[Any]:
    """An event or action as an array of its class name and fields."""
    name = type(message).__name__
    return [name, *_CODECS[name][0](message)]


def from_array(values: Any) -> EventOrAction:
    """The event or action that :func:`to_array` encoded.  Raises CaptureError."""
    if not isinstance(values, list) or not values or values[0] not in _CODECS:
        raise CaptureError(f"an event or action of no known kind: {str(values)[:60]!r}")
    return _CODECS[values[0]][1](values[1:])


def encode_call(at: int, event: api.Event, actions: typing.Sequence[api.Action]) -> bytes:
    """The encoded record of one call."""
    return _encode_msgpack([EVENT, at, to_array(event), [to_array(action) for action in actions]])


def encode(record: Record) -> bytes:
    """Any record, encoded."""
    match record:
        case Header(version, instance, seed, settings):
            return _encode_msgpack([HEADER, FORMAT, version, instance, seed, msgspec.to_builtins(settings)])
        case Call(at, event, actions):
            return encode_call(at, event, actions)
        case Gap(at, count):
            return _encode_msgpack([GAP, at, count])
        case State(at, version, data):
            return _encode_msgpack([STATE, at, version, data])


def decode(data: bytes) -> Record:
    """Decode a record.  Raises CaptureError."""
    try:
        raw = _decode_msgpack(data)
        kind = raw[0]
        if kind == EVENT:
            _, at, event, actions = raw
            return Call(at, from_array(event), tuple(from_array(action) for action in actions))
        if kind == GAP:
            return Gap(raw[1], raw[2])
        if kind == STATE:
            return State(raw[1], raw[2], raw[3])
        if kind == HEADER:
            if raw[1] != FORMAT:
                raise CaptureError(f"format {raw[1]}; this version reads {FORMAT}")
            return Header(raw[2], raw[3], raw[4], msgspec.convert(raw[5], api.Settings))
    except CaptureError:
        raise
    except (msgspec.MsgspecError, ValueError, TypeError, IndexError, KeyError) as error:
        raise CaptureError(f"a record that can't be read: {error}") from None
    raise CaptureError(f"a record of unknown kind {kind!r}")


def request_of(event: api.Event) -> str:
    """The id of the request that an event concerns, empty for none."""
    return getattr(event, "request", "")
