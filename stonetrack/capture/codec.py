"""Events, actions and settings of the module as msgpack, and back, byte for byte.

A record is an array: ``[kind, …]``.  Kinds:

- ``HEADER``: ``[0, format, code version, instance, seed, settings]``: a router begins; what follows is told to it.
- ``EVENT``: ``[1, clock, event, [action, …]]``: one call of ``Router.handle`` and what it returned.
- ``GAP``: ``[2, clock, count]``: so many calls are missing here; the replay of this router ends before them.
- ``STATE``: ``[3, clock, code version, snapshot]``: what the router held then (:mod:`.snapshot`); replay goes on
  from it.

An event or action is ``[name, field, …]`` in the order of its dataclass; enums are their values.  Codecs are made from
the types at import: a field of a type that has none fails there, so that no capture lacks it silently, and a capture
with another number of fields is refused by name.
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
    """A capture that can't be read; the text names segment, offset and what was found."""


@dataclass(frozen=True, slots=True)
class Header:
    """A router's beginning."""

    version: str
    instance: str
    seed: int
    settings: api.Settings


@dataclass(frozen=True, slots=True)
class Call:
    """One call of ``Router.handle``: nanoseconds of the node's clock, what it was told, what it decided."""

    at: int
    event: api.Event
    actions: tuple[api.Action, ...]


@dataclass(frozen=True, slots=True)
class Gap:
    """Calls that are missing."""

    at: int
    count: int


@dataclass(frozen=True, slots=True)
class State:
    """What the router held, after the calls before it."""

    at: int
    version: str
    data: bytes


Record = Header | Call | Gap | State
EventOrAction = Any  # an event or an action


def _classes(union: Any) -> dict[str, type]:
    return {cls.__name__: cls for cls in typing.get_args(union)}


CLASSES_BY_NAME: dict[str, type] = {**_classes(api.Event), **_classes(api.Action)}
Converter = Callable[[Any], Any]


def _field_codec(kind: Any) -> tuple[Converter | None, Converter | None]:
    """How a field's value becomes plain, and plain becomes it; None where it is plain already."""
    if isinstance(kind, types.UnionType):
        inner = [k for k in typing.get_args(kind) if k is not types.NoneType]
        if len(inner) != 1:
            raise TypeError(f"no codec for {kind}")
        return _optional(*_field_codec(inner[0]))
    if typing.get_origin(kind) is tuple:
        out, back = _field_codec(typing.get_args(kind)[0])
        if out is None or back is None:
            return list, tuple
        return (lambda v: [out(each) for each in v]), (lambda v: tuple(back(each) for each in v))
    if isinstance(kind, type) and issubclass(kind, Enum):
        return (lambda v: v.value), kind
    if dataclasses.is_dataclass(kind) and isinstance(kind, type):
        return _struct_codec(kind)
    if kind in (int, float, str, bool):
        return None, None
    raise TypeError(f"no codec for {kind}")


def _optional(out: Converter | None, back: Converter | None) -> tuple[Converter | None, Converter | None]:
    if out is None or back is None:
        return None, None
    return (lambda v: None if v is None else out(v)), (lambda v: None if v is None else back(v))


def _struct_codec(cls: type) -> tuple[Converter, Converter]:
    hints = typing.get_type_hints(cls)
    names = [field.name for field in dataclasses.fields(cls)]
    codecs = [_field_codec(hints[name]) for name in names]
    outs = [(name, out) for name, (out, _) in zip(names, codecs, strict=True)]
    backs = [back for _, back in codecs]

    def encode(thing: Any) -> list[Any]:
        return [getattr(thing, name) if out is None else out(getattr(thing, name)) for name, out in outs]

    def decode(values: list[Any]) -> Any:
        if len(values) != len(backs):
            known = f"{len(backs)}: {', '.join(names)}"
            raise CaptureError(f"{cls.__name__}: {len(values)} fields; this version knows {known}")
        return cls(*[v if back is None else back(v) for v, back in zip(values, backs, strict=True)])

    return encode, decode


_CODECS = {name: _struct_codec(cls) for name, cls in CLASSES_BY_NAME.items()}
_pack = msgspec.msgpack.Encoder().encode
_unpack = msgspec.msgpack.Decoder().decode


def to_array(thing: EventOrAction) -> list[Any]:
    """An event or action as an array of its name and fields."""
    name = type(thing).__name__
    return [name, *_CODECS[name][0](thing)]


def from_array(values: Any) -> EventOrAction:
    """The event or action of :func:`to_array`.  Raises CaptureError."""
    if not isinstance(values, list) or not values or values[0] not in _CODECS:
        raise CaptureError(f"an event or action of no known kind: {str(values)[:60]!r}")
    return _CODECS[values[0]][1](values[1:])


def encode_call(at: int, event: api.Event, actions: typing.Sequence[api.Action]) -> bytes:
    """One call's record."""
    return _pack([EVENT, at, to_array(event), [to_array(action) for action in actions]])


def encode(record: Record) -> bytes:
    """Any record."""
    match record:
        case Header(version, instance, seed, settings):
            return _pack([HEADER, FORMAT, version, instance, seed, msgspec.to_builtins(settings)])
        case Call(at, event, actions):
            return encode_call(at, event, actions)
        case Gap(at, count):
            return _pack([GAP, at, count])
        case State(at, version, data):
            return _pack([STATE, at, version, data])


def decode(data: bytes) -> Record:
    """The record of some bytes.  Raises CaptureError."""
    try:
        raw = _unpack(data)
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
    """The request an event is about, empty for none."""
    return getattr(event, "request", "")
