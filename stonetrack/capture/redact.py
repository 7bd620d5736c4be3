"""Removes names from captures, and exports records as JSON.  No I/O.

A node's captures contain no text of prompts or answers and no API keys, and sessions and shared prefixes only as keyed
hashes (``hash_key`` in the settings).  What may still identify an installation: names of classes, tenants and engines,
and the time and source of each request.

- :func:`redact` replaces names that do not affect decisions: those of classes, tenants and the instance.  Decisions are
  the same, and a replay verifies it.
- :func:`rename` also replaces sessions, shared prefixes, requests and servers by hashes under another key, for captures
  that are given to third parties.  The router breaks ties by hashes of those names, so some decisions differ; they are
  made again under the new names, and the caller learns how many differ.  Such a history records the events as they
  happened, not the ones that the changed decisions would have caused.
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
    """A pseudonym for a name: a letter for its kind and 16 hexadecimal digits."""
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
    """Replace the names that do not affect decisions.  A snapshot contains class names too; they are replaced in it."""
    for record in records:
        if isinstance(record, Header):
            settings = redact_settings(record.settings, key)
            yield Header(record.version, keyed_name(key, "i", record.instance), record.seed, settings)
        elif isinstance(record, State):
            yield State(record.at, record.version, _redact_state(record.data, key))
        else:
            yield record


def _redact_state(data: bytes, key: bytes) -> bytes:
    format_, settings, pools, state = msgspec.msgpack.decode(data)
    names = {c["name"]: keyed_name(key, "c", c["name"]) for c in settings["classes"]}
    plain_settings = msgspec.to_builtins(redact_settings(msgspec.convert(settings, api.Settings), key))

    def walk(value: Any) -> Any:
        if isinstance(value, list):
            if len(value) > 2 and value[0] == "c" and value[1] == "RequestClass":
                return [*value[:2], names.get(value[2], value[2]), *map(walk, value[3:])]
            return [walk(each) for each in value]
        return value

    return msgspec.msgpack.encode(
        [format_, plain_settings, pools, {name: walk(value) for name, value in state.items()}]
    )


@dataclass
class RenameResult:
    """Counts of a renaming."""

    calls: int = 0
    changed_decisions: int = 0  # calls with other actions under the new names
    omitted_records: int = 0  # snapshots, and calls after a gap, which can't be renamed


def _rename_message(message: Any, key: bytes) -> Any:
    changes: dict[str, Any] = {}
    for field in dataclasses.fields(message):
        value = getattr(message, field.name)
        if field.name in NAME_PREFIXES and isinstance(value, str):
            changes[field.name] = keyed_name(key, NAME_PREFIXES[field.name], value)
        elif field.name == "entries":
            changes[field.name] = tuple(_rename_message(each, key) for each in value)
        elif isinstance(message, api.Log):
            changes[field.name] = ""
    return dataclasses.replace(message, **changes)


def rename(records: Iterable[Record], key: bytes, result: RenameResult) -> Iterator[Record]:
    """Replace all names and decide again under the new names; the module's docstring gives the reason."""
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
            event = _rename_message(record.event, key)
            actions = tuple(router.handle(record.at, event))
            result.calls += 1
            result.changed_decisions += actions != tuple(_rename_message(a, key) for a in record.actions)
            yield Call(record.at, event, actions)


def to_json(number: int, record: Record) -> bytes:
    """A record as one line of JSON."""
    match record:
        case Header(version, instance, seed, settings):
            fields: dict[str, Any] = {
                "header": {
                    "version": version,
                    "instance": instance,
                    "seed": seed,
                    "settings": msgspec.to_builtins(settings),
                }
            }
        case Call(at, event, actions):
            fields = {
                "at": at, "event": {"type": type(event).__name__, **msgspec.to_builtins(event)},
                "actions": [{"type": type(a).__name__, **msgspec.to_builtins(a)} for a in actions],
            }  # fmt: skip
        case Gap(at, count):
            fields = {"at": at, "missing": count}
        case State(at, version, data):
            fields = {"at": at, "state": {"version": version, "bytes": len(data)}}
    return msgspec.json.encode({"number": number, **fields})
