"""What a node is told: ``EDGE_CONFIG``, JSON as the operators write it.  No I/O.

``settings`` is the object that an instance is given by the simulator's first message, nested.  It is flattened to the
paths of that message and read by ``drill``, which reads it for the bench: one reader, so that the two can't differ.
Unknown names are passed over, there and here.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from stonetrack import api, drill
from stonetrack.engines.listing import split_address


class ConfigError(ValueError):
    """A configuration that can't be used; the text names the path, what was found and what is allowed."""


class Limits(msgspec.Struct, frozen=True):
    """Bounds of the machine; the processes of one node share them."""

    cores: float = 1.0
    memory_mb: float = 192.0
    sockets: int = 256


class _Document(msgspec.Struct, frozen=True):
    listen: str
    discovery: str
    settings: dict[str, Any]
    name: str = "node"
    seed: str = "0"
    limits: Limits = Limits()
    known: msgspec.Raw = msgspec.Raw(b"")


@dataclass(frozen=True, slots=True)
class Config:
    """One node's configuration; addresses are (host, port)."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    limits: Limits
    known: bytes  # in discovery's form; empty where none was given
    pairs: dict[str, str]  # the settings, flattened
    settings: api.Settings
    kinds: tuple[str, ...]
    zones: tuple[str, ...]
    connection_idle: int  # nanoseconds after which an engine closes an idle connection


def address(text: str, path: str) -> tuple[str, int]:
    """Host and port of ``host:port``.  Raises ConfigError."""
    found = split_address(text)
    if found is None:
        raise ConfigError(f"{path}: found {text[:100]!r}; allowed: host:port")
    return found


def flatten(value: object, path: str = "") -> dict[str, str]:
    """Nested JSON as the path=value pairs of the simulator's first message."""
    at = f"{path}." if path else ""
    if isinstance(value, dict):
        pairs: dict[str, str] = {}
        for key, each in value.items():
            pairs |= flatten(each, f"{at}{key}")
        return pairs
    if isinstance(value, list) and any(isinstance(each, dict) for each in value):
        pairs = {f"{at}count": str(len(value))}
        for n, each in enumerate(value):
            pairs |= flatten(each, f"{at}{n}")
        return pairs
    if isinstance(value, list):
        return {path: ",".join(_text(each) for each in value)}
    return {} if value is None else {path: _text(value)}


def _text(value: object) -> str:
    if isinstance(value, bool):
        return "1" if value else "0"
    return str(value).replace(" ", "_")


def parse(data: bytes) -> Config:
    """The configuration of a file's bytes.  Raises ConfigError."""
    try:
        told = msgspec.json.decode(data, type=_Document)
    except (msgspec.DecodeError, RecursionError) as error:
        text, _, path = str(error).partition(" - at `")
        raise ConfigError(f"{path.rstrip('`') or '$'}: {text}") from None
    if told.limits.sockets < 64:
        raise ConfigError(f"$.limits.sockets: found {told.limits.sockets}; allowed: 64 or more")
    try:
        seed = int(told.seed, 16)
    except ValueError:
        raise ConfigError(f"$.seed: found {told.seed[:40]!r}; allowed: hexadecimal digits") from None
    pairs = flatten(told.settings)
    try:
        settings = drill.parse_settings(pairs)
    except ValueError as error:
        raise ConfigError(f"$.settings: {error}") from None
    return Config(
        told.name,
        address(told.listen, "$.listen"),
        address(told.discovery, "$.discovery"),
        seed,
        told.limits,
        bytes(told.known),
        pairs,
        settings,
        _names(told.settings, "kinds"),
        _names(told.settings, "zones"),
        int(_number(told.settings.get("bounds"), "conn_idle_ns", 15e9)),
    )


def _names(settings: dict[str, Any], key: str) -> tuple[str, ...]:
    found = settings.get(key)
    return tuple(str(each) for each in found) if isinstance(found, list) else ()


def _number(found: object, key: str, default: float) -> float:
    value = found.get(key) if isinstance(found, dict) else None
    return float(value) if isinstance(value, (int, float)) and value > 0 else default
