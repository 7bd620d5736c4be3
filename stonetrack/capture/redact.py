"""Captures without names, and as text.  Pure.

A node's captures hold no text of prompts or answers, no keys, and sessions and shared beginnings as keyed hashes
already (``hash_key`` in the settings).  What is left that may tell something of an installation: names of classes,
tenants and engines, and who asked when.

- :func:`redact` takes out what the router never computes with: names of classes, tenants and the instance.  Decisions
  are the same, and a replay proves it.
- :func:`rename` also gives sessions, beginnings, requests and servers new names by another key, for captures that leave
  the house.  The router breaks ties by hashes of those names, so some decisions would be others; they are decided
  anew, and the caller is told how many differ.  Such a history is told as it happened, not as it would have.
"""

from __future__ import annotations

import dataclasses
import hashlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

from stonetrack import api
from stonetrack.capture.codec import Call, Gap, Header, Record, State
from stonetrack.logic import Router

NAME_PREFIXES = {"request": "q", "session": "s", "shared_beginning": "b", "server": "e"}


def keyed_name(key: bytes, kind: str, name: str) -> str:
    """A name's stand-in: 16 hexadecimal digits after a letter for its kind."""
    if not name:
        return name
    digest = hashlib.blake2b(f"{kind}/{name}".encode("utf-8", "surrogatepass"), key=key[:64], digest_size=8)
    return f"{kind}{digest.hexdigest()}"


def redact_settings(settings: api.Settings, key: bytes) -> api.Settings:
    """Settings with classes and tenants under keyed names; nothing else is changed."""
    return dataclasses.replace(
        settings,
        classes=tuple(dataclasses.replace(c, name=keyed_name(key, "c", c.name)) for c in settings.classes),
        tenants=tuple(dataclasses.replace(t, name=keyed_name(key, "t", t.name)) for t in settings.tenants),
    )


def redact(records: Iterable[Record], key: bytes) -> Iterator[Record]:
    """Take out the names that decide nothing.  A state holds class names too: they are replaced within it."""
    for record in records:
        if isinstance(record, Header):
            settings = redact_settings(record.settings, key)
            yield Header(record.version, keyed_name(key, "i", record.instance), record.seed, settings)
        elif isinstance(record, State):
            yield State(record.at, record.version, _state(record.data, key))
        else:
            yield record


def _state(data: bytes, key: bytes) -> bytes:
    form, settings, pools, state = msgspec.msgpack.decode(data)
    names = {c["name"]: keyed_name(key, "c", c["name"]) for c in settings["classes"]}
    plain = msgspec.to_builtins(redact_settings(msgspec.convert(settings, api.Settings), key))

    def walk(value: Any) -> Any:
        if isinstance(value, list):
            if len(value) > 2 and value[0] == "c" and value[1] == "RequestClass":
                return [*value[:2], names.get(value[2], value[2]), *map(walk, value[3:])]
            return [walk(each) for each in value]
        return value

    return msgspec.msgpack.encode([form, plain, pools, {name: walk(value) for name, value in state.items()}])


@dataclass
class RenameResult:
    """What renaming came to."""

    calls: int = 0
    changed_decisions: int = 0  # decided otherwise under the new names
    omitted_records: int = 0  # snapshots, and calls after a gap, which can't be renamed


def _rename(thing: Any, key: bytes) -> Any:
    changes: dict[str, Any] = {}
    for field in dataclasses.fields(thing):
        value = getattr(thing, field.name)
        if field.name in NAME_PREFIXES and isinstance(value, str):
            changes[field.name] = keyed_name(key, NAME_PREFIXES[field.name], value)
        elif field.name == "entries":
            changes[field.name] = tuple(_rename(each, key) for each in value)
        elif isinstance(thing, api.Log):
            changes[field.name] = ""
    return dataclasses.replace(thing, **changes)


def rename(records: Iterable[Record], key: bytes, result: RenameResult) -> Iterator[Record]:
    """Give everything new names and decide anew; see the module."""
    router: Router | None = None
    for record in redact(records, key):
        if isinstance(record, Header):
            router = Router(record.settings, record.seed)
            yield record
        elif isinstance(record, (State, Gap)):
            router = None
            result.omitted_records += isinstance(record, State)
            if isinstance(record, Gap):
                yield record
        elif router is None:
            result.omitted_records += 1
        else:
            event = _rename(record.event, key)
            actions = tuple(router.handle(record.at, event))
            result.calls += 1
            result.changed_decisions += actions != tuple(_rename(a, key) for a in record.actions)
            yield Call(record.at, event, actions)


def to_json(number: int, record: Record) -> bytes:
    """A record as one line of JSON."""
    match record:
        case Header(version, instance, seed, settings):
            shown: dict[str, Any] = {
                "header": {
                    "version": version,
                    "instance": instance,
                    "seed": seed,
                    "settings": msgspec.to_builtins(settings),
                }
            }
        case Call(at, event, actions):
            shown = {
                "at": at, "event": {"type": type(event).__name__, **msgspec.to_builtins(event)},
                "actions": [{"type": type(a).__name__, **msgspec.to_builtins(a)} for a in actions],
            }  # fmt: skip
        case Gap(at, count):
            shown = {"at": at, "missing": count}
        case State(at, version, data):
            shown = {"at": at, "state": {"version": version, "bytes": len(data)}}
    return msgspec.json.encode({"number": number, **shown})
